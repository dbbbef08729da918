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

// connectionPhase is how far a connection has come to its end. It only rises.
type connectionPhase uint8

const (
	serving    connectionPhase = iota
	readClosed                 // the reader takes no more commands; those that it took are answered
	finished                   // every answer is with the writer: no reply may be added
	released                   // nothing is written any more: late answers are dropped
)

// connection is one client's connection. Its reader takes commands, its writer
// sends the answers in the order of the commands; serve starts both goroutines
// and waits for them.
type connection struct {
	front          *Front
	conn           net.Conn
	pipelineWindow chan struct{} // holds one element for each command until its answer is written
	wake           chan struct{} // holds an element if the writer has something to do
	written        chan struct{} // closed when nothing is written any more
	protocolErrors atomic.Int32  // made by the client
	partialCommand atomic.Bool   // a command has begun and not ended
	abortReason    atomic.Int32  // one more than the metrics.CloseReason of an abort; 0: not aborted

	mu              sync.Mutex      // guards the fields up to phase
	pending         []*pendingReply // replies that are not in outgoing yet, in the order of commands
	outgoing        []byte          // encoded replies that the writer has not taken
	outgoingReplies int             // number of replies in outgoing
	unsentBytes     int             // bytes of replies that are not written
	lastActive      time.Time       // when it was opened, the last command came or the last answer was given
	hasSentCommand  bool            // the client has sent a complete command
	closing         bool            // the connection ends as soon as no command is without an answer
	endRequested    bool            // the reader shall end the connection, unless more has come
	readDeadline    time.Time       // of the reader, while no end is requested
	phase           connectionPhase // only rises

	// Used by the reader only:
	inbox           resp.Inbox
	receipts        receiptLog
	errorsBackedOff int32 // protocol errors for which the reader has paused
	peerClosed      bool  // the client has disconnected while the reader waited
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

// serve runs the connection to its end.
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
		c.endAfterProtocolError()
	case endedByServer:
		reason = metrics.ClosedByServer
		c.linger()
	case clientLeft:
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

// endAfterProtocolError has the earlier answers written, then that of the
// protocol error. Little of what comes meanwhile is read, so that a flood costs
// only its sender's time.
func (c *connection) endAfterProtocolError() {
	c.mu.Lock()
	c.phase = readClosed
	c.mu.Unlock()
	c.close()
	if !c.discardUntilWritten() {
		return
	}
	c.conn.SetReadDeadline(time.Now().Add(lingerTime))
	socket.CloseWrite(c.conn)
	_, _ = io.CopyN(io.Discard, c.conn, lingerBytes) // the connection ends whatever is read
}

// abort closes the connection at once. The first reason counts.
func (c *connection) abort(reason metrics.CloseReason) {
	c.abortReason.CompareAndSwap(0, int32(reason)+1)
	c.conn.Close()
}

// release gives back what the connection holds and abandons its requests that
// have no answer. It is called when nothing is written any more.
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
	c.closeStreams() // those that began since the connection was closed
	if len(abandoned) > 0 {
		if reason == metrics.ClosedByServer || reason == metrics.ClosedShutdownLimit {
			c.front.guard.Violated(guard.ClosedUnanswered,
				"request", fmt.Sprintf("%016x", abandoned[0].ClientID), "requests", len(abandoned),
				"client", c.conn.RemoteAddr(), "why", reason.String())
		}
		c.front.core.NotifyDisconnected(abandoned)
	}
	c.front.mu.Lock()
	delete(c.front.connections, c)
	c.front.mu.Unlock()
	<-c.front.slots
}

// closeStreams ends the attempts whose values are being relayed: the client has
// disconnected.
func (c *connection) closeStreams() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, reply := range c.pending {
		if reply != nil && reply.stream != nil {
			reply.stream.Close()
		}
	}
}

// close has the connection end at the next moment when no command is without an
// answer.
func (c *connection) close() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.wakeWriter()
}

// wakeWriter has the writer look for something to do. It never blocks.
func (c *connection) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
