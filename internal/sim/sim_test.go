package sim

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// testFleet returns a fleet at about 60% of its capacity.
func testFleet(instances int, seed uint64) Fleet {
	return Fleet{
		Seed:              seed,
		Instances:         instances,
		Backends:          30,
		Rate:              250,
		Tenants:           160,
		Length:            14 * time.Second,
		CounterRate:       120,
		EndpointListDelay: 1500 * time.Millisecond,
	}
}

func mustRun(t *testing.T, f Fleet) *Report {
	t.Helper()
	report, err := Run(f)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// checkReport fails the test for each rule that the report violates.
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
		t.Errorf("%s: got %d attempts at draining or removed backends after the grace period", name, r.SentToDraining)
	}
	if r.OverCeiling > 6+ceilingRate*0.15 {
		t.Errorf("%s: got a tenant %.1f units over its ceiling", name, r.OverCeiling)
	}
}

// scenario is a set of faults under which 80 instances must serve almost as much weight
// as 3 instances.
type scenario struct {
	faults         func(instances int) []Fault
	counterRejects float64
	listDelay      time.Duration // added to the delay of testFleet
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
			faults: func(int) []Fault {
				return []Fault{DelayEndpointList(1, 5*second), LoseZone(3*second, "c", 5*second)}
			},
		},
	}
}

// TestScenarios runs each scenario with 3 and with 80 instances, under the same load and
// faults, and compares the weight that they serve.
func TestScenarios(t *testing.T) {
	const minServed = 0.90 // at 80 instances, as a fraction of the weight served at 3
	if testing.Short() {
		t.Skip("simulates 80 instances")
	}
	for name, sc := range scenarios() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			few, many := sc.servedShare(t, name, 3), sc.servedShare(t, name, 80)
			t.Logf("served %.3f at 3 instances, %.3f at 80: %.2f", few, many, many/few)
			if many < minServed*few {
				t.Errorf("got %.3f served at 80 instances, want %.2f of the %.3f at 3", many, minServed, few)
			}
		})
	}
}

// servedShare returns the served share of the offered weight, averaged over two seeds.
func (sc scenario) servedShare(t *testing.T, name string, instances int) float64 {
	t.Helper()
	servedShare := 0.0
	for seed := range uint64(2) {
		f := testFleet(instances, seed+1)
		f.Faults = sc.faults(instances)
		f.CounterRejects = sc.counterRejects
		f.EndpointListDelay += sc.listDelay
		report := mustRun(t, f)
		checkReport(t, name, report)
		servedShare += report.ServedWeight / report.OfferedWeight / 2
	}
	return servedShare
}

// TestSeedDeterminesReport checks that the same seed gives the same report and another
// seed gives another report.
func TestSeedDeterminesReport(t *testing.T) {
	var reports [3]*Report
	for i, seed := range []uint64{7, 7, 8} {
		f := testFleet(20, seed)
		f.Length = 3 * time.Second
		f.Faults = []Fault{LoseZone(time.Second, "a", time.Second)}
		reports[i] = mustRun(t, f)
	}
	if !reflect.DeepEqual(reports[0], reports[1]) {
		t.Errorf("got different reports for the same seed: %+v, %+v", reports[0], reports[1])
	}
	if reflect.DeepEqual(reports[0], reports[2]) {
		t.Error("got the same report for different seeds")
	}
}

// TestInvalidFleets checks that an invalid fleet is an error, not a panic.
func TestInvalidFleets(t *testing.T) {
	for _, f := range []Fleet{
		{},
		{Instances: 1, Backends: 2, Tenants: 1, Rate: 1, Length: 1},
		{Instances: 1, Backends: 3, Tenants: 1, Length: 1},
		{Instances: 0, Backends: 3, Tenants: 1, Rate: 1, Length: 1},
	} {
		if _, err := Run(f); err == nil {
			t.Errorf("%+v: got no error, want one", f)
		}
	}
}

// TestChecksDetectViolations checks that too many attempts at a backend in slow start,
// and beyond a tenant's ceiling, are reported.
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
		t.Errorf("100 attempts at once: got overloaded %v, %.1f over the ceiling; want one backend, and 30 or more",
			s.report.Overloaded, s.report.OverCeiling)
	}
}

// TestMoreInstancesThanRequests checks a fleet with more instances than requests and
// backends.
func TestMoreInstancesThanRequests(t *testing.T) {
	report := mustRun(t, Fleet{
		Seed: 1, Instances: 80, Backends: 3, Tenants: 2, Rate: 3, Length: 5 * time.Second,
		Faults: []Fault{LoseZone(time.Second, "a", time.Second)},
	})
	checkReport(t, "few requests", report)
	if report.ServedWeight < report.OfferedWeight/2 {
		t.Errorf("got %.0f of %.0f served, want half or more", report.ServedWeight, report.OfferedWeight)
	}
}

// TestQuotasHoldForTheFleet checks that, under normal load, the requests that all
// instances together admit beyond quotas cost at most 0.1 of the weight within quotas,
// even if the counter can process fewer calls than half of the requests. The bound is 0.1
// above the cost of a policy that never admits anything beyond a quota; no policy that
// learns the shared state late can cost less.
func TestQuotasHoldForTheFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates 300 instances")
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
	r := mustRun(t, f)
	checkReport(t, t.Name(), r)
	t.Logf("seed %d: %d requests, served %.3f of the weight within quotas, excess cost %.3f",
		seed, r.Requests, r.ServedWeight/r.WeightWithinQuotas, r.ExcessCostTotal/r.WeightWithinQuotas)
	if r.ExcessCostTotal > 0.1*r.WeightWithinQuotas {
		t.Errorf("seed %d: got an excess cost of %.3f of the weight within quotas, want 0.1 at most",
			seed, r.ExcessCostTotal/r.WeightWithinQuotas)
	}
}
