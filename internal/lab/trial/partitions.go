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
var partitions = &kind{
	about:     "instances parted from one another: service in each part against the program without peers, and convergence",
	cases:     cutCases,
	instances: []int{6},
	offToo:    true,
	play:      playPartitions,
	table:     tablePartitions,
}

var cutCases = []string{"3|3", "1|5", "one-way", "ring", "flap", "3|3" + noCounter, "1|5" + noCounter, "one-way" + noCounter, "ring" + noCounter, "flap" + noCounter, "one hears nothing"}

const noCounter = ", no counter"

const (
	cutFrom  = 2 * time.Second
	cutFor   = 5 * time.Second
	healMost = 6 * time.Second // after the cut's end, in which all must agree again
)

// cuts are the link faults of a case.
func cuts(name string) (out []string) {
	at := fmt.Sprintf(" %v at %v", cutFor, cutFrom)
	name, silent := strings.CutSuffix(name, noCounter)
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

func playPartitions(ctx context.Context, c Cell, program string) (Result, error) {
	r := Result{Metrics: map[string]float64{}}
	faults := cuts(c.Case)
	k := crawler(c.Seed)
	faults = append(faults, fmt.Sprintf("node/%d:slow %d 3s at %v", k, crawlTimes, cutFrom+500*time.Millisecond)) // something to differ about
	if !c.On {                                                                                                    // there are no links between them
		faults = slices.DeleteFunc(faults, func(f string) bool {
			return strings.HasPrefix(f, "link/") && !strings.Contains(f, "counter") && !strings.Contains(f, "discovery")
		})
	}
	cfg := lab.Config{
		Scenario: "calm", Seed: c.Seed, For: cutFrom + cutFor + healMost + time.Second, Ingresses: c.Instances, Backends: 12, Ingress: program, Tolerance: tolerance,
		Linked: true, Peers: c.On, Faults: faults,
	}
	healed := -1.0
	if c.On {
		cfg.Watch = func(ctx context.Context, w *lab.Testbed) {
			end := cutFrom + cutFor
			for at := end; at < end+healMost && w.WaitUntil(ctx, at); at += 50 * time.Millisecond {
				if agree(ctx, w) {
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
	r.verdict(rep)
	r.Violations = slices.DeleteFunc(r.Violations, func(b string) bool { return strings.HasPrefix(b, lab.Quotas) && strings.HasSuffix(c.Case, noCounter) }) // see trial budgets
	r.Metrics["service"] = rep.Service
	if c.On {
		if healed < 0 {
			r.Violations = append(r.Violations, fmt.Sprintf("the members do not agree %v after the cut's end", healMost))
		}
		r.Metrics["healed_s"] = healed
	}
	return r, nil
}

// agree says whether all instances hold all others to be there.
func agree(ctx context.Context, w *lab.Testbed) bool {
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

func tablePartitions(out io.Writer, all []Result) {
	fmt.Fprintf(out, "\n%-20s  %-12s  %-12s  %-6s  %-20s\n", "case", "service off", "service on", "ratio", "agreed after, s (worst)")
	for _, name := range cutCases {
		is := func(on bool) func(Result) bool {
			return func(r Result) bool { return r.Case == name && r.On == on }
		}
		off, on, healed := pick(all, "service", is(false)), pick(all, "service", is(true)), pick(all, "healed_s", is(true))
		ratio := 0.0
		if mean(off) > 0 {
			ratio = mean(on) / mean(off)
		}
		fmt.Fprintf(out, "%-20s  %.3f         %.3f         %.3f   %.2f (%.2f)\n", name, mean(off), mean(on), ratio, mean(healed), quantile(healed, 1))
	}
}
