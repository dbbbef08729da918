package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// listBackends returns n running backends, spread over three zones.
func listBackends(n int, started time.Duration) []Backend {
	var backends []Backend
	for i := range n {
		backends = append(backends, Backend{
			ID:      BackendID(fmt.Sprintf("s-%08x", i*2654435761)),
			State:   Running,
			Zone:    string(rune('a' + i%3)),
			Started: started,
		})
	}
	return backends
}

// Without the counter, the estimates of sixty instances add up: most requests of a
// tenant with little demand are admitted, and of a tenant that demands five times its
// rate about the rate, although each instance sees only one request in several seconds.
func TestEstimatesOfAllInstancesAddUpToTheRate(t *testing.T) {
	const instances, rate, seconds = 60, 2.0, 60
	for _, use := range []float64{0.4, 5} {
		rng := rand.New(rand.NewPCG(1, uint64(use*10)))
		f := newFleet(t, instances, testSettings(), listBackends(6, 0)...)
		f.counterSilent = true
		requests, sent := 0, 0
		for step := range seconds * 100 {
			if rng.Float64() < use*rate/100 {
				requests++
				h := f.instances[rng.IntN(instances)]
				h.now = time.Minute + time.Duration(step)*10*ms
				sends := f.arrive(h, requests, "small")
				sent += len(sends)
				f.succeed(h, sends)
			}
		}
		switch {
		case use < 1 && sent < requests*3/4:
			t.Errorf("%v of its rate: got %d of %d sent, want three in four", use, sent, requests)
		case use > 1 && float64(sent) > 3.5*rate*seconds:
			t.Errorf("%v times its rate: got %d of %d sent, its rate is %v in %d s", use, sent, requests, rate, seconds)
		case use > 1 && float64(sent) < 0.7*rate*seconds:
			t.Errorf("%v times its rate: got only %d sent, its rate is %v in %d s", use, sent, rate, seconds)
		}
	}
}

// A counter that cannot answer all calls is called for a sample of the requests. The
// units added are scaled up to represent all requests.
func TestCountedSampleStandsForTheRest(t *testing.T) {
	const requests = 2000
	settings := testSettings()
	settings.Instances = 80
	h := newHarness(t, settings, listBackends(6, 0)...)
	calls, added := 0, 0.0
	for i := range requests {
		h.engine.counterCallShare = 0.5
		h.now += 10 * ms
		q := h.request(RequestID(i), "read", "small")
		q.Tenant = fmt.Sprint("c", i)
		q.GiveUpAt = h.now + time.Second
		q.Spread = 60
		for _, call := range actionsOf[AddToCounter](h.notify(Arrival{q})) {
			calls++
			added += call.Add
		}
	}
	if calls < requests*4/10 || calls > requests*6/10 {
		t.Errorf("got %d calls for %d requests, want about half", calls, requests)
	}
	if added < requests*0.8 || added > requests*1.2 {
		t.Errorf("got %.0f units added, want about %d", added, requests)
	}
}

// Each backend is preferred by the same number of instances. Each instance prefers
// some backends, and keeps preferring them when others are removed.
func TestSubsetsAreSpreadEvenly(t *testing.T) {
	const instances = 80
	preferring := map[BackendID]int{}
	for index := range instances {
		settings := testSettings()
		settings.Index = index
		settings.Instances = instances
		engine, err := New(settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		backends := listBackends(60, 0)
		engine.Handle(0, EndpointsChanged{Complete: true, Backends: backends}, nil)
		before := subsetOf(engine)
		for id := range before {
			preferring[id]++
		}
		if len(before) < 4 || len(before) > 30 {
			t.Errorf("instance %d: got %d backends of 60 preferred, want 4 to 30", index, len(before))
		}
		engine.Handle(1, EndpointsChanged{Complete: true, Backends: backends[:30]}, nil)
		after := subsetOf(engine)
		for _, b := range engine.running {
			if before[b.ID] && !after[b.ID] {
				t.Errorf("instance %d: backend %s is no longer preferred, although it was not removed", index, b.ID)
			}
		}
	}
	for id, n := range preferring {
		if n != 20 {
			t.Errorf("%s: got %d instances of %d that prefer it, want 20", id, n, instances)
		}
	}
	if len(preferring) != 60 {
		t.Errorf("got %d backends preferred by at least one instance, want 60", len(preferring))
	}
}

// subsetOf returns the backends that the engine's instance prefers.
func subsetOf(engine *Engine) map[BackendID]bool {
	subset := map[BackendID]bool{}
	for _, b := range engine.running {
		if engine.inSubset(b) {
			subset[b.ID] = true
		}
	}
	return subset
}
