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
	Least        map[string]time.Duration // by class: no node serves it faster
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
	Came  time.Duration // its last byte was read, before any fault acted
	Ended time.Duration // its answer left, or its connection was reset; 0: not yet
	Node, Instance,
	ID, Customer, Plan, Class string
	Rack  int
	Units float64
	Busy  bool // turned away: it never ran, and the instance could know from Ended on
	Cold  bool // its node was cold
}

// neverRan says whether the instance could know at a time that the attempt never ran.
func (s Sent) neverRan(at time.Duration) bool { return s.Busy && s.Ended > 0 && s.Ended <= at }

// Told is one entry of the list, as discovery wrote it to an instance.
type Told struct {
	At             time.Duration
	Instance, Node string
	Serving        bool
}

// ColdNode is a node that started cold.
type ColdNode struct {
	Node   string
	At     time.Duration // of its fall; 0: it stands
	Why    string        // of its fall
	Pushed float64       // how near it came to its fall: 1 is the edge
}

// Late is a time in which the machine kept the observers from running.
type Late struct{ At, By time.Duration }

// Evidence is all that the peers saw.
type Evidence struct {
	Asked []Asked
	Sent  []Sent
	Told  []Told
	Cold  []ColdNode
	Late  []Late
}

// Break is one break of a rule.
type Break struct {
	Rule     string        `json:"Rule"`
	At       time.Duration `json:"At"`
	What     string        `json:"What"`
	Until    time.Duration `json:"Until"`    // what it was judged by lies between At and Until
	Doubtful bool          `json:"Doubtful"` // the observers themselves were late then
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

// Edges is how near a run came to what the rules forbid. A run that never came near one is no proof of it.
type Edges struct {
	Refused    int     `json:"Refused"`    // tries that were refused
	Tight      int     `json:"Tight"`      // answers within 150 ms of the client's giving up
	Repeats    int     `json:"Repeats"`    // attempts after one that may have run, as the class allows
	HeldBack   int     `json:"HeldBack"`   // keyed or unsafe requests whose attempt may have run, ended with no value, and was not repeated elsewhere
	Drains     int     `json:"Drains"`     // times that an instance went on sending elsewhere, past the grace of a node that drains
	ColdSends  int     `json:"ColdSends"`  // attempts at cold nodes
	ColdPush   float64 `json:"ColdPush"`   // how near a cold node came to falling over: 1 is the edge
	Ceiling    float64 `json:"Ceiling"`    // how near a channel came to its ceiling, as a share of its store: 0 is the edge
	CeilingFor int     `json:"CeilingFor"` // channels that came within a tenth of it
}

// Verdict is what the evidence comes to.
type Verdict struct {
	Breaks []Break
	// Closest is, for each customer under a ceiling, how near it came: the most units sent beyond what the ceiling allowed
	// at that moment, below 0 where it stayed under, as a share of its burst.
	Closest map[string]float64
	Judged  map[string]int // how many facts each rule was judged by
	Edges   Edges
	Late    time.Duration // the longest time for which the observers were kept from running
}

// Clean says whether no rule broke.
func (v Verdict) Clean() bool { return len(v.Breaks) == 0 }

// Certain are the breaks that no lateness of the observers can explain.
func (v Verdict) Certain() int {
	n := 0
	for _, b := range v.Breaks {
		if !b.Doubtful {
			n++
		}
	}
	return n
}

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
	v := Verdict{Closest: map[string]float64{}, Judged: map[string]int{}, Edges: Edges{Ceiling: -1}}
	sent := slices.Clone(e.Sent)
	slices.SortStableFunc(sent, func(a, b Sent) int { return cmp.Compare(a.Came, b.Came) })
	byID := map[string][]Sent{}
	for _, s := range sent {
		byID[s.ID] = append(byID[s.ID], s)
	}
	asked := map[string]*Asked{}
	for i := range e.Asked {
		asked[e.Asked[i].ID] = &e.Asked[i]
	}
	v.lost(r, e.Asked, byID)
	v.held(r, e.Asked, byID)
	v.twice(r, byID, asked)
	v.drains(r, e.Told, sent, asked)
	v.cold(sent, e.Cold)
	v.ceilings(r, sent)
	for _, l := range e.Late {
		v.Late = max(v.Late, l.By)
		for i := range v.Breaks {
			b := &v.Breaks[i]
			b.Doubtful = b.Doubtful || l.By > r.Tolerance && l.At+l.By >= b.At && l.At-l.By <= b.Until+r.Tolerance
		}
	}
	sort.SliceStable(v.Breaks, func(i, j int) bool { return v.Breaks[i].At < v.Breaks[j].At })
	return v
}

