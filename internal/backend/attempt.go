package backend

import (
	"slices"
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/policy"
)

const notAborted = policy.Failed // the zero outcome: an attempt that nobody has given up

// Command is what an attempt writes to a node.
type Command interface {
	// Encode returns the command in the nodes' protocol, with the time that is left for its answer.
	Encode(left time.Duration) []byte
}

// Attempt is one command on its way to a node: of a request, or a probe. Its exported fields are the owner's, set before Start.
type Attempt struct {
	Ref        any     // the owner's own: what it is an attempt of
	Number     int     // the owner's number for it
	Command    Command // nil: a probe
	StartedAt  time.Duration
	Deadline   time.Duration // when the owner gives it up
	By         time.Duration // its last byte goes out by then, or it is never sent; 0: at any time before Stop
	backend    *backendPool
	entry      policy.Backend // node's entry when it was sent; the list may change it
	conn       *conn          // carries it; nil while it waits for one
	assignedAt time.Duration  // when it was given to conn
	abortedAs  policy.Outcome // given up by the owner: TimedOut or Cancelled; else still
	stream     *Stream        // of a large value that has begun to come
	ended      bool
	outcome    policy.Outcome // once it has ended
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
	return a.entry, a.backend != nil && a.backend.State == policy.Running
}

// Outcome is how it has ended; ended is false where it has not.
func (a *Attempt) Outcome() (o policy.Outcome, ended bool) { return a.outcome, a.ended }

// Node is where it was sent; empty before Start.
func (a *Attempt) BackendID() policy.BackendID {
	if a.backend == nil {
		return ""
	}
	return a.backend.ID
}

// fits says whether a reply is of the form that its command asks for. An error line fits any.
func (a *Attempt) fits(r Reply) bool {
	if r.outcome != policy.Succeeded || a.stream != nil {
		return true
	}
	return (a.Command == nil) == (r.Value == nil)
}

// command is what it writes: the client's own, with the time that is left for it, or a probe.
func (a *Attempt) encodeCommand(now time.Duration) []byte {
	if a.Command == nil {
		return redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(nil, 2), "INFO"), "load")
	}
	return a.Command.Encode(a.Deadline - now)
}

// Start sends an attempt to a node, on an idle connection or on the first that comes free. Where the node is not
// one that serves, it ends at once as one that never ran.
func (p *Pool) Start(attempt *Attempt, id policy.BackendID) {
	backend := p.backends[id]
	if backend == nil { // gone and forgotten
		backend = &backendPool{Backend: policy.Backend{ID: id, State: policy.Gone}}
	}
	attempt.backend, attempt.entry = backend, backend.Backend
	if backend.State != policy.Running && attempt.Command != nil {
		p.finish(attempt, policy.NotSent, Reply{})
		return
	}
	p.assign(attempt)
}

// Moot ends an attempt that is not to be sent at all.
func (p *Pool) CancelUnsent(attempt *Attempt, id policy.BackendID) {
	attempt.backend = &backendPool{Backend: policy.Backend{ID: id}}
	p.finish(attempt, policy.NotSent, Reply{})
}

// place gives an attempt an idle connection that has rested, or lets it wait for whichever comes first: one that has rested, or a new one.
func (p *Pool) assign(attempt *Attempt) {
	backend := attempt.backend
	wait := p.cfg.ConnectTimeout
	if attempt.By > 0 {
		wait = min(wait, attempt.By-p.owner.Now())
	}
	if wait <= 0 {
		p.finish(attempt, policy.NotSent, Reply{})
		return
	}
	backend.waiting = append(backend.waiting, attempt)
	p.serveWaiting(backend)
	if attempt.conn != nil || attempt.ended {
		return
	}
	// Whoever waits, for a dial or for one of the connections that are all busy, waits no longer than a dial
	// may take: the module counts on a send being written at about its time. One that has to be out earlier
	// says nothing of the node.
	p.owner.After(wait, func() {
		if !p.removeWaiting(attempt) {
			return
		}
		if wait < p.cfg.ConnectTimeout {
			p.finish(attempt, policy.NotSent, Reply{})
		} else {
			p.finish(attempt, policy.NoConnect, Reply{})
		}
	})
}

// unwait takes an attempt out of those that wait for a connection.
func (p *Pool) removeWaiting(attempt *Attempt) bool {
	i := slices.Index(attempt.backend.waiting, attempt)
	if i >= 0 {
		attempt.backend.waiting = slices.Delete(attempt.backend.waiting, i, i+1)
	}
	return i >= 0
}

// Withdraw ends an attempt that still waits for a connection, as one that was never sent: nothing goes out any more for a request that is
// over. It leaves others as they are.
func (p *Pool) Withdraw(attempt *Attempt) {
	if !attempt.ended && attempt.backend != nil && attempt.conn == nil && p.removeWaiting(attempt) {
		p.finish(attempt, policy.NotSent, Reply{})
	}
}

// GiveUp ends an attempt from the owner's side, as TimedOut or Cancelled. One that waits was never sent, one that is written has its outcome at
// once. Of one in between only the connection knows: it is closed, and its last event tells.
func (p *Pool) Abort(attempt *Attempt, outcome policy.Outcome) {
	switch {
	case attempt.ended || attempt.abortedAs != notAborted || attempt.stream != nil:
	case attempt.conn == nil:
		p.removeWaiting(attempt)
		p.finish(attempt, policy.NotSent, Reply{})
	default:
		attempt.abortedAs = outcome
		p.closeConn(attempt.conn)
		if attempt.conn.lastWritten.Load() == attempt {
			attempt.conn.current = nil
			p.finish(attempt, outcome, Reply{})
		}
		// A machine that has vanished says nothing on any connection. The idle ones are closed too, so that
		// no further request waits on them for its whole time.
		if attempt.backend.lastHeardAt <= attempt.assignedAt && p.owner.Now()-attempt.assignedAt >= p.cfg.ConnectTimeout {
			for len(attempt.backend.idle) > 0 {
				p.closeOldestIdle(attempt.backend)
			}
		}
	}
}

// end tells the owner how an attempt ended, once.
func (p *Pool) finish(attempt *Attempt, outcome policy.Outcome, reply Reply) {
	if attempt.ended {
		return
	}
	attempt.ended, attempt.outcome = true, outcome
	if outcome == policy.Succeeded && attempt.Command != nil && reply.Value == nil && attempt.stream == nil { // PONG to a request
		outcome = policy.Failed
	}
	p.owner.AttemptEnded(attempt, outcome, reply)
	p.forgetIfGone(attempt.backend)
}
