package core

import (
	"fmt"
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/guard"
	"hitchspring/internal/metrics"
	"hitchspring/policy"
)

// answerOverdueAfter is how long after its deadline a request is answered by the core, if the engine has not done so.
const answerOverdueAfter = 8 * time.Millisecond

// Request is a client's request as a front submits it. The front sets the exported fields before Submit and changes
// none afterwards. The core sets the request's ID, and what the engine is to know of work that is taken over.
type Request struct {
	policy.Request
	ClientID       uint64 // the client's own id: of two open requests with one id, the later is answered Duplicate
	Sink           ReplySink
	Command        backend.Command
	IdempotencyKey string // of a class whose requests have one
	Size           int    // bytes that it holds

	attempts            []*backend.Attempt
	arrivedAt           time.Duration
	disconnectCheckedAt time.Duration    // when Sink.Disconnected was called last
	streaming           *backend.Attempt // its value is being passed on to the client
	inFlight            int              // attempts whose end the core has not seen
	finished            bool             // it has its final answer, or its client has disconnected
	reason              policy.Reason    // of its rejection or failure
	pending             *pendingWork     // what replicas know of it; nil: nothing
}

// The events of a front that submits requests.
type (
	requestArrived      struct{ request *Request }
	clientsDisconnected struct{ requests []*Request }
	answerAllRequested  struct{ done chan<- struct{} } // done is closed when all requests are answered
)

// Submit hands in a request. Its Sink gets one answer, unless the client is reported as disconnected first.
func (c *Core) Submit(r *Request) { c.post(requestArrived{r}) }

// NotifyDisconnected reports that the clients of requests have disconnected: nobody waits for their answers any more.
func (c *Core) NotifyDisconnected(requests []*Request) { c.post(clientsDisconnected{requests}) }

// AnswerAll gives a final answer to each open request. It returns when the fronts have them or the core has ended.
func (c *Core) AnswerAll() {
	done := make(chan struct{})
	c.post(answerAllRequested{done})
	select {
	case <-done:
	case <-c.stopped:
	}
}

// handleArrival admits a request and notifies the engine, or answers the request at once.
func (c *Core) handleArrival(r *Request) {
	c.metrics.RequestAccepted()
	if c.dropDisconnectedArrival(r) {
		return
	}
	if answer, admitted := c.checkAdmission(r); !admitted {
		c.finishRequest(r, answer)
		return
	}
	c.lastID++
	r.ID, r.arrivedAt = c.lastID, c.now
	c.requests[r.ID] = r
	c.clientIDs[r.ClientID] = true
	c.requestBytes += r.Size
	c.summary.add(summaryArrived, 1)
	c.notifyEngine(policy.Arrival{Request: r.Request})
	c.replicateIfQueued(r)
	c.scheduleAt(r.GiveUpAt+answerOverdueAfter, func() {
		delete(c.clientIDs, r.ClientID)
		c.answerOverdue(r)
	})
}

// answerRequest gives a request its final answer, unless it has one or is nil.
func (c *Core) answerRequest(r *Request, a Answer) {
	if r == nil || r.finished {
		return
	}
	c.finishRequest(r, a)
	c.withdrawUnsent(r)
	c.releaseRequest(r)
}

// finishRequest counts and delivers the one final answer of a request.
func (c *Core) finishRequest(r *Request, a Answer) {
	if r.finished && !r.Delegated {
		c.guard.Violated(guard.AnsweredTwice, append(r.logAttrs(), "second", a.Kind.String())...)
		return
	}
	r.finished = true
	c.completeWork(r, a)
	end := metrics.Errored
	switch a.Kind {
	case Served, Granted, Concluded:
		end = metrics.Answered
	case Rejected:
		end = metrics.Deferred
	case Failed, Duplicate, Mismatched:
	}
	c.metrics.RequestEnded(r.Class, end)
	c.deliverAnswer(r, a)
}

// withdrawUnsent cancels the attempts of a finished request that are not written yet. The engine may be configured not
// to cancel, and an attempt that waits for a connection would then be sent for nobody.
func (c *Core) withdrawUnsent(r *Request) {
	for _, attempt := range r.attempts {
		c.backends.Withdraw(attempt)
	}
}

// answerOverdue answers a request that the engine has left open past its deadline. One that was surely never sent is
// rejected, since a retry is harmless then.
func (c *Core) answerOverdue(r *Request) {
	if r.finished {
		return
	}
	c.log.Warn("no answer in time", append(r.logAttrs(), "attempts", len(r.attempts))...)
	c.summary.add(summaryOverdue, 1)
	a := Answer{Kind: Failed}
	if len(r.attempts) == 0 && r.Prior == nil && !r.pending.mayBeTakenOver() {
		a = Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter}
	}
	c.answerRequest(r, a)
	c.notifyEngine(policy.Disconnected{ID: r.ID})
}

// releaseRequest removes a finished request from the table when none of its attempts is in flight.
func (c *Core) releaseRequest(r *Request) {
	if r.finished && r.inFlight == 0 && c.requests[r.ID] == r {
		c.requestBytes -= r.Size
		delete(c.requests, r.ID)
		r.Command, r.Sink, r.attempts = nil, nil, nil // its timer may keep the request itself for seconds more
	}
}

// logAttrs returns the attributes that identify a request in a log line.
func (r *Request) logAttrs() []any {
	return []any{"request", fmt.Sprintf("%016x", r.ClientID), "customer", r.Tenant, "class", r.Class}
}

// logRequestEnd writes the log line about the end of a request, with the outcome of each attempt.
func (c *Core) logRequestEnd(r *Request, a Answer) {
	attempts := make([]string, 0, len(r.attempts))
	for _, attempt := range r.attempts {
		sentAfter := (attempt.StartedAt - r.arrivedAt).Seconds()
		attempts = append(attempts, fmt.Sprintf("%s@%.3f:%s", attempt.BackendID(), sentAfter, outcomeOf(attempt)))
	}
	c.log.Info("request ended", append(r.logAttrs(),
		"end", a.Kind.String(),
		"why", r.reason.String(),
		"after", (c.now-r.arrivedAt).Round(time.Millisecond),
		"left", (r.GiveUpAt-c.now).Round(time.Millisecond),
		"attempts", attempts)...)
}

// outcomeOf names the outcome of an attempt, or says that it is still out.
func outcomeOf(attempt *backend.Attempt) string {
	if outcome, ended := attempt.Outcome(); ended {
		return outcomeNames[outcome]
	}
	return "out"
}

// requestEndOf returns how a request is counted that ended with the outcome of an attempt.
func requestEndOf(outcome policy.Outcome) metrics.RequestEnd {
	if outcome == policy.Succeeded {
		return metrics.Answered
	}
	return metrics.Errored
}

// newMetrics returns metrics with the names of the classes, the engine's reasons and the outcomes of attempts.
func newMetrics(classes []policy.Class) *metrics.Set {
	names := make([]string, len(classes))
	for i, class := range classes {
		names[i] = class.Name
	}
	reasons := make([]string, policy.ReasonCount)
	for i := range reasons {
		reasons[i] = policy.Reason(i).String()
	}
	return metrics.New(names, reasons, outcomeNames[:])
}
