package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"hitchspring/internal/rulecheck"
	"hitchspring/internal/standin/backend"
)

// tolerance is how late an observer may be, and the platform's slack on each time limit.
const tolerance = 50 * time.Millisecond

// What is judged beside the five rules of package audit.
const (
	RuleDeadline    = "time told to a backend"
	RuleClientsGone = "nothing for clients that have gone"
	RuleBadClients  = "an end for clients that misbehave"
	RuleReady       = "ready after a start"
	RuleInvariants  = "invariants of the program"
	RuleCrashes     = "no crash"
)

const (
	toldSlack    = 150 * time.Millisecond // of the time that an attempt tells its backend
	goneSlack    = 100 * time.Millisecond // after the close, up to which an attempt may begin
	readyWithin  = 10 * time.Second       // of nine starts in ten
	readyShare   = 0.9
	hangupGrace  = 4 * time.Second // after a new configuration, until which what it moves to counts as not told
	askedWithin  = 6 * time.Second // after discovery had it, where instances ask for the list
	silenceGrace = 6 * time.Second // after an agent has fallen silent, until which what it misses counts as not told
)

// Finding is one break, with what is known of it.
type Finding struct {
	Rule     string
	At       time.Duration
	Detail   string
	Doubtful bool // the observers were late then
	Story    []string
}

// found notes a break that was seen while the run went on.
func (r *run) found(rule string, at time.Duration, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, Finding{Rule: rule, At: at, Detail: what})
}

// judge judges the run by what was recorded.
func (r *run) judge() *Report {
	records := r.fleet.Records(0)
	byID := map[string][]backend.Record{}
	for _, rec := range records {
		byID[rec.ID] = append(byID[rec.ID], rec)
	}
	list := make([]rulecheck.ClientRequest, len(r.clientRequests))
	requests := map[string]*clientRequest{}
	for i := range r.clientRequests {
		a := &r.clientRequests[i]
		requests[a.id] = a
		list[i] = r.asAudited(a, byID[a.id])
	}
	r.judgeRecords(records, requests)
	r.judgeInstances()
	e := rulecheck.Evidence{Requests: list, Notifications: r.toldToInstances(), ObserverDelays: r.meter.Delays()}
	for _, rec := range records {
		e.Attempts = append(e.Attempts, rulecheck.BackendAttempt{
			ArrivedAt: rec.ArrivedAt, EndedAt: rec.EndedAt, ID: rec.ID, Backend: rec.Backend, Instance: fmt.Sprint("n", rec.Instance), Tenant: rec.Tenant,
			Plan: rec.Plan, Class: rec.Class, Rack: rec.Rack, Units: rec.Units, Busy: rec.Fate == backend.Busy, WarmingUp: rec.WarmingUp,
		})
	}
	for _, n := range r.fleet.Backends() {
		if why, at := n.Fell(); n.Pushed() > 0 {
			e.Overloads = append(e.Overloads, rulecheck.Overload{Backend: n.ID, FellAt: at, Reason: why, Pressure: n.Pushed()})
		}
	}
	verdict := rulecheck.Check(r.deployment.auditRules(), e)
	for _, b := range verdict.Violations {
		r.findings = append(r.findings, Finding{Rule: b.Rule, At: b.At, Detail: b.Detail, Doubtful: b.Doubtful})
	}
	r.doubtBy(r.meter.Delays())
	for i := range r.findings {
		r.tellStory(&r.findings[i], requests, byID)
	}
	slices.SortStableFunc(r.findings, func(a, b Finding) int { return cmp.Compare(a.At, b.At) })
	return r.report(verdict)
}

// asAudited is a request as package audit judges it: excused where nobody owes it an answer.
func (r *run) asAudited(a *clientRequest, sent []backend.Record) rulecheck.ClientRequest {
	out := rulecheck.ClientRequest{ID: a.id, Instance: a.in.Name, Class: a.class, SentAt: a.sent, Timeout: max(a.wait, a.owed) + lateBy, Answers: a.answers}
	out.ForeignAnswer = len(a.answers) > 0 && a.answers[0].Kind == "served" && a.value != "value of "+a.id
	end := max(a.ended, a.waited)
	if len(a.answers) > 0 {
		end = a.answers[0].At
	}
	if a.fresh && end > 0 && a.in.crowded(a.sent, end) { // it has waited for a place
		out.Timeout = max(out.Timeout, end-a.sent)
	}
	switch leaving := a.in.leavingFor(a.sent); {
	case a.noConnect, a.left > 0, a.in.killedWithin(cmp.Or(a.since, a.sent), end):
		out.Excused = true
	case len(a.answers) == 0 && len(sent) == 0 && a.fresh && a.ended > 0: // in the listen queue when the listener closed, or before a start
		out.Excused = leaving > frontNotice || a.in.leavingFor(a.ended) > frontNotice || a.in.crowded(a.sent, a.ended)
	case len(a.answers) == 0 && len(sent) == 0 && a.fresh: // it has waited for a place
		out.Excused = a.in.crowded(a.sent, a.waited)
	}
	return out
}

// judgeRecords judges what attempts told, and what was sent for clients that had gone.
func (r *run) judgeRecords(records []backend.Record, requests map[string]*clientRequest) {
	for _, rec := range records {
		a := requests[rec.ID]
		if a == nil {
			continue // audit has a word for it
		}
		if left := a.sent + a.wait - rec.ArrivedAt; rec.Allowed > left+toldSlack+tolerance {
			r.found(RuleDeadline, rec.ArrivedAt, fmt.Sprintf("%s %s (%s) told %s that %v were left, %v were", a.class, a.id, a.kind, rec.Backend, rec.Allowed, left.Round(time.Millisecond)))
		}
		if a.left > 0 && rec.ArrivedAt > a.left+goneSlack+tolerance {
			r.found(RuleClientsGone, rec.ArrivedAt, fmt.Sprintf("%s %s was sent to %s %v after its client had gone", a.class, a.id, rec.Backend, (rec.ArrivedAt-a.left).Round(time.Millisecond)))
		}
	}
}

