package logic_test

import (
	"fmt"
	"time"

	"hitchspring/logic"
)

func Example() {
	gateway, err := logic.New(logic.Settings{
		Me: 0, Gateways: 2, MaxAttempts: 3, MaxRetryAfter: time.Second, SecondCopies: true, MayCancel: true,
		Counter: true, CounterTimeout: 50 * time.Millisecond,
		Classes: []logic.Class{{Name: "read", Worth: 1, Aim: 500 * time.Millisecond, Deadline: 2 * time.Second,
			Effect: logic.Safe}},
		Plans: []logic.Plan{{Name: "basic", Price: 1, Rate: 5, Burst: 10, ExcessCost: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour
	gateway.Handle(now, logic.FleetChanged{Whole: true,
		Servers: []logic.Server{{ID: "10.0.0.1:80", State: logic.Running}}}, nil)
	for _, a := range gateway.Handle(now, logic.Arrival{Request: logic.Request{ID: 1, Class: "read", Plan: "basic",
		Customer: "c1", Units: 1, Spread: 2, GiveUpAt: now + 2*time.Second}}, nil) {
		fmt.Printf("%T %+v\n", a, a)
	}
	// Output: logic.Send {ID:1 Server:10.0.0.1:80 StopAt:0s}
}
