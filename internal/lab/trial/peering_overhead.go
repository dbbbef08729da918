package trial

import (
	"context"
	"fmt"
	"io"
	"time"

	"hitchspring/internal/lab"
)

// peeringOverhead measures the CPU time and memory of instances with peers at several loads, without faults. Its
// baseline is the same load on instances without peers.
var peeringOverhead = &definition{
	description: "CPU and memory of instances that know one another, against those that don't, " +
		"in one run after the other",
	cases:        peeringOverheadCases,
	instances:    []int{3},
	withBaseline: true,
	run:          runPeeringOverhead,
	table:        peeringOverheadTable,
}

var peeringOverheadCases = []string{"light", "usual", "heavy"}

// overheadBackends is the number of backends of each case. The load is proportional to it.
var overheadBackends = map[string]int{"light": 6, "usual": 24, "heavy": 60}

const overheadDuration = 10 * time.Second

func runPeeringOverhead(ctx context.Context, c Cell, program string) (Result, error) {
	r := Result{Metrics: map[string]float64{}}
	report, err := lab.Run(ctx, lab.Config{
		Scenario:  "calm",
		Seed:      c.Seed,
		For:       overheadDuration,
		Ingresses: c.Instances,
		Backends:  overheadBackends[c.Case],
		Rate:      1.3,
		Ingress:   program,
		Tolerance: tolerance,
		Linked:    true,
		Peers:     c.On,
	})
	if err != nil {
		return r, err
	}
	r.addReport(report)
	r.addResources(report)
	r.Metrics["tries_s"] = float64(report.Attempts) / report.Seconds / float64(c.Instances)
	return r, nil
}

// addResources records the CPU time, the peak memory and the service of a run.
func (r *Result) addResources(report *lab.Report) {
	r.Metrics["cpu_us"] = report.CPUPerRequestUS
	r.Metrics["service"] = report.Service
	for _, process := range report.Processes {
		r.Metrics["peak_mb"] = max(r.Metrics["peak_mb"], process.PeakMB)
	}
}

func peeringOverheadTable(out io.Writer, results []Result) {
	fmt.Fprintf(out, "\n%-6s  %-22s  %-18s  %-6s  %-20s\n",
		"load", "tries a second each", "CPU us a try off, on", "ratio", "peak MB off, on")
	for _, name := range peeringOverheadCases {
		median := func(metric string, on bool) float64 {
			return quantile(metricValues(results, metric, ofCase(name, on)), 0.5)
		}
		off, on := median("cpu_us", false), median("cpu_us", true)
		fmt.Fprintf(out, "%-6s  %8.0f                %.0f, %.0f             %.3f   %.1f, %.1f\n",
			name, mean(metricValues(results, "tries_s", ofCase(name, true))), off, on, ratio(on, off),
			median("peak_mb", false), median("peak_mb", true))
	}
}
