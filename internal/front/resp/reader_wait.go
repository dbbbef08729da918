package resp

import "time"

// This file has the reader's waits that another goroutine ends with a signal: for reply
// memory, and for the end of a value that is being relayed.

// awaitSignal waits up to maxWait for a sign that the reader need not wait any more. It
// reports whether the writer has ended.
func (c *connection) awaitSignal(maxWait time.Duration) (writerEnded bool) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-c.waitSignal:
	case <-c.written:
		return true
	case <-timer.C:
	}
	select {
	case <-c.written:
		return true
	default:
		return false
	}
}

// interruptWait makes a reader that waits for a signal check whether it still has to. It
// never blocks and may be called from any goroutine.
func (c *connection) interruptWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaitsSignal.Load() {
		return
	}
	c.readInterrupted = true
	c.interruptRead()
	select {
	case c.waitSignal <- struct{}{}:
	default:
	}
}

// endWait restores the read deadline after a wait for a signal.
func (c *connection) endWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitsSignal.Store(false)
	if c.readInterrupted && !c.endRequested {
		c.conn.SetReadDeadline(c.readDeadline)
	}
	c.readInterrupted = false
	select {
	case <-c.waitSignal: // of an interruption that came too late
	default:
	}
}
