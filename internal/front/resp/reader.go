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

// readResult is the reason why the reader stopped.
type readResult uint8

const (
	clientDisconnected readResult = iota // the client closed the connection, or it failed
	protocolFailed                       // the framing is invalid, or there were too many protocol errors
	endedByServer                        // no command is unanswered; the last reply may still be being written
)

// commandProgress tracks a partial command in order to set its read deadline.
type commandProgress struct {
	beganAt         time.Time // arrival of the first bytes; zero if there is no partial command
	bytesAtDeadline int       // buffered bytes when the deadline was last set
}

// readCommands reads and handles commands until the connection ends.
func (c *connection) readCommands() readResult {
	in := &c.inbox
	in.Budget, in.MaxBytes = c.front.requestMemory, resp.MaxLargeValueBytes
	defer in.Close()
	defer c.turn.End()
	var progress commandProgress
	for {
		if in.Partial() {
			if c.beginTurn(); c.peerClosed {
				return clientDisconnected
			}
		}
		command, err := in.Next()
		if command != nil {
			progress = commandProgress{}
			c.handle(command, c.receipts.consumeCommand(in.BufferedBytes()))
			c.turn.EndIfExpired()
			if result, ended := c.mayEndAfterCommand(); ended {
				return result
			}
			continue
		}
		if err == nil {
			c.updatePartialDeadline(&progress, c.receipts.discardPartial())
			err = c.fillInbox()
		}
		if errors.Is(err, resp.ErrBudgetExhausted) {
			err = c.skipCommand()
		}
		if errors.Is(err, errEnded) {
			return endedByServer
		}
		if err != nil {
			return c.handleReadError(err)
		}
	}
}

// errEnded is returned when the reader has ended the connection on request.
var errEnded = errors.New("the connection has ended between requests")

// fillInbox reads more input. It returns errEnded if the end of the connection was
// requested and the connection has ended.
func (c *connection) fillInbox() error {
	if !c.mayReadInTurn() {
		c.turn.End()
	}
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

// mayReadInTurn reports whether the next read belongs to the present turn, since it does
// not block. A command that arrives in several segments would otherwise wait for a turn
// with each read of it.
func (c *connection) mayReadInTurn() bool {
	if !c.turn.MayReadOn() {
		return false
	}
	arrived, _ := socket.Peek(c.conn)
	return arrived
}

// beginTurn waits until the connection may use processor time, unless it does already.
// Bytes that arrive meanwhile may count as arrived when the wait began. If it waits, it
// sets peerClosed if the client has disconnected, whatever it has sent before.
func (c *connection) beginTurn() {
	began := time.Now()
	if !c.turn.Begin() {
		return
	}
	now := time.Now()
	c.receipts.recordDelay(began, now)
	c.front.metrics.CommandDelayed(metrics.DelayedProcessorTime)
	c.front.metrics.TurnWaited(now.Sub(began))
	c.peerClosed = c.peerClosed || socket.HungUp(c.conn)
}

// mayEndAfterCommand is called after each command and reports whether reading must
// stop. It pauses after a protocol error that was detected by the core.
func (c *connection) mayEndAfterCommand() (result readResult, ended bool) {
	count := c.protocolErrors.Load()
	switch {
	case c.peerClosed || c.acceptsNoMore:
		return clientDisconnected, true
	case count >= maxProtocolErrors:
		c.rejectBuffered()
		return protocolFailed, true
	case c.endIfDrained():
		return endedByServer, true
	case count > c.errorsBackedOff:
		c.backOff()
	}
	return 0, false
}

// updatePartialDeadline sets the read deadline when part of a command has been read,
// extends it with each progress, and removes it when the command is complete. Between
// commands there is no deadline, since setting one for each read would cost CPU time.
//
// arrivedAt is the arrival of the earliest bytes of the latest reads. They may have
// waited in the kernel for this process. The deadline counts from their arrival, but
// leaves at least minRemainderTimeout to read the bytes that arrived after them.
func (c *connection) updatePartialDeadline(progress *commandProgress, arrivedAt time.Time) {
	partial := c.inbox.Partial()
	switch {
	case !partial && c.hasPartialCommand.Load():
		c.setReadDeadline(time.Time{})
		c.hasPartialCommand.Store(false)
		c.wakeWriter() // it does not end a connection within a command, and may have seen this one as partial
	case partial && (progress.beganAt.IsZero() || c.inbox.BufferedBytes()-progress.bytesAtDeadline >= minProgressBytes):
		now := time.Now()
		if arrivedAt.IsZero() {
			arrivedAt = now
		}
		deadline := later(arrivedAt.Add(firstCommandTimeout), now.Add(minRemainderTimeout))
		if limit := arrivedAt.Add(maxStallTime); now.Before(limit) {
			deadline = earlier(deadline, limit)
		}
		if progress.beganAt.IsZero() {
			progress.beganAt = arrivedAt
		} else {
			deadline = earlier(deadline, progress.beganAt.Add(commandTimeout))
		}
		progress.bytesAtDeadline = c.inbox.BufferedBytes()
		c.hasPartialCommand.Store(true)
		c.setReadDeadline(deadline)
	}
}

// receive reads from the connection and records when the bytes arrived.
func (c *connection) receive(b []byte) (int, error) {
	began := time.Now()
	n, err := c.conn.Read(b)
	if n < len(b) {
		c.drainedAt.Store(int64(time.Since(c.acceptedAt)))
	}
	if n > 0 {
		c.turn.Add(readCost + time.Duration(n)*readByteCost)
		now := time.Now()
		if c.receipts.totalBytes == 0 {
			if waited := c.listenQueueWait(now.Sub(began)); waited >= minReceiptInterval {
				c.receipts.recordStop(now.Add(-waited))
				began = now
			}
		}
		c.receipts.recordRead(n, began, now)
	}
	return n, err
}

// listenQueueWait estimates how long the first bytes waited while the connection was
// in the listen queue, before a slot was free. readFor is the duration of the first
// read. If that read blocked, the bytes arrived after the accept, and the kernel's
// time of the last received bytes is the best estimate.
func (c *connection) listenQueueWait(readFor time.Duration) time.Duration {
	waited := socket.SinceReceived(c.conn)
	if readFor < minReceiptInterval {
		waited = socket.SinceFirstReceived(c.conn)
	}
	return min(waited, maxListenQueueWait)
}

// skipCommand discards a command that exceeds the memory budget and rejects it. If
// its end is unknown, it returns resp.ErrBudgetExhausted. The same time limits apply as for any
// other partial command, so that a stalled client cannot block the reader.
func (c *connection) skipCommand() error {
	end := time.Now().Add(commandTimeout)
	skipped, err := c.inbox.SkipFrame(func(b []byte) (int, error) {
		c.mu.Lock()
		c.takeEndRequest() // the end must wait for the rest of the command
		c.mu.Unlock()
		c.setReadDeadline(earlier(time.Now().Add(firstCommandTimeout), end))
		c.turn.End()
		n, err := c.receive(b)
		if c.beginTurn(); c.peerClosed {
			return 0, io.EOF
		}
		return n, err
	})
	if skipped {
		c.rejectOverloaded()
		return nil
	}
	if err == nil {
		return resp.ErrBudgetExhausted
	}
	return err
}

// handleReadError maps a read error to the result of the reader. If it is a protocol
// error, it also adds the error reply.
func (c *connection) handleReadError(err error) readResult {
	switch {
	case errors.Is(err, resp.ErrFraming), errors.Is(err, resp.ErrTooLong), errors.Is(err, resp.ErrBudgetExhausted):
		c.protocolError(err.Error())
		return protocolFailed
	case errors.Is(err, os.ErrDeadlineExceeded) && c.hasPartialCommand.Load():
		c.protocolError("the command does not end")
		return protocolFailed
	}
	return clientDisconnected
}

// setReadDeadline sets the read deadline. If the end of the connection is requested,
// the expired deadline of requestEnd stays in place until takeEndRequest; the same
// holds for an interrupted read.
func (c *connection) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readDeadline = t; !c.endRequested && !c.readInterrupted {
		c.conn.SetReadDeadline(t)
	}
}

