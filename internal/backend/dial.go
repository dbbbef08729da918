package backend

import "time"

// mayGrow reports whether a backend may have a further connection that is not needed, but saves the wait until an
// idle one may be reused.
func (p *Pool) mayGrow(backend *backendPool, now time.Duration) bool {
	return backend.connections < maxConnectionsPerBackend &&
		p.connections < p.cfg.MaxConnections &&
		now >= backend.noGrowthUntil
}

// dialForWaiting opens connections for the attempts that wait, within the limits: one for each that has none idle
// or being dialed, and one for each that would wait longer for an idle connection to become reusable than a dial
// takes.
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

// openConn begins to open a connection; a connectionOpened or connectionClosed event follows.
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

// dialAfterLimit dials for attempts that found the limit on all connections reached. Without it they would wait until
// their time is over.
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
