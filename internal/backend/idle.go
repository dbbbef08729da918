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
	for _, n := range p.nodes {
		for len(n.idle) > 0 && (n.State != policy.Running || n.idle[0].addr != n.addr || now-n.idle[0].since > p.retireAfter()) {
			p.closeIdle(n)
		}
		p.trim(n, now)
	}
}

// trim closes half of the connections that no attempt has needed since the last time.
func (p *Pool) trim(n *node, now time.Duration) {
	if now < n.spareAt {
		return
	}
	if n.spareAt > 0 && n.spare != noTake {
		for range min(n.spare/2, len(n.idle)) {
			p.closeIdle(n)
		}
	}
	n.spare, n.spareAt = noTake, now+p.retireAfter()
}

// retireAfter is for how long a connection may be idle and still be used.
func (p *Pool) retireAfter() time.Duration { return p.cfg.Idle * 2 / 3 }

// CloseIdle closes all idle connections to a node.
func (p *Pool) CloseIdle(id policy.BackendID) {
	n := p.nodes[id]
	for n != nil && len(n.idle) > 0 {
		p.closeIdle(n)
	}
}

// closeIdle closes the connection that has been idle longest; connDown does the books.
func (p *Pool) closeIdle(n *node) { p.close(n.idle[0]) }

// close closes a connection, which is not idle from then on.
func (p *Pool) close(c *conn) {
	c.closed = true
	if i := slices.Index(c.node.idle, c); i >= 0 {
		c.node.idle = slices.Delete(c.node.idle, i, i+1)
	}
	c.nc.Close()
}

// closeOldestIdle makes room for a new connection to a node, at another one where nobody waits.
func (p *Pool) closeOldestIdle(to *node) bool {
	var oldest *node
	for _, n := range p.nodes {
		if n != to && len(n.idle) > 0 && len(n.waiting) == 0 && (oldest == nil || n.idle[0].since < oldest.idle[0].since) {
			oldest = n
		}
	}
	if oldest != nil {
		p.closeIdle(oldest)
	}
	return oldest != nil
}
