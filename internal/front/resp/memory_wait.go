package resp

import (
	"time"

	"hitchspring/internal/metrics"
)

// reserveReply reserves the memory for the reply to the command that has just acquired
// its place in the pipeline window, and returns the number of bytes. It is 0 if no
// earlier reply is unwritten, since the reply then need not wait in memory. While no
// memory is available, reserveReply waits; each written reply frees some, and at the
// latest the command is served once all earlier replies of its connection are written.
// accepts is false if the client disconnects or the writer ends meanwhile.
func (c *connection) reserveReply() (bytes int, accepts bool) {
	if c.allWritten() {
		return 0, true
	}
	if c.front.replyMemory.reserve() {
		return maxReplyBytes, true
	}
	return c.awaitReplyMemory()
}

// awaitReplyMemory waits until reply memory is available for one more command, or none
// is needed for it.
func (c *connection) awaitReplyMemory() (bytes int, accepts bool) {
	memory := c.front.replyMemory
	c.front.metrics.CommandDelayed(metrics.DelayedReplyMemory)
	c.awaitsMemory.Store(true)
	wait := memory.wait(c.interruptMemoryWait)
	writerEnded := false
	c.waitWhileReading(func(maxWait time.Duration) bool {
		writerEnded = c.awaitMemorySignal(maxWait)
		return writerEnded || memory.isGranted(wait) || c.allWritten()
	})
	granted := memory.stopWaiting(wait)
	c.endMemoryWait()
	switch {
	case writerEnded || c.peerClosed:
		if granted {
			memory.adjust(-maxReplyBytes)
		}
		return 0, false
	case granted:
		return maxReplyBytes, true
	default:
		return 0, true
	}
}

// allWritten reports whether the replies to all commands are written but that to the
// one that the reader handles, which is in the pipeline window already.
func (c *connection) allWritten() bool { return len(c.pipelineWindow) <= 1 }

// awaitMemorySignal waits up to maxWait for a sign that the reader need not wait for
// reply memory any more. It reports whether the writer has ended.
func (c *connection) awaitMemorySignal(maxWait time.Duration) (writerEnded bool) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-c.memorySignal:
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

// notifyAllWritten interrupts the reader's wait for memory if no earlier reply is left.
func (c *connection) notifyAllWritten() {
	if c.awaitsMemory.Load() && c.allWritten() {
		c.interruptMemoryWait()
	}
}

// interruptMemoryWait makes a reader that waits for reply memory check whether it still
// has to. It never blocks and may be called from any goroutine.
func (c *connection) interruptMemoryWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaitsMemory.Load() {
		return
	}
	c.readInterrupted = true
	c.interruptRead()
	select {
	case c.memorySignal <- struct{}{}:
	default:
	}
}

// endMemoryWait restores the read deadline after a wait for reply memory.
func (c *connection) endMemoryWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitsMemory.Store(false)
	if c.readInterrupted && !c.endRequested {
		c.conn.SetReadDeadline(c.readDeadline)
	}
	c.readInterrupted = false
	select {
	case <-c.memorySignal: // of an interruption that came too late
	default:
	}
}
