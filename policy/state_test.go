package policy

import (
	"reflect"
	"testing"
	"time"
)

// What one process knows another knows after it: pictures of stores and of servers as they were, and what is out there
// counts until it is released.
func TestLearnedGoesOver(t *testing.T) {
	servers := []Server{{ID: "a", State: Running}, {ID: "b", State: Running}}
	old := newRig(t, settings(), servers...)
	for id := range RequestID(12) {
		old.arrive(id, "read", []string{"capped", "small", "free"}[id%3])
		old.pass(30 * ms)
		if id%4 < 2 {
			old.tell(AttemptEnded{ID: id, Server: "a", Outcome: Done, Took: 40 * ms, Finished: true})
		}
	}
	was := old.g.Learned()
	if was.Busy == 0 || len(was.Customers) == 0 || len(was.Servers) != 2 {
		t.Fatalf("nothing to go over: %+v", was)
	}
	next := newRig(t, settings(), servers...)
	next.g.Learn(old.now, was)
	if now := next.g.Learned(); !reflect.DeepEqual(was, now) {
		t.Fatalf("after it was learned:\n%+v\nbefore:\n%+v", now, was)
	}
	next.g.Release()
	now := next.g.Learned()
	if now.Busy != 0 || now.Customers[0].Open != 0 {
		t.Fatalf("after the release %d are out, %d of a customer", now.Busy, now.Customers[0].Open)
	}
	if next.g.Release(); next.g.busy != 0 {
		t.Fatal("released twice")
	}
}

// The old process spends what it has kept of a ceiling, and no more: the ceiling fills at the new one.
func TestKeptCeilingDoesNotFill(t *testing.T) {
	r := newRig(t, settings(), Server{ID: "s", State: Running})
	r.arrive(1, "read", "capped")
	r.pass(20 * time.Second)
	l := r.g.Learned()
	c := l.Customers[0]
	c.Ceiling, c.CeilingAt, c.Block = 2, r.now, 100
	r.g.Learn(r.now, Learned{Customers: []LearnedCustomer{c}})
	r.g.Keep([]LearnedCustomer{c})
	sent := 0
	for id := range RequestID(40) {
		sent += len(only[Send](r.arrive(100+id, "read", "capped")))
		r.tell(AttemptEnded{ID: 100 + id, Server: "s", Outcome: Done, Took: ms, Finished: true})
		for _, s := range only[Send](r.pass(200 * ms)) {
			sent++
			r.tell(AttemptEnded{ID: s.ID, Server: "s", Outcome: Done, Took: ms, Finished: true})
		}
	}
	if sent != 2 {
		t.Fatalf("%d sends on a ceiling's store of 2 that does not fill", sent)
	}
}

// At low load a cold server that comes back is used, too: not only once it is warm.
func TestColdServerHasItsTurn(t *testing.T) {
	r := newRig(t, settings(), Server{ID: "a", State: Running}, Server{ID: "b", State: Running})
	r.tell(FleetChanged{Servers: []Server{{ID: "b", State: Running, Started: r.now}}})
	used := false
	for id := range RequestID(500) { // one at a time: the other server is always free
		for _, s := range only[Send](r.arrive(id, "read", "free")) {
			used = used || s.Server == "b"
			r.tell(AttemptEnded{ID: id, Server: s.Server, Outcome: Done, Took: 5 * ms, Finished: true})
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
	servers := []Server{{ID: "cold", State: Running, Started: time.Minute}}
	for _, id := range []ServerID{"a", "b", "c", "d"} {
		servers = append(servers, Server{ID: id, State: Running})
	}
	r := newRig(t, settings(), servers...)
	r.now += 8 * time.Second // the start has faded
	r.pass(10 * ms)
	g := r.g
	g.flow, g.flowAt = 40, g.now
	each := func() float64 {
		g.eachAt = 0
		return g.eachAnswers()
	}
	well := each()
	for _, id := range []ServerID{"a", "b", "c"} {
		g.servers[id].slow, g.servers[id].slowAt = 8, g.now
	}
	g.flow = 14 // what one that is well and three that crawl answer
	if crawl := each(); crawl < 0.7*well {
		t.Fatalf("a warm server is taken to answer %.1f a second, %.1f while three of four crawl", well, crawl)
	}
}

// A server that has been seen to crawl gets one attempt at a time, also where the others have no room: more would crawl with it.
func TestOneAtATimeToACrawlingServer(t *testing.T) {
	out := func(slow float64) int {
		r := newRig(t, settings(), Server{ID: "a", State: Running}, Server{ID: "b", State: Running})
		for _, id := range []ServerID{"a", "b"} {
			r.g.servers[id].slow, r.g.servers[id].slowAt = slow, r.now
		}
		r.g.window = 10
		n := 0
		for id := range RequestID(8) {
			n += len(only[Send](r.arrive(id, "read", "free")))
		}
		return n
	}
	if well, crawling := out(1), out(8); well != 8 || crawling != 2 {
		t.Fatalf("%d sends to two servers that are well, %d to two that crawl; want 8 and 2", well, crawling)
	}
}
