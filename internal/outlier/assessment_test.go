package outlier

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms  = time.Millisecond
	now = time.Hour
)

var testConfig = Config{Zone: "a", HalfLife: 12 * time.Second}

// adverseReport returns an adverse report with failure evidence bad, of a fault that began onsetAge ago.
func adverseReport(owner, zone string, bad float64, onsetAge time.Duration) PeerObservation {
	return PeerObservation{owner, zone, Observation{
		Backend: "n", FailureEvidence: bad, Onset: now - onsetAge, LastFailure: now - onsetAge/4, Cause: Slow,
	}}
}

// favorableReport returns a favorable report with success evidence good, of a success that was age ago.
func favorableReport(owner, zone string, good float64, age time.Duration) PeerObservation {
	return PeerObservation{owner, zone, Observation{Backend: "n", SuccessEvidence: good, LastSuccess: now - age}}
}

// ownObservation returns this instance's observation, with the ages of its last success and of its last failure.
func ownObservation(good, bad float64, goodAge, badAge time.Duration) Observation {
	o := Observation{Backend: "n", SuccessEvidence: good, FailureEvidence: bad}
	if good > 0 {
		o.LastSuccess = now - goodAge
	}
	if bad > 0 {
		o.LastFailure, o.Onset = now-badAge, now-badAge
	}
	return o
}

// slownessRange is a closed range of slowness.
type slownessRange struct{ min, max float64 }

var (
	healthy = slownessRange{1, 1}
	ejected = slownessRange{6, 8}
)

// noObservation is the observation of an instance that has sent nothing to the backend.
var noObservation = Observation{Backend: "n"}

func weakReport(owner string) PeerObservation { return adverseReport(owner, "a", 1, time.Second) }

var assessCases = map[string]struct {
	own     Observation
	reports []PeerObservation
	want    slownessRange
}{
	"no report": {noObservation, nil, healthy},
	"one report, however strong": {noObservation, []PeerObservation{
		adverseReport("x", "a", 8, time.Second),
	}, healthy},
	"two reports from this zone": {noObservation, []PeerObservation{
		adverseReport("x", "a", 3, time.Second),
		adverseReport("y", "a", 3, time.Second),
	}, ejected},
	"one report and own evidence": {ownObservation(0, 3, 0, 200*ms), []PeerObservation{
		adverseReport("x", "a", 3, time.Second),
	}, ejected},
	"two reports from another zone": {noObservation, []PeerObservation{
		adverseReport("x", "b", 3, time.Second),
		adverseReport("y", "b", 3, time.Second),
	}, healthy},
	"one report from each of two other zones": {noObservation, []PeerObservation{
		adverseReport("x", "b", 3, time.Second),
		adverseReport("y", "c", 3, time.Second),
	}, ejected},
	"reports from two zones, but it serves this instance": {ownObservation(4, 0, 100*ms, 0), []PeerObservation{
		adverseReport("x", "b", 8, time.Second),
		adverseReport("y", "b", 8, time.Second),
		adverseReport("z", "c", 8, time.Second),
	}, healthy},
	"it served this instance only before the fault": {ownObservation(4, 0, 2*time.Second, 0), []PeerObservation{
		adverseReport("x", "a", 3, time.Second),
		adverseReport("y", "a", 3, time.Second),
	}, ejected},
	"two reports, but it serves two other instances": {noObservation, []PeerObservation{
		adverseReport("x", "a", 3, time.Second),
		adverseReport("y", "a", 3, time.Second),
		favorableReport("v", "a", 4, 100*ms),
		favorableReport("w", "a", 4, 100*ms),
	}, healthy},
	"two reports, and it served another instance before the fault": {noObservation, []PeerObservation{
		adverseReport("x", "a", 3, time.Second),
		adverseReport("y", "a", 3, time.Second),
		favorableReport("v", "a", 4, 2*time.Second),
	}, ejected},
	"a momentary queue, after which it served another instance": {noObservation, []PeerObservation{
		adverseReport("x", "a", 3, time.Second),
		adverseReport("y", "a", 3, 300*ms),
		favorableReport("v", "a", 8, 500*ms),
	}, healthy},
	"a fault that began just now": {noObservation, []PeerObservation{
		adverseReport("x", "a", 3, 100*ms),
		adverseReport("y", "a", 3, 100*ms),
	}, healthy},
	"two weak reports": {noObservation, []PeerObservation{weakReport("x"), weakReport("y")}, healthy},
	"six weak reports": {noObservation, []PeerObservation{
		weakReport("1"), weakReport("2"), weakReport("3"), weakReport("4"), weakReport("5"), weakReport("6"),
	}, ejected},
	"old reports": {noObservation, []PeerObservation{
		adverseReport("x", "a", 3, 4*20*time.Second),
		adverseReport("y", "a", 3, 4*20*time.Second),
	}, slownessRange{1.5, 4}},
	"reports beyond the horizon": {noObservation, []PeerObservation{
		adverseReport("x", "a", 8, 4*31*time.Second),
		adverseReport("y", "a", 8, 4*31*time.Second),
	}, healthy},
}

