package takeover

import (
	"slices"
	"time"
)

// handleIntent decides on an intent from an incarnation of a member.
func (r *ReplicaStore) handleIntent(now time.Duration, from string, incarnation uint64, intent *Intent) Reply {
	reply := Reply{Key: intent.Key, Attempt: intent.Attempt, Relocation: intent.Relocation, Clock: now}
	if intent.QueryOnly {
		r.answerQuery(from, intent, &reply)
		return reply
	}
	rec := r.records[intent.Key]
	if rec != nil && rec.state == recordCompleted && rec.answer.Kind == AnswerNeverRan {
		r.removeRecord(rec)
		rec = nil
	}
	if r.incarnationEnded(from, incarnation) && rec != nil && rec.owner != from {
		r.refuseEndedSender(from, intent, rec, &reply)
		return reply
	}
	sentAt := now
	if from != r.self {
		if now-intent.Clock > maxClockAge || intent.Clock > now {
			r.counts.StaleClocks++
			reply.Kind = ReplyStaleClock
			return reply
		}
		sentAt = intent.Clock // the intent was sent at this time or later
	}
	switch {
	case rec == nil:
		r.createRecord(from, incarnation, intent, sentAt, &reply)
	case rec.attempt != intent.Attempt:
		r.handleOtherAttempt(now, from, incarnation, intent, rec, &reply)
	case rec.owner == from:
		rec.handleOwnerIntent(incarnation, intent, sentAt, &reply)
	case rec.yieldsTo(from, intent): // another replica takes the work over before an attempt was sent
		rec.assign(from, incarnation)
		rec.epoch = intent.Epoch
		rec.relocate(intent, sentAt)
		r.counts.Granted++
		reply.Kind, reply.Epoch = ReplyGranted, rec.epoch
	default:
		r.refuseFormerOwner(from, intent, rec, &reply)
	}
	return reply
}

// yieldsTo reports whether a successor that takes the record's work over becomes
// its owner. No attempt may have been sent. The intent's epoch must be later, or
// equal if the present owner is a successor too and the sender outranks it.
func (r *record) yieldsTo(from string, intent *Intent) bool {
	if r.scope != ScopeNone || r.state == recordCompleted {
		return false
	}
	if intent.Epoch == r.epoch {
		return r.epoch > 1 && outranks(r.Key, from, r.owner)
	}
	return intent.Epoch > r.epoch
}

// incarnationEnded reports whether an incarnation of another member is believed
// to have ended.
func (r *ReplicaStore) incarnationEnded(name string, incarnation uint64) bool {
	ended, known := r.endedIncarnations[name]
	return known && incarnation <= ended && name != r.self
}

// createRecord records the first intent of a key, if there is capacity.
func (r *ReplicaStore) createRecord(
	from string, incarnation uint64, intent *Intent, sentAt time.Duration, reply *Reply,
) {
	size := recordOverheadBytes + len(intent.Key)
	for _, argument := range intent.Command {
		size += len(argument)
	}
	if len(r.records) >= maxRecords || r.bytes+size > maxRecordBytes {
		r.counts.Full++
		reply.Kind = ReplyFull
		return
	}
	rec := &record{
		Work:        intent.Work,
		owner:       from,
		incarnation: incarnation,
		attempt:     intent.Attempt,
		epoch:       max(1, intent.Epoch),
		relocation:  intent.Relocation,
		scope:       intent.Scope,
		startedAt:   sentAt - intent.Age,
		deadline:    sentAt + intent.Remaining,
		replicas:    intent.Replicas,
		size:        size,
	}
	r.records[intent.Key] = rec
	r.bytes += size
	r.counts.Granted++
	reply.Kind, reply.Epoch = ReplyGranted, rec.epoch
}

// handleOwnerIntent decides on a further intent of the record's owner.
func (r *record) handleOwnerIntent(incarnation uint64, intent *Intent, sentAt time.Duration, reply *Reply) {
	switch {
	case r.state == recordCompleted:
		reply.Kind, reply.Answer = ReplyOtherAttempt, &r.answer
	case r.epoch > max(1, intent.Epoch):
		reply.Kind = ReplyTakenOver
	default:
		if intent.Relocation > r.relocation { // the owner knows that the previous attempt never ran
			r.relocate(intent, sentAt)
		}
		r.incarnation = max(r.incarnation, incarnation)
		reply.Kind, reply.Epoch = ReplyGranted, r.epoch
	}
}

