package core

import (
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/takeover"
	"hitchspring/policy"
)

// drainCoordinator sends the coordinator's messages and performs its actions until none are left.
func (c *Core) drainCoordinator() {
	t := c.takeover
	for {
		messages, actions := t.coordinator.Drain()
		for _, envelope := range messages {
			t.cfg.Transport.Send(envelope.To, encodePeerMessage(peerMessage{Message: envelope.Message}))
		}
		if len(actions) == 0 {
			return
		}
		for _, action := range actions {
			if action.Kind == takeover.ActionTakeOver {
				c.resumeWork(*action.Taken)
			} else if r := t.byAttempt[action.Attempt]; r != nil && r.pending != nil && !r.finished {
				c.performTakeoverAction(r, action)
			}
		}
	}
}

// performTakeoverAction carries out the coordinator's decision on one of this instance's requests.
func (c *Core) performTakeoverAction(r *Request, action takeover.Action) {
	if r.pending.isRejecting() {
		c.endRejection(r, action)
		return
	}
	switch action.Kind {
	case takeover.ActionSend:
		c.sendAwaiting(r)
	case takeover.ActionJoin:
		r.pending.phase = workJoined
		c.withdrawFromEngine(r)
	case takeover.ActionUseAnswer:
		c.withdrawFromEngine(r)
		if action.Answer.Kind == takeover.AnswerServed {
			c.answerRequest(r, Answer{Kind: Served, Value: action.Answer.Value})
		} else {
			c.answerRequest(r, Answer{Kind: Failed})
		}
	case takeover.ActionRestart: // the other instance's attempt never ran
		delete(c.takeover.byAttempt, r.ClientID)
		r.pending = nil
		c.resubmit(r, nil)
		c.replicateIfQueued(r)
	case takeover.ActionAdopt:
		c.withdrawFromEngine(r)
		r.pending.phase = workActive
		r.pending.scope = action.Scope
		c.resubmit(r, &policy.Prior{Zone: action.Scope.Zone, Cell: action.Scope.Rack, SentAt: action.StartedAt})
	case takeover.ActionAbort: // the replicas did not reply, and one of them may have taken the request over
		c.withdrawFromEngine(r)
		c.answerRequest(r, Answer{Kind: Failed})
	case takeover.ActionUnknown, takeover.ActionTakeOver: // handled by endRejection and drainCoordinator
	}
}

// endRejection answers a request that the engine has rejected: with the value of another attempt, with a failure if
// another instance may have sent it, or else with the rejection.
func (c *Core) endRejection(r *Request, action takeover.Action) {
	restart := action.Kind == takeover.ActionSend || action.Kind == takeover.ActionRestart
	switch {
	case action.Kind == takeover.ActionJoin: // wait for the outcome, which is a later action
	case action.Kind == takeover.ActionUseAnswer && action.Answer.Kind == takeover.AnswerServed:
		c.answerRequest(r, Answer{Kind: Served, Value: action.Answer.Value})
	case r.pending.phase == workConfirming && !restart: // another instance may have taken it over and sent it
		c.answerRequest(r, Answer{Kind: Failed})
	default:
		c.answerRequest(r, Answer{Kind: Rejected, RetryAfter: r.pending.retryAfter})
	}
}

// sendAwaiting sends the attempt that has waited for the replicas, unless its deadline has passed.
func (c *Core) sendAwaiting(r *Request) {
	w := r.pending
	attempt := w.removeAwaiting()
	if attempt == nil {
		return
	}
	if attempt.Deadline <= c.now {
		c.backends.CancelUnsent(attempt, w.backend)
		return
	}
	c.takeover.coordinator.AttemptSent(c.now, r.ClientID)
	w.attemptSent(attempt)
	c.startAttempt(r, attempt, w.backend)
}

