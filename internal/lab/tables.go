package lab

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"hitchspring/internal/lab/measure"
	"hitchspring/internal/rulecheck"
	"hitchspring/internal/standin/backend"
)

// commands are what came to nodes.
func (w *Testbed) commands(r *Report) {
	aims := map[string]time.Duration{}
	for _, c := range w.classes {
		aims[c.name] = c.aim
	}
	seen := map[string]bool{}
	for _, x := range w.fleet.Records(0) {
		if !seen[x.ID] {
			seen[x.ID] = true
			r.Passes = append(r.Passes, Pass{x.ArrivedAt, x.Instance, x.Tenant, x.Units})
		}
		r.Commands = append(r.Commands, Command{x.ArrivedAt, x.Backend, x.Instance, x.Class, x.EndedAt == 0 || x.EndedAt-x.ArrivedAt > aims[x.Class]})
	}
}

// wishes are the keyed ones, with what nodes saw of them.
func (w *Testbed) wishes(r *Report) {
	by := map[string]*ClientRequest{}
	values := map[string]map[string]bool{}
	racks := map[string]map[int]bool{}
	w.load.mu.Lock()
	slices.SortFunc(w.load.tried, func(a, b tried) int { return cmp.Compare(a.SentAt, b.SentAt) })
	for _, t := range w.load.tried {
		if t.key == "" {
			continue
		}
		x := by[t.key]
		if x == nil {
			x = &ClientRequest{Key: t.key, Class: t.class.name, First: t.SentAt, Patience: t.Timeout, Instance: t.Instance, Lost: len(t.Answers) == 0}
			by[t.key], values[t.key], racks[t.key] = x, map[string]bool{}, map[int]bool{}
		}
		x.Attempts++
		end, step := "no answer", Step{Key: t.key, From: t.SentAt, Who: len(r.History)}
		if len(t.Answers) > 0 {
			step.Until, step.Served, step.Value = t.Answers[0].At, t.Answers[0].Kind == "served", t.value
			end = fmt.Sprintf("%s after %v", t.Answers[0].Kind, (t.Answers[0].At - t.SentAt).Round(ms))
			if x.Attempts > 1 {
				x.Again++
			} else {
				x.Answered = t.Answers[0].At
			}
		}
		r.History = append(r.History, step)
		x.Story = append(x.Story, fmt.Sprintf("%s at %v: %s", t.Instance, t.SentAt.Round(ms), end))
		if len(t.Answers) > 0 && t.Answers[0].Kind == "served" {
			x.Served = true
			values[t.key][t.value] = true
		}
	}
	w.load.mu.Unlock()
	for _, c := range w.fleet.Records(0) {
		x := by[c.Key]
		if x == nil {
			continue
		}
		if fmt.Sprint("n", c.Instance) != x.Instance && x.Helped == 0 {
			x.Helped = c.ArrivedAt
		}
		switch c.Fate {
		case backend.Ran, backend.DroppedAfter, backend.Unanswered:
			x.Effects++
			r.History = append(r.History, Step{Key: c.Key, From: c.ArrivedAt, Until: c.EndedAt, Effect: true, Who: len(r.History)})
			racks[c.Key][c.Rack] = true
		}
	}
	for key, x := range by {
		x.Values, x.Racks = len(values[key]), len(racks[key])
		r.Keyed = append(r.Keyed, *x)
	}
	slices.SortFunc(r.Keyed, func(a, b ClientRequest) int { return cmp.Compare(a.First, b.First) })
}

// rows sums up the clients' record.
func (w *Testbed) rows(r *Report) {
	type key struct{ class, plan string }
	byKey := map[key]*Row{}
	took := map[key]*measure.Latencies{}
	var seconds []*Second
	var perSecond []*measure.Latencies
	w.load.mu.Lock()
	defer w.load.mu.Unlock()
	r.Attempts = len(w.load.tried)
	slices.SortFunc(w.load.tried, func(a, b tried) int { return cmp.Compare(a.SentAt, b.SentAt) })
	for _, t := range w.load.tried {
		for i := range r.Processes {
			if r.Processes[i].Name == t.Instance {
				r.Processes[i].Attempts++
			}
		}
		k := key{t.class.name, t.ch.plan.name}
		row := byKey[k]
		if row == nil {
			row = &Row{Class: k.class, Plan: k.plan}
			byKey[k], took[k] = row, measure.NewLatencies()
		}
		n := int((t.due - w.load.began) / time.Second)
		for len(seconds) <= n {
			seconds = append(seconds, &Second{ByClass: map[string]Slot{}, ByPlan: map[string]Slot{}})
			perSecond = append(perSecond, measure.NewLatencies())
		}
		sec := seconds[n]
		count := func(wishes, inTime int) {
			sec.Requests, sec.InTime = sec.Requests+wishes, sec.InTime+inTime
			c, p := sec.ByClass[k.class], sec.ByPlan[k.plan]
			sec.ByClass[k.class], sec.ByPlan[k.plan] = Slot{c.Requests + wishes, c.InTime + inTime}, Slot{p.Requests + wishes, p.InTime + inTime}
		}
		row.Attempts++
		if t.ch.plan.ceiling > 0 && t.ch.demand > 1 {
			name := map[bool]string{false: "resp", true: "http"}[t.http]
			x := r.Fronts[name]
			if t.retry == 0 {
				x.Requested += t.class.units
			}
			if len(t.Answers) > 0 && t.Answers[0].Kind == "served" {
				x.Served += t.class.units
			}
			r.Fronts[name] = x
		}
		if t.retry == 0 {
			row.Requests++
			count(1, 0)
		}
		if len(t.Answers) == 0 {
			row.None++
			continue
		}
		switch lat := t.Answers[0].At - t.due; t.Answers[0].Kind {
		case "served":
			row.Served++
			took[k].Add(lat)
			perSecond[n].Add(lat)
			if lat <= t.class.aim {
				row.InTime++
				count(0, 1)
			}
		case "refused":
			row.Refused++
			sec.Refused++
		default:
			row.Failed++
		}
	}
	for i, s := range seconds {
		s.P50MS, s.P99MS = perSecond[i].QuantileMS(0.5), perSecond[i].QuantileMS(0.99)
		r.Timeline = append(r.Timeline, *s)
	}
	for _, p := range w.plans {
		for _, c := range w.classes {
			k := key{c.name, p.name}
			if row := byKey[k]; row != nil {
				row.P50MS, row.P99MS = took[k].QuantileMS(0.5), took[k].QuantileMS(0.99)
				r.Rows = append(r.Rows, *row)
			}
		}
	}
}

