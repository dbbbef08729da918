// Package settings reads the platform's settings object as an instance is given
// it. The object's JSON comes in; the settings of the decision module and those of
// the connections to backends go out. It maps the platform's names to those of the
// program and checks nothing but the JSON. It decides nothing and knows neither
// sockets nor the simulator's protocol.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"hitchspring/policy"
)

// Connections are the settings that matter only to a program with real
// connections to backends.
type Connections struct {
	Idle           time.Duration // a backend closes a connection that has been idle for so long
	ConnectTimeout time.Duration // a connection that is not established by then has failed
	MaxOpen        int           // requests open at once; further ones are rejected unseen
}

// Parse reads the settings object; keys that it does not know are skipped. It
// returns an error if the text is not such an object.
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
		Index:            d.Me,
		Instances:        d.Replicas,
		Zone:             d.MyZone,
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

// parseEffect returns the effect by its name; an unknown one is unsafe to repeat.
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

// parseGroup returns the group by its name; an unknown one is a cell.
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
