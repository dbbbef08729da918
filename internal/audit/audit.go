// Package audit judges the five rules from what the peers saw: the clients' record of what they asked and were answered,
// the nodes' record of what came, and discovery's record of what it told. It does no I/O and never asks an ingress.
package audit

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
	KeyMemory    time.Duration // of a rack
	DrainGrace   time.Duration
	Ceilings     map[string]Ceiling // by plan; others have none
	CeilingSlack float64            // share of the burst and of the rate, or MaxUnits if that is more
	MaxUnits     float64
	Tolerance    time.Duration // of every time limit, for what sockets and a busy machine take
}

// Usual are the platform's figures, but for classes and ceilings.
func Usual() Rules {
	return Rules{KeyMemory: 3 * time.Second, DrainGrace: 2 * time.Second, CeilingSlack: 0.1, MaxUnits: 6, Tolerance: 50 * time.Millisecond}
}

// Asked is one try of a client, as the client saw it.
type Asked struct {
	ID       string // new with every try
	Instance string // that it was sent to
	Class    string
	Sent     time.Duration // of its last byte
	GiveUp   time.Duration // after Sent
	Answers  []Answer      // final ones; more than one breaks a rule
	Spoilt   bool          // an answer that was not made for it
	Excused  bool          // its instance was killed, or never took it
}

// Answer is a final answer.
type Answer struct {
	At   time.Duration
	Kind string // served, refused or failed
}

// Sent is one attempt, as its node saw it.
type Sent struct {
	At                              time.Duration
	ID, Node, Customer, Plan, Class string
	Rack                            int
	Units                           float64
	Busy                            bool // turned away: it never ran
}

// Told is one entry of the list, as discovery wrote it to an instance.
type Told struct {
	At             time.Duration
	Instance, Node string
	Serving        bool
}

// Evidence is all that the peers saw.
type Evidence struct {
	Asked []Asked
	Sent  []Sent
	Told  []Told
	Fell  []string // nodes that were pushed over while cold
}

// Break is one break of a rule.
type Break struct {
	Rule string
	At   time.Duration
	What string
}

// The rules.
const (
	NoneLost  = "no request lost"
	NoneTwice = "no effect twice"
	Drains    = "drains kept"
	Cold      = "no cold node pushed over"
	Ceilings  = "ceilings kept"
)

// RuleNames lists the rules in their order.
var RuleNames = []string{NoneLost, NoneTwice, Drains, Cold, Ceilings}

// Verdict is what the evidence comes to.
type Verdict struct {
	Breaks []Break
	// Closest is, for each customer under a ceiling, how near it came: the most units sent beyond what the ceiling allowed
	// at that moment, below 0 where it stayed under, as a share of its burst.
	Closest map[string]float64
	Judged  map[string]int // how many facts each rule was judged by
}

// Clean says whether no rule broke.
func (v Verdict) Clean() bool { return len(v.Breaks) == 0 }

// Of returns the breaks of one rule.
func (v Verdict) Of(rule string) []Break {
	var out []Break
	for _, b := range v.Breaks {
		if b.Rule == rule {
			out = append(out, b)
		}
	}
	return out
}

// Judge judges the evidence.
func Judge(r Rules, e Evidence) Verdict {
	v := Verdict{Closest: map[string]float64{}, Judged: map[string]int{}}
	sent := slices.Clone(e.Sent)
	slices.SortStableFunc(sent, func(a, b Sent) int { return cmp.Compare(a.At, b.At) })
	byID := map[string][]Sent{}
	for _, s := range sent {
		byID[s.ID] = append(byID[s.ID], s)
	}
	asked := map[string]*Asked{}
	for i := range e.Asked {
		asked[e.Asked[i].ID] = &e.Asked[i]
	}
	v.lost(r, e.Asked, byID)
	v.twice(r, byID)
	v.drains(r, e.Told, sent, asked)
	for _, n := range e.Fell {
		v.add(Cold, 0, "node %s fell over", n)
	}
	v.Judged[Cold] = len(sent)
	v.ceilings(r, sent)
	sort.SliceStable(v.Breaks, func(i, j int) bool { return v.Breaks[i].At < v.Breaks[j].At })
	return v
}

func (v *Verdict) add(rule string, at time.Duration, format string, args ...any) {
	v.Breaks = append(v.Breaks, Break{rule, at, fmt.Sprintf(format, args...)})
}

// lost: one final answer, in time, and nothing sent after it.
func (v *Verdict) lost(r Rules, asked []Asked, byID map[string][]Sent) {
	for _, a := range asked {
		v.Judged[NoneLost]++
		switch {
		case a.Spoilt:
			v.add(NoneLost, a.Sent, "%s %s was answered with what no node made for it", a.Class, a.ID)
		case len(a.Answers) > 1:
			v.add(NoneLost, a.Sent, "%s %s has %d answers", a.Class, a.ID, len(a.Answers))
		case a.Excused:
		case len(a.Answers) == 0:
			v.add(NoneLost, a.Sent, "%s %s to %s has no answer", a.Class, a.ID, a.Instance)
		case a.Answers[0].At > a.Sent+a.GiveUp+r.Tolerance:
			v.add(NoneLost, a.Sent, "%s %s was answered %v after its time", a.Class, a.ID, a.Answers[0].At-a.Sent-a.GiveUp)
		}
		if len(a.Answers) > 0 {
			for _, s := range byID[a.ID] {
				if s.At > a.Answers[0].At+r.Tolerance {
					v.add(NoneLost, s.At, "%s %s was sent to %s %v after its answer", a.Class, a.ID, s.Node, s.At-a.Answers[0].At)
				}
			}
		}
	}
}

