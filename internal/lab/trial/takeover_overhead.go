package trial

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"hitchspring/internal/lab"
)

// takeoverOverhead measures what the replication of pending work costs while no instance is lost. Its baseline is
// the same load on instances with peers but without takeover.
var takeoverOverhead = &definition{
	description: "what keepers cost while nothing is lost: latency of keyed work, CPU, bytes between instances, " +
		"memory; [peers] in both",
	cases:        takeoverOverheadCases,
	instances:    []int{3},
	withBaseline: true,
	run:          runTakeoverOverhead,
	table:        takeoverOverheadTable,
}

var takeoverOverheadCases = []string{"usual", "heavy"}

func runTakeoverOverhead(ctx context.Context, c Cell, program string) (Result, error) {
	r := Result{Metrics: map[string]float64{}}
	var mu sync.Mutex // guards r.Metrics during the run
	cfg := lab.Config{
		Scenario:  "calm",
		Seed:      c.Seed,
		For:       overheadDuration,
		Ingresses: c.Instances,
		Backends:  overheadBackends[c.Case],
		Rate:      1.1,
		Ingress:   program,
		Tolerance: tolerance,
		Linked:    true,
		ReuseKey:  true,
		Peers:     true,
		Takeover:  c.On,
	}
	cfg.Watch = func(ctx context.Context, testbed *lab.Testbed) {
		if !testbed.WaitUntil(ctx, overheadDuration-500*time.Millisecond) {
			return
		}
		for i := range testbed.Instances() {
			status, err := testbed.Peers(ctx, i)
			if err != nil {
				continue
			}
			mu.Lock()
			r.Metrics["bytes_s"] += float64(status.Counts.BytesOut) / overheadDuration.Seconds() / float64(c.Instances)
			mu.Unlock()
		}
	}
	report, err := lab.Run(ctx, cfg)
	if err != nil {
		return r, err
	}
	r.addReport(report)
	latencies := singleAttemptLatencies(report)
	r.Metrics["keyed"] = float64(len(report.KeyedRequests))
	r.Metrics["tries"] = float64(report.Attempts)
	r.Metrics["p50_ms"] = quantile(latencies, 0.5)
	r.Metrics["p99_ms"] = quantile(latencies, 0.99)
	r.addResources(report)
	return r, nil
}

// singleAttemptLatencies returns the sorted latencies, in milliseconds, of keyed work that took one attempt.
func singleAttemptLatencies(report *lab.Report) (out []float64) {
	for _, work := range report.KeyedRequests {
		if work.Attempts == 1 && work.Served {
			out = append(out, float64((work.FirstAnsweredAt-work.FirstSentAt).Microseconds())/1000)
		}
	}
	slices.Sort(out)
	return out
}

func takeoverOverheadTable(out io.Writer, results []Result) {
	fmt.Fprintf(out, "\n%-6s  %-22s  %-22s  %-24s  %-6s  %-22s  %-16s  %-14s\n",
		"load", "keyed p50 ms off, on", "keyed p99 ms off, on", "CPU us a try off, on", "ratio",
		"bytes/s each off, on", "peak MB off, on", "service off, on")
	for _, name := range takeoverOverheadCases {
		median := func(metric string, on bool) float64 {
			return quantile(metricValues(results, metric, ofCase(name, on)), 0.5)
		}
		fmt.Fprintf(out, "%-6s  %6.1f, %6.1f          %6.1f, %6.1f          %6.0f, %6.0f            %.3f   "+
			"%8.0f, %8.0f      %.1f, %.1f        %.3f, %.3f\n",
			name, median("p50_ms", false), median("p50_ms", true), median("p99_ms", false), median("p99_ms", true),
			median("cpu_us", false), median("cpu_us", true), ratio(median("cpu_us", true), median("cpu_us", false)),
			median("bytes_s", false), median("bytes_s", true), median("peak_mb", false), median("peak_mb", true),
			median("service", false), median("service", true))
	}
}
