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

// operation is one operation of a tenant of storby that asks for a unit and was answered so long after it was due.
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
		// Two sevenths are complete, in the worst ten seconds and plan too; the worst class has nothing.
		"a class lost":     {operations: classLost, want: 0.5*2/7 + 0.25*2/7 + 0.15*2/7},
		"one crossing":     {operations: []Operation{served}, costs: Costs{CrossZoneSends: 1}, want: 0.99},
		"one counter call": {operations: []Operation{served}, costs: Costs{CounterCalls: 1}, want: 0.995},
		"work twice over": {
			operations: []Operation{served},
			costs:      Costs{WorkRequested: 10 * ms, WorkDone: 20 * ms},
			want:       0.97,
		},
		"one beyond": {
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

// A build that serves all that is requested is never better than one that serves just what is within quotas, and
// worse as soon as anything was beyond.
func TestBeyondNeverPays(t *testing.T) {
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

// An outage of ten seconds shows in the worst of them, whatever the length of the run.
func TestWorst10s(t *testing.T) {
	var all []Operation
	for second := range 60 {
		served := second < 20 || second >= 30
		all = append(all, operation("read", time.Duration(second)*time.Second, ms, served))
	}
	score := ComputeScore(classes, plans, all, nil, Costs{})
	if score.Worst10s != 0 || math.Abs(score.Complete-50.0/60) > 1e-9 {
		t.Fatalf("got %+v, want nothing in the worst ten seconds and 50 of 60 seconds complete", score)
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
	latencies.Add(time.Hour) // more than it can hold counts as the most
	if got := latencies.QuantileMS(0.5); got < 499 || got > 502 {
		t.Fatalf("got a median of %v ms, want 499 to 502", got)
	}
	if got := latencies.QuantileMS(1); got < 119000 {
		t.Fatalf("got a maximum of %v ms, want 119000 at least", got)
	}
}
