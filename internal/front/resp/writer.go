package resp

import (
	"errors"
	"io"
	"os"
	"time"

	"hitchspring/internal/metrics"
	"hitchspring/internal/resp"
	"hitchspring/internal/socket"
)

// relayStream writes the first pending reply, whose value is streamed. A value
// that breaks off ends the connection, so that the client sees that it is cut.
func (c *connection) relayStream(reply *pendingReply) error {
	defer reply.stream.Close()
	if err := c.sendStream(reply); err != nil {
		return err
	}
	c.mu.Lock()
	c.pending[0] = nil
	c.pending = c.pending[1:]
	c.collectReplies()
	c.lastActive = time.Now()
	c.mu.Unlock()
	<-c.pipelineWindow
	return nil
}

// sendStream writes a bulk string: its head, its value as it arrives, its end.
func (c *connection) sendStream(reply *pendingReply) error {
	if err := c.send(reply.encoded); err != nil {
		return err
	}
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := reply.stream.Read(buffer)
		if n > 0 {
			if err := c.send(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return c.send([]byte("\r\n"))
		}
		if err != nil {
			return err
		}
	}
}

// send writes all of b. It fails only if the client makes no progress for
// writeStallTimeout: one that reads slowly gets it all. While nothing can be
// written, the bytes that the client acknowledges count as progress, since the
// kernel takes more only when a third of its buffer is free.
func (c *connection) send(b []byte) error {
	unacknowledged := socket.Unknown // bytes, when half of the client's time had passed
	for len(b) > 0 {
		c.conn.SetWriteDeadline(time.Now().Add(writeStallTimeout / 2))
		n, err := c.conn.Write(b)
		b = b[n:]
		switch {
		case n > 0 && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)):
			unacknowledged = socket.Unknown
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		default:
			now := socket.Unsent(c.conn)
			if unacknowledged != socket.Unknown && (now >= unacknowledged || now == socket.Unknown) {
				return err
			}
			unacknowledged = now
			if now == socket.Unknown { // the client has the other half of its time, and no more
				unacknowledged = 0
			}
		}
	}
	return nil
}

// batch is what the writer sends at one wake-up.
type batch struct {
	encoded      []byte        // complete replies
	replies      int           // their number
	stream       *pendingReply // the streamed reply behind them; nil: none, or its turn has not come
	endRequested bool          // the connection is to end once they are written, unless more has come
	last         bool          // nothing is written behind them
}

// writeReplies sends replies as they become due, and requests the end of the
// connection once it is closing and no command is without an answer.
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
			c.abort(writeFailure(err))
			return
		}
		if spare = b.encoded; cap(spare) > resp.SmallBufferBytes {
			spare = nil
		}
		if b.last {
			return
		}
		if b.endRequested && !c.partialCommand.Load() { // a partial command ends first, or its time does
			c.mu.Lock()
			c.requestEnd()
			c.mu.Unlock()
		}
	}
}

// writeFailure is why a connection ends if a write fails with err.
func writeFailure(err error) metrics.CloseReason {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return metrics.ClosedSlowReader
	}
	return metrics.ClosedByClient
}

// nextBatch takes the replies that are due. spare is the buffer for the next ones.
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

// sendBatch writes a batch and frees the pipeline window of its commands.
func (c *connection) sendBatch(b batch) error {
	if len(b.encoded) > 0 {
		err := c.send(b.encoded)
		c.mu.Lock()
		c.unsentBytes -= len(b.encoded)
		c.mu.Unlock()
		c.front.unsent.Add(-int64(len(b.encoded)))
		if err != nil {
			return err
		}
		for range b.replies {
			<-c.pipelineWindow
		}
	}
	if b.stream == nil {
		return nil
	}
	if err := c.relayStream(b.stream); err != nil {
		return err
	}
	c.wakeWriter() // for the replies that became due behind it
	return nil
}
