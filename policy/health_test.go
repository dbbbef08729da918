package policy

import "testing"

// A very slow backend gets one attempt at a time, even if the other backends have no
// capacity: further attempts would be as slow.
func TestVerySlowBackendGetsOneAttemptAtATime(t *testing.T) {
	sends := func(slowness float64) int {
		h := newHarness(t, testSettings(), runningBackends("a", "b")...)
		for _, id := range []BackendID{"a", "b"} {
			h.engine.backends[id].slowness = slowness
			h.engine.backends[id].slownessAt = h.now
		}
		h.engine.window.size = 10
		n := 0
		for id := range RequestID(8) {
			n += len(actionsOf[SendAttempt](h.arrive(id, "read", "free")))
		}
		return n
	}
	if healthy, slow := sends(1), sends(8); healthy != 8 || slow != 2 {
		t.Fatalf("got %d attempts to two healthy backends, %d to two very slow ones; want 8 and 2", healthy, slow)
	}
}
