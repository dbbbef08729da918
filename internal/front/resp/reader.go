package resp

import (
	"errors"
	"os"
	"time"

	"hitchspring/internal/resp"
	"hitchspring/internal/socket"
)

// readResult is how reading came to its end.
type readResult uint8

const (
	clientLeft     readResult = iota // the client has disconnected, or the connection is broken
	protocolFailed                   // the framing is lost, or the client has made too many protocol errors
	endedByServer                    // no command is without an answer, and the last answer is on its way
)

// commandProgress is what the reader knows of a partial command.
type commandProgress struct {
	beganAt      time.Time // zero: none has begun
	arrivedBytes int       // of it, when its deadline was last set
}

// readCommands takes commands until the connection ends.
func (c *connection) readCommands() readResult {
	in := &c.inbox
	in.Budget, in.Max = c.front.requestMemory, resp.MaxLargeValue
	defer in.Close()
	var progress commandProgress
	for {
		command, err := in.Next()
		if command != nil {
			progress = commandProgress{}
			c.handle(command, c.receipts.takeCommand(in.BufferedBytes()))
			if result, ended := c.checkProtocolErrors(); ended {
				return result
			}
			continue
		}
		if err == nil {
			c.limitPartialCommand(&progress, c.receipts.forgetPartial())
			err = c.fillInbox()
		}
		if errors.Is(err, resp.ErrMemory) {
			err = c.skipCommand()
		}
		if errors.Is(err, errEnded) {
			return endedByServer
		}
		if err != nil {
			return c.readFailed(err)
		}
	}
}

// errEnded says that the reader has ended the connection as it was requested to.
var errEnded = errors.New("the connection has ended between requests")

// fillInbox reads more of the next command. It returns errEnded if an end of the
// connection was requested and is done.
func (c *connection) fillInbox() error {
	err := c.inbox.Fill(c.receive)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	requested, ended := c.endIfIdle()
	switch {
	case ended:
		return errEnded
	case requested:
		return nil
	default:
		return err
	}
}

// checkProtocolErrors reports after a command whether reading has ended. It
// pauses for a protocol error that the core has found.
func (c *connection) checkProtocolErrors() (result readResult, ended bool) {
	count := c.protocolErrors.Load()
	switch {
	case c.peerClosed:
		return clientLeft, true
	case count >= maxProtocolErrors:
		c.rejectReceived()
		return protocolFailed, true
	case count > c.errorsBackedOff:
		c.backOff()
	}
	return 0, false
}

// limitPartialCommand sets the read deadline while a command is partial, later
// with each progress, and removes it behind the command's end. Between commands
// there is none, since setting one for each read would cost CPU time.
//
// arrivedAt is when the first of the bytes that were read last came, which may
// have waited for this process: the command's time counts from then, but what has
// come behind them is read first.
func (c *connection) limitPartialCommand(progress *commandProgress, arrivedAt time.Time) {
	partial := c.inbox.Partial()
	switch {
	case !partial && c.partialCommand.Load():
		c.setReadDeadline(time.Time{})
		c.partialCommand.Store(false)
	case partial && (progress.beganAt.IsZero() || c.inbox.BufferedBytes()-progress.arrivedBytes >= minProgressBytes):
		now := time.Now()
		if arrivedAt.IsZero() {
			arrivedAt = now
		}
		deadline := later(arrivedAt.Add(firstCommandTimeout), now.Add(minRestTimeout))
		if limit := arrivedAt.Add(stalledLimit); now.Before(limit) {
			deadline = earlier(deadline, limit)
		}
		if progress.beganAt.IsZero() {
			progress.beganAt = arrivedAt
		} else {
			deadline = earlier(deadline, progress.beganAt.Add(commandTimeout))
		}
		progress.arrivedBytes = c.inbox.BufferedBytes()
		c.partialCommand.Store(true)
		c.setReadDeadline(deadline)
	}
}

// receive reads from the connection and notes when the bytes arrived.
func (c *connection) receive(b []byte) (int, error) {
	var began time.Time // matters only for the first read, and after reading had stopped
	if c.receipts.totalBytes == 0 || !c.receipts.stoppedAt.IsZero() {
		began = time.Now()
	}
	n, err := c.conn.Read(b)
	if n > 0 {
		now := time.Now()
		if c.receipts.totalBytes == 0 {
			if waited := c.listenQueueWait(now.Sub(began)); waited >= receiptGap {
				c.receipts.noteStop(now.Add(-waited))
				began = now
			}
		}
		c.receipts.noteRead(n, began, now)
	}
	return n, err
}

// listenQueueWait returns how long the first bytes may have waited in the listen
// queue for a slot. The first read has taken readFor: what it had to wait for came
// after the connection was accepted, and only the last bytes are of known age.
func (c *connection) listenQueueWait(readFor time.Duration) time.Duration {
	waited := socket.SinceReceived(c.conn)
	if readFor < receiptGap {
		waited = socket.SinceFirstReceived(c.conn)
	}
	return min(waited, maxListenQueueWait)
}

// skipCommand reads past a command for which there is no memory now, and rejects
// it if its end is known. The command's time is limited like that of any other, so
// that a client that stops within it is not waited for.
func (c *connection) skipCommand() error {
	end := time.Now().Add(commandTimeout)
	skipped, err := c.inbox.SkipFrame(func(b []byte) (int, error) {
		c.mu.Lock()
		c.takeEndRequest() // the rest of the command comes first
		c.mu.Unlock()
		c.setReadDeadline(earlier(time.Now().Add(firstCommandTimeout), end))
		return c.receive(b)
	})
	if skipped {
		c.rejectOverloaded()
		return nil
	}
	if err == nil {
		return resp.ErrMemory
	}
	return err
}

// readFailed returns how reading has ended by err. It answers a protocol error.
func (c *connection) readFailed(err error) readResult {
	switch {
	case errors.Is(err, resp.ErrFraming), errors.Is(err, resp.ErrTooLong), errors.Is(err, resp.ErrMemory):
		c.protocolError(err.Error())
		return protocolFailed
	case errors.Is(err, os.ErrDeadlineExceeded) && c.partialCommand.Load():
		c.protocolError("the command does not end")
		return protocolFailed
	}
	return clientLeft
}

// setReadDeadline sets when reading is to stop. While an end is requested,
// reading stops at once whatever the deadline.
func (c *connection) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readDeadline = t; !c.endRequested {
		c.conn.SetReadDeadline(t)
	}
}

// waitWhileReading waits until done reports true. done waits itself, for up to
// the time that it is given. Meanwhile a bounded part of the next commands is
// read, in order to notice when the client disconnects: nothing may be sent for it
// any more. In that case it sets peerClosed and returns.
func (c *connection) waitWhileReading(done func(time.Duration) bool) {
	if done(0) {
		return
	}
	defer c.setReadDeadline(time.Time{})
	for readAhead := true; !done(0); {
		c.mu.Lock()
		c.takeEndRequest() // the commands that have been read come first
		c.mu.Unlock()
		if readAhead = readAhead && c.inbox.BufferedBytes() < readAheadBytes; !readAhead {
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

// waitClosed waits up to maxWait until a channel closes, and reports whether it
// has.
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
