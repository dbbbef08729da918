package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// served ends what was sent, in time.
func (f *fleet) succeed(r *rig, sends []SendAttempt) {
	for _, s := range sends {
		f.notify(r, AttemptEnded{ID: s.ID, Backend: s.Backend, Outcome: Succeeded, Took: ms, Finished: true})
	}
}

// fleetOf is so many servers over three halls.
func listBackends(n int, started time.Duration) (out []Backend) {
	for i := range n {
		out = append(out, Backend{
			ID: BackendID(fmt.Sprintf("s-%08x", i*2654435761)), State: Running, Zone: string(rune('a' + i%3)),
			Started: started,
		})
	}
	return out
}

// Sixty gateways whose counter says nothing guess alike: of a customer that asks for little most goes on, of one that
// asks for five times its rate a good part does not, though each sees one request of it in some seconds.
func TestGuessesAddUpToTheRate(t *testing.T) {
	const gateways, rate, seconds = 60, 2.0, 60
	for _, x := range []float64{0.4, 5} {
		chance := rand.New(rand.NewPCG(1, uint64(x*10)))
		c := newFleet(t, gateways, settings(), listBackends(6, 0)...)
		c.counterSilent = true
		asked, sent := 0, 0
		for step := range seconds * 100 {
			if chance.Float64() < x*rate/100 {
				asked++
				r := c.instances[chance.IntN(gateways)]
				r.now = time.Minute + time.Duration(step)*10*ms
				sends := c.arrive(r, asked, "read", "small")
				sent += len(sends)
				c.succeed(r, sends)
			}
		}
		switch {
		case x < 1 && sent < asked*3/4:
			t.Errorf("%v of its rate: %d of %d were sent", x, sent, asked)
		case x > 1 && float64(sent) > 3.5*rate*seconds:
			t.Errorf("%v times its rate: %d of %d were sent, its rate is %v in %d s", x, sent, asked, rate, seconds)
		case x > 1 && float64(sent) < 0.7*rate*seconds:
			t.Errorf("%v times its rate: only %d were sent, its rate is %v in %d s", x, sent, rate, seconds)
		}
	}
}

// A counter that cannot take all calls is asked for a sample, and what is asked stands for the rest.
func TestASampleStandsForTheRest(t *testing.T) {
	set := settings()
	set.Instances = 80
	r := newRig(t, set, listBackends(6, 0)...)
	calls, added := 0, 0.0
	const n = 2000
	for i := range n {
		r.engine.counterCallShare = 0.5
		r.now += 10 * ms
		for _, a := range actionsOf[AddToCounter](r.notify(Arrival{Request{
			ID: RequestID(i), Class: "read", Plan: "small", Tenant: fmt.Sprint("c", i), Units: 1,
			GiveUpAt: r.now + time.Second, Spread: 60,
		}})) {
			calls++
			added += a.Add
		}
	}
	if calls < n*4/10 || calls > n*6/10 {
		t.Errorf("%d calls for %d requests, half are to be asked", calls, n)
	}
	if added < n*0.8 || added > n*1.2 {
		t.Errorf("the counter was told %.0f units of %d", added, n)
	}
}

// Each server is preferred by the same number of gateways, each gateway prefers some, and keeps them when others go.
func TestPreferredServersAreSpreadEvenly(t *testing.T) {
	set := settings()
	by := map[BackendID]int{}
	for me := range 80 {
		set.Index, set.Instances = me, 80
		g, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		all := listBackends(60, 0)
		g.Handle(0, EndpointsChanged{Complete: true, Backends: all}, nil)
		mine := map[BackendID]bool{}
		for _, s := range g.running {
			if g.inSubset(s) {
				by[s.ID]++
				mine[s.ID] = true
			}
		}
		if len(mine) < 4 || len(mine) > 30 {
			t.Errorf("gateway %d prefers %d servers of 60", me, len(mine))
		}
		g.Handle(1, EndpointsChanged{Complete: true, Backends: all[:30]}, nil)
		for _, s := range g.running {
			if mine[s.ID] && !g.inSubset(s) {
				t.Errorf("gateway %d prefers %s no more, though it stayed", me, s.ID)
			}
		}
	}
	for id, n := range by {
		if n != 20 {
			t.Errorf("%s is preferred by %d gateways of 80, want 20", id, n)
		}
	}
	if len(by) != 60 {
		t.Errorf("%d servers of 60 are preferred by anybody", len(by))
	}
}

// Three servers of a hall that cannot be reached speak for the hall, long before each has failed by itself; one answer
// from there ends it.
func TestUnreachableServersSpeakForTheirHall(t *testing.T) {
	set := settings()
	set.Instances = 80
	r := newRig(t, set, listBackends(30, 0)...)
	r.engine.window, r.engine.retryBudget = 1000, 1000
	zone := func(id BackendID) string { return r.engine.backends[id].Zone }
	lost, failed, late := 0, map[BackendID]bool{}, 0
	for i := range 200 {
		r.now += 20 * ms
		queue := actionsOf[SendAttempt](r.arrive(RequestID(i), "read", "free"))
		for n := map[RequestID]int{}; len(queue) > 0; queue = queue[1:] {
			s := queue[0]
			ev := AttemptEnded{ID: s.ID, Attempt: n[s.ID], Backend: s.Backend, Outcome: Succeeded, Took: ms, Finished: true}
			if n[s.ID]++; zone(s.Backend) == "a" {
				lost++
				if len(failed) >= 3 {
					late++
				}
				failed[s.Backend] = true
				ev.Outcome, ev.Finished = NoConnect, false
			}
			queue = append(queue, actionsOf[SendAttempt](r.notify(ev))...)
		}
	}
	if lost < 3 || late > 4 { // one more each time that the hall is tried again
		t.Errorf("%d attempts went to the lost hall, %d of them after three servers there had failed", lost, late)
	}
	r.engine.recordOutcome(&attempt{backend: r.engine.running[firstInZone(r.engine, "a")]}, r.engine.classes["read"], Succeeded, ms)
	if len(r.engine.unreachable) != 0 {
		t.Errorf("an answer from the hall has not ended it: %v", r.engine.unreachable)
	}
}

