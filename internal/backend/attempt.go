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
	// Encode returns the command in RESP, as pieces that are written one after the other. It includes left, the time
	// that remains for the reply. The pieces may share memory with the command.
	Encode(left time.Duration) [][]byte
}

// endedCommand replaces the command of an attempt that has ended, so that the memory of the command, which may be a few
// MiB, is free once nothing is to be sent of it.
type endedCommand struct{}

// Encode implements Command. It is never called: nothing is sent for an attempt that has ended.
func (endedCommand) Encode(time.Duration) [][]byte { return nil }

// Attempt is one command to a backend: an attempt to serve a request, or a health check. The owner sets the exported
// fields before Start; the other fields belong to the pool.
type Attempt struct {
	Ref       any           // set by the owner: the request or health check that it belongs to
	Number    int           // set by the owner
	Command   Command       // nil for a health check; dropped when the attempt ends
	StartedAt time.Duration // on the owner's clock
	Deadline  time.Duration // when the owner stops waiting for the reply, or for the first bytes of a large value
	WriteBy   time.Duration // the command is written completely by then or not sent; 0: any time before Deadline

	backend    *backendPool
	entry      policy.Backend // the backend as it was when the attempt started; the endpoint list may change it later
	conn       *conn          // nil while the attempt waits for a connection
	assignedAt time.Duration  // when conn was set
	abortedAs  policy.Outcome // TimedOut or Canceled once the owner has aborted it; notAborted before
	stream     *Stream        // set when the header of a large value has arrived
	ended      bool
	outcome    policy.Outcome // valid once ended
}

// NeverRan reports whether the attempt has ended and certainly did not run at the backend.
func (a *Attempt) NeverRan() bool { return a.ended && a.outcome.NeverRan() }

// Ended reports whether the owner has been notified of the attempt's end.
func (a *Attempt) Ended() bool { return a.ended }

// Written reports whether the attempt was assigned to a connection and may have run, as far as is known.
func (a *Attempt) Written() bool { return a.conn != nil && !a.NeverRan() }

// Assigned reports whether the attempt was assigned to a connection.
func (a *Attempt) Assigned() bool { return a.conn != nil }

// ValueMayFollow reports whether a part of the attempt's reply has arrived that may be the header of a large value. The
// owner should not stop such an attempt while its client waits: the backend is giving the value.
func (a *Attempt) ValueMayFollow() bool {
	return a.conn != nil && a.conn.current == a && partialReply(a.conn.partial.Load()) == partialHeader
}

// Backend returns the backend as the endpoint list had it when the attempt started, and whether it serves now.
func (a *Attempt) Backend() (entry policy.Backend, serves bool) {
	return a.entry, a.backend != nil && a.backend.State == policy.Running
}

// Outcome returns how the attempt ended; ended is false while it has not.
func (a *Attempt) Outcome() (o policy.Outcome, ended bool) { return a.outcome, a.ended }

// BackendID returns the backend that the attempt was started at; it is empty before Start.
func (a *Attempt) BackendID() policy.BackendID {
	if a.backend == nil {
		return ""
	}
	return a.backend.ID
}

// matches reports whether a reply has the form that the attempt's command expects: a value for a request, none for a
// health check. An error reply is valid for any command.
func (a *Attempt) matches(reply Reply) bool {
	if reply.outcome != policy.Succeeded || a.stream != nil {
		return true
	}
	isHealthCheck := a.Command == nil
	return isHealthCheck == (reply.Value == nil)
}

// encodeCommand returns the encoded command of the request with its remaining time, or that of a health check.
func (a *Attempt) encodeCommand(now time.Duration) [][]byte {
	if a.Command == nil {
		return [][]byte{redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(nil, 2), "INFO"), "load")}
	}
	return a.Command.Encode(a.Deadline - now)
}

// Start sends an attempt to a backend, on an idle connection or on the first one that becomes available. If the backend
// doesn't serve, the attempt ends at once with policy.NotSent, unless it is a health check.
func (p *Pool) Start(attempt *Attempt, id policy.BackendID) {
	backend := p.backends[id]
	if backend == nil { // no longer known
		backend = &backendPool{Backend: policy.Backend{ID: id, State: policy.Removed}}
	}
	attempt.backend = backend
	attempt.entry = backend.Backend
	if backend.State != policy.Running && attempt.Command != nil {
		p.finish(attempt, policy.NotSent, Reply{})
		return
	}
	p.assign(attempt)
}

// CancelUnsent ends an attempt that was never started, with policy.NotSent.
func (p *Pool) CancelUnsent(attempt *Attempt, id policy.BackendID) {
	attempt.backend = &backendPool{Backend: policy.Backend{ID: id}}
	p.finish(attempt, policy.NotSent, Reply{})
}

// Withdraw ends an attempt that still waits for a connection with policy.NotSent, so that nothing more is sent for a
// request that has ended. It does nothing if the attempt was assigned to a connection or has ended.
func (p *Pool) Withdraw(attempt *Attempt) {
	if !attempt.ended && attempt.backend != nil && attempt.conn == nil && p.removeWaiting(attempt) {
		p.finish(attempt, policy.NotSent, Reply{})
	}
}

// Abort ends an attempt on behalf of the owner; outcome is TimedOut or Canceled. An attempt that waits for a connection
// ends as NotSent, and one whose command is known to be written ends with outcome at once. Otherwise only the
// connection's writer knows whether the command is written: the connection is closed, and its connectionClosed event
// determines the outcome.
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
	// A host that is unreachable replies on no connection. The idle ones are closed too, so that no further request
	// waits on one of them until its deadline.
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
	if outcome == policy.Succeeded && isPong { // a PONG is no valid reply to a request
		outcome = policy.Failed
	}
	if attempt.Command != nil {
		attempt.Command = endedCommand{} // a connection refers to its last attempt for as long as it is idle
	}
	p.owner.AttemptEnded(attempt, outcome, reply)
	p.deleteIfRemoved(attempt.backend)
}
