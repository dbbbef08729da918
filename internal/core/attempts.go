package core

import (
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/outlier"
	"hitchspring/policy"
)

// probeTimeout bounds a health check, which has no request whose deadline could end it.
const probeTimeout = 250 * time.Millisecond

// sendAttempt creates the attempt that the engine has decided on. It goes out at once, is granted to a caller as a
// lease, or waits until replicas know of it; if its request is over meanwhile, it ends unsent.
func (c *Core) sendAttempt(s policy.SendAttempt) {
	r := c.requests[s.ID]
	if r == nil {
		return
	}
	attempt := &backend.Attempt{
		Ref:       r,
		Number:    len(r.attempts),
		Command:   r.Command,
		StartedAt: c.now,
		Deadline:  r.GiveUpAt,
		WriteBy:   c.retryDeadline(r),
	}
	if s.StopAt > 0 {
		attempt.Deadline = min(s.StopAt, r.GiveUpAt)
	}
	r.attempts = append(r.attempts, attempt)
	r.inFlight++
	if c.zones != nil {
		c.zones.AttemptSent(c.now, s.Backend)
	}
	c.dropIfDisconnected(r)
	if r.finished || attempt.Deadline <= c.now || attempt.Number >= c.cfg.Settings.MaxAttempts ||
		r.Delegated && !c.grantLease(r, attempt, s.Backend) {
		c.backends.CancelUnsent(attempt, s.Backend)
		return
	}
	if r.Delegated || c.takeover != nil && c.awaitReplicas(r, attempt, s.Backend) {
		return
	}
	c.startAttempt(r, attempt, s.Backend)
}

// retryDeadline returns when a retry of a request with an idempotency key must reach its backend at the latest: while
// that backend, or those of its group, still know the first attempt that may have run. The engine stops a little
// earlier, but doesn't know how long the attempt waits for a connection. It returns 0 if there is no such limit.
func (c *Core) retryDeadline(r *Request) time.Duration {
	class := c.classes[r.Class]
	if class.Effect != policy.Keyed {
		return 0
	}
	remembered := class.RepeatWindow * 19 / 20
	if r.Prior != nil {
		return r.Prior.SentAt + remembered
	}
	for _, attempt := range r.attempts {
		if !attempt.NeverRan() {
			return attempt.StartedAt + remembered
		}
	}
	return 0
}

// startAttempt hands an attempt to the pool of connections.
func (c *Core) startAttempt(r *Request, attempt *backend.Attempt, to policy.BackendID) {
	c.summary.addAttempt(attempt.Number, c.now-r.arrivedAt)
	if c.escrow != nil && attempt.Number == 0 {
		c.escrow.recordForwarded(c.now, r)
	}
	if c.outliers != nil {
		id := outlier.AttemptID{Request: r.ID, Number: attempt.Number}
		c.outliers.detector.AttemptSent(c.now, to, id, r.Class)
	}
	c.scheduleAt(attempt.Deadline, func() { c.backends.Abort(attempt, policy.TimedOut) })
	c.backends.Start(attempt, to)
}

// attemptEnded notifies the engine of the end of an attempt or a probe. The first attempt that succeeds answers the
// client.
func (c *Core) attemptEnded(attempt *backend.Attempt, outcome policy.Outcome, reply backend.Reply) {
	if attempt.Ref == nil {
		c.probeEnded(attempt, outcome, reply)
		return
	}
	r := attempt.Ref.(*Request)
	c.summary.addAttemptEnd(outcome)
	c.metrics.AttemptEnded(int(outcome))
	if r.streaming == attempt {
		c.streamEnded(r, outcome)
		return
	}
	if outcome == policy.Succeeded && !r.finished {
		c.summary.addServed(c.now-r.arrivedAt, c.classes[r.Class].LatencyObjective)
		c.finishRequest(r, Answer{Kind: Served, Value: reply.Value})
	}
	r.inFlight--
	c.notifyAttemptEnded(r, policy.AttemptEnded{
		ID:       r.ID,
		Attempt:  attempt.Number,
		Backend:  attempt.BackendID(),
		Outcome:  outcome,
		Took:     c.now - attempt.StartedAt,
		Finished: r.finished,
		Load:     reply.Load,
	})
	if outcome == policy.Succeeded {
		c.withdrawUnsent(r)
	}
}

// streamStarted answers a request with a value whose first bytes have come. For the engine the attempt has succeeded:
// its latency counts up to now, and the request's other attempts are withdrawn. It reports false if nobody wants the
// value.
func (c *Core) streamStarted(attempt *backend.Attempt, stream *backend.Stream) (wanted bool) {
	r := attempt.Ref.(*Request)
	if r.finished { // by another attempt or by the client, which is no fault of this backend
		return false
	}
	r.streaming, r.finished = attempt, true
	c.completeWork(r, Answer{Kind: Served, Stream: stream})
	c.summary.addServed(c.now-r.arrivedAt, c.classes[r.Class].LatencyObjective)
	c.deliverAnswer(r, Answer{Kind: Served, Stream: stream})
	c.notifyAttemptEnded(r, policy.AttemptEnded{
		ID:       r.ID,
		Attempt:  attempt.Number,
		Backend:  attempt.BackendID(),
		Outcome:  policy.Succeeded,
		Took:     c.now - attempt.StartedAt,
		Finished: true,
	})
	c.withdrawUnsent(r)
	return true
}

// streamEnded counts the end of a value that was passed on.
func (c *Core) streamEnded(r *Request, outcome policy.Outcome) {
	c.metrics.RequestEnded(r.Class, requestEndOf(outcome))
	r.inFlight--
	c.releaseRequest(r)
}

// notifyAttemptEnded notifies the engine and the optional components of the end of a request's attempt.
func (c *Core) notifyAttemptEnded(r *Request, ev policy.AttemptEnded) {
	if r.pending != nil {
		r.pending.attemptEnded(ev)
	}
	if c.zones != nil {
		c.zones.AttemptEnded(c.now, ev.Backend, c.now-ev.Took, r.Class, ev.Outcome)
	}
	if c.outliers != nil {
		c.outliers.detector.AttemptEnded(c.now, outlier.AttemptID{Request: r.ID, Number: ev.Attempt}, ev.Outcome)
	}
	c.notifyEngine(ev)
	c.releaseRequest(r)
}

// probeBackend starts a health check of a backend, unless it is not listed or suspended.
func (c *Core) probeBackend(id policy.BackendID) (sent bool) {
	if !c.backends.Contains(id) || c.isSuspended(id) {
		return false
	}
	attempt := &backend.Attempt{StartedAt: c.now, Deadline: c.now + probeTimeout}
	c.scheduleAt(attempt.Deadline, func() { c.backends.Abort(attempt, policy.TimedOut) })
	c.backends.Start(attempt, id)
	return true
}

// probeEnded notifies the engine and the zones of the end of a health check.
func (c *Core) probeEnded(attempt *backend.Attempt, outcome policy.Outcome, reply backend.Reply) {
	if c.zones != nil {
		c.zones.ProbeEnded(c.now, attempt.BackendID(), outcome == policy.Succeeded)
	}
	took := c.now - attempt.StartedAt
	c.notifyEngine(policy.ProbeEnded{Backend: attempt.BackendID(), Outcome: outcome, Took: took, Load: reply.Load})
}
