package scenario

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"hitchspring/internal/lab/link"
)

// Step is one fault of a scenario's timeline.
type Step struct {
	At     time.Duration // since the load began
	Kind   string        // of the target: store, node, hall, fleet, ingress, link, discovery or lab
	Index  int           // of a backend, a zone (0 is a), an ingress, or the ingress that a discovery stream belongs to
	Action string        // the verb and its arguments, or a fault rule
	Text   string        // the complete entry

	From, To      []string // of a link: the names of its ends
	Bidirectional bool     // of a link: the opposite directions are affected too
}

// ActionFields returns the verb and the arguments of the action.
func (s Step) ActionFields() []string { return strings.Fields(s.Action) }

// verb returns the first field of the action.
func (s Step) verb() string { return s.ActionFields()[0] }

// Factor returns field i of a validated step's action as a factor.
func (s Step) Factor(i int) float64 {
	value, _ := strconv.ParseFloat(s.ActionFields()[i], 64)
	return value
}

// Duration returns field i of a validated step's action as a duration.
func (s Step) Duration(i int) time.Duration {
	value, _ := time.ParseDuration(s.ActionFields()[i])
	return value
}

// Number returns field i of a validated step's action as an integer.
func (s Step) Number(i int) int {
	value, _ := strconv.Atoi(s.ActionFields()[i])
	return value
}

// ParseStep parses an entry of the form TARGET:WHAT at TIME.
func ParseStep(text string) (Step, error) {
	const timeSeparator = " at "
	targetText, rest, hasTarget := strings.Cut(text, ":")
	end := strings.LastIndex(rest, timeSeparator)
	if !hasTarget || end < 0 {
		return Step{}, errors.New("want TARGET:WHAT at TIME")
	}
	timeText := strings.TrimSpace(rest[end+len(timeSeparator):])
	at, err := time.ParseDuration(timeText)
	if err != nil || at < 0 {
		return Step{}, fmt.Errorf("%q is no time of the run", timeText)
	}
	step := Step{At: at, Action: strings.TrimSpace(rest[:end]), Text: text}
	kind, number, numbered := strings.Cut(strings.TrimSpace(targetText), "/")
	if kind == "link" {
		return step.parseLink(number)
	}
	target, known := targets[kind]
	if !known {
		return Step{}, fmt.Errorf(
			"target %q is none of store, node/N, hall/a, fleet, ingress/N, link/A>B, link/A|B, discovery/N, lab",
			targetText)
	}
	step.Kind = kind
	if step.Index, err = parseIndex(kind, number, numbered); err != nil {
		return Step{}, err
	}
	return step, step.validateAction(target)
}

// parseIndex parses the number of a target, or the name of a zone.
func parseIndex(kind, text string, numbered bool) (int, error) {
	if kind == "hall" {
		index := slices.Index(zoneNames, text)
		if index < 0 {
			return 0, fmt.Errorf("hall %q is none of a, b, c", text)
		}
		return index, nil
	}
	if !numbered {
		return 0, nil
	}
	index, err := strconv.Atoi(text)
	if err != nil || index < 0 {
		return 0, fmt.Errorf("%q is no number", text)
	}
	return index, nil
}

// validateAction checks that the target supports the action.
func (s Step) validateAction(target target) error {
	fields := s.ActionFields()
	if len(fields) == 0 {
		return errors.New("nothing to do")
	}
	// At a backend, cut with an instance and a duration is an action, and any other cut a fault rule.
	cutRule := s.Kind == "node" && fields[0] == "cut" && len(fields) != 3
	if signature, found := target.actions[fields[0]]; found && !cutRule {
		return signature.validate(fields)
	}
	return target.validateRule(s.Kind, s.Action, fields[0])
}

// parseLink parses the ends of a link and validates its fault. A>B is the direction from A to B, and A|B is both
// directions. An end is a list of instance numbers, counter, discovery, node-NN or hall-a, separated by commas.
func (s Step) parseLink(ends string) (Step, error) {
	s.Kind = "link"
	from, to, oneWay := strings.Cut(ends, ">")
	if !oneWay {
		if from, to, s.Bidirectional = strings.Cut(ends, "|"); !s.Bidirectional {
			return Step{}, fmt.Errorf("link %q: want link/A>B or link/A|B", ends)
		}
	}
	var err error
	if s.From, err = parseLinkEnd(ends, from); err != nil {
		return Step{}, err
	}
	if s.To, err = parseLinkEnd(ends, to); err != nil {
		return Step{}, err
	}
	_, err = link.Parse(s.Action)
	return s, err
}

// parseLinkEnd returns the names at one end of a link.
func parseLinkEnd(ends, text string) ([]string, error) {
	var names []string
	for name := range strings.SplitSeq(text, ",") {
		if number, err := strconv.Atoi(name); err == nil && number >= 0 {
			name = fmt.Sprint("n", number)
		} else if !validLinkEnd(name) {
			return nil, fmt.Errorf("link %q: %q is no instance, counter, discovery, node-NN or hall-a", ends, name)
		}
		names = append(names, name)
	}
	return names, nil
}

// validLinkEnd reports whether a name other than an instance's number may be the end of a link.
func validLinkEnd(name string) bool {
	return name == "counter" || name == "discovery" ||
		strings.HasPrefix(name, "node-") || strings.HasPrefix(name, "hall-")
}

// validateFor returns an error if the step needs a target or a time that the scenario does not have.
func (s Step) validateFor(scenario *Scenario) error {
	counts := map[string]int{
		"node":      scenario.Backends,
		"hall":      len(zoneNames),
		"ingress":   scenario.Ingresses,
		"discovery": scenario.Ingresses,
	}
	if count, counted := counts[s.Kind]; counted && s.Index >= count {
		return fmt.Errorf("there is no %s/%d: the day has %d, from 0", s.Kind, s.Index, count)
	}
	for _, name := range slices.Concat(s.From, s.To) {
		number, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
		if err == nil && number >= scenario.Ingresses {
			return fmt.Errorf("there is no ingress %d: the day has %d, from 0", number, scenario.Ingresses)
		}
	}
	if !s.supportedBy(scenario.Store) {
		return fmt.Errorf("%q is nothing that can be done to a store of kind %s", s.verb(), scenario.Store)
	}
	if s.At > scenario.end() {
		return fmt.Errorf("it comes after the day's end at %v", scenario.end())
	}
	fields := s.ActionFields()
	cutsInstance := (s.Kind == "node" || s.Kind == "hall") && fields[0] == "cut" && len(fields) == 3
	if cutsInstance && s.Number(1) >= scenario.Ingresses {
		return fmt.Errorf("there is no ingress %s: the day has %d, from 0", fields[1], scenario.Ingresses)
	}
	return nil
}

// supportedBy reports whether a kind of store supports the step's action. A step for another target is supported by
// all.
func (s Step) supportedBy(store string) bool {
	if s.Kind != "store" || store != StoreTally {
		return true
	}
	_, storeAction := targets["store"].actions[s.verb()]
	return !storeAction || slices.Contains(tallyActions, s.verb())
}
