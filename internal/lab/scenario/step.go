package scenario

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"hitchspring/internal/lab/link"
	"hitchspring/internal/standin/fault"
)

// Step is one fault of a day's timeline.
type Step struct {
	At     time.Duration
	Kind   string // store, node, hall, fleet, ingress, link, discovery or lab
	Index  int    // of a node, a hall (0 is a), an ingress, or discovery's agent
	Action string
	Text   string // as it was given

	From, To      []string // of a link: the names of its ends
	Bidirectional bool     // and the ways back too
}

// Words are its parts.
func (s Step) ActionWords() []string { return strings.Fields(s.Action) }

// verbs is what can be done to each kind of target, with the forms of its arguments: f a factor or share, d a duration, n
// an instance. A fault rule can be given besides where rules is set.
var targets = map[string]struct {
	words map[string]string
	rules bool
}{
	"node": {map[string]string{
		"slow": "fd", "pause": "d", "neighbour": "fddd", "cut": "nd", "drain": "", "serve": "", "unlist": "", "stop": "", "reset": "",
		"restart": "",
	}, true},
	"hall":      {map[string]string{"out": "d", "die": "d", "vanish": "d", "trickle": "dd", "drill": "d", "pause": "d", "reset": "", "slow": "fd", "cut": "nd", "drain": "", "serve": "", "restart": ""}, true},
	"fleet":     {map[string]string{"slow": "fd", "pause": "d", "restart": "f"}, true},
	"ingress":   {map[string]string{"kill": "", "term": "", "restart": "d", "pause": "d"}, false},
	"link":      {nil, false},
	"discovery": {map[string]string{"mute": "d"}, false},
	"lab":       {map[string]string{"pause": "d"}, false},
	"store": {map[string]string{
		"stop": "d", "restart": "*", "silent": "d", "load": "d", "full": "d", "readonly": "d", "maxclients": "*", "flush": "",
		"forget-scripts": "", "kick": "", "lag": "d", "failover": "*",
	}, true},
}

// tallyWords are the words that the platform's own counter knows.
var tallyActions = []string{"stop", "restart", "silent"}

var ruleKinds = []fault.Kind{
	fault.Delay, fault.Hold, fault.Stall, fault.Ignore, fault.Swallow, fault.Late, fault.DropBefore, fault.DropAfter,
	fault.Repeat, fault.Swap, fault.Cut, fault.Fail,
}

// ParseStep reads an entry of the form TARGET:WHAT at TIME.
func ParseStep(text string) (Step, error) {
	target, rest, ok := strings.Cut(text, ":")
	i := strings.LastIndex(rest, " at ")
	if !ok || i < 0 {
		return Step{}, errors.New("want TARGET:WHAT at TIME")
	}
	at, err := time.ParseDuration(strings.TrimSpace(rest[i+4:]))
	if err != nil || at < 0 {
		return Step{}, fmt.Errorf("%q is no time of the run", strings.TrimSpace(rest[i+4:]))
	}
	s := Step{At: at, Action: strings.TrimSpace(rest[:i]), Text: text}
	kind, num, has := strings.Cut(strings.TrimSpace(target), "/")
	if kind == "link" {
		return s.parseLink(num)
	}
	v, known := targets[kind]
	switch {
	case !known:
		return Step{}, fmt.Errorf("target %q is none of store, node/N, hall/a, fleet, ingress/N, link/A>B, link/A|B, discovery/N, lab", target)
	case kind == "hall" && (len(num) != 1 || num[0] < 'a' || num[0] > 'c'):
		return Step{}, fmt.Errorf("hall %q is none of a, b, c", num)
	case kind == "hall":
		s.Index = int(num[0] - 'a')
	case has:
		if s.Index, err = strconv.Atoi(num); err != nil || s.Index < 0 {
			return Step{}, fmt.Errorf("%q is no number", num)
		}
	}
	s.Kind = kind
	words := s.ActionWords()
	if len(words) == 0 {
		return Step{}, errors.New("nothing to do")
	}
	form, isWord := v.words[words[0]]
	switch {
	case isWord && (kind != "node" || words[0] != "cut" || len(words) == 3): // cut with one word is a rule at a node
		return s, validateArguments(words, form)
	case !v.rules:
		return Step{}, fmt.Errorf("%q is nothing that can be done to %s", words[0], kind)
	}
	r, err := fault.Parse(s.Action)
	if err != nil {
		return Step{}, err
	}
	for _, k := range ruleKinds {
		if r.Kind == k {
			return s, nil
		}
	}
	return Step{}, fmt.Errorf("%q is nothing that can be done to %s", words[0], kind)
}

