package lab

import (
	"fmt"
	"time"

	"hitchspring/internal/rulecheck"
	"hitchspring/internal/standin/backend"
)

// evidence collects the records of clients, backends and discovery for the rule checker.
func (tb *Testbed) evidence() rulecheck.Evidence {
	e := rulecheck.Evidence{Requests: tb.load.clientRequests(), ObserverDelays: tb.meter.Delays()}
	for _, r := range tb.fleet.Records(0) {
		e.Attempts = append(e.Attempts, rulecheck.BackendAttempt{
			ArrivedAt: r.ArrivedAt, EndedAt: r.EndedAt, ID: r.ID, Backend: r.Backend, Instance: fmt.Sprint("n", r.Instance), Tenant: r.Tenant,
			Plan: r.Plan, Class: r.Class, Rack: r.Rack, Units: r.Units, Busy: r.Outcome == backend.Busy, WarmingUp: r.WarmingUp,
		})
	}
	for _, t := range tb.registry.Notifications() {
		e.Notifications = append(e.Notifications, rulecheck.Notification{At: t.At, Instance: fmt.Sprint("n", t.Agent), Backend: t.UID, Serving: t.State == "SERVING"})
	}
	for _, n := range tb.fleet.Backends() {
		why, at := n.OverloadFailure()
		if n.PeakLoad() > 0 {
			e.Overloads = append(e.Overloads, rulecheck.Overload{Backend: n.ID, FailedAt: at, Reason: why, MaxLoad: n.PeakLoad()})
		}
	}
	return e
}

func (tb *Testbed) rules() rulecheck.Rules {
	r := rulecheck.DefaultRules()
	r.MaxUnits, r.CeilingSlack = maxUnits, ceilingTolerance
	if tb.cfg.Tolerance > 0 {
		r.Tolerance = tb.cfg.Tolerance
	}
	r.Classes, r.Ceilings, r.MinAttempts = map[string]rulecheck.Effect{}, map[string]rulecheck.Ceiling{}, map[string]time.Duration{}
	fastest := 0.0
	for _, s := range tb.specs {
		fastest = max(fastest, s.Speed)
	}
	for _, c := range tb.classes {
		r.Classes[c.name] = map[string]rulecheck.Effect{"read_like": rulecheck.Safe, "idempotency_key": rulecheck.Keyed}[c.effect]
		r.MinAttempts[c.name] = time.Duration(float64(c.work.Min) / fastest)
	}
	for _, p := range tb.plans {
		if p.ceilingFactor > 0 {
			r.Ceilings[p.name] = rulecheck.Ceiling{Rate: p.ceilingRate(), Burst: p.ceilingBurst()}
		}
	}
	return r
}

func (tb *Testbed) quotas() map[string]rulecheck.Quota {
	out := map[string]rulecheck.Quota{}
	for _, p := range tb.plans {
		out[p.name] = p.quota()
	}
	return out
}
