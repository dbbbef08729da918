package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Rule 4: attempts to a backend in slow start are limited, even from an instance that
// has no statistics yet and while all backends are in slow start.
func TestSlowStartIsNotOverloaded(t *testing.T) {
	h := newHarness(t, testSettings())
	h.notify(EndpointsChanged{Complete: true, Backends: []Backend{{ID: "s", State: Running, Started: h.now}}})
	h.engine.window.size = 100
	sent := 0
	for i := range 300 { // 3 s at 100 requests per second, each rejected by the backend at once
		h.arrive(RequestID(i+1), "read", "free")
		for _, b := range h.engine.running {
			for len(b.outstanding) > 0 {
				sent++
				a := b.outstanding[0]
				id := h.requestOf(a)
				h.notify(AttemptEnded{ID: id, Attempt: a.index, Backend: "s", Outcome: Rejected})
			}
		}
		h.advance(10 * ms)
	}
	// A backend with a full capacity of 20 requests per second handles 4 now. Allow four times that for
	// 3 s, halved for two instances.
	if sent == 0 || sent > 24 {
		t.Fatalf("got %d sends to a backend in slow start in 3 s, want 1 to 24", sent)
	}
}

// requestOf returns the ID of the request whose last attempt is a, or of the newest
// request if there is none.
func (h *harness) requestOf(a *attempt) RequestID {
	open := h.engine.openRequests
	id := open[len(open)-1].ID
	for _, r := range open {
		if len(r.attempts) > 0 && r.attempts[len(r.attempts)-1] == a {
			id = r.ID
		}
	}
	return id
}

// As TestSlowStartIsNotOverloaded, for the first backend that returns after all others
// were removed: the response rate of the former fleet must not set its rate.
func TestFirstBackendBackIsNotOverloaded(t *testing.T) {
	const took = 60 * ms
	settings := testSettings()
	settings.Instances = 1
	settings.Classes[0].LatencyObjective = 400 * ms
	h := newHarness(t, settings, numberedBackends(20)...)
	type pendingEnd struct {
		event AttemptEnded
		at    time.Duration
	}
	var pending []pendingEnd
	id, toNew := RequestID(0), 0
	run := func(span time.Duration) {
		for end := h.now + span; h.now < end; h.now += 5 * ms {
			id++
			actions := append(h.arrive(id, "read", "free"), h.notify(TimerFired{})...)
			for len(pending) > 0 && pending[0].at <= h.now {
				event := pending[0].event
				pending = pending[1:]
				actions = append(actions, h.notify(event)...)
			}
			for _, s := range actionsOf[SendAttempt](actions) {
				if s.Backend == "x" { // it does not respond within the second
					toNew++
					continue
				}
				event := succeeded(s.ID, s.Backend, took)
				event.Attempt = len(h.engine.requests[s.ID].attempts) - 1
				pending = append(pending, pendingEnd{event, h.now + took})
			}
		}
	}
	run(3 * time.Second)
	pending = nil
	h.notify(EndpointsChanged{Complete: true, Backends: []Backend{{ID: "x", State: Running, Started: h.now}}})
	run(time.Second)
	// Each removed backend handled 200/20 = 10 requests per second. The new one has a fifth of that
	// capacity; allow four times as much.
	if toNew == 0 || toNew > 8 {
		t.Fatalf("got %d sends to a backend in slow start within a second, want 1 to 8", toNew)
	}
}

// At low load a restarted backend is used before the end of its slow start.
func TestBackendInSlowStartIsUsedAtLowLoad(t *testing.T) {
	h := newHarness(t, testSettings(), runningBackends("a", "b")...)
	h.notify(EndpointsChanged{Backends: []Backend{{ID: "b", State: Running, Started: h.now}}})
	used := false
	for id := range RequestID(500) { // one request at a time, so the other backend is always idle
		for _, s := range actionsOf[SendAttempt](h.arrive(id, "read", "free")) {
			used = used || s.Backend == "b"
			h.notify(succeeded(id, s.Backend, 5*ms))
		}
		h.advance(10 * ms)
	}
	if !used {
		t.Fatal("got no send to a backend in slow start for 5 s")
	}
}

// The low response rate of very slow backends says nothing about the capacity of the
// others, and must not reduce the rate for a backend in slow start.
func TestVerySlowBackendsDoNotLimitSlowStart(t *testing.T) {
	backends := append([]Backend{{ID: "new", State: Running, Started: time.Minute}},
		runningBackends("a", "b", "c", "d")...)
	h := newHarness(t, testSettings(), backends...)
	h.now += 8 * time.Second // the initial values have decayed
	h.advance(10 * ms)
	e := h.engine
	responsesPerBackend := func() float64 {
		e.responses.perBackendAt = 0 // not the cached result
		return e.responsesPerBackend()
	}
	e.responses.rate = 40
	e.responses.rateAt = e.now
	healthy := responsesPerBackend()
	for _, id := range []BackendID{"a", "b", "c"} {
		e.backends[id].slowness = 8
		e.backends[id].slownessAt = e.now
	}
	e.responses.rate = 14 // from one healthy backend and three very slow ones
	if slow := responsesPerBackend(); slow < 0.7*healthy {
		t.Fatalf("got %.1f responses per second per healthy backend with three slow ones, want 0.7 of %.1f or more",
			slow, healthy)
	}
}

// When a third of the backends return in slow start, eighty instances together use
// them without overloading any: no backend is avoided or preferred by all instances.
func TestSlowStartIsUsedByManyInstances(t *testing.T) {
	const instances, took = 80, 300 * ms
	rng := rand.New(rand.NewPCG(3, 4))
	returning := listBackends(60, time.Minute)[40:]
	settings := testSettings()
	settings.SlowStartShare = 0.25
	settings.SlowStartWindow = 18 * time.Second
	f := newFleet(t, instances, settings, listBackends(40, 0)...)
	type pendingEnd struct {
		instance *harness
		send     SendAttempt
		step     int
	}
	var pending []pendingEnd
	id, total, busiest := 0, 0, 0
	thisSecond := map[BackendID]int{}
	for step := range 1000 { // 10 s, 300 requests a second
		now := time.Minute + time.Duration(step)*10*ms
		if step == 200 {
			f.startBackends(now, returning)
		}
		if step%100 == 0 {
			clear(thisSecond)
		}
		for len(pending) > 0 && pending[0].step <= step {
			f.notify(pending[0].instance, succeeded(pending[0].send.ID, pending[0].send.Backend, took))
			pending = pending[1:]
		}
		for range 3 {
			h := f.instances[rng.IntN(instances)]
			h.now = now
			h.engine.window.size = 10
			id++
			for _, s := range f.arrive(h, id, "free") {
				pending = append(pending, pendingEnd{h, s, step + int(took/(10*ms))})
				if h.engine.backends[s.Backend].Started > 0 {
					thisSecond[s.Backend]++
					total++
					busiest = max(busiest, thisSecond[s.Backend])
				}
			}
		}
	}
	// A backend at full capacity can handle 8 a second and gets about 6. Allow four times a quarter of that 8.
	if total < 8*20/4 || busiest > 8 {
		t.Errorf("in slow start: got %d requests in 8 s, want 40 or more; got %d at one in a second, want 8 at most",
			total, busiest)
	}
}

// startBackends updates the endpoint list of all instances: the backends start now.
func (f *fleet) startBackends(now time.Duration, backends []Backend) {
	for _, h := range f.instances {
		h.now = now
		for i := range backends {
			backends[i].Started = now
		}
		f.notify(h, EndpointsChanged{Backends: backends})
	}
}
