package lab

import (
	"fmt"
	"time"

	"hitchspring/internal/rulecheck"
	"hitchspring/internal/standin/backend"
)

// evidence gathers what the peers saw.
func (w *World) evidence() rulecheck.Evidence {
	e := rulecheck.Evidence{Asked: w.load.asked(), Late: w.meter.Late()}
	for _, r := range w.fleet.Records(0) {
		e.Sent = append(e.Sent, rulecheck.Sent{
			Came: r.Came, Ended: r.Ended, ID: r.ID, Node: r.Node, Instance: fmt.Sprint("n", r.Instance), Customer: r.Customer,
			Plan: r.Plan, Class: r.Class, Rack: r.Rack, Units: r.Units, Busy: r.How == backend.Busy, Cold: r.Cold,
		})
	}
	for _, t := range w.registry.Told() {
		e.Told = append(e.Told, rulecheck.Told{At: t.At, Instance: fmt.Sprint("n", t.Agent), Node: t.UID, Serving: t.State == "SERVING"})
	}
	for _, n := range w.fleet.Nodes() {
		why, at := n.Fell()
		if n.Pushed() > 0 {
			e.Cold = append(e.Cold, rulecheck.ColdNode{Node: n.ID, At: at, Why: why, Pushed: n.Pushed()})
		}
	}
	return e
}

func (w *World) rules() rulecheck.Rules {
	r := rulecheck.Usual()
	r.MaxUnits, r.CeilingSlack = maxUnits, tolerance
	if w.cfg.Tolerance > 0 {
		r.Tolerance = w.cfg.Tolerance
	}
	r.Classes, r.Ceilings, r.Least = map[string]rulecheck.Effect{}, map[string]rulecheck.Ceiling{}, map[string]time.Duration{}
	fastest := 0.0
	for _, s := range w.specs {
		fastest = max(fastest, s.Speed)
	}
	for _, c := range w.classes {
		r.Classes[c.name] = map[string]rulecheck.Effect{"read_like": rulecheck.Safe, "idempotency_key": rulecheck.Keyed}[c.effect]
		r.Least[c.name] = time.Duration(float64(c.work.Least) / fastest)
	}
	for _, p := range w.plans {
		if p.ceiling > 0 {
			r.Ceilings[p.name] = rulecheck.Ceiling{Rate: p.ceilingRate(), Burst: p.ceilingBurst()}
		}
	}
	return r
}

func (w *World) quotas() map[string]rulecheck.Quota {
	out := map[string]rulecheck.Quota{}
	for _, p := range w.plans {
		out[p.name] = p.quota()
	}
	return out
}
