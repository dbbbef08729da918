package backend

import (
	"slices"
	"time"

	"hitchspring/policy"
)

// writeTimeout bounds how long the write of one command may take.
const writeTimeout = 5 * time.Second

// assign gives an attempt an idle connection, or queues it until an idle or a newly dialed connection is available.
func (p *Pool) assign(attempt *Attempt) {
	backend := attempt.backend
	wait := p.cfg.ConnectTimeout
	if attempt.WriteBy > 0 {
		wait = min(wait, attempt.WriteBy-p.owner.Now())
	}
	if wait <= 0 {
		p.finish(attempt, policy.NotSent, Reply{})
		return
	}
	backend.waiting = append(backend.waiting, attempt)
	p.serveWaiting(backend)
	if attempt.conn != nil || attempt.ended {
		return
	}
	// An attempt waits at most ConnectTimeout, for a dial as well as for a busy connection: the policy relies on an
	// attempt being written soon after the decision to make it. If WriteBy ends the wait earlier, that is no sign of
	// a fault of the backend, so the outcome is NotSent instead of NoConnect.
	p.owner.After(wait, func() {
		if !p.removeWaiting(attempt) {
			return
		}
		if wait < p.cfg.ConnectTimeout {
			p.finish(attempt, policy.NotSent, Reply{})
		} else {
			p.finish(attempt, policy.NoConnect, Reply{})
		}
	})
}

// removeWaiting removes an attempt from the queue for a connection, and reports whether it was queued.
func (p *Pool) removeWaiting(attempt *Attempt) bool {
	i := slices.Index(attempt.backend.waiting, attempt)
	if i >= 0 {
		attempt.backend.waiting = slices.Delete(attempt.backend.waiting, i, i+1)
	}
	return i >= 0
}

// serveWaiting assigns idle connections to the queued attempts in FIFO order. For the attempts that are left it dials
// connections, and schedules another call for when the next idle connection becomes reusable.
func (p *Pool) serveWaiting(backend *backendPool) {
	for len(backend.waiting) > 0 {
		attempt := backend.waiting[0]
		if backend.State != policy.Running || len(backend.idle) > 0 && !p.sendable(attempt) {
			p.removeWaiting(attempt)
			p.finish(attempt, policy.NotSent, Reply{})
			continue
		}
		c := p.takeIdle(backend)
		if c == nil {
			break
		}
		backend.waiting = backend.waiting[1:]
		p.send(c, attempt)
	}
	p.dialForWaiting(backend)
	p.scheduleWake(backend)
}

// sendable reports whether a queued attempt may still be sent. It is the only check right before an attempt is
// assigned to a connection. While the attempt waited, its backend may have begun to drain, its deadline may have
// passed (for instance while the process was suspended), and its client may have disconnected.
func (p *Pool) sendable(attempt *Attempt) bool {
	now := p.owner.Now()
	if now >= attempt.Deadline || attempt.WriteBy > 0 && now >= attempt.WriteBy {
		return false
	}
	return attempt.Command == nil || attempt.backend.State == policy.Running && p.owner.AttemptWanted(attempt)
}

// takeIdle removes and returns an idle connection that may carry a command now, or nil. A connection that is still
// within its reuse delay is never taken.
func (p *Pool) takeIdle(backend *backendPool) *conn {
	now := p.owner.Now()
	for {
		i := backend.chooseIdle(now)
		if i < 0 {
			backend.minSpare = 0
			return nil
		}
		c := backend.idle[i]
		backend.idle = slices.Delete(backend.idle, i, i+1)
		state := c.peek()
		if state == socketReadable {
			p.recordUnsolicited(c)
		}
		if state != socketQuiet || now-c.idleSince > p.retireAfter() {
			p.closeConn(c)
			continue
		}
		backend.minSpare = min(backend.minSpare, backend.countReusable(now))
		return c
	}
}

// send assigns an attempt to a free connection, whose writer goroutine writes the command.
func (p *Pool) send(c *conn, attempt *Attempt) {
	attempt.conn = c
	attempt.assignedAt = p.owner.Now()
	c.current = attempt
	c.used = true
	left := min(writeTimeout, attempt.Deadline-attempt.assignedAt) // the process may be suspended before the write
	if attempt.WriteBy > 0 {
		left = min(left, attempt.WriteBy-attempt.assignedAt)
	}
	pending := pendingWrite{
		attempt:   attempt,
		isRequest: attempt.Command != nil,
		command:   attempt.encodeCommand(attempt.assignedAt),
		writeBy:   time.Now().Add(left),
	}
	select {
	case c.writes <- pending:
	default:
		// The backend replied before the previous command was written. Replies can't be matched to commands any more,
		// and the owner's goroutine must not block.
		p.closeConn(c)
	}
}

// scheduleWake starts a timer that calls serveWaiting when the next idle connection becomes reusable.
func (p *Pool) scheduleWake(backend *backendPool) {
	if backend.wakeScheduled || len(backend.waiting) == 0 || len(backend.idle) == 0 {
		return
	}
	backend.wakeScheduled = true
	p.owner.After(backend.idle[0].idleSince+reuseDelay-p.owner.Now(), func() {
		backend.wakeScheduled = false
		p.serveWaiting(backend)
	})
}

// release takes back a connection without an attempt. It is assigned to a queued attempt or becomes idle.
func (p *Pool) release(c *conn) {
	backend := c.backend
	if c.disconnected || c.closed || c.addr != backend.addr || backend.State != policy.Running {
		p.closeConn(c)
		return
	}
	c.idleSince = p.owner.Now()
	backend.idle = append(backend.idle, c)
	p.serveWaiting(backend)
	p.dialAfterLimit()
}