func (v *Verdict) add(rule string, at, until time.Duration, format string, args ...any) {
	v.Breaks = append(v.Breaks, Break{Rule: rule, At: at, Until: max(at, until), What: fmt.Sprintf(format, args...)})
}

// lost: one final answer, in time, and nothing sent after it.
func (v *Verdict) lost(r Rules, asked []Asked, byID map[string][]Sent) {
	for _, a := range asked {
		v.Judged[NoneLost]++
		end := a.Sent + a.GiveUp
		switch {
		case a.Spoilt:
			v.add(NoneLost, a.Sent, end, "%s %s was answered with what no node made for it", a.Class, a.ID)
		case len(a.Answers) > 1:
			v.add(NoneLost, a.Sent, end, "%s %s has %d answers", a.Class, a.ID, len(a.Answers))
		case a.Excused:
		case len(a.Answers) == 0:
			v.add(NoneLost, a.Sent, end, "%s %s to %s has no answer", a.Class, a.ID, a.Instance)
		case a.Answers[0].At > end+r.Tolerance:
			v.add(NoneLost, a.Sent, a.Answers[0].At, "%s %s was answered %v after its time", a.Class, a.ID, a.Answers[0].At-end)
		}
		if len(a.Answers) == 0 {
			continue
		}
		first := a.Answers[0]
		if first.Kind == "refused" {
			v.Edges.Refused++
		}
		if first.At > end-150*time.Millisecond {
			v.Edges.Tight++
		}
		for _, s := range byID[a.ID] {
			if s.Instance != a.Instance && r.Classes[a.Class] == Keyed {
				continue // a taker can't know of the answer of one who is cut off from it; that it adds no effect is judged below
			}
			if s.Came > first.At+r.Tolerance {
				v.add(NoneLost, first.At, s.Came, "%s %s was sent to %s %v after its answer", a.Class, a.ID, s.Node, s.Came-first.At)
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
func (v *Verdict) held(r Rules, asked []Asked, byID map[string][]Sent) {
	type group struct{ instance, class string }
	all, held := map[group]int{}, map[group][]Asked{}
	for _, a := range asked {
		if len(a.Answers) != 1 || a.Answers[0].Kind != "refused" || a.Excused {
			continue
		}
		g := group{a.Instance, a.Class}
		all[g]++
		at, least := a.Answers[0].At, r.Least[a.Class]-r.Tolerance
		out := slices.ContainsFunc(byID[a.ID], func(s Sent) bool { return s.Ended == 0 || s.Ended > at-2*r.Least[a.Class] })
		if a.Sent+a.GiveUp-at < least && !out {
			held[g] = append(held[g], a)
		}
	}
	for g, list := range held {
		if len(list) < heldLeast || float64(len(list)) < heldShare*float64(all[g]) {
			continue
		}
		a := list[0]
		v.add(NoneLost, a.Sent, a.Answers[0].At, "%s held %d of %d refusals of %s until no node could have served them, %s until %v before its time", g.instance,
			len(list), all[g], g.class, a.ID, a.Sent+a.GiveUp-a.Answers[0].At)
	}
}

// twice: after an attempt that may have run, by what the instance could know, only what the class allows.
func (v *Verdict) twice(r Rules, byID map[string][]Sent, asked map[string]*Asked) {
	for id, list := range byID {
		effect := r.Classes[list[0].Class]
		for i, s := range list {
			v.Judged[NoneTwice]++
			before := slices.IndexFunc(list[:i], func(b Sent) bool { return !b.neverRan(s.Came) })
			if before < 0 {
				continue
			}
			first := list[before]
			switch {
			case effect == Safe:
				v.Edges.Repeats++
			case effect == Unsafe:
				v.add(NoneTwice, first.Came, s.Came, "%s %s, which may not be repeated, was sent to %s and %s", s.Class, id, first.Node, s.Node)
			case s.Rack != first.Rack:
				v.add(NoneTwice, first.Came, s.Came, "%s %s went to rack %d and rack %d", s.Class, id, first.Rack, s.Rack)
			case s.Came-first.Came > r.KeyMemory+r.Tolerance:
				v.add(NoneTwice, first.Came, s.Came, "%s %s was repeated after %v", s.Class, id, s.Came-first.Came)
			default:
				v.Edges.Repeats++
			}
		}
		a := asked[id]
		if effect == Safe || a == nil || len(a.Answers) == 0 || a.Answers[0].Kind == "served" {
			continue
		}
		at := a.Answers[0].At
		if i := slices.IndexFunc(list, func(s Sent) bool { return s.Came < at && !s.neverRan(at) }); i >= 0 {
			v.Edges.HeldBack++
			if a.Answers[0].Kind == "refused" {
				v.add(NoneTwice, list[i].Came, at, "%s %s was refused, as if trying again were harmless, though %s may have run it", a.Class, id, list[i].Node)
			}
		}
	}
}

// cold: no node was pushed over, by all instances together.
func (v *Verdict) cold(sent []Sent, nodes []ColdNode) {
	for _, s := range sent {
		if s.Cold {
			v.Edges.ColdSends++
		}
	}
	v.Judged[Cold] = v.Edges.ColdSends
	for _, n := range nodes {
		v.Edges.ColdPush = max(v.Edges.ColdPush, n.Pushed)
		if n.At > 0 {
			v.add(Cold, n.At, n.At, "node %s fell over: %s", n.Node, n.Why)
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
	for p, list := range history { // drains past their grace while their instance sent elsewhere
		if i := slices.IndexFunc(list, func(t Told) bool { return !t.Serving }); i >= 0 && slices.ContainsFunc(sent, func(s Sent) bool {
			return s.Came > list[i].At+r.DrainGrace && s.Instance == p.instance && s.Node != p.node && asked[s.ID] != nil
		}) {
			v.Edges.Drains++
		}
	}
	for _, s := range sent {
		if asked[s.ID] == nil {
			v.add(NoneLost, s.Came, s.Came, "node %s was sent %s, which no client asked", s.Node, s.ID)
			continue
		}
		v.Judged[Drains]++
		var since time.Duration // since when it drains, by what the instance was told before
		drains := false
		for _, t := range history[pair{s.Instance, s.Node}] {
			if t.At > s.Came {
				break
			}
			if t.Serving {
				drains = false
			} else if !drains {
				drains, since = true, t.At
			}
		}
		if drains && s.Came-since > r.DrainGrace+r.Tolerance {
			v.add(Drains, since, s.Came, "%s sent to %s %v after it was told that this one drains", s.Instance, s.Node, s.Came-since)
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
			st = &store{level: burst, at: s.Came}
			stores[s.Customer] = st
			v.Closest[s.Customer] = -1
		}
		st.level = min(burst, st.level+rate*(s.Came-st.at).Seconds()) - s.Units
		st.at = s.Came
		v.Closest[s.Customer] = max(v.Closest[s.Customer], -st.level/burst)
		slack := max(r.CeilingSlack*burst, r.MaxUnits) + rate*0.15
		if -st.level > slack && !broken[s.Customer] {
			broken[s.Customer] = true
			v.add(Ceilings, s.Came, s.Came, "customer %s of %s is %.1f units over its ceiling of %.1f and %.1f a second", s.Customer, s.Plan, -st.level, burst, rate)
		}
	}
	for _, c := range v.Closest {
		v.Edges.Ceiling = max(v.Edges.Ceiling, c)
		if c > -0.1 {
			v.Edges.CeilingFor++
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
func Uses(quotas map[string]Quota, sent []Sent) map[string]Use {
	out := map[string]Use{}
	replay(quotas, sent, func(s Sent, inside bool, overrun float64) {
		u := out[s.Customer]
		u.Plan, u.Overrun = s.Plan, max(u.Overrun, overrun)
		if inside {
			u.Inside += s.Units
		} else {
			u.Beyond += s.Units
		}
		out[s.Customer] = u
	})
	return out
}

// Beyond are the first attempts that their channels' quotas did not hold.
func Beyond(quotas map[string]Quota, sent []Sent) (out []Sent) {
	replay(quotas, sent, func(s Sent, inside bool, _ float64) {
		if !inside {
			out = append(out, s)
		}
	})
	return out
}

// replay takes each first attempt from its channel's store, in the order in which they came, and tells whether it held it,
// and how far all use together has overdrawn it.
func replay(quotas map[string]Quota, all []Sent, tell func(s Sent, inside bool, overrun float64)) {
	sent := slices.Clone(all)
	slices.SortStableFunc(sent, func(a, b Sent) int { return cmp.Compare(a.Came, b.Came) })
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
		st := stores[s.Customer]
		if st == nil {
			st = &store{q.Burst, q.Burst, s.Came}
			stores[s.Customer] = st
		}
		dt := (s.Came - st.at).Seconds()
		st.level, st.strict, st.at = min(q.Burst, st.level+q.Rate*dt), min(q.Burst, st.strict+q.Rate*dt), s.Came
		inside := st.level >= s.Units
		if inside {
			st.level -= s.Units
		}
		st.strict -= s.Units
		tell(s, inside, -st.strict)
	}
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
			doubt := ""
			if k.Doubtful {
				doubt = " (the lab was late then)"
			}
			fmt.Fprintf(&b, "      at %.3f s: %s%s\n", k.At.Seconds(), k.What, doubt)
		}
	}
	return b.String()
}
