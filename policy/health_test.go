package policy

import "testing"

// A backend that has been seen to crawl gets one attempt at a time, also where the
// others have no capacity: more would crawl with it.
func TestOneAttemptAtATimeToACrawlingBackend(t *testing.T) {
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
	if healthy, crawling := sends(1), sends(8); healthy != 8 || crawling != 2 {
		t.Fatalf("got %d sends to two healthy backends, %d to two that crawl; want 8 and 2", healthy, crawling)
	}
}
