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

// tolerance is how late an observer's time may be, and the slack that the platform grants on each time limit.
const tolerance = 50 * time.Millisecond

// The rules that the run checks besides the five of package rulecheck.
const (
	RuleDeadline            = "time told to a backend"
	RuleDisconnectedClients = "nothing for clients that have gone"
	RuleMisbehavingClients  = "an end for clients that misbehave"
	RuleReady               = "ready after a start"
	RuleInvariants          = "invariants of the program"
	RuleCrashes             = "no crash"
)

const (
	deadlineSlack   = 150 * time.Millisecond // by which an attempt may name more than its client has left
	disconnectSlack = 100 * time.Millisecond // after a disconnection, in which attempts may still begin
	readyTimeout    = 10 * time.Second       // for a start
	readyFraction   = 0.9                    // of the starts, which must be within readyTimeout
	reloadGrace     = 4 * time.Second        // after a reload, in which notifications may be missed
	pollGrace       = 6 * time.Second        // until a polling instance knows of a change
	silenceGrace    = 6 * time.Second        // after an agent falls silent, in which notifications may be missed
)

// Violation is one violation of a rule.
type Violation struct {
	Rule     string
	At       time.Duration
	Detail   string
	Doubtful bool     // the delay of an observer may explain it
	Timeline []string // what client, instance and backends recorded of the request
}

// addViolation records a violation.
func (r *run) addViolation(rule string, at time.Duration, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{Rule: rule, At: at, Detail: detail})
}

// checkRun checks everything that was recorded and returns the report.
func (r *run) checkRun() *Report {
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
		list[i] = r.checkerRequest(a, byID[a.id])
	}
	r.checkRecords(records, requests)
	r.checkInstances()
	e := rulecheck.Evidence{Requests: list, Notifications: r.instanceNotifications(), ObserverDelays: r.meter.Delays()}
	for _, rec := range records {
		e.Attempts = append(e.Attempts, rulecheck.BackendAttempt{
			ArrivedAt: rec.ArrivedAt, EndedAt: rec.EndedAt, ID: rec.ID, Backend: rec.Backend, Instance: fmt.Sprint("n", rec.Instance), Tenant: rec.Tenant,
			Plan: rec.Plan, Class: rec.Class, Rack: rec.Rack, Units: rec.Units, Busy: rec.Outcome == backend.Busy, WarmingUp: rec.WarmingUp,
		})
	}
	for _, n := range r.fleet.Backends() {
		if why, at := n.OverloadFailure(); n.PeakLoad() > 0 {
			e.Overloads = append(e.Overloads, rulecheck.Overload{Backend: n.ID, FailedAt: at, Reason: why, MaxLoad: n.PeakLoad()})
		}
	}
	verdict := rulecheck.Check(r.deployment.checkerRules(), e)
	for _, b := range verdict.Violations {
		r.violations = append(r.violations, Violation{Rule: b.Rule, At: b.At, Detail: b.Detail, Doubtful: b.Doubtful})
	}
	r.markDoubtful(r.meter.Delays())
	for i := range r.violations {
		r.addTimeline(&r.violations[i], requests, byID)
	}
	slices.SortStableFunc(r.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return r.report(verdict)
}

