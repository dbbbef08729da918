package policy

import (
	"testing"
	"time"
)

// fleet is a group of instances with the same backends and one shared counter.
type fleet struct {
	instances     []*harness
	counterTotals map[string]float64
	counterSilent bool // all counter calls time out
}

func newFleet(t *testing.T, n int, settings Settings, backends ...Backend) *fleet {
	t.Helper()
	f := &fleet{counterTotals: map[string]float64{}}
	for i := range n {
		settings.Index = i
		settings.Instances = n
		f.instances = append(f.instances, newSeededHarness(t, settings, uint64(i+1), backends...))
	}
	return f
}

// notify passes an event to one instance, replies to its counter calls, and returns
// the attempts sent.
func (f *fleet) notify(h *harness, event Event) []SendAttempt {
	actions := h.notify(event)
	sends := actionsOf[SendAttempt](actions)
	for _, call := range actionsOf[AddToCounter](actions) {
		reply := CounterReply{Name: call.Name, Outcome: TimedOut}
		if !f.counterSilent {
			f.counterTotals[call.Name] += call.Add
			reply.Outcome = Succeeded
			reply.Total = f.counterTotals[call.Name]
		}
		sends = append(sends, f.notify(h, reply)...)
	}
	return sends
}

// arrive delivers a safe request to an instance and returns the attempts sent.
func (f *fleet) arrive(h *harness, id int, plan string) []SendAttempt {
	q := h.request(RequestID(id), "read", plan)
	q.Spread = len(f.instances)
	return f.notify(h, Arrival{q})
}

// succeed ends the given attempts of an instance as served in time.
func (f *fleet) succeed(h *harness, sends []SendAttempt) {
	for _, s := range sends {
		f.notify(h, succeeded(s.ID, s.Backend, ms))
	}
}

// At one moment, all instances together send about a tenant's burst, whatever their
// number. Without the counter, their shares of the burst have the same sum.
func TestFirstBlocksOfAllInstancesSumToTheBurst(t *testing.T) {
	for _, n := range []int{1, 3, 100, 340} {
		for _, silent := range []bool{false, true} {
			if silent && n > maxSmallFleet {
				continue // a large fleet uses estimates: TestEstimatesOfAllInstancesAddUpToTheRate
			}
			f := newFleet(t, n, testSettings(), runningBackends("s", "u")...)
			f.counterSilent = silent
			sent := 0
			for i := range 2 * max(n, 20) { // each instance twice at one moment; a small fleet more often
				h := f.instances[i%n]
				sends := f.arrive(h, i, "small")
				sent += len(sends)
				f.succeed(h, sends)
			}
			limit := 2 * 8 // the burst is 8; the random phases of the shares may add to it
			if sent < 3 || sent > limit {
				t.Errorf("%d instances, counter silent %v: got %d sent at one moment, want 3 to %d",
					n, silent, sent, limit)
			}
		}
	}
}

// All instances together stay within the ceiling: with grants of the counter, with
// shares while the counter is silent, and across a restart of all instances.
func TestCeilingHoldsInTheSum(t *testing.T) {
	for _, n := range []int{1, 3, 20} { // a tenant with a ceiling uses at most CeilingBurst/2 instances
		for _, silent := range []bool{false, true} {
			f := newFleet(t, n, testSettings(), runningBackends("s", "u")...)
			f.counterSilent = silent
			sent := 0
			for step := range 300 { // 3 s; all instances restart halfway
				if step == 150 {
					f = f.restarted(t)
				}
				sent += f.runCappedStep(step)
			}
			if limit := 40 + 3*20 + 4; sent == 0 || sent > limit {
				t.Errorf("%d instances, counter silent %v: got %d sent in 3 s, want 1 to %d", n, silent, sent, limit)
			}
		}
	}
}

// runCappedStep simulates 10 ms in which each instance receives requests under a
// ceiling, and returns the number of attempts sent.
func (f *fleet) runCappedStep(step int) int {
	n := len(f.instances)
	requests := max(1, 20/n) * n
	sent := 0
	for i := range requests {
		h := f.instances[i%n]
		h.engine.window.size = 1000
		sends := f.arrive(h, step*requests+i+1, "capped")
		sent += len(sends)
		f.succeed(h, sends)
	}
	for _, h := range f.instances {
		h.now += 10 * ms
		sent += len(f.notify(h, TimerFired{}))
	}
	return sent
}