// judgeInstances judges starts, ends and what the instances said of their invariants.
func (r *run) judgeInstances() {
	var starts []time.Duration
	for _, in := range r.instances {
		for _, text := range in.crashed {
			r.found(RuleCrashes, r.clock(), text)
		}
		for _, text := range in.violated {
			r.found(RuleInvariants, r.clock(), in.Name+": "+text)
		}
		starts = append(starts, in.startup...)
	}
	slow := 0
	for _, took := range starts {
		if took > readyWithin {
			slow++
		}
	}
	if float64(slow) > (1-readyShare)*float64(len(starts)) {
		r.found(RuleReady, r.clock(), fmt.Sprintf("%d of %d starts took over %v", slow, len(starts), readyWithin))
	}
}

// toldToInstances is what the instances count as told: what their agents had, but for what these could not tell.
func (r *run) toldToInstances() []rulecheck.Notification {
	learnt := r.registry.Versions()
	slices.SortStableFunc(learnt, func(a, b learntEntry) int { return cmp.Compare(a.At, b.At) })
	type pair struct {
		instance int
		uid      string
	}
	drains := map[pair]rulecheck.Notification{}
	serves := map[pair]bool{}
	var out []rulecheck.Notification
	for _, l := range learnt {
		p := pair{l.Agent % r.cfg.Instances, l.UID}
		name := fmt.Sprint("n", p.instance)
		if l.State == "SERVING" { // from the first of its agents on
			if t, drained := drains[p]; drained && t.At < l.At {
				out = append(out, t)
			}
			delete(drains, p)
			if !serves[p] {
				serves[p] = true
				out = append(out, rulecheck.Notification{At: l.At, Instance: name, Backend: l.UID, Serving: true})
			}
			continue
		}
		serves[p] = false
		drains[p] = rulecheck.Notification{At: max(drains[p].At, r.heardBy(p.instance, l.At)), Instance: name, Backend: l.UID}
	}
	for _, t := range drains {
		out = append(out, t)
	}
	return append(out, r.said...)
}

// heardBy is when an instance counts as told what its agent had at a time.
func (r *run) heardBy(instance int, at time.Duration) time.Duration {
	told := at
	if r.deployment.asks {
		told += askedWithin
	}
	for again := true; again; {
		again = false
		for _, s := range r.deafness(instance) {
			if told > s.from-onItsWay && told < s.to {
				told, again = s.to, true
			}
		}
	}
	return told
}

// onItsWay is how long before a failure a change may have been told that has not come.
const onItsWay = 200 * time.Millisecond

// span is a time.
type span struct{ from, to time.Duration }

// crowded reports whether all places of an instance may have been taken at some time between the two.
func (in *instance) crowded(from, to time.Duration) bool {
	return slices.ContainsFunc(in.crowds, func(s span) bool { return from < s.to && to > s.from })
}

// deafness are the times in which an instance is not owed to hear anything.
func (r *run) deafness(instance int) (out []span) {
	for _, f := range r.failures {
		if !slices.Contains(f.instances, instance) {
			continue
		}
		s := span{f.from, f.to}
		if f.silent {
			s.to = max(f.to, f.from+silenceGrace)
		}
		if r.deployment.asks {
			s.to += askedWithin
		}
		out = append(out, s)
	}
	for _, h := range r.instances[instance].hangups {
		out = append(out, span{h, h + hangupGrace})
	}
	return out
}

// doubtBy marks what the lateness of the observers can explain.
func (r *run) doubtBy(late []rulecheck.ObserverDelay) {
	for i := range r.findings {
		f := &r.findings[i]
		for _, l := range late {
			f.Doubtful = f.Doubtful || l.Delay > tolerance && l.At-time.Second <= f.At && f.At <= l.At+l.Delay+time.Second
		}
	}
}

// tellStory adds to a finding what client and backends saw of the request that it names.
func (r *run) tellStory(f *Finding, requests map[string]*clientRequest, byID map[string][]backend.Record) {
	for _, word := range strings.Fields(f.Detail) {
		a := requests[word]
		if a == nil {
			continue
		}
		line := fmt.Sprintf("client (%s) of %s: sent %.3f, waits %v, fresh %v", a.kind, a.in.Name, a.sent.Seconds(), a.wait, a.fresh)
		for _, x := range a.answers {
			line += fmt.Sprintf(", %s at %.3f %q", x.Kind, x.At.Seconds(), a.value)
		}
		if a.ended > 0 {
			line += fmt.Sprintf(", connection ended at %.3f", a.ended.Seconds())
		}
		if a.left > 0 {
			line += fmt.Sprintf(", left at %.3f", a.left.Seconds())
		}
		if a.waited > 0 {
			line += fmt.Sprintf(", waited until %.3f", a.waited.Seconds())
		}
		f.Story = append(f.Story, line, fmt.Sprintf("%s: terms %v, kills %v, overrun %v, ends %v, starts %v", a.in.Name, a.in.terms, a.in.kills, a.in.overrun, a.in.ends, a.in.starts))
		for _, rec := range byID[a.id] {
			f.Story = append(f.Story, fmt.Sprintf("%s from n%d: came %.3f, ended %.3f, %s, told %v, rack %d, connection %d", rec.Backend, rec.Instance, rec.ArrivedAt.Seconds(), rec.EndedAt.Seconds(), rec.Fate, rec.Allowed, rec.Rack, rec.Conn))
		}
		return
	}
}
