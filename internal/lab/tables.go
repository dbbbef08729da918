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

// addCommands adds the commands that arrived at backends to the report.
func (tb *Testbed) addCommands(r *Report) {
	objectives := map[string]time.Duration{}
	for _, c := range tb.classes {
		objectives[c.name] = c.latencyObjective
	}
	seen := map[string]bool{}
	for _, x := range tb.fleet.Records(0) {
		if !seen[x.ID] {
			seen[x.ID] = true
			r.Forwarded = append(r.Forwarded, ForwardedUnits{x.ArrivedAt, x.Instance, x.Tenant, x.Units})
		}
		r.Commands = append(r.Commands, Command{x.ArrivedAt, x.Backend, x.Instance, x.Class, x.EndedAt == 0 || x.EndedAt-x.ArrivedAt > objectives[x.Class]})
	}
}

// addKeyedRequests adds the keyed requests and their history to the report, as clients and backends saw them.
func (tb *Testbed) addKeyedRequests(r *Report) {
	by := map[string]*ClientRequest{}
	values := map[string]map[string]bool{}
	racks := map[string]map[int]bool{}
	tb.load.mu.Lock()
	slices.SortFunc(tb.load.sent, func(a, b sent) int { return cmp.Compare(a.SentAt, b.SentAt) })
	for _, t := range tb.load.sent {
		if t.key == "" {
			continue
		}
		x := by[t.key]
		if x == nil {
			x = &ClientRequest{Key: t.key, Class: t.class.name, FirstSentAt: t.SentAt, ClientTimeout: t.Timeout, Instance: t.Instance, FirstUnanswered: len(t.Answers) == 0}
			by[t.key], values[t.key], racks[t.key] = x, map[string]bool{}, map[int]bool{}
		}
		x.Attempts++
		end, step := "no answer", Step{Key: t.key, From: t.SentAt, ClientID: len(r.History)}
		if len(t.Answers) > 0 {
			step.Until, step.Served, step.Value = t.Answers[0].At, t.Answers[0].Kind == "served", t.value
			end = fmt.Sprintf("%s after %v", t.Answers[0].Kind, (t.Answers[0].At - t.SentAt).Round(ms))
			if x.Attempts > 1 {
				x.AnsweredRetries++
			} else {
				x.FirstAnsweredAt = t.Answers[0].At
			}
		}
		r.History = append(r.History, step)
		x.Timeline = append(x.Timeline, fmt.Sprintf("%s at %v: %s", t.Instance, t.SentAt.Round(ms), end))
		if len(t.Answers) > 0 && t.Answers[0].Kind == "served" {
			x.Served = true
			values[t.key][t.value] = true
		}
	}
	tb.load.mu.Unlock()
	for _, c := range tb.fleet.Records(0) {
		x := by[c.Key]
		if x == nil {
			continue
		}
		if fmt.Sprint("n", c.Instance) != x.Instance && x.OtherInstanceAt == 0 {
			x.OtherInstanceAt = c.ArrivedAt
		}
		switch c.Outcome {
		case backend.Ran, backend.DroppedAfter, backend.Unanswered:
			x.Effects++
			r.History = append(r.History, Step{Key: c.Key, From: c.ArrivedAt, Until: c.EndedAt, Effect: true, ClientID: len(r.History)})
			racks[c.Key][c.Rack] = true
		}
	}
	for key, x := range by {
		x.Values, x.Racks = len(values[key]), len(racks[key])
		r.KeyedRequests = append(r.KeyedRequests, *x)
	}
	slices.SortFunc(r.KeyedRequests, func(a, b ClientRequest) int { return cmp.Compare(a.FirstSentAt, b.FirstSentAt) })
}

