package backend

import "hitchspring/policy"

// connectionOpened reports that a dial has succeeded.
type connectionOpened struct{ conn *conn }

// connectionClosed is the last event of a connection.
type connectionClosed struct {
	conn    *conn
	wasOpen bool // false if the dial failed
}

// replyReceived reports a reply that has arrived completely.
type replyReceived struct {
	conn    *conn
	attempt *Attempt // the last one written when the reply arrived; nil: none
	Reply
}

// streamStarted reports that the header of a large value has arrived.
type streamStarted struct {
	conn    *conn
	attempt *Attempt // as in replyReceived
	stream  *Stream
}

func (connectionOpened) event() {}

func (connectionClosed) event() {}

func (replyReceived) event() {}

func (streamStarted) event() {}

// Handle processes an event of a connection.
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

// handleStreamStarted passes the stream of a large value to the owner. If no attempt waits for the value, its
// connection is closed.
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

// handleReply ends the attempt that a reply belongs to. It closes the connection if the reply belongs to no command in
// flight, or if the connection must not be reused.
func (p *Pool) handleReply(ev replyReceived) {
	c := ev.conn
	attempt := c.current
	c.backend.lastHeardAt = p.owner.Now()
	if attempt == nil || ev.attempt != attempt {
		// No command was in flight or it was not written yet. Replies can't be matched to commands any more.
		p.recordUnsolicited(c)
		p.closeConn(c)
		return
	}
	c.current = nil
	c.hasReplied = true
	if attempt.Command != nil {
		c.backend.recordReplyTime(p.owner.Now() - attempt.assignedAt)
	}
	matches := attempt.matches(ev.Reply)
	if !matches { // it is the reply to another command
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

// recordUnsolicited records that data arrived on a connection without a command in flight. If the connection was used
// before, the data is a duplicate reply, or one to an aborted attempt; otherwise the backend doesn't accept the
// connection.
func (p *Pool) recordUnsolicited(c *conn) {
	if !c.closed && !c.used {
		c.backend.pauseExtraDials(p.owner.Now())
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
		backend.pauseExtraDials(p.owner.Now())
	}
	if !ev.wasOpen {
		backend.dialing--
		p.failOneWaiting(backend)
	} else if c.current != nil {
		p.finish(c.current, c.attemptOutcome(), Reply{})
	}
	p.serveWaiting(backend)
	p.dialAfterLimit()
	p.deleteIfRemoved(backend)
}

// failOneWaiting fails the first queued attempt, unless there are enough idle and dialing connections for all of them.
func (p *Pool) failOneWaiting(backend *backendPool) {
	if len(backend.waiting) > backend.dialing+len(backend.idle) {
		attempt := backend.waiting[0]
		backend.waiting = backend.waiting[1:]
		p.finish(attempt, policy.NoConnect, Reply{})
	}
}

// attemptOutcome returns the outcome of the attempt in flight on a connection that has closed.
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
