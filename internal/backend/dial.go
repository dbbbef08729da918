package backend

import "time"

// mayDialExtra reports whether an extra connection to a backend may be dialed: one that is not strictly needed, but
// saves the wait until an idle connection becomes reusable.
func (p *Pool) mayDialExtra(backend *backendPool, now time.Duration) bool {
	return backend.connections < maxConnectionsPerBackend &&
		p.connections < p.cfg.MaxConnections &&
		now >= backend.noExtraDialsUntil
}

// dialForWaiting dials connections for the queued attempts, within the limits: one for each attempt in excess of the
// idle and dialing connections, and an extra one for each attempt that would wait longer for an idle connection to
// become reusable than for a dial.
func (p *Pool) dialForWaiting(backend *backendPool) {
	for backend.dialing+len(backend.idle) < len(backend.waiting) && backend.connections < maxConnectionsPerBackend {
		if p.connections >= p.cfg.MaxConnections && !p.evictIdle(backend) {
			p.limitReached = true
			return
		}
		p.openConn(backend)
	}
	now := p.owner.Now()
	for backend.dialing+backend.countReusableSoon(now) < len(backend.waiting) && p.mayDialExtra(backend, now) {
		p.openConn(backend)
	}
}

// openConn starts to dial a connection; a connectionOpened or connectionClosed event follows.
func (p *Pool) openConn(backend *backendPool) {
	c := &conn{
		backend:     backend,
		addr:        backend.addr,
		dialedAt:    p.owner.Now(),
		frameBudget: p.cfg.FrameBudget,
		onSent:      p.cfg.OnSent,
		writes:      make(chan pendingWrite, 1),
		readerDone:  make(chan struct{}),
	}
	backend.dialing++
	backend.connections++
	p.connections++
	p.dials++
	p.startConn(c)
}

// dialAfterLimit dials for attempts that were queued while MaxConnections was reached. Without it they would wait until
// they time out.
func (p *Pool) dialAfterLimit() {
	if !p.limitReached {
		return
	}
	p.limitReached = false
	for _, backend := range p.backends {
		p.dialForWaiting(backend)
	}
}

// SetMaxConnections changes the limit on connections to all backends together. Idle connections over the limit are
// closed now, and busy ones are not replaced.
func (p *Pool) SetMaxConnections(limit int) {
	p.cfg.MaxConnections = limit
	for over := p.connections - limit; over > 0 && p.evictIdle(nil); over-- {
	}
	p.limitReached = true
	p.dialAfterLimit()
}
