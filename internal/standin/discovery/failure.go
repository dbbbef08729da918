package discovery

import "net/http"

// Failure is a failure mode of an agent.
type Failure int

const (
	// Answering means that the agent works normally.
	Answering Failure = iota
	// Silent means that the agent answers no requests. Open watches stay silent even after it recovers.
	Silent
	// Resetting means that the agent aborts open watches, and the connection of each new request.
	Resetting
	// Rejecting means that the agent aborts open watches and answers each new request with 503.
	Rejecting
)

// String returns the name of the failure mode.
func (f Failure) String() string {
	switch f {
	case Answering:
		return "answering"
	case Silent:
		return "silent"
	case Resetting:
		return "resetting"
	case Rejecting:
		return "rejecting"
	default:
		return "unknown"
	}
}

// Fail sets the failure mode of an agent; Answering ends a failure.
func (r *Registry) Fail(agent int, failure Failure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.agents[agent]
	a.limit.failure = failure
	a.silent = failure == Silent
	a.wakeWatches()
}

// SetSilent sets whether an agent is silent.
func (r *Registry) SetSilent(agent int, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agents[agent].silent = on
}

// isSilent reports whether the agent is silent.
func (a *agent) isSilent() bool {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	return a.silent
}

// abortIfFailing aborts the request and its connection if the agent's failure mode aborts watches.
func (a *agent) abortIfFailing() {
	a.registry.mu.Lock()
	failure := a.limit.failure
	a.registry.mu.Unlock()
	if failure == Resetting || failure == Rejecting {
		panic(http.ErrAbortHandler)
	}
}
