package mutation

import (
	"context"
	"fmt"
	"sync"

	"hitchspring/internal/lab"
)

const (
	// maxReruns is how often an inconclusive run is repeated.
	maxReruns = 2
	// rerunSeedStep is added to the seed for a repeated run.
	rerunSeedStep = 1000
)

// job is a run of a build with one seed.
type job struct {
	defect  Defect // planted in the build; its Name is empty for the untouched build
	program string
	seed    uint64
}

// runJobs runs the jobs, cfg.Jobs at a time, and prints each result to cfg.Output. The results of jobs that had not
// started when ctx ended are empty.
func runJobs(ctx context.Context, cfg Config, jobs []job) []Result {
	results := make([]Result, len(jobs))
	var wg sync.WaitGroup
	var outputMu sync.Mutex // guards cfg.Output
	next := make(chan int)
	for range max(1, cfg.Jobs) {
		wg.Go(func() {
			for i := range next {
				results[i] = jobs[i].runUntilConclusive(ctx)
				if cfg.Output != nil {
					outputMu.Lock()
					fmt.Fprintln(cfg.Output, results[i])
					outputMu.Unlock()
				}
			}
		})
	}
	for i := range jobs {
		select {
		case next <- i:
		case <-ctx.Done():
		}
	}
	close(next)
	wg.Wait()
	return results
}

// runUntilConclusive repeats the job with other seeds until its result is conclusive. A run is not conclusive if the
// lab was delayed, or if it did not come as near to the limits as its scenario requires.
func (j job) runUntilConclusive(ctx context.Context) (result Result) {
	for range 1 + maxReruns {
		result = j.runOnce(ctx)
		if result.conclusive() || ctx.Err() != nil {
			break
		}
		j.seed += rerunSeedStep
	}
	return result
}

// runOnce runs the job and looks for the expected violation.
func (j job) runOnce(ctx context.Context) Result {
	result := Result{
		Defect:    j.defect.Name,
		Rule:      j.defect.Rule,
		Component: j.defect.Component,
		Scenario:  j.defect.Scenario,
		Seed:      j.seed,
	}
	report, err := lab.Run(ctx, lab.Config{
		Scenario:  j.defect.Scenario,
		Store:     j.defect.Store,
		Faults:    j.defect.Faults,
		Seed:      j.seed,
		Ingress:   j.program,
		Zones:     j.defect.Zones,
		Ingresses: j.defect.Peers,
		Peers:     j.defect.Peers > 0,
		Takeover:  j.defect.Takeover,
	})
	if err != nil {
		result.Error = err.Error()
		return result
	}
	result.Doubts, result.Margins = report.Doubts(), report.Margins
	if backend := j.defect.LocallyUnreachable; backend != "" {
		report.Violations = append(report.Violations, report.LeftOnReport(backend, 0)...)
	}
	if j.defect.Takeover {
		report.Violations = append(report.Violations, report.CheckOnce()...)
	}
	j.classifyViolations(&result, report)
	result.OtherViolations = append(result.OtherViolations, report.Crashed...)
	return result
}

// classifyViolations separates the violation that the defect is expected to cause from others. It ignores doubtful
// ones.
func (j job) classifyViolations(result *Result, report *lab.Report) {
	for _, violation := range report.Violations {
		switch {
		case violation.Doubtful:
		case j.defect.Name != "" && violation.Rule == ruleNames[j.defect.Rule]:
			after := max(0, violation.Until.Seconds()-report.LoadStartS)
			if !result.Detected || after < result.DetectedAfterS {
				result.Detected, result.DetectedAfterS = true, after
			}
		default:
			result.OtherViolations = append(result.OtherViolations,
				fmt.Sprintf("%s at %.3f s: %s", violation.Rule, violation.At.Seconds(), violation.Detail))
		}
	}
}
