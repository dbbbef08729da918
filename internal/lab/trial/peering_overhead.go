package trial

import (
	"context"
	"fmt"
	"io"
	"time"

	"hitchspring/internal/lab"
)

// cost is what instances that know one another take, at loads that differ, and nobody asks them anything.
var peeringOverhead = &definition{
	about:        "CPU and memory of instances that know one another, against those that don't, in one run after the other",
	cases:        peeringOverheadCases,
	instances:    []int{3},
	withBaseline: true,
	run:          runPeeringOverhead,
	table:        peeringOverheadTable,
}

var peeringOverheadCases = []string{"light", "usual", "heavy"}

// costNodes is how many nodes a case has; the load is two thirds of what they can do.
var overheadBackends = map[string]int{"light": 6, "usual": 24, "heavy": 60}

const overheadDuration = 10 * time.Second

func runPeeringOverhead(ctx context.Context, c Cell, program string) (Result, error) {
	r := Result{Metrics: map[string]float64{}}
	rep, err := lab.Run(ctx, lab.Config{
		Scenario: "calm", Seed: c.Seed, For: overheadDuration, Ingresses: c.Instances, Backends: overheadBackends[c.Case], Rate: 1.3, Ingress: program, Tolerance: tolerance, Linked: true,
		Peers: c.On,
	})
	if err != nil {
		return r, err
	}
	r.addReport(rep)
	r.Metrics["cpu_us"], r.Metrics["service"] = rep.CPUPerRequestUS, rep.Service
	r.Metrics["tries_s"] = float64(rep.Attempts) / rep.Seconds / float64(c.Instances)
	for _, p := range rep.Processes {
		r.Metrics["peak_mb"] = max(r.Metrics["peak_mb"], p.PeakMB)
	}
	return r, nil
}

func peeringOverheadTable(out io.Writer, all []Result) {
	fmt.Fprintf(out, "\n%-6s  %-22s  %-18s  %-6s  %-20s\n", "load", "tries a second each", "CPU us a try off, on", "ratio", "peak MB off, on")
	for _, name := range peeringOverheadCases {
		is := func(on bool) func(Result) bool {
			return func(r Result) bool { return r.Case == name && r.On == on }
		}
		off, on := quantile(metricValues(all, "cpu_us", is(false)), 0.5), quantile(metricValues(all, "cpu_us", is(true)), 0.5)
		ratio := 0.0
		if off > 0 {
			ratio = on / off
		}
		fmt.Fprintf(out, "%-6s  %8.0f                %.0f, %.0f             %.3f   %.1f, %.1f\n", name, mean(metricValues(all, "tries_s", is(true))), off, on, ratio,
			quantile(metricValues(all, "peak_mb", is(false)), 0.5), quantile(metricValues(all, "peak_mb", is(true)), 0.5))
	}
}
