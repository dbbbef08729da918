package lab

import (
	"testing"
	"time"

	"hitchspring/internal/lab/scenario"
)

// sendsBetween returns the number of commands that a zone's backends got between two times of the load, in seconds.
func sendsBetween(r *Report, zone string, from, to float64) (n float64) {
	for _, h := range r.Zones {
		if h.Zone != "hall-"+zone {
			continue
		}
		for k, v := range h.Sends {
			if at := float64(k) * zoneSpan.Seconds(); at >= from && at+zoneSpan.Seconds() <= to {
				n += v * zoneSpan.Seconds()
			}
		}
	}
	return n
}

func sendRates(r *Report, zone string) []float64 {
	for _, h := range r.Zones {
		if h.Zone == "hall-"+zone {
			return h.Sends
		}
	}
	return nil
}

// Checks outages and drains of zones with three zones and three instances that route by zone: no rule is violated, and
// a zone that is lost or drained gets no commands once this is detected, and commands again after its return.
func TestZones(t *testing.T) {
	type span struct {
		hall     string
		from, to float64
	}
	for name, c := range map[string]struct {
		faults []string
		store  string
		http   float64
		quiet  []span // the zone gets no commands
		back   string // zone that must get commands in the last second: one past slow start, or the only one left
	}{
		"dies":                {faults: []string{"hall/a:die 3s at 2s"}, quiet: []span{{"a", 2.5, 5}}},
		"vanishes":            {faults: []string{"hall/a:vanish 3s at 1s"}, quiet: []span{{"a", 3.5, 4}}},
		"through both fronts": {faults: []string{"hall/b:vanish 4s at 1500ms"}, http: 0.5, quiet: []span{{"b", 5, 5.5}}},
		"fails again":         {faults: []string{"hall/a:die 1500ms at 1500ms", "hall/a:die 1500ms at 5s"}, quiet: []span{{"a", 2, 3}, {"a", 5.5, 6.5}}},
		"one by one":          {faults: []string{"hall/c:trickle 2s 500ms at 1500ms"}, quiet: []span{{"c", 2, 3}}},
		"two at once":         {faults: []string{"hall/a:vanish 3s at 2s", "hall/c:die 3s at 2s"}, quiet: []span{{"c", 2.5, 4.5}}},
		"all die":             {faults: []string{"hall/a:die 2500ms at 2s", "hall/b:die 2s at 2s", "hall/c:die 2s at 2s"}, quiet: []span{{"a", 2.5, 4}, {"b", 2.5, 4}}, back: "c"},
		"cut from one":        {faults: []string{"hall/a:cut 0 3s at 2s"}, back: "a"},
		"half drained":        {faults: []string{"node/0:drain at 500ms", "node/3:drain at 500ms", "node/6:stop at 3s", "node/9:stop at 3s"}, quiet: []span{{"a", 6, 9}}},
		"with the store":      {faults: []string{"hall/a:die 3s at 2s", "store:stop 2s at 2s"}, store: scenario.StoreRedis, quiet: []span{{"a", 2.5, 5}}},
		"drill":               {faults: []string{"hall/b:drill 4s at 1500ms"}, quiet: []span{{"b", 3.5, 5}}, back: "b"},
		"while nodes lose":    {faults: []string{"hall/a:die 3s at 2s", "node/1:drop-after for 4s share 0.2 at 2s", "node/2:drop-before for 4s share 0.2 at 2s"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cfg := testConfig(t)
			cfg.HotQuotaFactor, cfg.For, cfg.Zones, cfg.Faults, cfg.Store, cfg.HTTPShare = 0, 10*time.Second, true, c.faults, c.store, c.http
			if c.back != "" {
				cfg.Rate = 1
			}
			r := runUntilOnTime(t, cfg)
			requireRules(t, r)
			for _, s := range c.quiet {
				if n := sendsBetween(r, s.hall, s.from, s.to); n > 0 {
					t.Errorf("got %.0f commands to zone %s between %.1f and %.1f s: %.0f", n, s.hall, s.from, s.to, sendRates(r, s.hall))
				}
			}
			if c.back != "" && sendsBetween(r, c.back, 9, 10) == 0 {
				t.Errorf("got no commands to zone %s at the end: %.0f", c.back, sendRates(r, c.back))
			}
		})
	}
}
