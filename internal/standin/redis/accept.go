package redis

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// transactionState is the state of a connection's transaction.
type transactionState uint8

const (
	noTransaction      transactionState = iota
	queueing                            // after MULTI: commands are queued
	abortedTransaction                  // after MULTI and an invalid command: EXEC discards the queue
)

// client is one connection. Only the goroutine that serves it uses its fields, except messages, which group.mu guards,
// and writes to nc, which writeMu serializes.
type client struct {
	server *Server
	nc     net.Conn
	id     int64
	proto  int // RESP version, 2 or 3
	db     int
	name   string // set by CLIENT SETNAME or HELLO
	authed bool
	asking bool   // the previous command was ASKING
	out    []byte // replies not yet written
	// swappedReply is a reply that the fault swap sends after the next reply.
	swappedReply []byte

	transactionState transactionState
	queue            [][]string        // commands queued since MULTI
	watched          map[string]*entry // values of the watched keys at the time of WATCH

	// messages carries the messages of the channels that the client has subscribed to; nil if it has no subscription.
	messages chan []byte
	// unsentMessages equals messages from the first SUBSCRIBE until the goroutine that sends them starts, then nil.
	unsentMessages <-chan []byte
	writeMu        sync.Mutex // held while replies or a message are written
}

// accept accepts and serves connections until the listener is closed.
func (s *Server) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		s.group.mu.Lock()
		if s.stopped || s.ctx.Err() != nil || s.acceptFilter != nil && !s.acceptFilter(nc) {
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

// rejectConn sends the max-clients error and drains the connection briefly before closing it: closing with unread
// input would reset the connection and could discard the error. Errors are ignored because the connection is closed
// anyway.
func rejectConn(nc net.Conn) {
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.WriteString(nc, "-ERR max number of clients reached\r\n")
	if tcp, ok := nc.(interface{ CloseWrite() error }); ok {
		_ = tcp.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, nc, maxInlineLength)
}

// serve reads commands and replies to them in order until the connection is closed.
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
		if d := c.server.options.IdleTimeout; d > 0 && c.messages == nil {
			c.nc.SetReadDeadline(time.Now().Add(d))
		}
		args, err := readCommand(in)
		var protocolErr protoError
		if errors.As(err, &protocolErr) {
			c.out = errorReply("ERR "+protocolErr.Error()).append(c.out, c.proto)
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

// flush writes the buffered replies and starts sending subscription messages if that is pending. It reports whether
// the write succeeded.
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

// writeOut writes replies or a subscription message. Writes are serialized so that the two never interleave.
func (c *client) writeOut(b []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.nc.Write(b)
	return err
}
