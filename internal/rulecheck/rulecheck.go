// Package rulecheck checks the platform's five rules against what the processes around the ingress recorded in a run.
// Its input is the clients' record of requests and answers, the backends' record of attempts, and discovery's record of
// notifications. Its output is the list of violations, and how close the run came to the limit of each rule. It does no
// I/O and never queries an ingress, so a defect in the ingress cannot hide itself.
package rulecheck

import (
	"fmt"
	"sort"
	"time"
)

// Violation is one violation of a rule.
type Violation struct {
	Rule   string        `json:"Rule"`
	At     time.Duration `json:"At"`
	Detail string        `json:"What"`
	// Until ends the period from At that holds all events on which the violation is based.
	Until time.Duration `json:"Until"`
	// Doubtful is true if the observers were delayed in that period, so that late timestamps may explain the violation.
	Doubtful bool `json:"Doubtful"`
}

// Margins holds how close a run came to the limits of the rules. A run that stays far from a limit does not show that
// the ingress respects it.
type Margins struct {
	// Refused counts the requests that were rejected.
	Refused int `json:"Refused"`
	// Tight counts the answers within tightMargin of the client's timeout.
	Tight int `json:"Tight"`
	// Repeats counts the allowed repeats: attempts of a request of which an earlier attempt may have run.
	Repeats int `json:"Repeats"`
	// Withheld counts the keyed and unsafe requests that were rejected or failed after an attempt that may have run,
	// so that no further attempt followed.
	Withheld int `json:"HeldBack"`
	// Drains counts the pairs of an instance and a draining backend for which the instance sent to other backends
	// after the grace period.
	Drains int `json:"Drains"`
	// SlowStartSends counts the attempts at backends in slow start.
	SlowStartSends int `json:"ColdSends"`
	// SlowStartPush is the maximum load on a backend in slow start, as a fraction of the load that makes it fail.
	SlowStartPush float64 `json:"ColdPush"`
	// Ceiling is the maximum of Result.Closest over all tenants: 0 is at the ceiling, -1 is an idle tenant.
	Ceiling float64 `json:"Ceiling"`
	// CeilingFor counts the tenants that came within nearCeilingFraction of their ceiling.
	CeilingFor int `json:"CeilingFor"`
}

// Result holds what a check found.
type Result struct {
	// Violations are in order of At.
	Violations []Violation
	// Closest holds, for each tenant with a ceiling, the maximum excess over the ceiling as a fraction of its burst. It
	// is negative if the tenant stayed below its ceiling.
	Closest map[string]float64
	// Checked counts, by rule, the requests or attempts that the rule was checked on.
	Checked map[string]int
	Margins Margins
	// MaxObserverDelay is the longest ObserverDelay.
	MaxObserverDelay time.Duration
}

// Clean reports whether there is no violation.
func (r Result) Clean() bool { return len(r.Violations) == 0 }

// CountCertain counts the violations that late observers cannot explain: those that are not Doubtful.
func (r Result) CountCertain() int {
	count := 0
	for _, violation := range r.Violations {
		if !violation.Doubtful {
			count++
		}
	}
	return count
}

// ForRule returns the violations of one rule.
func (r Result) ForRule(rule string) []Violation {
	var found []Violation
	for _, violation := range r.Violations {
		if violation.Rule == rule {
			found = append(found, violation)
		}
	}
	return found
}

// Check checks all rules on the evidence of a run.
func Check(rules Rules, evidence Evidence) Result {
	idx := newIndex(evidence)
	result := Result{
		Closest: map[string]float64{},
		Checked: map[string]int{},
		Margins: Margins{Ceiling: -1},
	}
	result.checkAnswers(rules, idx)
	result.checkLateRejections(rules, idx)
	result.checkRepeats(rules, idx)
	result.checkDrains(rules, idx, evidence.Notifications)
	result.checkSlowStart(idx, evidence.Overloads)
	result.checkCeilings(rules, idx)
	result.markDoubtful(rules.Tolerance, evidence.ObserverDelays)
	sort.SliceStable(result.Violations, func(i, j int) bool {
		return result.Violations[i].At < result.Violations[j].At
	})
	return result
}

// markDoubtful marks the violations whose period overlaps an observer delay that is longer than the tolerance.
func (r *Result) markDoubtful(tolerance time.Duration, delays []ObserverDelay) {
	for _, delay := range delays {
		r.MaxObserverDelay = max(r.MaxObserverDelay, delay.Delay)
		if delay.Delay <= tolerance {
			continue
		}
		for i := range r.Violations {
			violation := &r.Violations[i]
			if delay.At+delay.Delay >= violation.At && delay.At-delay.Delay <= violation.Until+tolerance {
				violation.Doubtful = true
			}
		}
	}
}

// addViolation records a violation that is based on events between at and until.
func (r *Result) addViolation(rule string, at, until time.Duration, format string, args ...any) {
	r.Violations = append(r.Violations, Violation{
		Rule:   rule,
		At:     at,
		Until:  max(at, until),
		Detail: fmt.Sprintf(format, args...),
	})
}
