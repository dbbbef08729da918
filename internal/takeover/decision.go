package takeover

import "time"

// replyTally summarizes the replies to one intent.
type replyTally struct {
	// first is the first reply in the order of the remotes, nil if there is none.
	first *Reply
	// conflicting is the first reply whose replica knows of another attempt or
	// owner, that is, neither ReplyGranted nor ReplyFull. nil if there is none.
	conflicting *Reply
	// missing is set if a reply is still awaited. A departed replica is not
	// waited for after departedReplyTimeout.
	missing bool
	// complete is set if all remotes have replied.
	complete bool
}

// tallyReplies summarizes the replies to the current intent of work. If the
// primary consents, replies that name another attempt with the same primary are
// ignored, since the primary has refused that attempt. This doesn't apply to
// work that was taken over.
func (c *Coordinator) tallyReplies(now time.Duration, work *pendingWork) replyTally {
	tally := replyTally{complete: true}
	primaryConsents := work.primaryConsents(c.self.Name)
	for _, remote := range work.remotes {
		reply := work.replies[remote]
		if reply == nil {
			tally.complete = false
			_, departed := c.departed[remote]
			if !departed || now-work.requestedAt < departedReplyTimeout {
				tally.missing = true
			}
			continue
		}
		lost := reply.namesOther() && reply.Answer == nil && work.isPrimary(reply.Primary)
		if lost && primaryConsents && work.previousOwner == "" {
			continue
		}
		if tally.first == nil {
			tally.first = reply
		}
		if tally.conflicting == nil && reply.Kind != ReplyGranted && reply.Kind != ReplyFull {
			tally.conflicting = reply
		}
	}
	return tally
}

// decide applies the replicas' decision once all have replied, or part of the
// timeout has passed. It reports whether a decision was made.
func (c *Coordinator) decide(now time.Duration, work *pendingWork) bool {
	tally := c.tallyReplies(now, work)
	conflicting := tally.conflicting
	mayWait := now-work.requestedAt < work.timeout/partialDecisionDivisor
	switch {
	case conflicting != nil && conflicting.Answer != nil && conflicting.Answer.Kind == AnswerServed:
		c.applyDecision(now, work, *conflicting, true) // further replies can't change it
	case tally.missing && mayWait:
		return false
	case conflicting != nil && tally.first.Kind == ReplyAdopt:
		c.applyDecision(now, work, *tally.first, tally.complete)
	case conflicting != nil: // if replicas disagree, the one that knows of another attempt is right
		c.applyDecision(now, work, *conflicting, tally.complete)
	case tally.first != nil:
		c.applyDecision(now, work, *tally.first, tally.complete)
	case !tally.missing && work.primaryConsents(c.self.Name):
		c.applyDecision(now, work, Reply{Kind: ReplyGranted, Epoch: work.epoch}, tally.complete)
	default:
		return false
	}
	return true
}

// applyDecision applies the replicas' decision on work. complete says whether
// all of them have replied.
func (c *Coordinator) applyDecision(now time.Duration, work *pendingWork, reply Reply, complete bool) {
	work.settle()
	switch reply.Kind {
	case ReplyGranted:
		if work.adopted {
			c.adopt(work, complete)
			return
		}
		c.applyGrant(work, reply.Epoch, complete)
	case ReplyFull:
		switch {
		case work.adopted:
			c.adopt(work, complete)
		case work.relocation > 0 && work.covered: // another replica may have recorded it in another scope
			c.abort(work)
		default:
			c.sendUncovered(work)
		}
	case ReplyOtherAttempt, ReplyTakenOver:
		c.withdrawIntent(now, work)
		c.joinOther(work, &reply)
	case ReplyAdopt:
		c.applyAdoption(now, work, &reply, complete)
	case ReplyStaleClock, ReplyNone: // not decisions: a resend is needed, or the reply is to a query
	}
}

// applyGrant permits sending an attempt whose intent was granted. A change of
// scope needs the consent of all replicas, because one of them might still have
// the work recorded in its earlier scope. A change from ScopeNone needs only the
// primary's.
func (c *Coordinator) applyGrant(work *pendingWork, epoch uint64, complete bool) {
	if work.relocation > 0 && !complete && !c.primarySuffices(work) {
		c.abort(work)
		return
	}
	if work.previousOwner != "" && c.joinIfYielded(work) {
		return
	}
	if work.scope == ScopeNone {
		work.unsentEverywhere = complete
	} else if work.startedAt == 0 {
		c.store.moveOwnRecord(work, c.now)
	}
	covered := complete
	if work.leavingScopeNone {
		covered = work.unsentEverywhere
	}
	work.epoch = max(work.epoch, epoch)
	work.covered = true
	if covered {
		c.counts.Covered++
	} else { // a replica that may know of another attempt has not replied
		c.counts.PartlyCovered++
	}
	c.emit(Action{
		Kind:       ActionSend,
		Attempt:    work.attempt,
		Relocation: work.relocation,
		Covered:    covered,
	})
}

