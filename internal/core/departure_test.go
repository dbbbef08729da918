package core

import (
	"testing"
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/metrics"
	"hitchspring/internal/standin/scripted"
	"hitchspring/policy"
)

// arriving hands a request in.
func arriving(g *Core, key uint64, p ReplySink) *Request {
	r := &Request{ClientID: key, Size: 100, Sink: p, Command: noCommand{}}
	r.Class, r.Plan, r.Units, r.Spread, r.GiveUpAt = "read", "p", 1, 1, g.now+time.Minute
	g.handle(requestArrived{r})
	return r
}

// wantDepartures checks how many clients were found gone, by stage.
func wantDepartures(t *testing.T, g *Core, want map[metrics.DisconnectStage]int64) {
	t.Helper()
	for _, at := range metrics.Stages() {
		if got := g.metrics.Disconnects(at); got != want[at] {
			t.Errorf("%s: %d clients gone, want %d", at, got, want[at])
		}
	}
	if open := g.metrics.Current(); open != 0 {
		t.Errorf("%d requests are open", open)
	}
}

// A request whose client has gone by the time it is taken in never reaches the module, and the front's later word changes nothing.
func TestClientGoneBeforeAdmission(t *testing.T) {
	g := idleGateway(t, scripted.NewBackend(t, nil).Addr)
	r := arriving(g, 1, &place{gone: true})
	if len(g.requests) != 0 || len(r.attempts) != 0 || g.clientIDs[1] {
		t.Fatalf("it was taken: %d requests, %d attempts", len(g.requests), len(r.attempts))
	}
	g.handle(clientsDisconnected{[]*Request{r}})
	wantDepartures(t, g, map[metrics.DisconnectStage]int64{metrics.BeforeAdmission: 1})
}

// A request whose client goes while it waits is found out when an attempt is about to be sent, whatever has become of the front's word: in the
// module's queue, before a connection has come up, and before a further attempt.
func TestClientGoneBeforeAnAttempt(t *testing.T) {
	fails := func(t *testing.T, g *Core, r *Request) {
		t.Helper()
		if len(r.attempts) != 1 {
			t.Fatalf("%d attempts", len(r.attempts))
		}
		g.now += time.Millisecond
		g.attemptEnded(r.attempts[0], policy.NoConnect, backend.Reply{})
		g.flushEvents()
	}
	newCore := func(t *testing.T) *Core {
		cfg := testConfig("", fleetOf(scripted.NewBackend(t, nil).Addr, scripted.NewBackend(t, nil).Addr))
		cfg.Settings.MaxAttempts = 3
		g, err := New(cfg, quiet)
		if err != nil {
			t.Fatal(err)
		}
		run(t, g)
		return g
	}
	t.Run("there is another attempt for a client that stays", func(t *testing.T) {
		g := newCore(t)
		r := arriving(g, 1, &place{})
		fails(t, g, r)
		if len(r.attempts) != 2 {
			t.Fatalf("%d attempts", len(r.attempts))
		}
	})
	t.Run("before a retry", func(t *testing.T) {
		g := newCore(t)
		p := &place{}
		r := arriving(g, 1, p)
		p.gone = true
		fails(t, g, r)
		if !r.finished || len(g.requests) != 0 {
			t.Fatalf("final %v, %d requests", r.finished, len(g.requests))
		}
		if n := g.backends.Dials(); n != 1 {
			t.Errorf("%d connections were begun", n)
		}
		wantDepartures(t, g, map[metrics.DisconnectStage]int64{metrics.BeforeAttempt: 1})
	})
	t.Run("waiting for a connection", func(t *testing.T) {
		g := newCore(t)
		p := &place{}
		r := arriving(g, 1, p)
		a := r.attempts[0]
		g.now += time.Millisecond
		p.gone = true
		if (poolOwner{g}).AttemptWanted(a) {
			t.Fatal("it is wanted")
		}
		g.flushEvents()
		if !r.finished || !a.Ended() || !a.NeverRan() {
			t.Errorf("final %v, ended %v, never ran %v", r.finished, a.Ended(), a.NeverRan())
		}
		wantDepartures(t, g, map[metrics.DisconnectStage]int64{metrics.BeforeAttempt: 1})
	})
}

// The kernel is asked once in each turn of the loop, not for each attempt that the turn brings.
func TestClientIsAskedForOnceATurn(t *testing.T) {
	g := idleGateway(t, scripted.NewBackend(t, nil).Addr)
	p := &countingPlace{}
	arriving(g, 1, p)
	if p.asked != 1 {
		t.Errorf("asked %d times", p.asked)
	}
}

// countingPlace counts how often it is asked whether its client has gone.
type countingPlace struct {
	place
	asked int
}

func (p *countingPlace) Disconnected() bool {
	p.asked++
	return false
}

// A call of a gate that has hung up is granted nothing, and its id can be asked for anew.
func TestNothingIsGrantedToCallersThatLeft(t *testing.T) {
	cfg := testConfig("", fleetOf(scripted.NewBackend(t, nil).Addr))
	cfg.Leases = &Leases{Timeout: time.Second, StartWithin: 500 * time.Millisecond, Retention: time.Second, MaxRequests: 10}
	g, err := New(cfg, quiet)
	if err != nil {
		t.Fatal(err)
	}
	run(t, g)
	ask := func(p *place) {
		r := &Request{ClientID: 1, Size: 100}
		r.Class, r.Plan, r.Units, r.Spread, r.GiveUpAt = "read", "p", 1, 1, g.now+time.Minute
		g.handle(leaseRequested{r, "id", 7, p})
	}
	left, stays := &place{gone: true}, &place{}
	ask(left)
	if left.got.Kind == Granted || len(g.leases.byLease) != 0 || len(g.leases.byRequestID) != 0 {
		t.Fatalf("answered %v, %d leases, %d open", left.got, len(g.leases.byLease), len(g.leases.byRequestID))
	}
	wantDepartures(t, g, map[metrics.DisconnectStage]int64{metrics.BeforeAdmission: 1})
	g.now += time.Millisecond
	if ask(stays); stays.got.Kind != Granted {
		t.Errorf("the next call was answered %v", stays.got)
	}
}
