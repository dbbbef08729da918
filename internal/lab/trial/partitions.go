package trial

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"hitchspring/internal/lab"
)

// partitions is instances parted from one another, with the counter reachable and not: service beside that of the same load and cut
// without peers, and how soon after the healing all hold the same.
var partitions = &definition{
	about:        "instances parted from one another: service in each part against the program without peers, and convergence",
	cases:        partitionCases,
	instances:    []int{6},
	withBaseline: true,
	run:          runPartitions,
	table:        partitionsTable,
}

var partitionCases = []string{"3|3", "1|5", "one-way", "ring", "flap", "3|3" + withoutCounter, "1|5" + withoutCounter, "one-way" + withoutCounter, "ring" + withoutCounter, "flap" + withoutCounter, "one hears nothing"}

const withoutCounter = ", no counter"

const (
	partitionAt       = 2 * time.Second
	partitionDuration = 5 * time.Second
	maxConvergence    = 6 * time.Second // after the cut's end, in which all must agree again
)

// cuts are the link faults of a case.
func partitionFaults(name string) (out []string) {
	at := fmt.Sprintf(" %v at %v", partitionDuration, partitionAt)
	name, silent := strings.CutSuffix(name, withoutCounter)
	switch name {
	case "3|3":
		out = []string{"link/0,1,2|3,4,5:cut" + at}
	case "one hears nothing": // but clients and nodes
		out = []string{"link/0|1,2,3,4,5:cut" + at, "link/0|counter:cut" + at, "link/0|discovery:cut" + at}
	case "1|5":
		out = []string{"link/0|1,2,3,4,5:cut" + at}
	case "one-way":
		out = []string{"link/0,1,2>3,4,5:cut" + at}
	case "ring": // each hears its two neighbours alone
		for i := range 6 {
			out = append(out, fmt.Sprintf("link/%d|%d,%d:cut%s", i, (i+2)%6, (i+3)%6, at))
		}
	case "flap":
		out = []string{"link/0,1,2|3,4,5:flap 300ms" + at}
	}
	if silent {
		out = append(out, "link/0,1,2,3,4,5|counter:cut"+at)
	}
	return out
}

func runPartitions(ctx context.Context, c Cell, program string) (Result, error) {
	r := Result{Metrics: map[string]float64{}}
	faults := partitionFaults(c.Case)
	k := slowBackendIndex(c.Seed)
	faults = append(faults, fmt.Sprintf("node/%d:slow %d 3s at %v", k, slowdown, partitionAt+500*time.Millisecond)) // something to differ about
	if !c.On {                                                                                                      // there are no links between them
		faults = slices.DeleteFunc(faults, func(f string) bool {
			return strings.HasPrefix(f, "link/") && !strings.Contains(f, "counter") && !strings.Contains(f, "discovery")
		})
	}
	cfg := lab.Config{
		Scenario: "calm", Seed: c.Seed, For: partitionAt + partitionDuration + maxConvergence + time.Second, Ingresses: c.Instances, Backends: 12, Ingress: program, Tolerance: tolerance,
		Linked: true, Peers: c.On, Faults: faults,
	}
	healed := -1.0
	if c.On {
		cfg.Watch = func(ctx context.Context, w *lab.Testbed) {
			end := partitionAt + partitionDuration
			for at := end; at < end+maxConvergence && w.WaitUntil(ctx, at); at += 50 * time.Millisecond {
				if membersAgree(ctx, w) {
					if healed < 0 {
						healed = (at - end).Seconds()
					}
				} else {
					healed = -1
				}
			}
		}
	}
	rep, err := lab.Run(ctx, cfg)
	if err != nil {
		return r, err
	}
	r.addReport(rep)
	r.Violations = slices.DeleteFunc(r.Violations, func(b string) bool {
		return strings.HasPrefix(b, lab.Quotas) && strings.HasSuffix(c.Case, withoutCounter)
	}) // see trial budgets
	r.Metrics["service"] = rep.Service
	if c.On {
		if healed < 0 {
			r.Violations = append(r.Violations, fmt.Sprintf("the members do not agree %v after the cut's end", maxConvergence))
		}
		r.Metrics["healed_s"] = healed
	}
	return r, nil
}

// agree says whether all instances hold all others to be there.
func membersAgree(ctx context.Context, w *lab.Testbed) bool {
	for i := range w.Instances() {
		s, err := w.Peers(ctx, i)
		if err != nil || s.Alive != w.Instances()-1 {
			return false
		}
		for _, m := range s.Members {
			if m.State != "alive" {
				return false
			}
		}
	}
	return true
}

func partitionsTable(out io.Writer, all []Result) {
	fmt.Fprintf(out, "\n%-20s  %-12s  %-12s  %-6s  %-20s\n", "case", "service off", "service on", "ratio", "agreed after, s (worst)")
	for _, name := range partitionCases {
		is := func(on bool) func(Result) bool {
			return func(r Result) bool { return r.Case == name && r.On == on }
		}
		off, on, healed := metricValues(all, "service", is(false)), metricValues(all, "service", is(true)), metricValues(all, "healed_s", is(true))
		ratio := 0.0
		if mean(off) > 0 {
			ratio = mean(on) / mean(off)
		}
		fmt.Fprintf(out, "%-20s  %.3f         %.3f         %.3f   %.2f (%.2f)\n", name, mean(off), mean(on), ratio, mean(healed), quantile(healed, 1))
	}
}
