package core

import (
	"testing"
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/metrics"
	"hitchspring/policy"
)

// checkDisconnects checks the number of disconnected clients by stage, and that no request is open.
func checkDisconnects(t *testing.T, c *Core, want map[metrics.DisconnectStage]int64) {
	t.Helper()
	for _, stage := range metrics.Stages() {
		if got := c.metrics.Disconnects(stage); got != want[stage] {
			t.Errorf("%s: got %d clients disconnected, want %d", stage, got, want[stage])
		}
	}
	if open := c.metrics.OpenRequests(); open != 0 {
		t.Errorf("got %d open requests, want none", open)
	}
}

// A request whose client has already disconnected on arrival never reaches the engine. The front's later report has no
// effect.
func TestClientDisconnectedBeforeAdmission(t *testing.T) {
	c := newIdleCore(t, testConfig(newBackends(t, 1)))
	r := submitRequest(c, 1, &recordingSink{disconnected: true})
	if len(c.requests) != 0 || len(r.attempts) != 0 || c.clientIDs[1] {
		t.Fatalf("got %d requests and %d attempts, want none", len(c.requests), len(r.attempts))
	}
	c.handle(clientsDisconnected{[]*Request{r}})
	checkDisconnects(t, c, map[metrics.DisconnectStage]int64{metrics.BeforeAdmission: 1})
}

// A client that disconnects while its request waits is detected before an attempt is sent, even if no front has
// reported it: while the attempt waits for a connection, and before a retry.
func TestClientDisconnectedBeforeAttempt(t *testing.T) {
	failFirstAttempt := func(t *testing.T, c *Core, r *Request) {
		t.Helper()
		if len(r.attempts) != 1 {
			t.Fatalf("got %d attempts, want one", len(r.attempts))
		}
		c.now += time.Millisecond
		c.attemptEnded(r.attempts[0], policy.NoConnect, backend.Reply{})
		c.flushEvents()
	}
	newRetryingCore := func(t *testing.T) *Core {
		t.Helper()
		cfg := testConfig(newBackends(t, 2))
		cfg.Settings.MaxAttempts = 3
		return newIdleCore(t, cfg)
	}
	t.Run("a connected client gets a retry", func(t *testing.T) {
		c := newRetryingCore(t)
		r := submitRequest(c, 1, &recordingSink{})
		failFirstAttempt(t, c, r)
		if len(r.attempts) != 2 {
			t.Fatalf("got %d attempts, want two", len(r.attempts))
		}
	})
	t.Run("before a retry", func(t *testing.T) {
		c := newRetryingCore(t)
		sink := &recordingSink{}
		r := submitRequest(c, 1, sink)
		sink.disconnected = true
		failFirstAttempt(t, c, r)
		if !r.finished || len(c.requests) != 0 {
			t.Fatalf("got finished %v and %d requests, want it finished and released", r.finished, len(c.requests))
		}
		if n := c.backends.Dials(); n != 1 {
			t.Errorf("got %d connections dialed, want one", n)
		}
		checkDisconnects(t, c, map[metrics.DisconnectStage]int64{metrics.BeforeAttempt: 1})
	})
	t.Run("waiting for a connection", func(t *testing.T) {
		c := newRetryingCore(t)
		sink := &recordingSink{}
		r := submitRequest(c, 1, sink)
		attempt := r.attempts[0]
		c.now += time.Millisecond
		sink.disconnected = true
		if (poolOwner{c}).AttemptWanted(attempt) {
			t.Fatal("the attempt would be sent, want it dropped")
		}
		c.flushEvents()
		if !r.finished || !attempt.Ended() || !attempt.NeverRan() {
			t.Errorf("got finished %v, ended %v, never ran %v, want all true",
				r.finished, attempt.Ended(), attempt.NeverRan())
		}
		checkDisconnects(t, c, map[metrics.DisconnectStage]int64{metrics.BeforeAttempt: 1})
	})
}

