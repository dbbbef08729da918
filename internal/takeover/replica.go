package takeover

import (
	"maps"
	"slices"
	"time"
)

// record is what a keeper knows of a piece of work.
type record struct {
	Work
	owner       string
	incarnation uint64
	attempt     uint64
	epoch       uint64
	relocation  int
	scope       Scope
	startedAt   time.Duration // its first attempt went out no earlier
	deadline    time.Duration // its client waits no longer
	replicas    []string      // of its keepers, as its owner saw them
	ended       bool
	completedAt time.Duration
	answer      Answer
	waiters     []waiter
	size        int
	orphaned    bool // its owner has gone
}

type waiter struct {
	instance string
	attempt  uint64
}

// memory is when its rack may have begun to forget it.
func (r *record) reliableUntil() time.Duration {
	return r.startedAt + time.Duration(reliedWindowFraction*float64(r.IdempotencyWindow))
}

// Take is a piece of work that this instance is to finish, in its place.
type TakenWork struct {
	Work
	Attempt    uint64
	Epoch      uint64
	Relocation int // of its changes of place
	Scope      Scope
	StartedAt  time.Duration // its first attempt, at the earliest
	Deadline   time.Duration
	Owner      string // whose it was
}

// Keeper holds records for others. It is used by one goroutine at a time.
type ReplicaStore struct {
	self              string
	incarnation       uint64
	records           map[string]*record
	endedIncarnations map[string]uint64 // the last life that has ended, by name
	bytes             int
	outbox            []Envelope
	takenWork         []TakenWork
	counts            ReplicaCounts
}

// KeeperCounts is what a keeper has done.
type ReplicaCounts struct {
	Granted int `json:"Granted"`
	Again   int `json:"Again"`
	Joined  int `json:"Joined"`
	Bound   int `json:"Bound"`
	Refused int `json:"Refused"`
	Full    int `json:"Full"`
	Taken   int `json:"Taken"`
	Failed  int `json:"Failed"`
	Late    int `json:"Late"`
}

func newReplicaStore(self string, life uint64) *ReplicaStore {
	return &ReplicaStore{self: self, incarnation: life, records: map[string]*record{}, endedIncarnations: map[string]uint64{}}
}

func (k *ReplicaStore) send(to string, m Message) { k.outbox = append(k.outbox, Envelope{to, m}) }

// intent decides on an intent of a member's life.
func (k *ReplicaStore) handleIntent(now time.Duration, from string, life uint64, in *Intent) Reply {
	re := Reply{Key: in.Key, Attempt: in.Attempt, Relocation: in.Relocation, Clock: now}
	if in.QueryOnly {
		k.answerQuery(from, in, &re)
		return re
	}
	if ended, was := k.endedIncarnations[from]; was && life <= ended && from != k.self {
		// It may be alive after all: then it hears that its work was taken over, or may go on where nobody took it.
		if r := k.records[in.Key]; r != nil && r.owner != from {
			re.Kind = ReplyTakenOver
			return re
		}
	}
	if from != k.self && (now-in.Clock > maxClockAge || in.Clock > now) {
		k.counts.Again++
		re.Kind = ReplyStaleClock
		return re
	}
	sent := in.Clock // no earlier
	if from == k.self {
		sent = now
	}
	r := k.records[in.Key]
	if r != nil && r.ended && r.answer.Kind == AnswerNeverRan {
		k.removeRecord(r)
		r = nil
	}
	switch {
	case r == nil:
		size := recordOverheadBytes + len(in.Key)
		for _, w := range in.Command {
			size += len(w)
		}
		if len(k.records) >= maxRecords || k.bytes+size > maxRecordBytes {
			k.counts.Full++
			re.Kind = ReplyFull
			return re
		}
		r = &record{Work: in.Work, owner: from, incarnation: life, attempt: in.Attempt, epoch: max(1, in.Epoch), relocation: in.Relocation, scope: in.Scope, startedAt: sent - in.Age, deadline: sent + in.Remaining, replicas: in.Replicas, size: size}
		k.records[in.Key] = r
		k.bytes += size
		k.counts.Granted++
		re.Kind, re.Epoch = ReplyGranted, r.epoch
	case r.attempt == in.Attempt && r.owner == from:
		switch {
		case r.ended:
			re.Kind, re.Answer = ReplyOtherAttempt, &r.answer
		case r.epoch > max(1, in.Epoch):
			re.Kind = ReplyTakenOver
		default:
			if in.Relocation > r.relocation { // the attempt before surely never ran
				r.relocation, r.scope, r.startedAt = in.Relocation, in.Scope, sent-in.Age
			}
			r.incarnation = max(r.incarnation, life)
			re.Kind, re.Epoch = ReplyGranted, r.epoch
		}
	case r.attempt == in.Attempt && r.scope == ScopeNone && !r.ended && in.Epoch > r.epoch: // another of its keepers takes it over, before anything went out
		r.owner, r.incarnation, r.epoch, r.orphaned = from, life, in.Epoch, false
		r.relocation, r.scope, r.startedAt = in.Relocation, in.Scope, sent-in.Age
		k.counts.Granted++
		re.Kind, re.Epoch = ReplyGranted, r.epoch
	case r.attempt == in.Attempt: // its own, and taken over
		k.counts.Refused++
		re.Kind, re.Primary = ReplyTakenOver, first(r.replicas)
		k.addWaiter(r, from, in.Attempt)
		if r.ended {
			re.Kind, re.Answer = ReplyOtherAttempt, &r.answer
		}
	default:
		k.handleOtherAttempt(now, from, life, in, r, &re)
	}
	return re
}

