package nodes

import (
	"slices"
	"time"

	"hitchspring/logic"
)

const restTime = 15 * time.Millisecond // of a connection between two commands: what stands behind an answer shows, some milliseconds late

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
	ev.c.node.dialing--
	ev.c.node.heard = p.owner.Now()
	p.free(ev.c)
}

// begun hands a value that has begun to the owner; one that nobody waits for ends its connection.
func (p *Pool) begun(ev begun) {
	c, a := ev.c, ev.c.cur
	c.node.heard = p.owner.Now()
	if a == nil || ev.to != a || a.Command == nil || a.why != still {
		ev.s.Close()
		c.nc.Close()
		return
	}
	a.stream = ev.s
	if !p.owner.AttemptBegan(a, ev.s) {
		a.why = logic.Cancelled
		ev.s.Close()
		c.nc.Close()
	}
}

func (p *Pool) replied(ev replied) {
	c, a := ev.c, ev.c.cur
	c.node.heard = p.owner.Now()
	if a == nil || ev.to != a { // nobody asked for it, or it came before its command was out: the order is lost
		c.nc.Close()
		return
	}
	c.cur = nil
	closing := a.why != still
	p.end(a, ev.outcome, ev.Reply)
	switch {
	case closing:
	case ev.keep:
		c.node.resting++
		p.owner.After(restTime, func() {
			c.node.resting--
			p.free(c)
			p.dial(c.node)
		})
	default:
		c.nc.Close()
	}
}

func (p *Pool) connDown(ev connDown) {
	n := ev.c.node
	ev.c.down = true
	n.conns--
	p.conns--
	a := ev.c.cur
	if i := slices.Index(n.idle, ev.c); i >= 0 {
		n.idle = slices.Delete(n.idle, i, i+1)
	}
	switch {
	case !ev.up:
		n.dialing--
		if len(n.waiting) > n.dialing+n.resting { // else one that was freed has taken this one's attempt
			a = n.waiting[0]
			n.waiting = n.waiting[1:]
			p.end(a, logic.NoConnect, Reply{})
		}
	case a == nil:
	case ev.c.whole.Load() != a && a.why != still:
		p.end(a, logic.Moot, Reply{})
	case ev.c.whole.Load() != a:
		p.end(a, logic.NoConnect, Reply{})
	case a.why != still:
		p.end(a, a.why, Reply{})
	default:
		p.end(a, logic.Reset, Reply{})
	}
	p.dial(n)
	p.feed()
	p.drop(n)
}
