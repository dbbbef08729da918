// Package store is the seam between the core and the shared counter: named numbers to which all instances add and
// whose totals they read back. It defines what an add may be answered and who may still take the add back. What
// stands behind a counter (tally, Redis) is known to the implementations alone.
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
	case Maybe:
	}
	return "maybe"
}

// Result is the answer to an add.
type Result struct {
	Certainty Certainty
	Seen      bool    // Total was read; an add may take effect with a reply that could not be read
	Total     float64 // units, with this add in it: never less than what this instance knows to be spent
}

// The states of a call. From queued it becomes claimed or withdrawn, from claimed it becomes lapsed or rejected,
// and may stay claimed.
const (
	queued    int32 = iota // nobody has decided on it
	claimed                // the store may send it
	withdrawn              // the caller took it back: it is not sent
	lapsed                 // the caller counts it as added
	rejected               // the store reports that it is not added
)

// Call is one add. Its exported fields are set before it is handed to a store and not changed after. The caller and
// the store decide between them, in any order and from any goroutine, what becomes of it: a call that its caller
// has counted as added is never taken out of the total again.
type Call struct {
	Name      string        // 1 to 64 bytes, no spaces
	Amount    float64       // units; negative gives back
	TTL       time.Duration // time to live of a new name, from its first add on
	StartedAt time.Duration // on the caller's clock, for the caller's own use
	state     atomic.Int32
	answered  bool // the caller's
}

// Claim is for the store, before anything of the call leaves the process. It reports false for a call that was
// withdrawn, which must not be sent.
func (c *Call) Claim() bool { return c.state.CompareAndSwap(queued, claimed) }

// Withdraw is for the caller. It reports whether the call was taken back before the store claimed it, so that it is
// surely not added.
func (c *Call) Withdraw() bool { return c.state.CompareAndSwap(queued, withdrawn) }

// Lapse is for the caller, for a call that it could not withdraw and does not wait for any longer: the call counts
// as added from then on. It reports false if the store has rejected the call, whose answer comes presently.
func (c *Call) Lapse() bool { return c.state.CompareAndSwap(claimed, lapsed) }

// Reject is for the store, before it takes the amount of the call out of the total. It reports false if the caller has
// counted the call as added: then it must stay added.
func (c *Call) Reject() bool { return c.state.CompareAndSwap(claimed, rejected) }

// IsQueued reports whether the call was neither claimed nor withdrawn.
func (c *Call) IsQueued() bool { return c.state.Load() == queued }

// FirstAnswer is for the caller, on one goroutine. It reports whether it is called for the first time, that is for the
// call's first answer.
func (c *Call) FirstAnswer() bool {
	first := !c.answered
	c.answered = true
	return first
}

// Sink receives the answer to a call, at most once, from a goroutine of the store. A caller that does not wait any
// longer withdraws the call or counts it as Maybe, and drops a later answer.
type Sink func(*Call, Result)

// Counter is a shared counter. Answers to the calls of one name come in the order in which the calls were added.
type Counter interface {
	// Add queues a call and never blocks. If the queue is full, the call stays unanswered and may be withdrawn.
	Add(*Call)
	// Run serves the calls until ctx ends, and leaves no goroutine behind.
	Run(ctx context.Context)
	// SetAddress changes to another address. It does not block and may be called at any time; the last address counts.
	SetAddress(addr string)
}

// Latest is a channel for one value; a value that is set replaces one that was not received.
type Latest[T any] chan T

// NewLatest returns an empty channel.
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
