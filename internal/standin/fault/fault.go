// Package fault implements fault scripts for the stand-in servers. A rule selects calls by name, caller, count, time
// and seeded probability, and specifies the kind of fault that hits them. Parse parses a rule from a line of text. A
// Script holds the active rules and decides which of them hits a call. The package does no I/O: each stand-in applies
// the faults itself.
package fault

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Kind is the kind of fault that hits a call. Stand-ins need not support every kind.
type Kind string

// The kinds of fault. Each affects a single call.
const (
	Delay      Kind = "delay"       // the call takes effect after By
	Hold       Kind = "hold"        // the call takes effect immediately, but its reply is sent after By
	Stall      Kind = "stall"       // the call takes effect when the rule expires
	Ignore     Kind = "ignore"      // the call takes no effect and gets no reply
	Swallow    Kind = "swallow"     // the call takes effect but gets no reply
	Late       Kind = "late"        // the call takes effect after By but gets no reply; later calls are not delayed
	DropBefore Kind = "drop-before" // the connection is reset before the call takes effect
	DropAfter  Kind = "drop-after"  // the connection is reset after the call has taken effect
	Repeat     Kind = "repeat"      // the reply is sent twice
	RepeatLate Kind = "repeat-late" // the reply is sent again By after the first; later calls are not delayed
	Swap       Kind = "swap"        // the reply is sent after that of the next call
	Cut        Kind = "cut"         // only a part of the reply is sent, then the connection is closed
	Fail       Kind = "fail"        // the call takes no effect, and its reply is Text
)

// Rule specifies a fault and the calls that it hits.
type Rule struct {
	// Kind is the kind of fault.
	Kind Kind
	// CallName is the name of the calls to match, ignoring case; empty matches all calls.
	CallName string
	// Caller is the caller whose calls match; empty matches all callers.
	Caller string
	// SkipFirst is the number of matching calls that are skipped before the rule can hit one.
	SkipFirst int
	// MaxHits is the maximum number of calls that the rule hits; 0 means no limit.
	MaxHits int
	// DelayTime is the delay of Delay, Hold, Late and RepeatLate.
	DelayTime time.Duration
	// ActiveFor is how long the rule is active after it was added; 0 means no limit.
	ActiveFor time.Duration
	// Probability is the probability that a matching call is hit; 0 means that every matching call is hit.
	Probability float64
	// Text is the error reply of Fail.
	Text string
}

// kinds lists all kinds.
var kinds = []Kind{
	Delay, Hold, Stall, Ignore, Swallow, Late, DropBefore, DropAfter, Repeat, RepeatLate, Swap, Cut, Fail,
}

// delayingKinds lists the kinds for which the duration after the kind sets By; for other kinds it sets For.
var delayingKinds = []Kind{Delay, Hold, Late, RepeatLate}

// Parse parses a rule of the form
//
//	KIND [DURATION] [for DURATION] [on NAME] [caller NAME] [after N] [times N] [share P] [text REST OF THE LINE]
//
// where the first duration sets By for the delaying kinds (Delay, Hold, Late, RepeatLate) and For for all others. Error
// messages begin with "fault" and the quoted line.
func Parse(line string) (Rule, error) {
	fields := strings.Fields(line)
	if len(fields) == 0 {
		return Rule{}, fmt.Errorf("fault %q: missing fault kind", line)
	}
	rule := Rule{Kind: Kind(fields[0])}
	if !slices.Contains(kinds, rule.Kind) {
		return Rule{}, fmt.Errorf("fault %q: there is no kind %q", line, fields[0])
	}
	options := rule.parseDuration(fields[1:])
	for len(options) > 0 {
		if len(options) < 2 {
			return Rule{}, fmt.Errorf("fault %q: missing value of option %s", line, options[0])
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
		return Rule{}, fmt.Errorf("fault %q: number or duration out of range", line)
	}
	return rule, nil
}

// parseDuration parses the optional duration after the kind, and returns the remaining arguments.
func (r *Rule) parseDuration(args []string) (rest []string) {
	if len(args) == 0 {
		return args
	}
	duration, err := time.ParseDuration(args[0])
	if err != nil {
		return args
	}
	if slices.Contains(delayingKinds, r.Kind) {
		r.DelayTime = duration
	} else {
		r.ActiveFor = duration
	}
	return args[1:]
}

// errUnknownOption is returned for an option that does not exist.
var errUnknownOption = errors.New("unknown option")

// setOption sets the rule field of an option.
func (r *Rule) setOption(option, value string) (err error) {
	switch option {
	case "for":
		r.ActiveFor, err = time.ParseDuration(value)
	case "on":
		r.CallName = value
	case "caller":
		r.Caller = value
	case "after":
		r.SkipFirst, err = strconv.Atoi(value)
	case "times":
		r.MaxHits, err = strconv.Atoi(value)
	case "share":
		r.Probability, err = strconv.ParseFloat(value, 64)
	default:
		return errUnknownOption
	}
	return err
}

// inRange reports whether no number or duration is negative and Share is between 0 and 1. NaN is out of range.
func (r *Rule) inRange() bool {
	if r.DelayTime < 0 || r.ActiveFor < 0 || r.SkipFirst < 0 || r.MaxHits < 0 {
		return false
	}
	return r.Probability >= 0 && r.Probability <= 1
}
