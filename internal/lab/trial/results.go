package trial

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"hitchspring/internal/lab"
)

// addReport adds a report's violations and crashes, and the reasons why the run is inconclusive.
func (r *Result) addReport(report *lab.Report) {
	for _, violation := range report.Violations {
		if !violation.Doubtful {
			r.violate("%s at %.3f s: %s", violation.Rule, violation.At.Seconds(), violation.Detail)
		}
	}
	r.Violations = append(r.Violations, report.Crashed...)
	r.Doubts = append(r.Doubts, report.Doubts()...)
}

// violate adds a violation with a formatted message.
func (r *Result) violate(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// line formats the result of a run, or the error that stopped it, for the terminal.
func (r Result) line(err error) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-24s %2d instances seed %4d on=%-5v", r.Case, r.Instances, r.Seed, r.On)
	var names []string
	for name := range r.Metrics {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, "  %s %.4g", name, r.Metrics[name])
	}
	for _, message := range r.Violations {
		fmt.Fprintf(&b, "\n    BROKEN: %s", message)
	}
	for _, message := range r.Doubts {
		fmt.Fprintf(&b, "\n    proves nothing: %s", message)
	}
	if err != nil {
		fmt.Fprintf(&b, "\n    not played: %v", err)
	}
	return b.String()
}

// summarize prints the table and writes the results to cfg.Out. It returns ErrViolations if any run has a violation.
func summarize(trial *definition, cfg Config, results []Result, out io.Writer) error {
	var table bytes.Buffer
	trial.table(&table, results)
	broken, inconclusive := 0, 0
	for _, r := range results {
		switch {
		case len(r.Violations) > 0:
			broken++
		case len(r.Doubts) > 0:
			inconclusive++
		}
	}
	fmt.Fprintf(&table, "%d runs: %d in which something did not hold, %d that prove nothing\n",
		len(results), broken, inconclusive)
	fmt.Fprint(out, table.String())
	if cfg.Out != "" {
		if err := writeResults(cfg.Out, trial, results, table.Bytes()); err != nil {
			return err
		}
	}
	if broken > 0 {
		return ErrViolations
	}
	return nil
}

// writeResults writes results.jsonl, table.txt and, for a trial with a chart, chart.svg to a directory.
func writeResults(dir string, trial *definition, results []Result, table []byte) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var lines bytes.Buffer
	for _, r := range results {
		b, err := json.Marshal(r)
		if err != nil {
			return err
		}
		lines.Write(append(b, '\n'))
	}
	if err := os.WriteFile(filepath.Join(dir, "results.jsonl"), lines.Bytes(), 0o644); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "table.txt"), table, 0o644); err != nil {
		return err
	}
	if trial.chart == nil {
		return nil
	}
	return trial.chart(filepath.Join(dir, "chart.svg"), results)
}

// dropQuotaViolations removes the violations of the lab.Quotas rule.
func (r *Result) dropQuotaViolations() {
	r.Violations = slices.DeleteFunc(r.Violations, func(violation string) bool {
		return strings.HasPrefix(violation, lab.RuleQuotas)
	})
}
