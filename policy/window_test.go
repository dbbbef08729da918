package policy

import (
	"fmt"
	"testing"
	"time"
)

// The windows of many instances add up, so after untimely responses from several
// backends the window of one instance falls below 1. It then pauses between attempts.
func TestWindowBelowOneSpacesAttempts(t *testing.T) {
	settings := testSettings()
	settings.Instances = 300
	h := newHarness(t, settings, numberedBackends(60)...)
	for i := range 12 {
		h.engine.updateWindow(&attempt{backend: h.engine.running[i]}, h.engine.classes["read"], TimedOut, 0)
		h.advance(time.Second)
	}
	if h.engine.window.size >= 1 {
		t.Fatalf("got window %v after untimely answers only, want less than 1", h.engine.window.size)
	}
	h.engine.meanLatency = 0.1
	h.engine.window.size = 0.5
	first := actionsOf[SendAttempt](h.arrive(1, "read", "free"))
	h.notify(succeeded(1, "", 100*ms))
	second := actionsOf[SendAttempt](h.arrive(2, "read", "free"))
	if len(first) != 1 || len(second) != 0 {
		t.Fatalf("got sends %v, then %v at once; want one, then none", first, second)
	}
	if got := actionsOf[SendAttempt](h.advance(time.Second)); len(got) == 0 || got[0].ID != 2 {
		t.Fatalf("got sends %v in the second after, want request 2", got)
	}
}

func numberedBackends(n int) []Backend {
	var backends []Backend
	for i := range n {
		backends = append(backends, Backend{ID: BackendID(fmt.Sprint("s", i)), State: Running})
	}
	return backends
}

// A single slow backend does not narrow the window.
func TestOneSlowBackendDoesNotNarrowTheWindow(t *testing.T) {
	h := newHarness(t, testSettings(), numberedBackends(12)...)
	before := h.engine.window.size
	read := h.engine.classes["read"]
	for range 50 {
		h.engine.updateWindow(&attempt{backend: h.engine.running[0]}, read, TimedOut, 0)
	}
	h.advance(100 * ms)
	if h.engine.window.size < before {
		t.Fatalf("got window %v, want %v or more: one backend has narrowed it", h.engine.window.size, before)
	}
	for i := range 50 {
		h.engine.updateWindow(&attempt{backend: h.engine.running[i%12]}, read, TimedOut, 0)
	}
	h.advance(2 * time.Second)
	if h.engine.window.size >= before {
		t.Fatalf("got window %v, want less than %v: all backends were untimely", h.engine.window.size, before)
	}
}

// Slow calls of one class do not mean that the backends are overloaded: the window
// is not narrowed while another class is answered in time.
func TestOneClassesLongCallsDoNotNarrowTheWindow(t *testing.T) {
	h := newHarness(t, testSettings(), runningBackends("s", "u")...)
	before := h.engine.window.size
	for i := range 40 {
		b := h.engine.running[i%2]
		h.engine.updateWindow(&attempt{backend: b}, h.engine.classes["book"], Succeeded, 400*ms)
		h.engine.updateWindow(&attempt{backend: b}, h.engine.classes["read"], Succeeded, 20*ms)
	}
	h.advance(2 * time.Second)
	if h.engine.window.size < before {
		t.Fatalf("got window %v, want %v or more: one class has narrowed it", h.engine.window.size, before)
	}
}

// After untimely responses, the windows of many instances together grow no faster
// than those of a few.
func TestWindowsWidenAsAFleet(t *testing.T) {
	for _, n := range []int{4, 80} {
		settings := testSettings()
		settings.Instances = n
		e := newHarness(t, settings, listBackends(60, 0)...).engine
		e.window.untimely = 1
		e.window.size = e.windowShare()
		for range int(e.window.size) { // a round trip
			e.window.inFlight = int(e.window.size) + 1
			e.updateWindow(&attempt{backend: e.running[0]}, e.classes["read"], Succeeded, ms)
		}
		if sum := (e.window.size - e.windowShare()) * float64(n); sum < 3 || sum > 20 {
			t.Errorf("%d instances: the windows grew by %.1f attempts in a round trip, want 3 to 20", n, sum)
		}
	}
}