// withdrawFromEngine withdraws an unsent request from the engine, which returns its units to the quota.
func (c *Core) withdrawFromEngine(r *Request) {
	w := r.pending
	attempt := w.removeAwaiting()
	if attempt == nil {
		if w.scope == takeover.ScopeNone { // the request waits in the engine's queue
			c.notifyEngine(policy.Disconnected{ID: r.ID})
		}
		return
	}
	r.inFlight--
	c.notifyEngine(policy.AttemptEnded{
		ID:       r.ID,
		Attempt:  attempt.Number,
		Backend:  w.backend,
		Outcome:  policy.NotSent,
		Finished: true,
		Unsent:   true,
	})
}

// resubmit submits a request to the engine again, under a new ID. prior is the attempt of another instance that may
// have run, or nil if there is none.
func (c *Core) resubmit(r *Request, prior *policy.Prior) {
	delete(c.requests, r.ID)
	c.lastID++
	r.ID, r.attempts, r.Prior, r.Charged = c.lastID, nil, prior, prior != nil
	if prior != nil {
		r.attempts = []*backend.Attempt{{}} // placeholder for the other instance's attempt
		r.pending.mayHaveRun, r.pending.sentAttempts = 1, 0
	}
	c.requests[r.ID] = r
	c.notifyEngine(policy.Arrival{Request: r.Request})
}

// cancelAwaiting cancels an attempt that waits for the replicas, and reports whether it did.
func (c *Core) cancelAwaiting(r *Request, number int) bool {
	w := r.pending
	if w == nil || w.awaiting == nil || w.awaiting.Number != number {
		return false
	}
	c.backends.CancelUnsent(w.removeAwaiting(), w.backend)
	return true
}

// takenOverSink is the reply sink of work that this instance has taken over. The client gets the answer by retrying
// with its idempotency key: the instance that it reaches queries the replicas.
type takenOverSink struct{}

// Deliver drops the answer, since the replicas have it.
func (takenOverSink) Deliver(a Answer) {
	if a.Stream != nil {
		a.Stream.Close()
	}
}

// Disconnected returns false, since the client may still retry.
func (takenOverSink) Client() ClientState { return Connected }

// resumeWork continues the work of an instance that has ended. Work that can't be continued is completed as failed.
func (c *Core) resumeWork(work takeover.TakenWork) {
	abandon := func(reason string, err error) {
		c.log.Warn("taken over work abandoned", "from", work.Owner, "reason", reason, "err", err)
		c.takeover.coordinator.Complete(c.now, work.Attempt, takeover.Answer{Kind: takeover.AnswerFailed})
	}
	if c.takeover.byAttempt[work.Attempt] != nil || c.takeover.cfg.Rebuild == nil {
		abandon("it is pending here, or there is no front yet", nil)
		return
	}
	r, err := c.takeover.cfg.Rebuild(work.Command)
	if err != nil {
		abandon("its command can't be read", err)
		return
	}
	r.Sink, r.GiveUpAt = takenOverSink{}, work.Deadline
	if !c.hasCapacity(r) {
		abandon("no capacity", nil)
		return
	}
	c.metrics.RequestAccepted()
	c.lastID++
	r.ID, r.arrivedAt = c.lastID, c.now
	sent := work.Scope != takeover.ScopeNone
	r.pending, r.Charged = &pendingWork{scope: work.Scope}, work.Charged || sent
	if sent {
		r.Prior = &policy.Prior{Zone: work.Scope.Zone, Cell: work.Scope.Rack, SentAt: work.StartedAt}
		r.attempts = []*backend.Attempt{{}} // placeholder for the owner's attempt
		r.pending.mayHaveRun = 1
	}
	c.takeover.byAttempt[work.Attempt] = r
	c.requests[r.ID] = r
	c.logWorkTakenOver(r, work.Owner, sent)
	c.notifyEngine(policy.Arrival{Request: r.Request})
	c.scheduleAt(r.GiveUpAt+answerOverdueAfter, func() { c.answerOverdue(r) })
}

func (c *Core) logWorkTakenOver(r *Request, owner string, sent bool) {
	c.log.Info("work taken over",
		"from", owner,
		"sent", sent,
		"class", r.Class,
		"key", r.IdempotencyKey,
		"left", (r.GiveUpAt - c.now).Round(time.Millisecond))
}
