package mutation

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"hitchspring/internal/rulecheck"
)

// maxListedViolations is how many violations of the untouched build a result's line lists.
const maxListedViolations = 3

// Result is the outcome of one run of one defect, or of the untouched build if Defect is empty.
type Result struct {
	Defect          string            `json:"Defect"`
	Rule            string            `json:"Rule"`
	Component       string            `json:"Part"`
	Scenario        string            `json:"Day"`
	Seed            uint64            `json:"Seed"`
	Detected        bool              `json:"Seen"`   // the expected violation was found
	DetectedAfterS  float64           `json:"AfterS"` // seconds since the load began
	OtherViolations []string          `json:"Also"`   // of other rules, and crashes
	Doubts          []string          `json:"Doubts"` // why the run is not conclusive
	Margins         rulecheck.Margins `json:"Edges"`
	Error           string            `json:"Err,omitempty"` // why the run failed
}

// conclusive reports whether no further run is needed: the result says something about the build, or the run failed.
func (r Result) conclusive() bool {
	return r.Error != "" || r.Detected || len(r.OtherViolations) > 0 || len(r.Doubts) == 0
}

// String returns the result as one human-readable line.
func (r Result) String() string {
	name := r.Defect
	if name == "" {
		name = "(untouched)"
	}
	line := fmt.Sprintf("%-22s %-9s %-12s %-12s seed %3d  ", name, r.Rule, r.Component, r.Scenario, r.Seed)
	switch {
	case r.Error != "":
		return line + "NOT PLAYED: " + r.Error
	case r.Defect == "":
		return line + r.untouchedOutcome()
	case r.Detected:
		return line + fmt.Sprintf("seen after %.1f s", r.DetectedAfterS)
	case len(r.Doubts) > 0:
		return line + "MISSED; the run can't be judged: " + strings.Join(r.Doubts, "; ")
	}
	return line + fmt.Sprintf("MISSED: %+v", r.Margins)
}

// untouchedOutcome returns the outcome of a run of the untouched build, for the end of its line.
func (r Result) untouchedOutcome() string {
	switch {
	case len(r.OtherViolations) > 0:
		listed := r.OtherViolations[:min(maxListedViolations, len(r.OtherViolations))]
		return "FALSE ALARM, or a true break: " + strings.Join(listed, "; ")
	case len(r.Doubts) > 0:
		return "can't judge: " + strings.Join(r.Doubts, "; ")
	}
	return "clean"
}

// ErrMissed means that a defect was not detected in every run, that the untouched build violated a rule, or that a run
// failed.
var ErrMissed = errors.New("a defect was missed, the untouched build violated a rule, or a run failed")

// summary counts the outcomes of results.
type summary struct {
	defects []string // names in order of their first results
	runs    map[string]int
	detects map[string]int // runs that detected the defect
	slowest time.Duration  // longest time until a detection

	clean, alarms, doubtful int // runs of the untouched build
	failed                  int // runs that failed
}

// add counts a result.
func (s *summary) add(result Result) {
	switch {
	case result.Error != "":
		s.failed++
	case result.Defect != "":
		s.addDefect(result)
	case len(result.OtherViolations) > 0:
		s.alarms++
	case len(result.Doubts) > 0:
		s.doubtful++
	default:
		s.clean++
	}
}

// addDefect counts the result of a run with a defect.
func (s *summary) addDefect(result Result) {
	if s.runs[result.Defect] == 0 {
		s.defects = append(s.defects, result.Defect)
	}
	s.runs[result.Defect]++
	if result.Detected {
		s.detects[result.Defect]++
		s.slowest = max(s.slowest, time.Duration(result.DetectedAfterS*float64(time.Second)))
	}
}

// Summarize returns the counts of the results as text. The error is ErrMissed or nil.
func Summarize(results []Result) (text string, err error) {
	counts := summary{runs: map[string]int{}, detects: map[string]int{}}
	for _, result := range results {
		counts.add(result)
	}
	detected := 0
	var missed []string
	for _, name := range counts.defects {
		if counts.detects[name] == counts.runs[name] {
			detected++
			continue
		}
		missed = append(missed, fmt.Sprintf("%s in %d of %d", name, counts.detects[name], counts.runs[name]))
	}
	text = fmt.Sprintf("%d of %d defects seen in every run, the slowest after %.1f s; "+
		"the untouched build: %d clean, %d alarms, %d that could not be judged; %d not played",
		detected, len(counts.defects), counts.slowest.Seconds(),
		counts.clean, counts.alarms, counts.doubtful, counts.failed)
	if len(missed) > 0 {
		text += "\nnot always seen: " + strings.Join(missed, ", ")
	}
	if len(missed) > 0 || counts.alarms > 0 || counts.failed > 0 {
		return text, ErrMissed
	}
	return text, nil
}
