package sim

import (
	"fmt"
	"testing"
	"time"

	"hitchspring/internal/golden"
)

// TestGoldenReport compares the report of one fleet with a golden file, so that a change
// in the policy's decisions or in the simulator shows.
func TestGoldenReport(t *testing.T) {
	f := testFleet(20, 7)
	f.Length = 6 * time.Second
	f.Faults = []Fault{
		SlowBackends(time.Second, 2, 6, 2*time.Second),
		LoseZone(2*time.Second, "b", 2*time.Second),
		KillInstances(3*time.Second, 4, time.Second),
		ReplaceBackends(3*time.Second, 6, 2*time.Second),
	}
	report := mustRun(t, f)
	golden.Compare(t, "report", fmt.Appendf(nil, "%v\n", *report)) // %v omits field names
}
