// Package takeover decides which instance may act on keyed work that outlives
// the instance that accepted it. It takes in what this instance is about to
// send, messages of other instances, membership changes and the time; it
// returns messages and Actions: send, wait for another attempt's answer, use
// an answer, take work over. It does no I/O, reads no clock, draws no random
// numbers and knows nothing of connections, backends or policy.
//
// A piece of work is known by its idempotency key. Before its first attempt
// goes to a backend, the intent, which names the attempt's Scope, is recorded
// at two replicas. Replicas ranks them by rendezvous hashing (Thaler and
// Ravishankar, 1998); the first is the primary and orders all that is said of
// the key. The following holds whatever is lost, late, duplicated, paused or
// falsely declared dead:
//
//   - Whoever acts on a record acts in its scope and within the scope's
//     idempotency window, where a repeat has no further effect. So an owner
//     that was taken over without knowing it, its successor and both sides of
//     a partition have one effect together.
//   - Work that waits at its instance is recorded with ScopeNone. From then on
//     no attempt of it goes out without the replicas' consent, so a successor
//     may send it to any scope.
//   - A scope changes only if the owner reports that the attempt surely never
//     ran and the primary agrees; after a takeover it refuses.
//   - The first answer that a replica stores for work that ran is final.
//
// A replica measures the age of an intent by its own clock alone: the intent
// carries the newest reading of that clock that its sender has heard, and was
// sent no earlier. An intent whose reading is older than maxClockAge must be
// sent again. A delayed message or a paused process therefore never makes an
// idempotency window look longer than it is.
package takeover

import "time"

// MaxCommandBytes is the size in bytes up to which a command is covered by replicas.
const MaxCommandBytes = 8 << 10

// Work is a request as another instance needs it to complete it.
type Work struct {
	// Key is the idempotency key, unique over all tenants.
	Key    string `cbor:"1,keyasint"`
	Class  string `cbor:"2,keyasint"`
	Plan   string `cbor:"3,keyasint"`
	Tenant string `cbor:"4,keyasint"`
	// Units is what the request takes from its tenant's quota.
	Units float64 `cbor:"5,keyasint"`
	// Spread is the number of instances that the tenant's requests come
	// through, First the number of the first of them.
	Spread int `cbor:"6,keyasint,omitempty"`
	First  int `cbor:"7,keyasint,omitempty"`
	// IdempotencyWindow is how long the scope remembers an attempt.
	IdempotencyWindow time.Duration `cbor:"8,keyasint"`
	// Command holds the command's arguments.
	Command [][]byte `cbor:"9,keyasint"`
	// Charged says that the accepting instance has taken the units from the
	// quota, so a successor takes none.
	Charged bool `cbor:"10,keyasint,omitempty"`
}

// Scope is the set of backends within which a repeated attempt has no further
// effect.
type Scope struct {
	Rack int    `cbor:"1,keyasint,omitempty"`
	Zone string `cbor:"2,keyasint,omitempty"`
}

// ScopeNone is the scope of accepted work of which no attempt was sent.
var ScopeNone = Scope{Rack: -1}

// AnswerKind is the outcome of a piece of work.
type AnswerKind uint8

// The outcomes.
const (
	AnswerServed   AnswerKind = iota + 1 // a backend has answered
	AnswerFailed                         // it may have run
	AnswerNeverRan                       // it surely has not run: the key is free again
)

// String returns the outcome's name.
func (k AnswerKind) String() string {
	switch k {
	case AnswerServed:
		return "served"
	case AnswerFailed:
		return "failed"
	case AnswerNeverRan:
		return "never ran"
	}
	return "unknown"
}

// Answer is the final answer of a piece of work.
type Answer struct {
	Kind  AnswerKind `cbor:"1,keyasint"`
	Value []byte     `cbor:"2,keyasint,omitempty"`
	// Truncated says that the value was too large to be stored.
	Truncated bool `cbor:"3,keyasint,omitempty"`
}

// truncate drops a value that is too large to be stored or sent.
func (a *Answer) truncate() {
	a.Value, a.Truncated = nil, true
}

// reusable reports whether other attempts of the key may be given the answer.
func (a *Answer) reusable() bool {
	return a.Kind == AnswerServed && !a.Truncated
}

// Member is an instance that is a member of the fleet.
type Member struct {
	Name string
	Zone string
}