func firstInZone(g *Engine, zone string) int {
	for i, s := range g.running {
		if s.Zone == zone {
			return i
		}
	}
	return -1
}

// Where a third of the fleet comes back cold, eighty gateways in the sum use it, and push none over: neither is a cold
// server left alone by all, nor liked by all.
func TestColdServersAreUsedByManyGateways(t *testing.T) {
	const gateways = 80
	chance := rand.New(rand.NewPCG(3, 4))
	warm, cold := listBackends(40, 0), listBackends(60, time.Minute)[40:]
	set := settings()
	set.SlowStartShare, set.SlowStartWindow = 0.25, 18*time.Second
	c := newFleet(t, gateways, set, warm...)
	id := 0
	second := map[BackendID]int{}
	total, worst := 0, 0
	type running struct {
		r    *rig
		s    SendAttempt
		ends int
	}
	var out []running
	for step := range 1000 { // 10 s, 300 requests a second, 300 ms each
		if step == 200 {
			for _, r := range c.instances {
				r.now = time.Minute + time.Duration(step)*10*ms
				for i := range cold {
					cold[i].Started = r.now
				}
				c.notify(r, EndpointsChanged{Backends: cold})
			}
		}
		if step%100 == 0 {
			clear(second)
		}
		for len(out) > 0 && out[0].ends <= step {
			c.notify(out[0].r, AttemptEnded{ID: out[0].s.ID, Backend: out[0].s.Backend, Outcome: Succeeded, Took: 300 * ms, Finished: true})
			out = out[1:]
		}
		for range 3 {
			r := c.instances[chance.IntN(gateways)]
			r.now = time.Minute + time.Duration(step)*10*ms
			r.engine.window = 10
			id++
			for _, s := range c.arrive(r, id, "read", "free") {
				out = append(out, running{r, s, step + 30})
				if r.engine.backends[s.Backend].Started > 0 {
					second[s.Backend]++
					total++
					worst = max(worst, second[s.Backend])
				}
			}
		}
	}
	// A warm one gets some 6 a second of what it can take, 8; four times a quarter of that is 8.
	if total < 8*20/4 || worst > 8 {
		t.Errorf("20 cold servers got %d requests in 8 s, one of them %d in a second", total, worst)
	}
}

// In trouble the windows of many gateways widen together no faster than those of a few.
func TestWindowsWidenAsAFleet(t *testing.T) {
	for _, n := range []int{4, 80} {
		set := settings()
		set.Instances = n
		r := newRig(t, set, listBackends(60, 0)...)
		g := r.engine
		g.untimely, g.window = 1, g.windowShare()
		c := g.classes["read"]
		for range int(g.window) { // a round trip
			g.inFlight = int(g.window) + 1
			g.updateWindow(&attempt{backend: g.running[0]}, c, Succeeded, ms)
		}
		if sum := (g.window - g.windowShare()) * float64(n); sum < 3 || sum > 20 {
			t.Errorf("%d gateways widen by %.1f attempts in a round trip", n, sum)
		}
	}
}

// A list that is empty, holds an id twice or tells of a start in the future is no reason to stop: with none everything is
// refused, of two entries the last holds, and a start that is to come counts as now.
func TestOddListsAreDecidedWith(t *testing.T) {
	for _, n := range []int{1, 3, 80, 5000} {
		set := settings()
		set.Instances = n
		r := newRig(t, set)
		if acts := r.arrive(1, "read", "free"); len(actionsOf[SendAttempt](acts)) > 0 {
			t.Errorf("%d gateways: sent with no server listed", n)
		}
		if acts := r.pass(3 * time.Second); len(actionsOf[Reject](acts)) != 1 {
			t.Errorf("%d gateways: %v, want one refusal", n, acts)
		}
		r.notify(EndpointsChanged{Complete: true, Backends: []Backend{{ID: "s", State: Running}, {ID: "s", State: Draining}}})
		if len(r.engine.running) != 0 {
			t.Errorf("%d gateways: the entry that drains came last", n)
		}
		r.notify(EndpointsChanged{Complete: true, Backends: []Backend{{ID: "u", State: Running, Started: r.now + time.Hour}}})
		if w := r.engine.capacityShare(r.engine.running[0]); w != set.SlowStartShare {
			t.Errorf("%d gateways: a server that has yet to start is %.2f warm", n, w)
		}
		r.arrive(2, "read", "free")
		r.pass(time.Second)
		r.notify(EndpointsChanged{Complete: true})
		if len(r.engine.running) != 0 {
			t.Errorf("%d gateways: an empty list leaves %d servers", n, len(r.engine.running))
		}
	}
}
