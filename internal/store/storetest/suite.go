package storetest

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"

	"hitchspring/internal/store"
)

// Run runs the conformance suite. open starts a new stand-in for a test.
func Run(t *testing.T, open func(*testing.T) Server) {
	run := func(name string, check func(*testing.T, Server)) {
		t.Run(name, func(t *testing.T) {
			leaks := goleak.IgnoreCurrent()
			t.Cleanup(func() { goleak.VerifyNone(t, leaks) })
			check(t, open(t))
		})
	}
	run("totals", checkTotals)
	run("instances share", checkShared)
	run("order of a name", checkOrder)
	run("many names at once", checkManyNames)
	run("expiry", checkExpiry)
	run("withdrawn", checkWithdrawn)
	run("server unreachable", checkUnreachable)
	run("server restarts", checkRestarts)
	run("full queue", checkFullQueue)
	run("change of address", func(t *testing.T, s Server) { checkAddressChange(t, s, open(t)) })
}

func checkTotals(t *testing.T, s Server) {
	instance := Start(t, s.New)
	want := 0.0
	for _, amount := range []float64{1, 2.5, -0.75, 0, 1e-6, 123456.5, -3} {
		want += amount
		got := instance.AddAndWait(t, "a", amount)
		if got.Certainty != store.Added || !got.Seen || !ApproxEqual(got.Total, want) {
			t.Fatalf("after %v: got %+v, want %v", amount, got, want)
		}
	}
	if got := instance.AddAndWait(t, "b", 1); !ApproxEqual(got.Total, 1) {
		t.Fatalf("another name: got %+v, want 1", got)
	}
	if got := s.Total("a"); !ApproxEqual(got, want) {
		t.Fatalf("the stand-in holds %v, want %v", got, want)
	}
}

func checkShared(t *testing.T, s Server) {
	x, y := Start(t, s.New), Start(t, s.New)
	x.AddAndWait(t, "a", 2)
	if got := y.AddAndWait(t, "a", 3); !ApproxEqual(got.Total, 5) {
		t.Fatalf("got %+v, want 5", got)
	}
	if got := x.AddAndWait(t, "a", -1); !ApproxEqual(got.Total, 4) {
		t.Fatalf("got %+v, want 4", got)
	}
}

func checkOrder(t *testing.T, s Server) {
	instance := Start(t, s.New)
	calls := make([]*store.Call, 300)
	for n := range calls {
		calls[n] = &store.Call{Name: "a", Amount: 1, TTL: time.Minute}
		instance.Add(calls[n])
	}
	for n, call := range calls {
		if got := instance.NextAnswer(t); got.Call != call || !ApproxEqual(got.Result.Total, float64(n+1)) {
			t.Fatalf("result %d: got total %v", n, got.Result.Total)
		}
	}
}

func checkManyNames(t *testing.T, s Server) {
	instance := Start(t, s.New)
	const names, each = 40, 10
	for range each {
		for n := range names {
			instance.Add(&store.Call{Name: fmt.Sprint("n", n), Amount: float64(n), TTL: time.Minute})
		}
	}
	last := map[string]float64{}
	for range names * each {
		got := instance.NextAnswer(t)
		if !got.Result.Seen {
			t.Fatalf("%s: %+v", got.Call.Name, got.Result)
		}
		last[got.Call.Name] = got.Result.Total
	}
	for n := range names {
		if got := last[fmt.Sprint("n", n)]; !ApproxEqual(got, float64(each*n)) {
			t.Fatalf("n%d: got %v, want %v", n, got, each*n)
		}
	}
}

func checkExpiry(t *testing.T, s Server) {
	const ttl = 200 * time.Millisecond
	instance := Start(t, s.New)
	instance.Add(&store.Call{Name: "a", Amount: 5, TTL: ttl})
	addedAt := instance.NextAnswer(t).At
	Eventually(t, "the name to expire", func() bool { return s.Total("a") == 0 })
	if lifetime := time.Since(addedAt); lifetime < ttl/2 {
		t.Fatalf("expired after %v, time to live is %v", lifetime, ttl)
	}
	if got := instance.AddAndWait(t, "a", 2); !ApproxEqual(got.Total, 2) {
		t.Fatalf("after the expiry: got %+v, want 2", got)
	}
}

func checkWithdrawn(t *testing.T, s Server) {
	instance := Start(t, s.New)
	call := &store.Call{Name: "a", Amount: 7, TTL: time.Minute}
	if !call.Withdraw() {
		t.Fatal("a call that was never queued cannot be withdrawn")
	}
	instance.Add(call)
	if got := instance.AddAndWait(t, "a", 1); !ApproxEqual(got.Total, 1) {
		t.Fatalf("got %+v, want 1", got)
	}
	instance.RequireNoAnswer(t)
}

func checkUnreachable(t *testing.T, s Server) {
	s.Stop()
	instance := Start(t, s.New)
	for range 3 {
		if got := instance.AddAndWait(t, "a", 1); got.Certainty != store.NotAdded {
			t.Fatalf("got %+v, want %v", got, store.NotAdded)
		}
	}
	s.listen(t)
	Eventually(t, "the stand-in to serve adds again", func() bool {
		return instance.AddAndWait(t, "a", 1).Certainty == store.Added
	})
	if got := s.Total("a"); !ApproxEqual(got, 1) {
		t.Fatalf("the stand-in holds %v, want 1", got)
	}
}

func checkRestarts(t *testing.T, s Server) {
	const adds = 50
	instance := Start(t, s.New)
	minAdded, maxAdded := 0.0, 0.0
	for range 3 {
		for range adds {
			instance.Add(&store.Call{Name: "a", Amount: 1, TTL: time.Minute})
		}
		s.Stop()
		s.listen(t)
		for range adds {
			switch instance.NextAnswer(t).Result.Certainty {
			case store.Added:
				minAdded++
				maxAdded++
			case store.Maybe:
				maxAdded++
			case store.NotAdded:
			}
		}
		Eventually(t, "the stand-in to serve adds again", func() bool {
			return instance.AddAndWait(t, "b", 0).Certainty == store.Added
		})
	}
	if got := s.Total("a"); got < minAdded-1e-6 || got > maxAdded+1e-6 {
		t.Fatalf("the stand-in holds %v, want between %v and %v", got, minAdded, maxAdded)
	}
}

func checkFullQueue(t *testing.T, s Server) {
	s.Stop()
	instance := Start(t, s.New)
	calls := make([]*store.Call, 5000)
	for n := range calls {
		calls[n] = &store.Call{Name: "a", Amount: 1, TTL: time.Minute}
		instance.Add(calls[n]) // must not block
	}
	claimed := 0
	for _, call := range calls {
		if !call.Withdraw() {
			claimed++
		}
	}
	for range claimed {
		if got := instance.NextAnswer(t); got.Result.Certainty != store.NotAdded {
			t.Fatalf("got %+v, want %v", got.Result, store.NotAdded)
		}
	}
}

func checkAddressChange(t *testing.T, s, next Server) {
	instance := Start(t, s.New)
	instance.AddAndWait(t, "a", 1)
	instance.SetAddress(next.Addr)
	Eventually(t, "an add at the new address", func() bool {
		instance.AddAndWait(t, "a", 1)
		return next.Total("a") > 0
	})
}
