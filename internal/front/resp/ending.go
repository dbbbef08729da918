package resp

import (
	"errors"
	"os"
	"time"

	"hitchspring/internal/socket"
)

// requestEnd has the reader end the connection, unless more has arrived. Only the
// reader knows: a command that it has read and not taken yet, or that lies in the
// kernel, was written to an open connection and is owed an answer. The caller has
// locked c.mu.
func (c *connection) requestEnd() {
	c.endRequested = true
	c.conn.SetReadDeadline(time.Unix(1, 0))
}

// takeEndRequest clears a request for the end, and reports whether there was one.
// The caller has locked c.mu.
func (c *connection) takeEndRequest() bool {
	if !c.endRequested {
		return false
	}
	c.endRequested = false
	c.conn.SetReadDeadline(c.readDeadline)
	return true
}

// endIfIdle ends the connection if that was requested, no command is without an
// answer, and nothing more has come. From then on nothing is read. It reports
// whether the end was requested and whether the connection has ended; if it
// hasn't, the next answer requests the end again.
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

// linger closes our direction of the connection and gives the client some time
// to close its own, so that no answer is lost to a reset. Commands that cross our
// end are not read: the client sends them again elsewhere.
func (c *connection) linger() {
	<-c.written
	socket.CloseWrite(c.conn)
	for deadline := time.Now().Add(lingerTime); time.Now().Before(deadline); time.Sleep(lingerPollInterval) {
		_, disconnected := socket.Peek(c.conn)
		if disconnected || socket.HungUp(c.conn) { // by the client, or by the end of a drain
			return
		}
	}
}

// discardUntilWritten waits for the last answer to be written and discards a
// bounded part of what comes meanwhile. It reports false if the client has
// disconnected before.
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
