package policy

import (
	"fmt"
	"testing"
	"time"
)

// crowd is many gateways over one fleet and one counter, driven by one table of events.
type fleet struct {
	instances     []*rig
	counterTotals map[string]float64
	counterSilent bool // the counter answers nothing
}

func newFleet(t *testing.T, n int, set Settings, servers ...Backend) *fleet {
	t.Helper()
	c := &fleet{counterTotals: map[string]float64{}}
	for i := range n {
		set.Index, set.Instances = i, n
		g, err := New(set, uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{T: t, engine: g, now: time.Minute}
		r.notify(EndpointsChanged{Complete: true, Backends: servers})
		c.instances = append(c.instances, r)
	}
	return c
}

// tell gives one gateway an event, answers its calls, and returns what it sent.
func (f *fleet) notify(r *rig, ev Event) []SendAttempt {
	acts := r.notify(ev)
	sends := actionsOf[SendAttempt](acts)
	for _, call := range actionsOf[AddToCounter](acts) {
		reply := CounterReply{Name: call.Name, Outcome: TimedOut}
		if !f.counterSilent {
			f.counterTotals[call.Name] += call.Add
			reply.Outcome, reply.Total = Succeeded, f.counterTotals[call.Name]
		}
		sends = append(sends, f.notify(r, reply)...)
	}
	return sends
}

// arrive brings one request to a gateway.
func (f *fleet) arrive(r *rig, id int, class, plan string) []SendAttempt {
	return f.notify(r, Arrival{Request{
		ID: RequestID(id), Class: class, Plan: plan, Tenant: "c", Units: 1,
		GiveUpAt: r.now + 2*time.Second, Spread: len(f.instances),
	}})
}

// What all gateways send on for a customer within a window is its burst, however many the gateways are, and with
// the counter silent the fair shares of a few.
func TestFirstSightsOfAllGatewaysSumToTheBurst(t *testing.T) {
	for _, n := range []int{1, 3, 100, 340} {
		for _, silent := range []bool{false, true} {
			if silent && n > maxSmallFleet {
				continue // they guess: TestGuessesAddUpToTheRate
			}
			c := newFleet(t, n, settings(), Backend{ID: "s", State: Running}, Backend{ID: "u", State: Running})
			c.counterSilent = silent
			sent := 0
			for i := range 2 * max(n, 20) { // everyone twice at one moment, the few more often
				r := c.instances[i%n]
				for _, s := range c.arrive(r, i, "read", "small") {
					sent++
					c.notify(r, AttemptEnded{ID: s.ID, Outcome: Succeeded, Took: ms, Finished: true})
				}
			}
			most := 2 * 8 // the burst is 8; the random phases of the fair shares add some chance
			if sent < 3 || sent > most {
				t.Errorf("%d gateways, counter silent %v: %d sent at one moment, the burst is 8", n, silent, sent)
			}
		}
	}
}

// The ceiling holds in the sum, by the counter's grants, by the shares while it is silent, and over a restart of all.
func TestCeilingHoldsInTheSum(t *testing.T) {
	for _, n := range []int{1, 3, 20} { // a ceiling's customer comes through no more gateways than half its burst
		for _, silent := range []bool{false, true} {
			c := newFleet(t, n, settings(), Backend{ID: "s", State: Running}, Backend{ID: "u", State: Running})
			c.counterSilent = silent
			sent, id := 0, 0
			for step := range 300 { // 3 s, all restarted in the middle
				if step == 150 {
					fresh := newFleet(t, n, settings(), Backend{ID: "s", State: Running}, Backend{ID: "u", State: Running})
					fresh.counterSilent, fresh.counterTotals = silent, c.counterTotals
					for i, r := range fresh.instances {
						r.now = c.instances[i].now
					}
					c = fresh
				}
				for i := range max(1, 20/n) * n {
					r := c.instances[i%n]
					r.engine.window = 1000
					id++
					for _, s := range c.arrive(r, id, "read", "capped") {
						sent++
						c.notify(r, AttemptEnded{ID: s.ID, Outcome: Succeeded, Took: ms, Finished: true})
					}
				}
				for _, r := range c.instances {
					r.now += 10 * ms
					for range c.notify(r, TimerFired{}) {
						sent++
					}
				}
			}
			if most := 40 + 3*20 + 4; sent == 0 || sent > most {
				t.Errorf("%d gateways, counter silent %v: %d sent in 3 s, the ceiling lets %d", n, silent, sent, most)
			}
		}
	}
}

// A cold server gets in the sum what it can take, also where it is the only one and all gateways have just started.
func TestColdServerHoldsInTheSum(t *testing.T) {
	for _, n := range []int{1, 3, 100, 340} {
		c := newFleet(t, n, settings())
		sent, id := 0, 0
		for _, r := range c.instances {
			c.notify(r, EndpointsChanged{Complete: true, Backends: []Backend{{ID: "s", State: Running, Started: r.now}}})
		}
		for range 30 { // 3 s
			for _, r := range c.instances {
				id++
				sends := c.arrive(r, id, "read", "free")
				for range 10 {
					r.now += 10 * ms
					sends = append(sends, c.notify(r, TimerFired{})...)
				}
				for _, s := range sends {
					sent++
					c.notify(r, AttemptEnded{ID: s.ID, Outcome: Rejected})
				}
			}
		}
		// A server that does 20 a second when warm does 4 now; four times that for 3 s is 48.
		if n >= 3 && sent == 0 || sent > 48 {
			t.Errorf("%d gateways sent %d to a cold server in 3 s", n, sent)
		}
	}
}

// Where gateways outnumber the attempts that a customer may have out and going over costs, they take turns.
func TestOpenCapHoldsInTheSum(t *testing.T) {
	set := settings()
	set.Plans = append(set.Plans, Plan{Name: "open", Price: 1, Rate: 100, Burst: 400, MaxInFlight: 3, ExcessCost: 0.6})
	for _, n := range []int{1, 3, 8, 20} {
		c := newFleet(t, n, set, Backend{ID: "s", State: Running}, Backend{ID: "u", State: Running})
		for moment := range 20 {
			out := 0
			for _, r := range c.instances {
				r.now = time.Minute + time.Duration(moment)*37*ms
				r.engine.window = 100
				out += max(0, r.engine.inFlightLimit(&tenant{plan: r.engine.plans["open"], spread: n, position: r.engine.settings.Index}))
			}
			if out != 3 {
				t.Fatalf("%d gateways may have %d out in all, the cap is 3", n, out)
			}
		}
		sent := 0
		for i := range 3 * n {
			sent += len(c.arrive(c.instances[i%n], i, "read", "open"))
		}
		if n > 1 && sent != 3 {
			t.Errorf("%d gateways sent %d at one moment, the cap is 3", n, sent)
		}
	}
}

// A request that waits for the counter has its answer before its client gives up, whatever the counter does, and
// the counter's late answer sends nothing.
func TestWaitingForTheCounterLosesNoRequest(t *testing.T) {
	set := settings()
	set.Instances = 100
	for _, left := range []time.Duration{2 * ms, 15 * ms, 700 * ms} {
		r := newRig(t, set, Backend{ID: "s", State: Running})
		acts := r.notify(Arrival{Request{
			ID: 1, Class: "read", Plan: "small", Tenant: "c", Units: 1,
			GiveUpAt: r.now + left, Spread: 100,
		}})
		calls := actionsOf[AddToCounter](acts)
		if len(calls) != 1 || calls[0].Add != 1 {
			t.Fatalf("calls %v, want one for the request's unit", calls)
		}
		acts = append(acts, r.pass(left-left%(10*ms))...)
		if len(actionsOf[Reject](acts)) != 1 {
			t.Fatalf("%v left: actions %v, want one refusal", left, acts)
		}
		late := r.notify(CounterReply{Name: calls[0].Name, Outcome: Succeeded, Total: 1})
		if len(actionsOf[SendAttempt](late)) > 0 || len(actionsOf[Reject](late)) > 0 {
			t.Fatalf("%v left: the late answer gave %v", left, late)
		}
	}
}

// Windows of many gateways add up: with untimely answers from several servers one falls below one attempt, and
// what it sends then has pauses in between.
func TestSmallWindowPauses(t *testing.T) {
	set := settings()
	set.Instances = 300
	var fleet []Backend
	for i := range 60 {
		fleet = append(fleet, Backend{ID: BackendID(fmt.Sprint("s", i)), State: Running})
	}
	r := newRig(t, set, fleet...)
	for i := range 12 {
		r.engine.updateWindow(&attempt{backend: r.engine.running[i]}, r.engine.classes["read"], TimedOut, 0)
		r.pass(time.Second)
	}
	if r.engine.window >= 1 {
		t.Fatalf("window %v after untimely answers only", r.engine.window)
	}
	r.engine.meanLatency, r.engine.window = 0.1, 0.5
	first := actionsOf[SendAttempt](r.arrive(1, "read", "free"))
	r.notify(AttemptEnded{ID: 1, Outcome: Succeeded, Took: 100 * ms, Finished: true})
	second := actionsOf[SendAttempt](r.arrive(2, "read", "free"))
	if len(first) != 1 || len(second) != 0 {
		t.Fatalf("sent %v, then %v at once", first, second)
	}
	if got := actionsOf[SendAttempt](r.pass(time.Second)); len(got) == 0 || got[0].ID != 2 {
		t.Fatalf("sent %v in the second after, want the one held", got)
	}
}

// Odd customers and fleets: sane decisions, no panic.
func TestOddSpreadsAndFleetsStillDecide(t *testing.T) {
	set := settings()
	set.Instances = 100
	for _, q := range []Request{{Spread: 0}, {Spread: 5000}, {Spread: 3, First: 70}, {Spread: 3, First: 4000}, {Spread: 2, First: -7}} {
		r := newRig(t, set)
		q.ID, q.Class, q.Plan, q.Tenant, q.Units, q.GiveUpAt = 1, "read", "small", "c", 1, r.now+time.Second
		calls := actionsOf[AddToCounter](r.notify(Arrival{q}))
		for _, c := range calls {
			r.notify(CounterReply{Name: c.Name, Outcome: Succeeded, Total: c.Add})
		}
		var more []Backend
		for i := range 100 {
			more = append(more, Backend{ID: BackendID(fmt.Sprint("s", i)), State: Running})
		}
		acts := r.notify(EndpointsChanged{Backends: more})
		if got := actionsOf[SendAttempt](append(acts, r.pass(20*ms)...)); len(got) != 1 {
			t.Errorf("request %+v: sent %v, want it sent once there are servers", q, got)
		}
	}
}