// restarted returns a fleet of new instances with the same clocks and counter.
func (f *fleet) restarted(t *testing.T) *fleet {
	t.Helper()
	fresh := newFleet(t, len(f.instances), testSettings(), runningBackends("s", "u")...)
	fresh.counterSilent = f.counterSilent
	fresh.counterTotals = f.counterTotals
	for i, h := range fresh.instances {
		h.now = f.instances[i].now
	}
	return fresh
}

// All instances together send a backend in slow start no more than it can handle,
// even if it is the only backend and all instances have just started.
func TestSlowStartHoldsInTheSum(t *testing.T) {
	for _, n := range []int{1, 3, 100, 340} {
		f := newFleet(t, n, testSettings())
		sent, id := 0, 0
		f.listStartingBackend("s")
		for range 30 { // 3 s
			for _, h := range f.instances {
				id++
				sends := f.arrive(h, id, "free")
				for range 10 {
					h.now += 10 * ms
					sends = append(sends, f.notify(h, TimerFired{})...)
				}
				for _, s := range sends {
					sent++
					f.notify(h, AttemptEnded{ID: s.ID, Outcome: Rejected})
				}
			}
		}
		// A backend with a full capacity of 20 requests per second handles 4 now. Allow four times that for 3 s.
		if n >= 3 && sent == 0 || sent > 48 {
			t.Errorf("%d instances: got %d sent to a backend in slow start in 3 s, want 48 at most", n, sent)
		}
	}
}

// listStartingBackend gives all instances an endpoint list with a single backend that
// starts now.
func (f *fleet) listStartingBackend(id BackendID) {
	for _, h := range f.instances {
		list := []Backend{{ID: id, State: Running, Started: h.now}}
		f.notify(h, EndpointsChanged{Complete: true, Backends: list})
	}
}

// If there are more instances than a tenant's limit of attempts in flight, and the
// plan charges for exceeding it, the instances take turns.
func TestInFlightLimitHoldsInTheSum(t *testing.T) {
	settings := testSettings()
	limited := Plan{Name: "limited", Price: 1, Rate: 100, Burst: 400, MaxInFlight: 3, ExcessCost: 0.6}
	settings.Plans = append(settings.Plans, limited)
	for _, n := range []int{1, 3, 8, 20} {
		f := newFleet(t, n, settings, runningBackends("s", "u")...)
		for moment := range 20 {
			sum := 0
			for _, h := range f.instances {
				h.now = time.Minute + time.Duration(moment)*37*ms
				h.engine.window.size = 100
				own := &tenant{plan: h.engine.plans[limited.Name], spread: n, position: h.engine.settings.Index}
				sum += max(0, h.engine.inFlightLimit(own))
			}
			if sum != 3 {
				t.Fatalf("%d instances: got %d allowed in flight in all, want 3", n, sum)
			}
		}
		sent := 0
		for i := range 3 * n {
			sent += len(f.arrive(f.instances[i%n], i, limited.Name))
		}
		if n > 1 && sent != 3 {
			t.Errorf("%d instances: got %d sent at one moment, want 3", n, sent)
		}
	}
}

// Unusual values of Spread and First are handled without a panic.
func TestUnusualSpreadsAndFleetsAreDecided(t *testing.T) {
	settings := testSettings()
	settings.Instances = 100
	for _, set := range []struct{ spread, first int }{{0, 0}, {5000, 0}, {3, 70}, {3, 4000}, {2, -7}} {
		h := newHarness(t, settings)
		q := h.request(1, "read", "small")
		q.GiveUpAt = h.now + time.Second
		q.Spread = set.spread
		q.First = set.first
		for _, call := range actionsOf[AddToCounter](h.notify(Arrival{q})) {
			h.notify(CounterReply{Name: call.Name, Outcome: Succeeded, Total: call.Add})
		}
		actions := h.notify(EndpointsChanged{Backends: numberedBackends(100)})
		if got := actionsOf[SendAttempt](append(actions, h.advance(20*ms)...)); len(got) != 1 {
			t.Errorf("spread %d, first %d: got sends %v, want one after the listing", set.spread, set.first, got)
		}
	}
}