// checkerRequest converts a request for package rulecheck; sent is what backends recorded of it. The request is
// excused if nobody owes it an answer.
func (r *run) checkerRequest(req *clientRequest, sent []backend.Record) rulecheck.ClientRequest {
	out := rulecheck.ClientRequest{ID: req.id, Instance: req.in.Name, Class: req.class, SentAt: req.sent, Timeout: max(req.timeout, req.answerDue) + lateAnswerGrace, Answers: req.answers}
	out.ForeignAnswer = len(req.answers) > 0 && req.answers[0].Kind == "served" && req.value != "value of "+req.id
	end := max(req.connEndedAt, req.gaveUpAt)
	if len(req.answers) > 0 {
		end = req.answers[0].At
	}
	if req.firstOnConn && end > 0 && req.in.floodedWithin(req.sent, end) { // it may have waited for a connection slot
		out.Timeout = max(out.Timeout, end-req.sent)
	}
	switch sinceShutdown := req.in.timeSinceShutdown(req.sent); {
	case req.notConnected, req.left > 0, req.in.killedWithin(cmp.Or(req.dialedAt, req.sent), end):
		out.Excused = true
	case len(req.answers) == 0 && len(sent) == 0 && req.firstOnConn && req.connEndedAt > 0: // not yet accepted when the listener closed, or sent before it opened
		out.Excused = sinceShutdown > balancerDelay || req.in.timeSinceShutdown(req.connEndedAt) > balancerDelay || req.in.floodedWithin(req.sent, req.connEndedAt)
	case len(req.answers) == 0 && len(sent) == 0 && req.firstOnConn: // it may have waited for a connection slot
		out.Excused = req.in.floodedWithin(req.sent, req.gaveUpAt)
	}
	return out
}

// checkRecords checks the time that attempts name to backends, and that no attempt begins after its client has
// disconnected.
func (r *run) checkRecords(records []backend.Record, requests map[string]*clientRequest) {
	for _, rec := range records {
		req := requests[rec.ID]
		if req == nil {
			continue // package rulecheck reports it
		}
		if left := req.sent + req.timeout - rec.ArrivedAt; rec.Allowed > left+deadlineSlack+tolerance {
			r.addViolation(RuleDeadline, rec.ArrivedAt, fmt.Sprintf("%s %s (%s) told %s that %v were left, %v were", req.class, req.id, req.kind, rec.Backend, rec.Allowed, left.Round(time.Millisecond)))
		}
		if req.left > 0 && rec.ArrivedAt > req.left+disconnectSlack+tolerance {
			r.addViolation(RuleDisconnectedClients, rec.ArrivedAt, fmt.Sprintf("%s %s was sent to %s %v after its client had gone", req.class, req.id, rec.Backend, (rec.ArrivedAt-req.left).Round(time.Millisecond)))
		}
	}
}

// checkInstances checks the starts, exits and logged invariant violations of the instances.
func (r *run) checkInstances() {
	var starts []time.Duration
	for _, in := range r.instances {
		for _, line := range in.crashes {
			r.addViolation(RuleCrashes, r.clock(), line)
		}
		for _, line := range in.invariantLines {
			r.addViolation(RuleInvariants, r.clock(), in.Name+": "+line)
		}
		starts = append(starts, in.startDurations...)
	}
	slow := 0
	for _, took := range starts {
		if took > readyTimeout {
			slow++
		}
	}
	if float64(slow) > (1-readyFraction)*float64(len(starts)) {
		r.addViolation(RuleReady, r.clock(), fmt.Sprintf("%d of %d starts took over %v", slow, len(starts), readyTimeout))
	}
}

// instanceNotifications returns when each instance must know each backend's state: when its agents had it, and later
// where polls, reloads or failures of discovery delay it. A backend serves from the first agent's notification on, and
// drains from the last one's on.
func (r *run) instanceNotifications() []rulecheck.Notification {
	notifications := r.registry.AppliedChanges()
	slices.SortStableFunc(notifications, func(a, b agentNotification) int { return cmp.Compare(a.At, b.At) })
	type pair struct {
		instance int
		uid      string
	}
	drains := map[pair]rulecheck.Notification{}
	serves := map[pair]bool{}
	var out []rulecheck.Notification
	for _, n := range notifications {
		p := pair{n.Agent % r.cfg.Instances, n.UID}
		name := fmt.Sprint("n", p.instance)
		if n.State == "SERVING" { // the first agent decides
			if drain, drained := drains[p]; drained && drain.At < n.At {
				out = append(out, drain)
			}
			delete(drains, p)
			if !serves[p] {
				serves[p] = true
				out = append(out, rulecheck.Notification{At: n.At, Instance: name, Backend: n.UID, Serving: true})
			}
			continue
		}
		serves[p] = false
		drains[p] = rulecheck.Notification{At: max(drains[p].At, r.notifiedAt(p.instance, n.At)), Instance: name, Backend: n.UID}
	}
	for _, drain := range drains {
		out = append(out, drain)
	}
	return append(out, r.operatorNotifications...)
}

