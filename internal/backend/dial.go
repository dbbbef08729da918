package backend

import (
	"slices"
	"time"

	"hitchspring/policy"
)

const writeTimeout = 5 * time.Second

// serve hands connections to the attempts that wait, first come, first served. For those that are left it dials, and comes back
// when the next connection has rested, whichever is first.
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

// sendable is the one guard before an attempt is handed to a connection. The list may have changed since the attempt began to wait: a drain counts
// from then on. Its time may be over, while the process stood still; its client may have left.
func (p *Pool) sendable(attempt *Attempt) bool {
	now := p.owner.Now()
	if now >= attempt.Deadline || attempt.By > 0 && now >= attempt.By {
		return false
	}
	return attempt.Command == nil || attempt.backend.State == policy.Running && p.owner.AttemptWanted(attempt)
}

// take takes an idle connection that may carry a command now; nil: none. One that has not rested may where the node is known to
// send no second answers and there can't be more connections.
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

// write hands an attempt to a free connection.
func (p *Pool) send(c *conn, attempt *Attempt) {
	attempt.conn, c.current, c.used, attempt.assignedAt = c, attempt, true, p.owner.Now()
	left := min(writeTimeout, attempt.Deadline-attempt.assignedAt) // the process may stand still before it writes
	if attempt.By > 0 {
		left = min(left, attempt.By-attempt.assignedAt)
	}
	now := time.Now()
	select {
	case c.writes <- pendingWrite{attempt, attempt.encodeCommand(attempt.assignedAt), now.Add(attempt.Deadline - attempt.assignedAt), now.Add(left)}:
	default: // it has answered what was not written yet: the order is lost, and this goroutine must not wait
		p.closeConn(c)
	}
}

// mayGrow says whether there may be a further connection that is not needed, but saves the wait for one to rest.
func (p *Pool) mayGrow(backend *backendPool, now time.Duration) bool {
	return backend.connections < maxConnectionsPerBackend && p.connections < p.cfg.MaxConnections && now >= backend.noGrowthUntil
}

// dial opens connections for those that wait, within the caps: one for each for whom none is idle or begun, and one for each who
// would wait for longer than a dial takes until one of them has rested.
func (p *Pool) dialForWaiting(backend *backendPool) {
	for backend.dialing+len(backend.idle) < len(backend.waiting) && backend.connections < maxConnectionsPerBackend {
		if p.connections >= p.cfg.MaxConnections && !p.evictIdle(backend) {
			p.limitReached = true
			return
		}
		p.openConn(backend)
	}
	now := p.owner.Now()
	for backend.dialing+backend.countReusableSoon(now) < len(backend.waiting) && p.mayGrow(backend, now) {
		p.openConn(backend)
	}
}

// open begins a connection.
func (p *Pool) openConn(backend *backendPool) {
	c := &conn{backend: backend, addr: backend.addr, dialedAt: p.owner.Now(), frameBudget: p.cfg.Frames, onSent: p.cfg.OnSent, writes: make(chan pendingWrite, 1), readerDone: make(chan struct{})}
	backend.dialing++
	backend.connections++
	p.connections++
	p.dials++
	p.startConn(c)
}

// wake serves those that wait once the next connection has rested.
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

// free takes a connection that has nothing to do: for the first that waits, or to the idle ones.
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

// feed lets those dial that found all connections in use elsewhere; without it they would wait for good.
func (p *Pool) dialAfterLimit() {
	if !p.limitReached {
		return
	}
	p.limitReached = false
	for _, backend := range p.backends {
		p.dialForWaiting(backend)
	}
}

// SetMost changes the bound on connections to all nodes together. Where there are more, idle ones close now, and busy ones are not
// followed by others.
func (p *Pool) SetMaxConnections(limit int) {
	p.cfg.MaxConnections = limit
	for over := p.connections - limit; over > 0 && p.evictIdle(nil); over-- {
	}
	p.limitReached = true
	p.dialAfterLimit()
}
