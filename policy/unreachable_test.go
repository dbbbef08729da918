package policy

import (
	"slices"
	"testing"
)

// Failed connections to three backends of a zone make the zone unreachable, before
// each of its backends is ejected. One response from the zone ends this state.
func TestUnreachableBackendsMakeTheirZoneUnreachable(t *testing.T) {
	settings := testSettings()
	settings.Instances = 80
	h := newHarness(t, settings, listBackends(30, 0)...)
	h.engine.window.size = 1000
	h.engine.retryBudget = 1000
	lost, late := 0, 0
	failed := map[BackendID]bool{}
	for i := range 200 {
		h.now += 20 * ms
		sends := actionsOf[SendAttempt](h.arrive(RequestID(i), "read", "free"))
		for attempts := map[RequestID]int{}; len(sends) > 0; sends = sends[1:] {
			s := sends[0]
			event := succeeded(s.ID, s.Backend, ms)
			event.Attempt = attempts[s.ID]
			attempts[s.ID]++
			if h.engine.backends[s.Backend].Zone == "a" {
				lost++
				if len(failed) >= 3 {
					late++
				}
				failed[s.Backend] = true
				event.Outcome = NoConnect
				event.Finished = false
			}
			sends = append(sends, actionsOf[SendAttempt](h.notify(event))...)
		}
	}
	if lost < 3 || late > 4 { // one more for each time the zone is tried again
		t.Errorf("got %d attempts to the lost zone, want 3 or more; got %d after three failed, want 4 at most",
			lost, late)
	}
	i := slices.IndexFunc(h.engine.running, func(b *backend) bool { return b.Zone == "a" })
	h.engine.recordOutcome(&attempt{backend: h.engine.running[i]}, h.engine.classes["read"], Succeeded, ms)
	if len(h.engine.unreachable) != 0 {
		t.Errorf("got %v unreachable after a response from the zone, want none", h.engine.unreachable)
	}
}