// notifiedAt returns when an instance must know what one of its agents had at a time.
func (r *run) notifiedAt(instance int, at time.Duration) time.Duration {
	notified := at
	if r.deployment.polls {
		notified += pollGrace
	}
	for again := true; again; {
		again = false
		for _, s := range r.notificationGaps(instance) {
			if notified > s.from-notificationTransit && notified < s.to {
				notified, again = s.to, true
			}
		}
	}
	return notified
}

// notificationTransit is how long before a gap a notification may have been sent and still be lost in it.
const notificationTransit = 200 * time.Millisecond

// span is a range of time.
type span struct{ from, to time.Duration }

// floodedWithin reports whether all connections of the instance may have been taken at some time between from and to.
func (in *instance) floodedWithin(from, to time.Duration) bool {
	return slices.ContainsFunc(in.floods, func(s span) bool { return from < s.to && to > s.from })
}

// notificationGaps returns the spans in which an instance may miss notifications.
func (r *run) notificationGaps(instance int) (out []span) {
	for _, f := range r.discoveryFailures {
		if !slices.Contains(f.instances, instance) {
			continue
		}
		s := span{f.from, f.to}
		if f.silent {
			s.to = max(f.to, f.from+silenceGrace)
		}
		if r.deployment.polls {
			s.to += pollGrace
		}
		out = append(out, s)
	}
	for _, h := range r.instances[instance].reloadedAt {
		out = append(out, span{h, h + reloadGrace})
	}
	return out
}

// markDoubtful marks the violations that a delay of the observers may explain.
func (r *run) markDoubtful(delays []rulecheck.ObserverDelay) {
	for i := range r.violations {
		v := &r.violations[i]
		for _, d := range delays {
			v.Doubtful = v.Doubtful || d.Delay > tolerance && d.At-time.Second <= v.At && v.At <= d.At+d.Delay+time.Second
		}
	}
}

// addTimeline adds to a violation what client, instance and backends recorded of the first request that its detail
// names.
func (r *run) addTimeline(v *Violation, requests map[string]*clientRequest, byID map[string][]backend.Record) {
	for _, word := range strings.Fields(v.Detail) {
		req := requests[word]
		if req == nil {
			continue
		}
		line := fmt.Sprintf("client (%s) of %s: sent %.3f, waits %v, fresh %v", req.kind, req.in.Name, req.sent.Seconds(), req.timeout, req.firstOnConn)
		for _, answer := range req.answers {
			line += fmt.Sprintf(", %s at %.3f %q", answer.Kind, answer.At.Seconds(), req.value)
		}
		if req.connEndedAt > 0 {
			line += fmt.Sprintf(", connection ended at %.3f", req.connEndedAt.Seconds())
		}
		if req.left > 0 {
			line += fmt.Sprintf(", left at %.3f", req.left.Seconds())
		}
		if req.gaveUpAt > 0 {
			line += fmt.Sprintf(", waited until %.3f", req.gaveUpAt.Seconds())
		}
		v.Timeline = append(v.Timeline, line, fmt.Sprintf("%s: terms %v, kills %v, overrun %v, ends %v, starts %v", req.in.Name, req.in.terminatedAt, req.in.killedAt, req.in.timedOutAt, req.in.endedAt, req.in.startedAt))
		for _, rec := range byID[req.id] {
			v.Timeline = append(v.Timeline, fmt.Sprintf("%s from n%d: came %.3f, ended %.3f, %s, told %v, rack %d, connection %d", rec.Backend, rec.Instance, rec.ArrivedAt.Seconds(), rec.EndedAt.Seconds(), rec.Outcome, rec.Allowed, rec.Rack, rec.Conn))
		}
		return
	}
}