// asked says whether another try of a key has an answer or will have one, and then lets who asks wait for it. It changes nothing else.
func (k *ReplicaStore) answerQuery(from string, in *Intent, re *Reply) {
	r := k.records[in.Key]
	re.Kind = ReplyNone
	switch {
	case r == nil || r.attempt == in.Attempt:
	case !r.ended:
		if k.addWaiter(r, from, in.Attempt) {
			k.counts.Joined++
			re.Kind, re.Primary = ReplyOtherAttempt, first(r.replicas)
		}
	case r.answer.Kind == AnswerServed && !r.answer.Truncated:
		k.counts.Joined++
		re.Kind, re.Answer = ReplyOtherAttempt, &r.answer
	}
}

// another decides on a further try of a key, wherever it came in.
func (k *ReplicaStore) handleOtherAttempt(now time.Duration, from string, life uint64, in *Intent, r *record, re *Reply) {
	switch {
	case r.ended && r.answer.Kind == AnswerServed && !r.answer.Truncated:
		k.counts.Joined++
		re.Kind, re.Answer = ReplyOtherAttempt, &r.answer
	case !r.ended && !r.orphaned:
		k.counts.Joined++
		re.Kind, re.Primary = ReplyOtherAttempt, first(r.replicas)
		k.addWaiter(r, from, in.Attempt)
	case r.scope == ScopeNone && !r.ended: // its owner has gone, and nothing of it went out
		k.counts.Granted++
		r.owner, r.incarnation, r.attempt, r.orphaned, r.relocation = from, life, in.Attempt, false, in.Relocation
		r.scope, r.startedAt, r.replicas = in.Scope, now-in.Age, in.Replicas
		r.epoch++
		r.deadline = max(r.deadline, now+in.Remaining)
		re.Kind, re.Epoch = ReplyGranted, r.epoch
	case now < r.reliableUntil() && r.scope != ScopeNone: // its owner has gone, or has failed: this one may go on with it
		k.counts.Bound++
		r.owner, r.incarnation, r.attempt, r.ended, r.orphaned = from, life, in.Attempt, false, false
		r.epoch++
		r.deadline = max(r.deadline, now+in.Remaining)
		re.Kind, re.Epoch, re.Scope, re.Age = ReplyAdopt, r.epoch, r.scope, now-r.startedAt
	default: // it may have run, and nobody can tell any more
		k.counts.Joined++
		re.Kind, re.Answer = ReplyOtherAttempt, &Answer{Kind: AnswerFailed}
	}
}

func first(names []string) string {
	if len(names) == 0 {
		return ""
	}
	return names[0]
}

// wait lets a try wait for a record's answer, and returns whether it does.
func (k *ReplicaStore) addWaiter(r *record, name string, try uint64) bool {
	w := waiter{name, try}
	switch {
	case r.ended:
		return false
	case slices.Contains(r.waiters, w):
		return true
	case len(r.waiters) >= maxWaiters:
		return false
	}
	r.waiters = append(r.waiters, w)
	return true
}

