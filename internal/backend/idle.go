package backend

import (
	"slices"
	"time"

	"hitchspring/policy"
)

// RetireIdle closes connections that the node is about to close: a command that crossed that would be a reset, and may not be
// sent again. It also closes half of those that were not needed for as long: connections are used in turn, so that none of them
// would ever grow old by itself.
func (p *Pool) RetireIdle() {
	now := p.owner.Now()
	for _, backend := range p.backends {
		for len(backend.idle) > 0 && (backend.State != policy.Running || backend.idle[0].addr != backend.addr || now-backend.idle[0].idleSince > p.retireAfter()) {
			p.closeOldestIdle(backend)
		}
		p.trimIdle(backend, now)
	}
}

// trim closes half of the connections that no attempt has needed since the last time.
func (p *Pool) trimIdle(backend *backendPool, now time.Duration) {
	if now < backend.trimAt {
		return
	}
	if backend.trimAt > 0 && backend.minSpare != noneTaken {
		for range min(backend.minSpare/2, len(backend.idle)) {
			p.closeOldestIdle(backend)
		}
	}
	backend.minSpare, backend.trimAt = noneTaken, now+p.retireAfter()
}

// retireAfter is for how long a connection may be idle and still be used.
func (p *Pool) retireAfter() time.Duration { return p.cfg.Idle * 2 / 3 }

// CloseIdle closes all idle connections to a node.
func (p *Pool) CloseIdle(id policy.BackendID) {
	backend := p.backends[id]
	for backend != nil && len(backend.idle) > 0 {
		p.closeOldestIdle(backend)
	}
}

// closeIdle closes the connection that has been idle longest; connDown does the books.
func (p *Pool) closeOldestIdle(backend *backendPool) { p.closeConn(backend.idle[0]) }

// close closes a connection, which is not idle from then on.
func (p *Pool) closeConn(c *conn) {
	c.closed = true
	if i := slices.Index(c.backend.idle, c); i >= 0 {
		c.backend.idle = slices.Delete(c.backend.idle, i, i+1)
	}
	c.nc.Close()
}

// closeOldestIdle makes room for a new connection to a node, at another one where nobody waits.
func (p *Pool) evictIdle(to *backendPool) bool {
	var oldest *backendPool
	for _, backend := range p.backends {
		if backend != to && len(backend.idle) > 0 && len(backend.waiting) == 0 && (oldest == nil || backend.idle[0].idleSince < oldest.idle[0].idleSince) {
			oldest = backend
		}
	}
	if oldest != nil {
		p.closeOldestIdle(oldest)
	}
	return oldest != nil
}
