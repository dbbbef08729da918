package takeover

import (
	"maps"
	"slices"
	"time"
)

// Limits and times of a replica store.
const (
	maxRecords     = 4096
	maxRecordBytes = 4 << 20 // of all records
	maxAnswerBytes = 8 << 10 // of a stored answer; of larger answers only the kind is stored
	maxWaiters     = 8       // attempts that wait for one record's answer
	// recordOverheadBytes is the memory of a record besides its key, command and answer.
	recordOverheadBytes = 400
	// maxClockAge is the maximum age of an intent's clock reading; an older intent
	// must be sent again.
	maxClockAge = time.Second
	// answerRetention is the minimum time for which a completed record is stored.
	answerRetention = 10 * time.Second
	// reliedWindowFraction is the fraction of an idempotency window within
	// which an attempt may be repeated.
	reliedWindowFraction = 0.9
)

// recordState is the state of a record.
type recordState uint8

const (
	// recordOpen: the owner has not reported the outcome.
	recordOpen recordState = iota
	// recordOrphaned: the owner is believed to have ended, and this replica knows
	// of no successor.
	recordOrphaned
	// recordCompleted: the record has an answer.
	recordCompleted
)

// String returns the state's name.
func (s recordState) String() string {
	switch s {
	case recordOpen:
		return "open"
	case recordOrphaned:
		return "orphaned"
	case recordCompleted:
		return "completed"
	}
	return "unknown"
}

// record is a replica's knowledge of one piece of work.
type record struct {
	Work
	state recordState
	// owner and incarnation identify the instance that may send attempts.
	owner       string
	incarnation uint64
	attempt     uint64
	// epoch increases with each change of owner.
	epoch      uint64
	relocation int
	scope      Scope
	// startedAt is the earliest time at which the first attempt can have been sent.
	startedAt time.Duration
	// deadline is when the client gives up.
	deadline time.Duration
	// replicas are the key's replicas in the owner's view, the primary first.
	replicas []string
	// completedAt and answer are set in recordCompleted.
	completedAt time.Duration
	answer      Answer
	// waiters are the attempts to notify of the answer.
	waiters []waiter
	// size is the record's part of ReplicaStore.bytes.
	size int
}

// waiter is an attempt that waits at an instance for a record's answer.
type waiter struct {
	instance string
	attempt  uint64
}

// reliableUntil returns until when a repeated attempt may rely on the scope's
// idempotency window.
func (r *record) reliableUntil() time.Duration {
	window := time.Duration(reliedWindowFraction * float64(r.IdempotencyWindow))
	return r.startedAt + window
}

// primary returns the key's primary in the owner's view, "" if it is unknown.
func (r *record) primary() string {
	if len(r.replicas) == 0 {
		return ""
	}
	return r.replicas[0]
}

// orphan marks the record as having lost its owner. A completed record needs none.
func (r *record) orphan() {
	if r.state == recordOpen {
		r.state = recordOrphaned
	}
}

// restoreOwner reverts orphan after the owner has refuted that it had ended.
func (r *record) restoreOwner() {
	if r.state == recordOrphaned {
		r.state = recordOpen
	}
}

// assign makes an incarnation of an instance the owner. It is allowed only if the
// previous owner has ended or failed, or can't send an attempt without this
// replica's consent.
func (r *record) assign(owner string, incarnation uint64) {
	r.owner = owner
	r.incarnation = incarnation
	r.state = recordOpen
}

// relocate moves the record to the scope of an intent. No attempt in the previous
// scope has run. sentAt is the earliest time at which the intent can have been
// sent.
func (r *record) relocate(intent *Intent, sentAt time.Duration) {
	r.relocation = intent.Relocation
	r.scope = intent.Scope
	r.startedAt = sentAt - intent.Age
}

// ReplicaStore holds the records that this instance stores as a replica. It is
// not safe for concurrent use.
type ReplicaStore struct {
	self        string
	incarnation uint64
	records     map[string]*record // by key
	// endedIncarnations is the last incarnation that is believed to have ended,
	// by member. The entry is removed when the member refutes that.
	endedIncarnations map[string]uint64
	bytes             int
	outbox            []Envelope
	takenWork         []TakenWork
	counts            ReplicaCounts
}

