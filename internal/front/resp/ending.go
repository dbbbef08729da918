package resp

import (
	"errors"
	"os"
	"time"

	"hitchspring/internal/socket"
)

// requestEnd asks the reader to end the connection, if nothing has come; c.mu is held. The reader alone can tell: what it has read and not
// taken yet, and what lies in the kernel, was written before the end of the connection and is owed an answer.
func (c *connection) requestEnd() {
	c.endRequested = true
	c.conn.SetReadDeadline(time.Unix(1, 0))
}

// takeEndRequest takes a request for the end back, and reports whether there was one; c.mu is held.
func (c *connection) takeEndRequest() bool {
	if !c.endRequested {
		return false
	}
	c.endRequested = false
	c.conn.SetReadDeadline(c.readDeadline)
	return true
}

// tryEnd reports whether the reader was asked to end the connection, and whether that is done: nothing waits for an answer, and nothing has
// come. From then on nothing is read or taken any more. Where it isn't, the next answer asks again.
func (c *connection) tryEnd() (requested, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.takeEndRequest() {
		return false, false
	}
	if arrived, disconnected := socket.Peek(c.conn); len(c.pending) > 0 || c.inbox.Partial() || arrived || disconnected {
		return true, false
	}
	c.phase = finished
	c.wakeWriter()
	return true, true
}

// linger ends the connection so that no answer is lost to a reset: our end is told first, then there is some time for the client's. What
// crosses our end is not read: the client sends it again elsewhere.
func (c *connection) linger() {
	<-c.written
	socket.CloseWrite(c.conn)
	for deadline := time.Now().Add(lingerTime); time.Now().Before(deadline); time.Sleep(lingerPollInterval) {
		if _, disconnected := socket.Peek(c.conn); disconnected || socket.HungUp(c.conn) { // by the client, or by the end of a drain
			return
		}
	}
}

// discardUntilWritten waits for the last answer, and discards a bounded part of what comes meanwhile, so that a client that
// leaves is noticed: false.
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
