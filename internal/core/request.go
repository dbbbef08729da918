package core

import (
	"fmt"
	"slices"
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/guard"
	"hitchspring/internal/metrics"
	"hitchspring/policy"
)

// answerOverdueAfter is how long after its deadline the core answers a request that the engine has left open.
const answerOverdueAfter = 8 * time.Millisecond

// Request is a client's request. The front sets the exported fields before Submit and doesn't change them afterwards.
// The core sets the ID and, for work that was taken over, the fields Prior and Charged.
type Request struct {
	policy.Request
	ClientID       uint64 // chosen by the client; while a request is open, another with its id is answered Duplicate
	Sink           ReplySink
	Command        backend.Command
	IdempotencyKey string    // empty if the class has no idempotency keys
	Size           int       // bytes of memory that the request occupies
	ReceivedAt     time.Time // when its last byte arrived, as far as the front can tell; zero: unknown
	MemoryReserved bool      // ReserveMemory was called for Size bytes

	submittedAt     time.Time // when Submit was called
	attempts        []*backend.Attempt
	arrivedAt       time.Duration
	clientCheckedAt time.Duration    // when Sink.Client was last called
	client          ClientState      // what it returned
	streaming       *backend.Attempt // attempt whose value is being streamed to the client; nil: none
	inFlight        int              // attempts that have not ended
	finished        bool             // it has its final answer, or its client has disconnected
	mayHaveRun      bool             // an attempt may have run; set when it is released
	reason          policy.Reason    // of its rejection or failure
	pending         *pendingWork     // state of its replication; nil: it is not replicated
	deadlineTimer   *timer           // fires after its deadline; nil: not scheduled, or canceled
}

// The events of a front that submits requests.
type (
	requestArrived      struct{ request *Request }
	clientsDisconnected struct{ requests []*Request }
	answerAllRequested  struct{ done chan<- struct{} } // done is closed when all requests are answered
)

// Submit submits a request. Its Sink gets exactly one answer, unless the client disconnects first.
func (c *Core) Submit(r *Request) {
	r.submittedAt = time.Now()
	c.post(requestArrived{r})
}

// NotifyDisconnected reports that the clients of requests have disconnected and no longer wait for answers.
func (c *Core) NotifyDisconnected(requests []*Request) { c.post(clientsDisconnected{requests}) }

// AnswerAll gives a final answer to each open request. It returns when all answers are delivered or the core has
// stopped.
func (c *Core) AnswerAll() {
	done := make(chan struct{})
	c.post(answerAllRequested{done})
	select {
	case <-done:
	case <-c.stopped:
	}
}

// ReserveMemory reserves memory for a request of so many bytes, which the caller is about to copy and submit with
// MemoryReserved set. Requests that wait for the loop are thus bounded as well. It reports false if there is too
// little.
func (c *Core) ReserveMemory(bytes int) bool { return c.requestMemory.Reserve(bytes) }

// ReleaseMemory gives back memory that was reserved for a request that is not submitted.
func (c *Core) ReleaseMemory(bytes int) { c.requestMemory.Release(bytes) }

// reserveMemory reserves the memory of a request unless its front has done so, and reports whether it has it.
func (c *Core) reserveMemory(r *Request) bool {
	if !r.MemoryReserved {
		r.MemoryReserved = c.requestMemory.Reserve(r.Size)
	}
	return r.MemoryReserved
}

// releaseMemory gives back the memory of a request that has ended, if it is reserved.
func (c *Core) releaseMemory(r *Request) {
	if r.MemoryReserved {
		r.MemoryReserved = false
		c.requestMemory.Release(r.Size)
	}
}

// handleArrival admits a request and notifies the engine, or answers the request immediately.
func (c *Core) handleArrival(r *Request) {
	c.metrics.RequestAccepted()
	if c.dropDisconnectedArrival(r) {
		c.releaseMemory(r)
		return
	}
	if answer, admitted := c.checkAdmission(r); !admitted {
		c.finishRequest(r, answer)
		c.releaseMemory(r)
		return
	}
	c.lastID++
	r.ID, r.arrivedAt = c.lastID, c.now
	c.metrics.ArrivalHandled(r.loopWait(c))
	c.requests[r.ID] = r
	if !r.Delegated {
		c.clientIDs[r.ClientID] = true
	}
	c.summary.add(summaryArrived, 1)
	c.notifyEngine(policy.Arrival{Request: r.Request})
	c.replicateIfQueued(r)
	r.deadlineTimer = c.scheduleAt(r.GiveUpAt+answerOverdueAfter, func() {
		c.expireClientID(r)
		c.answerOverdue(r)
	})
}

