package policy

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func testSettings() Settings {
	const objective, deadline = 500 * ms, 2 * time.Second
	return Settings{
		Index:            0,
		Instances:        2,
		Zone:             "a",
		MaxUnits:         1,
		MaxAttempts:      3,
		MaxRetryAfter:    time.Second,
		MayCancel:        true,
		Hedging:          true,
		Counter:          true,
		CounterTimeout:   50 * ms,
		SlowStartShare:   0.2,
		SlowStartWindow:  10 * time.Second,
		OverloadMultiple: 4,
		OverloadSpan:     3 * time.Second,
		Classes: []Class{
			{Name: "read", PriorityWeight: 1, LatencyObjective: objective, Deadline: deadline, Effect: Safe},
			{
				Name: "book", PriorityWeight: 5, LatencyObjective: objective, Deadline: deadline,
				Effect: Keyed, RepeatWindow: 4 * time.Second,
			},
			{Name: "pay", PriorityWeight: 5, LatencyObjective: objective, Deadline: deadline},
		},
		Plans: []Plan{
			{Name: "free", Price: 1},
			{Name: "dear", Price: 2},
			{Name: "small", Price: 1, Rate: 2, Burst: 8, ExcessCost: 0.5},
			{Name: "capped", Price: 1, Rate: 10, Burst: 20, CeilingRate: 20, CeilingBurst: 40, CeilingSlack: 4},
		},
	}
}

// harness drives one engine with a simulated clock.
type harness struct {
	*testing.T

	engine *Engine
	now    time.Duration
}

func newHarness(t *testing.T, settings Settings, backends ...Backend) *harness {
	t.Helper()
	return newSeededHarness(t, settings, 7, backends...)
}

func newSeededHarness(t *testing.T, settings Settings, seed uint64, backends ...Backend) *harness {
	t.Helper()
	engine, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{T: t, engine: engine, now: time.Minute}
	h.notify(EndpointsChanged{Complete: true, Backends: backends})
	return h
}

// runningBackends returns backends in state Running that are not in slow start.
func runningBackends(ids ...BackendID) []Backend {
	var backends []Backend
	for _, id := range ids {
		backends = append(backends, Backend{ID: id, State: Running})
	}
	return backends
}

func (h *harness) notify(event Event) []Action { return h.engine.Handle(h.now, event, nil) }

// request returns a request of tenant c whose client gives up after 2 s.
func (h *harness) request(id RequestID, class, plan string) Request {
	return Request{
		ID:       id,
		Class:    class,
		Plan:     plan,
		Tenant:   "c",
		Units:    1,
		GiveUpAt: h.now + 2*time.Second,
		Spread:   2,
	}
}

func (h *harness) arrive(id RequestID, class, plan string) []Action {
	return h.notify(Arrival{h.request(id, class, plan)})
}

// advance moves the clock forward in steps of 10 ms, with a sweep at each step.
func (h *harness) advance(span time.Duration) []Action {
	var actions []Action
	for end := h.now + span; h.now < end; {
		h.now += 10 * ms
		actions = append(actions, h.notify(TimerFired{})...)
	}
	return actions
}

// succeeded returns the successful end of a request's first attempt.
func succeeded(id RequestID, backend BackendID, took time.Duration) AttemptEnded {
	return AttemptEnded{ID: id, Backend: backend, Outcome: Succeeded, Elapsed: took, Finished: true}
}

// actionsOf returns the actions of one type.
func actionsOf[A Action](actions []Action) []A {
	var found []A
	for _, action := range actions {
		if a, ok := action.(A); ok {
			found = append(found, a)
		}
	}
	return found
}

// countFinal adds the number of final answers in actions to finals, by request.
func countFinal(finals map[RequestID]int, actions []Action) {
	for _, a := range actionsOf[Reject](actions) {
		finals[a.ID]++
	}
	for _, a := range actionsOf[Fail](actions) {
		finals[a.ID]++
	}
}

// tenant returns the state of tenant c under a plan.
func (h *harness) tenant(plan string) *tenant {
	return h.engine.tenants[(&Request{Tenant: "c", Plan: plan}).Account()]
}
