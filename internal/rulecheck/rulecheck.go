// Package audit judges the five rules from what the peers saw: the clients' record of what they asked and were answered,
// the nodes' record of what came, and discovery's record of what it told. It does no I/O and never asks an ingress.
package rulecheck

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
)

// Effect says whether a class may be repeated.
type Effect uint8

// The effects.
const (
	Unsafe Effect = iota
	Safe
	Keyed
)

// Ceiling is a customer's hard limit: a store of units that starts full, fills at the rate and holds the burst.
type Ceiling struct{ Rate, Burst float64 }

// Rules are the figures of the five rules.
type Rules struct {
	Classes      map[string]Effect
	MinAttempts  map[string]time.Duration // by class: no node serves it faster
	KeyMemory    time.Duration            // of a rack
	DrainGrace   time.Duration
	Ceilings     map[string]Ceiling // by plan; others have none
	CeilingSlack float64            // share of the burst and of the rate, or MaxUnits if that is more
	MaxUnits     float64
	// Tolerance is the slack of every time limit. All observers read one clock; but a client's record is made when the client
	// has read an answer, a node's when it has read a command, and each may have been read late. What one instance does in
	// order may so seem to be out of order by as much as one observer can be late. It is the platform's 50 ms.
	Tolerance time.Duration
}

// Usual are the platform's figures, but for classes and ceilings.
func DefaultRules() Rules {
	return Rules{KeyMemory: 3 * time.Second, DrainGrace: 2 * time.Second, CeilingSlack: 0.1, MaxUnits: 6, Tolerance: 50 * time.Millisecond}
}

// Asked is one try of a client, as the client saw it.
type ClientRequest struct {
	ID       string // new with every try
	Instance string // that it was sent to
	Class    string
	SentAt   time.Duration // of its last byte
	Timeout time.Duration // after Sent
	Answers  []Answer      // final ones; more than one breaks a rule
	ForeignAnswer   bool          // an answer that was not made for it
	Excused  bool          // its instance was killed, or never took it
}

// Answer is a final answer.
type Answer struct {
	At   time.Duration
	Kind string // served, refused or failed
}

// Sent is one attempt, as its node saw it.
type BackendAttempt struct {
	ArrivedAt time.Duration // its last byte was read, before any fault acted
	EndedAt   time.Duration // its answer left, or its connection was reset; 0: not yet
	Backend, Instance,
	ID, Tenant, Plan, Class string
	Rack      int
	Units     float64
	Busy      bool // turned away: it never ran, and the instance could know from Ended on
	WarmingUp bool // its node was cold
}

// neverRan says whether the instance could know at a time that the attempt never ran.
func (a BackendAttempt) neverRan(at time.Duration) bool {
	return a.Busy && a.EndedAt > 0 && a.EndedAt <= at
}

// Told is one entry of the list, as discovery wrote it to an instance.
type Notification struct {
	At                time.Duration
	Instance, Backend string
	Serving           bool
}

// ColdNode is a node that started cold.
type Overload struct {
	Backend string
	FellAt      time.Duration // of its fall; 0: it stands
	Reason  string        // of its fall
	Pressure  float64       // how near it came to its fall: 1 is the edge
}

// Late is a time in which the machine kept the observers from running.
type ObserverDelay struct{ At, Delay time.Duration }

// Evidence is all that the peers saw.
type Evidence struct {
	Requests       []ClientRequest
	Attempts       []BackendAttempt
	Notifications  []Notification
	Overloads      []Overload
	ObserverDelays []ObserverDelay
}

// Break is one break of a rule.
type Violation struct {
	Rule     string        `json:"Rule"`
	At       time.Duration `json:"At"`
	Detail   string        `json:"What"`
	Until    time.Duration `json:"Until"`    // what it was judged by lies between At and Until
	Doubtful bool          `json:"Doubtful"` // the observers themselves were late then
}

// The rules.
const (
	NoRequestLost  = "no request lost"
	NoEffectTwice = "no effect twice"
	Drains    = "drains kept"
	SlowStart = "no cold node pushed over"
	Ceilings  = "ceilings kept"
)

// RuleNames lists the rules in their order.
var RuleNames = []string{NoRequestLost, NoEffectTwice, Drains, SlowStart, Ceilings}

