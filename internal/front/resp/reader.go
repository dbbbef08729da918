package resp

import (
	"errors"
	"os"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/internal/core"
	"hitchspring/internal/resp"
	"hitchspring/internal/socket"
)

// readResult is how reading came to its end.
type readResult uint8

const (
	clientLeft     readResult = iota // the client has left, or the connection is broken
	protocolFailed                   // the framing is lost, or the client has made too many protocol errors
	endedByServer                    // between two requests: the last answer is on its way
)

// commandProgress is what the reader knows of a command that has begun and not ended.
type commandProgress struct {
	began time.Time // zero: none has begun
	came  int       // bytes of it, by the last look at its progress
}

// read takes commands until the connection ends.
func (c *connection) read() readResult {
	in := &c.in
	in.Budget, in.Max = c.f.requestMemory, resp.MaxLarge
	defer in.Close()
	var progress commandProgress
	for {
		f, err := in.Next()
		if f != nil {
			progress = commandProgress{}
			c.handle(f, c.receipts.take(in.ArrivedAt()))
			if n := c.protocolErrors.Load(); c.peerClosed {
				return clientLeft
			} else if n >= mostProtocolErrors {
				c.refuseReceived()
				return protocolFailed
			} else if n > c.backedOff { // of one that the core found
				c.backOff()
			}
			continue
		}
		if err == nil {
			c.limitPartial(&progress, c.receipts.forget())
			if err = in.Fill(c.receive); errors.Is(err, os.ErrDeadlineExceeded) {
				if asked, ended := c.tryEnd(); ended {
					return endedByServer
				} else if asked {
					continue
				}
			}
		}
		if errors.Is(err, resp.ErrMemory) {
			err = c.skipCommand()
		}
		if err != nil {
			return c.readFailed(err)
		}
	}
}

// limitPartial sets the time limit of a command that has begun and not ended, which is longer while it makes progress, and takes it off
// behind its end. Only the rest of a command has a time limit; setting one for each read would cost CPU. What came first may have waited for this
// process: its time counts from when it came, and what has come behind it is read first.
func (c *connection) limitPartial(p *commandProgress, came time.Time) {
	partial := c.in.Partial()
	switch {
	case !partial && c.partial.Load():
		c.setReadLimit(time.Time{})
		c.partial.Store(false)
	case partial && (p.began.IsZero() || c.in.ArrivedAt()-p.came >= leastProgress):
		now := time.Now()
		limit := earlier(now.Add(firstCommand), p.began.Add(wholeCommand))
		if p.began.IsZero() {
			if p.began = now; !came.IsZero() {
				p.began = came
			}
			limit = later(p.began.Add(firstCommand), now.Add(restOfCommand))
		}
		p.came = c.in.ArrivedAt()
		c.partial.Store(true)
		c.setReadLimit(limit)
	}
}

// receive reads from the connection, and notes when what it brings has come.
func (c *connection) receive(b []byte) (int, error) {
	var began time.Time // the time of a read matters only behind a stop
	if !c.receipts.stopped.IsZero() {
		began = time.Now()
	}
	n, err := c.nc.Read(b)
	if n > 0 {
		now := time.Now()
		if c.receipts.total == 0 { // it may have waited in the listen queue, for a place here, with more behind it
			if waited := min(socket.SinceData(c.nc), mostQueued); waited >= receiptGap {
				c.receipts.stop(now.Add(-waited))
				began = now
			}
		}
		c.receipts.add(n, began, now)
	}
	return n, err
}

// skipCommand reads past a command for which there is no memory now, and refuses it, if its end is known. It has the same time as any other
// that has begun: a client that stops within it is not waited for.
func (c *connection) skipCommand() error {
	end := time.Now().Add(wholeCommand)
	skipped, err := c.in.Skip(func(b []byte) (int, error) {
		c.mu.Lock()
		c.takeEndRequest() // its rest comes first
		c.mu.Unlock()
		c.setReadLimit(earlier(time.Now().Add(firstCommand), end))
		return c.receive(b)
	})
	if skipped {
		c.replyNow(refusal(core.Answer{RetryAfter: core.OverloadRetryAfter}))
		return nil
	}
	if err == nil {
		return resp.ErrMemory
	}
	return err
}

