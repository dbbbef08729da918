package policy

import (
	"testing"
	"time"
)

// newZoneHarness returns a harness with two backends in each of two zones, each
// backend in its own cell.
func newZoneHarness(t *testing.T) *harness {
	t.Helper()
	settings := testSettings()
	settings.CrossZonePrice = 0.01
	h := newHarness(t, settings,
		Backend{ID: "a0", State: Running, Zone: "a"},
		Backend{ID: "a1", State: Running, Zone: "a", Cell: 1},
		Backend{ID: "b0", State: Running, Zone: "b", Cell: 2},
		Backend{ID: "b1", State: Running, Zone: "b", Cell: 3},
	)
	h.advance(20 * ms)
	return h
}

func (h *harness) zoneOf(id BackendID) string { return h.engine.backends[id].Zone }

func zonesChanged(zones ...Zone) ZonesChanged { return ZonesChanged{Zones: zones, AvailableShare: 1} }

// The price of a zone shifts requests to other zones and its rate limits them. A
// closed or lost zone and an unproven backend get none.
func TestZoneSettingsDirectRequests(t *testing.T) {
	allInB := func(byZone map[string]int, _ []SendAttempt) bool { return byZone["a"] == 0 && byZone["b"] == 6 }
	for name, c := range map[string]struct {
		a, b  Zone
		check func(byZone map[string]int, sends []SendAttempt) bool
	}{
		"price":  {Zone{Price: 50, Rate: -1}, Zone{Price: 1, Rate: -1}, allInB},
		"closed": {Zone{Price: 1, Rate: 0}, Zone{Price: 9, Rate: -1}, allInB},
		"lost":   {Zone{Price: 1, Lost: true}, Zone{Price: 9, Rate: -1}, allInB},
		"rate": {
			Zone{Price: 1, Rate: 1},
			Zone{Price: 9, Rate: -1},
			func(byZone map[string]int, _ []SendAttempt) bool { return byZone["a"] <= 1 && byZone["b"] >= 5 },
		},
		"unproven": {
			Zone{Price: 1, Rate: -1, Unproven: []BackendID{"a0"}},
			Zone{Price: 99, Rate: -1},
			func(_ map[string]int, sends []SendAttempt) bool {
				return len(sends) == 6 && sends[0].Backend == "a1" && sends[5].Backend == "a1"
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newZoneHarness(t)
			c.a.Name, c.b.Name = "a", "b"
			h.notify(zonesChanged(c.a, c.b))
			var sends []SendAttempt
			byZone := map[string]int{}
			for id := range RequestID(6) {
				sends = append(sends, actionsOf[SendAttempt](h.arrive(id+1, "read", "free"))...)
			}
			for _, s := range sends {
				byZone[h.zoneOf(s.Backend)]++
			}
			if !c.check(byZone, sends) {
				t.Fatalf("got sends %v, by zone %v", sends, byZone)
			}
		})
	}
}

// The rate of a zone is not exceeded, however many requests are queued.
func TestZoneRate(t *testing.T) {
	h := newZoneHarness(t)
	h.notify(zonesChanged(Zone{Name: "a", Price: 1, Rate: 10}, Zone{Name: "b", Price: 1, Rate: 0}))
	sent, id := 0, RequestID(0)
	for end := h.now + 2*time.Second; h.now < end; {
		id++
		sends := actionsOf[SendAttempt](append(h.arrive(id, "read", "free"), h.advance(10*ms)...))
		sent += len(sends)
		for _, s := range sends {
			h.notify(succeeded(s.ID, s.Backend, ms))
		}
	}
	if sent < 15 || sent > 23 {
		t.Fatalf("got %d sends in 2 s at 10 a second, want 15 to 23", sent)
	}
}

// A closed zone gets no attempts, even if tokens of its former rate are left.
func TestClosedZoneGetsNothing(t *testing.T) {
	h := newZoneHarness(t)
	b := Zone{Name: "b", Price: 1, Rate: 0}
	h.notify(zonesChanged(Zone{Name: "a", Price: 1, Rate: 30}, b))
	h.advance(time.Second)
	if got := actionsOf[SendAttempt](h.arrive(1, "read", "free")); len(got) != 1 {
		t.Fatalf("got sends %v, want one by the rate", got)
	}
	h.advance(time.Second)
	h.notify(zonesChanged(Zone{Name: "a", Price: 1, Rate: 0}, b))
	got := actionsOf[SendAttempt](append(h.arrive(2, "read", "free"), h.advance(100*ms)...))
	if len(got) != 0 {
		t.Fatalf("got sends %v to a closed zone, want none", got)
	}
}

