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

// custody is what work that survives its instance costs while nothing is lost, beside instances that know one another alone.
var takeoverOverhead = &definition{
	about:        "what keepers cost while nothing is lost: latency of keyed work, CPU, bytes between instances, memory; [peers] in both",
	cases:        takeoverOverheadCases,
	instances:    []int{3},
	withBaseline: true,
	run:          runTakeoverOverhead,
	table:        takeoverOverheadTable,
}

var takeoverOverheadCases = []string{"usual", "heavy"}

func runTakeoverOverhead(ctx context.Context, c Cell, program string) (Result, error) {
	r := Result{Metrics: map[string]float64{}}
	var mu sync.Mutex
	cfg := lab.Config{
		Scenario: "calm", Seed: c.Seed, For: overheadDuration, Ingresses: c.Instances, Backends: overheadBackends[c.Case], Rate: 1.1, Ingress: program, Tolerance: tolerance, Linked: true, SameKey: true,
		Peers: true, Takeover: c.On,
	}
	cfg.Watch = func(ctx context.Context, w *lab.Testbed) {
		if !w.WaitUntil(ctx, overheadDuration-500*time.Millisecond) {
			return
		}
		for i := range w.Instances() {
			if s, err := w.Peers(ctx, i); err == nil {
				mu.Lock()
				r.Metrics["bytes_s"] += float64(s.Counts.BytesOut) / overheadDuration.Seconds() / float64(c.Instances)
				mu.Unlock()
			}
		}
	}
	rep, err := lab.Run(ctx, cfg)
	if err != nil {
		return r, err
	}
	r.addReport(rep)
	var took []float64
	for _, w := range rep.Keyed {
		if w.Attempts == 1 && w.Served {
			took = append(took, float64((w.Answered-w.First).Microseconds())/1000)
		}
	}
	slices.Sort(took)
	r.Metrics["keyed"], r.Metrics["tries"] = float64(len(rep.Keyed)), float64(rep.Attempts)
	r.Metrics["p50_ms"], r.Metrics["p99_ms"] = quantile(took, 0.5), quantile(took, 0.99)
	r.Metrics["cpu_us"], r.Metrics["service"] = rep.CPUPerRequestUS, rep.Service
	for _, p := range rep.Processes {
		r.Metrics["peak_mb"] = max(r.Metrics["peak_mb"], p.PeakMB)
	}
	return r, nil
}

func takeoverOverheadTable(out io.Writer, all []Result) {
	fmt.Fprintf(out, "\n%-6s  %-22s  %-22s  %-24s  %-6s  %-22s  %-16s  %-14s\n", "load", "keyed p50 ms off, on", "keyed p99 ms off, on", "CPU us a try off, on", "ratio", "bytes/s each off, on", "peak MB off, on", "service off, on")
	for _, name := range takeoverOverheadCases {
		at := func(figure string, on bool) float64 {
			return quantile(metricValues(all, figure, func(r Result) bool { return r.Case == name && r.On == on }), 0.5)
		}
		ratio := 0.0
		if off := at("cpu_us", false); off > 0 {
			ratio = at("cpu_us", true) / off
		}
		fmt.Fprintf(out, "%-6s  %6.1f, %6.1f          %6.1f, %6.1f          %6.0f, %6.0f            %.3f   %8.0f, %8.0f      %.1f, %.1f        %.3f, %.3f\n", name, at("p50_ms", false), at("p50_ms", true),
			at("p99_ms", false), at("p99_ms", true), at("cpu_us", false), at("cpu_us", true), ratio, at("bytes_s", false), at("bytes_s", true), at("peak_mb", false), at("peak_mb", true),
			at("service", false), at("service", true))
	}
}
