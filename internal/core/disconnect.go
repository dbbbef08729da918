package core

import (
	"hitchspring/internal/backend"
	"hitchspring/internal/guard"
	"hitchspring/internal/metrics"
	"hitchspring/policy"
)

// All checks that a request's client is still connected are in this file. They run when the request arrives, when the
// engine has chosen a backend for an attempt, and when the pool is about to write an attempt. NotifyDisconnected alone
// may come too late: a front calls it when it reads the end of the connection, but the command and the end of the
// connection can both wait in the kernel's socket buffer while the front's reader is delayed. The end can even wait on
// the client's side, where no check finds it: then nothing is sent either.

// clientState returns the state of a request's client. It asks the sink at most once per request and event, since the
// sink may make a system call.
func (c *Core) clientState(r *Request) ClientState {
	if r.Sink != nil && (r.clientCheckedAt != c.now || r.clientCheckedAt == 0) {
		r.clientCheckedAt, r.client = c.now, r.Sink.Client()
	}
	return r.client
}

// dropDisconnectedArrival drops an arriving request whose client has already disconnected, before the engine is
// notified. It reports whether it did.
func (c *Core) dropDisconnectedArrival(r *Request) bool {
	if c.clientState(r) != Disconnected {
		return false
	}
	r.finished = true
	r.withdrawLeased()
	c.metrics.ClientDisconnected(metrics.BeforeAdmission)
	return true
}

// mayAttempt reports whether an attempt of a request may be sent, as far as its client is concerned. It abandons the
// request if its client has disconnected, and answers it if that can't be seen. A delegated request that had an earlier
// lease stays, since the caller may still report the outcome of that attempt.
func (c *Core) mayAttempt(r *Request, attempt *backend.Attempt) bool {
	if r.finished || r.streaming != nil || r.Delegated && len(r.attempts) > 1 {
		return !r.finished
	}
	switch c.clientState(r) {
	case Disconnected:
		r.withdrawLeased()
		c.abandonRequest(r)
		return false
	case Unseen:
		c.withholdUnseen(r, attempt)
		return false
	default:
		return true
	}
}

// withholdUnseen withholds an attempt whose client may have disconnected. If the request has no other attempt in
// flight, it gets its answer at once: the client may as well be there.
func (c *Core) withholdUnseen(r *Request, attempt *backend.Attempt) {
	c.metrics.AttemptWithheld(metrics.ClientUnseen)
	if r.inFlight > 1 { // one of them is the present attempt
		return
	}
	a := Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter}
	if !guard.MayReject(c.classOf(r), r.assignedAttempts(attempt)) {
		a = Answer{Kind: Failed}
	}
	c.answerRequest(r, a)
	c.notifyEngine(policy.Disconnected{ID: r.ID})
}

// withdrawLeased removes a delegated request from the lease table; for other requests it does nothing.
func (r *Request) withdrawLeased() {
	if l, ok := r.Sink.(*leasedRequest); ok {
		l.forget()
	}
}

// abandonRequest ends a request whose client has disconnected. Nothing more is sent for it.
func (c *Core) abandonRequest(r *Request) {
	if r.finished {
		return
	}
	r.finished = true
	c.completeWork(r, Answer{Kind: Failed})
	c.metrics.ClientDisconnected(r.disconnectStage())
	c.notifyEngine(policy.Disconnected{ID: r.ID})
	c.withdrawUnsent(r)
	c.releaseRequest(r)
}

// disconnectStage returns the stage that a request had reached when its client disconnected.
func (r *Request) disconnectStage() metrics.DisconnectStage {
	stage := metrics.BeforeAttempt
	for _, attempt := range r.attempts {
		switch {
		case !attempt.Written():
		case !attempt.Ended():
			return metrics.InFlight
		default:
			stage = metrics.BeforeRetry
		}
	}
	return stage
}
