package trial

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"hitchspring/internal/lab"
	"hitchspring/internal/overrun"
)

// budgets is instances that do not hear the counter while a channel asks for five times its quota: what each passes on, by the nodes' records, beside what it
// had stated before, and how far the channel is overdrawn.
var quotaBounds = &definition{
	about:        "instances that do not hear the counter: what each passes on beside what it stated before, and the overrun",
	cases:        quotaBoundCases,
	instances:    []int{3},
	withBaseline: true,
	run:          runQuotaBounds,
	table:        quotaBoundsTable,
}

var quotaBoundCases = []string{
	"no fault", "nobody hears", "one does not hear", "all but one", "never heard", "peers cut", "one hears nothing", "one restarts, nobody hears",
	"one stops, nobody hears", "all restart, nobody hears", "clocks off, one deaf",
}

const (
	disconnectAt       = 4 * time.Second
	disconnectDuration = 8 * time.Second
	rejoinDuration     = 5 * time.Second
	boundLead          = 40 * time.Millisecond
	// usualOverrun is by how much of its ceiling's store a channel may be overdrawn where nothing fails: the platform's slack.
	normalOverrun = 0.1
	inFlightUnits = 6.0 // units of sends that were under way when it was stated
)

// deaf are the instances of a case that do not hear the counter.
func disconnectedInstances(name string, instances int) (out []int) {
	for i := range instances {
		if strings.HasSuffix(name, "nobody hears") || name == "never heard" || (name == "one does not hear" || name == "one hears nothing" || name == "clocks off, one deaf") && i == 0 || name == "all but one" && i > 0 {
			out = append(out, i)
		}
	}
	return out
}

