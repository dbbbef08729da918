package policy

import (
	"strings"
	"testing"
	"time"
)

func TestRejectedRequestsGiveNoUnitsBack(t *testing.T) {
	h := newHarness(t, testSettings(), runningBackends("s", "u")...)
	sent := 0
	for id := RequestID(1); id < 60; id++ { // no counter replies: this instance has 4 units of the burst
		sent += len(actionsOf[SendAttempt](h.arrive(id, "read", "small")))
		h.notify(succeeded(id, "", ms))
	}
	if sent < 4 || sent > 8 {
		t.Fatalf("got %d of 59 sent, want 4 to 8: the whole burst is 8", sent)
	}
}

// The next block is requested when half of the current one is spent, while requests
// continue to be admitted. One call is in flight at a time.
func TestNextBlockIsRequestedAtHalfSpent(t *testing.T) {
	h := newHarness(t, testSettings(), runningBackends("s")...)
	var calls []AddToCounter
	for id := RequestID(1); id <= 3; id++ {
		actions := h.arrive(id, "read", "small")
		if len(actionsOf[SendAttempt](actions)) != 1 {
			t.Fatalf("request %d was not sent at once", id)
		}
		calls = append(calls, actionsOf[AddToCounter](actions)...)
		h.notify(succeeded(id, "", ms))
	}
	if len(calls) != 1 || calls[0].Add < 4 {
		t.Fatalf("got calls %v, want one that adds the first block and the next", calls)
	}
}

// Requests of one tenant under different plans are decided by their own plan and do
// not spend each other's quota.
func TestPlansOfOneTenantAreCountedSeparately(t *testing.T) {
	for _, first := range []string{"small", "large"} {
		settings := testSettings()
		settings.Instances = 1
		settings.Counter = false
		settings.Plans = append(settings.Plans, Plan{Name: "large", Price: 1, Rate: 3, Burst: 20, ExcessCost: 0.5})
		h := newHarness(t, settings, runningBackends("s")...)
		got := map[string]int{}
		id := RequestID(0)
		arrive := func(plan string) {
			id++
			q := h.request(id, "read", plan)
			q.Spread = 1
			if len(actionsOf[SendAttempt](h.notify(Arrival{q}))) > 0 {
				got[plan]++
				h.notify(succeeded(id, "s", ms))
			}
		}
		arrive(first)
		h.advance(3 * time.Second) // its quota is full again
		for range 30 {
			arrive("small")
			arrive("large")
		}
		want := map[string]int{"small": 8, "large": 20}
		want[first]++ // the quota has filled since its first request
		for plan, n := range want {
			if got[plan] != n {
				t.Errorf("%s first: got %d requests of plan %s sent, want %d", first, got[plan], plan, n)
			}
		}
	}
}

// An account has the same counter name at every instance, even if an instance first
// saw the tenant with another plan or another set of instances. Otherwise its
// requests would not be counted together with those of other instances.
func TestAccountHasOneName(t *testing.T) {
	counterName := func(before func(h *harness)) string {
		h := newHarness(t, testSettings(), runningBackends("s")...)
		before(h)
		for id := RequestID(10); id < 20; id++ {
			if calls := actionsOf[AddToCounter](h.arrive(id, "read", "small")); len(calls) > 0 {
				return calls[0].Name
			}
			h.notify(succeeded(id, "s", ms))
		}
		t.Fatal("the counter was not called")
		return ""
	}
	want := counterName(func(*harness) {})
	for name, before := range map[string]func(h *harness){
		"another plan first": func(h *harness) { h.arrive(1, "read", "capped") },
		"another set first": func(h *harness) {
			q := h.request(1, "read", "small")
			q.Spread = 1
			q.First = 1
			h.notify(Arrival{q})
		},
	} {
		if got := counterName(before); got != want {
			t.Errorf("%s: got counter name %q, want %q as at other instances", name, got, want)
		}
	}
	const long = "a-plan-with-a-name-that-is-longer-than-the-counter-would-take-it"
	for _, plan := range []string{"small", "", "with space", "Ünï", long} {
		r := Request{Tenant: "00000000b4d65521", Plan: plan}
		other := Request{Tenant: r.Tenant, Plan: plan + "2"}
		if got := r.Account(); len(got) > 24 || strings.ContainsAny(got, " :\r\n") || got == other.Account() {
			t.Errorf("plan %q: got account %q, want at most 24 bytes, no separators, and unique to the plan", plan, got)
		}
	}
}

