package resp

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hitchspring/internal/core"
	"hitchspring/internal/cputime"
	"hitchspring/internal/guard"
	"hitchspring/internal/metrics"
	"hitchspring/internal/resp"
)

// connectionPhase is a stage of a connection's shutdown. It only increases.
type connectionPhase uint8

const (
	serving    connectionPhase = iota
	readClosed                 // no more commands are read; those that were read still get their replies
	finished                   // all replies have been passed to the writer; none may be added
	released                   // nothing more is written; later answers are dropped
)

// connection is the connection of one client. Its reader reads commands; its
// writer sends the replies in the order of the commands. serve is the reader's
// goroutine; it starts the writer and waits for it.
type connection struct {
	front             *Front
	conn              net.Conn
	pipelineWindow    chan struct{} // semaphore: one element per command whose reply is not written yet
	wake              chan struct{} // signals that the writer has work
	written           chan struct{} // closed when the writer has ended
	protocolErrors    atomic.Int32  // number of protocol errors by the client
	hasPartialCommand atomic.Bool   // part of a command has been read
	awaitsSignal      atomic.Bool   // the reader waits for waitSignal
	abortReason       atomic.Int32  // the metrics.CloseReason of abort plus 1; 0 if not aborted
	drainedAt         atomic.Int64  // when all that had arrived was read, in nanoseconds after acceptedAt
	acceptedAt        time.Time

	mu              sync.Mutex      // guards the fields up to phase
	pending         []*pendingReply // replies not moved to outgoing yet, in command order
	outgoing        []byte          // encoded replies for the next write
	outgoingReplies int             // number of replies in outgoing
	replyBytes      int             // of front.replyMemory, reserved or charged
	writing         bool            // the writer is within a write to the client
	writtenBytes    int             // of all writes that have returned
	lastActive      time.Time       // time of the accept, the last command or the last answer, whichever is latest
	hasSentCommand  bool            // the client has sent a complete command
	closing         bool            // the connection is to end as soon as no reply is pending
	endRequested    bool            // the reader is to end the connection unless more bytes have arrived
	readInterrupted bool            // a reader that waits for a signal is to check again
	relaying        bool            // a streamed value has been begun and not completely received
	readDeadline    time.Time       // read deadline that applies while endRequested and readInterrupted are false
	phase           connectionPhase // only increases

	waitSignal chan struct{} // signals a reader that waits for reply memory or the end of a relay to check again

	stall stallTracker // used by the goroutine that closes idle connections

	// Fields below are used by the reader only.
	inbox           resp.FrameBuffer
	receipts        receiptLog
	turn            *cputime.Account
	errorsBackedOff int32 // value of protocolErrors at the last pause
	peerClosed      bool  // the client disconnected while the reader waited
	acceptsNoMore   bool  // the last command was not accepted: the writer has ended
}

func newConnection(front *Front, conn net.Conn) *connection {
	now := time.Now()
	return &connection{
		front:          front,
		acceptedAt:     now,
		conn:           conn,
		pipelineWindow: make(chan struct{}, maxPipelined),
		wake:           make(chan struct{}, 1),
		written:        make(chan struct{}),
		waitSignal:     make(chan struct{}, 1),
		lastActive:     now,
		turn:           front.processor.NewAccount(),
	}
}

// serve reads commands and writes replies until the connection has ended.
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
	case clientDisconnected:
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

// endAfterProtocolError ends the connection once the earlier replies and that to
// the protocol error are written. It discards only a bounded number of the bytes
// that arrive meanwhile, so that a flood slows down only its sender.
func (c *connection) endAfterProtocolError() {
	c.mu.Lock()
	c.phase = readClosed
	c.mu.Unlock()
	c.close()
	if !c.discardUntilWritten() {
		return
	}
	c.lingerDiscarding()
}

// abort closes the connection at once. If it is called again, the first reason is
// the one that is recorded.
func (c *connection) abort(reason metrics.CloseReason) {
	c.abortReason.CompareAndSwap(0, int32(reason)+1)
	c.conn.Close()
}

// release frees the connection's resources and notifies the core of its
// unanswered requests. It is called after the writer has ended.
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
	replyBytes := c.replyBytes
	c.replyBytes = 0
	c.mu.Unlock()
	c.front.replyMemory.adjust(-replyBytes)
	c.closeStreams() // again: more streams may have started since the connection was closed
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

// closeStreams closes the streams of all pending replies. The connection is closed,
// so they cannot be relayed any more.
func (c *connection) closeStreams() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, reply := range c.pending {
		if reply != nil && reply.stream != nil {
			reply.stream.Close()
		}
	}
}

// close ends the connection as soon as no reply is pending.
func (c *connection) close() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.wakeWriter()
}

// wakeWriter signals the writer that it may have work. It never blocks.
func (c *connection) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