// Which reports count, and with what weight.
func TestAssess(t *testing.T) {
	for name, c := range assessCases {
		t.Run(name, func(t *testing.T) {
			got := Assess(now, testConfig, c.own, c.reports)
			if got.Slowness < c.want.min || got.Slowness > c.want.max {
				t.Errorf("got %+v, want a slowness from %v to %v", got, c.want.min, c.want.max)
			}
		})
	}
}

// drawReports draws the reports of up to three owners.
func drawReports(t *rapid.T) []PeerObservation {
	t.Helper()
	report := rapid.Custom(func(t *rapid.T) PeerObservation {
		r := adverseReport(
			rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "owner"),
			rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
			rapid.Float64Range(0, 8).Draw(t, "bad"),
			time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "onset age")),
		)
		if rapid.Bool().Draw(t, "favorable") {
			return favorableReport(r.Owner, r.Zone, r.FailureEvidence, time.Second)
		}
		return r
	})
	owner := func(r PeerObservation) string { return r.Owner }
	return rapid.SliceOfNDistinct(report, 0, 3, owner).Draw(t, "reports")
}

func countAdverse(reports []PeerObservation) int {
	adverse := 0
	for _, r := range reports {
		if r.IsAdverse() {
			adverse++
		}
	}
	return adverse
}

// The report of a single owner never makes a backend slow, however strong it is, and never counts for more than one.
// The order of the reports does not matter.
func TestSingleReportNeverEjects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := drawReports(t)
		got := Assess(now, testConfig, noObservation, reports)
		permuted := Assess(now, testConfig, noObservation, rapid.Permutation(reports).Draw(t, "order"))
		if math.Abs(got.Slowness-permuted.Slowness) > 1e-9 {
			t.Fatalf("got slowness %v in another order, want %v", permuted.Slowness, got.Slowness)
		}
		if adverse := countAdverse(reports); adverse < 2 && got.Slowness > 1 {
			t.Fatalf("got %+v from %d adverse reports, want slowness 1", got, adverse)
		}
		if got.Slowness > maxSlowness || got.Slowness < 1 {
			t.Fatalf("got %+v, want a slowness from 1 to %v", got, maxSlowness)
		}
		strengthened := slices.Clone(reports)
		for i := range strengthened {
			if strengthened[i].IsAdverse() && strengthened[i].FailureEvidence >= fullWeight {
				strengthened[i].FailureEvidence *= 1000
			}
		}
		if strong := Assess(now, testConfig, noObservation, strengthened); strong.Slowness > got.Slowness+1e-9 {
			t.Fatalf("got slowness %v from reports with more than full weight, want %v", strong.Slowness, got.Slowness)
		}
	})
}

// If a quorum reports against too many backends, none is ejected.
func TestLimitEjections(t *testing.T) {
	for suspected, want := range map[int]bool{0: false, 1: false, 3: false, 4: true, 12: true} {
		assessments := make([]Assessment, 12)
		for i := range assessments {
			assessments[i].Slowness = 1
			if i < suspected {
				assessments[i] = Assessment{Slowness: 6, AdverseCount: 2}
			}
		}
		if got := LimitEjections(assessments, 12); got != want {
			t.Errorf("%d of 12: got %v, want %v", suspected, got, want)
		}
		for _, a := range assessments {
			if want && a.Slowness > 1 {
				t.Errorf("%d of 12: got slowness %v, want 1", suspected, a.Slowness)
			}
		}
	}
}