// ReplicaCounts counts the decisions of a replica store.
type ReplicaCounts struct {
	Granted       int `json:"Granted"`
	StaleClocks   int `json:"Again"`   // stale clock readings
	Joined        int `json:"Joined"`  // attempts that wait for another
	Adopted       int `json:"Bound"`   // attempts that continue another
	RefusedOwners int `json:"Refused"` // intents of owners whose work was taken over
	Full          int `json:"Full"`    // intents refused for lack of capacity
	TookOver      int `json:"Taken"`   // records taken over by this instance
	Failed        int `json:"Failed"`  // orphaned records that could not be taken over
	Unreported    int `json:"Late"`    // records whose owners did not report an outcome in time
	// RefusedEndedSenders counts refused intents of instances that were believed to have
	// ended, for keys that another instance owns.
	RefusedEndedSenders int `json:"TurnedAway"`
}

// newReplicaStore returns an empty store for an incarnation of self.
func newReplicaStore(self string, incarnation uint64) *ReplicaStore {
	return &ReplicaStore{
		self:              self,
		incarnation:       incarnation,
		records:           map[string]*record{},
		endedIncarnations: map[string]uint64{},
	}
}

// send queues a message for the Coordinator.
func (r *ReplicaStore) send(to string, m Message) {
	r.outbox = append(r.outbox, Envelope{To: to, Message: m})
}

// handleCompletion records the outcome of an attempt. The first answer is final,
// except that AnswerServed replaces AnswerFailed.
func (r *ReplicaStore) handleCompletion(now time.Duration, from string, completion *Completion) {
	rec := r.records[completion.Key]
	if rec == nil {
		return
	}
	served := completion.Answer.Kind == AnswerServed
	if rec.state == recordCompleted && (rec.answer.Kind != AnswerFailed || !served) {
		return
	}
	isOwner := rec.owner == from && rec.attempt == completion.Attempt && rec.epoch <= max(1, completion.Epoch)
	if !served && !isOwner { // a served answer counts from any attempt: it ran in the record's scope
		return
	}
	r.completeRecord(now, rec, completion.Answer)
}

// completeRecord stores a record's answer and notifies its waiters.
func (r *ReplicaStore) completeRecord(now time.Duration, rec *record, answer Answer) {
	if len(answer.Value) > maxAnswerBytes || r.bytes+len(answer.Value) > maxRecordBytes {
		answer.truncate()
	}
	growth := len(answer.Value) - len(rec.answer.Value)
	r.bytes += growth
	rec.size += growth
	rec.state = recordCompleted
	rec.completedAt = now
	rec.answer = answer
	for _, w := range rec.waiters {
		r.send(w.instance, Message{Notification: &Notification{rec.Key, w.attempt, answer}})
	}
	rec.waiters = nil
}

func (r *ReplicaStore) removeRecord(rec *record) {
	r.bytes -= rec.size
	delete(r.records, rec.Key)
}

// moveOwnRecord updates the scope of the record of this instance's own work, if
// it has one. startedAt is the earliest time at which the first attempt in that
// scope can have been sent.
func (r *ReplicaStore) moveOwnRecord(work *pendingWork, startedAt time.Duration) {
	rec := r.records[work.Key]
	if rec == nil || rec.owner != r.self || rec.attempt != work.attempt {
		return
	}
	rec.scope = work.scope
	rec.startedAt = startedAt
	rec.relocation = work.relocation
	rec.epoch = max(rec.epoch, work.epoch)
}

// ownedByOther reports whether the record of an attempt that this instance has
// taken over is owned by another instance.
func (r *ReplicaStore) ownedByOther(work *pendingWork) bool {
	rec := r.records[work.Key]
	return rec != nil && rec.attempt == work.attempt && rec.owner != r.self
}

// expireRecords fails the records whose owners did not report an outcome in time,
// and removes completed records that no attempt can use any more.
func (r *ReplicaStore) expireRecords(now time.Duration) {
	for _, key := range slices.Sorted(maps.Keys(r.records)) {
		rec := r.records[key]
		if rec.state != recordCompleted {
			if now > rec.deadline+completionGrace {
				r.counts.Unreported++
				r.completeRecord(now, rec, Answer{Kind: AnswerFailed})
			}
			continue
		}
		if now > max(rec.completedAt+answerRetention, rec.startedAt+rec.IdempotencyWindow) {
			r.removeRecord(rec)
		}
	}
}
