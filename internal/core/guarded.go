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
const maxAnswerDelay = 500 * time.Millisecond

// admission says whether a request is taken in; where it is not, with which answer it ends at once.
func (c *Core) checkAdmission(r *Request) (a Answer, taken bool) {
	switch {
	case c.allAnswered: // the last answers have been given: it would have none
		return Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter}, false
	case r.GiveUpAt <= c.now: // it has waited for too long behind others: nothing is spent on it
		return Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter}, false
	case len(c.requests) >= c.connections.MaxOpen || c.requestBytes+r.Size > c.maxRequestBytes: // many clients with large bodies must not fill the memory
		return Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter}, false
	case c.clientIDs[r.ClientID]: // the one who asked first has its answer, and nobody else
		return Answer{Kind: Duplicate}, false
	}
	return Answer{}, true
}

// maySend is asked right before an attempt is written.
func (c *Core) maySend(r *Request, a *backend.Attempt) bool {
	to, serves := a.Backend()
	send := guard.Send{Class: c.classOf(r), Parallel: c.cfg.Settings.Hedging, Answered: r.finished, GiveUpAt: r.GiveUpAt, Serves: serves, Zone: to.Zone, Cell: to.Cell, Earlier: r.assignedAttempts(a)}
	broken := send.Check(c.now)
	if broken == guard.None {
		return true
	}
	if broken == guard.SendAfterDeadline { // time has passed since it was decided on: nobody's fault
		c.metrics.AttemptWithheld(metrics.TimeOver)
		return false
	}
	c.guard.Violated(broken, append(r.logAttrs(), "attempt", a.Number, "backend", a.BackendID(), "earlier", len(send.Earlier))...)
	return !enforced
}

// class is the class of a request; one that the settings don't know may not be repeated.
func (c *Core) classOf(r *Request) policy.Class {
	class, known := c.classes[r.Class]
	if !known {
		class.Effect = policy.Unsafe
	}
	return class
}

// handed are the attempts of a request that were given to a connection, but for one that is about to be.
func (r *Request) assignedAttempts(next *backend.Attempt) (out []guard.Attempt) {
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
func (r *Request) logAttrs() []any {
	return []any{"request", fmt.Sprintf("%016x", r.ClientID), "customer", r.Tenant, "class", r.Class}
}

// deliver hands the one final answer of a request to its front.
func (c *Core) deliverAnswer(r *Request, a Answer) {
	if late := c.now - r.GiveUpAt; late > maxAnswerDelay && r.arrivedAt > 0 {
		c.guard.Violated(guard.AnsweredLate, append(r.logAttrs(), "late", late, "attempts", len(r.attempts))...)
	}
	if a.Kind == Rejected && !r.Delegated && !guard.MayRefuse(c.classOf(r), r.assignedAttempts(nil)) {
		c.guard.Violated(guard.RefusedThoughRun, append(r.logAttrs(), "attempts", len(r.attempts))...)
		if enforced {
			a = Answer{Kind: Failed}
		}
	}
	if c.cfg.LogRequests {
		c.logRequestEnd(r, a)
	}
	r.Sink.Deliver(a)
}

// refused takes in that the module refuses a request, and why.
func (c *Core) recordRejection(a policy.Reject) {
	c.summary.addRejection(a.Reason)
	c.metrics.Rejected(int(a.Reason))
	if r := c.requests[a.ID]; r != nil {
		r.reason = a.Reason
	}
}

// failed is the same of a failure.
func (c *Core) recordFailure(a policy.Fail) {
	c.summary.addFailure(a.Reason)
	c.metrics.Failed(int(a.Reason))
	if r := c.requests[a.ID]; r != nil {
		r.reason = a.Reason
	}
}

// logEnd writes a line about the end of a request, with what became of its attempts.
func (c *Core) logRequestEnd(r *Request, a Answer) {
	attempts := make([]string, 0, len(r.attempts))
	for _, x := range r.attempts {
		attempts = append(attempts, fmt.Sprintf("%s@%.3f:%s", x.BackendID(), (x.StartedAt-r.arrivedAt).Seconds(), outcomeOf(x)))
	}
	c.log.Info("request ended", append(r.logAttrs(), "end", a.Kind.String(), "why", r.reason.String(), "after", (c.now-r.arrivedAt).Round(time.Millisecond), "left", (r.GiveUpAt-c.now).Round(time.Millisecond), "attempts", attempts)...)
}

// outcomeOf words how an attempt has ended.
func outcomeOf(a *backend.Attempt) string {
	if o, ended := a.Outcome(); ended {
		return outcomeNames[o]
	}
	return "out"
}

// checkOpen counts the requests that have no answer when the process has ended its work.
func (c *Core) checkUnanswered() {
	for _, r := range c.requests {
		if !r.finished && !r.Delegated {
			c.guard.Violated(guard.OpenAtExit, r.logAttrs()...)
		}
	}
}