// addRows sums up the clients' attempts by class and plan, by second and by front end.
func (tb *Testbed) addRows(r *Report) {
	type key struct{ class, plan string }
	byKey := map[key]*Row{}
	took := map[key]*measure.Latencies{}
	var seconds []*Second
	var perSecond []*measure.Latencies
	tb.load.mu.Lock()
	defer tb.load.mu.Unlock()
	r.Attempts = len(tb.load.sent)
	slices.SortFunc(tb.load.sent, func(a, b sent) int { return cmp.Compare(a.SentAt, b.SentAt) })
	for _, t := range tb.load.sent {
		for i := range r.Processes {
			if r.Processes[i].Name == t.Instance {
				r.Processes[i].Attempts++
			}
		}
		k := key{t.class.name, t.sender.plan.name}
		row := byKey[k]
		if row == nil {
			row = &Row{Class: k.class, Plan: k.plan}
			byKey[k], took[k] = row, measure.NewLatencies()
		}
		n := int((t.due - tb.load.startedAt) / time.Second)
		for len(seconds) <= n {
			seconds = append(seconds, &Second{ByClass: map[string]Slot{}, ByPlan: map[string]Slot{}})
			perSecond = append(perSecond, measure.NewLatencies())
		}
		sec := seconds[n]
		count := func(requests, inTime int) {
			sec.Requests, sec.InTime = sec.Requests+requests, sec.InTime+inTime
			c, p := sec.ByClass[k.class], sec.ByPlan[k.plan]
			sec.ByClass[k.class], sec.ByPlan[k.plan] = Slot{c.Requests + requests, c.InTime + inTime}, Slot{p.Requests + requests, p.InTime + inTime}
		}
		row.Attempts++
		if t.sender.plan.ceilingFactor > 0 && t.sender.demand > 1 {
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
			row.Unanswered++
			continue
		}
		switch latency := t.Answers[0].At - t.due; t.Answers[0].Kind {
		case "served":
			row.Served++
			took[k].Add(latency)
			perSecond[n].Add(latency)
			if latency <= t.class.latencyObjective {
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
	for _, p := range tb.plans {
		for _, c := range tb.classes {
			k := key{c.name, p.name}
			if row := byKey[k]; row != nil {
				row.P50MS, row.P99MS = took[k].QuantileMS(0.5), took[k].QuantileMS(0.99)
				r.Rows = append(r.Rows, *row)
			}
		}
	}
}

// addScore computes the service score of the specification from the records of clients and backends, and returns the
// operations that it counted.
func (tb *Testbed) addScore(r *Report, e rulecheck.Evidence, calls int) (list []measure.Operation) {
	operations := map[int]*measure.Operation{}
	costs := measure.Costs{CounterCalls: calls}
	tb.load.mu.Lock()
	for _, t := range tb.load.sent {
		x := operations[t.requestIndex]
		if x == nil {
			x = &measure.Operation{Due: t.due - tb.load.startedAt, Tenant: fmt.Sprint(t.sender.id), Plan: t.sender.plan.name, Class: t.class.name, Units: t.class.units}
			operations[t.requestIndex] = x
			costs.WorkRequested += t.class.work.Mean()
		}
		if x.Served || len(t.Answers) == 0 {
			continue
		}
		x.AnsweredAt, x.Served = t.Answers[0].At-tb.load.startedAt, t.Answers[0].Kind == "served"
	}
	tb.load.mu.Unlock()
	list = make([]measure.Operation, 0, len(operations))
	for _, x := range operations {
		list = append(list, *x)
	}
	slices.SortFunc(list, func(a, b measure.Operation) int {
		return cmp.Or(cmp.Compare(a.Due, b.Due), cmp.Compare(a.Tenant, b.Tenant))
	})
	for _, rec := range tb.fleet.Records(0) {
		if rec.Outcome != backend.Busy {
			costs.WorkDone += rec.Work
		}
		if rec.Zone != "hall-"+string(rune('a'+rec.Instance%3)) {
			costs.CrossZoneSends++
		}
	}
	var beyond []measure.ExcessAttempt
	for _, s := range rulecheck.AttemptsBeyondQuota(tb.quotas(), e.Attempts) {
		beyond = append(beyond, measure.ExcessAttempt{At: s.ArrivedAt - tb.load.startedAt, Plan: s.Plan, Class: s.Class, Units: s.Units})
	}
	classWeights, planWeights := scoreWeights(tb.classes, tb.plans)
	r.Score = measure.ComputeScore(classWeights, planWeights, list, beyond, costs)
	r.Service = r.Score.Service
	return list
}

// tenants compares the units that backends saw with the quotas and ceilings of the tenants.
func (tb *Testbed) tenants(r *Report, e rulecheck.Evidence) {
	quotaUses := rulecheck.QuotaUses(tb.quotas(), e.Attempts)
	inside, beyond := 0.0, 0.0
	for _, u := range quotaUses {
		inside, beyond = inside+u.WithinQuota, beyond+u.BeyondQuota
	}
	if inside > 0 {
		r.BeyondShare = beyond / inside
	}
	if maxValue := tb.scenarioConfig.MaxBeyondQuota; maxValue > 0 && r.BeyondShare > maxValue {
		r.Violations = append(r.Violations, rulecheck.Violation{Rule: RuleQuotas, At: tb.load.startedAt + time.Duration(tb.scenarioConfig.Length), Until: tb.load.startedAt + time.Duration(tb.scenarioConfig.Length), Detail: fmt.Sprintf("%.0f units were passed on beyond quotas, %.0f%% of those inside; the day allows %.0f%%", beyond, 100*r.BeyondShare, 100*maxValue)})
		r.Rules[RuleQuotas] = 1
	}
	for _, sender := range tb.load.tenants {
		id := fmt.Sprintf("%016x", sender.id)
		u, seen := quotaUses[id]
		if !seen || sender.plan.ceilingFactor == 0 {
			continue
		}
		size := sender.plan.ceilingBurst()
		c := TenantUse{Tenant: id, Plan: u.Plan, Inside: u.WithinQuota, Beyond: u.BeyondQuota, Overrun: u.Overrun, OverrunOfCeiling: u.Overrun / size, Closest: r.checkResult.Closest[id]}
		r.WorstOverrun = max(r.WorstOverrun, c.OverrunOfCeiling)
		r.Tenants = append(r.Tenants, c)
	}
}
