// Package settings parses the JSON settings object that the platform gives to an
// instance. It returns the settings of the policy engine and those of the backend
// connections, and maps the platform's names to those of the program. It validates
// only the JSON, not the values, and is independent of sockets and of the
// simulator's protocol.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"hitchspring/policy"
)

// Connections are the settings that the policy engine doesn't need: they concern
// connections to backends and the number of open requests.
type Connections struct {
	Idle           time.Duration // idle time after which a backend closes a connection
	ConnectTimeout time.Duration // max time to establish a connection
	MaxOpen        int           // max open requests; the engine never sees further ones, which are rejected
}

// Parse parses the settings object and ignores unknown keys. It returns an error
// if the text is not valid JSON of that form.
func Parse(text []byte) (*policy.Settings, Connections, error) {
	var doc document
	if err := json.Unmarshal(text, &doc); err != nil {
		return nil, Connections{}, fmt.Errorf("settings: %w", err)
	}
	return doc.policySettings(), doc.connections(), nil
}

func (d *document) connections() Connections {
	return Connections{
		Idle:           microseconds(d.Permissions.ConnIdleUs),
		ConnectTimeout: microseconds(d.Permissions.ConnectTimeoutUs),
		MaxOpen:        d.Permissions.MaxOpen,
	}
}

func (d *document) policySettings() *policy.Settings {
	s := &policy.Settings{
		Index:            d.InstanceIndex,
		Instances:        d.InstanceCount,
		Zone:             d.InstanceZone,
		MaxUnits:         d.FamilyInfo.MaxUnits,
		MaxAttempts:      d.Permissions.MaxAttempts,
		MayCancel:        d.Permissions.MayCancel,
		MayProbe:         d.Permissions.Probing,
		Hedging:          d.Permissions.Hedging,
		Counter:          d.FamilyInfo.SharedCounter,
		CounterTimeout:   microseconds(d.FamilyInfo.CounterTimeoutUs),
		PollEndpoints:    d.RegistryMode == "subscribe",
		CrossZonePrice:   d.Prices.CrossZone,
		SlowStartShare:   d.Invariants.InitialShare,
		SlowStartWindow:  microseconds(d.Invariants.SlowStartUs),
		OverloadMultiple: d.Invariants.OverloadMultiple,
		OverloadSpan:     microseconds(d.Invariants.OverloadUs),
		DrainGrace:       microseconds(d.Invariants.DrainGraceUs),
	}
	if d.Permissions.RetryAfter {
		s.MaxRetryAfter = microseconds(d.Permissions.MaxRetryAfterUs)
	}
	for _, c := range d.Classes {
		s.Classes = append(s.Classes, c.class())
	}
	for _, p := range d.Contracts {
		plan := p.plan()
		plan.SettledByReply = d.FamilyInfo.CostAfter
		s.Plans = append(s.Plans, plan)
	}
	return s
}

func (c classDocument) class() policy.Class {
	return policy.Class{
		Name:             c.Name,
		PriorityWeight:   c.Value,
		LatencyObjective: microseconds(c.ObjectiveUs),
		Deadline:         microseconds(c.DeadlineUs),
		LateShare:        c.LateShare,
		Effect:           parseEffect(c.Effect),
		Group:            parseGroup(c.Group),
		RepeatWindow:     microseconds(c.WindowUs),
	}
}

func (p planDocument) plan() policy.Plan {
	return policy.Plan{
		Name:         p.Name,
		Price:        p.Price,
		Rate:         p.Refill,
		Burst:        p.Burst,
		MaxInFlight:  p.Concurrency,
		ExcessWeight: p.ExcessWeight,
		ExcessCost:   p.ExcessCost,
		CeilingRate:  p.HardRate,
		CeilingBurst: p.CapDepth,
		CeilingSlack: p.Tolerance,
	}
}

func microseconds(v float64) time.Duration { return time.Duration(v) * time.Microsecond }

// parseEffect returns the effect with a name. An unknown name counts as unsafe to
// repeat.
func parseEffect(name string) policy.Effect {
	switch name {
	case "read_like":
		return policy.Safe
	case "idempotency_key":
		return policy.Keyed
	default:
		return policy.Unsafe
	}
}

// parseGroup returns the group with a name. An unknown name counts as a cell, the
// smallest group.
func parseGroup(name string) policy.Group {
	switch name {
	case "all":
		return policy.GroupAll
	case "zone":
		return policy.GroupZone
	default:
		return policy.GroupCell
	}
}
