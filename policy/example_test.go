package policy_test

import (
	"fmt"
	"time"

	"hitchspring/policy"
)

func Example() {
	engine, err := policy.New(policy.Settings{
		Index: 0, Instances: 2, MaxAttempts: 3, MaxRetryAfter: time.Second, Hedging: true, MayCancel: true,
		Counter: true, CounterTimeout: 50 * time.Millisecond,
		Classes: []policy.Class{{
			Name: "read", PriorityWeight: 1, LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second,
			Effect: policy.Safe,
		}},
		Plans: []policy.Plan{{Name: "basic", Price: 1, Rate: 5, Burst: 10, ExcessCost: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour
	engine.Handle(now, policy.EndpointsChanged{
		Complete: true,
		Backends: []policy.Backend{{ID: "10.0.0.1:80", State: policy.Running}},
	}, nil)
	for _, a := range engine.Handle(now, policy.Arrival{Request: policy.Request{
		ID: 1, Class: "read", Plan: "basic",
		Tenant: "c1", Units: 1, Spread: 2, GiveUpAt: now + 2*time.Second,
	}}, nil) {
		fmt.Printf("%T %+v\n", a, a)
	}
	// Output: policy.SendAttempt {ID:1 Backend:10.0.0.1:80 StopAt:0s}
}
