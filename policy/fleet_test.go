package policy

import (
	"testing"
	"time"
)

// fleet is many instances with the same backends and one counter.
type fleet struct {
	instances     []*harness
	counterTotals map[string]float64
	counterSilent bool // the counter answers nothing
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

// notify gives one instance an event, answers its counter calls, and returns what
// it sent.
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

// arrive brings one safe request to an instance.
func (f *fleet) arrive(h *harness, id int, plan string) []SendAttempt {
	q := h.request(RequestID(id), "read", plan)
	q.Spread = len(f.instances)
	return f.notify(h, Arrival{q})
}

// succeed ends the attempts that an instance has sent, in time.
func (f *fleet) succeed(h *harness, sends []SendAttempt) {
	for _, s := range sends {
		f.notify(h, succeeded(s.ID, s.Backend, ms))
	}
}

// What all instances send for a tenant within a window is its burst, however many
// they are, and with the counter silent the shares of a few.
func TestFirstBlocksOfAllInstancesSumToTheBurst(t *testing.T) {
	for _, n := range []int{1, 3, 100, 340} {
		for _, silent := range []bool{false, true} {
			if silent && n > maxSmallFleet {
				continue // they estimate: TestEstimatesAddUpToTheRate
			}
			f := newFleet(t, n, testSettings(), runningBackends("s", "u")...)
			f.counterSilent = silent
			sent := 0
			for i := range 2 * max(n, 20) { // each twice at one moment, the few more often
				h := f.instances[i%n]
				sends := f.arrive(h, i, "small")
				sent += len(sends)
				f.succeed(h, sends)
			}
			limit := 2 * 8 // the burst is 8; the random phases of the shares add some chance
			if sent < 3 || sent > limit {
				t.Errorf("%d instances, counter silent %v: got %d sent at one moment, want 3 to %d",
					n, silent, sent, limit)
			}
		}
	}
}

// The ceiling holds in the sum, by the counter's grants, by the shares while it is
// silent, and over a restart of all instances.
func TestCeilingHoldsInTheSum(t *testing.T) {
	for _, n := range []int{1, 3, 20} { // a tenant with a ceiling comes through no more instances than half its burst
		for _, silent := range []bool{false, true} {
			f := newFleet(t, n, testSettings(), runningBackends("s", "u")...)
			f.counterSilent = silent
			sent := 0
			for step := range 300 { // 3 s, all restarted in the middle
				if step == 150 {
					f = f.restarted(t)
				}
				sent += f.playCapped(step)
			}
			if limit := 40 + 3*20 + 4; sent == 0 || sent > limit {
				t.Errorf("%d instances, counter silent %v: got %d sent in 3 s, want 1 to %d", n, silent, sent, limit)
			}
		}
	}
}

// playCapped plays 10 ms in which each instance gets requests under a ceiling, and
// returns how many attempts were sent.
func (f *fleet) playCapped(step int) int {
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

// restarted returns new instances in place of all, with the same clocks and counter.
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

// A backend in slow start gets in the sum what it can take, also where it is the
// only one and all instances have just started.
func TestSlowStartHoldsInTheSum(t *testing.T) {
	for _, n := range []int{1, 3, 100, 340} {
		f := newFleet(t, n, testSettings())
		sent, id := 0, 0
		f.listStarted("s")
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
		// A backend that does 20 a second at full capacity does 4 now; four times that for 3 s is 48.
		if n >= 3 && sent == 0 || sent > 48 {
			t.Errorf("%d instances: got %d sent to a backend in slow start in 3 s, want 48 at most", n, sent)
		}
	}
}

// listStarted has all instances see one backend alone, started now.
func (f *fleet) listStarted(id BackendID) {
	for _, h := range f.instances {
		list := []Backend{{ID: id, State: Running, Started: h.now}}
		f.notify(h, EndpointsChanged{Complete: true, Backends: list})
	}
}

// Where instances outnumber the attempts that a tenant may have out and going
// beyond that costs, they take turns.
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

// Unusual spreads and fleets are decided with, and cause no panic.
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
		if got := actionsOf[SendAttempt](append(actions, h.pass(20*ms)...)); len(got) != 1 {
			t.Errorf("spread %d, first %d: got sends %v, want one once there are backends", set.spread, set.first, got)
		}
	}
}
