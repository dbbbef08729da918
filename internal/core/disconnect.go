package core

import (
	"hitchspring/internal/metrics"
	"hitchspring/policy"
)

// Whether a request's client is still connected is checked in this file and nowhere else: when the request arrives,
// when the engine has chosen a backend for an attempt, and when the pool is about to write an attempt. A front reports
// a closed connection as soon as it reads the end of it (NotifyDisconnected), which may be later: the command and the
// end of the connection can lie in the kernel together while the front's reader is delayed.

// isDisconnected reports whether nobody waits for a request's answer any more. The sink is called once for each event,
// since it may make a system call.
func (c *Core) isDisconnected(r *Request) bool {
	if r.Sink == nil || r.disconnectCheckedAt == c.now && r.disconnectCheckedAt != 0 {
		return false
	}
	r.disconnectCheckedAt = c.now
	return r.Sink.Disconnected()
}

// dropDisconnectedArrival drops a request whose client has disconnected before the engine hears of it.
func (c *Core) dropDisconnectedArrival(r *Request) bool {
	if !c.isDisconnected(r) {
		return false
	}
	r.finished = true
	r.withdrawLeased()
	c.metrics.ClientDisconnected(metrics.BeforeAdmission)
	return true
}

// dropIfDisconnected abandons a request before an attempt is sent if its client has disconnected. A delegated request
// that has been granted a lease before stays, since its earlier attempt may be reported on.
func (c *Core) dropIfDisconnected(r *Request) {
	if r.finished || r.streaming != nil || r.Delegated && len(r.attempts) > 1 || !c.isDisconnected(r) {
		return
	}
	r.withdrawLeased()
	c.abandonRequest(r)
}

// withdrawLeased removes a delegated request from the lease table.
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

// disconnectStage returns how far an unanswered request has come.
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
