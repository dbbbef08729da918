package resp

import (
	"errors"
	"os"
	"time"

	"hitchspring/internal/metrics"
	"hitchspring/internal/resp"
	"hitchspring/internal/socket"
)

// send writes all of b, however slowly the client reads. It fails if the connection
// fails, or if there is no progress for writeStallTimeout. While nothing can be
// written, acknowledged bytes count as progress, since the kernel accepts more data
// only when a third of its buffer is free.
func (c *connection) send(b []byte) error {
	unacknowledged := socket.Unknown // bytes unacknowledged after half of writeStallTimeout
	for len(b) > 0 {
		c.conn.SetWriteDeadline(time.Now().Add(writeStallTimeout / 2))
		n, err := c.write(b[:min(len(b), maxWriteBytes)])
		b = b[n:]
		switch {
		case n > 0 && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)):
			unacknowledged = socket.Unknown
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		default:
			now := socket.UnackedBytes(c.conn)
			if unacknowledged != socket.Unknown && (now >= unacknowledged || now == socket.Unknown) {
				return err
			}
			unacknowledged = now
			if now == socket.Unknown { // progress can't be seen: fail after the second half of writeStallTimeout
				unacknowledged = 0
			}
		}
	}
	return nil
}

// write writes b once and records that as write progress.
func (c *connection) write(b []byte) (int, error) {
	c.mu.Lock()
	c.writing = true
	c.mu.Unlock()
	n, err := c.conn.Write(b)
	c.mu.Lock()
	c.writing = false
	c.writtenBytes += n
	c.mu.Unlock()
	return n, err
}

// batch is the work of one wake-up of the writer.
type batch struct {
	encoded      []byte        // complete replies
	replies      int           // number of replies in encoded
	stream       *pendingReply // the streamed reply after them; nil if the next reply is not ready or not streamed
	endRequested bool          // the connection is to end after them, unless more bytes have arrived
	last         bool          // nothing is written after them
}

// writeReplies sends replies as they become ready. It requests the end of the
// connection when the connection is closing and no reply is pending.
func (c *connection) writeReplies(done <-chan struct{}) {
	var spare []byte
	for {
		select {
		case <-done:
			return
		case <-c.wake:
		}
		b := c.nextBatch(spare)
		if err := c.sendBatch(b); err != nil {
			c.abort(writeFailureReason(err))
			return
		}
		if spare = b.encoded; cap(spare) > resp.SmallBufferBytes {
			spare = nil
		}
		if b.last {
			return
		}
		if b.endRequested && !c.hasPartialCommand.Load() { // else wait for the partial command or its deadline
			c.mu.Lock()
			c.requestEnd()
			c.mu.Unlock()
		}
	}
}

// writeFailureReason returns the reason for which a failed write closes a connection.
func writeFailureReason(err error) metrics.CloseReason {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return metrics.ClosedSlowReader
	}
	return metrics.ClosedByClient
}

// nextBatch removes the replies that are ready. spare becomes the buffer for the
// following ones.
func (c *connection) nextBatch(spare []byte) batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := batch{encoded: c.outgoing, replies: c.outgoingReplies}
	c.outgoing, c.outgoingReplies = spare[:0], 0
	if len(c.pending) > 0 && c.pending[0].stream != nil {
		b.stream = c.pending[0]
	}
	b.endRequested = (c.closing || b.replies > 0 && c.front.Draining()) && len(c.pending) == 0
	if b.endRequested && c.phase == readClosed {
		c.phase = finished
	}
	b.last = c.phase >= finished
	return b
}

// sendBatch writes a batch and releases its commands from the pipeline window.
func (c *connection) sendBatch(b batch) error {
	if len(b.encoded) > 0 {
		if err := c.send(b.encoded); err != nil {
			return err
		}
		c.mu.Lock()
		c.replyBytes -= len(b.encoded)
		c.mu.Unlock()
		c.front.replyMemory.adjust(-len(b.encoded))
		c.front.processor.Charge(writeCost)
		for range b.replies {
			<-c.pipelineWindow
		}
		c.notifyAllWritten()
	}
	if b.stream == nil {
		return nil
	}
	if err := c.relayStream(b.stream); err != nil {
		return err
	}
	c.wakeWriter() // for the replies that became ready after it
	return nil
}