// Edges is how near a run came to what the rules forbid. A run that never came near one is no proof of it.
type Margins struct {
	Refused        int     `json:"Refused"`    // tries that were refused
	Tight          int     `json:"Tight"`      // answers within 150 ms of the client's giving up
	Repeats        int     `json:"Repeats"`    // attempts after one that may have run, as the class allows
	Withheld       int     `json:"HeldBack"`   // keyed or unsafe requests whose attempt may have run, ended with no value, and was not repeated elsewhere
	Drains         int     `json:"Drains"`     // times that an instance went on sending elsewhere, past the grace of a node that drains
	SlowStartSends int     `json:"ColdSends"`  // attempts at cold nodes
	SlowStartPush  float64 `json:"ColdPush"`   // how near a cold node came to falling over: 1 is the edge
	Ceiling        float64 `json:"Ceiling"`    // how near a channel came to its ceiling, as a share of its store: 0 is the edge
	CeilingFor     int     `json:"CeilingFor"` // channels that came within a tenth of it
}

// Verdict is what the evidence comes to.
type Result struct {
	Violations []Violation
	// Closest is, for each customer under a ceiling, how near it came: the most units sent beyond what the ceiling allowed
	// at that moment, below 0 where it stayed under, as a share of its burst.
	Closest    map[string]float64
	Checked    map[string]int // how many facts each rule was judged by
	Margins    Margins
	WorstDelay time.Duration // the longest time for which the observers were kept from running
}

// Clean says whether no rule broke.
func (v Result) Clean() bool { return len(v.Violations) == 0 }

// Certain are the breaks that no lateness of the observers can explain.
func (v Result) CountCertain() int {
	n := 0
	for _, b := range v.Violations {
		if !b.Doubtful {
			n++
		}
	}
	return n
}

// Of returns the breaks of one rule.
func (v Result) ForRule(rule string) []Violation {
	var out []Violation
	for _, b := range v.Violations {
		if b.Rule == rule {
			out = append(out, b)
		}
	}
	return out
}

// Judge judges the evidence.
func Check(r Rules, e Evidence) Result {
	v := Result{Closest: map[string]float64{}, Checked: map[string]int{}, Margins: Margins{Ceiling: -1}}
	sent := slices.Clone(e.Attempts)
	slices.SortStableFunc(sent, func(a, b BackendAttempt) int { return cmp.Compare(a.ArrivedAt, b.ArrivedAt) })
	byID := map[string][]BackendAttempt{}
	for _, s := range sent {
		byID[s.ID] = append(byID[s.ID], s)
	}
	asked := map[string]*ClientRequest{}
	for i := range e.Requests {
		asked[e.Requests[i].ID] = &e.Requests[i]
	}
	v.checkAnswers(r, e.Requests, byID)
	v.checkLateRejections(r, e.Requests, byID)
	v.checkRepeats(r, byID, asked)
	v.checkDrains(r, e.Notifications, sent, asked)
	v.checkSlowStart(sent, e.Overloads)
	v.checkCeilings(r, sent)
	for _, l := range e.ObserverDelays {
		v.WorstDelay = max(v.WorstDelay, l.Delay)
		for i := range v.Violations {
			b := &v.Violations[i]
			b.Doubtful = b.Doubtful || l.Delay > r.Tolerance && l.At+l.Delay >= b.At && l.At-l.Delay <= b.Until+r.Tolerance
		}
	}
	sort.SliceStable(v.Violations, func(i, j int) bool { return v.Violations[i].At < v.Violations[j].At })
	return v
}

func (v *Result) addViolation(rule string, at, until time.Duration, format string, args ...any) {
	v.Violations = append(v.Violations, Violation{Rule: rule, At: at, Until: max(at, until), Detail: fmt.Sprintf(format, args...)})
}

