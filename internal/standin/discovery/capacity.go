package discovery

import (
	"context"
	"net/http"
	"time"
)

// callLimit limits the calls that an agent serves, to model a registry shared by many instances: it processes one call
// at a time. The registry's mutex guards it.
type callLimit struct {
	failure     Failure
	serviceTime time.Duration // service time of one call; 0: no limit
	maxWait     time.Duration // calls with a longer response time are rejected
	idleAt      time.Time     // when the calls admitted so far have been processed
	second      int64         // Unix time of the second that calls counts
	calls       int           // calls in that second
	maxCalls    int           // maximum number of calls in any second so far
}

// Limit limits the capacity of an agent: it processes one call after another, and each takes the service time. A call
// that would wait longer than maxWait for its answer is rejected with 503.
func (r *Registry) Limit(agent int, service, maxWait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := &r.agents[agent].limit
	limit.serviceTime, limit.maxWait = service, maxWait
}

// MaxCallsPerSecond returns the maximum number of calls that an agent received within one second.
func (r *Registry) MaxCallsPerSecond(agent int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agents[agent].limit.maxCalls
}

// awaitTurn waits until the agent has processed a call. It reports false if it has rejected the call (and written the
// response), or if the request has ended.
func (a *agent) awaitTurn(ctx context.Context, w http.ResponseWriter) bool {
	a.registry.mu.Lock()
	wait, failure := a.limit.admit(time.Now())
	a.registry.mu.Unlock()
	switch failure {
	case Resetting:
		panic(http.ErrAbortHandler)
	case Rejecting:
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	case Answering, Silent: // calls received before the agent became silent are still answered
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

// admit counts a call and returns how long to wait before answering it, or the failure that it meets.
func (l *callLimit) admit(now time.Time) (wait time.Duration, failure Failure) {
	if now.Unix() != l.second {
		l.second, l.calls = now.Unix(), 0
	}
	l.calls++
	l.maxCalls = max(l.maxCalls, l.calls)
	if l.failure != Answering || l.serviceTime == 0 {
		return 0, l.failure
	}
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	wait = l.idleAt.Sub(now) + l.serviceTime
	if wait > l.maxWait {
		return 0, Rejecting
	}
	l.idleAt = l.idleAt.Add(l.serviceTime)
	return wait, Answering
}
