package lab

import (
	"fmt"
	"time"

	"hitchspring/internal/audit"
	"hitchspring/internal/standin/node"
)

// evidence gathers what the peers saw.
func (w *World) evidence() audit.Evidence {
	e := audit.Evidence{Asked: w.load.asked(), Late: w.meter.Late()}
	for _, r := range w.fleet.Records(0) {
		e.Sent = append(e.Sent, audit.Sent{Came: r.Came, Ended: r.Ended, ID: r.ID, Node: r.Node, Instance: fmt.Sprint("n", r.Instance), Customer: r.Customer,
			Plan: r.Plan, Class: r.Class, Rack: r.Rack, Units: r.Units, Busy: r.How == node.Busy, Cold: r.Cold})
	}
	for _, t := range w.registry.Told() {
		e.Told = append(e.Told, audit.Told{At: t.At, Instance: fmt.Sprint("n", t.Agent), Node: t.UID, Serving: t.State == "SERVING"})
	}
	for _, n := range w.fleet.Nodes() {
		why, at := n.Fell()
		if n.Pushed() > 0 {
			e.Cold = append(e.Cold, audit.ColdNode{Node: n.ID, At: at, Why: why, Pushed: n.Pushed()})
		}
	}
	return e
}

func (w *World) rules() audit.Rules {
	r := audit.Usual()
	r.MaxUnits, r.CeilingSlack = maxUnits, tolerance
	if w.cfg.Tolerance > 0 {
		r.Tolerance = w.cfg.Tolerance
	}
	r.Classes, r.Ceilings, r.Least = map[string]audit.Effect{}, map[string]audit.Ceiling{}, map[string]time.Duration{}
	fastest := 0.0
	for _, s := range w.specs {
		fastest = max(fastest, s.Speed)
	}
	for _, c := range w.classes {
		r.Classes[c.name] = map[string]audit.Effect{"read_like": audit.Safe, "idempotency_key": audit.Keyed}[c.effect]
		r.Least[c.name] = time.Duration(float64(c.work.Least) / fastest)
	}
	for _, p := range w.plans {
		if p.ceiling > 0 {
			r.Ceilings[p.name] = audit.Ceiling{Rate: p.ceilingRate(), Burst: p.ceilingBurst()}
		}
	}
	return r
}

func (w *World) quotas() map[string]audit.Quota {
	out := map[string]audit.Quota{}
	for _, p := range w.plans {
		out[p.name] = p.quota()
	}
	return out
}
