package sim

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// slowStartScenario is a scenario in which backends start around a burst of arrivals.
type slowStartScenario struct {
	name     string
	duration time.Duration
	faults   func(burst float64) []Fault
}

func slowStartScenarios() []slowStartScenario {
	const second, length = time.Second, 4 * time.Second
	return []slowStartScenario{
		{"one returns under the burst", 10 * second, func(burst float64) []Fault {
			return []Fault{RestartBackend(1*second, 4, 2*second), Burst(3*second, burst, length)}
		}},
		{"one returns before the burst", 12 * second, func(burst float64) []Fault {
			return []Fault{RestartBackend(1*second, 4, 2*second), Burst(6*second, burst, length)}
		}},
		{"a zone returns", 10 * second, func(burst float64) []Fault {
			return []Fault{LoseZone(1*second, "b", 2*second), Burst(3*second, burst, length)}
		}},
		{"six are new", 10 * second, func(burst float64) []Fault {
			return []Fault{AddBackends(3*second, 6, second), Burst(3*second, burst, length)}
		}},
		{"one returns after the slow start of another", 33 * second, func(burst float64) []Fault {
			return []Fault{
				RestartBackend(1*second, 4, 2*second),
				RestartBackend(24*second, 7, 2*second),
				Burst(26*second, burst, length),
			}
		}},
		{"one returns while a zone is in slow start", 12 * second, func(burst float64) []Fault {
			return []Fault{
				LoseZone(1*second, "b", second),
				RestartBackend(5*second, 4, 2*second),
				Burst(7*second, burst, length),
			}
		}},
	}
}

// fleet returns a fleet for the scenario. The larger the work factor, the fewer requests
// a backend can bear: 17, 8 or 4 right after its start for a factor of 1, 2 or 4. The
// delay of the endpoint list is short, so that instances send to a backend while its
// capacity is lowest.
func (sc slowStartScenario) fleet(instances int, seed uint64, burst, work float64) Fleet {
	f := testFleet(instances, seed)
	f.Length = sc.duration
	f.Faults = sc.faults(burst)
	f.Rate /= work
	f.WorkFactor = work
	f.EndpointListDelay = 50 * time.Millisecond
	return f
}

// slowStartSummary sums up the slow starts of several reports, with those that came
// closest to their limit.
type slowStartSummary struct {
	starts    int
	attempts  int
	mean      SlowStart // closest to its limit by mean work
	drawn     SlowStart // closest to its limit by drawn work
	drawnOver int       // number of starts whose drawn work exceeded the limit
}

func (s *slowStartSummary) add(r *Report) {
	for _, start := range r.SlowStarts {
		s.starts++
		s.attempts += start.Attempts
		if start.Mean.Ratio() > s.mean.Mean.Ratio() {
			s.mean = start
		}
		if start.Drawn.Ratio() > s.drawn.Drawn.Ratio() {
			s.drawn = start
		}
		if start.Drawn.IsOverload() {
			s.drawnOver++
		}
	}
}

func (s *slowStartSummary) String() string {
	return fmt.Sprintf("%d slow starts, %d attempts, nearest %v; by drawn work %.2f, over at %d",
		s.starts, s.attempts, s.mean.Mean, s.drawn.Drawn.Ratio(), s.drawnOver)
}

// slowStartSeeds returns the seeds for each case. Each seed of the short list has detected
// a policy that overloads backends: 1 at 80 instances, 2 at 30, 17 at 20.
func slowStartSeeds() []uint64 {
	if os.Getenv("HITCHSPRING_TRIALS") == "" {
		return []uint64{1, 2, 17}
	}
	var all []uint64
	for seed := range uint64(20) {
		all = append(all, seed+1)
	}
	return all
}

// TestSlowStartRecordDetectsInstancesThatIgnoreOthers checks that the record detects
// instances that each use the whole budget of a backend as if they were alone.
func TestSlowStartRecordDetectsInstancesThatIgnoreOthers(t *testing.T) {
	for _, instances := range []int{30, 80} {
		f := slowStartScenarios()[0].fleet(instances, 1, 4.7, 2)
		f.assumedInstances = 1
		var summary slowStartSummary
		summary.add(mustRun(t, f))
		if !summary.mean.Mean.IsViolation() {
			t.Errorf("%d instances, each with the whole budget: got %v, want a violation", instances, &summary)
		}
	}
}

// TestSlowStartRecordCountsNotifiedInstances checks that attempts by instances that were
// not notified of a start are counted separately, and that two starts of one backend are
// reported separately.
func TestSlowStartRecordCountsNotifiedInstances(t *testing.T) {
	f := testFleet(3, 1)
	f.Length = 6 * time.Second
	f.EndpointListDelay = 30 * time.Second // no instance is notified of the start
	f.Faults = []Fault{
		RestartBackend(time.Second, 4, 50*time.Millisecond),
		RestartBackend(3*time.Second, 4, 50*time.Millisecond),
	}
	report := mustRun(t, f)
	if len(report.SlowStarts) != 2 || report.SlowStarts[0].Backend != report.SlowStarts[1].Backend {
		t.Fatalf("got slow starts %+v, want two of one backend", report.SlowStarts)
	}
	for _, start := range report.SlowStarts {
		if start.Attempts == 0 || start.Mean.Notified != 0 || start.Mean.IsViolation() {
			t.Errorf("got %d attempts, %v, of it from notified instances %v; want some, no violation, none",
				start.Attempts, start.Mean, start.Mean.Notified)
		}
	}
}

// TestNegativeWorkFactor checks that a negative work factor is an error.
func TestNegativeWorkFactor(t *testing.T) {
	f := testFleet(3, 1)
	f.WorkFactor = -1
	if _, err := Run(f); err == nil || !strings.Contains(err.Error(), "work -1") {
		t.Errorf("got error %v, want one with work -1", err)
	}
}
