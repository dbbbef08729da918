package zones

import (
	"strings"
	"testing"
	"time"

	"hitchspring/policy"
)

// checkAllUp fails unless all zones are available and have the prices of their locality priorities.
func checkAllUp(t *testing.T, f *testFleet) {
	t.Helper()
	if s := f.status(); s.AvailableShare != 1 || s.Panic || s.PlannedSpill > 0.1 {
		t.Fatalf("got %+v before the loss, want all available", s)
	}
	for zone, want := range map[string]float64{"a": 1, "b": 2, "c": 3} {
		if got := f.entry(zone).Price; got != want {
			t.Fatalf("zone %s: got price %v, want %v", zone, got, want)
		}
	}
}

// checkOwnZoneLost fails unless the own zone is lost, both for the policy module and in the status.
func checkOwnZoneLost(t *testing.T, f *testFleet) {
	t.Helper()
	if entry := f.entry("a"); !entry.Lost || entry.Rate != 0 {
		t.Errorf("got zone %+v, want it lost with rate 0", entry)
	}
	if s := f.status(); s.PlannedSpill != 1 || s.AvailableShare > 0.67 || !strings.Contains(s.Reason, "lost") {
		t.Errorf("got status %+v, want a spill of 1 for the loss", s)
	}
}

// A zone that refuses connections is lost within 0.3 s, a silent one within 1 s. It then gets no more attempts, all of
// its load spills, and the other zones stay up without a rate limit.
func TestLoss(t *testing.T) {
	for name, c := range map[string]struct {
		lose func(*testFleet)
		max  time.Duration // until the loss is detected
	}{
		"refusing": {func(f *testFleet) { f.refusing["a"] = true }, 300 * ms},
		"silent":   {func(f *testFleet) { f.silent["a"] = true }, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, Config{})
			f.run(3*time.Second, nil)
			checkAllUp(t, f)
			c.lose(f)
			if took := f.run(5*time.Second, f.ownZoneIs(Lost)); took > c.max {
				t.Errorf("got the loss detected after %v, want at most %v", took, c.max)
			}
			checkOwnZoneLost(t, f)
			before := f.status().Zones[0].Offered
			f.run(2*time.Second, nil)
			if after := f.zoneStatus("a").Offered; after > before/4 {
				t.Errorf("got %.1f attempts a second at the lost zone, want at most a quarter of %.1f", after, before)
			}
			for _, zone := range []string{"b", "c"} {
				if s := f.zoneStatus(zone); s.State != "up" || f.entry(zone).Rate >= 0 {
					t.Errorf("zone %s: got %+v, want it up and unlimited", zone, s)
				}
			}
		})
	}
}

// A zone whose backends are all draining gets no requests, but is not reported as lost to the policy module, since its
// attempts in flight may still be answered.
func TestZoneWithAllBackendsDraining(t *testing.T) {
	f := newTestFleet(t, Config{})
	f.run(2*time.Second, nil)
	for i := range f.list {
		if f.list[i].Zone == "c" {
			f.list[i].State = policy.Draining
		}
	}
	f.tracker.UpdateBackends(f.now, f.list, false)
	f.run(100*ms, nil)
	if entry := f.entry("c"); entry.Lost || entry.Rate != 0 {
		t.Fatalf("got zone %+v, want rate 0 and not lost", entry)
	}
	if s := f.zoneStatus("c"); !strings.Contains(s.Reason, "draining") {
		t.Fatalf("got %+v, want a reason that says draining", s)
	}
}

// If all zones are lost, none is closed, since no healthy zone is left to protect.
func TestAllLost(t *testing.T) {
	f := newTestFleet(t, Config{})
	f.run(2*time.Second, nil)
	f.refusing = map[string]bool{"a": true, "b": true, "c": true}
	f.run(2*time.Second, nil)
	for _, z := range f.event.Zones {
		if z.Rate >= 0 || z.Lost || z.Price != 1 || len(z.Unproven) > 0 {
			t.Errorf("got zone %+v, want it open at price 1", z)
		}
	}
	if !f.status().Panic {
		t.Error("got no panic, want one")
	}
}