func runQuotaBounds(ctx context.Context, c Cell, program string) (Result, error) {
	r := Result{Metrics: map[string]float64{}}
	list, span := disconnectedInstances(c.Case, c.Instances), disconnectDuration
	var faults []string
	cutAt := disconnectAt
	if c.Case == "never heard" {
		cutAt = 0
	}
	for _, i := range list {
		faults = append(faults, fmt.Sprintf("link/%d|counter:cut %v at %v", i, disconnectAt+disconnectDuration-cutAt, cutAt))
	}
	lost := map[int]bool{} // instances that start anew: they have stated nothing
	span1 := fmt.Sprintf("%v at %v", disconnectDuration, disconnectAt)
	switch c.Case {
	case "peers cut":
		faults = append(faults, "link/0|1,2:cut "+span1)
	case "one hears nothing":
		faults = append(faults, "link/0|1,2:cut "+span1)
	case "one restarts, nobody hears":
		faults, lost[0] = append(faults, fmt.Sprintf("ingress/0:restart 300ms at %v", disconnectAt+2*time.Second)), true
	case "one stops, nobody hears":
		faults = append(faults, fmt.Sprintf("ingress/0:pause 3s at %v", disconnectAt+2*time.Second))
	case "all restart, nobody hears":
		for i := range c.Instances {
			faults, lost[i] = append(faults, fmt.Sprintf("ingress/%d:restart 300ms at %v", i, disconnectAt+time.Duration(1+i)*time.Second)), true
		}
	}
	var mu sync.Mutex
	stated, modes := map[int]map[string]overrun.Bound{}, map[overrun.Mode]int{}
	statedAt := map[int]time.Duration{}
	cfg := lab.Config{
		Scenario: "calm", Seed: c.Seed, For: disconnectAt + disconnectDuration + rejoinDuration, Ingresses: c.Instances, Backends: 24, Hot: 5, Ingress: program, Tolerance: tolerance, Linked: true, Peers: true, Escrow: c.On,
		Faults: faults,
	}
	if c.Case == "clocks off, one deaf" {
		cfg.Options = map[int]string{1: "[clock]\nahead = \"3s\"\n", 2: "[clock]\nrate = 1.08\n"}
	}
	cfg.Watch = func(ctx context.Context, w *lab.Testbed) {
		for t := 500 * time.Millisecond; ; t += 500 * time.Millisecond {
			at := t
			if t == disconnectAt { // what is stated is to be of before
				at -= boundLead
			}
			if !w.WaitUntil(ctx, at) {
				return
			}
			for i := range w.Instances() {
				s, err := w.QuotaBounds(ctx, i, span)
				if err != nil {
					continue
				}
				mu.Lock()
				for _, x := range s {
					if x.Plan == "storby" {
						modes[x.Mode]++
					}
				}
				if t == disconnectAt {
					stated[i], statedAt[i] = map[string]overrun.Bound{}, w.Now()
					for _, x := range s {
						stated[i][x.Tenant] = x
					}
				}
				mu.Unlock()
			}
		}
	}
	rep, err := lab.Run(ctx, cfg)
	if err != nil {
		return r, err
	}
	r.addReport(rep)
	r.Violations = slices.DeleteFunc(r.Violations, func(b string) bool { return len(b) > len(lab.Quotas) && b[:len(lab.Quotas)] == lab.Quotas }) // the figure is the trial's
	for _, i := range list {
		for customer, s := range stated[i] {
			if lost[i] {
				continue
			}
			if s.Mode == overrun.PerRequest || s.Plan != "storby" { // others may be passed on beyond their quota on purpose
				continue
			}
			from, passed := statedAt[i], 0.0
			for _, p := range rep.Passes {
				if p.Instance == i && p.Tenant == customer && p.ArrivedAt >= from && p.ArrivedAt < from+span {
					passed += p.Units
				}
			}
			r.Metrics["passed"] += passed
			r.Metrics["stated"] += s.MaxSpend
			r.Metrics["tightest"] = max(r.Metrics["tightest"], passed/max(1, s.MaxSpend))
			if passed > s.MaxSpend+inFlightUnits {
				r.Violations = append(r.Violations, fmt.Sprintf("n%d passed on %.1f units of %s in %v, and had stated %.1f (%v)", i, passed, customer, span, s.MaxSpend, s.Mode))
			}
		}
	}
	for _, x := range rep.Channels {
		if x.Plan != "storby" {
			continue
		}
		r.Metrics["overdrawn"] = max(r.Metrics["overdrawn"], 100*x.OfCeiling)
		bound, all := 0.0, len(list) > 0
		for _, i := range list {
			s, has := stated[i][x.Tenant]
			bound, all = bound+s.Overrun, all && has && !lost[i]
		}
		if x.OfCeiling <= 0 || !all {
			continue
		}
		store := x.Overrun / x.OfCeiling
		r.Metrics["bound"] = max(r.Metrics["bound"], 100*bound/store)
		if bound += normalOverrun * store; x.Overrun > bound+inFlightUnits*float64(len(list)) {
			r.Violations = append(r.Violations, fmt.Sprintf("%s is overdrawn by %.1f units, and %.1f were stated", x.Tenant, x.Overrun, bound))
		}
	}
	r.Metrics["service"] = rep.Service
	clips, inTime := 0, 0
	for _, row := range rep.Rows {
		if row.Class == "clip-publish" {
			clips, inTime = clips+row.Requests, inTime+row.InTime
		}
	}
	r.Metrics["clips"] = float64(inTime) / float64(max(1, clips))
	r.Metrics["looks_alone"], r.Metrics["looks"] = float64(modes[overrun.Disconnected]+modes[overrun.NeverHeard]), float64(modes[overrun.Normal]+modes[overrun.Late]+modes[overrun.Disconnected]+modes[overrun.NeverHeard])
	if len(list) > 0 && r.Metrics["looks_alone"] == 0 {
		r.Violations = append(r.Violations, "no instance said that it was alone")
	}
	if len(list) == 0 && modes[overrun.Disconnected] > 0 {
		r.Violations = append(r.Violations, "an instance said that it was alone, and nothing had happened")
	}
	return r, nil
}

func quotaBoundsTable(out io.Writer, all []Result) {
	fmt.Fprintf(out, "\n%-26s  %-6s  %-7s  %-8s  %-22s  %-16s  %-36s  %s\n", "case", "rights", "service", "clips", "passed on, stated", "tightest, worst", "overdrawn, % of the ceiling's store", "stated, % of it")
	for _, name := range quotaBoundCases {
		for _, on := range []bool{false, true} {
			is := func(r Result) bool { return r.Case == name && r.On == on }
			if len(metricValues(all, "service", is)) == 0 {
				continue
			}
			over := metricValues(all, "overdrawn", is)
			fmt.Fprintf(out, "%-26s  %-6v  %.3f    %.3f     %8.0f, %8.0f    %.2f              %.1f mean, %.1f worst                %.0f\n", name, on, mean(metricValues(all, "service", is)), mean(metricValues(all, "clips", is)),
				mean(metricValues(all, "passed", is)), mean(metricValues(all, "stated", is)), quantile(metricValues(all, "tightest", is), 1), mean(over), quantile(over, 1), mean(metricValues(all, "bound", is)))
		}
	}
}
