package core

import (
	"hitchspring/internal/metrics"
	"hitchspring/policy"
)

// Whether a request's client is still there is asked here and nowhere else: when the request is taken in, when the module has chosen a
// backend for an attempt, and when the pool is about to hand an attempt to a connection. A front tells of a client that has closed its
// connection as soon as it reads that (Abandon), which may be later: the command and the end of the connection can lie in the kernel
// together, and whoever reads the connection may be held up.

// gone reports whether nobody waits for a request's answer any more. The kernel is asked once in each turn of the loop.
func (c *Core) isDisconnected(r *Request) bool {
	if r.Sink == nil || r.disconnectCheckedAt == c.now && r.disconnectCheckedAt != 0 {
		return false
	}
	r.disconnectCheckedAt = c.now
	return r.Sink.Disconnected()
}

// goneOnArrival drops a request, before the module hears of it, whose command came together with the end of its connection.
func (c *Core) dropDisconnectedArrival(r *Request) bool {
	if !c.isDisconnected(r) {
		return false
	}
	r.finished = true
	r.withdrawLeased()
	c.metrics.ClientDisconnected(metrics.BeforeAdmission)
	return true
}

// dropIfGone abandons a request before an attempt of it is sent, if its client has gone.
func (c *Core) dropIfDisconnected(r *Request) {
	if r.finished || r.streaming != nil || r.Delegated && len(r.attempts) > 1 || !c.isDisconnected(r) { // what was granted before is remembered
		return
	}
	r.withdrawLeased()
	c.abandonRequest(r)
}

// withdrawHanded forgets what the front for gates keeps of a request of its own.
func (r *Request) withdrawLeased() {
	if x, ok := r.Sink.(*leasedRequest); ok {
		x.forget()
	}
}

// abandon ends a request whose client has gone. Nothing more goes out for it.
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

// stage says how far a request has come that is not answered.
func (r *Request) disconnectStage() metrics.DisconnectStage {
	stage := metrics.BeforeAttempt
	for _, a := range r.attempts {
		switch {
		case !a.Written():
		case !a.Ended():
			return metrics.InFlight
		default:
			stage = metrics.BeforeRetry
		}
	}
	return stage
}
