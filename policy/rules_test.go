package policy

import (
	"fmt"
	"testing"
	"time"
)

// Rule 1: each request taken has exactly one final answer before its client gives up.
func TestEveryRequestHasOneFinalAnswer(t *testing.T) {
	r := newRig(t, settings(), Backend{ID: "s", State: Running})
	final := map[RequestID]int{}
	count := func(acts []Action) {
		for _, a := range actionsOf[Reject](acts) {
			final[a.ID]++
		}
		for _, a := range actionsOf[Fail](acts) {
			final[a.ID]++
		}
	}
	for id := RequestID(1); id <= 40; id++ {
		count(r.arrive(id, []string{"read", "book", "pay"}[id%3], "free"))
	}
	count(r.pass(1990 * ms))
	for id := RequestID(1); id <= 40; id++ {
		q := r.engine.requests[id]
		if q == nil || q.phase == phaseFinished {
			continue
		}
		if q.phase == phaseQueued {
			t.Fatalf("request %d is still held at its deadline", id)
		}
		for _, a := range q.attempts {
			count(r.notify(AttemptEnded{ID: id, Attempt: a.index, Backend: "s", Outcome: TimedOut}))
		}
	}
	for id := RequestID(1); id <= 40; id++ {
		if final[id] != 1 {
			t.Errorf("request %d: %d final answers", id, final[id])
		}
	}
}

// Rule 2: unsafe work that may have run is neither sent again nor refused.
func TestUnsafeWorkThatMayHaveRunIsFailed(t *testing.T) {
	for _, o := range []Outcome{Failed, TimedOut, Reset, Cancelled, Outcome(99)} {
		r := newRig(t, settings(), Backend{ID: "s", State: Running}, Backend{ID: "u", State: Running})
		s := actionsOf[SendAttempt](r.arrive(1, "pay", "free"))[0].Backend
		got := r.notify(AttemptEnded{ID: 1, Backend: s, Outcome: o})
		if len(actionsOf[SendAttempt](got)) > 0 || len(actionsOf[Reject](got)) > 0 || len(actionsOf[Fail](got)) != 1 {
			t.Errorf("outcome %v: actions %v, want one failure", o, got)
		}
	}
}

func TestWorkThatNeverRanIsSentAgain(t *testing.T) {
	r := newRig(t, settings(), Backend{ID: "s", State: Running}, Backend{ID: "u", State: Running})
	s := actionsOf[SendAttempt](r.arrive(1, "pay", "free"))[0].Backend
	got := actionsOf[SendAttempt](r.notify(AttemptEnded{ID: 1, Backend: s, Outcome: NoConnect}))
	if len(got) != 1 || got[0].Backend == s {
		t.Fatalf("sends %v, want one to the other server", got)
	}
}

// Rule 2: keyed work that may have run goes again only to the cell that drops its repeats, and only in its time.
func TestKeyedWorkStaysInItsCellAndTime(t *testing.T) {
	set := settings()
	set.Classes[1].Deadline, set.Classes[1].RepeatWindow = 60*time.Second, time.Second
	for wait, want := range map[time.Duration]int{100 * ms: 1, 1200 * ms: 0} {
		r := newRig(t, set, Backend{ID: "s", State: Running, Cell: 1}, Backend{ID: "u", State: Running, Cell: 1},
			Backend{ID: "v", State: Running, Cell: 2}, Backend{ID: "w", State: Running, Cell: 2})
		q := Request{ID: 1, Class: "book", Plan: "free", Tenant: "c", Units: 1, GiveUpAt: r.now + time.Minute}
		s := actionsOf[SendAttempt](r.notify(Arrival{q}))[0].Backend
		r.now += wait
		got := r.notify(AttemptEnded{ID: 1, Backend: s, Outcome: Reset})
		sends := actionsOf[SendAttempt](got)
		if len(sends) != want || len(actionsOf[Reject](got)) > 0 {
			t.Fatalf("after %v: actions %v, want %d sends and no refusal", wait, got, want)
		}
		if want == 1 && r.engine.backends[sends[0].Backend].Cell != r.engine.backends[s].Cell {
			t.Fatalf("sent to %v after %v: another cell", sends[0].Backend, s)
		}
	}
}

