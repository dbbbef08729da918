package takeover

import "time"

// replyTally sums up the replies to one intent.
type replyTally struct {
	// first is the first reply by the order of the remotes; nil: there is none.
	first *Reply
	// other is the first reply that is neither a grant nor a lack of capacity:
	// its replica knows of another attempt or owner. nil: there is none.
	other *Reply
	// missing says that a reply is still awaited, other than of a replica that
	// has departed and had its time.
	missing bool
	// complete says that all remotes have replied.
	complete bool
}

// tallyReplies sums up the replies to the current intent of work. If the
// primary consents, an attempt that has queried the same primary has lost there
// and doesn't count, unless work was taken over.
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
		if tally.other == nil && reply.Kind != ReplyGranted && reply.Kind != ReplyFull {
			tally.other = reply
		}
	}
	return tally
}

// decide applies the replicas' decision once all have replied, or the others
// have been silent for long enough. It reports whether it did.
func (c *Coordinator) decide(now time.Duration, work *pendingWork) bool {
	tally := c.tallyReplies(now, work)
	other := tally.other
	patient := now-work.requestedAt < work.timeout/partialDecisionDivisor
	switch {
	case other != nil && other.Answer != nil && other.Answer.Kind == AnswerServed:
		c.applyDecision(now, work, *other, true) // no further reply can change it
	case tally.missing && patient:
		return false
	case other != nil && tally.first.Kind == ReplyAdopt:
		c.applyDecision(now, work, *tally.first, tally.complete)
	case other != nil: // where views differ, the replica that knows of another attempt is right
		c.applyDecision(now, work, *other, tally.complete)
	case tally.first != nil:
		c.applyDecision(now, work, *tally.first, tally.complete)
	case !tally.missing && work.primaryConsents(c.self.Name):
		c.applyDecision(now, work, Reply{Kind: ReplyGranted, Epoch: work.epoch}, tally.complete)
	default:
		return false
	}
	return true
}

// applyDecision carries out what the replicas have decided on work. complete
// says that all have replied.
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
		case work.relocation > 0 && work.covered: // another replica may have it in another scope
			c.abort(work)
		default:
			c.sendUncovered(work)
		}
	case ReplyOtherAttempt, ReplyTakenOver:
		c.withdrawIntent(now, work)
		c.joinOther(work, &reply)
	case ReplyAdopt:
		c.applyAdoption(now, work, &reply, complete)
	case ReplyStaleClock, ReplyNone: // no decisions: one is sent again, the other answers a query
	}
}

// applyGrant lets an attempt go out whose intent was granted. A change of scope
// needs the consent of all replicas, one of which might still have the work in
// its earlier scope; from ScopeNone that of the primary is enough.
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
	} else { // a replica that might know of another attempt has not replied
		c.counts.PartlyCovered++
	}
	c.emit(Action{
		Kind:       ActionSend,
		Attempt:    work.attempt,
		Relocation: work.relocation,
		Covered:    covered,
	})
}

// joinIfYielded joins the instance that this one's record of work has yielded to,
// if any: it takes the work over too, and prevails. It reports whether it did.
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

// primarySuffices reports whether the primary's consent to the current intent
// is enough, and was given.
func (c *Coordinator) primarySuffices(work *pendingWork) bool {
	return work.leavingScopeNone && work.primaryRecorded(c.self.Name)
}

// sendUncovered lets an attempt go out that no replica has recorded.
func (c *Coordinator) sendUncovered(work *pendingWork) {
	c.counts.Uncovered++
	c.emit(Action{Kind: ActionSend, Attempt: work.attempt, Relocation: work.relocation})
}

// decideAlone lets an attempt go out whose key no other instance stores.
func (c *Coordinator) decideAlone(work *pendingWork) {
	work.settle()
	if work.adopted {
		c.adopt(work, false)
		return
	}
	c.counts.NoReplica++
	c.emit(Action{Kind: ActionSend, Attempt: work.attempt, Relocation: work.relocation})
}

// decideWithoutReplicas ends the wait for replicas that have not decided in
// time.
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

// withdrawIntent reports to the recipients that have granted the intent, or may
// still do so, that the attempt never ran: another attempt or owner decides.
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

// joinOther leaves the outcome to another attempt or owner, whose answer may
// be in the reply already.
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

// useJoinedAnswer ends an attempt that has joined another by that one's answer.
// If that one never ran it begins again, no sooner than minRestartInterval after
// its request.
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

// restartIfDue lets an attempt begin again whose joined attempt never ran, if it is
// time.
func (c *Coordinator) restartIfDue(now time.Duration, work *pendingWork) {
	if work.restartAt > 0 && now >= work.restartAt {
		delete(c.pending, work.attempt)
		c.emit(Action{Kind: ActionRestart, Attempt: work.attempt})
	}
}

// applyAdoption makes work continue another attempt. If that one's scope isn't
// the chosen one, the replicas must record the change first.
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

// adopt lets an attempt continue another in that one's scope.
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

// abort ends an attempt that may not go out to another scope: a replica has not
// heard that the attempt before never ran.
func (c *Coordinator) abort(work *pendingWork) {
	c.counts.Aborted++
	c.emit(Action{Kind: ActionAbort, Attempt: work.attempt})
}
