package core

import (
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/takeover"
	"hitchspring/policy"
)

// replicateQueuedAfter is how long a request waits in the engine's queue before it is replicated.
const replicateQueuedAfter = 30 * time.Millisecond

// commandArgs is a command with arguments from which another instance can rebuild the request.
type commandArgs interface{ Args() [][]byte }

// canReplicate reports whether a request can be replicated.
func (c *Core) canReplicate(r *Request) bool {
	if c.classes[r.Class].Effect != policy.Keyed || r.IdempotencyKey == "" || r.Size > takeover.MaxCommandBytes {
		return false
	}
	_, ok := r.Command.(commandArgs)
	return ok
}

// workKey returns the key that identifies a request to all instances.
func workKey(r *Request) string { return r.Tenant + "/" + r.IdempotencyKey }

// workOf returns the form of a request that is replicated.
func (c *Core) workOf(r *Request) takeover.Work {
	return takeover.Work{
		Key:               workKey(r),
		Class:             r.Class,
		Plan:              r.Plan,
		Tenant:            r.Tenant,
		Units:             r.Units,
		Spread:            r.Spread,
		First:             r.First,
		IdempotencyWindow: c.classes[r.Class].RepeatWindow,
		Command:           r.Command.(commandArgs).Args(),
	}
}

// replicateIfQueued replicates a request if it is still in the engine's queue after replicateQueuedAfter.
func (c *Core) replicateIfQueued(r *Request) {
	if c.takeover != nil && c.canReplicate(r) {
		c.scheduleAfter(replicateQueuedAfter, func() { c.replicateQueued(r) })
	}
}

// replicateQueued replicates a request that is still in the engine's queue, so that another instance sends it if this
// one ends.
func (c *Core) replicateQueued(r *Request) {
	if r.finished || r.pending != nil || len(r.attempts) > 0 || c.requests[r.ID] != r {
		return
	}
	r.pending = &pendingWork{scope: takeover.ScopeNone}
	c.takeover.byAttempt[r.ClientID] = r
	work := c.workOf(r)
	work.Charged = c.engine.IsQueued(r.ID)
	c.takeover.coordinator.RequestSend(c.now, work, r.ClientID, takeover.ScopeNone, r.GiveUpAt)
	c.drainCoordinator()
}

// awaitReplicas reports whether an attempt has to wait until enough replicas have recorded it. If so, it sends the work
// to the replicas.
func (c *Core) awaitReplicas(r *Request, attempt *backend.Attempt, to policy.BackendID) bool {
	if !c.canReplicate(r) {
		return false
	}
	scope := c.scopeOf(c.classes[r.Class], to)
	switch {
	case r.pending == nil:
		r.pending = &pendingWork{scope: scope, awaiting: attempt, backend: to}
		c.takeover.byAttempt[r.ClientID] = r
		c.takeover.coordinator.RequestSend(c.now, c.workOf(r), r.ClientID, scope, r.GiveUpAt)
	case r.pending.scope == scope:
		r.pending.attemptSent(attempt)
		return false
	default: // any attempt sent to the previous scope certainly never ran
		r.pending.scope, r.pending.awaiting, r.pending.backend = scope, attempt, to
		c.takeover.coordinator.RelocateAttempt(c.now, r.ClientID, scope)
	}
	c.drainCoordinator()
	return true
}

// scopeOf returns the idempotency scope of a request that is sent to a backend: where a repeat has no further effect.
func (c *Core) scopeOf(class policy.Class, id policy.BackendID) takeover.Scope {
	target := c.endpoints.targets[id]
	switch class.Group {
	case policy.GroupAll:
		return takeover.Scope{}
	case policy.GroupZone:
		return takeover.Scope{Zone: target.Zone}
	default:
		return takeover.Scope{Zone: target.Zone, Rack: target.Group}
	}
}

// queryOutcome queries the replicas for an earlier attempt of a request that the engine rejects. A client that retries
// an idempotency key while this instance is at capacity then gets the answer of that attempt, if it exists or is
// pending. It returns false if no query is sent; otherwise performTakeoverAction answers the request.
func (c *Core) queryOutcome(r *Request, retryAfter time.Duration) bool {
	if r == nil || r.finished || r.inFlight > 0 {
		return false
	}
	if r.pending != nil {
		return c.confirmRejection(r, retryAfter)
	}
	if len(r.attempts) > 0 || r.IdempotencyKey == "" || c.classes[r.Class].Effect != policy.Keyed {
		return false
	}
	r.pending = &pendingWork{phase: workQuerying, retryAfter: retryAfter}
	c.takeover.byAttempt[r.ClientID] = r
	if !c.takeover.coordinator.QueryOutcome(c.now, workKey(r), r.ClientID, r.GiveUpAt) {
		delete(c.takeover.byAttempt, r.ClientID)
		r.pending = nil
		return false
	}
	c.scheduleAt(r.GiveUpAt, func() { // reject the request if no outcome has arrived by then
		c.answerRequest(r, Answer{Kind: Rejected, RetryAfter: retryAfter})
	})
	c.drainCoordinator()
	return true
}

// confirmRejection queries the replicas of a request whether another instance has taken it over, before this instance
// rejects it. It returns false if no query is sent, since an attempt may have run.
func (c *Core) confirmRejection(r *Request, retryAfter time.Duration) bool {
	w := r.pending
	if !w.canReject() {
		return false
	}
	w.phase, w.retryAfter = workConfirming, retryAfter
	c.takeover.coordinator.ConfirmRejection(c.now, r.ClientID)
	c.drainCoordinator()
	return true
}

// completeWork notifies the replicas that a request has its final answer.
func (c *Core) completeWork(r *Request, a Answer) {
	w := r.pending
	if w == nil || w.phase == workCompleted {
		return
	}
	w.phase = workCompleted
	delete(c.takeover.byAttempt, r.ClientID)
	end := takeover.Answer{Kind: takeover.AnswerFailed}
	switch {
	case a.Kind == Served:
		end = takeover.Answer{Kind: takeover.AnswerServed, Value: a.Value, Truncated: a.Stream != nil}
	case w.mayHaveRun <= 0:
		end.Kind = takeover.AnswerNeverRan
	}
	c.takeover.coordinator.Complete(c.now, r.ClientID, end)
	c.drainCoordinator()
}
