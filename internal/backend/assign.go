package backend

import (
	"slices"
	"time"

	"hitchspring/policy"
)

// writeTimeout bounds how long the write of one command may take.
const writeTimeout = 5 * time.Second

// assign gives an attempt an idle connection that may be used, or lets it wait for the first that may be: an idle
// one or a new one.
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
	// An attempt waits no longer than a dial may take, be it for a dial or for one of the connections that are all
	// busy: the policy relies on an attempt being written about when it decided on it. An attempt with an earlier
	// limit of its own says nothing of the backend when that is reached.
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

// removeWaiting removes an attempt from those that wait for a connection, and reports whether it was among them.
func (p *Pool) removeWaiting(attempt *Attempt) bool {
	i := slices.Index(attempt.backend.waiting, attempt)
	if i >= 0 {
		attempt.backend.waiting = slices.Delete(attempt.backend.waiting, i, i+1)
	}
	return i >= 0
}

// serveWaiting gives connections to the attempts that wait, first come, first served. For those that are left it dials,
// and it is called again when the next idle connection may be reused, whichever is first.
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

// sendable is the one guard before an attempt is given to a connection. Since the attempt began to wait, the
// backend may have begun to drain, the attempt's time may have run out while the process was stopped, and its
// client may have left.
func (p *Pool) sendable(attempt *Attempt) bool {
	now := p.owner.Now()
	if now >= attempt.Deadline || attempt.WriteBy > 0 && now >= attempt.WriteBy {
		return false
	}
	return attempt.Command == nil || attempt.backend.State == policy.Running && p.owner.AttemptWanted(attempt)
}

// takeIdle removes and returns an idle connection that may carry a command now, or nil. One whose reuse delay is
// not over is taken only if the backend is trusted to send no duplicate replies and no more connections can be
// opened.
func (p *Pool) takeIdle(backend *backendPool) *conn {
	now := p.owner.Now()
	for {
		i := backend.chooseIdle(now, !p.mayGrow(backend, now) && backend.duplicates.unlikely(now))
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
		if c.used && c.reusable(now) {
			backend.duplicates.recordCleanReuse()
		}
		backend.minSpare = min(backend.minSpare, backend.countReusable(now))
		return c
	}
}

// send gives an attempt to a free connection, whose goroutine writes it.
func (p *Pool) send(c *conn, attempt *Attempt) {
	attempt.conn = c
	attempt.assignedAt = p.owner.Now()
	c.current = attempt
	c.used = true
	left := min(writeTimeout, attempt.Deadline-attempt.assignedAt) // the process may be stopped before it writes
	if attempt.WriteBy > 0 {
		left = min(left, attempt.WriteBy-attempt.assignedAt)
	}
	now := time.Now()
	pending := pendingWrite{
		attempt:  attempt,
		command:  attempt.encodeCommand(attempt.assignedAt),
		deadline: now.Add(attempt.Deadline - attempt.assignedAt),
		writeBy:  now.Add(left),
	}
	select {
	case c.writes <- pending:
	default: // the backend has answered what was not written yet: the order is lost, and this goroutine must not block
		p.closeConn(c)
	}
}

// scheduleWake serves the attempts that wait once the next idle connection may be reused.
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

// release takes back a connection that carries no attempt any more: it serves those that wait, or becomes idle.
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