// waitWhileReading waits until done returns true. done is called repeatedly with the
// time for which it may block. Between the calls, a part of the next commands is read
// (mayReadAhead) in order to detect that the client has disconnected. In that case
// it sets peerClosed and returns early: no more attempts may be sent for the client.
func (c *connection) waitWhileReading(done func(time.Duration) bool) {
	if done(0) {
		return
	}
	defer c.setReadDeadline(time.Time{})
	c.turn.End()
	for readAhead := true; ; {
		c.mu.Lock()
		c.readInterrupted = false // before the call of done, whose result may be the reason for the interruption
		c.mu.Unlock()
		if done(0) {
			return
		}
		c.mu.Lock()
		c.takeEndRequest() // the end must wait for the commands that have been read
		c.mu.Unlock()
		if readAhead = readAhead && c.mayReadAhead(); !readAhead {
			c.receipts.recordStop(time.Now())
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
		case errors.Is(err, resp.ErrBudgetExhausted) || errors.Is(err, resp.ErrTooLong):
			readAhead = false
		default:
			c.peerClosed = true
			return
		}
	}
}

// mayHideEnd reports whether the client may have closed the connection although the
// kernel does not tell. The end comes behind all that the client has sent: while the
// kernel has no room for the rest of that, the end is still on the client's side. Until
// unseenAfter from when everything had been read, the client counts as there.
func (c *connection) mayHideEnd() bool {
	drained := time.Duration(c.drainedAt.Load())
	return time.Since(c.acceptedAt)-drained > unseenAfter && socket.HalfFull(c.conn)
}

// mayReadAhead reports whether more may be read while a command waits. The end of the
// connection can only be seen behind all that was sent before it.
func (c *connection) mayReadAhead() bool {
	limit := readAheadBytes
	if c.front.requestMemory.HalfFree() {
		limit = longReadAhead
	}
	return c.inbox.BufferedBytes() < limit && !c.turn.Overdrawn()
}

// waitClosed waits up to maxWait for a channel to be closed, and reports whether it
// was closed.
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
