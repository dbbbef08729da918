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

// relay writes a value as it comes, in its place, as the first reply that waits. A value that breaks off ends the
// connection, so that the client sees that it is cut.
func (c *connection) relay(s *pendingReply) error {
	defer s.value.Close()
	if err := c.sendValue(s); err != nil {
		return err
	}
	c.mu.Lock()
	c.waiting[0] = nil
	c.waiting = c.waiting[1:]
	c.collect()
	c.used = time.Now()
	c.mu.Unlock()
	<-c.window
	return nil
}

// sendValue writes a bulk string: its head, its value as that comes, its end.
func (c *connection) sendValue(s *pendingReply) error {
	if err := c.send(s.reply); err != nil {
		return err
	}
	buf := make([]byte, relaySize)
	for {
		n, err := s.value.Read(buf)
		if n > 0 {
			if err := c.send(buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return c.send([]byte("\r\n"))
		}
		if err != nil {
			return err
		}
	}
}

// send writes all of b. The client's time-out is for want of progress: one that reads slowly gets it all. Where nothing more can be written,
// what the client has taken of what was shows that it reads: the kernel lets more be written only when a third of its buffer is free.
func (c *connection) send(b []byte) error {
	owed := socket.Unknown // what the client had not taken when half of its time had passed
	for len(b) > 0 {
		c.nc.SetWriteDeadline(time.Now().Add(writeStall / 2))
		n, err := c.nc.Write(b)
		b = b[n:]
		switch {
		case n > 0 && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)):
			owed = socket.Unknown
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		default:
			now := socket.Unsent(c.nc)
			if owed != socket.Unknown && (now >= owed || now == socket.Unknown) {
				return err
			}
			if owed = now; now == socket.Unknown { // nobody can tell: the other half of its time, and no more
				owed = 0
			}
		}
	}
	return nil
}

// batch is what the writer has taken to send at one wake-up.
type batch struct {
	out    []byte        // whole answers
	ready  int           // their number
	stream *pendingReply // the reply behind them whose value is passed on; nil: none, or its turn has not come
	ends   bool          // the connection is to end once they are written, if nothing more has come
	last   bool          // nothing is written behind them
}

// write sends answers as they come due, and ends the connection between requests once it is closing.
func (c *connection) write(done <-chan struct{}) {
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
		if spare = b.out; cap(spare) > resp.SmallBuffer {
			spare = nil
		}
		if b.last {
			return
		}
		if b.ends && !c.partial.Load() { // the rest of a command comes first, or its time runs out
			c.mu.Lock()
			c.requestEnd()
			c.mu.Unlock()
		}
	}
}

// writeFailure says why a connection ends on which an answer could not be written.
func writeFailure(err error) metrics.CloseReason {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return metrics.ClosedSlowReader
	}
	return metrics.ClosedByClient
}

// nextBatch takes the answers that are due; spare is the buffer for the next ones.
func (c *connection) nextBatch(spare []byte) batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := batch{out: c.out, ready: c.ready}
	c.out, c.ready = spare[:0], 0
	if len(c.waiting) > 0 && c.waiting[0].value != nil {
		b.stream = c.waiting[0]
	}
	b.ends = (c.closing || b.ready > 0 && c.f.Draining()) && len(c.waiting) == 0
	if b.ends && c.phase == readClosed {
		c.phase = finished
	}
	b.last = c.phase >= finished
	return b
}

// sendBatch writes a batch and makes room in the window for as many commands.
func (c *connection) sendBatch(b batch) error {
	if len(b.out) > 0 {
		err := c.send(b.out)
		c.mu.Lock()
		c.unsent -= len(b.out)
		c.mu.Unlock()
		c.f.unsent.Add(-int64(len(b.out)))
		if err != nil {
			return err
		}
		for range b.ready {
			<-c.window
		}
	}
	if b.stream == nil {
		return nil
	}
	if err := c.relay(b.stream); err != nil {
		return err
	}
	c.wakeWriter() // for what came due behind it
	return nil
}
