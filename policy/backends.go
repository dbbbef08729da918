package policy

import (
	"cmp"
	"slices"
	"time"
)

// BackendID identifies a backend. It is opaque.
type BackendID string

// Load holds the load values that a backend last reported, by name. Values that it
// did not report are absent.
type Load map[string]float64

// Backend is an entry of the endpoint list.
type Backend struct {
	ID      BackendID
	Zone    string
	Kind    string
	Cell    int
	State   BackendState
	Size    float64
	Started time.Duration // time of its last start on the instance's clock; 0: long ago
}

// BackendState is the state of a backend in the endpoint list.
type BackendState uint8

// Backend states. An unknown value is treated like Draining.
const (
	Draining BackendState = iota
	Running
	Removed
)

// backend is a Backend with its attempts in flight and the statistics that this
// instance has collected about it.
type backend struct {
	Backend

	outstanding []*attempt // attempts that have not ended, oldest first
	lastSent    time.Duration
	subsetHash  uint64 // result of hashForSubset
	unproven    bool   // its zone was lost, and the backend is not yet known to be back

	slowness            float64       // relative latency: this backend's latency divided by the mean
	slownessAt          time.Duration // when slowness was last updated
	peerSlowness        float64       // slowness reported by other instances; 0: none
	consecutiveFailures int
	ejectedUntil        time.Duration // used only as a last resort until then
	lastUntimelyRound   int           // last round of the window with an untimely end here

	sendPhase float64 // slow start: fraction of the interval between attempts to wait before the next one
}

// handleEndpointsChanged applies a new endpoint list or changes to the current one.
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
			b.State = Removed
		}
	}
	for _, entry := range event.Backends {
		e.updateBackend(entry)
	}
	e.responses.backends = e.countRespondingBackends() // of the previous list
	e.responses.backendsAt = e.now
	e.rebuildRunning()
	if first {
		e.window.size = e.windowShare()
		e.retryBudget = e.windowShare()
	}
	e.updateSubsetCount()
}

// updateBackend applies one entry of the endpoint list.
func (e *Engine) updateBackend(entry Backend) {
	b := e.backends[entry.ID]
	if b == nil {
		b = &backend{}
		e.backends[entry.ID] = b
	}
	if b.slowness == 0 || b.Started != entry.Started { // new or restarted: keep only the attempts in flight
		*b = backend{
			outstanding:       b.outstanding,
			unproven:          b.unproven,
			subsetHash:        e.hashForSubset(entry.ID),
			slowness:          1,
			slownessAt:        e.now,
			lastUntimelyRound: -1,
			sendPhase:         e.rng.Float64(),
		}
	}
	b.Backend = entry
}

// rebuildRunning rebuilds the list of running backends. It deletes removed backends
// without attempts in flight: new backends get new IDs, so the map would otherwise
// grow without bound.
func (e *Engine) rebuildRunning() {
	e.running = e.running[:0]
	for id, b := range e.backends {
		if b.State == Running {
			e.running = append(e.running, b)
		} else if b.State == Removed && len(b.outstanding) == 0 {
			delete(e.backends, id)
		}
	}
	slices.SortFunc(e.running, func(a, b *backend) int { return cmp.Compare(a.ID, b.ID) })
}
