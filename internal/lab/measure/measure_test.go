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

// operation returns an operation of one unit by a tenant of the plan storby that was answered latency after it was due.
func operation(class string, due, latency time.Duration, served bool) Operation {
	return Operation{
		Due:        due,
		Tenant:     "storby",
		Plan:       "storby",
		Class:      class,
		Units:      1,
		Served:     served,
		AnsweredAt: due + latency,
	}
}

func TestComputeScore(t *testing.T) {
	served := operation("read", 0, 100*ms, true)
	classLost := []Operation{operation("read", 0, ms, true), operation("publish", 0, ms, false)}
	for name, c := range map[string]struct {
		operations []Operation
		excess     []ExcessAttempt
		costs      Costs
		want       float64
	}{
		"all served":          {operations: []Operation{served}, want: 1},
		"too late earns less": {operations: []Operation{operation("read", 0, 500*ms, true)}, want: 0.1},
		"rejected":            {operations: []Operation{operation("read", 0, 10*ms, false)}, want: 0},
		"failed too late":     {operations: []Operation{operation("read", 0, 900*ms, false)}, want: -0.05},
		// Complete, Worst10s and WorstPlan are 2/7; WorstClass is 0.
		"one class failed":    {operations: classLost, want: 0.5*2/7 + 0.25*2/7 + 0.15*2/7},
		"one cross-zone send": {operations: []Operation{served}, costs: Costs{CrossZoneSends: 1}, want: 0.99},
		"one counter call":    {operations: []Operation{served}, costs: Costs{CounterCalls: 1}, want: 0.995},
		"all work done twice": {
			operations: []Operation{served},
			costs:      Costs{WorkRequested: 10 * ms, WorkDone: 20 * ms},
			want:       0.97,
		},
		"one attempt beyond the quota": {
			operations: []Operation{served},
			excess:     []ExcessAttempt{{0, "storby", "read", 1}},
			want:       0.4,
		},
	} {
		t.Run(name, func(t *testing.T) {
			got := ComputeScore(classes, plans, c.operations, c.excess, c.costs).Service
			if math.Abs(got-c.want) > 1e-9 {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// A build that serves all requests never scores better than one that serves only those within quotas, and scores worse
// if any request was beyond its quota.
func TestServingBeyondQuotaNeverImprovesScore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Operation
		gap := rapid.IntRange(1, 200).Draw(t, "gap")
		for i := range rapid.IntRange(1, 200).Draw(t, "n") {
			all = append(all, operation("read", time.Duration(i*gap)*ms, 50*ms, true))
		}
		var enforced []Operation
		var excess []ExcessAttempt
		for i, within := range withinQuota(plans, all) {
			o := all[i]
			o.Served = within
			if !within {
				excess = append(excess, ExcessAttempt{o.Due, "storby", "read", 1})
			}
			enforced = append(enforced, o)
		}
		quotaScore := ComputeScore(classes, plans, enforced, nil, Costs{})
		allScore := ComputeScore(classes, plans, all, excess, Costs{})
		notWorse := len(excess) > 0 && allScore.Service > quotaScore.Service-1e-9
		if math.Abs(quotaScore.Service-1) > 1e-9 || allScore.Service > quotaScore.Service+1e-9 || notWorse {
			t.Fatalf("%d beyond: got %+v within quotas, %+v for all", len(excess), quotaScore, allScore)
		}
	})
}

// An outage of ten seconds lowers Worst10s to 0, independent of the length of the run.
func TestWorst10s(t *testing.T) {
	var all []Operation
	for second := range 60 {
		served := second < 20 || second >= 30
		all = append(all, operation("read", time.Duration(second)*time.Second, ms, served))
	}
	score := ComputeScore(classes, plans, all, nil, Costs{})
	if score.Worst10s != 0 || math.Abs(score.Complete-50.0/60) > 1e-9 {
		t.Fatalf("got %+v, want 0 for the worst ten seconds and 50/60 complete", score)
	}
}

func TestLatencies(t *testing.T) {
	latencies := NewLatencies()
	if got := latencies.QuantileMS(0.5); got != 0 {
		t.Fatalf("got %v ms of an empty histogram, want 0", got)
	}
	for i := 1; i <= 1000; i++ {
		latencies.Add(time.Duration(i) * ms)
	}
	latencies.Add(time.Hour) // above the range: counts as the maximum
	if got := latencies.QuantileMS(0.5); got < 499 || got > 502 {
		t.Fatalf("got a median of %v ms, want 499 to 502", got)
	}
	if got := latencies.QuantileMS(1); got < 119000 {
		t.Fatalf("got a maximum of %v ms, want at least 119000", got)
	}
}
