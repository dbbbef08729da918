package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"hitchspring/internal/standin/fault"
)

// argument is the kind of an argument of an action.
type argument uint8

const (
	factorArgument   argument = iota // a number above 0 and up to maxFactor
	durationArgument                 // a duration, not below 0
	instanceArgument                 // the number of an instance
)

// maxFactor bounds a factor or fraction.
const maxFactor = 1000

// signature describes the arguments of an action.
type signature struct {
	arguments []argument
	unchecked bool // any arguments; the store's stand-in validates them
}

// The signatures of the actions.
var (
	noArguments      = signature{}
	anyArguments     = signature{unchecked: true}
	duration         = signature{arguments: []argument{durationArgument}}
	twoDurations     = signature{arguments: []argument{durationArgument, durationArgument}}
	factor           = signature{arguments: []argument{factorArgument}}
	factorDuration   = signature{arguments: []argument{factorArgument, durationArgument}}
	instanceDuration = signature{arguments: []argument{instanceArgument, durationArgument}}
	neighbor         = signature{
		arguments: []argument{factorArgument, durationArgument, durationArgument, durationArgument},
	}
)

// target is a kind of target for faults.
type target struct {
	actions map[string]signature
	rules   bool // takes fault rules (see fault.Parse) besides its actions
}

// targets maps the name that a step begins with to its kind of target.
var targets = map[string]target{
	"node": {
		actions: map[string]signature{
			"slow":      factorDuration,
			"pause":     duration,
			"neighbour": neighbor,
			"cut":       instanceDuration,
			"drain":     noArguments,
			"serve":     noArguments,
			"unlist":    noArguments,
			"stop":      noArguments,
			"reset":     noArguments,
			"restart":   noArguments,
		},
		rules: true,
	},
	"hall": {
		actions: map[string]signature{
			"out":     duration,
			"die":     duration,
			"vanish":  duration,
			"trickle": twoDurations,
			"drill":   duration,
			"pause":   duration,
			"reset":   noArguments,
			"slow":    factorDuration,
			"cut":     instanceDuration,
			"drain":   noArguments,
			"serve":   noArguments,
			"restart": noArguments,
		},
		rules: true,
	},
	"fleet": {
		actions: map[string]signature{
			"slow":    factorDuration,
			"pause":   duration,
			"restart": factor,
		},
		rules: true,
	},
	"ingress": {
		actions: map[string]signature{
			"kill":    noArguments,
			"term":    noArguments,
			"restart": duration,
			"pause":   duration,
		},
	},
	"link":      {}, // its actions are those of package link
	"discovery": {actions: map[string]signature{"mute": duration}},
	"lab":       {actions: map[string]signature{"pause": duration}},
	"store": {
		actions: map[string]signature{
			"stop":           duration,
			"restart":        anyArguments,
			"silent":         duration,
			"load":           duration,
			"full":           duration,
			"readonly":       duration,
			"maxclients":     anyArguments,
			"flush":          noArguments,
			"forget-scripts": noArguments,
			"kick":           noArguments,
			"lag":            duration,
			"failover":       anyArguments,
		},
		rules: true,
	},
}

// tallyActions are the store actions that a store of kind StoreTally supports.
var tallyActions = []string{"stop", "restart", "silent"}

// ruleKinds are the kinds of fault rules that a step may inject.
var ruleKinds = []fault.Kind{
	fault.Delay, fault.Hold, fault.Stall, fault.Ignore, fault.Swallow, fault.Late, fault.DropBefore, fault.DropAfter,
	fault.Repeat, fault.Swap, fault.Cut, fault.Fail,
}

// validateRule checks that an action that the target does not define is a fault rule that the target accepts.
func (t target) validateRule(kind, action, verb string) error {
	unsupported := fmt.Errorf("%q is nothing that can be done to %s", verb, kind)
	if !t.rules {
		return unsupported
	}
	rule, err := fault.Parse(action)
	if err != nil {
		return err
	}
	if !slices.Contains(ruleKinds, rule.Kind) {
		return unsupported
	}
	return nil
}

// validate checks the fields of an action, the first of which is its verb.
func (s signature) validate(fields []string) error {
	if s.unchecked {
		return nil
	}
	verb, arguments := fields[0], fields[1:]
	if len(arguments) != len(s.arguments) {
		return fmt.Errorf("%s wants %d words behind it, there are %d", verb, len(s.arguments), len(arguments))
	}
	for i, kind := range s.arguments {
		if err := kind.validate(arguments[i]); err != nil {
			return fmt.Errorf("%s: %w", verb, err)
		}
	}
	return nil
}

// validate checks the text of one argument.
func (a argument) validate(text string) error {
	switch a {
	case durationArgument:
		if value, err := time.ParseDuration(text); err != nil || value < 0 {
			return fmt.Errorf("%q is no duration", text)
		}
	case factorArgument:
		if value, err := strconv.ParseFloat(text, 64); err != nil || !(value > 0 && value <= maxFactor) {
			return fmt.Errorf("%q is no factor above 0", text)
		}
	case instanceArgument:
		if value, err := strconv.Atoi(text); err != nil || value < 0 {
			return fmt.Errorf("%q is no number of an instance", text)
		}
	}
	return nil
}
