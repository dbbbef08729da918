package sim

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// testFleet returns a fleet at some six tenths of what it can do.
func testFleet(instances int, seed uint64) Fleet {
	return Fleet{
		Seed:        seed,
		Instances:   instances,
		Backends:    30,
		Rate:        250,
		Tenants:     160,
		Length:      14 * time.Second,
		CounterRate: 120,
		ListDelay:   1500 * time.Millisecond,
	}
}

func play(t *testing.T, f Fleet) *Report {
	t.Helper()
	report, err := Play(f)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// checkReport fails the test for each rule that a report breaks.
func checkReport(t *testing.T, name string, r *Report) {
	t.Helper()
	if r.Answers+r.Lost != r.Requests || r.AnsweredTwice > 0 || r.AnsweredLate > 0 {
		t.Errorf("%s: %d requests: got %d answers, %d lost with their instance, %d answered twice, %d late",
			name, r.Requests, r.Answers, r.Lost, r.AnsweredTwice, r.AnsweredLate)
	}
	if len(r.Overloaded) > 0 {
		t.Errorf("%s: got %v overloaded in slow start, want none", name, r.Overloaded)
	}
	if r.SentToDraining > 0 {
		t.Errorf("%s: got %d sends to backends that drain or are gone, after the grace", name, r.SentToDraining)
	}
	if r.OverCeiling > 6+ceilingRate*0.15 {
		t.Errorf("%s: got a tenant %.1f units over its ceiling", name, r.OverCeiling)
	}
}

// scenario is what happens to a fleet, of which 80 instances serve at least a share
// of what 3 serve.
type scenario struct {
	faults         func(instances int) []Fault
	counterRejects float64
	listDelay      time.Duration // beyond the usual
}

func scenarios() map[string]scenario {
	const second = time.Second
	calm := func(int) []Fault { return nil }
	return map[string]scenario{
		"calm": {faults: calm},
		"most instances killed within a second, the list silent for 8 s": {
			faults:    func(n int) []Fault { return []Fault{KillInstances(4*second, n*7/8, 3*second)} },
			listDelay: 8 * second,
		},
		"a zone lost without notice and back in slow start": {
			faults: func(int) []Fault { return []Fault{LoseZone(3*second, "b", 5*second)} },
		},
		"six backends in ten replaced within 7 s while two are slow": {
			faults: func(int) []Fault {
				return []Fault{SlowBackends(2*second, 2, 6, 12*second), ReplaceBackends(3*second, 18, 7*second)}
			},
		},
		"one backend refuses, one hangs": {
			faults: func(int) []Fault { return []Fault{RefuseConnections(3*second, 4), HangBackend(3*second, 7)} },
		},
		"the counter rejects half of the calls": {faults: calm, counterRejects: 0.5},
		"one instance is notified 5 s after the rest": {
			faults: func(int) []Fault { return []Fault{DelayList(1, 5*second), LoseZone(3*second, "c", 5*second)} },
		},
	}
}

// Each scenario at 3 and at 80 instances under the same load and the same faults.
func TestScenarios(t *testing.T) {
	const minServed = 0.90 // at 80 instances, of what is served at 3
	if testing.Short() {
		t.Skip("plays a fleet of 80")
	}
	for name, sc := range scenarios() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			few, many := sc.served(t, name, 3), sc.served(t, name, 80)
			t.Logf("served %.3f at 3 instances, %.3f at 80: %.2f", few, many, many/few)
			if many < minServed*few {
				t.Errorf("got %.3f served at 80 instances, want %.2f of the %.3f at 3", many, minServed, few)
			}
		})
	}
}

// served returns the share of the offered weight that is served, over two seeds.
func (sc scenario) served(t *testing.T, name string, instances int) float64 {
	t.Helper()
	served := 0.0
	for seed := range uint64(2) {
		f := testFleet(instances, seed+1)
		f.Faults = sc.faults(instances)
		f.CounterRejects = sc.counterRejects
		f.ListDelay += sc.listDelay
		report := play(t, f)
		checkReport(t, name, report)
		served += report.ServedWeight / report.OfferedWeight / 2
	}
	return served
}