// score is the service as the brief counts it, from the clients' and the nodes' records.
func (w *Testbed) score(r *Report, e rulecheck.Evidence, calls int) (list []measure.Operation) {
	wishes := map[int]*measure.Operation{}
	costs := measure.Costs{CounterCalls: calls}
	w.load.mu.Lock()
	for _, t := range w.load.tried {
		x := wishes[t.wish]
		if x == nil {
			x = &measure.Operation{Due: t.due - w.load.began, Tenant: fmt.Sprint(t.ch.id), Plan: t.ch.plan.name, Class: t.class.name, Units: t.class.units}
			wishes[t.wish] = x
			costs.WorkRequested += t.class.work.Mean()
		}
		if x.Served || len(t.Answers) == 0 {
			continue
		}
		x.AnsweredAt, x.Served = t.Answers[0].At-w.load.began, t.Answers[0].Kind == "served"
	}
	w.load.mu.Unlock()
	list = make([]measure.Operation, 0, len(wishes))
	for _, x := range wishes {
		list = append(list, *x)
	}
	slices.SortFunc(list, func(a, b measure.Operation) int {
		return cmp.Or(cmp.Compare(a.Due, b.Due), cmp.Compare(a.Tenant, b.Tenant))
	})
	for _, rec := range w.fleet.Records(0) {
		if rec.Fate != backend.Busy {
			costs.WorkDone += rec.Work
		}
		if rec.Zone != "hall-"+string(rune('a'+rec.Instance%3)) {
			costs.CrossZoneSends++
		}
	}
	var beyond []measure.ExcessAttempt
	for _, s := range rulecheck.AttemptsBeyondQuota(w.quotas(), e.Attempts) {
		beyond = append(beyond, measure.ExcessAttempt{At: s.ArrivedAt - w.load.began, Plan: s.Plan, Class: s.Class, Units: s.Units})
	}
	mc, mp := worths(w.classes, w.plans)
	r.Score = measure.ComputeScore(mc, mp, list, beyond, costs)
	r.Service = r.Score.Service
	return list
}

// channels compares what the nodes saw with what was allowed.
func (w *Testbed) channels(r *Report, e rulecheck.Evidence) {
	uses := rulecheck.QuotaUses(w.quotas(), e.Attempts)
	inside, beyond := 0.0, 0.0
	for _, u := range uses {
		inside, beyond = inside+u.WithinQuota, beyond+u.BeyondQuota
	}
	if inside > 0 {
		r.BeyondShare = beyond / inside
	}
	if most := w.day.MaxBeyond; most > 0 && r.BeyondShare > most {
		r.Violations = append(r.Violations, rulecheck.Violation{Rule: Quotas, At: w.load.began + time.Duration(w.day.Length), Until: w.load.began + time.Duration(w.day.Length), Detail: fmt.Sprintf("%.0f units were passed on beyond quotas, %.0f%% of those inside; the day allows %.0f%%", beyond, 100*r.BeyondShare, 100*most)})
		r.Rules[Quotas] = 1
	}
	for _, ch := range w.load.channels {
		id := fmt.Sprintf("%016x", ch.id)
		u, seen := uses[id]
		if !seen || ch.plan.ceiling == 0 {
			continue
		}
		size := ch.plan.ceilingBurst()
		c := Channel{Tenant: id, Plan: u.Plan, Inside: u.WithinQuota, Beyond: u.BeyondQuota, Overrun: u.Overrun, OfCeiling: u.Overrun / size, Closest: r.verdict.Closest[id]}
		r.WorstOverrun = max(r.WorstOverrun, c.OfCeiling)
		r.Channels = append(r.Channels, c)
	}
}
