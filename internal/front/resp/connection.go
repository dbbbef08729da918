package resp

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hitchspring/internal/core"
	"hitchspring/internal/guard"
	"hitchspring/internal/metrics"
	"hitchspring/internal/resp"
	"hitchspring/internal/socket"
)

// phase is how far a connection has come to its end.
type phase uint8

const (
	serving    phase = iota
	readClosed       // the reader takes no command any more; what was taken is answered
	finished         // all is answered, or is in the writer's hands: no reply may be added
	released         // its goroutines write nothing any more: no answer is kept
)

// connection is one client's connection: a goroutine that reads, one that writes. Answers go out in the order of commands.
type connection struct {
	f              *Front
	nc             net.Conn
	window         chan struct{} // the pipeline's: taken by each command until its answer is written
	wake           chan struct{} // room for one: the writer has something to look at
	written        chan struct{} // closed when nothing is written any more
	protocolErrors atomic.Int32  // that the client has made
	partial        atomic.Bool   // a command has begun and not ended
	aborted        atomic.Int32  // why this process closed it under way, as a figures.Close and one more; 0: it did not

	mu           sync.Mutex
	waiting      []*pendingReply // commands whose answers are not in out yet
	out          []byte          // answers that the writer has not taken
	ready        int             // answers in out
	unsent       int             // bytes of answers that are not written
	used         time.Time       // when it was opened, the last command came or the last answer left
	hasAsked     bool            // a whole command has come
	closing      bool            // it will end when nothing waits for an answer
	endRequested bool            // the reader is asked to end it, if nothing has come that it has not taken
	readUntil    time.Time       // when reading is to stop, if no end is requested
	phase        phase           // only ever rises

	// The reader's alone:
	in         resp.Inbox
	receipts   receipts
	backedOff  int32 // protocol errors for which it has paused
	peerClosed bool  // the client has left while the reader could take no more
}

func newConnection(f *Front, nc net.Conn) *connection {
	return &connection{
		f:       f,
		nc:      nc,
		window:  make(chan struct{}, mostPipelined),
		wake:    make(chan struct{}, 1),
		written: make(chan struct{}),
		used:    time.Now(),
	}
}

// serve runs a connection to its end.
func (c *connection) serve() {
	defer c.f.serving.Done()
	done := make(chan struct{})
	go func() {
		defer close(c.written)
		c.write(done)
	}()
	why := metrics.ClosedByClient
	switch c.read() {
	case protocolFailed:
		why = metrics.ClosedByProtocol
		// What came before is answered, then the protocol error, then the connection ends. Little more is read until then, for its end: a flood
		// costs its sender's time only.
		c.mu.Lock()
		c.phase = readClosed
		c.mu.Unlock()
		c.close()
		if c.discardUntilWritten() {
			c.nc.SetReadDeadline(time.Now().Add(lingerTime))
			socket.CloseWrite(c.nc)
			io.CopyN(io.Discard, c.nc, lingerBytes)
		}
	case endedByServer:
		why = metrics.ClosedByServer
		c.linger()
	}
	c.nc.Close()
	close(done)
	c.closeStreams()
	<-c.written
	if by := c.aborted.Load(); by != 0 {
		why = metrics.CloseReason(by - 1)
	}
	c.release(why)
}

// abort closes the connection under way; the first reason counts.
func (c *connection) abort(why metrics.CloseReason) {
	c.aborted.CompareAndSwap(0, int32(why)+1)
	c.nc.Close()
}

// release gives back what the connection holds, once its goroutines write nothing any more, and abandons the requests that are not answered.
func (c *connection) release(why metrics.CloseReason) {
	c.f.fig.ConnectionClosed(why)
	c.mu.Lock()
	var left []*core.Request
	for _, s := range c.waiting {
		if s.reply == nil {
			left = append(left, s.req)
		}
	}
	c.phase = released
	c.f.unsent.Add(-int64(c.unsent))
	c.mu.Unlock()
	c.closeStreams() // that came meanwhile
	if len(left) > 0 {
		if why == metrics.ClosedByServer || why == metrics.ClosedShutdownLimit {
			c.f.guard.Violated(guard.ClosedUnanswered, "request", fmt.Sprintf("%016x", left[0].ClientID), "requests", len(left), "client", c.nc.RemoteAddr(), "why", why.String())
		}
		c.f.core.NotifyDisconnected(left)
	}
	c.f.mu.Lock()
	delete(c.f.connections, c)
	c.f.mu.Unlock()
	<-c.f.places
}

// closeStreams ends the attempts whose values are passed on: the client has gone.
func (c *connection) closeStreams() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.waiting {
		if s != nil && s.value != nil {
			s.value.Close()
		}
	}
}

// close asks for the end of the connection at the next moment between requests.
func (c *connection) close() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.wakeWriter()
}

// wakeWriter has the writer look at the connection; it never blocks.
func (c *connection) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
