// Package custody decides who may act on a piece of work that outlives its instance. In: what this instance is about to send, messages of
// others, who is there and who has gone, the time. Out: messages, and what may be done: send, wait for another's answer, answer, take
// over. It does no I/O, reads no clock, draws no chance, and must never know a connection, a node's load or the decision module.
//
// A piece of keyed work is known by its key. Before its first attempt goes to a node, the intent (which rack) is written to two keepers,
// chosen by rendezvous hashing (Thaler, Ravishankar 1998) over the members; the first of them decides the order of all that is said of the key. What
// holds, whatever is lost, late, doubled, stopped or declared dead:
//
//   - Whoever acts on a record acts in its rack and within the rack's memory, where a repeat has no effect. So an owner that was taken over and does
//     not know it, its taker, and both sides of a partition have one effect together.
//   - Work that waits at its instance is written down as being nowhere. From then on no attempt of it goes out without the keepers' word, so that
//     whoever takes it over from nowhere may send it anywhere.
//   - A rack changes only where the owner says that the attempt surely never ran, and the first keeper agrees; after a takeover it refuses.
//   - The first answer that a keeper has of a piece of work that ran stays.
//
// How old an intent is, a keeper knows by its own clock alone: the intent brings the newest reading of that clock that its sender has
// heard of, and was sent no earlier. One whose reading is older than a second is asked for again. So the rack's memory is never
// held to last longer than it does, whatever a message or a process has waited.
package takeover

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// Bounds and times.
const (
	MaxBody                  = 8 << 10               // of a covered command; a larger one goes uncovered
	maxRecords               = 4096                  // that one keeper holds
	maxRecordBytes           = 4 << 20               // that they take
	maxAnswerBytes           = 8 << 10               // of a kept answer; of a larger one the kind alone is kept
	maxWaiters               = 8                     // that wait for one key's answer
	maxClockAge              = time.Second           // age of the clock reading in an intent
	answerRetention          = 10 * time.Second      // an ended record is kept for so long, and its rack's memory at least
	completionGrace          = time.Second           // past a record's time, until its owner's silence is its end
	intentResendInterval     = 15 * time.Millisecond // an intent that has no reply is sent again
	departedReplyTimeout     = 40 * time.Millisecond // that the word of a keeper is waited for that is held to be gone
	replyTimeoutDivisor      = 8                     // an intent waits for a part of its client's time, and goes without the keepers' word after that; for some of it after half
	minReplyTimeout          = 60 * time.Millisecond
	maxReplyTimeout          = 400 * time.Millisecond
	outcomeQueryTimeout      = 25 * time.Millisecond // who only asks is told nothing by then: its client is refused
	maxOpenQueries           = 64                    // that ask at one time; others are refused at once
	completionResendInterval = 100 * time.Millisecond
	maxCompletionSends       = 4               // times that an end is told
	departedReplicaSpan      = 8 * time.Second // after a death a key's keepers from before it are asked too
	reliedWindowFraction     = 0.9             // of a rack's memory that is relied on
	recordOverheadBytes      = 400             // bytes that a record takes besides
)

// Kind is what a final answer says.
type AnswerKind uint8

// The kinds of ends.
const (
	AnswerServed   AnswerKind = iota + 1
	AnswerFailed              // it may have run
	AnswerNeverRan            // it surely has not run: the key is free
)

// Answer is how a piece of work ended.
type Answer struct {
	Kind      AnswerKind `cbor:"1,keyasint"`
	Value     []byte     `cbor:"2,keyasint,omitempty"`
	Truncated bool       `cbor:"3,keyasint,omitempty"` // the value was too large to be kept
}

// Work is what is to be done, as another instance needs it.
type Work struct {
	Key               string        `cbor:"1,keyasint"` // of the customer's
	Class             string        `cbor:"2,keyasint"`
	Plan              string        `cbor:"3,keyasint"`
	Tenant            string        `cbor:"4,keyasint"`
	Units             float64       `cbor:"5,keyasint"`
	Spread            int           `cbor:"6,keyasint,omitempty"`
	First             int           `cbor:"7,keyasint,omitempty"`
	IdempotencyWindow time.Duration `cbor:"8,keyasint"`            // of its rack
	Command           [][]byte      `cbor:"9,keyasint"`            // of the command
	Charged           bool          `cbor:"10,keyasint,omitempty"` // its units were taken where it was accepted: who takes it over takes none
}

// Place is where a repeat has no further effect.
type Scope struct {
	Rack int    `cbor:"1,keyasint,omitempty"`
	Zone string `cbor:"2,keyasint,omitempty"`
}

// Nowhere is the place of work that was accepted and of which nothing has gone out.
var ScopeNone = Scope{Rack: -1}

