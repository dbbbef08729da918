package policy

import (
	"testing"
	"time"
)

// A backend that restarts keeps what is still out there, and survives the end of
// that.
func TestRestartedBackendKeepsItsOutstandingAttempts(t *testing.T) {
	h := newHarness(t, testSettings(), runningBackends("s")...)
	h.arrive(1, "read", "free")
	h.arrive(2, "read", "free")
	before := len(h.engine.backends["s"].outstanding)
	h.notify(EndpointsChanged{Backends: []Backend{{ID: "s", State: Running, Started: h.now}}})
	if now := len(h.engine.backends["s"].outstanding); now != before || before == 0 {
		t.Fatalf("%d attempts out before the restart, %d after", before, now)
	}
	h.notify(AttemptEnded{ID: 1, Backend: "s", Outcome: Reset})
	h.notify(AttemptEnded{ID: 2, Backend: "s", Outcome: Reset})
	h.pass(time.Second)
	for _, a := range h.engine.backends["s"].outstanding {
		if a == nil || a.ended {
			t.Fatalf("got attempt %v among those that are out", a)
		}
	}
}

// Backends come under ever new IDs: one that is gone is forgotten once nothing is
// out there.
func TestRemovedBackendIsForgotten(t *testing.T) {
	h := newHarness(t, testSettings(), runningBackends("s")...)
	h.arrive(1, "read", "free")
	h.notify(EndpointsChanged{Backends: []Backend{{ID: "s", State: Gone}, {ID: "u", State: Running}}})
	if len(h.engine.backends) != 2 {
		t.Fatal("forgotten while an attempt is out")
	}
	h.notify(succeeded(1, "s", ms))
	h.notify(EndpointsChanged{Backends: runningBackends("v")})
	if h.engine.backends["s"] != nil || len(h.engine.running) != 2 {
		t.Fatalf("got backends %v, running %v; want s forgotten and two running", h.engine.backends, h.engine.running)
	}
}

// Rule 3: nothing new is sent to a backend that drains or is gone.
func TestNothingIsSentToADrainingBackend(t *testing.T) {
	for _, state := range []BackendState{Draining, Gone, BackendState(9)} {
		h := newHarness(t, testSettings(), runningBackends("s", "u")...)
		h.notify(EndpointsChanged{Backends: []Backend{{ID: "s", State: state}}})
		for id := RequestID(1); id < 20; id++ {
			for _, a := range actionsOf[SendAttempt](h.arrive(id, "read", "free")) {
				if a.Backend == "s" {
					t.Fatalf("state %v: got a send to it, want none", state)
				}
			}
			h.notify(succeeded(id, "u", 5*ms))
		}
	}
	h := newHarness(t, testSettings(), runningBackends("s", "u")...)
	h.notify(EndpointsChanged{Complete: true, Backends: runningBackends("u")})
	if len(h.engine.running) != 1 {
		t.Fatalf("got %d backends running, want 1: one that is not in a complete list is gone", len(h.engine.running))
	}
}

// An endpoint list that is empty, holds an ID twice or has a start in the future
// is decided with: with no backend everything is rejected, of two entries the last
// holds, and a start that is to come counts as now.
func TestUnusualEndpointListsAreDecided(t *testing.T) {
	for _, n := range []int{1, 3, 80, 5000} {
		settings := testSettings()
		settings.Instances = n
		h := newHarness(t, settings)
		if got := h.arrive(1, "read", "free"); len(actionsOf[SendAttempt](got)) > 0 {
			t.Errorf("%d instances: got %v with no backend listed, want no send", n, got)
		}
		if got := h.pass(3 * time.Second); len(actionsOf[Reject](got)) != 1 {
			t.Errorf("%d instances: got %v, want one rejection", n, got)
		}
		twice := []Backend{{ID: "s", State: Running}, {ID: "s", State: Draining}}
		h.notify(EndpointsChanged{Complete: true, Backends: twice})
		if len(h.engine.running) != 0 {
			t.Errorf("%d instances: got a backend running, want none: the entry that drains came last", n)
		}
		future := []Backend{{ID: "u", State: Running, Started: h.now + time.Hour}}
		h.notify(EndpointsChanged{Complete: true, Backends: future})
		if got := h.engine.capacityShare(h.engine.running[0]); got != settings.SlowStartShare {
			t.Errorf("%d instances: got capacity share %v before the start, want %v", n, got, settings.SlowStartShare)
		}
		h.arrive(2, "read", "free")
		h.pass(time.Second)
		h.notify(EndpointsChanged{Complete: true})
		if len(h.engine.running) != 0 {
			t.Errorf("%d instances: got %d backends running after an empty list, want none", n, len(h.engine.running))
		}
	}
}
