package backend

import (
	"slices"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/policy"
)

const still = policy.Failed // the zero outcome: an attempt that nobody has given up

// Command is what an attempt writes to a node.
type Command interface {
	// Encode returns the command in the nodes' protocol, with the time that is left for its answer.
	Encode(left time.Duration) []byte
}

// Attempt is one command on its way to a node: of a request, or a probe. Its exported fields are the owner's, set before Start.
type Attempt struct {
	Ref       any     // the owner's own: what it is an attempt of
	Number    int     // the owner's number for it
	Command   Command // nil: a probe
	StartedAt time.Duration
	Deadline  time.Duration // when the owner gives it up
	By        time.Duration // its last byte goes out by then, or it is never sent; 0: at any time before Stop
	node      *node
	at        policy.Backend // node's entry when it was sent; the list may change it
	conn      *conn          // carries it; nil while it waits for one
	handed    time.Duration  // when it was given to conn
	why       policy.Outcome // given up by the owner: TimedOut or Cancelled; else still
	stream    *Stream        // of a large value that has begun to come
	ended     bool
	outcome   policy.Outcome // once it has ended
}

// NeverRan says whether it has ended as one that surely never ran.
func (a *Attempt) NeverRan() bool { return a.ended && a.outcome.NeverRan() }

// Ended says whether the owner has been told of its end.
func (a *Attempt) Ended() bool { return a.ended }

// Written says whether it was handed to a connection and may have run, as far as is known.
func (a *Attempt) Written() bool { return a.conn != nil && !a.NeverRan() }

// Handed says whether it was given to a connection.
func (a *Attempt) Assigned() bool { return a.conn != nil }

// Server is the entry of the list for where it was sent, as it was then, and whether that server serves by the list now.
func (a *Attempt) Backend() (entry policy.Backend, serves bool) {
	return a.at, a.node != nil && a.node.State == policy.Running
}

// Outcome is how it has ended; ended is false where it has not.
func (a *Attempt) Outcome() (o policy.Outcome, ended bool) { return a.outcome, a.ended }

// Node is where it was sent; empty before Start.
func (a *Attempt) BackendID() policy.BackendID {
	if a.node == nil {
		return ""
	}
	return a.node.ID
}

// fits says whether a reply is of the form that its command asks for. An error line fits any.
func (a *Attempt) fits(r Reply) bool {
	if r.outcome != policy.Succeeded || a.stream != nil {
		return true
	}
	return (a.Command == nil) == (r.Value == nil)
}

// command is what it writes: the client's own, with the time that is left for it, or a probe.
func (a *Attempt) command(now time.Duration) []byte {
	if a.Command == nil {
		return redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(nil, 2), "INFO"), "load")
	}
	return a.Command.Encode(a.Deadline - now)
}

// Start sends an attempt to a node, on an idle connection or on the first that comes free. Where the node is not
// one that serves, it ends at once as one that never ran.
func (p *Pool) Start(a *Attempt, id policy.BackendID) {
	n := p.nodes[id]
	if n == nil { // gone and forgotten
		n = &node{Backend: policy.Backend{ID: id, State: policy.Gone}}
	}
	a.node, a.at = n, n.Backend
	if n.State != policy.Running && a.Command != nil {
		p.end(a, policy.NotSent, Reply{})
		return
	}
	p.place(a)
}

// Moot ends an attempt that is not to be sent at all.
func (p *Pool) CancelUnsent(a *Attempt, id policy.BackendID) {
	a.node = &node{Backend: policy.Backend{ID: id}}
	p.end(a, policy.NotSent, Reply{})
}

// place gives an attempt an idle connection that has rested, or lets it wait for whichever comes first: one that has rested, or a new one.
func (p *Pool) place(a *Attempt) {
	n := a.node
	wait := p.cfg.ConnectTimeout
	if a.By > 0 {
		wait = min(wait, a.By-p.owner.Now())
	}
	if wait <= 0 {
		p.end(a, policy.NotSent, Reply{})
		return
	}
	n.waiting = append(n.waiting, a)
	p.serve(n)
	if a.conn != nil || a.ended {
		return
	}
	// Whoever waits, for a dial or for one of the connections that are all busy, waits no longer than a dial
	// may take: the module counts on a send being written at about its time. One that has to be out earlier
	// says nothing of the node.
	p.owner.After(wait, func() {
		if !p.unwait(a) {
			return
		}
		if wait < p.cfg.ConnectTimeout {
			p.end(a, policy.NotSent, Reply{})
		} else {
			p.end(a, policy.NoConnect, Reply{})
		}
	})
}

// unwait takes an attempt out of those that wait for a connection.
func (p *Pool) unwait(a *Attempt) bool {
	i := slices.Index(a.node.waiting, a)
	if i >= 0 {
		a.node.waiting = slices.Delete(a.node.waiting, i, i+1)
	}
	return i >= 0
}

// Withdraw ends an attempt that still waits for a connection, as one that was never sent: nothing goes out any more for a request that is
// over. It leaves others as they are.
func (p *Pool) Withdraw(a *Attempt) {
	if !a.ended && a.node != nil && a.conn == nil && p.unwait(a) {
		p.end(a, policy.NotSent, Reply{})
	}
}

// GiveUp ends an attempt from the owner's side, as TimedOut or Cancelled. One that waits was never sent, one that is written has its outcome at
// once. Of one in between only the connection knows: it is closed, and its last event tells.
func (p *Pool) Abort(a *Attempt, why policy.Outcome) {
	switch {
	case a.ended || a.why != still || a.stream != nil:
	case a.conn == nil:
		p.unwait(a)
		p.end(a, policy.NotSent, Reply{})
	default:
		a.why = why
		p.close(a.conn)
		if a.conn.whole.Load() == a {
			a.conn.cur = nil
			p.end(a, why, Reply{})
		}
		// A machine that has vanished says nothing on any connection. The idle ones are closed too, so that
		// no further request waits on them for its whole time.
		if a.node.heard <= a.handed && p.owner.Now()-a.handed >= p.cfg.ConnectTimeout {
			for len(a.node.idle) > 0 {
				p.closeIdle(a.node)
			}
		}
	}
}

// end tells the owner how an attempt ended, once.
func (p *Pool) end(a *Attempt, o policy.Outcome, rep Reply) {
	if a.ended {
		return
	}
	a.ended, a.outcome = true, o
	if o == policy.Succeeded && a.Command != nil && rep.Value == nil && a.stream == nil { // PONG to a request
		o = policy.Failed
	}
	p.owner.AttemptEnded(a, o, rep)
	p.drop(a.node)
}
