package policy

import (
	"reflect"
	"testing"
	"time"
)

// What one process knows another knows after it: pictures of stores and of servers as they were, and what is out there
// counts until it is released.
func TestLearnedGoesOver(t *testing.T) {
	servers := []Backend{{ID: "a", State: Running}, {ID: "b", State: Running}}
	old := newRig(t, settings(), servers...)
	for id := range RequestID(12) {
		old.arrive(id, "read", []string{"capped", "small", "free"}[id%3])
		old.pass(30 * ms)
		if id%4 < 2 {
			old.notify(AttemptEnded{ID: id, Backend: "a", Outcome: Succeeded, Took: 40 * ms, Finished: true})
		}
	}
	was := old.engine.ExportState()
	if was.InFlight == 0 || len(was.Tenants) == 0 || len(was.Backends) != 2 {
		t.Fatalf("nothing to go over: %+v", was)
	}
	next := newRig(t, settings(), servers...)
	next.engine.ImportState(old.now, was)
	if now := next.engine.ExportState(); !reflect.DeepEqual(was, now) {
		t.Fatalf("after it was learned:\n%+v\nbefore:\n%+v", now, was)
	}
	next.engine.ReleasePredecessor()
	now := next.engine.ExportState()
	if now.InFlight != 0 || now.Tenants[0].InFlight != 0 {
		t.Fatalf("after the release %d are out, %d of a customer", now.InFlight, now.Tenants[0].InFlight)
	}
	if next.engine.ReleasePredecessor(); next.engine.inFlight != 0 {
		t.Fatal("released twice")
	}
}

// The old process spends what it has kept of a ceiling, and no more: the ceiling fills at the new one.
func TestKeptCeilingDoesNotFill(t *testing.T) {
	r := newRig(t, settings(), Backend{ID: "s", State: Running})
	r.arrive(1, "read", "capped")
	r.pass(20 * time.Second)
	l := r.engine.ExportState()
	c := l.Tenants[0]
	c.CeilingLevel, c.CeilingAt, c.LeasedUnits = 2, r.now, 100
	r.engine.ImportState(r.now, LearnedState{Tenants: []LearnedTenant{c}})
	r.engine.RetainUnits([]LearnedTenant{c})
	sent := 0
	for id := range RequestID(40) {
		sent += len(actionsOf[SendAttempt](r.arrive(100+id, "read", "capped")))
		r.notify(AttemptEnded{ID: 100 + id, Backend: "s", Outcome: Succeeded, Took: ms, Finished: true})
		for _, s := range actionsOf[SendAttempt](r.pass(200 * ms)) {
			sent++
			r.notify(AttemptEnded{ID: s.ID, Backend: "s", Outcome: Succeeded, Took: ms, Finished: true})
		}
	}
	if sent != 2 {
		t.Fatalf("%d sends on a ceiling's store of 2 that does not fill", sent)
	}
}

// At low load a cold server that comes back is used, too: not only once it is warm.
func TestColdServerHasItsTurn(t *testing.T) {
	r := newRig(t, settings(), Backend{ID: "a", State: Running}, Backend{ID: "b", State: Running})
	r.notify(EndpointsChanged{Backends: []Backend{{ID: "b", State: Running, Started: r.now}}})
	used := false
	for id := range RequestID(500) { // one at a time: the other server is always free
		for _, s := range actionsOf[SendAttempt](r.arrive(id, "read", "free")) {
			used = used || s.Backend == "b"
			r.notify(AttemptEnded{ID: id, Backend: s.Backend, Outcome: Succeeded, Took: 5 * ms, Finished: true})
		}
		r.pass(10 * ms)
	}
	if !used {
		t.Fatal("a cold server was not used for 5 s")
	}
}

// A server that crawls answers little, and that says nothing of what the others can do: it must not hold back the one that is
// cold.
func TestCrawlingServersHoldNoColdOneBack(t *testing.T) {
	servers := []Backend{{ID: "cold", State: Running, Started: time.Minute}}
	for _, id := range []BackendID{"a", "b", "c", "d"} {
		servers = append(servers, Backend{ID: id, State: Running})
	}
	r := newRig(t, settings(), servers...)
	r.now += 8 * time.Second // the start has faded
	r.pass(10 * ms)
	g := r.engine
	g.answerRate, g.answerRateAt = 40, g.now
	each := func() float64 {
		g.backendAnswerRateAt = 0
		return g.answersPerBackend()
	}
	well := each()
	for _, id := range []BackendID{"a", "b", "c"} {
		g.backends[id].slowness, g.backends[id].slownessAt = 8, g.now
	}
	g.answerRate = 14 // what one that is well and three that crawl answer
	if crawl := each(); crawl < 0.7*well {
		t.Fatalf("a warm server is taken to answer %.1f a second, %.1f while three of four crawl", well, crawl)
	}
}

// A server that has been seen to crawl gets one attempt at a time, also where the others have no room: more would crawl with it.
func TestOneAtATimeToACrawlingServer(t *testing.T) {
	out := func(slow float64) int {
		r := newRig(t, settings(), Backend{ID: "a", State: Running}, Backend{ID: "b", State: Running})
		for _, id := range []BackendID{"a", "b"} {
			r.engine.backends[id].slowness, r.engine.backends[id].slownessAt = slow, r.now
		}
		r.engine.window = 10
		n := 0
		for id := range RequestID(8) {
			n += len(actionsOf[SendAttempt](r.arrive(id, "read", "free")))
		}
		return n
	}
	if well, crawling := out(1), out(8); well != 8 || crawling != 2 {
		t.Fatalf("%d sends to two servers that are well, %d to two that crawl; want 8 and 2", well, crawling)
	}
}
