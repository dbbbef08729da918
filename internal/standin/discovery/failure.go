package discovery

import "net/http"

// Failure is a way in which an agent fails.
type Failure int

const (
	// Answering agents do not fail.
	Answering Failure = iota
	// Silent agents answer nothing; their open watches write nothing more, for good.
	Silent
	// Resetting agents break open watches, and each connection on which a call comes.
	Resetting
	// TurningAway agents break open watches and answer each call with 503.
	TurningAway
)

// String returns the failure's name.
func (f Failure) String() string {
	switch f {
	case Answering:
		return "answering"
	case Silent:
		return "silent"
	case Resetting:
		return "resetting"
	case TurningAway:
		return "rejecting"
	default:
		return "unknown"
	}
}

// Fail makes an agent fail, or answer again.
func (r *Registry) Fail(agent int, failure Failure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.agents[agent]
	a.limit.failure = failure
	a.mute = failure == Silent
	a.wakeWatches()
}

// Mute makes an agent silent, or ends that.
func (r *Registry) Mute(agent int, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agents[agent].mute = on
}

// muted reports whether the agent is silent.
func (a *agent) muted() bool {
	a.registry.mu.Lock()
	defer a.registry.mu.Unlock()
	return a.mute
}

// abortIfFailing ends a call by a reset of its connection, if the agent's failure breaks watches.
func (a *agent) abortIfFailing() {
	a.registry.mu.Lock()
	failure := a.limit.failure
	a.registry.mu.Unlock()
	if failure == Resetting || failure == TurningAway {
		panic(http.ErrAbortHandler)
	}
}
