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
type connectionPhase uint8

const (
	serving    connectionPhase = iota
	readClosed                 // the reader takes no command any more; what was taken is answered
	finished                   // all is answered, or is in the writer's hands: no reply may be added
	released                   // its goroutines write nothing any more: no answer is kept
)

// connection is one client's connection: a goroutine that reads, one that writes. Answers go out in the order of commands.
type connection struct {
	front          *Front
	conn           net.Conn
	pipelineWindow chan struct{} // the pipeline's: taken by each command until its answer is written
	wake           chan struct{} // room for one: the writer has something to look at
	written        chan struct{} // closed when nothing is written any more
	protocolErrors atomic.Int32  // that the client has made
	partialCommand atomic.Bool   // a command has begun and not ended
	abortReason    atomic.Int32  // why this process closed it under way, as a figures.Close and one more; 0: it did not

	mu              sync.Mutex
	pending         []*pendingReply // commands whose answers are not in out yet
	outgoing        []byte          // answers that the writer has not taken
	outgoingReplies int             // answers in out
	unsentBytes     int             // bytes of answers that are not written
	lastActive      time.Time       // when it was opened, the last command came or the last answer left
	hasSentCommand  bool            // a whole command has come
	closing         bool            // it will end when nothing waits for an answer
	endRequested    bool            // the reader is asked to end it, if nothing has come that it has not taken
	readDeadline    time.Time       // when reading is to stop, if no end is requested
	phase           connectionPhase // only ever rises

	// The reader's alone:
	inbox           resp.Inbox
	receipts        receiptLog
	errorsBackedOff int32 // protocol errors for which it has paused
	peerClosed      bool  // the client has left while the reader could take no more
}

func newConnection(front *Front, conn net.Conn) *connection {
	return &connection{
		front:          front,
		conn:           conn,
		pipelineWindow: make(chan struct{}, maxPipelined),
		wake:           make(chan struct{}, 1),
		written:        make(chan struct{}),
		lastActive:     time.Now(),
	}
}

// serve runs a connection to its end.
func (c *connection) serve() {
	defer c.front.serving.Done()
	done := make(chan struct{})
	go func() {
		defer close(c.written)
		c.writeReplies(done)
	}()
	reason := metrics.ClosedByClient
	switch c.readCommands() {
	case protocolFailed:
		reason = metrics.ClosedByProtocol
		// What came before is answered, then the protocol error, then the connection ends. Little more is read until then, for its end: a flood
		// costs its sender's time only.
		c.mu.Lock()
		c.phase = readClosed
		c.mu.Unlock()
		c.close()
		if c.discardUntilWritten() {
			c.conn.SetReadDeadline(time.Now().Add(lingerTime))
			socket.CloseWrite(c.conn)
			io.CopyN(io.Discard, c.conn, lingerBytes)
		}
	case endedByServer:
		reason = metrics.ClosedByServer
		c.linger()
	}
	c.conn.Close()
	close(done)
	c.closeStreams()
	<-c.written
	if abortReason := c.abortReason.Load(); abortReason != 0 {
		reason = metrics.CloseReason(abortReason - 1)
	}
	c.release(reason)
}

// abort closes the connection under way; the first reason counts.
func (c *connection) abort(reason metrics.CloseReason) {
	c.abortReason.CompareAndSwap(0, int32(reason)+1)
	c.conn.Close()
}

// release gives back what the connection holds, once its goroutines write nothing any more, and abandons the requests that are not answered.
func (c *connection) release(reason metrics.CloseReason) {
	c.front.metrics.ConnectionClosed(reason)
	c.mu.Lock()
	var abandoned []*core.Request
	for _, reply := range c.pending {
		if reply.encoded == nil {
			abandoned = append(abandoned, reply.request)
		}
	}
	c.phase = released
	c.front.unsent.Add(-int64(c.unsentBytes))
	c.mu.Unlock()
	c.closeStreams() // that came meanwhile
	if len(abandoned) > 0 {
		if reason == metrics.ClosedByServer || reason == metrics.ClosedShutdownLimit {
			c.front.guard.Violated(guard.ClosedUnanswered, "request", fmt.Sprintf("%016x", abandoned[0].ClientID), "requests", len(abandoned), "client", c.conn.RemoteAddr(), "why", reason.String())
		}
		c.front.core.NotifyDisconnected(abandoned)
	}
	c.front.mu.Lock()
	delete(c.front.connections, c)
	c.front.mu.Unlock()
	<-c.front.slots
}

// closeStreams ends the attempts whose values are passed on: the client has gone.
func (c *connection) closeStreams() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, reply := range c.pending {
		if reply != nil && reply.stream != nil {
			reply.stream.Close()
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
