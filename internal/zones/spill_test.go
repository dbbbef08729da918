package zones

import (
	"testing"
	"time"
)

// A zone with a gray failure stays up with less capacity, and the preference for it changes by at most ten percentage
// points a second.
func TestGrayFailure(t *testing.T) {
	f := newTestFleet(t, Config{})
	f.run(3*time.Second, nil)
	f.latencyFactor["a"] = 5
	last := f.tracker.preferenceReduction
	for range 10 {
		f.run(time.Second, nil)
		if d := f.tracker.preferenceReduction - last; d > 0.101 || d < -0.101 {
			t.Fatalf("the preference reduction changed by %.3f in a second, want at most 0.101: %+v", d, f.status())
		}
		last = f.tracker.preferenceReduction
	}
	if s := f.zoneStatus("a"); s.State != "up" || !s.GrayFailure || s.Capacity > 2 {
		t.Fatalf("got %+v, want a gray failure of a zone that is up", s)
	}
	if price := f.entry("b").Price; price > 1.5 {
		t.Fatalf("got price %v of the near zone, want at most 1.5", price)
	}
}