// Each request is decided by its own Spread. A request with a Spread of 1 must not
// leave this instance the whole rate for later requests with a Spread of 2.
func TestRequestsAreDecidedByTheirOwnSpread(t *testing.T) {
	settings := testSettings()
	settings.Counter = false // this instance's share of the rate decides
	h := newHarness(t, settings, runningBackends("s")...)
	id, sent := RequestID(0), 0
	arrive := func(spread int) {
		id++
		q := h.request(id, "read", "small")
		q.Spread = spread
		if len(actionsOf[SendAttempt](h.notify(Arrival{q}))) > 0 {
			sent++
			h.notify(succeeded(id, "s", ms))
		}
	}
	arrive(1)
	for range 80 {
		h.advance(100 * ms)
		arrive(2)
	}
	// The burst leased by the first request, half of the rate for 8 s, and 1 for rounding.
	if limit := 8 + 8*1 + 1; sent > limit {
		t.Errorf("got %d sent, want %d at most", sent, limit)
	}
}

// Without the counter, an instance stays within its share of the ceiling, which
// starts empty.
func TestCeilingHoldsWithoutTheCounter(t *testing.T) {
	h := newHarness(t, testSettings(), runningBackends("s", "u")...)
	h.engine.plans["capped"].Rate = 0 // no quota but the ceiling
	h.engine.window.size = 1000
	sent := 0
	for i := range 400 {
		actions := append(h.arrive(RequestID(i+1), "read", "capped"), h.advance(10*ms)...)
		sent += len(actionsOf[SendAttempt](actions))
	}
	if limit := 4*20/2 + 1; sent == 0 || sent > limit { // 4 s of half the ceiling's rate
		t.Fatalf("got %d sent in 4 s, want 1 to %d", sent, limit)
	}
}

// As TestCeilingHoldsWithoutTheCounter, but with all attempts answered, so that only
// the ceiling limits them.
func TestCeilingHoldsWhileAttemptsAreAnswered(t *testing.T) {
	h := newHarness(t, testSettings(), runningBackends("s", "u")...)
	h.engine.plans["capped"].Rate = 0 // no quota but the ceiling
	h.engine.window.size = 1000
	sent := 0
	for i := range 400 {
		actions := append(h.arrive(RequestID(i+1), "read", "capped"), h.advance(10*ms)...)
		for sends := actionsOf[SendAttempt](actions); len(sends) > 0; sends = sends[1:] {
			sent++
			answered := h.notify(succeeded(sends[0].ID, sends[0].Backend, 5*ms))
			sends = append(sends, actionsOf[SendAttempt](answered)...)
		}
	}
	share := 4 * 20 / 2 // 4 s of half the ceiling's rate
	if sent < share-2 || sent > share+1 {
		t.Fatalf("got %d sent in 4 s, want %d", sent, share)
	}
}

func TestInFlightLimitIsSharedAndQueues(t *testing.T) {
	settings := testSettings()
	limited := Plan{Name: "limited", Price: 1, Rate: 100, Burst: 100, MaxInFlight: 4, ExcessCost: 1}
	settings.Plans = append(settings.Plans, limited)
	h := newHarness(t, settings, runningBackends("s", "u")...)
	h.engine.window.size = 100
	sent := 0
	for id := RequestID(1); id <= 5; id++ {
		sent += len(actionsOf[SendAttempt](h.arrive(id, "read", limited.Name)))
	}
	if sent != 2 {
		t.Fatalf("got %d in flight, want 2: this instance's share", sent)
	}
	if got := actionsOf[SendAttempt](h.notify(succeeded(1, "", 5*ms))); len(got) != 1 {
		t.Fatalf("got sends %v, want one: a queued request takes the slot", got)
	}
}
