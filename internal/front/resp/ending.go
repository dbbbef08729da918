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
	c.nc.SetReadDeadline(time.Unix(1, 0))
}

// takeEndRequest takes a request for the end back, and reports whether there was one; c.mu is held.
func (c *connection) takeEndRequest() bool {
	if !c.endRequested {
		return false
	}
	c.endRequested = false
	c.nc.SetReadDeadline(c.readUntil)
	return true
}

// tryEnd reports whether the reader was asked to end the connection, and whether that is done: nothing waits for an answer, and nothing has
// come. From then on nothing is read or taken any more. Where it isn't, the next answer asks again.
func (c *connection) tryEnd() (asked, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.takeEndRequest() {
		return false, false
	}
	if came, gone := socket.Peek(c.nc); len(c.waiting) > 0 || c.in.Partial() || came || gone {
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
	socket.CloseWrite(c.nc)
	for until := time.Now().Add(lingerTime); time.Now().Before(until); time.Sleep(lingerLook) {
		if _, gone := socket.Peek(c.nc); gone || socket.HungUp(c.nc) { // by the client, or by the end of a drain
			return
		}
	}
}

// discardUntilWritten waits for the last answer, and discards a bounded part of what comes meanwhile, so that a client that
// leaves is noticed: false.
func (c *connection) discardUntilWritten() (written bool) {
	b := make([]byte, relaySize)
	for n := 0; ; {
		select {
		case <-c.written:
			return true
		default:
		}
		if n < discardedBytes {
			c.nc.SetReadDeadline(time.Now().Add(peerClosedLook))
			k, err := c.nc.Read(b)
			n += k
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				return false
			}
			continue
		}
		if socket.HungUp(c.nc) {
			return false
		}
		wait(c.written, peerClosedLook)
	}
}
