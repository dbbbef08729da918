package core

import (
	"fmt"
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/guard"
	"hitchspring/internal/metrics"
	"hitchspring/policy"
)

// Each of the steps that can break a promise has one function here, through which every path goes: taking a request in (admission), writing an
// attempt, the first as any further one (maySend), and the final answer (deliver). They ask whether the step may be done, whatever the module has
// decided and whatever has crossed meanwhile, and what may not be done is counted and logged with its ids.

// enforced has what would break an invariant held back. The lab's planted defects are played without, so that its judge is seen to find them.
const enforced = true

// answeredLate is how long after a client's time its answer only earns nothing; later, it is lost.
const answeredLate = 500 * time.Millisecond

// admission says whether a request is taken in; where it is not, with which answer it ends at once.
func (g *Core) admission(r *Request) (a Answer, taken bool) {
	switch {
	case g.ending: // the last answers have been given: it would have none
		return Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter}, false
	case r.GiveUpAt <= g.now: // it has waited for too long behind others: nothing is spent on it
		return Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter}, false
	case len(g.requests) >= g.net.MaxOpen || g.heldBytes+r.Size > g.mostHeld: // many clients with large bodies must not fill the memory
		return Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter}, false
	case g.keys[r.ClientID]: // the one who asked first has its answer, and nobody else
		return Answer{Kind: Duplicate}, false
	}
	return Answer{}, true
}

// maySend is asked right before an attempt is written.
func (g *Core) maySend(r *Request, a *backend.Attempt) bool {
	to, serves := a.Backend()
	send := guard.Send{Class: g.class(r), Parallel: g.cfg.Settings.Hedging, Answered: r.final, GiveUpAt: r.GiveUpAt, Serves: serves, Zone: to.Zone, Cell: to.Cell, Earlier: r.handed(a)}
	broken := send.Check(g.now)
	if broken == guard.None {
		return true
	}
	if broken == guard.SendAfterDeadline { // time has passed since it was decided on: nobody's fault
		g.fig.AttemptWithheld(metrics.TimeOver)
		return false
	}
	g.guard.Violated(broken, append(r.ids(), "attempt", a.Number, "backend", a.BackendID(), "earlier", len(send.Earlier))...)
	return !enforced
}

// class is the class of a request; one that the settings don't know may not be repeated.
func (g *Core) class(r *Request) policy.Class {
	c, known := g.classes[r.Class]
	if !known {
		c.Effect = policy.Unsafe
	}
	return c
}

// handed are the attempts of a request that were given to a connection, but for one that is about to be.
func (r *Request) handed(next *backend.Attempt) (out []guard.Attempt) {
	if r.Prior != nil {
		out = append(out, guard.Attempt{Zone: r.Prior.Zone, Cell: r.Prior.Cell, At: r.Prior.At, Ended: true})
	}
	for _, a := range r.attempts {
		if a == next || !a.Assigned() {
			continue
		}
		at, _ := a.Backend()
		out = append(out, guard.Attempt{Zone: at.Zone, Cell: at.Cell, At: a.StartedAt, Ended: a.Ended(), NeverRan: a.NeverRan()})
	}
	return out
}

// ids are what names a request in a line of the log.
func (r *Request) ids() []any {
	return []any{"request", fmt.Sprintf("%016x", r.ClientID), "customer", r.Tenant, "class", r.Class}
}

// deliver hands the one final answer of a request to its front.
func (g *Core) deliver(r *Request, a Answer) {
	if late := g.now - r.GiveUpAt; late > answeredLate && r.came > 0 {
		g.guard.Violated(guard.AnsweredLate, append(r.ids(), "late", late, "attempts", len(r.attempts))...)
	}
	if a.Kind == Rejected && !r.Delegated && !guard.MayRefuse(g.class(r), r.handed(nil)) {
		g.guard.Violated(guard.RefusedThoughRun, append(r.ids(), "attempts", len(r.attempts))...)
		if enforced {
			a = Answer{Kind: Failed}
		}
	}
	if g.cfg.LogRequests {
		g.logEnd(r, a)
	}
	r.Sink.Deliver(a)
}

// refused takes in that the module refuses a request, and why.
func (g *Core) refused(a policy.Reject) {
	g.sum.refused(a.Reason)
	g.fig.Rejected(int(a.Reason))
	if r := g.requests[a.ID]; r != nil {
		r.why = a.Reason
	}
}

// failed is the same of a failure.
func (g *Core) failed(a policy.Fail) {
	g.sum.failed(a.Reason)
	g.fig.Failed(int(a.Reason))
	if r := g.requests[a.ID]; r != nil {
		r.why = a.Reason
	}
}

// logEnd writes a line about the end of a request, with what became of its attempts.
func (g *Core) logEnd(r *Request, a Answer) {
	attempts := make([]string, 0, len(r.attempts))
	for _, x := range r.attempts {
		attempts = append(attempts, fmt.Sprintf("%s@%.3f:%s", x.BackendID(), (x.StartedAt-r.came).Seconds(), outcomeOf(x)))
	}
	g.log.Info("request ended", append(r.ids(), "end", a.Kind.String(), "why", r.why.String(), "after", (g.now-r.came).Round(time.Millisecond), "left", (r.GiveUpAt-g.now).Round(time.Millisecond), "attempts", attempts)...)
}

// outcomeOf words how an attempt has ended.
func outcomeOf(a *backend.Attempt) string {
	if o, ended := a.Outcome(); ended {
		return outcomeNames[o]
	}
	return "out"
}

// checkOpen counts the requests that have no answer when the process has ended its work.
func (g *Core) checkOpen() {
	for _, r := range g.requests {
		if !r.final && !r.Delegated {
			g.guard.Violated(guard.OpenAtExit, r.ids()...)
		}
	}
}
