package measure

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

var (
	classes = map[string]Class{"read": {2, 400 * ms, 0.1}, "publish": {5, 1500 * ms, 0.2}}
	plans   = map[string]Plan{"storby": {1.6, 10, 20, 0.6}, "bygd": {0.9, 1, 5, 0.8}}
)

func wish(plan, class string, due, took time.Duration, served bool) Operation {
	return Operation{Due: due, Tenant: plan, Plan: plan, Class: class, Units: 1, Served: served, AnsweredAt: due + took}
}

func TestRate(t *testing.T) {
	served := wish("storby", "read", 0, 100*ms, true)
	for name, c := range map[string]struct {
		wishes  []Operation
		beyond  []ExcessAttempt
		costs   Costs
		service float64
	}{
		"all served":          {[]Operation{served}, nil, Costs{}, 1},
		"too late earns less": {[]Operation{wish("storby", "read", 0, 500*ms, true)}, nil, Costs{}, 0.1},
		"refused":             {[]Operation{wish("storby", "read", 0, 10*ms, false)}, nil, Costs{}, 0},
		"failed too late":     {[]Operation{wish("storby", "read", 0, 900*ms, false)}, nil, Costs{}, -0.05},
		// Half of the whole and of the worst 10 s; the worst class and plan are lost.
		"a class lost":     {[]Operation{wish("storby", "read", 0, ms, true), wish("storby", "publish", 0, ms, false)}, nil, Costs{}, 0.5*2/7 + 0.25*2/7 + 0.15*2/7},
		"one crossing":     {[]Operation{served}, nil, Costs{CrossZoneSends: 1}, 0.99},
		"one counter call": {[]Operation{served}, nil, Costs{CounterCalls: 1}, 0.995},
		"work twice over":  {[]Operation{served}, nil, Costs{WorkRequested: 10 * ms, WorkDone: 20 * ms}, 0.97},
		"one beyond":       {[]Operation{served}, []ExcessAttempt{{0, "storby", "read", 1}}, Costs{}, 0.4},
	} {
		if got := ComputeScore(classes, plans, c.wishes, c.beyond, c.costs).Service; math.Abs(got-c.service) > 1e-9 {
			t.Errorf("%s: %v, want %v", name, got, c.service)
		}
	}
}

// A build that serves all that is asked for is never better than one that serves just what is inside quotas, and worse as
// soon as anything was beyond.
func TestBeyondNeverPays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Operation
		gap := rapid.IntRange(1, 200).Draw(t, "gap")
		for i := range rapid.IntRange(1, 200).Draw(t, "n") {
			all = append(all, wish("storby", "read", time.Duration(i*gap)*ms, 50*ms, true))
		}
		var kept []Operation
		var beyond []ExcessAttempt
		for i, in := range withinQuota(plans, all) {
			w := all[i]
			if w.Served = in; !in {
				beyond = append(beyond, ExcessAttempt{w.Due, "storby", "read", 1})
			}
			kept = append(kept, w)
		}
		k, b := ComputeScore(classes, plans, kept, nil, Costs{}), ComputeScore(classes, plans, all, beyond, Costs{})
		if math.Abs(k.Service-1) > 1e-9 || b.Service > k.Service+1e-9 || len(beyond) > 0 && b.Service > k.Service-1e-9 {
			t.Fatalf("%d beyond: kept %+v, all %+v", len(beyond), k, b)
		}
	})
}

// A hole of ten seconds shows in the worst of them, whatever the length of the run.
func TestWorst(t *testing.T) {
	var all []Operation
	for s := range 60 {
		all = append(all, Operation{Due: time.Duration(s) * time.Second, Tenant: "c", Plan: "storby", Class: "read", Units: 1, Served: s < 20 || s >= 30, AnsweredAt: time.Duration(s)*time.Second + ms})
	}
	if s := ComputeScore(classes, plans, all, nil, Costs{}); s.Worst10s != 0 || math.Abs(s.Complete-50.0/60) > 1e-9 {
		t.Fatalf("%+v", s)
	}
}

func TestLatencies(t *testing.T) {
	l := NewLatencies()
	if l.QuantileMS(0.5) != 0 {
		t.Fatal(l.QuantileMS(0.5))
	}
	for i := 1; i <= 1000; i++ {
		l.Add(time.Duration(i) * ms)
	}
	l.Add(time.Hour) // more than it can hold counts as the most
	if p := l.QuantileMS(0.5); p < 499 || p > 502 {
		t.Fatal(p)
	}
	if p := l.QuantileMS(1); p < 119000 {
		t.Fatal(p)
	}
}
