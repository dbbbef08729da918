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

var discardLogger = slog.New(slog.DiscardHandler)

// recordingSink is a reply sink that records its answers.
type recordingSink struct {
	answer           Answer // the last one
	answers          int    // number of answers
	disconnected     bool   // the client has disconnected, and no front has reported it yet
	unseen           bool   // the client may have disconnected
	disconnectChecks int    // number of calls to Client
}

func (s *recordingSink) Deliver(a Answer) {
	s.answer = a
	s.answers++
}

func (s *recordingSink) Client() ClientState {
	s.disconnectChecks++
	switch {
	case s.disconnected:
		return Disconnected
	case s.unseen:
		return Unseen
	default:
		return Connected
	}
}

// testCommand is a command whose encoded form no test examines.
type testCommand struct{}

func (testCommand) Encode(time.Duration) [][]byte { return [][]byte{[]byte("*1\r\n$4\r\nNONE\r\n")} }

// endpointsAt returns an endpoint list with backends s0, s1 and so on at the given addresses.
func endpointsAt(addrs ...string) discovery.List {
	list := discovery.List{Rev: 1, Complete: true}
	for i, addr := range addrs {
		target := discovery.Target{UID: fmt.Sprint("s", i), Endpoint: addr, Zone: "a", State: "SERVING"}
		list.Targets = append(list.Targets, target)
	}
	return list
}

func testConfig(known discovery.List) Config {
	return Config{
		Sockets:          256,
		InitialEndpoints: known,
		Settings: policy.Settings{
			Instances:   1,
			MaxAttempts: 1,
			MayCancel:   true,
			MaxUnits:    4,
			Classes: []policy.Class{{
				Name:             "read",
				PriorityWeight:   1,
				LatencyObjective: 20 * time.Second,
				Deadline:         60 * time.Second,
				Effect:           policy.Safe,
			}},
			Plans: []policy.Plan{{Name: "p", Price: 1}},
		},
		Connections: settings.Connections{Idle: 15 * time.Second, ConnectTimeout: 5 * time.Second},
	}
}

// newIdleCore returns a core whose loop does not run: the test passes the events to the handlers itself.
func newIdleCore(t *testing.T, cfg Config) *Core {
	t.Helper()
	c := newTestCore(t, cfg, discardLogger)
	loadEndpoints(t, c)
	return c
}

// newTestCore returns a core that has no endpoint list yet.
func newTestCore(t *testing.T, cfg Config, log *slog.Logger) *Core {
	t.Helper()
	c, err := New(cfg, log)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// loadEndpoints prepares a core whose loop does not run for events, and ends its goroutines after the test.
func loadEndpoints(t *testing.T, c *Core) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c.ctx = ctx
	t.Cleanup(func() {
		cancel()
		close(c.stopped)
		c.spawned.Wait()
	})
	c.loadKnownEndpoints()
}

// newBackends starts n backends and returns an endpoint list of them.
func newBackends(t *testing.T, n int) discovery.List {
	t.Helper()
	var addrs []string
	for range n {
		addrs = append(addrs, scripted.NewBackend(t, nil).Addr)
	}
	return endpointsAt(addrs...)
}

// newRequest returns a request for one unit, with a deadline in a minute.
func newRequest(c *Core, clientID uint64, sink ReplySink) *Request {
	return &Request{
		Request: policy.Request{
			Class:    "read",
			Plan:     "p",
			Units:    1,
			Spread:   1,
			GiveUpAt: c.now + time.Minute,
		},
		ClientID: clientID,
		Sink:     sink,
		Command:  testCommand{},
		Size:     100,
	}
}

// submitRequest lets the core handle the arrival of a new request.
func submitRequest(c *Core, clientID uint64, sink ReplySink) *Request {
	r := newRequest(c, clientID, sink)
	c.handle(requestArrived{r})
	return r
}

// A request that would exceed the limit on the bytes of open requests is rejected. The end of another request frees its
// share.
func TestMaxRequestBytes(t *testing.T) {
	c := newIdleCore(t, testConfig(newBackends(t, 1)))
	submitLargeRequest := func(clientID uint64, sink ReplySink) *Request {
		r := newRequest(c, clientID, sink)
		r.Size = c.maxRequestBytes - 1000
		c.handle(requestArrived{r})
		return r
	}
	first := submitLargeRequest(1, &recordingSink{})
	second := &recordingSink{}
	submitLargeRequest(2, second)
	if first.finished {
		t.Fatal("got the first request finished, want it open")
	}
	if a := second.answer; a.Kind != Rejected || a.RetryAfter != 250*time.Millisecond {
		t.Fatalf("second request: got %+v, want a rejection with a retry after 250 ms", a)
	}
	c.handle(clientsDisconnected{[]*Request{first}})
	third := &recordingSink{}
	if r := submitLargeRequest(3, third); r.finished {
		t.Fatalf("third request: got %+v after the first had ended, want it open", third.answer)
	}
}

// Guards against memory without bound for requests that their fronts have read and that wait for the loop.
func TestRequestsThatWaitForTheLoopAreBounded(t *testing.T) {
	c := newIdleCore(t, testConfig(newBackends(t, 1)))
	size := c.maxRequestBytes/4 + 1
	var waiting []*Request
	for c.ReserveMemory(size) {
		r := newRequest(c, uint64(len(waiting)+1), &recordingSink{})
		r.Size, r.MemoryReserved = size, true
		waiting = append(waiting, r)
	}
	if len(waiting) != 3 {
		t.Fatalf("%d requests of over a quarter of the memory have their memory reserved, want 3", len(waiting))
	}
	gone := waiting[0].Sink.(*recordingSink)
	gone.disconnected = true
	waiting[1].ClientID = waiting[2].ClientID // a duplicate
	for _, r := range waiting {
		c.handle(requestArrived{r})
	}
	c.handle(clientsDisconnected{waiting})
	if !c.ReserveMemory(c.maxRequestBytes) {
		t.Error("memory of requests that have ended is still reserved")
	}
}
