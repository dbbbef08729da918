package takeover

import (
	"maps"
	"slices"
	"time"
)

// record is what a keeper knows of a piece of work.
type record struct {
	Work
	owner    string
	life     uint64
	try      uint64
	epoch    uint64
	n        int
	at       Scope
	began    time.Duration // its first attempt went out no earlier
	until    time.Duration // its client waits no longer
	order    []string      // of its keepers, as its owner saw them
	ended    bool
	endAt    time.Duration
	answer   Answer
	waiting  []waiter
	size     int
	orphaned bool // its owner has gone
}

type waiter struct {
	name string
	try  uint64
}

// memory is when its rack may have begun to forget it.
func (r *record) memory() time.Duration {
	return r.began + time.Duration(memoryShare*float64(r.IdempotencyWindow))
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
	self    string
	life    uint64
	records map[string]*record
	gone    map[string]uint64 // the last life that has ended, by name
	bytes   int
	out     []Envelope
	takes   []TakenWork
	counts  ReplicaCounts
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

func newKeeper(self string, life uint64) *ReplicaStore {
	return &ReplicaStore{self: self, life: life, records: map[string]*record{}, gone: map[string]uint64{}}
}

func (k *ReplicaStore) send(to string, m Message) { k.out = append(k.out, Envelope{to, m}) }

// intent decides on an intent of a member's life.
func (k *ReplicaStore) intent(now time.Duration, from string, life uint64, in *Intent) Reply {
	re := Reply{Key: in.Key, Attempt: in.Attempt, Relocation: in.Relocation, Clock: now}
	if in.QueryOnly {
		k.asked(from, in, &re)
		return re
	}
	if ended, was := k.gone[from]; was && life <= ended && from != k.self {
		// It may be alive after all: then it hears that its work was taken over, or may go on where nobody took it.
		if r := k.records[in.Key]; r != nil && r.owner != from {
			re.Kind = ReplyTakenOver
			return re
		}
	}
	if from != k.self && (now-in.Clock > mostStale || in.Clock > now) {
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
		k.drop(r)
		r = nil
	}
	switch {
	case r == nil:
		size := overhead + len(in.Key)
		for _, w := range in.Command {
			size += len(w)
		}
		if len(k.records) >= mostRecords || k.bytes+size > mostBytes {
			k.counts.Full++
			re.Kind = ReplyFull
			return re
		}
		r = &record{Work: in.Work, owner: from, life: life, try: in.Attempt, epoch: max(1, in.Epoch), n: in.Relocation, at: in.Scope, began: sent - in.Age, until: sent + in.Remaining, order: in.Replicas, size: size}
		k.records[in.Key] = r
		k.bytes += size
		k.counts.Granted++
		re.Kind, re.Epoch = ReplyGranted, r.epoch
	case r.try == in.Attempt && r.owner == from:
		switch {
		case r.ended:
			re.Kind, re.Answer = ReplyOtherAttempt, &r.answer
		case r.epoch > max(1, in.Epoch):
			re.Kind = ReplyTakenOver
		default:
			if in.Relocation > r.n { // the attempt before surely never ran
				r.n, r.at, r.began = in.Relocation, in.Scope, sent-in.Age
			}
			r.life = max(r.life, life)
			re.Kind, re.Epoch = ReplyGranted, r.epoch
		}
	case r.try == in.Attempt && r.at == ScopeNone && !r.ended && in.Epoch > r.epoch: // another of its keepers takes it over, before anything went out
		r.owner, r.life, r.epoch, r.orphaned = from, life, in.Epoch, false
		r.n, r.at, r.began = in.Relocation, in.Scope, sent-in.Age
		k.counts.Granted++
		re.Kind, re.Epoch = ReplyGranted, r.epoch
	case r.try == in.Attempt: // its own, and taken over
		k.counts.Refused++
		re.Kind, re.Primary = ReplyTakenOver, first(r.order)
		k.wait(r, from, in.Attempt)
		if r.ended {
			re.Kind, re.Answer = ReplyOtherAttempt, &r.answer
		}
	default:
		k.another(now, from, life, in, r, &re)
	}
	return re
}

// asked says whether another try of a key has an answer or will have one, and then lets who asks wait for it. It changes nothing else.
func (k *ReplicaStore) asked(from string, in *Intent, re *Reply) {
	r := k.records[in.Key]
	re.Kind = ReplyNone
	switch {
	case r == nil || r.try == in.Attempt:
	case !r.ended:
		if k.wait(r, from, in.Attempt) {
			k.counts.Joined++
			re.Kind, re.Primary = ReplyOtherAttempt, first(r.order)
		}
	case r.answer.Kind == AnswerServed && !r.answer.Truncated:
		k.counts.Joined++
		re.Kind, re.Answer = ReplyOtherAttempt, &r.answer
	}
}

// another decides on a further try of a key, wherever it came in.
func (k *ReplicaStore) another(now time.Duration, from string, life uint64, in *Intent, r *record, re *Reply) {
	switch {
	case r.ended && r.answer.Kind == AnswerServed && !r.answer.Truncated:
		k.counts.Joined++
		re.Kind, re.Answer = ReplyOtherAttempt, &r.answer
	case !r.ended && !r.orphaned:
		k.counts.Joined++
		re.Kind, re.Primary = ReplyOtherAttempt, first(r.order)
		k.wait(r, from, in.Attempt)
	case r.at == ScopeNone && !r.ended: // its owner has gone, and nothing of it went out
		k.counts.Granted++
		r.owner, r.life, r.try, r.orphaned, r.n = from, life, in.Attempt, false, in.Relocation
		r.at, r.began, r.order = in.Scope, now-in.Age, in.Replicas
		r.epoch++
		r.until = max(r.until, now+in.Remaining)
		re.Kind, re.Epoch = ReplyGranted, r.epoch
	case now < r.memory() && r.at != ScopeNone: // its owner has gone, or has failed: this one may go on with it
		k.counts.Bound++
		r.owner, r.life, r.try, r.ended, r.orphaned = from, life, in.Attempt, false, false
		r.epoch++
		r.until = max(r.until, now+in.Remaining)
		re.Kind, re.Epoch, re.Scope, re.Age = ReplyAdopt, r.epoch, r.at, now-r.began
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
func (k *ReplicaStore) wait(r *record, name string, try uint64) bool {
	w := waiter{name, try}
	switch {
	case r.ended:
		return false
	case slices.Contains(r.waiting, w):
		return true
	case len(r.waiting) >= mostWaiting:
		return false
	}
	r.waiting = append(r.waiting, w)
	return true
}

// end takes over how a try ended. What is kept first stays, unless it was a failure and somebody was served after all.
func (k *ReplicaStore) end(now time.Duration, from string, e *Completion) {
	r := k.records[e.Key]
	switch {
	case r == nil, r.ended && !(r.answer.Kind == AnswerFailed && e.Answer.Kind == AnswerServed):
		return
	case e.Answer.Kind == AnswerServed: // whoever it was: it was in the record's rack
	case r.owner != from || r.try != e.Attempt || r.epoch > max(1, e.Epoch):
		return
	}
	k.close(now, r, e.Answer)
}

func (k *ReplicaStore) close(now time.Duration, r *record, a Answer) {
	if len(a.Value) > mostAnswer || k.bytes+len(a.Value) > mostBytes {
		a.Value, a.Truncated = nil, true
	}
	k.bytes += len(a.Value) - len(r.answer.Value)
	r.size += len(a.Value) - len(r.answer.Value)
	r.ended, r.endAt, r.answer = true, now, a
	for _, w := range r.waiting {
		k.send(w.name, Message{Notification: &Notification{r.Key, w.try, a}})
	}
	r.waiting = nil
}

func (k *ReplicaStore) drop(r *record) {
	k.bytes -= r.size
	delete(k.records, r.Key)
}

// bind moves a try's own record to the place that it is bound to.
func (k *ReplicaStore) bind(h *hand) {
	if r := k.records[h.Key]; r != nil && r.owner == k.self && r.try == h.try {
		r.at, r.began, r.n = h.at, h.began, h.n
		r.epoch = max(r.epoch, h.epoch)
	}
}

// left takes note that a member's life has ended, as far as anybody can tell, and takes over what it had in hand where this instance
// decides. Nothing rests on its being true: a taker acts where the owner's attempts have no further effect.
func (k *ReplicaStore) left(now time.Duration, name string, life uint64) {
	k.gone[name] = max(k.gone[name], life)
	for _, key := range slices.Sorted(maps.Keys(k.records)) {
		r := k.records[key]
		if r.owner == name && r.life <= life {
			r.orphaned = true
		}
		k.adopt(now, r)
	}
}

// adopt takes over a record whose owner has gone, where this instance is the one to do so.
func (k *ReplicaStore) adopt(now time.Duration, r *record) {
	if r.ended || !r.orphaned || k.heir(r) != k.self {
		return
	}
	if r.at != ScopeNone && now >= r.memory() || now >= r.until {
		k.counts.Failed++
		k.close(now, r, Answer{Kind: AnswerFailed})
		return
	}
	from := r.owner
	r.owner, r.life, r.orphaned = k.self, k.life, false
	r.epoch++
	k.counts.Taken++
	k.takes = append(k.takes, TakenWork{Work: r.Work, Attempt: r.try, Epoch: r.epoch, Relocation: r.n, Scope: r.at, StartedAt: r.began, Deadline: r.until, Owner: from})
}

// heir is the first of a record's keepers that is neither its owner nor gone.
func (k *ReplicaStore) heir(r *record) string {
	for _, name := range r.order {
		if _, gone := k.gone[name]; name != r.owner && (name == k.self || !gone) {
			return name
		}
	}
	return ""
}

// back takes note that a member is there after all, or again.
func (k *ReplicaStore) back(name string, life uint64) {
	if life > k.gone[name] {
		delete(k.gone, name)
	}
}

// sweep ends what is past its time, and forgets what nobody asks for any more.
func (k *ReplicaStore) sweep(now time.Duration) {
	for _, key := range slices.Sorted(maps.Keys(k.records)) {
		r := k.records[key]
		switch {
		case !r.ended && now > r.until+endGrace: // its owner has not told: it may have run
			k.counts.Late++
			k.close(now, r, Answer{Kind: AnswerFailed})
		case r.ended && now > max(r.endAt+keepAnswer, r.began+r.IdempotencyWindow):
			k.drop(r)
		}
	}
}