// Rule 3: nothing new goes to a server that drains or is gone.
// The same for one that is held for another attempt: it waits for room no longer than its group remembers the first.
func TestHeldRepeatEndsWithItsGroupsMemory(t *testing.T) {
	set := settings()
	set.Classes[1].Deadline, set.Classes[1].RepeatWindow, set.Classes[1].LateShare = 60*time.Second, time.Second, 0.2
	r := newRig(t, set, Backend{ID: "s", State: Running, Cell: 1})
	q := Request{ID: 1, Class: "book", Plan: "free", Tenant: "c", Units: 1, GiveUpAt: r.now + time.Minute}
	if sends := actionsOf[SendAttempt](r.notify(Arrival{q})); len(sends) != 1 {
		t.Fatal(sends)
	}
	r.engine.window, r.engine.inFlight = 1, r.engine.inFlight+1 // the window has no room for another
	r.now += 500 * ms
	if got := r.notify(AttemptEnded{ID: 1, Backend: "s", Outcome: Reset}); len(got) != 0 || r.engine.requests[1].phase != phaseQueued {
		t.Fatalf("actions %v, want the request held", got)
	}
	r.now += 450 * ms
	r.engine.inFlight, r.engine.window = 0, 4
	got := r.pass(200 * ms)
	if len(actionsOf[SendAttempt](got)) > 0 || len(actionsOf[Reject](got)) > 0 || len(actionsOf[Fail](got)) != 1 {
		t.Fatalf("actions %v, want one failure and nothing sent", got)
	}
}

func TestNothingGoesToADrainingServer(t *testing.T) {
	for _, state := range []BackendState{Draining, Gone, BackendState(9)} {
		r := newRig(t, settings(), Backend{ID: "s", State: Running}, Backend{ID: "u", State: Running})
		r.notify(EndpointsChanged{Backends: []Backend{{ID: "s", State: state}}})
		for id := RequestID(1); id < 20; id++ {
			for _, a := range actionsOf[SendAttempt](r.arrive(id, "read", "free")) {
				if a.Backend == "s" {
					t.Fatalf("state %v: sent to it", state)
				}
			}
			r.notify(AttemptEnded{ID: id, Backend: "u", Outcome: Succeeded, Took: 5 * ms, Finished: true})
		}
	}
	r := newRig(t, settings(), Backend{ID: "s", State: Running}, Backend{ID: "u", State: Running})
	r.notify(EndpointsChanged{Complete: true, Backends: []Backend{{ID: "u", State: Running}}})
	if len(r.engine.running) != 1 {
		t.Fatal("a server that is not in a whole list is gone")
	}
}

// Rule 4: a cold server gets one attempt at a time at first, also from a gateway that knows nothing, and also where
// all servers are cold.
func TestColdServerIsNotPushedOver(t *testing.T) {
	r := newRig(t, settings())
	r.notify(EndpointsChanged{Complete: true, Backends: []Backend{{ID: "s", State: Running, Started: r.now}}})
	r.engine.window = 100
	sent := 0
	for i := range 300 { // three seconds of a hundred requests a second, each refused by the server at once
		id := RequestID(i + 1)
		r.arrive(id, "read", "free")
		for _, s := range r.engine.running {
			for len(s.outstanding) > 0 {
				sent++
				q := r.engine.openRequests[len(r.engine.openRequests)-1]
				for _, l := range r.engine.openRequests {
					if len(l.attempts) > 0 && l.attempts[len(l.attempts)-1] == s.outstanding[0] {
						q = l
					}
				}
				r.notify(AttemptEnded{ID: q.ID, Attempt: s.outstanding[0].index, Backend: "s", Outcome: Rejected})
			}
		}
		r.pass(10 * ms)
	}
	// A server that does 20 a second when warm does 4 now; 4 times that for 3 s, halved for two gateways, is 24.
	if sent == 0 || sent > 24 {
		t.Fatalf("%d sent to a cold server in 3 s", sent)
	}
}

