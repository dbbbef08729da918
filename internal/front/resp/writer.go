package resp

import (
	"errors"
	"io"
	"os"
	"time"

	"hitchspring/internal/resp"
	"hitchspring/internal/socket"
)

// relay writes a value as it comes, in its place, as the first reply that waits. A value that breaks off ends the
// connection, so that the client sees that it is cut.
func (c *connection) relay(s *pendingReply) error {
	defer s.value.Close()
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
			break
		}
		if err != nil {
			return err
		}
	}
	if err := c.send([]byte("\r\n")); err != nil {
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

// write sends answers as they come due, and ends the connection between requests once it is closing.
func (c *connection) write(done <-chan struct{}) {
	var buf []byte
	for {
		select {
		case <-done:
			return
		case <-c.wake:
		}
		c.mu.Lock()
		buf, c.out = c.out, buf[:0]
		ready := c.ready
		c.ready = 0
		var streaming *pendingReply
		if len(c.waiting) > 0 && c.waiting[0].value != nil {
			streaming = c.waiting[0]
		}
		ends := (c.closing || ready > 0 && c.f.Leaving()) && len(c.waiting) == 0
		if ends && c.phase == readClosed {
			c.phase = finished
		}
		last := c.phase >= finished
		c.mu.Unlock()
		if len(buf) > 0 {
			err := c.send(buf)
			c.mu.Lock()
			c.unsent -= len(buf)
			c.mu.Unlock()
			c.f.unsent.Add(-int64(len(buf)))
			if err != nil {
				c.nc.Close()
				return
			}
			for range ready {
				<-c.window
			}
		}
		if streaming != nil {
			if c.relay(streaming) != nil {
				c.nc.Close()
				return
			}
			c.wakeWriter() // for what came due behind it
		}
		if cap(buf) > resp.SmallBuffer {
			buf = nil
		}
		if last {
			return
		}
		if ends && !c.partial.Load() { // the rest of a command comes first, or its time runs out
			c.mu.Lock()
			c.requestEnd()
			c.mu.Unlock()
		}
	}
}
