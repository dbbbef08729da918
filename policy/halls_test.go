package policy

import (
	"fmt"
	"testing"
	"time"
)

func newZoneRig(t *testing.T) *rig {
	set := settings()
	set.CrossZonePrice = 0.01
	r := newRig(t, set, Backend{ID: "a0", State: Running, Zone: "a"}, Backend{ID: "a1", State: Running, Zone: "a", Cell: 1}, Backend{ID: "b0", State: Running, Zone: "b", Cell: 2},
		Backend{ID: "b1", State: Running, Zone: "b", Cell: 3})
	r.pass(20 * ms)
	return r
}

func (r *rig) countByZone(sends []SendAttempt) map[string]int {
	out := map[string]int{}
	for _, s := range sends {
		out[r.engine.backends[s.Backend].Zone]++
	}
	return out
}

func zonesChanged(halls ...Zone) ZonesChanged { return ZonesChanged{Zones: halls, AvailableShare: 1} }

// The price moves work, a rate bounds it, a closed hall gets none, and neither does a server that is not proven.
func TestHallFacts(t *testing.T) {
	for name, c := range map[string]struct {
		ev    ZonesChanged
		check func(z map[string]int, sends []SendAttempt) bool
	}{
		"price":  {zonesChanged(Zone{Name: "a", Price: 50, Rate: -1}, Zone{Name: "b", Price: 1, Rate: -1}), func(z map[string]int, _ []SendAttempt) bool { return z["a"] == 0 && z["b"] == 6 }},
		"closed": {zonesChanged(Zone{Name: "a", Price: 1, Rate: 0}, Zone{Name: "b", Price: 9, Rate: -1}), func(z map[string]int, _ []SendAttempt) bool { return z["a"] == 0 && z["b"] == 6 }},
		"lost":   {zonesChanged(Zone{Name: "a", Price: 1, Lost: true}, Zone{Name: "b", Price: 9, Rate: -1}), func(z map[string]int, _ []SendAttempt) bool { return z["a"] == 0 && z["b"] == 6 }},
		"rate":   {zonesChanged(Zone{Name: "a", Price: 1, Rate: 1}, Zone{Name: "b", Price: 9, Rate: -1}), func(z map[string]int, _ []SendAttempt) bool { return z["a"] <= 1 && z["b"] >= 5 }},
		"unproven": {zonesChanged(Zone{Name: "a", Price: 1, Rate: -1, Unproven: []BackendID{"a0"}}, Zone{Name: "b", Price: 99, Rate: -1}), func(_ map[string]int, s []SendAttempt) bool {
			return len(s) == 6 && s[0].Backend == "a1" && s[5].Backend == "a1"
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newZoneRig(t)
			r.notify(c.ev)
			var sends []SendAttempt
			for id := range RequestID(6) {
				sends = append(sends, actionsOf[SendAttempt](r.arrive(id+1, "read", "free"))...)
			}
			if z := r.countByZone(sends); !c.check(z, sends) {
				t.Fatal(z, sends)
			}
		})
	}
}

// A rate is kept over time, however many wait.
func TestHallRate(t *testing.T) {
	r := newZoneRig(t)
	r.notify(zonesChanged(Zone{Name: "a", Price: 1, Rate: 10}, Zone{Name: "b", Price: 1, Rate: 0}))
	sends, id := 0, RequestID(0)
	for end := r.now + 2*time.Second; r.now < end; {
		id++
		got := actionsOf[SendAttempt](append(r.arrive(id, "read", "free"), r.pass(10*ms)...))
		sends += len(got)
		for _, s := range got {
			r.notify(AttemptEnded{ID: s.ID, Backend: s.Backend, Outcome: Succeeded, Took: ms, Finished: true})
		}
	}
	if sends < 15 || sends > 23 {
		t.Fatalf("%d sends in 2 s at 10 a second", sends)
	}
}

// A hall that is closed gets none, also of what its rate had saved up.
func TestHallClosed(t *testing.T) {
	r := newZoneRig(t)
	b := Zone{Name: "b", Price: 1, Rate: 0}
	r.notify(zonesChanged(Zone{Name: "a", Price: 1, Rate: 30}, b))
	r.pass(time.Second)
	if s := actionsOf[SendAttempt](r.arrive(1, "read", "free")); len(s) != 1 {
		t.Fatalf("%v: the rate lets one go", s)
	}
	r.pass(time.Second)
	r.notify(zonesChanged(Zone{Name: "a", Price: 1, Rate: 0}, b))
	if s := actionsOf[SendAttempt](append(r.arrive(2, "read", "free"), r.pass(100*ms)...)); len(s) != 0 {
		t.Fatalf("%v went to a closed hall", s)
	}
}