// twice: after an attempt that may have run, only what the class allows.
func (v *Verdict) twice(r Rules, byID map[string][]Sent) {
	for id, list := range byID {
		var first *Sent
		for i, s := range list {
			v.Judged[NoneTwice]++
			switch effect := r.Classes[s.Class]; {
			case first == nil || effect == Safe:
			case effect == Unsafe:
				v.add(NoneTwice, s.At, "%s %s, which may not be repeated, was sent to %s and %s", s.Class, id, first.Node, s.Node)
			case s.Rack != first.Rack:
				v.add(NoneTwice, s.At, "%s %s went to rack %d and rack %d", s.Class, id, first.Rack, s.Rack)
			case s.At-first.At > r.KeyMemory+r.Tolerance:
				v.add(NoneTwice, s.At, "%s %s was repeated after %v", s.Class, id, s.At-first.At)
			}
			if first == nil && !s.Busy {
				first = &list[i]
			}
		}
	}
}

// drains: nothing new to a node after the grace, by the instance that was told.
func (v *Verdict) drains(r Rules, told []Told, sent []Sent, asked map[string]*Asked) {
	type pair struct{ instance, node string }
	told = slices.Clone(told)
	slices.SortStableFunc(told, func(a, b Told) int { return cmp.Compare(a.At, b.At) })
	history := map[pair][]Told{}
	for _, t := range told {
		p := pair{t.Instance, t.Node}
		history[p] = append(history[p], t)
	}
	for _, s := range sent {
		a := asked[s.ID]
		if a == nil {
			v.add(NoneLost, s.At, "node %s was sent %s, which no client asked", s.Node, s.ID)
			continue
		}
		v.Judged[Drains]++
		var since time.Duration // since when it drains, by what the instance was told before
		drains := false
		for _, t := range history[pair{a.Instance, s.Node}] {
			if t.At > s.At {
				break
			}
			if t.Serving {
				drains = false
			} else if !drains {
				drains, since = true, t.At
			}
		}
		if drains && s.At-since > r.DrainGrace+r.Tolerance {
			v.add(Drains, s.At, "%s sent to %s %v after it was told that this one drains", a.Instance, s.Node, s.At-since)
		}
	}
}

// ceilings: the units of first attempts, over all instances together.
func (v *Verdict) ceilings(r Rules, sent []Sent) {
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
		v.Judged[Ceilings]++
		rate, burst := c.Rate, c.Burst
		st := stores[s.Customer]
		if st == nil {
			st = &store{level: burst, at: s.At}
			stores[s.Customer] = st
			v.Closest[s.Customer] = -1
		}
		st.level = min(burst, st.level+rate*(s.At-st.at).Seconds()) - s.Units
		st.at = s.At
		v.Closest[s.Customer] = max(v.Closest[s.Customer], -st.level/burst)
		slack := max(r.CeilingSlack*burst, r.MaxUnits) + rate*0.15
		if -st.level > slack && !broken[s.Customer] {
			broken[s.Customer] = true
			v.add(Ceilings, s.At, "customer %s of %s is %.1f units over its ceiling of %.1f and %.1f a second", s.Customer, s.Plan, -st.level, burst, rate)
		}
	}
}

// Use is what one customer used of its quota, replayed over all instances together.
type Use struct {
	Plan           string
	Inside, Beyond float64 // units of first attempts
	Overrun        float64 // the most units by which the quota's store was overdrawn at a time, as all use is taken from it
}

// Quota is a plan's quota: units a second, and the store's size.
type Quota struct{ Rate, Burst float64 }

// Uses replays the quotas.
func Uses(quotas map[string]Quota, all []Sent) map[string]Use {
	sent := slices.Clone(all)
	slices.SortStableFunc(sent, func(a, b Sent) int { return cmp.Compare(a.At, b.At) })
	type store struct {
		level, strict float64
		at            time.Duration
	}
	stores := map[string]*store{}
	counted := map[string]bool{}
	out := map[string]Use{}
	for _, s := range sent {
		q, has := quotas[s.Plan]
		if !has || counted[s.ID] {
			continue
		}
		counted[s.ID] = true
		st := stores[s.Customer]
		if st == nil {
			st = &store{q.Burst, q.Burst, s.At}
			stores[s.Customer] = st
		}
		dt := (s.At - st.at).Seconds()
		st.level, st.strict, st.at = min(q.Burst, st.level+q.Rate*dt), min(q.Burst, st.strict+q.Rate*dt), s.At
		u := out[s.Customer]
		u.Plan = s.Plan
		if st.level >= s.Units {
			st.level -= s.Units
			u.Inside += s.Units
		} else {
			u.Beyond += s.Units
		}
		st.strict -= s.Units
		u.Overrun = max(u.Overrun, -st.strict)
		out[s.Customer] = u
	}
	return out
}

// String lists the rules with their breaks, for people.
func (v Verdict) String() string {
	var b strings.Builder
	for _, rule := range RuleNames {
		breaks := v.Of(rule)
		mark := "kept"
		if len(breaks) > 0 {
			mark = fmt.Sprintf("BROKEN %d times", len(breaks))
		}
		fmt.Fprintf(&b, "  %-26s %-18s by %d facts\n", rule, mark, v.Judged[rule])
		for i, k := range breaks {
			if i == 3 {
				fmt.Fprintf(&b, "      and %d more\n", len(breaks)-3)
				break
			}
			fmt.Fprintf(&b, "      at %.3f s: %s\n", k.At.Seconds(), k.What)
		}
	}
	return b.String()
}
