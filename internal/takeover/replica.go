package takeover

import (
	"maps"
	"slices"
	"time"
)

// Bounds and times of a replica store.
const (
	maxRecords     = 4096
	maxRecordBytes = 4 << 20 // of all records
	maxAnswerBytes = 8 << 10 // of a stored answer; of a larger one only the kind is stored
	maxWaiters     = 8       // attempts that wait for one record's answer
	// recordOverheadBytes is what a record takes besides its key, command and answer.
	recordOverheadBytes = 400
	// maxClockAge is the age of an intent's clock reading beyond which it must
	// be sent again.
	maxClockAge = time.Second
	// answerRetention is how long a completed record is stored at least.
	answerRetention = 10 * time.Second
	// reliedWindowFraction is the fraction of an idempotency window within
	// which a repeat may be sent.
	reliedWindowFraction = 0.9
)

// recordState is the phase of a record.
type recordState uint8

const (
	// recordOpen: its owner is to report how it ends.
	recordOpen recordState = iota
	// recordOrphaned: its owner has ended, as far as is known, and no
	// successor has taken it over here.
	recordOrphaned
	// recordCompleted: it has an answer.
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

// record is what a replica knows of a piece of work.
type record struct {
	Work
	state recordState
	// owner and incarnation name the instance that may send attempts of it.
	owner       string
	incarnation uint64
	attempt     uint64
	// epoch grows with each change of owner.
	epoch      uint64
	relocation int
	scope      Scope
	// startedAt is the earliest time at which its first attempt went out.
	startedAt time.Duration
	// deadline is when its client gives up.
	deadline time.Duration
	// replicas are the key's replicas as its owner saw them, the primary first.
	replicas []string
	// completedAt and answer are set in recordCompleted.
	completedAt time.Duration
	answer      Answer
	// waiters are notified of the answer.
	waiters []waiter
	// size is what it counts towards the store's bytes.
	size int
}

// waiter is an attempt of an instance that waits for a record's answer.
type waiter struct {
	instance string
	attempt  uint64
}

// reliableUntil is when its scope may begin to forget its first attempt.
func (r *record) reliableUntil() time.Duration {
	window := time.Duration(reliedWindowFraction * float64(r.IdempotencyWindow))
	return r.startedAt + window
}

// primary returns the key's primary as the record's owner saw it.
func (r *record) primary() string {
	if len(r.replicas) == 0 {
		return ""
	}
	return r.replicas[0]
}

// orphan marks that its owner has ended. A completed record needs no owner.
func (r *record) orphan() {
	if r.state == recordOpen {
		r.state = recordOrphaned
	}
}

// restoreOwner marks that its owner has not ended after all.
func (r *record) restoreOwner() {
	if r.state == recordOrphaned {
		r.state = recordOpen
	}
}

// assign makes an incarnation of an instance the owner. It is legal if the
// owner before has ended, has failed, or can send nothing without this
// replica's consent.
func (r *record) assign(owner string, incarnation uint64) {
	r.owner = owner
	r.incarnation = incarnation
	r.state = recordOpen
}

// relocate records the scope that an intent names. Nothing that went out in
// the scope before has run. sentAt is the earliest time at which the intent
// was sent.
func (r *record) relocate(intent *Intent, sentAt time.Duration) {
	r.relocation = intent.Relocation
	r.scope = intent.Scope
	r.startedAt = sentAt - intent.Age
}

// ReplicaStore holds the records that this instance stores as a replica. It
// starts no goroutine and takes no lock: one goroutine at a time may use it.
type ReplicaStore struct {
	self        string
	incarnation uint64
	records     map[string]*record // by key
	// endedIncarnations is the last incarnation that is believed to have ended,
	// by member. A member that has refuted its death has none.
	endedIncarnations map[string]uint64
	bytes             int
	outbox            []Envelope
	takenWork         []TakenWork
	counts            ReplicaCounts
}

// ReplicaCounts counts what a replica store has decided.
type ReplicaCounts struct {
	Granted       int `json:"Granted"`
	StaleClocks   int `json:"Again"`   // stale clock readings
	Joined        int `json:"Joined"`  // attempts that were left to another
	Adopted       int `json:"Bound"`   // attempts that were to continue another
	RefusedOwners int `json:"Refused"` // owners whose work was taken over
	Full          int `json:"Full"`    // intents without capacity
	TookOver      int `json:"Taken"`   // records taken over by this instance
	Failed        int `json:"Failed"`  // orphaned records that could not be taken over
	Unreported    int `json:"Late"`    // records whose owners reported nothing in time
	// TurnedAway counts intents for other instances' keys, of instances that were believed to have ended.
	TurnedAway int `json:"TurnedAway"`
}

// newReplicaStore returns an empty store of an incarnation of self.
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

// handleCompletion takes in how an attempt ended. The first answer is final,
// unless it was a failure and the work was served after all.
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
	if !served && !isOwner { // whoever was served was so in the record's scope
		return
	}
	r.completeRecord(now, rec, completion.Answer)
}

// completeRecord stores a record's answer and notifies those who wait for it.
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

// removeRecord forgets a record.
func (r *ReplicaStore) removeRecord(rec *record) {
	r.bytes -= rec.size
	delete(r.records, rec.Key)
}

// moveOwnRecord moves this instance's own record, if it has one, to the scope of
// its work, whose first attempt was sent no earlier than startedAt.
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

// ownedByOther reports whether another instance owns the record of an attempt
// that this one has taken over.
func (r *ReplicaStore) ownedByOther(work *pendingWork) bool {
	rec := r.records[work.Key]
	return rec != nil && rec.attempt == work.attempt && rec.owner != r.self
}

// expireRecords fails the records whose owners reported nothing in time, and
// forgets completed ones that no attempt can use any more.
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