// The sink's Client is called once per event, even if the event causes several checks.
func TestDisconnectIsCheckedOncePerEvent(t *testing.T) {
	c := newIdleCore(t, testConfig(newBackends(t, 1)))
	sink := &recordingSink{}
	submitRequest(c, 1, sink)
	if sink.disconnectChecks != 1 {
		t.Errorf("got %d checks, want one", sink.disconnectChecks)
	}
}

// A disconnected caller is granted no lease, and the id of its request can be used again.
func TestNoLeaseForDisconnectedCallers(t *testing.T) {
	cfg := testConfig(newBackends(t, 1))
	cfg.Leases = &LeaseConfig{
		Timeout:     time.Second,
		StartWithin: 500 * time.Millisecond,
		Retention:   time.Second,
		MaxRequests: 10,
	}
	c := newIdleCore(t, cfg)
	requestLease := func(sink *recordingSink) {
		r := newRequest(c, 1, nil)
		r.Command = nil
		c.handle(leaseRequested{r, "id", 7, sink})
	}
	disconnectedSink := &recordingSink{disconnected: true}
	requestLease(disconnectedSink)
	if disconnectedSink.answer.Kind == Granted || len(c.leases.byLease) != 0 || len(c.leases.byRequestID) != 0 {
		t.Fatalf("got %v, %d leases and %d open requests, want no grant",
			disconnectedSink.answer, len(c.leases.byLease), len(c.leases.byRequestID))
	}
	checkDisconnects(t, c, map[metrics.DisconnectStage]int64{metrics.BeforeAdmission: 1})
	c.now += time.Millisecond
	connectedSink := &recordingSink{}
	requestLease(connectedSink)
	if connectedSink.answer.Kind != Granted {
		t.Errorf("next call: got %v, want a grant", connectedSink.answer)
	}
}

// Guards against attempts for a client that may have closed its connection behind what is
// not read yet. The request is answered at once, since the client may as well be there.
func TestNoAttemptForUnseenClients(t *testing.T) {
	newUnseenCore := func(t *testing.T, effect policy.Effect) *Core {
		t.Helper()
		cfg := testConfig(newBackends(t, 2))
		cfg.Settings.MaxAttempts = 3
		for i := range cfg.Settings.Classes {
			cfg.Settings.Classes[i].Effect = effect
		}
		return newIdleCore(t, cfg)
	}
	t.Run("first attempt", func(t *testing.T) {
		c := newUnseenCore(t, policy.Unsafe)
		sink := &recordingSink{unseen: true}
		r := submitRequest(c, 1, sink)
		if sink.answers != 1 || sink.answer.Kind != Rejected || c.backends.Dials() != 0 || len(c.requests) != 0 {
			t.Errorf("got %d answers, %v, %d dials, %d open requests, want one rejection and nothing else",
				sink.answers, sink.answer.Kind, c.backends.Dials(), len(c.requests))
		}
		if !r.finished {
			t.Error("the request is open")
		}
	})
	t.Run("waiting for a connection", func(t *testing.T) {
		c := newUnseenCore(t, policy.Unsafe)
		sink := &recordingSink{}
		r := submitRequest(c, 1, sink)
		attempt := r.attempts[0]
		c.now += time.Millisecond
		sink.unseen = true
		if (poolOwner{c}).AttemptWanted(attempt) {
			t.Fatal("the attempt would be sent, want it withheld")
		}
		c.flushEvents()
		if sink.answers != 1 || sink.answer.Kind != Rejected || !attempt.NeverRan() || len(c.requests) != 0 {
			t.Errorf("got %d answers, %v, %d open requests, want one rejection and none open",
				sink.answers, sink.answer.Kind, len(c.requests))
		}
	})
	t.Run("retry", func(t *testing.T) {
		c := newUnseenCore(t, policy.Safe)
		sink := &recordingSink{}
		r := submitRequest(c, 1, sink)
		c.now += time.Millisecond
		sink.unseen = true
		c.attemptEnded(r.attempts[0], policy.NoConnect, backend.Reply{})
		c.flushEvents()
		if sink.answers != 1 || sink.answer.Kind != Rejected || len(c.requests) != 0 {
			t.Errorf("got %d answers, %v, %d open requests, want one rejection and none open",
				sink.answers, sink.answer.Kind, len(c.requests))
		}
	})
}
