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
func (g *Core) gone(r *Request) bool {
	if r.Sink == nil || r.asked == g.now && r.asked != 0 {
		return false
	}
	r.asked = g.now
	return r.Sink.Disconnected()
}

// goneOnArrival drops a request, before the module hears of it, whose command came together with the end of its connection.
func (g *Core) goneOnArrival(r *Request) bool {
	if !g.gone(r) {
		return false
	}
	r.final = true
	r.withdrawHanded()
	g.fig.ClientDisconnected(metrics.BeforeAdmission)
	return true
}

// dropIfGone abandons a request before an attempt of it is sent, if its client has gone.
func (g *Core) dropIfGone(r *Request) {
	if r.final || r.passing != nil || r.Delegated && len(r.attempts) > 1 || !g.gone(r) { // what was granted before is remembered
		return
	}
	r.withdrawHanded()
	g.abandon(r)
}

// withdrawHanded forgets what the front for gates keeps of a request of its own.
func (r *Request) withdrawHanded() {
	if x, ok := r.Sink.(*handed); ok {
		x.withdraw()
	}
}

// abandon ends a request whose client has gone. Nothing more goes out for it.
func (g *Core) abandon(r *Request) {
	if r.final {
		return
	}
	r.final = true
	g.endCustody(r, Answer{Kind: Failed})
	g.fig.ClientDisconnected(r.stage())
	g.tell(policy.Disconnected{ID: r.ID})
	g.recall(r)
	g.forget(r)
}

// stage says how far a request has come that is not answered.
func (r *Request) stage() metrics.DisconnectStage {
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
