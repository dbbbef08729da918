package zones

import (
	"testing"
	"time"
)

// A zone with a gray failure keeps its state and loses capacity, and the spill moves by no more than ten points a
// second.
func TestGrayFailure(t *testing.T) {
	f := newTestFleet(t, Config{})
	f.run(3*time.Second, nil)
	f.slowness["a"] = 5
	last := f.tracker.relief
	for range 10 {
		f.run(time.Second, nil)
		if d := f.tracker.relief - last; d > 0.101 || d < -0.101 {
			t.Fatalf("the relief moved by %.3f in a second, want at most 0.101: %+v", d, f.status())
		}
		last = f.tracker.relief
	}
	if s := f.zoneStatus("a"); s.State != "up" || !s.GrayFailure || s.Capacity > 2 {
		t.Fatalf("got %+v, want a gray failure of a zone that is up", s)
	}
	if price := f.fact("b").Price; price > 1.5 {
		t.Fatalf("got price %v of the near zone, want at most 1.5", price)
	}
}
