package backend

import (
	"slices"

	"hitchspring/policy"
)

// The events of a connection.
type (
	connUp   struct{ c *conn }
	connDown struct { // the last event of a connection
		c  *conn
		up bool
	}
	replied struct {
		c  *conn
		to *Attempt // what had been written when it came; nil: nothing
		Reply
	}
)

func (connUp) event() {}

func (connDown) event() {}

func (replied) event() {}

// Handle takes in what a connection has told.
func (p *Pool) Handle(ev Event) {
	switch ev := ev.(type) {
	case connUp:
		p.connUp(ev)
	case connDown:
		p.connDown(ev)
	case replied:
		p.replied(ev)
	case begun:
		p.begun(ev)
	}
}

func (p *Pool) connUp(ev connUp) {
	n, now := ev.c.node, p.owner.Now()
	n.dialing--
	n.heard = now
	n.connected(now, now-ev.c.begun)
	p.free(ev.c)
}

// begun hands a value that has begun to the owner; one that nobody waits for ends its connection.
func (p *Pool) begun(ev begun) {
	c, a := ev.c, ev.c.cur
	c.node.heard = p.owner.Now()
	if a == nil || ev.to != a || a.Command == nil || a.why != still {
		ev.s.Close()
		if a == nil || ev.to != a {
			p.unasked(c)
		}
		p.close(c)
		return
	}
	a.stream, c.answered = ev.s, true
	if !p.owner.AttemptBegan(a, ev.s) {
		a.why = policy.Cancelled
		ev.s.Close()
		p.close(c)
	}
}

func (p *Pool) replied(ev replied) {
	c, a := ev.c, ev.c.cur
	c.node.heard = p.owner.Now()
	if a == nil || ev.to != a { // nobody asked for it, or it came before its command was out: the order is lost
		p.unasked(c)
		p.close(c)
		return
	}
	c.cur, c.answered = nil, true
	if a.Command != nil {
		c.node.answered(p.owner.Now() - a.handed)
	}
	if ev.extra || !a.fits(ev.Reply) {
		c.node.second.saw(p.owner.Now())
	}
	if !a.fits(ev.Reply) { // it is another command's
		ev.Reply = Reply{outcome: policy.Failed}
	}
	switch {
	case a.why != still: // it is closed
	case ev.keep:
		p.free(c)
	default:
		p.close(c)
	}
	p.end(a, ev.outcome, ev.Reply)
}

// unasked takes in that something came on a connection where no command was out: a second answer, or, before there was any
// command, a node that does not want the connection.
func (p *Pool) unasked(c *conn) {
	switch {
	case c.closed: // an answer that was not waited for any more
	case c.used:
		c.node.second.saw(p.owner.Now())
	default:
		c.node.refused(p.owner.Now())
	}
}

func (p *Pool) connDown(ev connDown) {
	c, n := ev.c, ev.c.node
	c.down = true
	n.conns--
	p.conns--
	if i := slices.Index(n.idle, c); i >= 0 {
		n.idle = slices.Delete(n.idle, i, i+1)
	}
	if !ev.up || !c.answered && !c.closed {
		n.refused(p.owner.Now())
	}
	if !ev.up {
		n.dialing--
		p.notConnected(n)
	} else if c.cur != nil {
		p.end(c.cur, c.outcome(), Reply{})
	}
	p.serve(n)
	p.feed()
	p.drop(n)
}

// notConnected ends the first attempt that waits, unless other connections are there or on their way for all of them.
func (p *Pool) notConnected(n *node) {
	if len(n.waiting) > n.dialing+len(n.idle) {
		a := n.waiting[0]
		n.waiting = n.waiting[1:]
		p.end(a, policy.NoConnect, Reply{})
	}
}

// outcome is how the attempt that a connection carries has ended with it.
func (c *conn) outcome() policy.Outcome {
	a := c.cur
	switch {
	case c.whole.Load() != a && a.why != still:
		return policy.NotSent
	case c.whole.Load() != a:
		return policy.NoConnect
	case a.why != still:
		return a.why
	}
	return policy.Reset
}