// link reads the ends of a link and its fault. An end is numbers of instances, counter, discovery, node-NN or hall-a, with commas;
// A>B is the ways from one to the other, A|B also those back.
func (s Step) parseLink(ends string) (Step, error) {
	s.Kind = "link"
	a, b, one := strings.Cut(ends, ">")
	if !one {
		if a, b, s.Bidirectional = strings.Cut(ends, "|"); !s.Bidirectional {
			return Step{}, fmt.Errorf("link %q: want link/A>B or link/A|B", ends)
		}
	}
	for _, x := range []struct {
		text string
		to   *[]string
	}{{a, &s.From}, {b, &s.To}} {
		for _, name := range strings.Split(x.text, ",") {
			if n, err := strconv.Atoi(name); err == nil && n >= 0 {
				name = fmt.Sprint("n", n)
			} else if name != "counter" && name != "discovery" && !strings.HasPrefix(name, "node-") && !strings.HasPrefix(name, "hall-") {
				return Step{}, fmt.Errorf("link %q: %q is no instance, counter, discovery, node-NN or hall-a", ends, name)
			}
			*x.to = append(*x.to, name)
		}
	}
	_, err := link.Parse(s.Action)
	return s, err
}

// arguments checks the words behind a verb.
func validateArguments(words []string, form string) error {
	if form == "*" {
		return nil
	}
	if len(words)-1 != len(form) {
		return fmt.Errorf("%s wants %d words behind it, there are %d", words[0], len(form), len(words)-1)
	}
	for i, kind := range form {
		w := words[i+1]
		switch kind {
		case 'd':
			if d, err := time.ParseDuration(w); err != nil || d < 0 {
				return fmt.Errorf("%s: %q is no duration", words[0], w)
			}
		case 'f':
			if f, err := strconv.ParseFloat(w, 64); err != nil || !(f > 0 && f <= 1000) {
				return fmt.Errorf("%s: %q is no factor above 0", words[0], w)
			}
		case 'n':
			if n, err := strconv.Atoi(w); err != nil || n < 0 {
				return fmt.Errorf("%s: %q is no number of an instance", words[0], w)
			}
		}
	}
	return nil
}

// Factor, Span and Number are the arguments of a step that has been checked.
func (s Step) Factor(i int) float64 {
	f, _ := strconv.ParseFloat(s.ActionWords()[i], 64)
	return f
}

// Span is the duration at word i.
func (s Step) Duration(i int) time.Duration {
	d, _ := time.ParseDuration(s.ActionWords()[i])
	return d
}

// Number is the whole number at word i.
func (s Step) Number(i int) int {
	n, _ := strconv.Atoi(s.ActionWords()[i])
	return n
}

// fits says what a day does not have that the step needs.
func (s Step) validateFor(d *Scenario) error {
	most := map[string]int{"node": d.Backends, "hall": 3, "ingress": d.Ingresses, "discovery": d.Ingresses}
	if m, has := most[s.Kind]; has && s.Index >= m {
		return fmt.Errorf("there is no %s/%d: the day has %d, from 0", s.Kind, s.Index, m)
	}
	for _, name := range slices.Concat(s.From, s.To) {
		if n, err := strconv.Atoi(strings.TrimPrefix(name, "n")); err == nil && n >= d.Ingresses {
			return fmt.Errorf("there is no ingress %d: the day has %d, from 0", n, d.Ingresses)
		}
	}
	if _, word := targets["store"].words[s.ActionWords()[0]]; s.Kind == "store" && word && d.Store == StoreTally && !slices.Contains(tallyActions, s.ActionWords()[0]) {
		return fmt.Errorf("%q is nothing that can be done to a store of kind %s", s.ActionWords()[0], d.Store)
	}
	if s.At > time.Duration(d.Length) {
		return fmt.Errorf("it comes after the day's end at %v", time.Duration(d.Length))
	}
	if w := s.ActionWords(); (s.Kind == "node" || s.Kind == "hall") && w[0] == "cut" && len(w) == 3 && s.Number(1) >= d.Ingresses {
		return fmt.Errorf("there is no ingress %s: the day has %d, from 0", w[1], d.Ingresses)
	}
	return nil
}
