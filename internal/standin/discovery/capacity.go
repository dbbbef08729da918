package discovery

import (
	"context"
	"net/http"
	"time"
)

// Failure is a way for an agent not to answer.
type Failure int

const (
	// Answering is none.
	Answering Failure = iota
	// Silent agents answer nothing; their open watches say nothing more, for good.
	Silent
	// Resetting agents break open watches, and each connection on which a call comes.
	Resetting
	// TurningAway agents break open watches and answer each call with 503.
	TurningAway
)

// queue is what an agent can take, if it stands for a registry that many instances share.
type queue struct {
	failure  Failure
	service  time.Duration // of one call; 0: no limit
	patience time.Duration // a call that would be answered later is turned away
	free     time.Time     // when it is through with the calls that it has taken
	busiest  int           // most calls in one second of the clock
	second   int64
	calls    int // in that second
}

// Limit gives an agent one service for all its callers, each call of which takes so long. A call that would be answered later
// than patience is turned away with 503.
func (r *Registry) Limit(agent int, service, patience time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agents[agent].service, r.agents[agent].patience = service, patience
}

// Fail makes an agent fail, or answer again.
func (r *Registry) Fail(agent int, f Failure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.agents[agent]
	a.failure, a.mute = f, f == Silent
	close(a.news) // wakes up its watches
	a.news = make(chan struct{})
}

// Busiest is the most calls that came to an agent within one second.
func (r *Registry) Busiest(agent int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agents[agent].busiest
}

func (a *agent) muted() bool {
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	return a.mute
}

// breakIfFailing ends a call by a reset of its connection, if the agent fails in such a way.
func (a *agent) breakIfFailing() {
	a.r.mu.Lock()
	failing := a.failure == Resetting || a.failure == TurningAway
	a.r.mu.Unlock()
	if failing {
		panic(http.ErrAbortHandler)
	}
}

// takeCall waits for a call's turn; it answers those that have none.
func (a *agent) takeCall(ctx context.Context, w http.ResponseWriter) bool {
	wait, failure := a.admit(time.Now())
	switch failure {
	case Resetting:
		panic(http.ErrAbortHandler)
	case TurningAway:
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// admit says how long a call waits, or how it fails.
func (a *agent) admit(now time.Time) (wait time.Duration, f Failure) {
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	if now.Unix() != a.second {
		a.second, a.calls = now.Unix(), 0
	}
	a.calls++
	a.busiest = max(a.busiest, a.calls)
	if a.failure != Answering || a.service == 0 {
		return 0, a.failure
	}
	if a.free.Before(now) {
		a.free = now
	}
	if wait = a.free.Sub(now) + a.service; wait > a.patience {
		return 0, TurningAway
	}
	a.free = a.free.Add(a.service)
	return wait, Answering
}
