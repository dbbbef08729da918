package core

import (
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/guard"
	"hitchspring/internal/metrics"
	"hitchspring/policy"
)

// This file has one function for each step that can break an invariant: admitting a request (checkAdmission), writing
// an attempt (maySend) and delivering the final answer (deliverAnswer). Every code path uses them. They check the
// invariants independently of the engine's decision, which may be out of date. A violation is counted and logged, and
// the step is not carried out.

// enforced makes the guards withhold a step that would break an invariant. The lab's mutation tests build with it off,
// to show that the rule checker finds the planted defects by itself.
const enforced = true

// maxAnswerDelay is how long after the deadline an answer still reaches the client. A later answer is a violation,
// since the client counts the request as lost.
const maxAnswerDelay = 500 * time.Millisecond

// checkAdmission reports whether a request is admitted and, if not, returns the answer to it.
func (c *Core) checkAdmission(r *Request) (a Answer, admitted bool) {
	switch {
	case c.allAnswered, // the shutdown has given all final answers: nothing would answer this request
		r.GiveUpAt <= c.now, // it has waited past its deadline behind others on its connection
		!c.hasCapacity(r):
		return Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter}, false
	case c.isKnownID(r): // the earlier request with this id gets the final answer
		return Answer{Kind: Duplicate}, false
	}
	return Answer{}, true
}

// hasCapacity reports whether one more request fits within the limits on the number and the bytes of open requests.
func (c *Core) hasCapacity(r *Request) bool {
	return len(c.requests) < c.connections.MaxOpen && c.reserveMemory(r)
}

// maySend reports whether an attempt that is about to be written breaks no invariant.
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
	if broken == guard.SendAfterDeadline { // not a violation: the deadline has passed since the engine's decision
		c.metrics.AttemptWithheld(metrics.DeadlinePassed)
		return false
	}
	c.guard.Violated(broken, append(r.logAttrs(),
		"attempt", attempt.Number, "backend", attempt.BackendID(), "earlier", len(send.Earlier))...)
	return !enforced
}

// classOf returns the class of a request. A class that is not in the settings counts as not idempotent.
func (c *Core) classOf(r *Request) policy.Class {
	class, known := c.classes[r.Class]
	if !known {
		class.Effect = policy.Unsafe
	}
	return class
}

// assignedAttempts returns the attempts of a request that were assigned to a connection, without the one given as
// except. If the request was taken over from another instance, that instance's attempt comes first.
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

// deliverAnswer delivers the final answer of a request to its front. A rejection tells the client that a retry is safe,
// so it is turned into a failure if an attempt may have run.
func (c *Core) deliverAnswer(r *Request, a Answer) {
	if late := c.now - r.GiveUpAt; late > maxAnswerDelay && r.arrivedAt > 0 {
		attrs := append(r.logAttrs(), "late", late, "attempts", len(r.attempts))
		c.guard.Violated(guard.AnsweredLate, append(attrs, c.timingAttrs(r)...)...)
	}
	if a.Kind == Rejected && !r.Delegated && !guard.MayReject(c.classOf(r), r.assignedAttempts(nil)) {
		c.guard.Violated(guard.RejectedAfterPossibleRun, append(r.logAttrs(), "attempts", len(r.attempts))...)
		if enforced {
			a = Answer{Kind: Failed}
		}
	}
	if c.cfg.LogRequests {
		c.logRequestEnd(r, a)
	}
	r.Sink.Deliver(a)
}

// checkUnanswered counts the requests that were left without an answer when the core ended.
func (c *Core) checkUnanswered() {
	for _, r := range c.requests {
		if !r.finished && !r.Delegated {
			c.guard.Violated(guard.UnansweredAtExit, r.logAttrs()...)
		}
	}
}