// Rule 5: a gateway stays within its part of the ceiling, and starts with none of it.
// The same where it is the first to come back after all others have gone: what the whole fleet answered is no measure of it.
func TestFirstServerBackIsNotPushedOver(t *testing.T) {
	set := settings()
	set.Instances, set.Classes[0].LatencyObjective = 1, 400*ms
	var fleet []Backend
	for i := range 20 {
		fleet = append(fleet, Backend{ID: BackendID(fmt.Sprint("w", i)), State: Running})
	}
	r := newRig(t, set, fleet...)
	id, toCold := RequestID(0), 0
	type out struct {
		ev AttemptEnded
		at time.Duration
	}
	var outs []out
	play := func(d time.Duration) {
		for end := r.now + d; r.now < end; r.now += 5 * ms {
			id++
			acts := append(r.arrive(id, "read", "free"), r.notify(TimerFired{})...)
			for len(outs) > 0 && outs[0].at <= r.now {
				ev := outs[0].ev
				outs = outs[1:]
				acts = append(acts, r.notify(ev)...)
			}
			for _, s := range actionsOf[SendAttempt](acts) {
				if s.Backend == "x" { // it answers none of them within the second
					toCold++
					continue
				}
				outs = append(outs, out{AttemptEnded{ID: s.ID, Attempt: len(r.engine.requests[s.ID].attempts) - 1, Backend: s.Backend, Outcome: Succeeded, Took: 60 * ms, Finished: true}, r.now + 60*ms})
			}
		}
	}
	play(3 * time.Second)
	outs = nil
	r.notify(EndpointsChanged{Complete: true, Backends: []Backend{{ID: "x", State: Running, Started: r.now}}})
	play(time.Second)
	// A warm one answered 200/20 = 10 a second; this one has a fifth of that, and may be sent four times as much.
	if toCold == 0 || toCold > 8 {
		t.Fatalf("%d sends to a cold server within a second", toCold)
	}
}

func TestCeilingHoldsWithoutTheCounter(t *testing.T) {
	r := newRig(t, settings(), Backend{ID: "s", State: Running}, Backend{ID: "u", State: Running})
	r.engine.plans["capped"].Rate = 0 // nothing but the ceiling stands in the way
	r.engine.window = 1000
	sent := 0
	for i := range 400 {
		acts := r.arrive(RequestID(i+1), "read", "capped")
		acts = append(acts, r.pass(10*ms)...)
		sent += len(actionsOf[SendAttempt](acts))
	}
	if max := 4*20/2 + 1; sent == 0 || sent > max { // 4 s of half the ceiling's rate
		t.Fatalf("%d sent in 4 s, the part is %d", sent, max)
	}
}

func TestOpenCapIsSharedAndWaits(t *testing.T) {
	set := settings()
	set.Plans = append(set.Plans, Plan{Name: "open", Price: 1, Rate: 100, Burst: 100, MaxInFlight: 4, ExcessCost: 1})
	r := newRig(t, set, Backend{ID: "s", State: Running}, Backend{ID: "u", State: Running})
	r.engine.window = 100
	sends := 0
	for id := RequestID(1); id <= 5; id++ {
		sends += len(actionsOf[SendAttempt](r.arrive(id, "read", "open")))
	}
	if sends != 2 {
		t.Fatalf("%d out, this gateway's part is 2", sends)
	}
	got := actionsOf[SendAttempt](r.notify(AttemptEnded{ID: 1, Outcome: Succeeded, Took: 5 * ms, Finished: true}))
	if len(got) != 1 {
		t.Fatalf("sends %v, a waiting request takes the slot", got)
	}
}

// A stall leaves no dead backlog: what has expired goes before a freed slot is given.
func TestAStalledGatewaySweepsBeforeItReleases(t *testing.T) {
	r := newRig(t, settings(), Backend{ID: "s", State: Running})
	for id := RequestID(1); id <= 10; id++ {
		r.arrive(id, "read", "free")
	}
	r.now += 1900 * ms
	if got := actionsOf[SendAttempt](r.notify(TimerFired{})); len(got) > 0 {
		t.Fatalf("sent %v after the stall", got)
	}
}

