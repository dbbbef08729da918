package core

import (
	"context"
	"time"

	"hitchspring/internal/backend"
	"hitchspring/policy"
)

// pool is the pool of connections to the backends, as package backend implements it. All methods are called by the
// loop's goroutine.
type pool interface {
	Update(list []backend.Endpoint, complete bool)
	Backends() []policy.Backend
	Start(attempt *backend.Attempt, id policy.BackendID)
	CancelUnsent(attempt *backend.Attempt, id policy.BackendID)
	Abort(attempt *backend.Attempt, outcome policy.Outcome)
	Withdraw(attempt *backend.Attempt)
	Handle(ev backend.Event)
	Contains(id policy.BackendID) bool
	Addr(id policy.BackendID) (addr string, serves bool)
	CloseIdle(id policy.BackendID)
	RetireIdle()
	SetMaxConnections(connections int)
	Dials() int
}

// poolOwner is the core as the pool calls it back, on the loop's goroutine unless a method says otherwise.
type poolOwner struct{ core *Core }

// Now returns the time of the event that is being handled.
func (o poolOwner) Now() time.Duration { return o.core.now }

// After has the loop call a function when a span has passed.
func (o poolOwner) After(d time.Duration, fire func()) { o.core.scheduleAfter(d, fire) }

// Post hands an event of a connection to the loop. Any goroutine may call it.
func (o poolOwner) Post(ev backend.Event) { o.core.post(ev) }

// Spawn starts a goroutine that the core's End waits for.
func (o poolOwner) Spawn(run func(context.Context)) { o.core.spawn(run) }

// AttemptEnded takes in the outcome of an attempt.
func (o poolOwner) AttemptEnded(attempt *backend.Attempt, outcome policy.Outcome, reply backend.Reply) {
	o.core.attemptEnded(attempt, outcome, reply)
}

// AttemptWanted reports whether an attempt that is about to be written may still go out.
func (o poolOwner) AttemptWanted(attempt *backend.Attempt) bool {
	r, ok := attempt.Ref.(*Request)
	if !ok { // a probe
		return true
	}
	o.core.dropIfDisconnected(r)
	return !r.finished && o.core.maySend(r, attempt)
}

// AttemptBegan takes in a value that has begun to come, and reports whether it is wanted.
func (o poolOwner) AttemptBegan(attempt *backend.Attempt, stream *backend.Stream) bool {
	return o.core.streamStarted(attempt, stream)
}