// joinIfYielded joins the other successor if two instances have taken the same
// work over and the local record was assigned to the other one. It reports
// whether it joined.
func (c *Coordinator) joinIfYielded(work *pendingWork) bool {
	if !c.store.ownedByOther(work) {
		return false
	}
	reply := c.store.handleIntent(c.now, c.self.Name, c.store.incarnation, c.intentFor(c.now, work, c.self.Name))
	c.collectFromStore()
	if !reply.namesOther() {
		return false
	}
	c.withdrawIntent(c.now, work)
	c.joinOther(work, &reply)
	return true
}

// primarySuffices reports whether the current intent needs only the primary's
// consent, and the primary has recorded it.
func (c *Coordinator) primarySuffices(work *pendingWork) bool {
	return work.leavingScopeNone && work.primaryRecorded(c.self.Name)
}

// sendUncovered permits sending an attempt that no replica has recorded.
func (c *Coordinator) sendUncovered(work *pendingWork) {
	c.counts.Uncovered++
	c.emit(Action{Kind: ActionSend, Attempt: work.attempt, Relocation: work.relocation})
}

// decideAlone permits sending an attempt for whose key no other instance is a
// replica.
func (c *Coordinator) decideAlone(work *pendingWork) {
	work.settle()
	if work.adopted {
		c.adopt(work, false)
		return
	}
	c.counts.NoReplica++
	c.emit(Action{Kind: ActionSend, Attempt: work.attempt, Relocation: work.relocation})
}

// decideWithoutReplicas ends the wait for consent after its timeout.
func (c *Coordinator) decideWithoutReplicas(work *pendingWork) {
	work.settle()
	switch {
	case work.adopted:
		c.adopt(work, false)
	case work.relocation > 0 && work.covered:
		c.abort(work)
	default:
		c.sendUncovered(work)
	}
}

// withdrawIntent reports that the attempt never ran to all recipients that have
// granted the intent or may still do so. Another attempt or owner decides the
// outcome.
func (c *Coordinator) withdrawIntent(now time.Duration, work *pendingWork) {
	neverRan := Answer{Kind: AnswerNeverRan}
	c.store.handleCompletion(now, c.self.Name, &Completion{work.Key, work.attempt, work.localEpoch, neverRan})
	for _, recipient := range work.recipients {
		epoch := work.epoch
		if reply := work.replies[recipient]; reply != nil {
			if reply.Kind != ReplyGranted {
				continue
			}
			epoch = reply.Epoch
		}
		c.send(recipient, Message{Completion: &Completion{work.Key, work.attempt, epoch, neverRan}})
	}
}

// joinOther leaves the outcome to another attempt or owner. The reply may already
// carry the answer.
func (c *Coordinator) joinOther(work *pendingWork, reply *Reply) {
	if reply.Kind == ReplyTakenOver {
		c.counts.TakenOver++
	}
	work.join()
	if reply.Answer != nil {
		c.useJoinedAnswer(work, *reply.Answer)
		return
	}
	c.counts.Joined++
	c.emit(Action{Kind: ActionJoin, Attempt: work.attempt})
}

// useJoinedAnswer ends an attempt with the answer of the attempt that it joined.
// If the joined attempt never ran, the attempt restarts, at the earliest
// minRestartInterval after its request.
func (c *Coordinator) useJoinedAnswer(work *pendingWork, answer Answer) {
	if answer.Kind == AnswerNeverRan {
		work.restartAt = work.requestedAt + minRestartInterval
		c.restartIfDue(c.now, work)
		return
	}
	delete(c.pending, work.attempt)
	c.counts.Answered++
	c.emit(Action{Kind: ActionUseAnswer, Attempt: work.attempt, Answer: answer})
}

// restartIfDue restarts an attempt whose joined attempt never ran once restartAt
// is reached.
func (c *Coordinator) restartIfDue(now time.Duration, work *pendingWork) {
	if work.restartAt > 0 && now >= work.restartAt {
		delete(c.pending, work.attempt)
		c.emit(Action{Kind: ActionRestart, Attempt: work.attempt})
	}
}

// applyAdoption makes work continue another attempt in that attempt's scope. If
// it was requested for another scope, the replicas must record the change first.
func (c *Coordinator) applyAdoption(now time.Duration, work *pendingWork, reply *Reply, complete bool) {
	sameScope := work.scope == reply.Scope
	work.adopted = true
	work.epoch = reply.Epoch
	work.scope = reply.Scope
	work.startedAt = max(1, now-reply.Age)
	if sameScope {
		c.adopt(work, complete)
		return
	}
	work.relocation++
	c.store.moveOwnRecord(work, work.startedAt)
	c.awaitConsent(now, work, work.consentTimeout(now))
}

// adopt permits work to continue another attempt in that attempt's scope.
func (c *Coordinator) adopt(work *pendingWork, covered bool) {
	c.counts.Adopted++
	work.covered = true
	c.emit(Action{
		Kind:      ActionAdopt,
		Attempt:   work.attempt,
		Scope:     work.scope,
		StartedAt: work.startedAt,
		Covered:   covered,
	})
}

// abort stops an attempt that may not be sent to another scope, because some
// replica has not recorded that the previous attempt never ran.
func (c *Coordinator) abort(work *pendingWork) {
	c.counts.Aborted++
	c.emit(Action{Kind: ActionAbort, Attempt: work.attempt})
}
