package sim

import (
	"fmt"
	"testing"
	"time"

	"hitchspring/internal/golden"
)

// One fleet with a seed of its own, played to the end: whatever the decisions change shows in the report.
func TestGoldenReport(t *testing.T) {
	f := base(20, 7)
	f.Length = 6 * second
	f.Faults = []Fault{Crawl(time.Second, 2, 6, 2*second), LoseHall(2*second, "b", 2*second), Kill(3*second, 4, second), Replace(3*second, 6, 2*second)}
	r, err := Play(f)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "report", fmt.Appendf(nil, "%v\n", *r)) // the values alone: a renamed field changes nothing
}
