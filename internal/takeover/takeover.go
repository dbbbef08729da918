// Package takeover decides which instance may complete a request with an
// idempotency key if the instance that accepted it fails. Its inputs are the
// attempts that this instance is about to send, messages from other instances,
// membership changes and the time. Its outputs are messages and Actions: send,
// wait for another attempt's answer, use an answer, take work over. It does no
// I/O, reads no clock, draws no random numbers and does not depend on
// connections, backends or policy.
//
// Work is identified by its idempotency key. Before the first attempt goes to
// a backend, an intent that names the attempt's Scope is recorded at two
// replicas. Replicas ranks them by rendezvous hashing (Thaler and Ravishankar,
// 1998); the first is the primary and orders all updates for the key. The
// following holds even if messages are lost, delayed or duplicated, processes
// pause, or instances are falsely declared dead:
//
//   - An instance that acts on a record acts in the record's scope and within
//     the scope's idempotency window, where a repeated attempt has no further
//     effect. An owner that doesn't know that it was taken over, its successor
//     and both sides of a partition therefore cause a single effect.
//   - Work that is queued at its instance is recorded with ScopeNone. From then
//     on no attempt is sent without the replicas' consent, so a successor may
//     send it to any scope.
//   - The scope changes only if the owner reports that the attempt certainly
//     never ran and the primary agrees; after a takeover the primary refuses.
//   - The first answer that a replica stores for work that ran is final.
//
// A replica measures the age of an intent only by its own clock: the intent
// carries the latest reading of that clock that its sender has received, so it
// can't have been sent before that reading. An intent whose reading is older
// than maxClockAge must be sent again. A delayed message or a paused process
// therefore never makes an idempotency window appear longer than it is.
package takeover

import "time"

// MaxCommandBytes is the size in bytes of the largest command that replicas record.
const MaxCommandBytes = 8 << 10

// Work is the part of a request that another instance needs to complete it.
type Work struct {
	// Key is the idempotency key, unique over all tenants.
	Key    string `cbor:"1,keyasint"`
	Class  string `cbor:"2,keyasint"`
	Plan   string `cbor:"3,keyasint"`
	Tenant string `cbor:"4,keyasint"`
	// Units is the amount that the request consumes of its tenant's quota.
	Units float64 `cbor:"5,keyasint"`
	// Spread is the number of instances that receive the tenant's requests,
	// First the number of the first of them.
	Spread int `cbor:"6,keyasint,omitempty"`
	First  int `cbor:"7,keyasint,omitempty"`
	// IdempotencyWindow is how long the scope remembers the key of an attempt
	// and ignores repeats.
	IdempotencyWindow time.Duration `cbor:"8,keyasint"`
	// Command holds the command's arguments.
	Command [][]byte `cbor:"9,keyasint"`
	// Charged is set if the accepting instance has already charged the units to
	// the quota, so that a successor doesn't charge them again.
	Charged bool `cbor:"10,keyasint,omitempty"`
}

// Scope is the set of backends within which a repeated attempt has no further
// effect.
type Scope struct {
	Rack int    `cbor:"1,keyasint,omitempty"`
	Zone string `cbor:"2,keyasint,omitempty"`
}

// ScopeNone is the scope of accepted work for which no attempt was sent.
var ScopeNone = Scope{Rack: -1}

// AnswerKind is the outcome of a piece of work.
type AnswerKind uint8

// The outcomes.
const (
	AnswerServed   AnswerKind = iota + 1 // a backend has answered
	AnswerFailed                         // no answer, but an attempt may have run
	AnswerNeverRan                       // no attempt has run: the key is free again
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
	// Truncated is set if the value was dropped because it was too large to store.
	Truncated bool `cbor:"3,keyasint,omitempty"`
}

// truncate drops the value because it is too large to be stored or sent.
func (a *Answer) truncate() {
	a.Value, a.Truncated = nil, true
}

// reusable reports whether the answer may be returned to other attempts of the key.
func (a *Answer) reusable() bool {
	return a.Kind == AnswerServed && !a.Truncated
}

// Member is an instance that is a member of the fleet.
type Member struct {
	Name string
	Zone string
}
