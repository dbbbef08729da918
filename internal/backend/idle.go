package backend

import (
	"time"

	"hitchspring/policy"
)

// RetireIdle closes idle connections before the backend's idle timeout does: a command that is sent while the backend
// closes the connection is reset, and may not be safe to retry. It also closes half of the connections that were not
// needed for as long: connections are used in turn, so that a surplus one would never reach the idle limit.
func (p *Pool) RetireIdle() {
	now := p.owner.Now()
	for _, backend := range p.backends {
		for len(backend.idle) > 0 && p.mustRetire(backend, backend.idle[0], now) {
			p.closeOldestIdle(backend)
		}
		p.trimIdle(backend, now)
	}
}

// mustRetire reports whether an idle connection must not be used any more.
func (p *Pool) mustRetire(backend *backendPool, c *conn, now time.Duration) bool {
	return backend.State != policy.Running || c.addr != backend.addr || now-c.idleSince > p.retireAfter()
}

// trimIdle closes half of the connections that no attempt has needed since the last trim.
func (p *Pool) trimIdle(backend *backendPool, now time.Duration) {
	if now < backend.trimAt {
		return
	}
	if backend.trimAt > 0 && backend.minSpare != minSpareUnset {
		for range min(backend.minSpare/2, len(backend.idle)) {
			p.closeOldestIdle(backend)
		}
	}
	backend.minSpare = minSpareUnset
	backend.trimAt = now + p.retireAfter()
}

// retireAfter returns how long a connection may be idle and still be used.
func (p *Pool) retireAfter() time.Duration { return p.cfg.IdleTimeout * 2 / 3 }

// CloseIdle closes all idle connections to a backend.
func (p *Pool) CloseIdle(id policy.BackendID) {
	backend := p.backends[id]
	for backend != nil && len(backend.idle) > 0 {
		p.closeOldestIdle(backend)
	}
}

// closeOldestIdle closes the connection that has been idle longest; its connectionClosed event updates the counts.
func (p *Pool) closeOldestIdle(backend *backendPool) { p.closeConn(backend.idle[0]) }

// closeConn closes a connection and removes it from the idle ones.
func (p *Pool) closeConn(c *conn) {
	c.closed = true
	c.backend.removeIdle(c)
	c.nc.Close()
}

// evictIdle closes the connection that has been idle longest among all backends without queued attempts, other than
// except. It reports whether there was one.
func (p *Pool) evictIdle(except *backendPool) bool {
	var oldest *backendPool
	for _, backend := range p.backends {
		if backend == except || len(backend.idle) == 0 || len(backend.waiting) > 0 {
			continue
		}
		if oldest == nil || backend.idle[0].idleSince < oldest.idle[0].idleSince {
			oldest = backend
		}
	}
	if oldest != nil {
		p.closeOldestIdle(oldest)
	}
	return oldest != nil
}