// lost: one final answer, in time, and nothing sent after it.
func (v *Result) checkAnswers(r Rules, asked []ClientRequest, byID map[string][]BackendAttempt) {
	for _, a := range asked {
		v.Checked[NoRequestLost]++
		end := a.SentAt + a.Timeout
		switch {
		case a.ForeignAnswer:
			v.addViolation(NoRequestLost, a.SentAt, end, "%s %s was answered with what no node made for it", a.Class, a.ID)
		case len(a.Answers) > 1:
			v.addViolation(NoRequestLost, a.SentAt, end, "%s %s has %d answers", a.Class, a.ID, len(a.Answers))
		case a.Excused:
		case len(a.Answers) == 0:
			v.addViolation(NoRequestLost, a.SentAt, end, "%s %s to %s has no answer", a.Class, a.ID, a.Instance)
		case a.Answers[0].At > end+r.Tolerance:
			v.addViolation(NoRequestLost, a.SentAt, a.Answers[0].At, "%s %s was answered %v after its time", a.Class, a.ID, a.Answers[0].At-end)
		}
		if len(a.Answers) == 0 {
			continue
		}
		first := a.Answers[0]
		if first.Kind == "refused" {
			v.Margins.Refused++
		}
		if first.At > end-150*time.Millisecond {
			v.Margins.Tight++
		}
		for _, s := range byID[a.ID] {
			if s.Instance != a.Instance && r.Classes[a.Class] == Keyed {
				continue // a taker can't know of the answer of one who is cut off from it; that it adds no effect is judged below
			}
			if s.ArrivedAt > first.At+r.Tolerance {
				v.addViolation(NoRequestLost, first.At, s.ArrivedAt, "%s %s was sent to %s %v after its answer", a.Class, a.ID, s.Backend, s.ArrivedAt-first.At)
			}
		}
	}
}

const (
	heldLeast = 3   // refusals of a class at an instance that came too late to be fresh,
	heldShare = 0.1 // and their share of all: fewer are chance
)

// held: a request that was given up on is answered at once. A refusal that comes when no node could have served it any
// more, and none was out, was decided on earlier.
func (v *Result) checkLateRejections(r Rules, asked []ClientRequest, byID map[string][]BackendAttempt) {
	type group struct{ instance, class string }
	all, held := map[group]int{}, map[group][]ClientRequest{}
	for _, a := range asked {
		if len(a.Answers) != 1 || a.Answers[0].Kind != "refused" || a.Excused {
			continue
		}
		g := group{a.Instance, a.Class}
		all[g]++
		at, least := a.Answers[0].At, r.MinAttempts[a.Class]-r.Tolerance
		out := slices.ContainsFunc(byID[a.ID], func(s BackendAttempt) bool { return s.EndedAt == 0 || s.EndedAt > at-2*r.MinAttempts[a.Class] })
		if a.SentAt+a.Timeout-at < least && !out {
			held[g] = append(held[g], a)
		}
	}
	for g, list := range held {
		if len(list) < heldLeast || float64(len(list)) < heldShare*float64(all[g]) {
			continue
		}
		a := list[0]
		v.addViolation(NoRequestLost, a.SentAt, a.Answers[0].At, "%s held %d of %d refusals of %s until no node could have served them, %s until %v before its time", g.instance,
			len(list), all[g], g.class, a.ID, a.SentAt+a.Timeout-a.Answers[0].At)
	}
}

// twice: after an attempt that may have run, by what the instance could know, only what the class allows.
func (v *Result) checkRepeats(r Rules, byID map[string][]BackendAttempt, asked map[string]*ClientRequest) {
	for id, list := range byID {
		effect := r.Classes[list[0].Class]
		for i, s := range list {
			v.Checked[NoEffectTwice]++
			before := slices.IndexFunc(list[:i], func(b BackendAttempt) bool { return !b.neverRan(s.ArrivedAt) })
			if before < 0 {
				continue
			}
			first := list[before]
			switch {
			case effect == Safe:
				v.Margins.Repeats++
			case effect == Unsafe:
				v.addViolation(NoEffectTwice, first.ArrivedAt, s.ArrivedAt, "%s %s, which may not be repeated, was sent to %s and %s", s.Class, id, first.Backend, s.Backend)
			case s.Rack != first.Rack:
				v.addViolation(NoEffectTwice, first.ArrivedAt, s.ArrivedAt, "%s %s went to rack %d and rack %d", s.Class, id, first.Rack, s.Rack)
			case s.ArrivedAt-first.ArrivedAt > r.KeyMemory+r.Tolerance:
				v.addViolation(NoEffectTwice, first.ArrivedAt, s.ArrivedAt, "%s %s was repeated after %v", s.Class, id, s.ArrivedAt-first.ArrivedAt)
			default:
				v.Margins.Repeats++
			}
		}
		a := asked[id]
		if effect == Safe || a == nil || len(a.Answers) == 0 || a.Answers[0].Kind == "served" {
			continue
		}
		at := a.Answers[0].At
		if i := slices.IndexFunc(list, func(s BackendAttempt) bool { return s.ArrivedAt < at && !s.neverRan(at) }); i >= 0 {
			v.Margins.Withheld++
			if a.Answers[0].Kind == "refused" {
				v.addViolation(NoEffectTwice, list[i].ArrivedAt, at, "%s %s was refused, as if trying again were harmless, though %s may have run it", a.Class, id, list[i].Backend)
			}
		}
	}
}

