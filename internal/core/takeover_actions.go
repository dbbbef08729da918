package core

import (
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/takeover"
	"hitchspring/policy"
)

// drainCoordinator sends the coordinator's messages and performs its actions until it has neither.
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

// performTakeoverAction carries out what the coordinator has decided on one of this instance's requests.
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
	case takeover.ActionRestart: // the attempt whose outcome was awaited never ran
		delete(c.takeover.byAttempt, r.ClientID)
		r.pending = nil
		c.resubmit(r, nil)
		c.replicateIfQueued(r)
	case takeover.ActionAdopt:
		c.withdrawFromEngine(r)
		r.pending.phase = workActive
		r.pending.scope = action.Scope
		c.resubmit(r, &policy.Prior{Zone: action.Scope.Zone, Cell: action.Scope.Rack, SentAt: action.StartedAt})
	case takeover.ActionAbort: // its replicas did not answer, and one may have taken it over
		c.withdrawFromEngine(r)
		c.answerRequest(r, Answer{Kind: Failed})
	case takeover.ActionUnknown, takeover.ActionTakeOver: // of requests being rejected, and of other instances' work
	}
}

// endRejection answers a request that is being rejected, of which nothing will be sent: with the outcome of another
// attempt, or with the rejection.
func (c *Core) endRejection(r *Request, action takeover.Action) {
	restart := action.Kind == takeover.ActionSend || action.Kind == takeover.ActionRestart
	switch {
	case action.Kind == takeover.ActionJoin: // the outcome follows
	case action.Kind == takeover.ActionUseAnswer && action.Answer.Kind == takeover.AnswerServed:
		c.answerRequest(r, Answer{Kind: Served, Value: action.Answer.Value})
	case r.pending.phase == workConfirming && !restart: // another instance may have sent it
		c.answerRequest(r, Answer{Kind: Failed})
	default:
		c.answerRequest(r, Answer{Kind: Rejected, RetryAfter: r.pending.retryAfter})
	}
}

// sendAwaiting lets the attempt go out that has waited for the replicas.
func (c *Core) sendAwaiting(r *Request) {
	w := r.pending
	attempt := w.takeAwaiting()
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

// withdrawFromEngine takes a request back from the engine that has not gone out; its units are given back.
func (c *Core) withdrawFromEngine(r *Request) {
	w := r.pending
	attempt := w.takeAwaiting()
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

// resubmit hands a request to the engine once more, with a new ID. prior is the attempt of another instance that may
// have run; nil: none has.
func (c *Core) resubmit(r *Request, prior *policy.Prior) {
	delete(c.requests, r.ID)
	c.lastID++
	r.ID, r.attempts, r.Prior, r.Charged = c.lastID, nil, prior, prior != nil
	if prior != nil {
		r.attempts = []*backend.Attempt{{}} // stands for the other instance's
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
	c.backends.CancelUnsent(w.takeAwaiting(), w.backend)
	return true
}

// takenOverSink is the sink of work that this instance has taken over. A client that comes back for its answer asks for
// it by its idempotency key, and has it from the replicas.
type takenOverSink struct{}

// Deliver drops the answer, which the replicas have.
func (takenOverSink) Deliver(a Answer) {
	if a.Stream != nil {
		a.Stream.Close()
	}
}

// Disconnected reports false: the client of another instance may come back.
func (takenOverSink) Disconnected() bool { return false }

// resumeWork continues a piece of work whose instance has ended.
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
		r.attempts = []*backend.Attempt{{}} // stands for its owner's
		r.pending.mayHaveRun = 1
	}
	c.takeover.byAttempt[work.Attempt] = r
	c.requests[r.ID] = r
	c.requestBytes += r.Size
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