// refuseEndedSender refuses an intent of an incarnation that is believed to have
// ended, for a key that another instance owns. The sender doesn't become the
// owner, since no successor would take the record over from it again. It gets the
// answer, because it may be alive after all.
func (r *ReplicaStore) refuseEndedSender(from string, intent *Intent, rec *record, reply *Reply) {
	r.counts.RefusedEndedSenders++
	r.leaveToOwner(from, intent, rec, reply)
}

// refuseFormerOwner refuses an intent of an instance whose attempt was taken over.
// The instance is notified of the answer.
func (r *ReplicaStore) refuseFormerOwner(from string, intent *Intent, rec *record, reply *Reply) {
	r.counts.RefusedOwners++
	r.leaveToOwner(from, intent, rec, reply)
}

// leaveToOwner replies that the record's owner decides the outcome. If the answer
// isn't known yet, the sender is notified of it later.
func (r *ReplicaStore) leaveToOwner(from string, intent *Intent, rec *record, reply *Reply) {
	reply.Kind, reply.Primary = ReplyTakenOver, rec.primary()
	reply.Owner, reply.Epoch = rec.owner, rec.epoch
	r.addWaiter(rec, from, intent.Attempt)
	if rec.state == recordCompleted {
		reply.Kind, reply.Answer = ReplyOtherAttempt, &rec.answer
	}
}

// handleOtherAttempt decides on an intent for another attempt of a recorded key,
// from any instance.
func (r *ReplicaStore) handleOtherAttempt(
	now time.Duration, from string, incarnation uint64, intent *Intent, rec *record, reply *Reply,
) {
	switch {
	case rec.state == recordCompleted && rec.answer.reusable():
		r.counts.Joined++
		reply.Kind, reply.Answer = ReplyOtherAttempt, &rec.answer
	case rec.state == recordOpen:
		r.counts.Joined++
		reply.Kind, reply.Primary = ReplyOtherAttempt, rec.primary()
		r.addWaiter(rec, from, intent.Attempt)
	case rec.scope == ScopeNone && rec.state == recordOrphaned: // no attempt was sent
		r.counts.Granted++
		rec.continueBy(now, from, incarnation, intent)
		rec.relocate(intent, now)
		rec.replicas = intent.Replicas
		reply.Kind, reply.Epoch = ReplyGranted, rec.epoch
	case rec.scope != ScopeNone && now < rec.reliableUntil():
		// The record is orphaned or has no reusable answer, and a repeat in its scope has no effect.
		r.counts.Adopted++
		rec.continueBy(now, from, incarnation, intent)
		reply.Kind, reply.Epoch = ReplyAdopt, rec.epoch
		reply.Scope, reply.Age = rec.scope, now-rec.startedAt
	default: // it may have run, which can't be determined after the idempotency window
		r.counts.Joined++
		reply.Kind, reply.Answer = ReplyOtherAttempt, &Answer{Kind: AnswerFailed}
	}
}

// continueBy makes the sender of another attempt the owner.
func (r *record) continueBy(now time.Duration, from string, incarnation uint64, intent *Intent) {
	r.assign(from, incarnation)
	r.attempt = intent.Attempt
	r.epoch++
	r.deadline = max(r.deadline, now+intent.Remaining)
}

// answerQuery replies whether another attempt of a key has an answer or will have
// one, and registers the sender as a waiter for it. It changes nothing else.
func (r *ReplicaStore) answerQuery(from string, intent *Intent, reply *Reply) {
	rec := r.records[intent.Key]
	reply.Kind = ReplyNone
	switch {
	case rec == nil || rec.attempt == intent.Attempt:
	case rec.state != recordCompleted:
		if r.addWaiter(rec, from, intent.Attempt) {
			r.counts.Joined++
			reply.Kind, reply.Primary = ReplyOtherAttempt, rec.primary()
		}
	case rec.answer.reusable():
		r.counts.Joined++
		reply.Kind, reply.Answer = ReplyOtherAttempt, &rec.answer
	}
}

// addWaiter registers an attempt for the notification of a record's answer. It
// returns false if the record is completed or has maxWaiters waiters.
func (r *ReplicaStore) addWaiter(rec *record, instance string, attempt uint64) bool {
	w := waiter{instance, attempt}
	switch {
	case rec.state == recordCompleted:
		return false
	case slices.Contains(rec.waiters, w):
		return true
	case len(rec.waiters) >= maxWaiters:
		return false
	}
	rec.waiters = append(rec.waiters, w)
	return true
}