// What was out in a hall that is lost no longer fills the window; reads go again at once, and cost no retry; keyed work
// and unsafe work do not go to another rack, and each request has one final answer.
func TestStrand(t *testing.T) {
	r := newZoneRig(t)
	r.notify(zonesChanged(Zone{Name: "a", Price: 1, Rate: -1}, Zone{Name: "b", Price: 99, Rate: -1}))
	for id, class := range []string{"read", "book", "pay"} {
		if s := actionsOf[SendAttempt](r.arrive(RequestID(id+1), class, "free")); len(s) != 1 || r.engine.backends[s[0].Backend].Zone != "a" {
			t.Fatal(class, s)
		}
	}
	busy, retries := r.engine.inFlight, r.engine.retryBudget
	acts := r.notify(ZonesChanged{Zones: []Zone{{Name: "a", Price: 1, Lost: true}, {Name: "b", Price: 1, Rate: -1}}, AvailableShare: 0.5})
	sends := actionsOf[SendAttempt](acts)
	if len(sends) != 1 || sends[0].ID != 1 || r.engine.backends[sends[0].Backend].Zone != "b" {
		t.Fatalf("%v: only the read goes again", acts)
	}
	if r.engine.inFlight != busy-3+1 || r.engine.retryBudget != retries {
		t.Fatalf("busy %d, it was %d; retries %v, they were %v", r.engine.inFlight, busy, r.engine.retryBudget, retries)
	}
	finals := map[RequestID]int{}
	count := func(acts []Action) {
		for _, a := range actionsOf[Reject](acts) {
			finals[a.ID]++
		}
		for _, a := range actionsOf[Fail](acts) {
			finals[a.ID]++
		}
	}
	r.now += 50 * ms
	count(r.notify(AttemptEnded{ID: 1, Attempt: 1, Backend: sends[0].Backend, Outcome: Succeeded, Took: 50 * ms, Finished: true}))
	for id, server := range map[RequestID]BackendID{1: "a0", 2: "a0", 3: "a0"} {
		for n, a := range r.engine.requests[id].attempts {
			if !a.ended {
				acts := r.notify(AttemptEnded{ID: id, Attempt: n, Backend: server, Outcome: TimedOut, Took: time.Second})
				if s := actionsOf[SendAttempt](acts); len(s) > 0 && r.engine.backends[s[0].Backend].Zone != "a" {
					t.Fatalf("%v went to another rack", s)
				}
				count(acts)
			}
		}
	}
	count(r.pass(3 * time.Second))
	if finals[1] != 0 || finals[2] != 1 || finals[3] != 1 {
		t.Fatalf("final answers %v", finals)
	}
	if r.engine.inFlight != 0 {
		t.Fatalf("busy %d at the end", r.engine.inFlight)
	}
}

// A loss narrows the window by what is gone, at once and only once; the return does not widen it by itself.
func TestReach(t *testing.T) {
	r := newZoneRig(t)
	r.engine.window = 20
	for range 5 {
		r.notify(ZonesChanged{AvailableShare: 0.6})
	}
	if w := r.engine.window; w < 11 || w > 13 {
		t.Fatalf("window %v", w)
	}
	r.notify(ZonesChanged{AvailableShare: 1})
	if w := r.engine.window; w > 13 {
		t.Fatalf("window %v after the return", w)
	}
}

// While capacity is missing, those who are refused together are told different times, none longer than is allowed, and none
// before the pace of a return.
func TestSpreadRefusals(t *testing.T) {
	r := newZoneRig(t)
	r.notify(ZonesChanged{AvailableShare: 0.5, MinRetryAfter: 800 * ms, Zones: []Zone{{Name: "a", Price: 1, Lost: true}, {Name: "b", Price: 1, Lost: true}}})
	for id := range RequestID(30) {
		r.arrive(id+1, "read", "free")
	}
	times := map[time.Duration]bool{}
	for _, a := range actionsOf[Reject](r.pass(3 * time.Second)) {
		if a.RetryAfter > time.Second || a.RetryAfter < 400*ms {
			t.Fatalf("retry after %v", a.RetryAfter)
		}
		times[a.RetryAfter] = true
	}
	if len(times) < 20 {
		t.Fatalf("%d different times", len(times))
	}
}

// BenchmarkHeld is an event while nobody may be sent to: it must not grow with what is held.
func BenchmarkHeld(b *testing.B) {
	for _, held := range []int{10, 1000, 5000} {
		b.Run(fmt.Sprint(held), func(b *testing.B) {
			set := settings()
			set.Classes[0].Deadline = time.Hour
			g, err := New(set, 7)
			if err != nil {
				b.Fatal(err)
			}
			now := time.Minute
			var fleet []Backend
			for i := range 32 {
				fleet = append(fleet, Backend{ID: BackendID(fmt.Sprint("s", i)), State: Running, Started: now})
			}
			g.Handle(now, EndpointsChanged{Complete: true, Backends: fleet}, nil)
			for id := range RequestID(held) {
				g.Handle(now, Arrival{Request{ID: id + 1, Class: "read", Plan: "free", Tenant: "c", Units: 1, GiveUpAt: now + time.Hour, Spread: 2}}, nil)
			}
			for b.Loop() {
				g.Handle(now, CounterReply{Name: "x"}, nil)
			}
		})
	}
}
