package backend

import (
	"slices"

	"hitchspring/policy"
)

// The events of a connection.
type (
	connectionOpened struct{ conn *conn }
	connectionClosed struct { // the last event of a connection
		conn    *conn
		wasOpen bool
	}
	replyReceived struct {
		conn    *conn
		attempt *Attempt // what had been written when it came; nil: nothing
		Reply
	}
)

func (connectionOpened) event() {}

func (connectionClosed) event() {}

func (replyReceived) event() {}

// Handle takes in what a connection has told.
func (p *Pool) Handle(ev Event) {
	switch ev := ev.(type) {
	case connectionOpened:
		p.handleConnectionOpened(ev)
	case connectionClosed:
		p.handleConnectionClosed(ev)
	case replyReceived:
		p.handleReply(ev)
	case streamStarted:
		p.handleStreamStarted(ev)
	}
}

func (p *Pool) handleConnectionOpened(ev connectionOpened) {
	backend, now := ev.conn.backend, p.owner.Now()
	backend.dialing--
	backend.lastHeardAt = now
	backend.recordConnectTime(now, now-ev.conn.dialedAt)
	p.release(ev.conn)
}

// begun hands a value that has begun to the owner; one that nobody waits for ends its connection.
func (p *Pool) handleStreamStarted(ev streamStarted) {
	c, attempt := ev.conn, ev.conn.current
	c.backend.lastHeardAt = p.owner.Now()
	if attempt == nil || ev.attempt != attempt || attempt.Command == nil || attempt.abortedAs != notAborted {
		ev.stream.Close()
		if attempt == nil || ev.attempt != attempt {
			p.recordUnsolicited(c)
		}
		p.closeConn(c)
		return
	}
	attempt.stream, c.hasReplied = ev.stream, true
	if !p.owner.AttemptBegan(attempt, ev.stream) {
		attempt.abortedAs = policy.Cancelled
		ev.stream.Close()
		p.closeConn(c)
	}
}

func (p *Pool) handleReply(ev replyReceived) {
	c, attempt := ev.conn, ev.conn.current
	c.backend.lastHeardAt = p.owner.Now()
	if attempt == nil || ev.attempt != attempt { // nobody asked for it, or it came before its command was out: the order is lost
		p.recordUnsolicited(c)
		p.closeConn(c)
		return
	}
	c.current, c.hasReplied = nil, true
	if attempt.Command != nil {
		c.backend.recordReplyTime(p.owner.Now() - attempt.assignedAt)
	}
	if ev.trailing || !attempt.fits(ev.Reply) {
		c.backend.duplicates.recordDuplicate(p.owner.Now())
	}
	if !attempt.fits(ev.Reply) { // it is another command's
		ev.Reply = Reply{outcome: policy.Failed}
	}
	switch {
	case attempt.abortedAs != notAborted: // it is closed
	case ev.reusable:
		p.release(c)
	default:
		p.closeConn(c)
	}
	p.finish(attempt, ev.outcome, ev.Reply)
}

// unasked takes in that something came on a connection where no command was out: a second answer, or, before there was any
// command, a node that does not want the connection.
func (p *Pool) recordUnsolicited(c *conn) {
	switch {
	case c.closed: // an answer that was not waited for any more
	case c.used:
		c.backend.duplicates.recordDuplicate(p.owner.Now())
	default:
		c.backend.pauseGrowth(p.owner.Now())
	}
}

func (p *Pool) handleConnectionClosed(ev connectionClosed) {
	c, backend := ev.conn, ev.conn.backend
	c.disconnected = true
	backend.connections--
	p.connections--
	if i := slices.Index(backend.idle, c); i >= 0 {
		backend.idle = slices.Delete(backend.idle, i, i+1)
	}
	if !ev.wasOpen || !c.hasReplied && !c.closed {
		backend.pauseGrowth(p.owner.Now())
	}
	if !ev.wasOpen {
		backend.dialing--
		p.failOneWaiting(backend)
	} else if c.current != nil {
		p.finish(c.current, c.attemptOutcome(), Reply{})
	}
	p.serveWaiting(backend)
	p.dialAfterLimit()
	p.forgetIfGone(backend)
}

// notConnected ends the first attempt that waits, unless other connections are there or on their way for all of them.
func (p *Pool) failOneWaiting(backend *backendPool) {
	if len(backend.waiting) > backend.dialing+len(backend.idle) {
		attempt := backend.waiting[0]
		backend.waiting = backend.waiting[1:]
		p.finish(attempt, policy.NoConnect, Reply{})
	}
}

// outcome is how the attempt that a connection carries has ended with it.
func (c *conn) attemptOutcome() policy.Outcome {
	attempt := c.current
	switch {
	case c.lastWritten.Load() != attempt && attempt.abortedAs != notAborted:
		return policy.NotSent
	case c.lastWritten.Load() != attempt:
		return policy.NoConnect
	case attempt.abortedAs != notAborted:
		return attempt.abortedAs
	}
	return policy.Reset
}
