package resp

import (
	"errors"
	"os"
	"time"

	"hitchspring/internal/socket"
)

// askEnd asks the reader to end the connection, if nothing has come; c.mu is held. The reader alone can tell: what it has read and not
// taken yet, and what lies in the kernel, was written before the end of the connection and is owed an answer.
func (c *connection) askEnd() {
	c.asked = true
	c.nc.SetReadDeadline(time.Unix(1, 0))
}

// look takes a question for the end back, and says whether there was one; c.mu is held.
func (c *connection) look() bool {
	if !c.asked {
		return false
	}
	c.asked = false
	c.nc.SetReadDeadline(c.until)
	return true
}

// over says whether the reader was asked to end the connection, and whether that is done: nothing waits for an answer, and nothing has
// come. From then on nothing is read or taken any more. Where it isn't, the next answer asks again.
func (c *connection) over() (asked, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.look() {
		return false, false
	}
	if came, gone := socket.Peek(c.nc); len(c.waiting) > 0 || c.in.Partial() || came || gone {
		return true, false
	}
	c.ended = true
	c.signal()
	return true, true
}

// linger ends the connection so that no answer is lost to a reset: our end is told first, then there is some time for the client's. What
// crosses our end is not read: the client sends it again elsewhere.
func (c *connection) linger() {
	<-c.written
	socket.CloseWrite(c.nc)
	for until := time.Now().Add(lingerTime); time.Now().Before(until); time.Sleep(lingerLook) {
		if _, gone := socket.Peek(c.nc); gone {
			return
		}
	}
}

// await waits for the last answer, and throws away a bounded part of what comes meanwhile, so that a client's leaving shows: false.
func (c *connection) await() (written bool) {
	b := make([]byte, relaySize)
	for n := 0; ; {
		select {
		case <-c.written:
			return true
		default:
		}
		if n < lostBytes {
			c.nc.SetReadDeadline(time.Now().Add(aheadLook))
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
		wait(c.written, aheadLook)
	}
}