// refuseReceived refuses the requests that had been read behind the protocol error that ends the connection, up to the next error: a request
// that was read is owed an answer.
func (c *connection) refuseReceived() {
	for left := c.in.ArrivedAt(); left > 0 && !c.peerClosed; {
		f, err := c.in.Next()
		if f == nil || err != nil || !c.isRequest(f) {
			return
		}
		left -= len(f)
		c.replyNow(refusal(core.Answer{RetryAfter: core.OverloadRetryAfter}))
	}
}

// isRequest reports whether a whole command is a request that would be served.
func (c *connection) isRequest(f []byte) bool {
	whole, args, _, _, err := redcon.ReadNextCommand(f, nil)
	if err != nil || !whole || len(args) == 0 {
		return false
	}
	_, err = c.f.parse(args, time.Now())
	return err == nil
}

// readFailed answers a protocol error, where that is what ended reading, and returns how reading has ended.
func (c *connection) readFailed(err error) readResult {
	switch {
	case errors.Is(err, resp.ErrFraming) || errors.Is(err, resp.ErrTooLong) || errors.Is(err, resp.ErrMemory):
		c.protocolError(err.Error())
		return protocolFailed
	case errors.Is(err, os.ErrDeadlineExceeded) && c.partial.Load():
		c.protocolError("the command does not end")
		return protocolFailed
	}
	return clientLeft
}

// setReadLimit sets when reading is to stop, unless an end is requested, for which it stops at once.
func (c *connection) setReadLimit(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readUntil = t; !c.endRequested {
		c.nc.SetReadDeadline(t)
	}
}

// waitReading waits until done returns true, which itself waits for so long at the most (0: not at all), and notices meanwhile when the
// client leaves, since what it has asked must not be sent any more: peerClosed holds then. It reads a bounded part of what comes next.
func (c *connection) waitReading(done func(time.Duration) bool) {
	if done(0) {
		return
	}
	defer c.setReadLimit(time.Time{})
	for ahead := true; !done(0); {
		c.mu.Lock()
		c.takeEndRequest() // what has been read comes first
		c.mu.Unlock()
		if ahead = ahead && c.in.ArrivedAt() < readAheadBytes; !ahead {
			c.receipts.stop(time.Now())
			if done(peerClosedLook) {
				return
			}
			if c.peerClosed = socket.HungUp(c.nc); c.peerClosed {
				return
			}
			continue
		}
		c.setReadLimit(time.Now().Add(peerClosedLook))
		switch err := c.in.Fill(c.receive); {
		case err == nil || errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, resp.ErrMemory) || errors.Is(err, resp.ErrTooLong):
			ahead = false
		default:
			c.peerClosed = true
			return
		}
	}
}

// wait waits until a channel closes, for so long at the most; it says whether that has closed.
func wait(closed <-chan struct{}, most time.Duration) bool {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-closed:
		return true
	case <-t.C:
		return false
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// protocolError answers a protocol error, after a pause: a client that repeats it as soon as it has been answered takes no CPU
// from the others.
func (c *connection) protocolError(text string) {
	c.protocolErrors.Add(1)
	c.backOff()
	c.replyNow(redcon.AppendError(nil, "ERR "+text))
}

// backOff waits, longer with each protocol error, once for each.
func (c *connection) backOff() {
	c.backedOff = c.protocolErrors.Load()
	end := time.Now().Add(time.Duration(c.backedOff) * protocolErrorPause)
	c.waitReading(func(most time.Duration) bool {
		return wait(c.written, min(most, time.Until(end))) || !time.Now().Before(end)
	})
}

// handle serves one whole command, which came at a time.
func (c *connection) handle(f []byte, at time.Time) {
	whole, args, _, _, err := redcon.ReadNextCommand(f, nil)
	if err != nil || !whole || len(args) == 0 {
		c.protocolError("a command is an array of bulk strings")
		return
	}
	switch string(args[0]) {
	case "PING":
		if c.f.Draining() {
			c.replyNow(redcon.AppendError(nil, "ERR draining"))
		} else {
			c.replyNow(redcon.AppendString(nil, "PONG"))
		}
	case "Q.ASK", "Q.DO":
		r, err := c.f.parse(args, at)
		if err != nil {
			c.protocolError(err.Error())
			return
		}
		if c.f.terminating.Load() && c.f.drainingFor() > drainRefuseAfter { // something else is owed on this connection
			c.replyNow(refusal(core.Answer{RetryAfter: core.OverloadRetryAfter}))
			return
		}
		if s := c.addPending(r); s != nil {
			r.Sink = s
			c.f.core.Submit(r)
		}
	default:
		c.protocolError("unknown command")
	}
}