// end takes over how a try ended. What is kept first stays, unless it was a failure and somebody was served after all.
func (k *ReplicaStore) handleCompletion(now time.Duration, from string, e *Completion) {
	r := k.records[e.Key]
	switch {
	case r == nil, r.ended && !(r.answer.Kind == AnswerFailed && e.Answer.Kind == AnswerServed):
		return
	case e.Answer.Kind == AnswerServed: // whoever it was: it was in the record's rack
	case r.owner != from || r.attempt != e.Attempt || r.epoch > max(1, e.Epoch):
		return
	}
	k.completeRecord(now, r, e.Answer)
}

func (k *ReplicaStore) completeRecord(now time.Duration, r *record, a Answer) {
	if len(a.Value) > maxAnswerBytes || k.bytes+len(a.Value) > maxRecordBytes {
		a.Value, a.Truncated = nil, true
	}
	k.bytes += len(a.Value) - len(r.answer.Value)
	r.size += len(a.Value) - len(r.answer.Value)
	r.ended, r.completedAt, r.answer = true, now, a
	for _, w := range r.waiters {
		k.send(w.instance, Message{Notification: &Notification{r.Key, w.attempt, a}})
	}
	r.waiters = nil
}

func (k *ReplicaStore) removeRecord(r *record) {
	k.bytes -= r.size
	delete(k.records, r.Key)
}

// bind moves a try's own record to the place that it is bound to.
func (k *ReplicaStore) adoptScope(h *pendingWork) {
	if r := k.records[h.Key]; r != nil && r.owner == k.self && r.attempt == h.attempt {
		r.scope, r.startedAt, r.relocation = h.scope, h.startedAt, h.relocation
		r.epoch = max(r.epoch, h.epoch)
	}
}

// left takes note that a member's life has ended, as far as anybody can tell, and takes over what it had in hand where this instance
// decides. Nothing rests on its being true: a taker acts where the owner's attempts have no further effect.
func (k *ReplicaStore) memberLeft(now time.Duration, name string, life uint64) {
	k.endedIncarnations[name] = max(k.endedIncarnations[name], life)
	for _, key := range slices.Sorted(maps.Keys(k.records)) {
		r := k.records[key]
		if r.owner == name && r.incarnation <= life {
			r.orphaned = true
		}
		k.takeOverOrphan(now, r)
	}
}

// adopt takes over a record whose owner has gone, where this instance is the one to do so.
func (k *ReplicaStore) takeOverOrphan(now time.Duration, r *record) {
	if r.ended || !r.orphaned || k.successor(r) != k.self {
		return
	}
	if r.scope != ScopeNone && now >= r.reliableUntil() || now >= r.deadline {
		k.counts.Failed++
		k.completeRecord(now, r, Answer{Kind: AnswerFailed})
		return
	}
	from := r.owner
	r.owner, r.incarnation, r.orphaned = k.self, k.incarnation, false
	r.epoch++
	k.counts.Taken++
	k.takenWork = append(k.takenWork, TakenWork{Work: r.Work, Attempt: r.attempt, Epoch: r.epoch, Relocation: r.relocation, Scope: r.scope, StartedAt: r.startedAt, Deadline: r.deadline, Owner: from})
}

// heir is the first of a record's keepers that is neither its owner nor gone.
func (k *ReplicaStore) successor(r *record) string {
	for _, name := range r.replicas {
		if _, gone := k.endedIncarnations[name]; name != r.owner && (name == k.self || !gone) {
			return name
		}
	}
	return ""
}

// back takes note that a member is there after all, or again.
func (k *ReplicaStore) memberReturned(name string, life uint64) {
	if life > k.endedIncarnations[name] {
		delete(k.endedIncarnations, name)
	}
}

// sweep ends what is past its time, and forgets what nobody asks for any more.
func (k *ReplicaStore) expireRecords(now time.Duration) {
	for _, key := range slices.Sorted(maps.Keys(k.records)) {
		r := k.records[key]
		switch {
		case !r.ended && now > r.deadline+completionGrace: // its owner has not told: it may have run
			k.counts.Late++
			k.completeRecord(now, r, Answer{Kind: AnswerFailed})
		case r.ended && now > max(r.completedAt+answerRetention, r.startedAt+r.IdempotencyWindow):
			k.removeRecord(r)
		}
	}
}
