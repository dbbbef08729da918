package core

import (
	"context"
	"time"

	"hitchspring/internal/backend"
	"hitchspring/policy"
)

// pool is the pool of connections to the backends; package backend implements it. All methods are called on the loop's
// goroutine.
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

// poolOwner implements the pool's callbacks. They run on the loop's goroutine unless a method says otherwise.
type poolOwner struct{ core *Core }

// Now returns the time of the event being handled.
func (o poolOwner) Now() time.Duration { return o.core.now }

// After schedules a function to be called by the loop after a duration.
func (o poolOwner) After(d time.Duration, fire func()) { o.core.scheduleAfter(d, fire) }

// Post queues an event of a connection for the loop. It is safe for concurrent use.
func (o poolOwner) Post(ev backend.Event) { o.core.post(ev) }

// Spawn starts a goroutine that Core.Stop waits for.
func (o poolOwner) Spawn(run func(context.Context)) { o.core.spawn(run) }

// AttemptEnded handles the outcome of an attempt.
func (o poolOwner) AttemptEnded(attempt *backend.Attempt, outcome policy.Outcome, reply backend.Reply) {
	o.core.attemptEnded(attempt, outcome, reply)
}

// AttemptWanted reports whether an attempt that is about to be written may still be sent.
func (o poolOwner) AttemptWanted(attempt *backend.Attempt) bool {
	r, ok := attempt.Ref.(*Request)
	if !ok { // a health check
		return true
	}
	return o.core.mayAttempt(r, attempt) && o.core.maySend(r, attempt)
}

// AttemptBegan handles a streamed value whose first bytes have arrived, and reports whether it is still wanted.
func (o poolOwner) AttemptBegan(attempt *backend.Attempt, stream *backend.Stream) bool {
	return o.core.streamStarted(attempt, stream)
}
