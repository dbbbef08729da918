package core

import (
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/guard"
	"hitchspring/internal/metrics"
	"hitchspring/policy"
)

// Each step that can break a promise has one function in this file through which every path goes: admitting a request
// (checkAdmission), writing an attempt (maySend) and delivering the final answer (deliverAnswer). They check whether
// the step is allowed, whatever the engine has decided and whatever has happened meanwhile. A violation is counted and
// logged, and the step is not done.

// enforced has a step that would break an invariant withheld. The planted defects of the lab are built without, so
// that its rule checker is seen to find them.
const enforced = true

// maxAnswerDelay is how long after its deadline an answer still reaches the client; later, the request counts as lost.
const maxAnswerDelay = 500 * time.Millisecond

// checkAdmission reports whether a request is admitted, and the answer to one that is not.
func (c *Core) checkAdmission(r *Request) (a Answer, admitted bool) {
	switch {
	case c.allAnswered, // nothing would answer it
		r.GiveUpAt <= c.now, // it has waited too long behind others on its connection
		!c.hasCapacity(r):
		return Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter}, false
	case c.clientIDs[r.ClientID]: // the earlier request of this id gets the answer
		return Answer{Kind: Duplicate}, false
	}
	return Answer{}, true
}

// hasCapacity reports whether the table of requests has capacity for one more, by number and by bytes.
func (c *Core) hasCapacity(r *Request) bool {
	return len(c.requests) < c.connections.MaxOpen && c.requestBytes+r.Size <= c.maxRequestBytes
}

// maySend reports whether an attempt that is about to be written keeps all invariants.
func (c *Core) maySend(r *Request, attempt *backend.Attempt) bool {
	to, serves := attempt.Backend()
	send := guard.Send{
		Class:          c.classOf(r),
		Parallel:       c.cfg.Settings.Hedging,
		Answered:       r.finished,
		GiveUpAt:       r.GiveUpAt,
		BackendRunning: serves,
		Zone:           to.Zone,
		Cell:           to.Cell,
		Earlier:        r.assignedAttempts(attempt),
	}
	broken := send.Check(c.now)
	if broken == guard.None {
		return true
	}
	if broken == guard.SendAfterDeadline { // no violation: time has passed since the engine's decision
		c.metrics.AttemptWithheld(metrics.DeadlinePassed)
		return false
	}
	c.guard.Violated(broken, append(r.logAttrs(),
		"attempt", attempt.Number, "backend", attempt.BackendID(), "earlier", len(send.Earlier))...)
	return !enforced
}

// classOf returns the class of a request. One that the settings don't know is not idempotent.
func (c *Core) classOf(r *Request) policy.Class {
	class, known := c.classes[r.Class]
	if !known {
		class.Effect = policy.Unsafe
	}
	return class
}

// assignedAttempts returns the attempts of a request that have been assigned to a connection, except one that is about
// to be written. The attempt of another instance, from which this one has taken the request over, is the first.
func (r *Request) assignedAttempts(except *backend.Attempt) (assigned []guard.Attempt) {
	if r.Prior != nil {
		assigned = append(assigned, guard.Attempt{
			Zone:  r.Prior.Zone,
			Cell:  r.Prior.Cell,
			At:    r.Prior.SentAt,
			Ended: true,
		})
	}
	for _, attempt := range r.attempts {
		if attempt == except || !attempt.Assigned() {
			continue
		}
		to, _ := attempt.Backend()
		assigned = append(assigned, guard.Attempt{
			Zone:     to.Zone,
			Cell:     to.Cell,
			At:       attempt.StartedAt,
			Ended:    attempt.Ended(),
			NeverRan: attempt.NeverRan(),
		})
	}
	return assigned
}

// deliverAnswer hands the final answer of a request to its front. A rejection says that a retry is harmless: if an
// attempt may have run, the answer is a failure instead.
func (c *Core) deliverAnswer(r *Request, a Answer) {
	if late := c.now - r.GiveUpAt; late > maxAnswerDelay && r.arrivedAt > 0 {
		c.guard.Violated(guard.AnsweredLate, append(r.logAttrs(), "late", late, "attempts", len(r.attempts))...)
	}
	if a.Kind == Rejected && !r.Delegated && !guard.MayReject(c.classOf(r), r.assignedAttempts(nil)) {
		c.guard.Violated(guard.RejectedThoughRun, append(r.logAttrs(), "attempts", len(r.attempts))...)
		if enforced {
			a = Answer{Kind: Failed}
		}
	}
	if c.cfg.LogRequests {
		c.logRequestEnd(r, a)
	}
	r.Sink.Deliver(a)
}

// checkUnanswered counts the requests that have no answer when the core has ended.
func (c *Core) checkUnanswered() {
	for _, r := range c.requests {
		if !r.finished && !r.Delegated {
			c.guard.Violated(guard.OpenAtExit, r.logAttrs()...)
		}
	}
}
