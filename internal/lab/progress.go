package lab

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"hitchspring/internal/lab/measure"
	"hitchspring/internal/standin/backend"
)

// Text formats the report as text.
func (r *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n%-14s %-10s %7s %7s %7s %8s %8s %7s %9s %9s\n", "class", "plan", "wishes", "served", "in time", "refused", "failed", "none", "p50 ms", "p99 ms")
	for _, row := range r.Rows {
		fmt.Fprintf(&b, "%-14s %-10s %7d %7d %7d %8d %8d %7d %9.1f %9.1f\n", row.Class, row.Plan, row.Requests, row.Served, row.InTime, row.Refused, row.Failed, row.Unanswered, row.P50MS, row.P99MS)
	}
	s := r.Score
	fmt.Fprintf(&b, "\nday %s, seed %d: service %.3f (whole %.3f, worst 10 s %.3f, worst class %.3f, worst plan %.3f, prices %.3f); use beyond quotas cost %.3f\n", r.Scenario, r.Seed,
		r.Service, s.Complete, s.Worst10s, s.WorstClass, s.WorstPlan, s.Prices, s.Beyond)
	fmt.Fprintf(&b, "%d tries in %.1f s, %d more that found no room at the clients; %.0f%% of the units that went inside quotas went beyond\n", r.Attempts, r.Seconds, r.Dropped, 100*r.BeyondShare)
	fmt.Fprintf(&b, "%.0f%% of the sends crossed halls; the spill changed by %.0f points from second to second at the most\n", 100*s.CrossShare, 100*r.MaxSpillChange)
	if r.Loss != nil {
		fmt.Fprintln(&b, r.Loss.Text())
	}
	fmt.Fprintf(&b, "\nchannels of a plan with a ceiling, as the nodes saw them (units; shares of the ceiling)\n")
	for _, c := range r.Tenants {
		fmt.Fprintf(&b, "  %s %-10s inside %7.0f beyond %6.0f  most overdrawn %6.1f (%5.1f%%)  nearest to the ceiling %+6.1f%%\n", c.Tenant, c.Plan, c.Inside, c.Beyond, c.Overrun, 100*c.OverrunOfCeiling, 100*c.Closest)
	}
	if a, h := r.Fronts["resp"], r.Fronts["http"]; a.Requested > 0 && h.Requested > 0 {
		fmt.Fprintf(&b, "channels above their quota, by front: RESP2 got %.0f of %.0f units (%.1f%%), HTTP %.0f of %.0f (%.1f%%)\n", a.Served, a.Requested, 100*a.Served/a.Requested, h.Served, h.Requested, 100*h.Served/h.Requested)
	}
	fmt.Fprintf(&b, "\ningresses: %.0f us of CPU a try; the lab itself took %.2f cores\n", r.CPUPerRequestUS, r.LabCores)
	for _, p := range r.Processes {
		fmt.Fprintf(&b, "  %s  %6.2f s of CPU, %5.1f MB at the most\n", p.Name, p.CPUSeconds, p.PeakMB)
	}
	if len(r.Faults) > 0 {
		fmt.Fprintf(&b, "\nfaults (seed %d): %s\n", r.Seed, strings.Join(r.Faults, "; "))
	} else {
		fmt.Fprintf(&b, "\nno faults (seed %d)\n", r.Seed)
	}
	e := r.Margins
	fmt.Fprintf(&b, "\nhow near the run came: %d refused, %d answered in the client's last 150 ms, %d repeats that are allowed, %d that were not repeated,\n"+
		"  %d drains kept past their grace, %d sends to cold nodes (pushed to %.2f of their fall), nearest ceiling %+.0f%% (%d channels within a tenth)\n",
		e.Refused, e.Tight, e.Repeats, e.Withheld, e.Drains, e.SlowStartSends, e.SlowStartPush, 100*e.Ceiling, e.CeilingFor)
	fmt.Fprintf(&b, "\nthe five rules, by what the peers saw\n%s", r.checkResult.String())
	for _, k := range r.Violations {
		if k.Rule == RuleQuotas {
			fmt.Fprintf(&b, "  %-26s BROKEN: %s\n", RuleQuotas, k.Detail)
		}
	}
	for _, c := range r.Crashed {
		fmt.Fprintf(&b, "  CRASHED: %s\n", c)
	}
	if r.Code() != Broken {
		for _, d := range r.Doubts() {
			fmt.Fprintf(&b, "  CAN'T JUDGE: %s\n", d)
		}
	}
	return b.String()
}