// Attempts in flight in a lost zone no longer count toward the window. Safe requests
// are sent again at once without a charge to the retry budget; keyed and unsafe ones
// are not sent to another cell. Each request gets one final answer.
func TestAttemptsInALostZoneLeaveTheWindow(t *testing.T) {
	h := newZoneHarness(t)
	h.notify(zonesChanged(Zone{Name: "a", Price: 1, Rate: -1}, Zone{Name: "b", Price: 99, Rate: -1}))
	for i, class := range []string{"read", "book", "pay"} {
		got := actionsOf[SendAttempt](h.arrive(RequestID(i+1), class, "free"))
		if len(got) != 1 || h.zoneOf(got[0].Backend) != "a" {
			t.Fatalf("class %s: got sends %v, want one to zone a", class, got)
		}
	}
	inFlight, retryBudget := h.engine.window.inFlight, h.engine.retryBudget
	actions := h.notify(ZonesChanged{
		Zones:          []Zone{{Name: "a", Price: 1, Lost: true}, {Name: "b", Price: 1, Rate: -1}},
		AvailableShare: 0.5,
	})
	sends := actionsOf[SendAttempt](actions)
	if len(sends) != 1 || sends[0].ID != 1 || h.zoneOf(sends[0].Backend) != "b" {
		t.Fatalf("got actions %v, want the read alone sent again", actions)
	}
	if got, want := h.engine.window.inFlight, inFlight-3+1; got != want || h.engine.retryBudget != retryBudget {
		t.Fatalf("got %d in flight, want %d; got retry budget %v, want %v",
			got, want, h.engine.retryBudget, retryBudget)
	}
	finals := map[RequestID]int{}
	h.now += 50 * ms
	event := succeeded(1, sends[0].Backend, 50*ms)
	event.Attempt = 1
	countFinal(finals, h.notify(event))
	for id := RequestID(1); id <= 3; id++ {
		h.timeOutAttempts(id, finals)
	}
	countFinal(finals, h.advance(3*time.Second))
	if finals[1] != 0 || finals[2] != 1 || finals[3] != 1 {
		t.Fatalf("got final answers %v, want one each for 2 and 3", finals)
	}
	if h.engine.window.inFlight != 0 {
		t.Fatalf("got %d in flight at the end, want 0", h.engine.window.inFlight)
	}
}

// timeOutAttempts times out the attempts in flight of a request in zone a, and checks
// that it causes no attempt in another zone.
func (h *harness) timeOutAttempts(id RequestID, finals map[RequestID]int) {
	h.Helper()
	for index, a := range h.engine.requests[id].attempts {
		if a.ended {
			continue
		}
		event := AttemptEnded{ID: id, Attempt: index, Backend: "a0", Outcome: TimedOut, Elapsed: time.Second}
		actions := h.notify(event)
		if s := actionsOf[SendAttempt](actions); len(s) > 0 && h.zoneOf(s[0].Backend) != "a" {
			h.Fatalf("got %v sent to another zone, want none", s)
		}
		countFinal(finals, actions)
	}
}

// A loss of capacity narrows the window proportionally, at once and only once. The
// return of the capacity alone does not widen it.
func TestAvailableShareNarrowsTheWindow(t *testing.T) {
	h := newZoneHarness(t)
	h.engine.window.size = 20
	for range 5 {
		h.notify(ZonesChanged{AvailableShare: 0.6})
	}
	if w := h.engine.window.size; w < 11 || w > 13 {
		t.Fatalf("got window %v, want 11 to 13", w)
	}
	h.notify(ZonesChanged{AvailableShare: 1})
	if w := h.engine.window.size; w > 13 {
		t.Fatalf("got window %v after the return, want 13 at most", w)
	}
}

// While capacity is reduced, clients that are rejected together get different
// Retry-After values: none above MaxRetryAfter, and none below half of MinRetryAfter.
func TestRetryAfterIsSpread(t *testing.T) {
	h := newZoneHarness(t)
	h.notify(ZonesChanged{
		AvailableShare: 0.5,
		MinRetryAfter:  800 * ms,
		Zones:          []Zone{{Name: "a", Price: 1, Lost: true}, {Name: "b", Price: 1, Lost: true}},
	})
	for id := range RequestID(30) {
		h.arrive(id+1, "read", "free")
	}
	times := map[time.Duration]bool{}
	for _, a := range actionsOf[Reject](h.advance(3 * time.Second)) {
		if a.RetryAfter > time.Second || a.RetryAfter < 400*ms {
			t.Fatalf("got Retry-After %v, want 0.4 to 1 s", a.RetryAfter)
		}
		times[a.RetryAfter] = true
	}
	if len(times) < 20 {
		t.Fatalf("got %d different times, want 20 or more", len(times))
	}
}
