// Package settings is the platform's object of settings, as an instance is told it: in, its JSON; out, what the decision module and
// the connections want of it. It decides nothing, and knows neither sockets nor the simulator's lines.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"hitchspring/policy"
)

// facts mirrors the settings object; keys that are not here are skipped.
type facts struct {
	Me           int         `json:"me"`
	Replicas     int         `json:"replicasOfMe"`
	MyZone       string      `json:"myZone"`
	RegistryMode string      `json:"registryMode"`
	Classes      []classFact `json:"classes"`
	Contracts    []planFact  `json:"contracts"`
	FamilyInfo   struct {
		CostAfter        bool    `json:"costAfter"`
		CounterTimeoutUs float64 `json:"counterTimeoutUs"`
		MaxUnits         float64 `json:"maxUnits"`
		SharedCounter    bool    `json:"sharedCounter"`
	} `json:"familyInfo"`
	Permissions struct {
		ConnIdleUs       float64 `json:"connIdleUs"`
		ConnectTimeoutUs float64 `json:"connectTimeoutUs"`
		MaxOpen          int     `json:"maxOpen"`
		MaxAttempts      int     `json:"maxAttempts"`
		MaxRetryAfterUs  float64 `json:"maxRetryAfterUs"`
		MayCancel        bool    `json:"mayCancel"`
		Probing          bool    `json:"probing"`
		ParallelTries    bool    `json:"parallelTries"`
		RetryAfter       bool    `json:"retryAfter"`
	} `json:"permissions"`
	Prices struct {
		CrossZone float64 `json:"crossZone"`
	} `json:"prices"`
	Invariants struct {
		ColdFrom     float64 `json:"coldFrom"`
		WarmAfterUs  float64 `json:"warmAfterUs"`
		FallMultiple float64 `json:"fallMultiple"`
		FallUs       float64 `json:"fallUs"`
		DrainGraceUs float64 `json:"drainGraceUs"`
	} `json:"invariants"`
}

type classFact struct {
	Name        string  `json:"name"`
	Value       float64 `json:"value"`
	ObjectiveUs float64 `json:"objectiveUs"`
	DeadlineUs  float64 `json:"deadlineUs"`
	LateShare   float64 `json:"lateShare"`
	Effect      string  `json:"effect"`
	Group       string  `json:"group"`
	WindowUs    float64 `json:"windowUs"`
}

type planFact struct {
	Name        string  `json:"name"`
	Price       float64 `json:"price"`
	Refill      float64 `json:"refill"`
	Burst       float64 `json:"burst"`
	Concurrency int     `json:"concurrency"`
	ExcessWorth float64 `json:"excessWorth"`
	ExcessCost  float64 `json:"excessCost"`
	HardRate    float64 `json:"hardRate"`
	CapDepth    float64 `json:"capDepth"`
	Tolerance   float64 `json:"tolerance"`
}

// Connections are the settings that matter only to a program with real connections to servers.
type Connections struct {
	Idle           time.Duration // a server closes a connection that has been idle for so long
	ConnectTimeout time.Duration // one that is not up by then has failed
	MaxOpen        int           // requests open at once; further ones are turned away unseen
}

func us(v float64) time.Duration { return time.Duration(v) * time.Microsecond }

// Parse reads the settings object; keys that it does not know are skipped.
func Parse(text []byte) (*policy.Settings, Connections, error) {
	var f facts
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, Connections{}, fmt.Errorf("settings: %w", err)
	}
	s := &policy.Settings{
		Index: f.Me, Instances: f.Replicas, Zone: f.MyZone,
		MaxUnits: f.FamilyInfo.MaxUnits, Counter: f.FamilyInfo.SharedCounter,
		CounterTimeout: us(f.FamilyInfo.CounterTimeoutUs), MaxAttempts: f.Permissions.MaxAttempts,
		MayCancel: f.Permissions.MayCancel, MayProbe: f.Permissions.Probing,
		Hedging: f.Permissions.ParallelTries, PollEndpoints: f.RegistryMode == "subscribe",
		CrossZonePrice: f.Prices.CrossZone, SlowStartShare: f.Invariants.ColdFrom,
		SlowStartWindow: us(f.Invariants.WarmAfterUs), OverloadMultiple: f.Invariants.FallMultiple,
		OverloadSpan: us(f.Invariants.FallUs), DrainGrace: us(f.Invariants.DrainGraceUs),
	}
	if f.Permissions.RetryAfter {
		s.MaxRetryAfter = us(f.Permissions.MaxRetryAfterUs)
	}
	for _, c := range f.Classes {
		s.Classes = append(s.Classes, policy.Class{
			Name: c.Name, PriorityWeight: c.Value, LatencyObjective: us(c.ObjectiveUs),
			Deadline: us(c.DeadlineUs), LateShare: c.LateShare, Effect: effect(c.Effect), Group: group(c.Group),
			RepeatWindow: us(c.WindowUs),
		})
	}
	for _, c := range f.Contracts {
		s.Plans = append(s.Plans, policy.Plan{
			Name: c.Name, Price: c.Price, Rate: c.Refill, Burst: c.Burst,
			MaxInFlight: c.Concurrency, ExcessWeight: c.ExcessWorth, ExcessCost: c.ExcessCost, CeilingRate: c.HardRate,
			CeilingBurst: c.CapDepth, CeilingSlack: c.Tolerance, SettledByReply: f.FamilyInfo.CostAfter,
		})
	}
	return s, Connections{
		Idle:           us(f.Permissions.ConnIdleUs),
		ConnectTimeout: us(f.Permissions.ConnectTimeoutUs), MaxOpen: f.Permissions.MaxOpen,
	}, nil
}

func effect(s string) policy.Effect {
	switch s {
	case "read_like":
		return policy.Safe
	case "idempotency_key":
		return policy.Keyed
	}
	return policy.Unsafe
}

func group(s string) policy.Group {
	switch s {
	case "all":
		return policy.GroupAll
	case "zone":
		return policy.GroupZone
	}
	return policy.GroupCell
}
