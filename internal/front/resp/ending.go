package resp

import (
	"errors"
	"os"
	"time"

	"hitchspring/internal/socket"
)

// requestEnd interrupts the reader so that it ends the connection unless more bytes
// have arrived. Only the reader can decide this: a command may be in its buffer or in
// the kernel's, and was written to an open connection, so it must be answered. The
// caller must hold c.mu.
func (c *connection) requestEnd() {
	c.endRequested = true
	c.interruptRead()
}

// interruptRead makes a read that blocks fail with os.ErrDeadlineExceeded, and so each
// further one until a read deadline is set.
func (c *connection) interruptRead() { c.conn.SetReadDeadline(time.Unix(1, 0)) }

// takeEndRequest clears endRequested, restores the read deadline and reports
// whether endRequested was set. The caller must hold c.mu.
func (c *connection) takeEndRequest() bool {
	if !c.endRequested {
		return false
	}
	c.endRequested = false
	if !c.readInterrupted {
		c.conn.SetReadDeadline(c.readDeadline)
	}
	return true
}

// endIfIdle ends the connection if its end was requested, no reply is pending and
// no more bytes have arrived. After that, nothing more is read. It reports whether the
// end was requested and whether the connection ended. If it didn't end, the end is
// requested again after the next reply.
func (c *connection) endIfIdle() (requested, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.takeEndRequest() {
		return false, false
	}
	arrived, disconnected := socket.Peek(c.conn)
	if len(c.pending) > 0 || c.inbox.Partial() || arrived || disconnected {
		return true, false
	}
	c.phase = finished
	c.wakeWriter()
	return true, true
}

// linger closes the sending side of the connection and waits until the client has
// received all replies, and then briefly for it to close the other side: a TCP reset,
// which a close with unread input causes, would destroy replies in transit. Commands
// that arrive meanwhile are not read: the client sends them again on another
// connection.
func (c *connection) linger() {
	<-c.written
	socket.CloseWrite(c.conn)
	delivery := newDelivery(time.Now())
	for ; delivery.awaited(time.Now(), socket.UnackedBytes(c.conn)); time.Sleep(lingerPollInterval) {
		_, disconnected := socket.Peek(c.conn)
		if disconnected || socket.HungUp(c.conn) { // closed by the client, or aborted at the time limit of a drain
			return
		}
	}
}

// lingerDiscarding is linger for a connection whose further input is of no use. It
// discards up to lingerBytes of it.
func (c *connection) lingerDiscarding() {
	socket.CloseWrite(c.conn)
	buffer := make([]byte, relayBufferSize)
	delivery := newDelivery(time.Now())
	for discarded := 0; discarded < lingerBytes && delivery.awaited(time.Now(), socket.UnackedBytes(c.conn)); {
		c.conn.SetReadDeadline(time.Now().Add(lingerPollInterval))
		n, err := c.conn.Read(buffer)
		discarded += n
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// delivery decides for how long an ended connection waits for its client.
type delivery struct {
	unacked  int       // bytes that the client's kernel had not acknowledged at the last call of awaited
	deadline time.Time // for progress, or for the client's close once all is acknowledged
}

func newDelivery(now time.Time) *delivery { return &delivery{deadline: now.Add(lingerTime)} }

// awaited reports whether to go on waiting: while the client acknowledges replies, with
// pauses of less than stalledReaderTimeout, and for lingerTime after the last. unacked is
// socket.Unknown if the kernel does not tell.
func (d *delivery) awaited(now time.Time, unacked int) bool {
	switch {
	case unacked == socket.Unknown || unacked == d.unacked:
	case unacked > 0:
		d.deadline = now.Add(stalledReaderTimeout)
	default:
		d.deadline = now.Add(lingerTime)
	}
	d.unacked = unacked
	return now.Before(d.deadline)
}

// discardUntilWritten waits until the last reply is written, and discards up to
// maxDiscardedBytes of the input that arrives meanwhile. It returns false if the
// client disconnects first.
func (c *connection) discardUntilWritten() (written bool) {
	buffer := make([]byte, relayBufferSize)
	for discarded := 0; ; {
		select {
		case <-c.written:
			return true
		default:
		}
		if discarded < maxDiscardedBytes {
			c.conn.SetReadDeadline(time.Now().Add(peerClosedPollInterval))
			n, err := c.conn.Read(buffer)
			discarded += n
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				return false
			}
			continue
		}
		if socket.HungUp(c.conn) {
			return false
		}
		waitClosed(c.written, peerClosedPollInterval)
	}
}
