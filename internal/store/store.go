// Package store defines the interface between the core and the shared counter, a set of named totals that all
// instances add to and read back. It defines the possible results of an add, and until when the caller or the store
// may cancel it. The implementations are in the packages tally and redis.
package store

import (
	"context"
	"sync/atomic"
	"time"
)

// Certainty states whether an add took effect, as far as the store knows.
type Certainty uint8

// The values of Certainty. The zero value is the one that guarantees nothing.
const (
	Maybe    Certainty = iota // may have been added or may still be added; the caller counts the amount as spent
	Added                     // was added exactly once
	NotAdded                  // was not added and never will be
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

// Result is the result of an add.
type Result struct {
	Certainty Certainty
	HasTotal  bool    // Total is valid; false if the add took effect but its reply could not be parsed
	Total     float64 // in units, including this add; never less than what this instance knows to be spent
}

// The states of a call. A queued call becomes claimed or withdrawn; a claimed call stays claimed, or becomes
// assumedAdded or rejected.
const (
	queued       int32 = iota // neither claimed nor withdrawn
	claimed                   // the store may send it
	withdrawn                 // cancelled by the caller: must not be sent
	assumedAdded              // the caller no longer waits and counts it as added
	rejected                  // the store reports it as not added
)

// Call is one add. Its exported fields must not change once it was passed to a Counter. The caller and the store
// change its state concurrently, from any goroutine. Once the caller has counted a call as added, the store never
// removes its amount from the total.
type Call struct {
	Name      string        // 1 to 64 bytes, no spaces
	Amount    float64       // in units; a negative amount returns units
	TTL       time.Duration // time to live of the name, counted from the name's first add
	StartedAt time.Duration // on the caller's clock; not used by the store
	state     atomic.Int32
	answered  bool // used by the caller's goroutine only
}

// Claim is called by the store before it sends the call. It reports false if the call was withdrawn and must not be
// sent.
func (c *Call) Claim() bool { return c.state.CompareAndSwap(queued, claimed) }

// Withdraw is called by the caller to cancel the call. It reports whether that happened before the store claimed
// the call, which guarantees that it is never added.
func (c *Call) Withdraw() bool { return c.state.CompareAndSwap(queued, withdrawn) }

// AssumeAdded is called by the caller at its timeout, if the call can no longer be withdrawn. From then on the call
// counts as added. It reports false if the store has already rejected the call; its result follows shortly.
func (c *Call) AssumeAdded() bool { return c.state.CompareAndSwap(claimed, assumedAdded) }

// Reject is called by the store before it removes the amount of the call from the total. It reports false if the
// caller has counted the call as added; the amount must then stay in the total.
func (c *Call) Reject() bool { return c.state.CompareAndSwap(claimed, rejected) }

// IsQueued reports whether the call has been neither claimed nor withdrawn.
func (c *Call) IsQueued() bool { return c.state.Load() == queued }

// MarkAnswered is called by the caller, from one goroutine, for each result of the call. It marks the call as answered
// and reports whether this was its first result.
func (c *Call) MarkAnswered() bool {
	first := !c.answered
	c.answered = true
	return first
}

// Sink receives the result of a call, at most once, on a goroutine of the store. A caller that stops waiting
// withdraws the call or counts it as Maybe, and ignores a later result.
type Sink func(*Call, Result)

// Counter is a shared counter. The results of calls for the same name arrive in the order of the calls.
type Counter interface {
	// Add queues a call and never blocks. If the queue is full, the call is dropped: it gets no result and can still
	// be withdrawn.
	Add(*Call)
	// Run serves calls until ctx is done, and returns after all goroutines of the counter have ended.
	Run(ctx context.Context)
	// SetAddress switches to another address without blocking. It may be called at any time; the latest address wins.
	SetAddress(addr string)
}

// Latest is a channel that holds at most one value; a new value replaces one that was not received yet.
type Latest[T any] chan T

// NewLatest returns an empty channel.
func NewLatest[T any]() Latest[T] { return make(Latest[T], 1) }

// Set stores a value without blocking. It must not be called concurrently.
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
