package sim

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// slowStartScenario is a way in which backends start while arrivals come several
// times as often as usual.
type slowStartScenario struct {
	name   string
	length time.Duration
	faults func(burst float64) []Fault
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

// fleet returns a fleet whose backends bear the fewer requests the more work each
// brings: one that has just started bears 17, 8 or 4 where the work is 1, 2 or 4
// times the usual. Instances are notified of the list at once, when a backend in
// slow start bears the least.
func (sc slowStartScenario) fleet(instances int, seed uint64, burst, work float64) Fleet {
	f := testFleet(instances, seed)
	f.Length = sc.length
	f.Faults = sc.faults(burst)
	f.Rate /= work
	f.WorkFactor = work
	f.ListDelay = 50 * time.Millisecond
	return f
}

// slowStartSummary is the nearest that any slow start came to its limit.
type slowStartSummary struct {
	starts    int
	attempts  int
	mean      SlowStart // nearest by mean work
	drawn     SlowStart // nearest by drawn work
	drawnOver int       // starts at which the drawn work passed the limit
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

// slowStartSeeds returns the seeds that each case is played with. Of the short list
// each has shown a policy that sends too much: 1 at 80 instances, 2 at 30, 17 at 20.
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

// Instances that each send what all together may are detected: the defect that the
// record is for.
func TestSlowStartRecordDetectsInstancesThatIgnoreOthers(t *testing.T) {
	for _, instances := range []int{30, 80} {
		f := slowStartScenarios()[0].fleet(instances, 1, 4.7, 2)
		f.assumedInstances = 1
		var summary slowStartSummary
		summary.add(play(t, f))
		if !summary.mean.Mean.IsViolation() {
			t.Errorf("%d instances, each as if alone: got %v, want a violation", instances, &summary)
		}
	}
}

// Attempts of instances that were not notified of a start are told apart, and so
// are the starts of one backend.
func TestSlowStartRecordKnowsWhoWasNotified(t *testing.T) {
	f := testFleet(3, 1)
	f.Length = 6 * time.Second
	f.ListDelay = 30 * time.Second // no instance is notified of the start
	f.Faults = []Fault{
		RestartBackend(time.Second, 4, 50*time.Millisecond),
		RestartBackend(3*time.Second, 4, 50*time.Millisecond),
	}
	report := play(t, f)
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

// A fleet with less than no work is an error.
func TestBadWork(t *testing.T) {
	f := testFleet(3, 1)
	f.WorkFactor = -1
	if _, err := Play(f); err == nil || !strings.Contains(err.Error(), "work -1") {
		t.Errorf("got error %v, want one with work -1", err)
	}
}
