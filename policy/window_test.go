package policy

import (
	"fmt"
	"testing"
	"time"
)

// The windows of many instances add up: after untimely answers from several
// backends one falls below one attempt, and there are pauses between its sends.
func TestSmallWindowPauses(t *testing.T) {
	settings := testSettings()
	settings.Instances = 300
	h := newHarness(t, settings, numberedBackends(60)...)
	for i := range 12 {
		h.engine.updateWindow(&attempt{backend: h.engine.running[i]}, h.engine.classes["read"], TimedOut, 0)
		h.pass(time.Second)
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
	if got := actionsOf[SendAttempt](h.pass(time.Second)); len(got) == 0 || got[0].ID != 2 {
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

// One slow backend does not narrow the window for all.
func TestOneSlowBackendDoesNotNarrowTheWindow(t *testing.T) {
	h := newHarness(t, testSettings(), numberedBackends(12)...)
	before := h.engine.window.size
	read := h.engine.classes["read"]
	for range 50 {
		h.engine.updateWindow(&attempt{backend: h.engine.running[0]}, read, TimedOut, 0)
	}
	h.pass(100 * ms)
	if h.engine.window.size < before {
		t.Fatalf("got window %v, want %v: one backend has narrowed it", h.engine.window.size, before)
	}
	for i := range 50 {
		h.engine.updateWindow(&attempt{backend: h.engine.running[i%12]}, read, TimedOut, 0)
	}
	h.pass(2 * time.Second)
	if h.engine.window.size >= before {
		t.Fatalf("got window %v, want less than %v: all backends were untimely", h.engine.window.size, before)
	}
}

// Long calls of one class do not mean that the backends are full: while another
// class is answered in time the window stays.
func TestOneClassesLongCallsDoNotNarrowTheWindow(t *testing.T) {
	h := newHarness(t, testSettings(), runningBackends("s", "u")...)
	before := h.engine.window.size
	for i := range 40 {
		b := h.engine.running[i%2]
		h.engine.updateWindow(&attempt{backend: b}, h.engine.classes["book"], Succeeded, 400*ms)
		h.engine.updateWindow(&attempt{backend: b}, h.engine.classes["read"], Succeeded, 20*ms)
	}
	h.pass(2 * time.Second)
	if h.engine.window.size < before {
		t.Fatalf("got window %v, want %v: the calls of one class have narrowed it", h.engine.window.size, before)
	}
}

// After untimely answers the windows of many instances together widen no faster
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
			t.Errorf("%d instances: got %.1f attempts wider in a round trip, want 3 to 20", n, sum)
		}
	}
}