// cold: no node was pushed over, by all instances together.
func (v *Result) checkSlowStart(sent []BackendAttempt, nodes []Overload) {
	for _, s := range sent {
		if s.WarmingUp {
			v.Margins.SlowStartSends++
		}
	}
	v.Checked[SlowStart] = v.Margins.SlowStartSends
	for _, n := range nodes {
		v.Margins.SlowStartPush = max(v.Margins.SlowStartPush, n.Pressure)
		if n.FellAt > 0 {
			v.addViolation(SlowStart, n.FellAt, n.FellAt, "node %s fell over: %s", n.Backend, n.Reason)
		}
	}
}

// drains: nothing new to a node after the grace, by the instance that was told.
func (v *Result) checkDrains(r Rules, told []Notification, sent []BackendAttempt, asked map[string]*ClientRequest) {
	type pair struct{ instance, node string }
	told = slices.Clone(told)
	slices.SortStableFunc(told, func(a, b Notification) int { return cmp.Compare(a.At, b.At) })
	history := map[pair][]Notification{}
	for _, t := range told {
		p := pair{t.Instance, t.Backend}
		history[p] = append(history[p], t)
	}
	for p, list := range history { // drains past their grace while their instance sent elsewhere
		if i := slices.IndexFunc(list, func(t Notification) bool { return !t.Serving }); i >= 0 && slices.ContainsFunc(sent, func(s BackendAttempt) bool {
			return s.ArrivedAt > list[i].At+r.DrainGrace && s.Instance == p.instance && s.Backend != p.node && asked[s.ID] != nil
		}) {
			v.Margins.Drains++
		}
	}
	for _, s := range sent {
		if asked[s.ID] == nil {
			v.addViolation(NoRequestLost, s.ArrivedAt, s.ArrivedAt, "node %s was sent %s, which no client asked", s.Backend, s.ID)
			continue
		}
		v.Checked[Drains]++
		var since time.Duration // since when it drains, by what the instance was told before
		drains := false
		for _, t := range history[pair{s.Instance, s.Backend}] {
			if t.At > s.ArrivedAt {
				break
			}
			if t.Serving {
				drains = false
			} else if !drains {
				drains, since = true, t.At
			}
		}
		if drains && s.ArrivedAt-since > r.DrainGrace+r.Tolerance {
			v.addViolation(Drains, since, s.ArrivedAt, "%s sent to %s %v after it was told that this one drains", s.Instance, s.Backend, s.ArrivedAt-since)
		}
	}
}

// ceilings: the units of first attempts, over all instances together.
func (v *Result) checkCeilings(r Rules, sent []BackendAttempt) {
	type store struct {
		level float64
		at    time.Duration
	}
	stores := map[string]*store{}
	counted := map[string]bool{}
	broken := map[string]bool{}
	for _, s := range sent {
		c, has := r.Ceilings[s.Plan]
		if !has || counted[s.ID] {
			continue
		}
		counted[s.ID] = true
		v.Checked[Ceilings]++
		rate, burst := c.Rate, c.Burst
		st := stores[s.Tenant]
		if st == nil {
			st = &store{level: burst, at: s.ArrivedAt}
			stores[s.Tenant] = st
			v.Closest[s.Tenant] = -1
		}
		st.level = min(burst, st.level+rate*(s.ArrivedAt-st.at).Seconds()) - s.Units
		st.at = s.ArrivedAt
		v.Closest[s.Tenant] = max(v.Closest[s.Tenant], -st.level/burst)
		slack := max(r.CeilingSlack*burst, r.MaxUnits) + rate*0.15
		if -st.level > slack && !broken[s.Tenant] {
			broken[s.Tenant] = true
			v.addViolation(Ceilings, s.ArrivedAt, s.ArrivedAt, "customer %s of %s is %.1f units over its ceiling of %.1f and %.1f a second", s.Tenant, s.Plan, -st.level, burst, rate)
		}
	}
	for _, c := range v.Closest {
		v.Margins.Ceiling = max(v.Margins.Ceiling, c)
		if c > -0.1 {
			v.Margins.CeilingFor++
		}
	}
}

