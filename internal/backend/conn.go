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

// replyStallTimeout is how long a backend may send nothing within a reply whose value is not streamed, or not yet. The
// deadline of the attempt ends a reply that never ends.
const replyStallTimeout = 1500 * time.Millisecond

// conn is a connection to a backend. Its goroutine run dials and reads, and starts a second goroutine that writes.
// Both end when nc is closed: by the pool, after an error, or when the owner's context ends. They notify the pool only
// by events. The fields of the first block are set before the goroutine that uses them starts. Those of the second
// block are shared, and those of the third belong to the pool.
type conn struct {
	backend     *backendPool
	addr        string
	nc          net.Conn // set before connectionOpened is posted
	rawConn     syscall.RawConn
	frameBudget *resp.Budget
	onSent      func()
	writes      chan pendingWrite
	readerDone  chan struct{}

	writeMu       sync.Mutex              // held while a command is written, until lastWritten is set
	lastWritten   atomic.Pointer[Attempt] // the last one whose command was written completely: it may have run
	currentStream atomic.Pointer[Stream]  // the value being streamed
	partial       atomic.Int32            // the partialReply that the reader has buffered

	dialedAt     time.Duration // when the dial began
	current      *Attempt      // the attempt in flight on it; nil: none
	idleSince    time.Duration
	used         bool // a command was assigned to it
	hasReplied   bool // a reply to a command has arrived
	closed       bool // the pool has closed it
	disconnected bool // connectionClosed has been handled
}

// pendingWrite is a command that waits for a connection's writer goroutine.
type pendingWrite struct {
	attempt   *Attempt
	isRequest bool      // false for a health check
	command   [][]byte  // encoded, in pieces
	writeBy   time.Time // when the last byte must be written
}

// run dials, then reads replies until the connection ends. It posts connectionClosed last.
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

// read posts replies until the connection ends or must not be reused.
func (c *conn) read(ctx context.Context, post func(Event)) {
	in := resp.FrameBuffer{Budget: c.frameBudget}
	defer in.Close()
	reply := incomingReply{conn: c}
	for {
		headerBytes, size, err := resp.ParseLargeValueHeader(in.Buffered())
		if size > 0 {
			in.Discard(headerBytes)
			if !c.readLargeReply(ctx, &in, size, reply.takeOwner(), post) {
				return
			}
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
			if !c.readReply(frame, in.Partial(), reply.takeOwner(), post) {
				return
			}
			continue
		}
		reply.recordPartial(in.Buffered())
		if in.Fill(reply.read) != nil {
			return
		}
	}
}

// readReply posts a reply to owner that arrived as one frame, and reports whether the connection may be reused. It may
// not if more bytes follow the reply: they may be a duplicate, which must never be taken for the reply to the next
// command.
func (c *conn) readReply(frame []byte, trailing bool, owner *Attempt, post func(Event)) bool {
	reply := parseReply(frame)
	reply.trailing = trailing
	reply.reusable = reply.reusable && !trailing
	post(replyReceived{c, owner, reply})
	return reply.reusable
}

// readLargeReply streams a value of size bytes to owner, whose header has been read, and posts the reply after its end.
// It reports whether the connection may be reused.
func (c *conn) readLargeReply(
	ctx context.Context, in *resp.FrameBuffer, size int, owner *Attempt, post func(Event),
) (reusable bool) {
	reply, err := c.streamValue(ctx, in, size, owner, post)
	if err != nil {
		return false
	}
	reply.trailing = in.Partial()
	reply.reusable = !reply.trailing
	post(replyReceived{c, owner, reply})
	return reply.reusable
}

// socketState is the state of a socket, determined without consuming data.
type socketState int

const (
	socketQuiet    socketState = iota // open, and nothing unread has arrived
	socketReadable                    // something unread has arrived
	socketClosed                      // the connection has ended
)

// String implements fmt.Stringer.
func (s socketState) String() string {
	switch s {
	case socketQuiet:
		return "quiet"
	case socketReadable:
		return "readable"
	case socketClosed:
		return "closed"
	}
	return "unknown"
}

// peek returns the state of the socket without consuming data. A part of a reply that the reader has consumed counts as
// unread data.
func (c *conn) peek() socketState {
	if partialReply(c.partial.Load()) != noPartialReply {
		return socketReadable
	}
	if c.rawConn == nil {
		return socketQuiet
	}
	var buf [1]byte
	var count int
	var peekErr error
	err := c.rawConn.Control(func(fd uintptr) {
		count, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return socketClosed
	case errors.Is(peekErr, syscall.EAGAIN):
		return socketQuiet
	case peekErr == nil && count > 0:
		return socketReadable
	}
	return socketClosed
}

// write writes commands until the reader has ended or a write fails.
func (c *conn) write() {
	for {
		select {
		case <-c.readerDone:
			return
		case pending := <-c.writes:
			c.nc.SetWriteDeadline(pending.writeBy) // if that has passed, the write fails at once
			c.writeMu.Lock()
			err := c.writePieces(pending.command)
			if err == nil {
				c.lastWritten.Store(pending.attempt)
				if pending.isRequest {
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

// writePieces writes the pieces of a command. It fails unless all have been written completely.
func (c *conn) writePieces(pieces [][]byte) error {
	for _, piece := range pieces {
		if _, err := c.nc.Write(piece); err != nil {
			return err
		}
	}
	return nil
}