func TestUnusableSettingsGiveAnError(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"gateways": func(s *Settings) { s.Instances = 0 },
		"number":   func(s *Settings) { s.Index = 2 },
		"classes":  func(s *Settings) { s.Classes = nil },
		"aim":      func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"rate":     func(s *Settings) { s.Plans[0].Rate = -1 },
	} {
		set := settings()
		change(&set)
		if _, err := New(set, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// Settings with little in them must still decide, and never panic.
func TestPoorSettingsStillDecide(t *testing.T) {
	set := settings()
	set.Counter, set.Hedging, set.MayCancel, set.SlowStartWindow = false, false, false, 0
	set.Plans = []Plan{{Name: "small", Price: 1, Rate: 2}}
	r := newRig(t, set, Backend{ID: "s", State: Running})
	sends := 0
	for id := RequestID(1); id <= 20; id++ {
		acts := append(r.arrive(id, "read", "small"), r.notify(AttemptEnded{ID: id, Outcome: Succeeded, Took: ms, Finished: true})...)
		acts = append(acts, r.pass(200*ms)...)
		sends += len(actionsOf[SendAttempt](acts))
		if len(actionsOf[AddToCounter](acts)) > 0 {
			t.Fatal("called a counter that is not there")
		}
	}
	if sends < 3 || sends > 8 { // half of 2 units a second over 4 s, and its part of the burst
		t.Fatalf("%d sent", sends)
	}
}

func TestAnInstanceActsAlikeAloneAndBesideOthers(t *testing.T) {
	play := func(beside bool) string {
		a := newRig(t, settings(), Backend{ID: "s", State: Running}, Backend{ID: "u", State: Running})
		b := newRig(t, settings(), Backend{ID: "s", State: Running})
		log := ""
		for id := RequestID(1); id <= 200; id++ {
			if beside {
				b.arrive(id, "read", "small")
			}
			log += fmt.Sprint(a.arrive(id, "read", "small"), a.pass(30*ms))
		}
		return log
	}
	if play(false) != play(true) {
		t.Fatal("actions differ")
	}
}

// The next block is asked for at half spent, off the path; one call is out at a time.
func TestNextBlockIsAskedForAtHalfSpent(t *testing.T) {
	r := newRig(t, settings(), Backend{ID: "s", State: Running})
	var calls []AddToCounter
	for id := RequestID(1); id <= 3; id++ {
		acts := r.arrive(id, "read", "small")
		if len(actionsOf[SendAttempt](acts)) != 1 {
			t.Fatalf("request %d did not go at once", id)
		}
		calls = append(calls, actionsOf[AddToCounter](acts)...)
		r.notify(AttemptEnded{ID: id, Outcome: Succeeded, Took: ms, Finished: true})
	}
	if len(calls) != 1 || calls[0].Add < 4 {
		t.Fatalf("calls %v, want one that adds the first block and the next", calls)
	}
}

// One sick server must not narrow the window for all.
func TestOneSickServerDoesNotNarrowTheWindow(t *testing.T) {
	var fleet []Backend
	for i := range 12 {
		fleet = append(fleet, Backend{ID: BackendID(fmt.Sprint("s", i)), State: Running})
	}
	r := newRig(t, settings(), fleet...)
	before := r.engine.window
	c := r.engine.classes["read"]
	for range 50 {
		r.engine.updateWindow(&attempt{backend: r.engine.running[0]}, c, TimedOut, 0)
	}
	r.pass(100 * ms)
	if r.engine.window < before {
		t.Fatal("narrowed by one server")
	}
	for i := range 50 {
		r.engine.updateWindow(&attempt{backend: r.engine.running[i%12]}, c, TimedOut, 0)
	}
	r.pass(2 * time.Second)
	if r.engine.window >= before {
		t.Fatal("not narrowed by a shared symptom")
	}
}

// Long calls of one class are not a full back end: while another class is answered in time the window stays.
func TestOneClassesLongCallsDoNotNarrowTheWindow(t *testing.T) {
	r := newRig(t, settings(), Backend{ID: "s", State: Running}, Backend{ID: "u", State: Running})
	before := r.engine.window
	for i := range 40 {
		s := r.engine.running[i%2]
		r.engine.updateWindow(&attempt{backend: s}, r.engine.classes["book"], Succeeded, 400*ms)
		r.engine.updateWindow(&attempt{backend: s}, r.engine.classes["read"], Succeeded, 20*ms)
	}
	r.pass(2 * time.Second)
	if r.engine.window < before {
		t.Fatal("narrowed by one class's long calls")
	}
}
