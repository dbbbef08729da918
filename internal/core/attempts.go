package core

import (
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/outlier"
	"hitchspring/policy"
)

// probeTimeout bounds a health check, which has no request whose deadline could end it.
const probeTimeout = 250 * time.Millisecond

// sendAttempt creates an attempt that the engine has decided on. The attempt is sent at once, granted to a caller as a
// lease, or queued until enough replicas have recorded it. If it can't be sent any more, it ends as unsent.
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
	if !c.mayAttempt(r, attempt) || attempt.Deadline <= c.now || attempt.Number >= c.cfg.Settings.MaxAttempts ||
		r.Delegated && !c.grantLease(r, attempt, s.Backend) {
		c.backends.CancelUnsent(attempt, s.Backend)
		return
	}
	if r.Delegated || c.takeover != nil && c.awaitReplicas(r, attempt, s.Backend) {
		return
	}
	c.startAttempt(r, attempt, s.Backend)
}

// retryDeadline returns the latest time at which a retry of a request with an idempotency key may be written: after it,
// the backends of its idempotency scope may have dropped the key of the first attempt that may have run. The engine
// stops retrying a little earlier, but does not know how long an attempt waits for a connection. 0 means no limit.
func (c *Core) retryDeadline(r *Request) time.Duration {
	class := c.classes[r.Class]
	if class.Effect != policy.Keyed {
		return 0
	}
	retryWindow := class.RepeatWindow * 19 / 20
	if r.Prior != nil {
		return r.Prior.SentAt + retryWindow
	}
	for _, attempt := range r.attempts {
		if !attempt.NeverRan() {
			return attempt.StartedAt + retryWindow
		}
	}
	return 0
}

// stopAttempt stops an attempt at its deadline. If it may be about to stream a large value, and its client waits longer
// than the attempt, it is stopped at giveUpAt instead.
func (c *Core) stopAttempt(giveUpAt time.Duration, attempt *backend.Attempt) {
	if c.now < giveUpAt && attempt.ValueMayFollow() {
		c.scheduleAt(giveUpAt, func() { c.backends.Abort(attempt, policy.TimedOut) })
		return
	}
	c.backends.Abort(attempt, policy.TimedOut)
}

// startAttempt passes an attempt to the connection pool, which sends it.
func (c *Core) startAttempt(r *Request, attempt *backend.Attempt, to policy.BackendID) {
	c.summary.addAttempt(attempt.Number, c.now-r.arrivedAt)
	if c.escrow != nil && attempt.Number == 0 {
		c.escrow.recordForwarded(c.now, r)
	}
	if c.outliers != nil {
		id := outlier.AttemptID{Request: r.ID, Number: attempt.Number}
		c.outliers.detector.AttemptSent(c.now, to, id, r.Class)
	}
	if attempt.Number == 0 {
		c.shareID(r)
	}
	c.scheduleAt(attempt.Deadline, func() { c.stopAttempt(r.GiveUpAt, attempt) })
	c.backends.Start(attempt, to)
}

// attemptEnded handles the end of an attempt or a health check and notifies the engine. The first attempt that succeeds
// answers the client.
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
		Elapsed:  c.now - attempt.StartedAt,
		Finished: r.finished,
		Load:     reply.Load,
	})
	if outcome == policy.Succeeded {
		c.withdrawUnsent(r)
	}
}

// streamStarted answers a request with a streamed value whose first bytes have arrived. The engine counts the attempt
// as succeeded, with the latency up to now, and the request's unsent attempts are withdrawn. It returns false if the
// request already has its answer or its client has disconnected.
func (c *Core) streamStarted(attempt *backend.Attempt, stream *backend.Stream) (wanted bool) {
	r := attempt.Ref.(*Request)
	if r.finished { // not a failure of this backend
		return false
	}
	r.streaming, r.finished = attempt, true
	c.completeWork(r, Answer{Kind: Served, Stream: stream})
	c.summary.addServed(c.now-r.arrivedAt, c.classes[r.Class].LatencyObjective)
	c.deliverAnswer(r, Answer{Kind: Served, Stream: stream, Remaining: r.GiveUpAt - c.now})
	c.notifyAttemptEnded(r, policy.AttemptEnded{
		ID:       r.ID,
		Attempt:  attempt.Number,
		Backend:  attempt.BackendID(),
		Outcome:  policy.Succeeded,
		Elapsed:  c.now - attempt.StartedAt,
		Finished: true,
	})
	c.withdrawUnsent(r)
	return true
}

// streamEnded counts the end of a streamed value and releases its request.
func (c *Core) streamEnded(r *Request, outcome policy.Outcome) {
	c.metrics.RequestEnded(r.Class, requestEndOf(outcome))
	r.inFlight--
	c.releaseRequest(r)
}

// notifyAttemptEnded notifies the engine and the optional components that an attempt has ended.
func (c *Core) notifyAttemptEnded(r *Request, ev policy.AttemptEnded) {
	if r.pending != nil {
		r.pending.attemptEnded(ev)
	}
	if c.zones != nil {
		c.zones.AttemptEnded(c.now, ev.Backend, c.now-ev.Elapsed, r.Class, ev.Outcome)
	}
	if c.outliers != nil {
		c.outliers.detector.AttemptEnded(c.now, outlier.AttemptID{Request: r.ID, Number: ev.Attempt}, ev.Outcome)
	}
	c.notifyEngine(ev)
	c.releaseRequest(r)
}

// probeBackend starts a health check of a backend. It does nothing if the backend is not listed or is suspended.
func (c *Core) probeBackend(id policy.BackendID) (sent bool) {
	if !c.backends.Contains(id) || c.isSuspended(id) {
		return false
	}
	attempt := &backend.Attempt{StartedAt: c.now, Deadline: c.now + probeTimeout}
	c.scheduleAt(attempt.Deadline, func() { c.backends.Abort(attempt, policy.TimedOut) })
	c.backends.Start(attempt, id)
	return true
}

// probeEnded notifies the engine and the zone tracker that a health check has ended.
func (c *Core) probeEnded(attempt *backend.Attempt, outcome policy.Outcome, reply backend.Reply) {
	if c.zones != nil {
		c.zones.ProbeEnded(c.now, attempt.BackendID(), outcome == policy.Succeeded)
	}
	took := c.now - attempt.StartedAt
	c.notifyEngine(policy.ProbeEnded{Backend: attempt.BackendID(), Outcome: outcome, Elapsed: took, Load: reply.Load})
}
