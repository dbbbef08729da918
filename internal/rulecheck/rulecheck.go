// Package rulecheck checks the platform's five rules against what the peers of the ingress recorded. Its input is
// the clients' record of requests and answers, the backends' record of attempts, and discovery's record of
// notifications. Its output is the list of violations, and how near the run came to each rule's edge. It does no
// I/O and never queries an ingress, so a defect in the ingress cannot hide itself.
package rulecheck

import (
	"fmt"
	"sort"
	"time"
)

// Violation is one break of a rule.
type Violation struct {
	Rule   string        `json:"Rule"`
	At     time.Duration `json:"At"`
	Detail string        `json:"What"`
	// Until ends the span from At in which everything lies that the violation follows from.
	Until time.Duration `json:"Until"`
	// Doubtful says that the observers were delayed in that span, so that their delay may explain the violation.
	Doubtful bool `json:"Doubtful"`
}

// Margins holds how near a run came to what the rules forbid. A run that never came near an edge proves nothing
// about it.
type Margins struct {
	// Refused counts the requests that were rejected.
	Refused int `json:"Refused"`
	// Tight counts the answers within tightMargin of the client's timeout.
	Tight int `json:"Tight"`
	// Repeats counts the allowed attempts that followed one that may have run.
	Repeats int `json:"Repeats"`
	// Withheld counts the keyed and unsafe requests that ended without a value and were not repeated elsewhere,
	// though an attempt of theirs may have run.
	Withheld int `json:"HeldBack"`
	// Drains counts the pairs of an instance and a draining backend in which the instance sent elsewhere after the
	// grace.
	Drains int `json:"Drains"`
	// SlowStartSends counts the attempts at backends that were warming up.
	SlowStartSends int `json:"ColdSends"`
	// SlowStartPush is the most load on a backend warming up, as a fraction of what makes it fail.
	SlowStartPush float64 `json:"ColdPush"`
	// Ceiling is how near a tenant came to its ceiling, as a fraction of its burst: 0 is the edge, -1 is idle.
	Ceiling float64 `json:"Ceiling"`
	// CeilingFor counts the tenants that came within nearCeiling of it.
	CeilingFor int `json:"CeilingFor"`
}

// Result holds what a check found.
type Result struct {
	// Violations are in the order of their times.
	Violations []Violation
	// Closest is, by tenant under a ceiling, the most units sent beyond what the ceiling allowed at that moment, as a
	// fraction of its burst. It is below 0 where the tenant stayed under its ceiling.
	Closest map[string]float64
	// Checked counts the facts that each rule was checked on.
	Checked map[string]int
	Margins Margins
	// WorstDelay is the longest time for which the observers were kept from running.
	WorstDelay time.Duration
}

// Clean reports whether no rule was broken.
func (r Result) Clean() bool { return len(r.Violations) == 0 }

// CountCertain counts the violations that no delay of the observers can explain.
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

// Check checks the evidence of a run against the rules.
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

// markDoubtful marks the violations whose span overlaps a delay of the observers beyond the tolerance.
func (r *Result) markDoubtful(tolerance time.Duration, delays []ObserverDelay) {
	for _, span := range delays {
		r.WorstDelay = max(r.WorstDelay, span.Delay)
		if span.Delay <= tolerance {
			continue
		}
		for i := range r.Violations {
			violation := &r.Violations[i]
			if span.At+span.Delay >= violation.At && span.At-span.Delay <= violation.Until+tolerance {
				violation.Doubtful = true
			}
		}
	}
}

// addViolation records a violation that follows from what happened between at and until.
func (r *Result) addViolation(rule string, at, until time.Duration, format string, args ...any) {
	r.Violations = append(r.Violations, Violation{
		Rule:   rule,
		At:     at,
		Until:  max(at, until),
		Detail: fmt.Sprintf(format, args...),
	})
}