// tableInterval is the number of seconds between tables by class and plan.
const tableInterval = 5

// printTable prints the results of the attempts with indexes from (inclusive) to to (exclusive), by class and plan.
func (tb *Testbed) printTable(out io.Writer, from, to int) {
	type cell struct {
		served, refused int
		took            *measure.Latencies
	}
	cells := map[string]*cell{}
	tb.load.mu.Lock()
	for _, t := range tb.load.sent[from:to] {
		k := t.class.name + " " + t.sender.plan.name
		c := cells[k]
		if c == nil {
			c = &cell{took: measure.NewLatencies()}
			cells[k] = c
		}
		switch {
		case len(t.Answers) == 0:
		case t.Answers[0].Kind == "served":
			c.served++
			c.took.Add(t.Answers[0].At - t.due)
		case t.Answers[0].Kind == "refused":
			c.refused++
		}
	}
	tb.load.mu.Unlock()
	fmt.Fprintf(out, "   %-14s", "served/refused")
	for _, p := range tb.plans {
		fmt.Fprintf(out, " %-28s", p.name+" (p50, p99 ms)")
	}
	fmt.Fprintln(out)
	for _, c := range tb.classes {
		fmt.Fprintf(out, "   %-14s", c.name)
		for _, p := range tb.plans {
			x := cells[c.name+" "+p.name]
			if x == nil {
				x = &cell{took: measure.NewLatencies()}
			}
			fmt.Fprintf(out, " %-28s", fmt.Sprintf("%d/%d (%.0f, %.0f)", x.served, x.refused, x.took.QuantileMS(0.5), x.took.QuantileMS(0.99)))
		}
		fmt.Fprintln(out)
	}
}

// printProgress prints a line each second, and a table every tableInterval seconds.
func (tb *Testbed) printProgress(ctx context.Context) {
	out := tb.cfg.Live
	if out == nil {
		return
	}
	fmt.Fprintf(out, "%6s %7s %7s %8s %7s %6s %8s %8s  %-26s %s\n", "s", "tries/s", "served", "refused", "failed", "none", "p50 ms", "p99 ms", "quota used (storby)", "nodes: held")
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	from, sentFrom, last := 0, 0, time.Now()
	tableFrom := 0 // index of the first attempt in the next table
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		from, sentFrom = tb.printProgressLine(out, from, sentFrom, time.Since(last))
		last = time.Now()
		if n%tableInterval == 0 {
			tb.printTable(out, tableFrom, from)
			tableFrom = from
		}
	}
}

func (tb *Testbed) printProgressLine(out io.Writer, from, sentFrom int, span time.Duration) (int, int) {
	tb.load.mu.Lock()
	now := tb.load.sent[from:]
	kinds := map[string]int{}
	latencies := measure.NewLatencies()
	for _, t := range now {
		if len(t.Answers) == 0 {
			kinds["none"]++
			continue
		}
		kinds[t.Answers[0].Kind]++
		if t.Answers[0].Kind == "served" {
			latencies.Add(t.Answers[0].At - t.due)
		}
	}
	next := from + len(now)
	tb.load.mu.Unlock()
	records := tb.fleet.Records(sentFrom)
	units, allowed := 0.0, 0.0
	for _, r := range records {
		if r.Plan == "storby" && r.Outcome == backend.Ran {
			units += r.Units
		}
	}
	for _, sender := range tb.load.tenants {
		if sender.plan.name == "storby" {
			allowed += sender.plan.refillRate * span.Seconds()
		}
	}
	var inFlight []string
	for i := range tb.specs {
		n, _ := tb.backendAt(i)
		h, _, down := n.Load()
		if down {
			inFlight = append(inFlight, "-")
		} else {
			inFlight = append(inFlight, fmt.Sprint(h))
		}
	}
	fmt.Fprintf(out, "%6.1f %7.0f %7d %8d %7d %6d %8.1f %8.1f  %6.0f of %6.0f units/s   %s\n", tb.clock().Seconds(), float64(len(now))/span.Seconds(), kinds["served"], kinds["refused"],
		kinds["failed"], kinds["none"], latencies.QuantileMS(0.5), latencies.QuantileMS(0.99), units/span.Seconds(), allowed/span.Seconds(), strings.Join(inFlight, " "))
	return next, sentFrom + len(records)
}
