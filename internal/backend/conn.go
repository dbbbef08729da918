package backend

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hitchspring/internal/resp"
)

const partialReplyTimeout = 200 * time.Millisecond // for the rest of an answer that has begun: one that never ends is spoilt

// conn is a connection to a node, owned by its goroutine run; the fields from begun on are the pool's.
type conn struct {
	backend        *backendPool
	addr           string
	nc             net.Conn // set before connUp is posted
	rawConn        syscall.RawConn
	frameBudget    *resp.Budget
	onSent         func()
	writes         chan pendingWrite
	readerDone     chan struct{}
	writeMu        sync.Mutex              // held from before a command's first byte until whole tells of it
	lastWritten    atomic.Pointer[Attempt] // the last one that was written to its last byte: it may have run
	currentStream  atomic.Pointer[Stream]  // the last value that it began to pass on
	clientDeadline atomic.Int64            // when its client gives that up, in nanoseconds of Unix time; 0: nobody does
	dialedAt       time.Duration           // when it was dialled
	current        *Attempt
	idleSince      time.Duration // idle since
	used           bool          // it was given a command
	hasReplied     bool          // it has brought an answer to one
	closed         bool          // by the pool
	disconnected   bool
}

type pendingWrite struct {
	attempt  *Attempt
	command  []byte
	deadline time.Time // when its owner gives it up
	writeBy  time.Time // when its last byte is out at the latest
}

// run dials, then reads answers until the connection ends; it posts connDown last.
func (c *conn) run(ctx context.Context, timeout time.Duration, post func(Event)) {
	dialer := net.Dialer{Timeout: timeout}
	nc, err := dialer.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		post(connectionClosed{conn: c})
		return
	}
	c.nc = nc
	if tcp, ok := nc.(*net.TCPConn); ok {
		c.rawConn, _ = tcp.SyscallConn()
	}
	stop := context.AfterFunc(ctx, func() {
		nc.Close()
		if stream := c.currentStream.Load(); stream != nil {
			stream.Close()
		}
	})
	defer stop()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	post(connectionOpened{c})
	c.read(ctx, post)
	nc.Close()
	close(c.readerDone)
	<-written
	post(connectionClosed{conn: c, wasOpen: true})
}

// read posts answers until the connection ends or is of no further use: bytes behind an answer may be a second copy of
// it, which must never be taken for the answer to the next command.
func (c *conn) read(ctx context.Context, post func(Event)) {
	in := resp.Inbox{Budget: c.frameBudget}
	defer in.Close()
	limited := false
	for {
		head, size, err := resp.Large(in.Begun())
		if size > 0 {
			in.Drop(head)
			reply, err := c.streamValue(ctx, &in, size, post)
			if err != nil {
				return
			}
			reply.trailing = in.Partial()
			reply.reusable = !reply.trailing
			post(replyReceived{c, c.lastWritten.Load(), reply})
			if !reply.reusable {
				return
			}
			limited = false
			continue
		}
		var frame []byte
		if err == nil {
			frame, err = in.Next()
		}
		switch {
		case err != nil:
			return
		case frame != nil:
			reply := parseReply(frame)
			reply.trailing = in.Partial()
			reply.reusable = reply.reusable && !reply.trailing
			c.writeMu.Lock()
			attempt := c.lastWritten.Load()
			c.writeMu.Unlock()
			post(replyReceived{c, attempt, reply})
			if !reply.reusable {
				return
			}
			continue
		case in.Partial() && !limited:
			c.nc.SetReadDeadline(time.Now().Add(partialReplyTimeout))
			limited = true
		case limited && !in.Partial():
			c.nc.SetReadDeadline(time.Time{})
			limited = false
		}
		if in.Fill(c.nc.Read) != nil {
			return
		}
	}
}

// look is what a look at a connection's socket shows.
type socketState int

const (
	socketQuiet    socketState = iota // open, and nothing has come that was not read
	socketReadable                    // something has come that was not read
	socketClosed                      // it has ended
)

// look looks at the socket and takes nothing from it.
func (c *conn) peek() socketState {
	if c.rawConn == nil {
		return socketQuiet
	}
	var b [1]byte
	var count int
	var peeked error
	err := c.rawConn.Control(func(fd uintptr) {
		count, _, peeked = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return socketClosed
	case errors.Is(peeked, syscall.EAGAIN):
		return socketQuiet
	case peeked == nil && count > 0:
		return socketReadable
	}
	return socketClosed
}

// write writes what it is given until the connection is dead or broken.
func (c *conn) write() {
	for {
		select {
		case <-c.readerDone:
			return
		case pending := <-c.writes:
			c.nc.SetWriteDeadline(pending.writeBy) // also of one that comes too late to be begun
			if !pending.deadline.IsZero() {
				c.clientDeadline.Store(pending.deadline.UnixNano())
			}
			c.writeMu.Lock()
			n, err := c.nc.Write(pending.command)
			if n == len(pending.command) {
				c.lastWritten.Store(pending.attempt)
				if pending.attempt.Command != nil {
					c.onSent()
				}
			}
			c.writeMu.Unlock()
			if err != nil {
				c.nc.Close()
				return
			}
		}
	}
}
