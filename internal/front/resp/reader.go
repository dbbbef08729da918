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
	beganAt      time.Time // zero: none has begun
	arrivedBytes int       // bytes of it, by the last look at its progress
}

// read takes commands until the connection ends.
func (c *connection) readCommands() readResult {
	in := &c.inbox
	in.Budget, in.Max = c.front.requestMemory, resp.MaxLarge
	defer in.Close()
	var progress commandProgress
	for {
		command, err := in.Next()
		if command != nil {
			progress = commandProgress{}
			c.handle(command, c.receipts.takeCommand(in.ArrivedAt()))
			if n := c.protocolErrors.Load(); c.peerClosed {
				return clientLeft
			} else if n >= maxProtocolErrors {
				c.rejectReceived()
				return protocolFailed
			} else if n > c.errorsBackedOff { // of one that the core found
				c.backOff()
			}
			continue
		}
		if err == nil {
			c.limitPartialCommand(&progress, c.receipts.forgetPartial())
			if err = in.Fill(c.receive); errors.Is(err, os.ErrDeadlineExceeded) {
				if endRequested, ended := c.tryEnd(); ended {
					return endedByServer
				} else if endRequested {
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
func (c *connection) limitPartialCommand(progress *commandProgress, arrivedAt time.Time) {
	partial := c.inbox.Partial()
	switch {
	case !partial && c.partialCommand.Load():
		c.setReadDeadline(time.Time{})
		c.partialCommand.Store(false)
	case partial && (progress.beganAt.IsZero() || c.inbox.ArrivedAt()-progress.arrivedBytes >= minProgressBytes):
		now := time.Now()
		deadline := earlier(now.Add(firstCommandTimeout), progress.beganAt.Add(commandTimeout))
		if progress.beganAt.IsZero() {
			if progress.beganAt = now; !arrivedAt.IsZero() {
				progress.beganAt = arrivedAt
			}
			deadline = later(progress.beganAt.Add(firstCommandTimeout), now.Add(minRestTimeout))
		}
		progress.arrivedBytes = c.inbox.ArrivedAt()
		c.partialCommand.Store(true)
		c.setReadDeadline(deadline)
	}
}

// receive reads from the connection, and notes when what it brings has come.
func (c *connection) receive(b []byte) (int, error) {
	var began time.Time // the time of a read matters only behind a stop
	if !c.receipts.stoppedAt.IsZero() {
		began = time.Now()
	}
	n, err := c.conn.Read(b)
	if n > 0 {
		now := time.Now()
		if c.receipts.totalBytes == 0 { // it may have waited in the listen queue, for a place here, with more behind it
			if waited := min(socket.SinceData(c.conn), maxListenQueueWait); waited >= receiptGap {
				c.receipts.noteStop(now.Add(-waited))
				began = now
			}
		}
		c.receipts.noteRead(n, began, now)
	}
	return n, err
}

// skipCommand reads past a command for which there is no memory now, and refuses it, if its end is known. It has the same time as any other
// that has begun: a client that stops within it is not waited for.
func (c *connection) skipCommand() error {
	end := time.Now().Add(commandTimeout)
	skipped, err := c.inbox.Skip(func(b []byte) (int, error) {
		c.mu.Lock()
		c.takeEndRequest() // its rest comes first
		c.mu.Unlock()
		c.setReadDeadline(earlier(time.Now().Add(firstCommandTimeout), end))
		return c.receive(b)
	})
	if skipped {
		c.replyNow(encodeRejection(core.Answer{RetryAfter: core.OverloadRetryAfter}))
		return nil
	}
	if err == nil {
		return resp.ErrMemory
	}
	return err
}

// refuseReceived refuses the requests that had been read behind the protocol error that ends the connection, up to the next error: a request
// that was read is owed an answer.
func (c *connection) rejectReceived() {
	for remaining := c.inbox.ArrivedAt(); remaining > 0 && !c.peerClosed; {
		command, err := c.inbox.Next()
		if command == nil || err != nil || !c.isRequest(command) {
			return
		}
		remaining -= len(command)
		c.replyNow(encodeRejection(core.Answer{RetryAfter: core.OverloadRetryAfter}))
	}
}

// isRequest reports whether a whole command is a request that would be served.
func (c *connection) isRequest(command []byte) bool {
	complete, args, _, _, err := redcon.ReadNextCommand(command, nil)
	if err != nil || !complete || len(args) == 0 {
		return false
	}
	_, err = c.front.parseRequest(args, time.Now())
	return err == nil
}

// readFailed answers a protocol error, where that is what ended reading, and returns how reading has ended.
func (c *connection) readFailed(err error) readResult {
	switch {
	case errors.Is(err, resp.ErrFraming) || errors.Is(err, resp.ErrTooLong) || errors.Is(err, resp.ErrMemory):
		c.protocolError(err.Error())
		return protocolFailed
	case errors.Is(err, os.ErrDeadlineExceeded) && c.partialCommand.Load():
		c.protocolError("the command does not end")
		return protocolFailed
	}
	return clientLeft
}

// setReadLimit sets when reading is to stop, unless an end is requested, for which it stops at once.
func (c *connection) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readDeadline = t; !c.endRequested {
		c.conn.SetReadDeadline(t)
	}
}

// waitReading waits until done returns true, which itself waits for so long at the most (0: not at all), and notices meanwhile when the
// client leaves, since what it has asked must not be sent any more: peerClosed holds then. It reads a bounded part of what comes next.
func (c *connection) waitWhileReading(done func(time.Duration) bool) {
	if done(0) {
		return
	}
	defer c.setReadDeadline(time.Time{})
	for readAhead := true; !done(0); {
		c.mu.Lock()
		c.takeEndRequest() // what has been read comes first
		c.mu.Unlock()
		if readAhead = readAhead && c.inbox.ArrivedAt() < readAheadBytes; !readAhead {
			c.receipts.noteStop(time.Now())
			if done(peerClosedPollInterval) {
				return
			}
			if c.peerClosed = socket.HungUp(c.conn); c.peerClosed {
				return
			}
			continue
		}
		c.setReadDeadline(time.Now().Add(peerClosedPollInterval))
		switch err := c.inbox.Fill(c.receive); {
		case err == nil || errors.Is(err, os.ErrDeadlineExceeded):
		case errors.Is(err, resp.ErrMemory) || errors.Is(err, resp.ErrTooLong):
			readAhead = false
		default:
			c.peerClosed = true
			return
		}
	}
}

// wait waits until a channel closes, for so long at the most; it says whether that has closed.
func waitClosed(closed <-chan struct{}, maxWait time.Duration) bool {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-closed:
		return true
	case <-timer.C:
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
	c.errorsBackedOff = c.protocolErrors.Load()
	end := time.Now().Add(time.Duration(c.errorsBackedOff) * protocolErrorPause)
	c.waitWhileReading(func(maxWait time.Duration) bool {
		return waitClosed(c.written, min(maxWait, time.Until(end))) || !time.Now().Before(end)
	})
}

// handle serves one whole command, which came at a time.
func (c *connection) handle(command []byte, arrivedAt time.Time) {
	complete, args, _, _, err := redcon.ReadNextCommand(command, nil)
	if err != nil || !complete || len(args) == 0 {
		c.protocolError("a command is an array of bulk strings")
		return
	}
	switch string(args[0]) {
	case "PING":
		if c.front.Draining() {
			c.replyNow(redcon.AppendError(nil, "ERR draining"))
		} else {
			c.replyNow(redcon.AppendString(nil, "PONG"))
		}
	case "Q.ASK", "Q.DO":
		request, err := c.front.parseRequest(args, arrivedAt)
		if err != nil {
			c.protocolError(err.Error())
			return
		}
		if c.front.terminating.Load() && c.front.drainingFor() > drainRejectAfter { // something else is owed on this connection
			c.replyNow(encodeRejection(core.Answer{RetryAfter: core.OverloadRetryAfter}))
			return
		}
		if reply := c.addPending(request); reply != nil {
			request.Sink = reply
			c.front.core.Submit(request)
		}
	default:
		c.protocolError("unknown command")
	}
}
