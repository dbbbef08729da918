package nodes

import (
	"time"

	"hitchspring/logic"
)

const (
	mostPerNode  = 48 // connections to one node
	writeTimeout = 5 * time.Second
)

// write hands an attempt to a free connection.
func (p *Pool) write(c *conn, a *Attempt) {
	a.conn, c.cur, a.handed = c, a, p.owner.Now()
	left := writeTimeout
	if a.By > 0 {
		left = min(left, a.By-a.handed)
	}
	now := time.Now()
	select {
	case c.work <- job{a, a.command(a.handed), now.Add(a.Stop - a.handed), now.Add(left)}:
	default: // it has answered what was not written yet: the order is lost, and this goroutine must not wait
		c.nc.Close()
	}
}

// dial opens connections for those that wait, within the caps.
func (p *Pool) dial(n *node) {
	for n.dialing+n.resting < len(n.waiting) && n.conns < mostPerNode {
		if p.conns >= p.cfg.MostConns && !p.closeOldestIdle() {
			p.starved = true
			return
		}
		c := &conn{node: n, addr: n.addr, frames: p.cfg.Frames, sent: p.cfg.Sent, work: make(chan job, 1), dead: make(chan struct{})}
		n.dialing++
		n.conns++
		p.conns++
		p.dials++
		p.begin(c)
	}
}

// free takes a connection that has nothing to do: for the first that waits, or to the idle ones.
func (p *Pool) free(c *conn) {
	n := c.node
	if c.down || c.addr != n.addr || n.State == logic.Gone || !c.quiet() {
		c.nc.Close()
		return
	}
	for len(n.waiting) > 0 {
		a := n.waiting[0]
		n.waiting = n.waiting[1:]
		// The list may have changed since the attempt began to wait: a drain counts from then on.
		if n.State != logic.Running {
			p.end(a, logic.Moot, Reply{})
			continue
		}
		p.write(c, a)
		return
	}
	c.since = p.owner.Now()
	n.idle = append(n.idle, c)
	p.feed()
}

// feed lets those dial that found all connections in use elsewhere; without it they would wait for good.
func (p *Pool) feed() {
	if !p.starved {
		return
	}
	p.starved = false
	for _, n := range p.nodes {
		p.dial(n)
	}
}

// SetMost changes the bound on connections to all nodes together. Where there are more, idle ones close now, and busy ones are not
// followed by others.
func (p *Pool) SetMost(n int) {
	p.cfg.MostConns = n
	for over := p.conns - n; over > 0 && p.closeOldestIdle(); over-- {
	}
	p.starved = true
	p.feed()
}

// RetireIdle closes connections that the node is about to close: a command that crossed that would be a
// reset, and may not be sent again.
func (p *Pool) RetireIdle() {
	for _, n := range p.nodes {
		for len(n.idle) > 0 && (n.State != logic.Running || n.idle[0].addr != n.addr ||
			p.owner.Now()-n.idle[0].since > p.retireAfter()) {
			p.closeIdle(n)
		}
	}
}

// retireAfter is for how long a connection may be idle and still be used.
func (p *Pool) retireAfter() time.Duration { return p.cfg.Idle * 2 / 3 }

// CloseIdle closes all idle connections to a node.
func (p *Pool) CloseIdle(id logic.ServerID) {
	n := p.nodes[id]
	for n != nil && len(n.idle) > 0 {
		p.closeIdle(n)
	}
}

// closeIdle closes the node's coldest idle connection; connDown does the books.
func (p *Pool) closeIdle(n *node) {
	n.idle[0].nc.Close()
	n.idle = n.idle[1:]
}

// closeOldestIdle makes room for a new connection.
func (p *Pool) closeOldestIdle() bool {
	var oldest *node
	for _, n := range p.nodes {
		if len(n.idle) > 0 && (oldest == nil || n.idle[0].since < oldest.idle[0].since) {
			oldest = n
		}
	}
	if oldest != nil {
		p.closeIdle(oldest)
	}
	return oldest != nil
}
