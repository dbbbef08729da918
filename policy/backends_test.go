package policy

import (
	"testing"
	"time"
)

// A restarted backend keeps its attempts in flight, and these can end normally.
func TestRestartedBackendKeepsItsOutstandingAttempts(t *testing.T) {
	h := newHarness(t, testSettings(), runningBackends("s")...)
	h.arrive(1, "read", "free")
	h.arrive(2, "read", "free")
	before := len(h.engine.backends["s"].outstanding)
	h.notify(EndpointsChanged{Backends: []Backend{{ID: "s", State: Running, Started: h.now}}})
	if now := len(h.engine.backends["s"].outstanding); now != before || before == 0 {
		t.Fatalf("got %d attempts in flight before the restart, %d after; want the same number, above 0", before, now)
	}
	h.notify(AttemptEnded{ID: 1, Backend: "s", Outcome: Reset})
	h.notify(AttemptEnded{ID: 2, Backend: "s", Outcome: Reset})
	h.advance(time.Second)
	for _, a := range h.engine.backends["s"].outstanding {
		if a == nil || a.ended {
			t.Fatalf("got attempt %v among the outstanding ones, want only attempts that have not ended", a)
		}
	}
}

// New backends get new IDs, so a removed backend must be deleted once it has no
// attempts in flight; otherwise the map grows without bound.
func TestRemovedBackendIsForgotten(t *testing.T) {
	h := newHarness(t, testSettings(), runningBackends("s")...)
	h.arrive(1, "read", "free")
	h.notify(EndpointsChanged{Backends: []Backend{{ID: "s", State: Removed}, {ID: "u", State: Running}}})
	if len(h.engine.backends) != 2 {
		t.Fatal("the removed backend was deleted while an attempt was in flight")
	}
	h.notify(succeeded(1, "s", ms))
	h.notify(EndpointsChanged{Backends: runningBackends("v")})
	if h.engine.backends["s"] != nil || len(h.engine.running) != 2 {
		t.Fatalf("got backends %v, running %v; want s deleted and two running", h.engine.backends, h.engine.running)
	}
}

// Rule 3: no new attempts are sent to a draining or removed backend.
func TestNothingIsSentToADrainingBackend(t *testing.T) {
	for _, state := range []BackendState{Draining, Removed, BackendState(9)} {
		h := newHarness(t, testSettings(), runningBackends("s", "u")...)
		h.notify(EndpointsChanged{Backends: []Backend{{ID: "s", State: state}}})
		for id := RequestID(1); id < 20; id++ {
			for _, a := range actionsOf[SendAttempt](h.arrive(id, "read", "free")) {
				if a.Backend == "s" {
					t.Fatalf("state %v: got an attempt to the backend, want none", state)
				}
			}
			h.notify(succeeded(id, "u", 5*ms))
		}
	}
	h := newHarness(t, testSettings(), runningBackends("s", "u")...)
	h.notify(EndpointsChanged{Complete: true, Backends: runningBackends("u")})
	if len(h.engine.running) != 1 {
		t.Fatalf("got %d backends running, want 1: one missing from a complete list is removed", len(h.engine.running))
	}
}

// Unusual endpoint lists are handled: with an empty list every request is rejected,
// of two entries with the same ID the last one applies, and a start time in the
// future counts as now.
func TestUnusualEndpointListsAreDecided(t *testing.T) {
	for _, n := range []int{1, 3, 80, 5000} {
		settings := testSettings()
		settings.Instances = n
		h := newHarness(t, settings)
		if got := h.arrive(1, "read", "free"); len(actionsOf[SendAttempt](got)) > 0 {
			t.Errorf("%d instances: got %v with no backend listed, want no send", n, got)
		}
		if got := h.advance(3 * time.Second); len(actionsOf[Reject](got)) != 1 {
			t.Errorf("%d instances: got %v, want one rejection", n, got)
		}
		twice := []Backend{{ID: "s", State: Running}, {ID: "s", State: Draining}}
		h.notify(EndpointsChanged{Complete: true, Backends: twice})
		if len(h.engine.running) != 0 {
			t.Errorf("%d instances: got a backend running, want none: the draining entry is the last one", n)
		}
		future := []Backend{{ID: "u", State: Running, Started: h.now + time.Hour}}
		h.notify(EndpointsChanged{Complete: true, Backends: future})
		if got := h.engine.capacityShare(h.engine.running[0]); got != settings.SlowStartShare {
			t.Errorf("%d instances: got capacity share %v before the start, want %v", n, got, settings.SlowStartShare)
		}
		h.arrive(2, "read", "free")
		h.advance(time.Second)
		h.notify(EndpointsChanged{Complete: true})
		if len(h.engine.running) != 0 {
			t.Errorf("%d instances: got %d backends running after an empty list, want none", n, len(h.engine.running))
		}
	}
}
