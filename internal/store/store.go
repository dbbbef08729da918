// Package store is the seam between the core and the shared counter: named numbers to which every instance adds and
// whose totals it reads back. It says what an add may answer and who may still take it back; what stands behind it
// (tally, Redis) is known to the implementations alone.
package store

import (
	"context"
	"sync/atomic"
	"time"
)

// Certainty says how sure it is that an add took effect.
type Certainty uint8

// The certainties. The zero value is the one that promises least.
const (
	Maybe    Certainty = iota // it may have been added, or may yet be: it counts as spent
	Added                     // it was added, once
	NotAdded                  // it was not, and never will be
)

// String names the certainty for logs and test failures.
func (c Certainty) String() string {
	switch c {
	case Added:
		return "added"
	case NotAdded:
		return "not added"
	}
	return "maybe"
}

// Result is the answer to an add.
type Result struct {
	Certainty Certainty
	Seen      bool    // Total was read; an add may have landed with an answer that could not be
	Total     float64 // units, with this add in it: never less than what this instance knows to be spent
}

// The states of a call.
const (
	queued int32 = iota
	claimed
	withdrawn
	lapsed
	rejected
)

// Call is one add. Its fields are set before it is handed to a store and not changed after. The caller and the store
// decide between them, in any order and from any goroutine, who has the last word on it: a call that its caller has
// counted as added is never taken out of the total again.
type Call struct {
	Name      string        // 1 to 64 bytes, no spaces
	Amount    float64       // units; below 0 gives back
	TTL       time.Duration // the life of a new name, from its first add on
	StartedAt time.Duration // on the caller's clock, for the caller's own books
	state     atomic.Int32
	answered  bool
}

// Take is the store's: it claims a call before anything of it leaves the process, and reports false for one that was
// withdrawn, which must then not be sent.
func (c *Call) Claim() bool { return c.state.CompareAndSwap(queued, claimed) }

// Withdraw is the caller's: it reports whether the call was taken back before a store took it, so that it is surely not
// added.
func (c *Call) Withdraw() bool { return c.state.CompareAndSwap(queued, withdrawn) }

// Lapse is the caller's, for a call that it could not withdraw and waits for no longer: it counts as added from then on.
// False means that the store has refused it, and says so presently.
func (c *Call) Lapse() bool { return c.state.CompareAndSwap(claimed, lapsed) }

// Refuse is the store's, before it takes the amount of a call that it took out of the total: false means that the caller
// has counted the call as added, and added it must stay.
func (c *Call) Reject() bool { return c.state.CompareAndSwap(claimed, rejected) }

// Open reports whether nobody has taken or withdrawn the call.
func (c *Call) IsQueued() bool { return c.state.Load() == queued }

// End is the caller's, on one goroutine: it reports whether this is the call's first answer.
func (c *Call) FirstAnswer() bool {
	first := !c.answered
	c.answered = true
	return first
}

// Sink is told the answer to a call, once at most, from a goroutine of the store. A caller that waits no longer
// withdraws the call or counts it as Maybe; a later answer is the caller's to drop.
type Sink func(*Call, Result)

// Counter is a shared counter. Answers to the calls of one name come in the order in which the calls were added.
type Counter interface {
	// Add queues a call and never blocks; where there is no room the call stays unanswered and may be withdrawn.
	Add(*Call)
	// Run serves the calls until ctx ends, and leaves no goroutine behind.
	Run(ctx context.Context)
	// Move goes over to another address; it waits for nothing, may come at any time, and the last of several counts.
	SetAddress(addr string)
}

// Latest is a place for one value; one that is put there takes the place of one that was not fetched.
type Latest[T any] chan T

// NewLatest returns an empty place.
func NewLatest[T any]() Latest[T] { return make(Latest[T], 1) }

// Set never blocks; it is for one goroutine at a time.
func (l Latest[T]) Set(v T) {
	for {
		select {
		case l <- v:
			return
		default:
		}
		select {
		case <-l:
		default:
		}
	}
}