// Intent says that an attempt is about to go out.
type Intent struct {
	Work
	Attempt    uint64        `cbor:"20,keyasint"` // the client's
	Epoch      uint64        `cbor:"21,keyasint"`
	Relocation int           `cbor:"22,keyasint,omitempty"` // of the try's changes of place
	Scope      Scope         `cbor:"23,keyasint"`
	Remaining  time.Duration `cbor:"24,keyasint"`           // until its client gives up, when it was sent
	Age        time.Duration `cbor:"25,keyasint,omitempty"` // of its first attempt, when it was sent
	Clock      time.Duration `cbor:"26,keyasint,omitempty"` // the keeper's, as last heard
	Replicas   []string      `cbor:"27,keyasint"`           // the key's keepers as the sender sees them, the deciding one first
	QueryOnly  bool          `cbor:"28,keyasint,omitempty"` // nothing is to be sent: only whether another try of the key has an answer, or will have
}

// ReplyKind is what a keeper says to an intent.
type ReplyKind uint8

// The replies.
const (
	ReplyGranted      ReplyKind = iota + 1
	ReplyStaleClock             // with a newer clock
	ReplyOtherAttempt           // another try of the key is open: its answer follows, or is here
	ReplyAdopt                  // another try may have run: go on with it, in its place
	ReplyTakenOver              // it was taken over
	ReplyFull                   // there is no room
	ReplyNone                   // to one that only asks: there is no answer to wait for
)

// Reply answers an intent.
type Reply struct {
	Key        string        `cbor:"1,keyasint"`
	Attempt    uint64        `cbor:"2,keyasint"`
	Relocation int           `cbor:"3,keyasint,omitempty"`
	Kind       ReplyKind     `cbor:"4,keyasint"`
	Epoch      uint64        `cbor:"5,keyasint,omitempty"`
	Scope      Scope         `cbor:"6,keyasint"`
	Age        time.Duration `cbor:"7,keyasint,omitempty"` // of the first attempt, at the most
	Answer     *Answer       `cbor:"8,keyasint,omitempty"`
	Clock      time.Duration `cbor:"9,keyasint"`
	Primary    string        `cbor:"10,keyasint,omitempty"` // of Known and Over: who decides, as the other try's owner saw it
}

// End tells a keeper how a try ended.
type Completion struct {
	Key     string `cbor:"1,keyasint"`
	Attempt uint64 `cbor:"2,keyasint"`
	Epoch   uint64 `cbor:"3,keyasint"`
	Answer  Answer `cbor:"4,keyasint"`
}

// Told brings an answer to who waits for it; Never: the key is free.
type Notification struct {
	Key     string `cbor:"1,keyasint"`
	Attempt uint64 `cbor:"2,keyasint"` // of who waits
	Answer  Answer `cbor:"3,keyasint"`
}

// Message is one message between instances; one of its fields is set.
type Message struct {
	Intent        *Intent       `cbor:"1,keyasint,omitempty"`
	Reply         *Reply        `cbor:"2,keyasint,omitempty"`
	Completion    *Completion   `cbor:"3,keyasint,omitempty"`
	CompletionAck *Completion   `cbor:"4,keyasint,omitempty"` // an End was heard
	Notification  *Notification `cbor:"5,keyasint,omitempty"`
}

// Send is a message to a member.
type Envelope struct {
	To      string
	Message Message
}

// Member is one that is there.
type Member struct{ Name, Zone string }

// Keepers are the members that keep a key, the deciding one first: the first two by rendezvous, the second in another hall where there is
// one, and one more, since an owner does not keep its own work alone. Any instance with the same view names the same.
func Replicas(key string, members []Member) []string {
	type ranked struct {
		Member
		rank uint64
	}
	list := make([]ranked, 0, len(members))
	for _, m := range members {
		h := fnv.New64a()
		h.Write([]byte(key))
		h.Write([]byte{0})
		h.Write([]byte(m.Name))
		list = append(list, ranked{m, mix(h.Sum64())})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.Name, b.Name)) })
	var out []string
	take := func(fits func(ranked) bool) {
		for i, m := range list {
			if fits(m) {
				out = append(out, m.Name)
				list = slices.Delete(list, i, i+1)
				return
			}
		}
	}
	any := func(ranked) bool { return true }
	if take(any); len(out) == 0 {
		return nil
	}
	hall := members[slices.IndexFunc(members, func(m Member) bool { return m.Name == out[0] })].Zone
	n := len(out)
	if take(func(m ranked) bool { return m.Zone != hall }); len(out) == n {
		take(any)
	}
	take(any)
	return out
}

// mix spreads a hash's bits (the finisher of MurmurHash3): names that differ in their last letter alone would rank alike.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
