package policy

import (
	"fmt"
	"strings"
	"testing"
)

func TestUnusableSettingsGiveAnError(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"instances": func(s *Settings) { s.Instances = 0 },
		"index":     func(s *Settings) { s.Index = 2 },
		"classes":   func(s *Settings) { s.Classes = nil },
		"objective": func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"rate":      func(s *Settings) { s.Plans[0].Rate = -1 },
		"refill":    func(s *Settings) { s.Plans[0].Rate, s.Plans[0].Burst, s.MaxUnits = 1e10, 1, 1 },
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			change(&settings)
			if _, err := New(settings, 1); err == nil {
				t.Error("got no error, want one")
			}
		})
	}
}

// An engine with minimal settings (no counter, no hedging, no cancellation, no slow
// start) works without a panic.
func TestSparseSettingsAreDecided(t *testing.T) {
	settings := testSettings()
	settings.Counter = false
	settings.Hedging = false
	settings.MayCancel = false
	settings.SlowStartWindow = 0
	settings.Plans = []Plan{{Name: "small", Price: 1, Rate: 2}}
	h := newHarness(t, settings, runningBackends("s")...)
	sent := 0
	for id := RequestID(1); id <= 20; id++ {
		actions := append(h.arrive(id, "read", "small"), h.notify(succeeded(id, "s", ms))...)
		actions = append(actions, h.advance(200*ms)...)
		sent += len(actionsOf[SendAttempt](actions))
		if len(actionsOf[AddToCounter](actions)) > 0 {
			t.Fatal("the counter was called, but there is none")
		}
	}
	if sent < 3 || sent > 8 { // half of 2 units per second for 4 s, and the share of the burst
		t.Fatalf("got %d sends, want 3 to 8", sent)
	}
}

// Guards against a division by zero and an overflow of time.Duration when a plan's
// rate fills its burst in almost no time or takes extremely long.
func TestExtremeRatesAreDecided(t *testing.T) {
	for _, rate := range []float64{1e9, 1e-12} {
		t.Run(fmt.Sprint("rate ", rate), func(t *testing.T) {
			settings := testSettings()
			settings.MaxUnits = 1
			settings.Plans = []Plan{{Name: "small", Price: 1, Rate: rate, Burst: 1}}
			h := newHarness(t, settings, runningBackends("s")...)
			for id := RequestID(1); id <= 20; id++ {
				h.arrive(id, "read", "small")
				h.advance(200 * ms)
			}
			for _, tenant := range h.engine.tenants {
				if tenant.sparse && tenant.grantWindow <= 0 {
					t.Errorf("got grant window %v, want a positive one", tenant.grantWindow)
				}
			}
		})
	}
	settings := testSettings()
	settings.MaxUnits = 1
	settings.Plans = []Plan{{Name: "fast", Price: 1, Rate: 1e10, Burst: 1}}
	_, err := New(settings, 1)
	if err == nil || !strings.Contains(err.Error(), "fast") || !strings.Contains(err.Error(), "1e+10") {
		t.Errorf("got %v, want an error that names the plan and its rate", err)
	}
}

func TestEnginesShareNoState(t *testing.T) {
	run := func(beside bool) string {
		first := newHarness(t, testSettings(), runningBackends("s", "u")...)
		second := newHarness(t, testSettings(), runningBackends("s")...)
		log := ""
		for id := RequestID(1); id <= 200; id++ {
			if beside {
				second.arrive(id, "read", "small")
			}
			log += fmt.Sprint(first.arrive(id, "read", "small"), first.advance(30*ms))
		}
		return log
	}
	if run(false) != run(true) {
		t.Fatal("the actions of an engine differ when another engine runs at the same time")
	}
}
