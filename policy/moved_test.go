package policy

import "testing"

// TestRepeatStaysWhereTheFirstRan has the list move a server to another cell while a keyed request that it may have run waits for a repeat.
// The cell in which the first attempt ran drops repeats, not the one that its server is in now.
func TestRepeatStaysWhereTheFirstRan(t *testing.T) {
	set := settings()
	set.Classes[1].Deadline, set.Classes[1].RepeatWindow = 60_000*ms, 10_000*ms
	r := newRig(t, set, Backend{ID: "s", State: Running, Cell: 1}, Backend{ID: "u", State: Running, Cell: 1}, Backend{ID: "v", State: Running, Cell: 2}, Backend{ID: "w", State: Running, Cell: 2})
	first := actionsOf[SendAttempt](r.notify(Arrival{Request{ID: 1, Class: "book", Plan: "free", Tenant: "c", Units: 1, GiveUpAt: r.now + 60_000*ms}}))[0].Backend
	ran := r.engine.backends[first].Cell
	r.notify(EndpointsChanged{Backends: []Backend{{ID: first, State: Running, Cell: 3 - ran}}})
	sends := actionsOf[SendAttempt](r.notify(AttemptEnded{ID: 1, Backend: first, Outcome: Reset}))
	if len(sends) != 1 || sends[0].Backend == first || r.engine.backends[sends[0].Backend].Cell != ran {
		t.Fatalf("sends %v, want one to the other server of cell %d", sends, ran)
	}
}
