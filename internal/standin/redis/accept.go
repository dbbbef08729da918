package redis

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// transactionState is the phase of a connection's transaction.
type transactionState uint8

const (
	noTransaction      transactionState = iota
	queueing                            // after MULTI: commands are queued
	abortedTransaction                  // after MULTI and a command that is wrong: EXEC discards the queue
)

// client is one connection. Its own goroutine uses it, apart from messages, which group.mu guards, and what writeMu
// guards.
type client struct {
	server *Server
	nc     net.Conn
	id     int64
	proto  int // version of the protocol, 2 or 3
	db     int
	name   string // by CLIENT SETNAME or HELLO
	authed bool
	asking bool   // the command before was ASKING
	out    []byte // replies that are not written yet
	// swapped is a reply that a fault sends after the next one.
	swapped []byte

	transactionState transactionState
	queue            [][]string        // commands until EXEC
	watched          map[string]*entry // the values of watched keys when WATCH ran

	// messages receives the messages of the channels to which the client has subscribed; nil: none.
	messages chan []byte
	// unsentMessages is messages until a goroutine sends them.
	unsentMessages <-chan []byte
	writeMu        sync.Mutex // held while replies or a message are written
}

// accept serves the connections of a listener until it is closed.
func (s *Server) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		s.group.mu.Lock()
		if s.down || s.ctx.Err() != nil || s.acceptFilter != nil && !s.acceptFilter(nc) {
			s.group.mu.Unlock()
			reset(nc)
			continue
		}
		if len(s.clients) >= s.options.MaxClients {
			s.group.mu.Unlock()
			s.wg.Go(func() { rejectConn(nc) })
			continue
		}
		s.lastConnID++
		c := &client{server: s, nc: nc, id: s.lastConnID, proto: 2, authed: s.options.Password == ""}
		s.clients[c] = true
		s.wg.Go(c.serve)
		s.group.mu.Unlock()
	}
}

// rejectConn tells the client why it is rejected, and waits a moment for the client to read it: a close with commands
// unread would reset the connection and lose the reason. Errors do not matter, as the connection ends anyway.
func rejectConn(nc net.Conn) {
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.WriteString(nc, "-ERR max number of clients reached\r\n")
	if tcp, ok := nc.(interface{ CloseWrite() error }); ok {
		_ = tcp.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, nc, maxInlineLength)
}

// serve reads commands and replies to them in order until the connection ends.
func (c *client) serve() {
	defer func() {
		c.nc.Close()
		c.server.group.mu.Lock()
		delete(c.server.clients, c)
		if c.messages != nil {
			c.server.group.unsubscribe(c)
		}
		c.server.group.mu.Unlock()
	}()
	in := bufio.NewReaderSize(c.nc, 16<<10)
	for {
		if d := c.server.options.Idle; d > 0 && c.messages == nil {
			c.nc.SetReadDeadline(time.Now().Add(d))
		}
		args, err := readCommand(in)
		var bad protoError
		if errors.As(err, &bad) {
			c.out = failure("ERR "+bad.Error()).append(c.out, c.proto)
			c.flush()
			return
		}
		if err != nil {
			return
		}
		if len(args) > 0 && !c.handle(args) {
			c.flush() // after QUIT
			return
		}
		if in.Buffered() == 0 || len(c.out) > flushThreshold {
			if !c.flush() {
				return
			}
		}
	}
}

func (c *client) flush() bool {
	if len(c.out) == 0 {
		return true
	}
	err := c.writeOut(c.out)
	c.out = c.out[:0]
	if c.unsentMessages != nil {
		messages := c.unsentMessages
		c.unsentMessages = nil
		c.server.wg.Go(func() { c.sendMessages(messages) })
	}
	return err == nil
}

// send writes replies or a message, never both at once.
func (c *client) writeOut(b []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.nc.Write(b)
	return err
}