// Use is what one customer used of its quota, replayed over all instances together.
type QuotaUse struct {
	Plan           string
	WithinQuota, BeyondQuota float64 // units of first attempts
	Overrun        float64 // the most units by which the quota's store was overdrawn at a time, as all use is taken from it
}

// Quota is a plan's quota: units a second, and the store's size.
type Quota struct{ Rate, Burst float64 }

// Uses replays the quotas.
func QuotaUses(quotas map[string]Quota, sent []BackendAttempt) map[string]QuotaUse {
	out := map[string]QuotaUse{}
	replayQuotas(quotas, sent, func(s BackendAttempt, inside bool, overrun float64) {
		u := out[s.Tenant]
		u.Plan, u.Overrun = s.Plan, max(u.Overrun, overrun)
		if inside {
			u.WithinQuota += s.Units
		} else {
			u.BeyondQuota += s.Units
		}
		out[s.Tenant] = u
	})
	return out
}

// Beyond are the first attempts that their channels' quotas did not hold.
func AttemptsBeyondQuota(quotas map[string]Quota, sent []BackendAttempt) (out []BackendAttempt) {
	replayQuotas(quotas, sent, func(s BackendAttempt, inside bool, _ float64) {
		if !inside {
			out = append(out, s)
		}
	})
	return out
}

// replay takes each first attempt from its channel's store, in the order in which they came, and tells whether it held it,
// and how far all use together has overdrawn it.
func replayQuotas(quotas map[string]Quota, all []BackendAttempt, tell func(s BackendAttempt, inside bool, overrun float64)) {
	sent := slices.Clone(all)
	slices.SortStableFunc(sent, func(a, b BackendAttempt) int { return cmp.Compare(a.ArrivedAt, b.ArrivedAt) })
	type store struct {
		level, strict float64
		at            time.Duration
	}
	stores := map[string]*store{}
	counted := map[string]bool{}
	for _, s := range sent {
		q, has := quotas[s.Plan]
		if !has || counted[s.ID] {
			continue
		}
		counted[s.ID] = true
		st := stores[s.Tenant]
		if st == nil {
			st = &store{q.Burst, q.Burst, s.ArrivedAt}
			stores[s.Tenant] = st
		}
		dt := (s.ArrivedAt - st.at).Seconds()
		st.level, st.strict, st.at = min(q.Burst, st.level+q.Rate*dt), min(q.Burst, st.strict+q.Rate*dt), s.ArrivedAt
		inside := st.level >= s.Units
		if inside {
			st.level -= s.Units
		}
		st.strict -= s.Units
		tell(s, inside, -st.strict)
	}
}

// String lists the rules with their breaks, for people.
func (v Result) String() string {
	var b strings.Builder
	for _, rule := range RuleNames {
		breaks := v.ForRule(rule)
		mark := "kept"
		if len(breaks) > 0 {
			mark = fmt.Sprintf("BROKEN %d times", len(breaks))
		}
		fmt.Fprintf(&b, "  %-26s %-18s by %d facts\n", rule, mark, v.Checked[rule])
		for i, k := range breaks {
			if i == 3 {
				fmt.Fprintf(&b, "      and %d more\n", len(breaks)-3)
				break
			}
			doubt := ""
			if k.Doubtful {
				doubt = " (the lab was late then)"
			}
			fmt.Fprintf(&b, "      at %.3f s: %s%s\n", k.At.Seconds(), k.Detail, doubt)
		}
	}
	return b.String()
}
