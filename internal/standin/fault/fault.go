// Package fault is the script of what goes wrong at a stand-in: rules that pick calls by name, caller, count, time and
// seeded chance. It does no I/O; the stand-ins carry the rules out.
package fault

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Kind says what goes wrong with a call. A stand-in lists the kinds that it knows.
type Kind string

// The kinds that concern one call.
const (
	Delay      Kind = "delay"       // By passes before the call takes effect
	Hold       Kind = "hold"        // it takes effect, and By passes before its answer leaves
	Stall      Kind = "stall"       // it waits for the end of the rule's window
	Ignore     Kind = "ignore"      // no effect, no answer
	Swallow    Kind = "swallow"     // it takes effect, and has no answer
	Late       Kind = "late"        // it takes effect after By and has no answer; later calls go on meanwhile
	DropBefore Kind = "drop-before" // the connection is reset before it takes effect
	DropAfter  Kind = "drop-after"  // the connection is reset after it has
	Repeat     Kind = "repeat"      // its answer comes twice
	RepeatLate Kind = "repeat-late" // its answer comes again By after the first; later calls go on meanwhile
	Swap       Kind = "swap"        // its answer comes after the next one's
	Cut        Kind = "cut"         // half of its answer comes, then the connection ends
	Fail       Kind = "fail"        // it is answered with Text and takes no effect
)

// Rule is one thing that goes wrong.
type Rule struct {
	Kind   Kind
	On     string        // the call's name; empty: all
	Caller string        // the caller's name; empty: all
	After  int           // that many matching calls pass first
	Times  int           // then so many are hit; 0: all
	By     time.Duration // of Delay, Hold, Late, RepeatLate
	For    time.Duration // from when it was set; 0: for good
	Share  float64       // chance for a matching call; 0: all
	Text   string        // of Fail
}

// kinds are all of them.
var kinds = []Kind{Delay, Hold, Stall, Ignore, Swallow, Late, DropBefore, DropAfter, Repeat, RepeatLate, Swap, Cut, Fail}

// timed kinds take their first duration as By, others as For.
var timed = []Kind{Delay, Hold, Late, RepeatLate}

// Parse reads a rule in the form
//
//	KIND [DURATION] [for DURATION] [on NAME] [caller NAME] [after N] [times N] [share P] [text REST OF THE LINE]
//
// where the first duration is that of the delay, or else how long the rule holds.
func Parse(line string) (Rule, error) {
	words := strings.Fields(line)
	if len(words) == 0 {
		return Rule{}, fmt.Errorf("fault %q: no kind", line)
	}
	r := Rule{Kind: Kind(words[0])}
	if !slices.Contains(kinds, r.Kind) { // it would change nothing, and say nothing
		return Rule{}, fmt.Errorf("fault %q: there is no kind %q", line, words[0])
	}
	words = words[1:]
	if len(words) > 0 {
		if d, err := time.ParseDuration(words[0]); err == nil {
			if slices.Contains(timed, r.Kind) {
				r.By = d
			} else {
				r.For = d
			}
			words = words[1:]
		}
	}
	for len(words) > 0 {
		if len(words) < 2 {
			return Rule{}, fmt.Errorf("fault %q: %s has no value", line, words[0])
		}
		var err error
		switch v := words[1]; words[0] {
		case "for":
			r.For, err = time.ParseDuration(v)
		case "on":
			r.On = v
		case "caller":
			r.Caller = v
		case "after":
			r.After, err = strconv.Atoi(v)
		case "times":
			r.Times, err = strconv.Atoi(v)
		case "share":
			r.Share, err = strconv.ParseFloat(v, 64)
		case "text":
			r.Text, words = strings.Join(words[1:], " "), nil
		default:
			return Rule{}, fmt.Errorf("fault %q: unknown word %q", line, words[0])
		}
		if err != nil {
			return Rule{}, fmt.Errorf("fault %q: %s: %w", line, words[0], err)
		}
		if words != nil {
			words = words[2:]
		}
	}
	if r.By < 0 || r.For < 0 || r.After < 0 || r.Times < 0 || !(r.Share >= 0 && r.Share <= 1) {
		return Rule{}, fmt.Errorf("fault %q: a figure is out of range", line)
	}
	return r, nil
}

type active struct {
	Rule
	until time.Duration // 0: for good
	seen  int
	hits  int
}

// Script holds the rules in force. It is safe for many goroutines.
type Script struct {
	mu    sync.Mutex
	rng   *rand.Rand
	rules []*active
}

// New returns an empty script whose chances come from the seed.
func New(seed uint64) *Script { return &Script{rng: rand.New(rand.NewPCG(seed, 1))} }

// Add puts a rule in force from now on, a time on the stand-in's clock.
func (s *Script) Add(now time.Duration, r Rule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &active{Rule: r}
	if r.For > 0 {
		a.until = now + r.For
	}
	s.rules = append(s.rules, a)
}

// Clear ends all rules.
func (s *Script) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = nil
}

// Next returns what goes wrong with a call, by the first rule that hits it; left is what remains of the rule's window.
func (s *Script) Next(now time.Duration, name, caller string) (r Rule, left time.Duration, hit bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = slices.DeleteFunc(s.rules, func(a *active) bool {
		return a.until > 0 && now >= a.until || a.Times > 0 && a.hits >= a.Times
	})
	for _, a := range s.rules {
		if a.On != "" && !strings.EqualFold(a.On, name) || a.Caller != "" && a.Caller != caller {
			continue
		}
		if a.seen++; a.seen <= a.After || a.Share > 0 && s.rng.Float64() >= a.Share {
			continue
		}
		a.hits++
		return a.Rule, max(0, a.until-now), true
	}
	return Rule{}, 0, false
}
