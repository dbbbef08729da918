package backend

import "hitchspring/policy"

// connectionOpened says that a dial has succeeded.
type connectionOpened struct{ conn *conn }

// connectionClosed is the last event of a connection.
type connectionClosed struct {
	conn    *conn
	wasOpen bool // false if the dial failed
}

// replyReceived brings a reply that has arrived to its end.
type replyReceived struct {
	conn    *conn
	attempt *Attempt // the last one that had been written when the reply arrived; nil: none
	Reply
}

// streamStarted brings the head of a large value.
type streamStarted struct {
	conn    *conn
	attempt *Attempt // as in replyReceived
	stream  *Stream
}

func (connectionOpened) event() {}

func (connectionClosed) event() {}

func (replyReceived) event() {}

func (streamStarted) event() {}

// Handle takes in an event of a connection.
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
	backend := ev.conn.backend
	now := p.owner.Now()
	backend.dialing--
	backend.lastHeardAt = now
	backend.recordConnectTime(now, now-ev.conn.dialedAt)
	p.release(ev.conn)
}

// handleStreamStarted hands a large value to the owner. If nobody waits for the value, its connection is closed.
func (p *Pool) handleStreamStarted(ev streamStarted) {
	c := ev.conn
	attempt := c.current
	c.backend.lastHeardAt = p.owner.Now()
	unsolicited := attempt == nil || ev.attempt != attempt
	if unsolicited || attempt.Command == nil || attempt.abortedAs != notAborted {
		ev.stream.Close()
		if unsolicited {
			p.recordUnsolicited(c)
		}
		p.closeConn(c)
		return
	}
	attempt.stream = ev.stream
	c.hasReplied = true
	if !p.owner.AttemptBegan(attempt, ev.stream) {
		attempt.abortedAs = policy.Canceled
		ev.stream.Close()
		p.closeConn(c)
	}
}

// handleReply ends the attempt that a reply belongs to, and closes the connection if its order is in doubt.
func (p *Pool) handleReply(ev replyReceived) {
	c := ev.conn
	attempt := c.current
	c.backend.lastHeardAt = p.owner.Now()
	if attempt == nil || ev.attempt != attempt { // no command was out, or not yet: the order is lost
		p.recordUnsolicited(c)
		p.closeConn(c)
		return
	}
	c.current = nil
	c.hasReplied = true
	if attempt.Command != nil {
		c.backend.recordReplyTime(p.owner.Now() - attempt.assignedAt)
	}
	fits := attempt.fits(ev.Reply)
	if ev.trailing || !fits {
		c.backend.duplicates.recordDuplicate(p.owner.Now())
	}
	if !fits { // it is another command's
		ev.Reply = Reply{outcome: policy.Failed}
	}
	switch {
	case attempt.abortedAs != notAborted: // the connection is closed already
	case ev.reusable:
		p.release(c)
	default:
		p.closeConn(c)
	}
	p.finish(attempt, ev.outcome, ev.Reply)
}

// recordUnsolicited records that something arrived on a connection on which no command was out. Where there had
// been one, it is a duplicate reply; otherwise the backend doesn't accept the connection.
func (p *Pool) recordUnsolicited(c *conn) {
	switch {
	case c.closed: // a reply that was not waited for any more
	case c.used:
		c.backend.duplicates.recordDuplicate(p.owner.Now())
	default:
		c.backend.pauseGrowth(p.owner.Now())
	}
}

func (p *Pool) handleConnectionClosed(ev connectionClosed) {
	c := ev.conn
	backend := c.backend
	c.disconnected = true
	backend.connections--
	p.connections--
	backend.removeIdle(c)
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

// failOneWaiting ends the first attempt that waits, unless other connections are idle or being dialed for all of them.
func (p *Pool) failOneWaiting(backend *backendPool) {
	if len(backend.waiting) > backend.dialing+len(backend.idle) {
		attempt := backend.waiting[0]
		backend.waiting = backend.waiting[1:]
		p.finish(attempt, policy.NoConnect, Reply{})
	}
}

// attemptOutcome is how the attempt that a connection carries ends with the connection.
func (c *conn) attemptOutcome() policy.Outcome {
	attempt := c.current
	written := c.lastWritten.Load() == attempt
	aborted := attempt.abortedAs != notAborted
	switch {
	case !written && aborted:
		return policy.NotSent
	case !written:
		return policy.NoConnect
	case aborted:
		return attempt.abortedAs
	}
	return policy.Reset
}
