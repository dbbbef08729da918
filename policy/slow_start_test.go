package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Rule 4: a backend in slow start gets one attempt at a time at first, also from an
// instance that knows nothing, and where all backends are in slow start.
func TestSlowStartIsNotOverloaded(t *testing.T) {
	h := newHarness(t, testSettings())
	h.notify(EndpointsChanged{Complete: true, Backends: []Backend{{ID: "s", State: Running, Started: h.now}}})
	h.engine.window.size = 100
	sent := 0
	for i := range 300 { // three seconds of a hundred requests a second, each rejected by the backend at once
		h.arrive(RequestID(i+1), "read", "free")
		for _, b := range h.engine.running {
			for len(b.outstanding) > 0 {
				sent++
				a := b.outstanding[0]
				id := h.requestOf(a)
				h.notify(AttemptEnded{ID: id, Attempt: a.index, Backend: "s", Outcome: Rejected})
			}
		}
		h.pass(10 * ms)
	}
	// A backend that does 20 a second at full capacity does 4 now; 4 times that for 3 s, halved for two
	// instances, is 24.
	if sent == 0 || sent > 24 {
		t.Fatalf("got %d sends to a backend in slow start in 3 s, want 1 to 24", sent)
	}
}

// requestOf returns the request whose last attempt is a, or the newest request.
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

// The same where it is the first to come back after all others have gone: what the
// whole fleet answered is no measure of it.
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
	play := func(span time.Duration) {
		for end := h.now + span; h.now < end; h.now += 5 * ms {
			id++
			actions := append(h.arrive(id, "read", "free"), h.notify(TimerFired{})...)
			for len(pending) > 0 && pending[0].at <= h.now {
				event := pending[0].event
				pending = pending[1:]
				actions = append(actions, h.notify(event)...)
			}
			for _, s := range actionsOf[SendAttempt](actions) {
				if s.Backend == "x" { // it answers none of them within the second
					toNew++
					continue
				}
				event := succeeded(s.ID, s.Backend, took)
				event.Attempt = len(h.engine.requests[s.ID].attempts) - 1
				pending = append(pending, pendingEnd{event, h.now + took})
			}
		}
	}
	play(3 * time.Second)
	pending = nil
	h.notify(EndpointsChanged{Complete: true, Backends: []Backend{{ID: "x", State: Running, Started: h.now}}})
	play(time.Second)
	// Each of the others answered 200/20 = 10 a second; this one has a fifth of that, and may be sent four
	// times as much.
	if toNew == 0 || toNew > 8 {
		t.Fatalf("got %d sends to a backend in slow start within a second, want 1 to 8", toNew)
	}
}

// At low load a backend that comes back is used before the end of its slow start.
func TestSlowStartHasItsTurn(t *testing.T) {
	h := newHarness(t, testSettings(), runningBackends("a", "b")...)
	h.notify(EndpointsChanged{Backends: []Backend{{ID: "b", State: Running, Started: h.now}}})
	used := false
	for id := range RequestID(500) { // one at a time: the other backend is always free
		for _, s := range actionsOf[SendAttempt](h.arrive(id, "read", "free")) {
			used = used || s.Backend == "b"
			h.notify(succeeded(id, s.Backend, 5*ms))
		}
		h.pass(10 * ms)
	}
	if !used {
		t.Fatal("got no send to a backend in slow start for 5 s")
	}
}

// A backend that crawls answers little, and that says nothing of what the others
// can do: it does not hold back one in slow start.
func TestCrawlingBackendsDoNotHoldBackSlowStart(t *testing.T) {
	backends := append([]Backend{{ID: "new", State: Running, Started: time.Minute}},
		runningBackends("a", "b", "c", "d")...)
	h := newHarness(t, testSettings(), backends...)
	h.now += 8 * time.Second // the start has faded
	h.pass(10 * ms)
	e := h.engine
	answersPerBackend := func() float64 {
		e.answers.perBackendAt = 0 // not the cached result
		return e.answersPerBackend()
	}
	e.answers.rate = 40
	e.answers.rateAt = e.now
	healthy := answersPerBackend()
	for _, id := range []BackendID{"a", "b", "c"} {
		e.backends[id].slowness = 8
		e.backends[id].slownessAt = e.now
	}
	e.answers.rate = 14 // of one healthy backend and three that crawl
	if crawling := answersPerBackend(); crawling < 0.7*healthy {
		t.Fatalf("got %.1f answers a second of a healthy backend while three of four crawl, want 0.7 of %.1f or more",
			crawling, healthy)
	}
}

// Where a third of the fleet comes back in slow start, eighty instances together
// use it and overload none: a backend is neither avoided nor preferred by all.
func TestSlowStartIsUsedByManyInstances(t *testing.T) {
	const instances, took = 80, 300 * ms
	chance := rand.New(rand.NewPCG(3, 4))
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
			h := f.instances[chance.IntN(instances)]
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
	// One at full capacity gets some 6 a second of what it can take, 8; four times a quarter of that is 8.
	if total < 8*20/4 || busiest > 8 {
		t.Errorf("in slow start: got %d requests in 8 s, want 40 or more; got %d at one in a second, want 8 at most",
			total, busiest)
	}
}

// startBackends has all instances see the backends start now.
func (f *fleet) startBackends(now time.Duration, backends []Backend) {
	for _, h := range f.instances {
		h.now = now
		for i := range backends {
			backends[i].Started = now
		}
		f.notify(h, EndpointsChanged{Backends: backends})
	}
}
