package backend

import (
	"slices"
	"time"

	"hitchspring/policy"
)

const writeTimeout = 5 * time.Second

// serve hands connections to the attempts that wait, first come, first served. For those that are left it dials, and comes back
// when the next connection has rested, whichever is first.
func (p *Pool) serve(n *node) {
	for len(n.waiting) > 0 {
		a := n.waiting[0]
		if n.State != policy.Running || len(n.idle) > 0 && !p.sendable(a) {
			p.unwait(a)
			p.end(a, policy.NotSent, Reply{})
			continue
		}
		c := p.take(n)
		if c == nil {
			break
		}
		n.waiting = n.waiting[1:]
		p.write(c, a)
	}
	p.dial(n)
	p.wake(n)
}

// sendable is the one guard before an attempt is handed to a connection. The list may have changed since the attempt began to wait: a drain counts
// from then on. Its time may be over, while the process stood still; its client may have left.
func (p *Pool) sendable(a *Attempt) bool {
	now := p.owner.Now()
	if now >= a.Deadline || a.By > 0 && now >= a.By {
		return false
	}
	return a.Command == nil || a.node.State == policy.Running && p.owner.AttemptWanted(a)
}

// take takes an idle connection that may carry a command now; nil: none. One that has not rested may where the node is known to
// send no second answers and there can't be more connections.
func (p *Pool) take(n *node) *conn {
	now := p.owner.Now()
	for {
		i := n.choose(now, !p.mayGrow(n, now) && n.second.none(now))
		if i < 0 {
			n.spare = 0
			return nil
		}
		c := n.idle[i]
		n.idle = slices.Delete(n.idle, i, i+1)
		seen := c.look()
		if seen == spoke {
			p.unasked(c)
		}
		if seen != quiet || now-c.since > p.retireAfter() {
			p.close(c)
			continue
		}
		if c.used && c.rested(now) {
			n.second.passed()
		}
		n.spare = min(n.spare, n.rested(now))
		return c
	}
}

// write hands an attempt to a free connection.
func (p *Pool) write(c *conn, a *Attempt) {
	a.conn, c.cur, c.used, a.handed = c, a, true, p.owner.Now()
	left := min(writeTimeout, a.Deadline-a.handed) // the process may stand still before it writes
	if a.By > 0 {
		left = min(left, a.By-a.handed)
	}
	now := time.Now()
	select {
	case c.work <- job{a, a.command(a.handed), now.Add(a.Deadline - a.handed), now.Add(left)}:
	default: // it has answered what was not written yet: the order is lost, and this goroutine must not wait
		p.close(c)
	}
}

// mayGrow says whether there may be a further connection that is not needed, but saves the wait for one to rest.
func (p *Pool) mayGrow(n *node, now time.Duration) bool {
	return n.conns < mostPerNode && p.conns < p.cfg.MaxConnections && now >= n.noGrowth
}

// dial opens connections for those that wait, within the caps: one for each for whom none is idle or begun, and one for each who
// would wait for longer than a dial takes until one of them has rested.
func (p *Pool) dial(n *node) {
	for n.dialing+len(n.idle) < len(n.waiting) && n.conns < mostPerNode {
		if p.conns >= p.cfg.MaxConnections && !p.closeOldestIdle(n) {
			p.starved = true
			return
		}
		p.open(n)
	}
	now := p.owner.Now()
	for n.dialing+n.soon(now) < len(n.waiting) && p.mayGrow(n, now) {
		p.open(n)
	}
}

// open begins a connection.
func (p *Pool) open(n *node) {
	c := &conn{node: n, addr: n.addr, begun: p.owner.Now(), frames: p.cfg.Frames, sent: p.cfg.OnSent, work: make(chan job, 1), dead: make(chan struct{})}
	n.dialing++
	n.conns++
	p.conns++
	p.dials++
	p.begin(c)
}

// wake serves those that wait once the next connection has rested.
func (p *Pool) wake(n *node) {
	if n.waking || len(n.waiting) == 0 || len(n.idle) == 0 {
		return
	}
	n.waking = true
	p.owner.After(n.idle[0].since+restTime-p.owner.Now(), func() {
		n.waking = false
		p.serve(n)
	})
}

// free takes a connection that has nothing to do: for the first that waits, or to the idle ones.
func (p *Pool) free(c *conn) {
	n := c.node
	if c.down || c.closed || c.addr != n.addr || n.State != policy.Running {
		p.close(c)
		return
	}
	c.since = p.owner.Now()
	n.idle = append(n.idle, c)
	p.serve(n)
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
func (p *Pool) SetMaxConnections(n int) {
	p.cfg.MaxConnections = n
	for over := p.conns - n; over > 0 && p.closeOldestIdle(nil); over-- {
	}
	p.starved = true
	p.feed()
}
