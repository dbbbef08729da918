package discovery

import (
	"context"
	"net/http"
	"time"
)

// callLimit is the capacity of an agent that stands for a registry which many instances share: one call at a time.
// The registry's mutex guards it.
type callLimit struct {
	failure     Failure
	serviceTime time.Duration // of one call; 0: no limit
	patience    time.Duration // a call that would be answered later is rejected
	freeAt      time.Time     // when all calls so far are answered
	second      int64         // the second of the clock in which calls are counted
	calls       int           // in that second
	maxCalls    int           // in any second so far
}

// Limit gives an agent a capacity that all its callers share: each call takes it a service time, one after another. A
// call that would be answered later than patience is rejected with 503.
func (r *Registry) Limit(agent int, service, patience time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := &r.agents[agent].limit
	limit.serviceTime, limit.patience = service, patience
}

// Busiest returns the largest number of calls that came to an agent within one second.
func (r *Registry) Busiest(agent int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agents[agent].limit.maxCalls
}

// takeCall waits for a call's turn. It reports false for a call that has none, which it has answered.
func (a *agent) takeCall(ctx context.Context, w http.ResponseWriter) bool {
	a.registry.mu.Lock()
	wait, failure := a.limit.admit(time.Now())
	a.registry.mu.Unlock()
	switch failure {
	case Resetting:
		panic(http.ErrAbortHandler)
	case TurningAway:
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	case Answering, Silent: // a call that came before the agent fell silent is answered
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

// admit counts a call, and returns how long it waits for its answer or how it fails.
func (l *callLimit) admit(now time.Time) (wait time.Duration, failure Failure) {
	if now.Unix() != l.second {
		l.second, l.calls = now.Unix(), 0
	}
	l.calls++
	l.maxCalls = max(l.maxCalls, l.calls)
	if l.failure != Answering || l.serviceTime == 0 {
		return 0, l.failure
	}
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	wait = l.freeAt.Sub(now) + l.serviceTime
	if wait > l.patience {
		return 0, TurningAway
	}
	l.freeAt = l.freeAt.Add(l.serviceTime)
	return wait, Answering
}
