// Package fault holds the scripted faults of the stand-in servers. A rule picks calls by name, caller, count, time and
// seeded chance, and names the kind of fault that hits them; Parse reads a rule from one line of text. A Script holds
// the rules in force and decides which of them hits a call. The package does no I/O: each stand-in carries the faults
// out itself.
package fault

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Kind is the kind of fault that hits a call. A stand-in rejects the kinds that it cannot carry out.
type Kind string

// The kinds of fault that concern one call.
const (
	Delay      Kind = "delay"       // the call takes effect after By
	Hold       Kind = "hold"        // the call takes effect, and its reply is sent after By
	Stall      Kind = "stall"       // the call takes effect at the end of the rule's window
	Ignore     Kind = "ignore"      // no effect, no reply
	Swallow    Kind = "swallow"     // the call takes effect and gets no reply
	Late       Kind = "late"        // the call takes effect after By and gets no reply; later calls are not delayed
	DropBefore Kind = "drop-before" // the connection is reset before the call takes effect
	DropAfter  Kind = "drop-after"  // the connection is reset after the call has taken effect
	Repeat     Kind = "repeat"      // the reply is sent twice
	RepeatLate Kind = "repeat-late" // the reply is sent again By after the first; later calls are not delayed
	Swap       Kind = "swap"        // the reply is sent after that of the next call
	Cut        Kind = "cut"         // half of the reply is sent, then the connection ends
	Fail       Kind = "fail"        // the call takes no effect, and its reply is Text
)

// Rule says which calls are hit by a fault, and by which.
type Rule struct {
	// Kind is the kind of fault.
	Kind Kind
	// On is the name of the calls that match, in any case; empty matches all.
	On string
	// Caller is the caller whose calls match; empty matches all.
	Caller string
	// After is the number of matching calls that pass before the rule hits any.
	After int
	// Times is the number of calls that the rule hits; 0 means no limit.
	Times int
	// By is the length of the delay of Delay, Hold, Late and RepeatLate.
	By time.Duration
	// For is how long the rule is in force, from when it was added; 0 means for good.
	For time.Duration
	// Share is the probability that a matching call is hit; 0 means that all are.
	Share float64
	// Text is the reply of Fail.
	Text string
}

// kinds lists all kinds.
var kinds = []Kind{
	Delay, Hold, Stall, Ignore, Swallow, Late, DropBefore, DropAfter, Repeat, RepeatLate, Swap, Cut, Fail,
}

// delayingKinds lists the kinds whose first duration is By; that of all others is For.
var delayingKinds = []Kind{Delay, Hold, Late, RepeatLate}

// Parse reads a rule in the form
//
//	KIND [DURATION] [for DURATION] [on NAME] [caller NAME] [after N] [times N] [share P] [text REST OF THE LINE]
//
// where the first duration is By if the kind delays, and For otherwise. Its errors begin with "fault" and the quoted
// line.
func Parse(line string) (Rule, error) {
	fields := strings.Fields(line)
	if len(fields) == 0 {
		return Rule{}, fmt.Errorf("fault %q: no kind", line)
	}
	rule := Rule{Kind: Kind(fields[0])}
	if !slices.Contains(kinds, rule.Kind) {
		return Rule{}, fmt.Errorf("fault %q: there is no kind %q", line, fields[0])
	}
	options := rule.parseDuration(fields[1:])
	for len(options) > 0 {
		if len(options) < 2 {
			return Rule{}, fmt.Errorf("fault %q: %s has no value", line, options[0])
		}
		if options[0] == "text" {
			rule.Text = strings.Join(options[1:], " ")
			break
		}
		if err := rule.setOption(options[0], options[1]); errors.Is(err, errUnknownOption) {
			return Rule{}, fmt.Errorf("fault %q: %w %q", line, err, options[0])
		} else if err != nil {
			return Rule{}, fmt.Errorf("fault %q: %s: %w", line, options[0], err)
		}
		options = options[2:]
	}
	if !rule.inRange() {
		return Rule{}, fmt.Errorf("fault %q: a figure is out of range", line)
	}
	return rule, nil
}

// parseDuration takes the duration that may follow the kind, and returns the remaining arguments.
func (r *Rule) parseDuration(args []string) (rest []string) {
	if len(args) == 0 {
		return args
	}
	duration, err := time.ParseDuration(args[0])
	if err != nil {
		return args
	}
	if slices.Contains(delayingKinds, r.Kind) {
		r.By = duration
	} else {
		r.For = duration
	}
	return args[1:]
}

// errUnknownOption is the error of an option that no rule has.
var errUnknownOption = errors.New("unknown word")

// setOption sets the field of an option from its value.
func (r *Rule) setOption(option, value string) (err error) {
	switch option {
	case "for":
		r.For, err = time.ParseDuration(value)
	case "on":
		r.On = value
	case "caller":
		r.Caller = value
	case "after":
		r.After, err = strconv.Atoi(value)
	case "times":
		r.Times, err = strconv.Atoi(value)
	case "share":
		r.Share, err = strconv.ParseFloat(value, 64)
	default:
		return errUnknownOption
	}
	return err
}

// inRange reports whether no figure is negative and Share is a probability, which NaN is not.
func (r *Rule) inRange() bool {
	if r.By < 0 || r.For < 0 || r.After < 0 || r.Times < 0 {
		return false
	}
	return r.Share >= 0 && r.Share <= 1
}