// answerRequest gives a request its final answer and releases it. It does nothing if the request is nil or finished.
func (c *Core) answerRequest(r *Request, a Answer) {
	if r == nil || r.finished {
		return
	}
	c.finishRequest(r, a)
	c.withdrawUnsent(r)
	c.releaseRequest(r)
}

// finishRequest counts and delivers the final answer of a request. A second answer is an invariant violation.
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

// withdrawUnsent cancels the attempts of a finished request that have not been written yet. The engine doesn't do this
// if its settings forbid it to cancel, and an attempt that waits for a connection would then be sent needlessly.
func (c *Core) withdrawUnsent(r *Request) {
	for _, attempt := range r.attempts {
		c.backends.Withdraw(attempt)
	}
}

// answerOverdue answers a request that the engine has left open past its deadline. If no attempt can have been sent, by
// this or another instance, it is rejected, since a retry is then safe; otherwise it has failed.
func (c *Core) answerOverdue(r *Request) {
	if r.finished {
		return
	}
	c.log.Warn("no answer in time", append(append(r.logAttrs(), "attempts", len(r.attempts)), c.timingAttrs(r)...)...)
	c.summary.add(summaryOverdue, 1)
	a := Answer{Kind: Failed}
	if len(r.attempts) == 0 && r.Prior == nil && !r.pending.mayBeTakenOver() {
		a = Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter}
	}
	c.answerRequest(r, a)
	c.notifyEngine(policy.Disconnected{ID: r.ID})
}

// releaseRequest removes a finished request from the table once none of its attempts is in flight.
func (c *Core) releaseRequest(r *Request) {
	if r.finished && r.inFlight == 0 && c.requests[r.ID] == r {
		c.releaseMemory(r)
		delete(c.requests, r.ID)
		if r.mayHaveRun = !r.neverRan(); !r.mayHaveRun {
			c.forgetClientID(r)
		}
		r.Command, r.Sink, r.attempts = nil, nil, nil // free their memory: a timer may reference r for seconds more
	}
}

// neverRan reports whether the request certainly ran at no backend.
func (r *Request) neverRan() bool {
	return r.Prior == nil && !slices.ContainsFunc(r.attempts, func(a *backend.Attempt) bool { return !a.NeverRan() })
}

// forgetClientID drops all that is kept until the deadline of a request that has ended without having run: the client
// may be refused and ask again as fast as it likes, with any deadline.
func (c *Core) forgetClientID(r *Request) {
	if r.deadlineTimer == nil {
		return
	}
	c.cancelTimer(r.deadlineTimer)
	r.deadlineTimer = nil
	if !r.Delegated {
		delete(c.clientIDs, r.ClientID)
	}
}

// logAttrs returns the attributes that identify a request in a log line.
func (r *Request) logAttrs() []any {
	return []any{"request", fmt.Sprintf("%016x", r.ClientID), "customer", r.Tenant, "class", r.Class}
}

// loopWait returns how long a request that is being handled or has been handled had waited for the loop.
func (r *Request) loopWait(c *Core) time.Duration {
	if r.submittedAt.IsZero() {
		return 0
	}
	return r.arrivedAt - c.clock(r.submittedAt)
}

// timingAttrs returns the attributes that tell where the time of a request that is late was spent: until its front had
// read and submitted it, until the loop handled it, and since then.
func (c *Core) timingAttrs(r *Request) []any {
	unread := time.Duration(0)
	if !r.ReceivedAt.IsZero() && !r.submittedAt.IsZero() {
		unread = r.submittedAt.Sub(r.ReceivedAt)
	}
	return []any{
		"waited_to_be_read", unread.Round(time.Millisecond),
		"waited_for_loop", r.loopWait(c).Round(time.Millisecond),
		"waited_for_backends", (c.now - r.arrivedAt).Round(time.Millisecond),
		"loop_late", (c.now - r.GiveUpAt - answerOverdueAfter).Round(time.Millisecond),
	}
}

// logRequestEnd logs the end of a request with the outcome of each attempt.
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

// outcomeOf returns the name of an attempt's outcome, or "out" if the attempt is still in flight.
func outcomeOf(attempt *backend.Attempt) string {
	if outcome, ended := attempt.Outcome(); ended {
		return outcomeNames[outcome]
	}
	return "out"
}

// requestEndOf returns how the metrics count a request that ended with an attempt's outcome.
func requestEndOf(outcome policy.Outcome) metrics.RequestEnd {
	if outcome == policy.Succeeded {
		return metrics.Answered
	}
	return metrics.Errored
}

// newMetrics returns metrics labelled with the names of the classes, the engine's reasons and the attempt outcomes.
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
