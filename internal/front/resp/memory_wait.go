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
	c.awaitsSignal.Store(true)
	wait := memory.wait(c.interruptWait)
	writerEnded := false
	c.waitWhileReading(func(maxWait time.Duration) bool {
		writerEnded = c.awaitSignal(maxWait)
		return writerEnded || memory.isGranted(wait) || c.allWritten()
	})
	granted := memory.stopWaiting(wait)
	c.endWait()
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

// notifyAllWritten interrupts the reader's wait for memory if no earlier reply is left.
func (c *connection) notifyAllWritten() {
	if c.awaitsSignal.Load() && c.allWritten() {
		c.interruptWait()
	}
}
