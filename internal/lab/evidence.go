package lab

import (
	"fmt"
	"time"

	"hitchspring/internal/rulecheck"
	"hitchspring/internal/standin/backend"
)

// evidence gathers what the peers saw.
func (w *Testbed) evidence() rulecheck.Evidence {
	e := rulecheck.Evidence{Requests: w.load.asked(), ObserverDelays: w.meter.Delays()}
	for _, r := range w.fleet.Records(0) {
		e.Attempts = append(e.Attempts, rulecheck.BackendAttempt{
			ArrivedAt: r.ArrivedAt, EndedAt: r.EndedAt, ID: r.ID, Backend: r.Backend, Instance: fmt.Sprint("n", r.Instance), Tenant: r.Tenant,
			Plan: r.Plan, Class: r.Class, Rack: r.Rack, Units: r.Units, Busy: r.Fate == backend.Busy, WarmingUp: r.WarmingUp,
		})
	}
	for _, t := range w.registry.Notifications() {
		e.Notifications = append(e.Notifications, rulecheck.Notification{At: t.At, Instance: fmt.Sprint("n", t.Agent), Backend: t.UID, Serving: t.State == "SERVING"})
	}
	for _, n := range w.fleet.Backends() {
		why, at := n.Fell()
		if n.Pushed() > 0 {
			e.Overloads = append(e.Overloads, rulecheck.Overload{Backend: n.ID, FellAt: at, Reason: why, Pressure: n.Pushed()})
		}
	}
	return e
}

func (w *Testbed) rules() rulecheck.Rules {
	r := rulecheck.DefaultRules()
	r.MaxUnits, r.CeilingSlack = maxUnits, tolerance
	if w.cfg.Tolerance > 0 {
		r.Tolerance = w.cfg.Tolerance
	}
	r.Classes, r.Ceilings, r.MinAttempts = map[string]rulecheck.Effect{}, map[string]rulecheck.Ceiling{}, map[string]time.Duration{}
	fastest := 0.0
	for _, s := range w.specs {
		fastest = max(fastest, s.Speed)
	}
	for _, c := range w.classes {
		r.Classes[c.name] = map[string]rulecheck.Effect{"read_like": rulecheck.Safe, "idempotency_key": rulecheck.Keyed}[c.effect]
		r.MinAttempts[c.name] = time.Duration(float64(c.work.Min) / fastest)
	}
	for _, p := range w.plans {
		if p.ceiling > 0 {
			r.Ceilings[p.name] = rulecheck.Ceiling{Rate: p.ceilingRate(), Burst: p.ceilingBurst()}
		}
	}
	return r
}

func (w *Testbed) quotas() map[string]rulecheck.Quota {
	out := map[string]rulecheck.Quota{}
	for _, p := range w.plans {
		out[p.name] = p.quota()
	}
	return out
}
