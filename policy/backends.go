package policy

import (
	"cmp"
	"slices"
	"time"
)

// BackendID names a backend; nothing but identity can be read from it.
type BackendID string

// Load is what a backend last reported of itself; absent values are not in it.
type Load map[string]float64

// Backend is an entry of the endpoint list.
type Backend struct {
	ID      BackendID
	Zone    string
	Kind    string
	Cell    int
	State   BackendState
	Size    float64
	Started time.Duration // clock time of its last start; 0: long ago
}

// BackendState is what the endpoint list says of a backend.
type BackendState uint8

// States; an unknown one counts as Draining.
const (
	Draining BackendState = iota
	Running
	Gone
)

// backend is a Backend with what this instance has sent there and learned of it.
type backend struct {
	Backend

	outstanding []*attempt // not ended, oldest first
	lastSent    time.Duration
	subsetHash  uint64 // of hashForSubset
	unproven    bool   // of a zone that was lost, and not known to be back itself

	slowness            float64       // latency relative to the mean, by this backend's answers
	slownessAt          time.Duration // when slowness was last updated
	peerSlowness        float64       // the same by what other instances say; 0: nothing
	consecutiveFailures int
	ejectedUntil        time.Duration // a last resort until then
	untimelyRound       int           // last round of the window with an untimely end

	sendPhase float64 // slow start: part of the space between two sends that the next one waits
}

// handleEndpointsChanged takes over the endpoint list or changes to it.
func (e *Engine) handleEndpointsChanged(event EndpointsChanged) {
	if event.Failed {
		e.watchingEndpoints = false
		return
	}
	first := len(e.running) == 0
	if e.largeFleet {
		e.refillSlowStartTokens()
	}
	if event.Complete {
		for _, b := range e.running {
			b.State = Gone
		}
	}
	for _, entry := range event.Backends {
		e.updateBackend(entry)
	}
	e.answers.backends = e.countAnsweringBackends() // of the list before
	e.answers.backendsAt = e.now
	e.rebuildRunning()
	if first {
		e.window.size = e.windowShare()
		e.retryBudget = e.windowShare()
	}
	e.updateSubsetCount()
}

// updateBackend takes over one entry of the endpoint list.
func (e *Engine) updateBackend(entry Backend) {
	b := e.backends[entry.ID]
	if b == nil {
		b = &backend{}
		e.backends[entry.ID] = b
	}
	if b.slowness == 0 || b.Started != entry.Started { // new or restarted: only what is still out stays
		*b = backend{
			outstanding:   b.outstanding,
			unproven:      b.unproven,
			subsetHash:    e.hashForSubset(entry.ID),
			slowness:      1,
			slownessAt:    e.now,
			untimelyRound: -1,
			sendPhase:     e.rng.Float64(),
		}
	}
	b.Backend = entry
}

// rebuildRunning lists the backends that serve, and forgets those that are gone
// with nothing out there: backends come under ever new IDs.
func (e *Engine) rebuildRunning() {
	e.running = e.running[:0]
	for id, b := range e.backends {
		if b.State == Running {
			e.running = append(e.running, b)
		} else if b.State == Gone && len(b.outstanding) == 0 {
			delete(e.backends, id)
		}
	}
	slices.SortFunc(e.running, func(a, b *backend) int { return cmp.Compare(a.ID, b.ID) })
}
