package core

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/internal/settings"
	"hitchspring/internal/standin/scripted"
	"hitchspring/policy"
)

var quiet = slog.New(slog.DiscardHandler)

const served = scripted.Served

// place keeps the answer that it is given.
type place struct {
	got  Answer
	gone bool // its client has left, and no front has told
}

func (p *place) Deliver(a Answer)   { p.got = a }
func (p *place) Disconnected() bool { return p.gone }

func (p *place) refused(after time.Duration) bool {
	return p.got.Kind == Rejected && p.got.RetryAfter == after
}

type noCommand struct{}

func (noCommand) Encode(time.Duration) []byte { return []byte("*1\r\n$4\r\nNONE\r\n") }

func fleetOf(addrs ...string) discovery.List {
	f := discovery.List{Rev: 1, Complete: true}
	for i, a := range addrs {
		f.Targets = append(f.Targets, discovery.Target{UID: fmt.Sprint("s", i), Endpoint: a, Zone: "a", State: "SERVING"})
	}
	return f
}

func testConfig(disc string, known discovery.List) Config {
	return Config{
		Discovery: disc, Sockets: 256, Known: known,
		Settings: policy.Settings{
			Instances: 1, MaxAttempts: 1, MayCancel: true, MaxUnits: 4,
			Classes: []policy.Class{{Name: "read", PriorityWeight: 1, LatencyObjective: 20 * time.Second, Deadline: 60 * time.Second, Effect: policy.Safe}},
			Plans:   []policy.Plan{{Name: "p", Price: 1}},
		},
		Connections: settings.Connections{Idle: 15 * time.Second, ConnectTimeout: 5 * time.Second},
	}
}

// idleGateway is one whose goroutine does not run: the test hands it the events itself.
func idleGateway(t *testing.T, addr string) *Core {
	g, err := New(testConfig("", fleetOf(addr)), quiet)
	if err != nil {
		t.Fatal(err)
	}
	run(t, g)
	return g
}

// run prepares a gateway for events by hand.
func run(t *testing.T, g *Core) {
	ctx, cancel := context.WithCancel(context.Background())
	g.ctx = ctx
	t.Cleanup(func() {
		cancel()
		close(g.stopped)
		g.spawned.Wait()
	})
	g.loadKnownEndpoints()
}

// The same where the commands that are kept would fill the memory; what ends makes room again.
func TestMostHeld(t *testing.T) {
	g := idleGateway(t, scripted.NewBackend(t, nil).Addr)
	arrive := func(key uint64) *Request {
		r := &Request{ClientID: key, Size: g.maxRequestBytes - 1000, Sink: &place{}}
		r.Class, r.Plan, r.Units, r.Spread, r.GiveUpAt = "read", "p", 1, 1, g.now+time.Minute
		g.handle(requestArrived{r})
		return r
	}
	first, second := arrive(1), arrive(2)
	if first.finished || !second.Sink.(*place).refused(250*time.Millisecond) {
		t.Fatalf("first final: %v; second answered %v", first.finished, second.Sink.(*place).got)
	}
	g.handle(clientsDisconnected{[]*Request{first}})
	if third := arrive(3); third.finished {
		t.Fatalf("third answered %v after the first had ended", third.Sink.(*place).got)
	}
}
