package sim

import (
	"fmt"
	"testing"
	"time"

	"hitchspring/internal/golden"
)

// One fleet with a seed of its own, played to the end: whatever changes in the
// decisions shows in the report.
func TestGoldenReport(t *testing.T) {
	f := testFleet(20, 7)
	f.Length = 6 * time.Second
	f.Faults = []Fault{
		SlowBackends(time.Second, 2, 6, 2*time.Second),
		LoseZone(2*time.Second, "b", 2*time.Second),
		KillInstances(3*time.Second, 4, time.Second),
		ReplaceBackends(3*time.Second, 6, 2*time.Second),
	}
	report := play(t, f)
	golden.Compare(t, "report", fmt.Appendf(nil, "%v\n", *report)) // the values alone: a renamed field changes nothing
}
