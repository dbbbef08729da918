package policy

import (
	"testing"
	"time"
)

// Rule 1: each request gets exactly one final answer, before its client gives up.
func TestEveryRequestHasOneFinalAnswer(t *testing.T) {
	h := newHarness(t, testSettings(), runningBackends("s")...)
	finals := map[RequestID]int{}
	for id := RequestID(1); id <= 40; id++ {
		countFinal(finals, h.arrive(id, []string{"read", "book", "pay"}[id%3], "free"))
	}
	countFinal(finals, h.advance(1990*ms))
	for id := RequestID(1); id <= 40; id++ {
		r := h.engine.requests[id]
		if r == nil || r.phase == phaseFinished {
			continue
		}
		if r.phase == phaseQueued {
			t.Fatalf("request %d is still queued at its deadline", id)
		}
		for _, a := range r.attempts {
			ended := AttemptEnded{ID: id, Attempt: a.index, Backend: "s", Outcome: TimedOut}
			countFinal(finals, h.notify(ended))
		}
	}
	for id := RequestID(1); id <= 40; id++ {
		if finals[id] != 1 {
			t.Errorf("request %d: got %d final answers, want 1", id, finals[id])
		}
	}
}

// Rule 2: an unsafe request that may have run is neither retried nor rejected.
func TestUnsafeRequestThatMayHaveRunIsFailed(t *testing.T) {
	for _, outcome := range []Outcome{Failed, TimedOut, Reset, Canceled, Outcome(99)} {
		h := newHarness(t, testSettings(), runningBackends("s", "u")...)
		backend := actionsOf[SendAttempt](h.arrive(1, "pay", "free"))[0].Backend
		got := h.notify(AttemptEnded{ID: 1, Backend: backend, Outcome: outcome})
		sends, rejects := actionsOf[SendAttempt](got), actionsOf[Reject](got)
		if len(sends) > 0 || len(rejects) > 0 || len(actionsOf[Fail](got)) != 1 {
			t.Errorf("outcome %v: got actions %v, want one failure", outcome, got)
		}
	}
}

func TestRequestThatNeverRanIsRetried(t *testing.T) {
	h := newHarness(t, testSettings(), runningBackends("s", "u")...)
	backend := actionsOf[SendAttempt](h.arrive(1, "pay", "free"))[0].Backend
	got := actionsOf[SendAttempt](h.notify(AttemptEnded{ID: 1, Backend: backend, Outcome: NoConnect}))
	if len(got) != 1 || got[0].Backend == backend {
		t.Fatalf("got sends %v, want one to the other backend", got)
	}
}

// An attempt that was never sent puts no load on a backend, so its retry does not
// need the retry budget. Otherwise the budget could run out when a backend starts to
// drain while many requests wait for a connection to it.
func TestNeverSentIsRetriedWithoutBudget(t *testing.T) {
	for outcome, want := range map[Outcome]int{NotSent: 1, NoConnect: 0} {
		h := newHarness(t, testSettings(), runningBackends("s", "u")...)
		first := actionsOf[SendAttempt](h.arrive(1, "pay", "free"))[0]
		h.engine.retryBudget = 0
		got := actionsOf[SendAttempt](h.notify(AttemptEnded{ID: 1, Backend: first.Backend, Outcome: outcome}))
		if len(got) != want || h.engine.retryBudget != 0 {
			t.Errorf("outcome %d: got %d retries, want %d; got budget %v, want 0",
				outcome, len(got), want, h.engine.retryBudget)
		}
	}
}

// Rule 2: a keyed request that may have run is retried only in the cell that drops
// its repeats, and only within the repeat window.
func TestKeyedRetryStaysInItsCellAndTime(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].Deadline = time.Minute
	settings.Classes[1].RepeatWindow = time.Second
	for wait, want := range map[time.Duration]int{100 * ms: 1, 1200 * ms: 0} {
		h := newHarness(t, settings, twoCells()...)
		q := h.request(1, "book", "free")
		q.GiveUpAt = h.now + time.Minute
		first := actionsOf[SendAttempt](h.notify(Arrival{q}))[0].Backend
		h.now += wait
		got := h.notify(AttemptEnded{ID: 1, Backend: first, Outcome: Reset})
		sends := actionsOf[SendAttempt](got)
		if len(sends) != want || len(actionsOf[Reject](got)) > 0 {
			t.Fatalf("after %v: got actions %v, want %d sends and no rejection", wait, got, want)
		}
		if want == 1 && h.engine.backends[sends[0].Backend].Cell != h.engine.backends[first].Cell {
			t.Fatalf("got a retry at %v after %v, want one in the same cell", sends[0].Backend, first)
		}
	}
}

// twoCells returns two backends in each of two cells.
func twoCells() []Backend {
	return []Backend{
		{ID: "s", State: Running, Cell: 1},
		{ID: "u", State: Running, Cell: 1},
		{ID: "v", State: Running, Cell: 2},
		{ID: "w", State: Running, Cell: 2},
	}
}

// Guards against a retry in the wrong cell when the endpoint list moves a backend to
// another cell while a keyed request is in flight there. Repeats are dropped in the
// cell in which the first attempt was sent, not in the backend's new cell.
func TestRetryStaysInTheCellOfTheFirstAttempt(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].Deadline = time.Minute
	settings.Classes[1].RepeatWindow = 10 * time.Second
	h := newHarness(t, settings, twoCells()...)
	q := h.request(1, "book", "free")
	q.GiveUpAt = h.now + time.Minute
	first := actionsOf[SendAttempt](h.notify(Arrival{q}))[0].Backend
	cell := h.engine.backends[first].Cell
	h.notify(EndpointsChanged{Backends: []Backend{{ID: first, State: Running, Cell: 3 - cell}}})
	got := actionsOf[SendAttempt](h.notify(AttemptEnded{ID: 1, Backend: first, Outcome: Reset}))
	if len(got) != 1 || got[0].Backend == first || h.engine.backends[got[0].Backend].Cell != cell {
		t.Fatalf("got sends %v, want one to the other backend of cell %d", got, cell)
	}
}

// A request that is queued for a retry expires when its repeat window ends.
func TestQueuedRetryEndsWithTheRepeatWindow(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].Deadline = time.Minute
	settings.Classes[1].RepeatWindow = time.Second
	settings.Classes[1].LateShare = 0.2
	h := newHarness(t, settings, Backend{ID: "s", State: Running, Cell: 1})
	q := h.request(1, "book", "free")
	q.GiveUpAt = h.now + time.Minute
	if sends := actionsOf[SendAttempt](h.notify(Arrival{q})); len(sends) != 1 {
		t.Fatalf("got sends %v, want one", sends)
	}
	h.engine.window.size = 1 // no capacity for another attempt
	h.engine.window.inFlight++
	h.now += 500 * ms
	got := h.notify(AttemptEnded{ID: 1, Backend: "s", Outcome: Reset})
	if len(got) != 0 || h.engine.requests[1].phase != phaseQueued {
		t.Fatalf("got actions %v, want the request queued", got)
	}
	h.now += 450 * ms
	h.engine.window.inFlight = 0
	h.engine.window.size = 4
	got = h.advance(200 * ms)
	sends, rejects := actionsOf[SendAttempt](got), actionsOf[Reject](got)
	if len(sends) > 0 || len(rejects) > 0 || len(actionsOf[Fail](got)) != 1 {
		t.Fatalf("got actions %v, want one failure and nothing sent", got)
	}
}
