package policy_test

import (
	"fmt"
	"time"

	"hitchspring/policy"
)

func newEngine() *policy.Engine {
	engine, err := policy.New(policy.Settings{
		Index:          0,
		Instances:      2,
		MaxAttempts:    3,
		MaxRetryAfter:  time.Second,
		Hedging:        true,
		MayCancel:      true,
		Counter:        true,
		CounterTimeout: 50 * time.Millisecond,
		Classes: []policy.Class{{
			Name:             "read",
			PriorityWeight:   1,
			LatencyObjective: 500 * time.Millisecond,
			Deadline:         2 * time.Second,
			Effect:           policy.Safe,
		}},
		Plans: []policy.Plan{{Name: "basic", Price: 1, Rate: 5, Burst: 10, ExcessCost: 1}},
	}, 1)
	if err != nil {
		panic(err)
	}
	return engine
}

func printActions(actions []policy.Action) {
	for _, a := range actions {
		fmt.Printf("%T %+v\n", a, a)
	}
}

// A request is sent at once while the window has capacity.
func Example() {
	engine := newEngine()
	now := time.Hour
	engine.Handle(now, policy.EndpointsChanged{
		Complete: true,
		Backends: []policy.Backend{{ID: "10.0.0.1:80", State: policy.Running}},
	}, nil)
	printActions(engine.Handle(now, policy.Arrival{Request: policy.Request{
		ID: 1, Class: "read", Plan: "basic", Tenant: "c1", Units: 1, Spread: 2, GiveUpAt: now + 2*time.Second,
	}}, nil))
	// Output: policy.SendAttempt {ID:1 Backend:10.0.0.1:80 StopAt:0s}
}

// An attempt that never ran is retried, here at the other backend.
func ExampleEngine_Handle_retry() {
	engine := newEngine()
	now := time.Hour
	engine.Handle(now, policy.EndpointsChanged{
		Complete: true,
		Backends: []policy.Backend{
			{ID: "10.0.0.1:80", State: policy.Running},
			{ID: "10.0.0.2:80", State: policy.Running},
		},
	}, nil)
	sent := engine.Handle(now, policy.Arrival{Request: policy.Request{
		ID: 1, Class: "read", Plan: "basic", Tenant: "c1", Units: 1, Spread: 2, GiveUpAt: now + 2*time.Second,
	}}, nil)
	first, ok := sent[0].(policy.SendAttempt)
	if !ok {
		fmt.Println("not sent:", sent)
		return
	}
	for _, a := range engine.Handle(now+time.Millisecond, policy.AttemptEnded{
		ID: 1, Attempt: 0, Backend: first.Backend, Outcome: policy.NoConnect, Elapsed: time.Millisecond,
	}, nil) {
		if retry, ok := a.(policy.SendAttempt); ok {
			fmt.Println("sent to another backend:", retry.Backend != first.Backend)
		}
	}
	// Output: sent to another backend: true
}

// Without a backend, a request is rejected before its client gives up, and the client
// is told when to retry.
func ExampleEngine_Handle_reject() {
	engine := newEngine()
	now := time.Hour
	engine.Handle(now, policy.Arrival{Request: policy.Request{
		ID: 1, Class: "read", Plan: "basic", Tenant: "c1", Units: 1, Spread: 2, GiveUpAt: now + 50*time.Millisecond,
	}}, nil)
	for range 5 {
		now += 10 * time.Millisecond
		for _, a := range engine.Handle(now, policy.TimerFired{}, nil) {
			if reject, ok := a.(policy.Reject); ok {
				fmt.Println("rejected:", reject.Reason, "retry after", reject.RetryAfter)
			}
		}
	}
	// Output: rejected: window retry after 500ms
}
