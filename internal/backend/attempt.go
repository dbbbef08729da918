package backend

import (
	"time"

	"github.com/tidwall/redcon"

	"hitchspring/policy"
)

// notAborted is the zero outcome: the value of Attempt.abortedAs until the owner aborts the attempt.
const notAborted = policy.Failed

// Command is what an attempt writes to a backend.
type Command interface {
	// Encode returns the command in the backends' protocol, with the time that is left for its answer.
	Encode(left time.Duration) []byte
}

// Attempt is one command on its way to a backend, either of a request or a health check. The owner sets the exported
// fields before Start; all else belongs to the pool.
type Attempt struct {
	Ref       any           // the owner's value: what this is an attempt of
	Number    int           // the owner's number for it
	Command   Command       // nil for a health check
	StartedAt time.Duration // on the owner's clock
	Deadline  time.Duration // when the owner gives it up
	WriteBy   time.Duration // its last byte is written by then, or it is never sent; 0 means any time before Deadline

	backend    *backendPool
	entry      policy.Backend // the backend as it was when the attempt started; the endpoint list may change it later
	conn       *conn          // carries the attempt; nil while it waits for a connection
	assignedAt time.Duration  // when it was given to conn
	abortedAs  policy.Outcome // TimedOut or Cancelled once the owner has aborted it; notAborted before
	stream     *Stream        // of a large value whose head has arrived
	ended      bool
	outcome    policy.Outcome // valid once ended
}

// NeverRan reports whether the attempt has ended and surely never ran.
func (a *Attempt) NeverRan() bool { return a.ended && a.outcome.NeverRan() }

// Ended reports whether the owner has been notified of the attempt's end.
func (a *Attempt) Ended() bool { return a.ended }

// Written reports whether the attempt was given to a connection and may have run, as far as is known.
func (a *Attempt) Written() bool { return a.conn != nil && !a.NeverRan() }

// Assigned reports whether the attempt was given to a connection.
func (a *Attempt) Assigned() bool { return a.conn != nil }

// Backend returns the backend as the endpoint list had it when the attempt started, and whether it serves now.
func (a *Attempt) Backend() (entry policy.Backend, serves bool) {
	return a.entry, a.backend != nil && a.backend.State == policy.Running
}

// Outcome returns how the attempt ended; ended is false while it has not.
func (a *Attempt) Outcome() (o policy.Outcome, ended bool) { return a.outcome, a.ended }

// BackendID returns where the attempt was sent; it is empty before Start.
func (a *Attempt) BackendID() policy.BackendID {
	if a.backend == nil {
		return ""
	}
	return a.backend.ID
}

// fits reports whether a reply has the form that the attempt's command asks for. An error line fits any command.
func (a *Attempt) fits(reply Reply) bool {
	if reply.outcome != policy.Succeeded || a.stream != nil {
		return true
	}
	isHealthCheck := a.Command == nil
	return isHealthCheck == (reply.Value == nil)
}

// encodeCommand returns the client's command with the time that is left for it, or that of a health check.
func (a *Attempt) encodeCommand(now time.Duration) []byte {
	if a.Command == nil {
		return redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(nil, 2), "INFO"), "load")
	}
	return a.Command.Encode(a.Deadline - now)
}

// Start sends an attempt to a backend, on an idle connection or on the first one that becomes free. If the backend does
// not serve, the attempt ends at once with policy.NotSent.
func (p *Pool) Start(attempt *Attempt, id policy.BackendID) {
	backend := p.backends[id]
	if backend == nil { // gone and forgotten
		backend = &backendPool{Backend: policy.Backend{ID: id, State: policy.Gone}}
	}
	attempt.backend = backend
	attempt.entry = backend.Backend
	if backend.State != policy.Running && attempt.Command != nil {
		p.finish(attempt, policy.NotSent, Reply{})
		return
	}
	p.assign(attempt)
}

// CancelUnsent ends an attempt that is not to be started at all, with policy.NotSent.
func (p *Pool) CancelUnsent(attempt *Attempt, id policy.BackendID) {
	attempt.backend = &backendPool{Backend: policy.Backend{ID: id}}
	p.finish(attempt, policy.NotSent, Reply{})
}

// Withdraw ends an attempt that still waits for a connection, with policy.NotSent: nothing is sent any more for a
// request that is over. Other attempts are left as they are.
func (p *Pool) Withdraw(attempt *Attempt) {
	if !attempt.ended && attempt.backend != nil && attempt.conn == nil && p.removeWaiting(attempt) {
		p.finish(attempt, policy.NotSent, Reply{})
	}
}

// Abort ends an attempt from the owner's side; outcome is TimedOut or Cancelled. An attempt that waits for a connection
// was never sent, and one that is known to be written ends at once. Of one in between only the connection knows: it is
// closed, and its last event decides.
func (p *Pool) Abort(attempt *Attempt, outcome policy.Outcome) {
	switch {
	case attempt.ended || attempt.abortedAs != notAborted || attempt.stream != nil:
	case attempt.conn == nil:
		p.removeWaiting(attempt)
		p.finish(attempt, policy.NotSent, Reply{})
	default:
		p.abortAssigned(attempt, outcome)
	}
}

// abortAssigned closes the connection that carries an attempt, and ends the attempt if its command was written.
func (p *Pool) abortAssigned(attempt *Attempt, outcome policy.Outcome) {
	attempt.abortedAs = outcome
	p.closeConn(attempt.conn)
	if attempt.conn.lastWritten.Load() == attempt {
		attempt.conn.current = nil
		p.finish(attempt, outcome, Reply{})
	}
	// A host that has vanished answers on no connection. The idle ones are closed too, so that no further request
	// spends its whole time on one of them.
	silent := attempt.backend.lastHeardAt <= attempt.assignedAt
	if silent && p.owner.Now()-attempt.assignedAt >= p.cfg.ConnectTimeout {
		for len(attempt.backend.idle) > 0 {
			p.closeOldestIdle(attempt.backend)
		}
	}
}

// finish notifies the owner how an attempt ended, once for each attempt.
func (p *Pool) finish(attempt *Attempt, outcome policy.Outcome, reply Reply) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	attempt.outcome = outcome
	isPong := attempt.Command != nil && reply.Value == nil && attempt.stream == nil
	if outcome == policy.Succeeded && isPong { // no answer to a request
		outcome = policy.Failed
	}
	p.owner.AttemptEnded(attempt, outcome, reply)
	p.forgetIfGone(attempt.backend)
}
