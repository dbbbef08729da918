package zones

import (
	"strings"
	"testing"
	"time"

	"hitchspring/policy"
)

// checkCalm fails unless all zones are up and have the prices of their priorities.
func checkCalm(t *testing.T, f *testFleet) {
	t.Helper()
	if s := f.status(); s.AvailableShare != 1 || s.Panic || s.PlannedSpill > 0.1 {
		t.Fatalf("got %+v before the loss, want all available", s)
	}
	for zone, want := range map[string]float64{"a": 1, "b": 2, "c": 3} {
		if got := f.fact(zone).Price; got != want {
			t.Fatalf("zone %s: got price %v, want %v", zone, got, want)
		}
	}
}

// checkOwnLost fails unless the own zone is lost, in the facts and in the status.
func checkOwnLost(t *testing.T, f *testFleet) {
	t.Helper()
	if fact := f.fact("a"); !fact.Lost || fact.Rate != 0 {
		t.Errorf("got fact %+v, want it lost with rate 0", fact)
	}
	if s := f.status(); s.PlannedSpill != 1 || s.AvailableShare > 0.67 || !strings.Contains(s.Reason, "lost") {
		t.Errorf("got status %+v, want a spill of 1 for the loss", s)
	}
}

// A zone that refuses is found lost within 0.3 s, one that says nothing within 1 s; nothing is sent there then, and its
// preference moves on. No other zone is touched.
func TestLoss(t *testing.T) {
	for name, c := range map[string]struct {
		lose func(*testFleet)
		max  time.Duration // until the loss is found
	}{
		"refusing": {func(f *testFleet) { f.refusing["a"] = true }, 300 * ms},
		"silent":   {func(f *testFleet) { f.silent["a"] = true }, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, Config{})
			f.run(3*time.Second, nil)
			checkCalm(t, f)
			c.lose(f)
			if took := f.run(5*time.Second, f.ownIs(Lost)); took > c.max {
				t.Errorf("found lost after %v, want at most %v", took, c.max)
			}
			checkOwnLost(t, f)
			before := f.status().Zones[0].Offered
			f.run(2*time.Second, nil)
			if after := f.zoneStatus("a").Offered; after > before/4 {
				t.Errorf("got %.1f attempts a second at the lost zone, want at most a quarter of %.1f", after, before)
			}
			for _, zone := range []string{"b", "c"} {
				if s := f.zoneStatus(zone); s.State != "up" || f.fact(zone).Rate >= 0 {
					t.Errorf("zone %s: got %+v, want it up and unlimited", zone, s)
				}
			}
		})
	}
}

// A zone whose backends all drain is lost without anyone being called dead: what is in flight there may still answer.
func TestLostByList(t *testing.T) {
	f := newTestFleet(t, Config{})
	f.run(2*time.Second, nil)
	for i := range f.list {
		if f.list[i].Zone == "c" {
			f.list[i].State = policy.Draining
		}
	}
	f.tracker.UpdateBackends(f.now, f.list, false)
	f.run(100*ms, nil)
	if fact := f.fact("c"); fact.Lost || fact.Rate != 0 {
		t.Fatalf("got fact %+v, want rate 0 and not lost", fact)
	}
	if s := f.zoneStatus("c"); !strings.Contains(s.Reason, "draining") {
		t.Fatalf("got %+v, want a reason that says draining", s)
	}
}

// Where all zones are lost none is closed, since there is nothing to protect.
func TestAllLost(t *testing.T) {
	f := newTestFleet(t, Config{})
	f.run(2*time.Second, nil)
	f.refusing = map[string]bool{"a": true, "b": true, "c": true}
	f.run(2*time.Second, nil)
	for _, z := range f.facts.Zones {
		if z.Rate >= 0 || z.Lost || z.Price != 1 || len(z.Unproven) > 0 {
			t.Errorf("got fact %+v, want it open at price 1", z)
		}
	}
	if !f.status().Panic {
		t.Error("got no panic, want one")
	}
}