// The same seed is the same run, another one is not.
func TestSeed(t *testing.T) {
	var reports [3]*Report
	for i, seed := range []uint64{7, 7, 8} {
		f := testFleet(20, seed)
		f.Length = 3 * time.Second
		f.Faults = []Fault{LoseZone(time.Second, "a", time.Second)}
		reports[i] = play(t, f)
	}
	if !reflect.DeepEqual(reports[0], reports[1]) {
		t.Errorf("got two reports of one seed: %+v, %+v", reports[0], reports[1])
	}
	if reflect.DeepEqual(reports[0], reports[2]) {
		t.Error("got one report of two seeds")
	}
}

// A fleet that cannot be played is an error, not a panic.
func TestBadFleets(t *testing.T) {
	for _, f := range []Fleet{
		{},
		{Instances: 1, Backends: 2, Tenants: 1, Rate: 1, Length: 1},
		{Instances: 1, Backends: 3, Tenants: 1, Length: 1},
		{Instances: 0, Backends: 3, Tenants: 1, Rate: 1, Length: 1},
	} {
		if _, err := Play(f); err == nil {
			t.Errorf("%+v: got no error, want one", f)
		}
	}
}

// The checks detect what they are for: attempts that are too many for a backend in
// slow start, and over a ceiling.
func TestChecksDetectViolations(t *testing.T) {
	f := testFleet(3, 1)
	f.Length = time.Second
	s := &simulation{Fleet: f, tenants: []*tenant{{id: "c", plan: plans()[1], ceilingLevel: ceilingBurst}}}
	b := &backend{cores: 2, speed: 1, slowdown: 1}
	s.startBackend(b)
	for range 100 {
		r := &request{}
		r.Tenant = "c"
		r.Units = 1
		s.checkRules(&attempt{request: r, backend: b, work: 0.1})
	}
	if len(s.report.Overloaded) != 1 || s.report.OverCeiling < 30 {
		t.Errorf("a hundred at once: got overloaded %v, %.1f over the ceiling; want one, and 30 or more",
			s.report.Overloaded, s.report.OverCeiling)
	}
}

// More instances than requests, or than backends, is a fleet as well.
func TestFewRequests(t *testing.T) {
	report := play(t, Fleet{
		Seed: 1, Instances: 80, Backends: 3, Tenants: 2, Rate: 3, Length: 5 * time.Second,
		Faults: []Fault{LoseZone(time.Second, "a", time.Second)},
	})
	checkReport(t, "few requests", report)
	if report.ServedWeight < report.OfferedWeight/2 {
		t.Errorf("got %.0f of %.0f served, want half or more", report.ServedWeight, report.OfferedWeight)
	}
}

// On a quiet day what all instances together admit beyond quotas costs at most 0.1
// of the weight inside them, also where the counter can take fewer calls than half
// of the requests. That is 0.1 more than under a policy that never admits anything
// beyond: none that sees the true state late can do with less.
func TestQuotasHoldForTheFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("plays fleets of 300")
	}
	for _, counterRate := range []float64{600, 120} {
		for _, instances := range []int{3, 20, 80, 300} {
			t.Run(fmt.Sprintf("%d instances, %v calls a second", instances, counterRate), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(3) {
					checkQuotas(t, instances, counterRate, seed+1)
				}
			})
		}
	}
}

func checkQuotas(t *testing.T, instances int, counterRate float64, seed uint64) {
	t.Helper()
	f := testFleet(instances, seed)
	f.DemandByQuota = true
	f.CounterRate = counterRate
	f.Length = 40 * time.Second
	r := play(t, f)
	checkReport(t, t.Name(), r)
	t.Logf("seed %d: %d requests, served %.3f of the weight inside quotas, paid %.3f for what is beyond",
		seed, r.Requests, r.ServedWeight/r.InsideWeight, r.ExcessPaid/r.InsideWeight)
	if r.ExcessPaid > 0.1*r.InsideWeight {
		t.Errorf("seed %d: got %.3f of the weight inside quotas paid for what is beyond, want 0.1 at most",
			seed, r.ExcessPaid/r.InsideWeight)
	}
}
