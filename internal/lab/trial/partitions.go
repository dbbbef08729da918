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

// partitions cuts the links between instances, with the counter reachable or not. It compares the service with
// that of instances without peers under the same load and faults, and measures how soon after the partition ends
// all instances agree on the membership.
var partitions = &definition{
	description: "instances parted from one another: service in each part against the program without peers, " +
		"and convergence",
	cases:        partitionCases,
	instances:    []int{6},
	withBaseline: true,
	run:          runPartitions,
	table:        partitionsTable,
}

// withoutCounter is the suffix of the cases in which all instances are also cut off from the counter.
const withoutCounter = ", no counter"

var partitionCases = []string{
	"3|3",
	"1|5",
	"one-way",
	"ring",
	"flap",
	"3|3" + withoutCounter,
	"1|5" + withoutCounter,
	"one-way" + withoutCounter,
	"ring" + withoutCounter,
	"flap" + withoutCounter,
	"one hears nothing",
}

const (
	partitionAt       = 2 * time.Second
	partitionDuration = 5 * time.Second
	// maxConvergence is how long after the partition's end the instances may take to agree on the membership.
	maxConvergence = 6 * time.Second
)

// partitionFaults returns the link faults of the named case.
func partitionFaults(name string) (out []string) {
	at := fmt.Sprintf(" %v at %v", partitionDuration, partitionAt)
	name, counterCut := strings.CutSuffix(name, withoutCounter)
	switch name {
	case "3|3":
		out = []string{"link/0,1,2|3,4,5:cut" + at}
	case "one hears nothing": // keeps only its links to clients and backends
		out = []string{"link/0|1,2,3,4,5:cut" + at, "link/0|counter:cut" + at, "link/0|discovery:cut" + at}
	case "1|5":
		out = []string{"link/0|1,2,3,4,5:cut" + at}
	case "one-way":
		out = []string{"link/0,1,2>3,4,5:cut" + at}
	case "ring": // each reaches only its two neighbours
		for i := range 6 {
			out = append(out, fmt.Sprintf("link/%d|%d,%d:cut%s", i, (i+2)%6, (i+3)%6, at))
		}
	case "flap":
		out = []string{"link/0,1,2|3,4,5:flap 300ms" + at}
	}
	if counterCut {
		out = append(out, "link/0,1,2,3,4,5|counter:cut"+at)
	}
	return out
}

func runPartitions(ctx context.Context, c Cell, program string) (Result, error) {
	r := Result{Metrics: map[string]float64{}}
	convergence := convergenceTimer{convergedAfterS: notConverged}
	cfg := lab.Config{
		Scenario:  "calm",
		Seed:      c.Seed,
		For:       partitionAt + partitionDuration + maxConvergence + time.Second,
		Ingresses: c.Instances,
		Backends:  12,
		Ingress:   program,
		Tolerance: tolerance,
		Linked:    true,
		Peers:     c.On,
		Faults:    partitionCellFaults(c),
	}
	if c.On {
		cfg.Watch = convergence.watch
	}
	report, err := lab.Run(ctx, cfg)
	if err != nil {
		return r, err
	}
	r.addReport(report)
	if strings.HasSuffix(c.Case, withoutCounter) {
		r.dropQuotaViolations() // without the counter an overrun is expected; the quotaBounds trial measures it
	}
	r.Metrics["service"] = report.Service
	if c.On {
		if convergence.convergedAfterS < 0 {
			r.violate("the members do not agree %v after the cut's end", maxConvergence)
		}
		r.Metrics["healed_s"] = convergence.convergedAfterS
	}
	return r, nil
}

// partitionCellFaults returns the faults of a run: those of its case, and a slow backend, about which the parts
// reach different assessments.
func partitionCellFaults(c Cell) []string {
	faults := append(partitionFaults(c.Case), fmt.Sprintf("node/%d:slow %d 3s at %v",
		slowBackendIndex(c.Seed), slowdown, partitionAt+500*time.Millisecond))
	if c.On {
		return faults
	}
	return slices.DeleteFunc(faults, func(f string) bool { // instances without peers have no links between them
		return strings.HasPrefix(f, "link/") && !strings.Contains(f, "counter") && !strings.Contains(f, "discovery")
	})
}

// notConverged is the value of convergenceTimer.convergedAfterS while the instances do not agree.
const notConverged = -1.0

// convergenceTimer measures how many seconds after the partition's end the instances agree on the membership. A
// later disagreement resets it.
type convergenceTimer struct{ convergedAfterS float64 }

// watch polls the instances until maxConvergence after the partition's end.
func (t *convergenceTimer) watch(ctx context.Context, testbed *lab.Testbed) {
	end := partitionAt + partitionDuration
	for at := end; at < end+maxConvergence && testbed.WaitUntil(ctx, at); at += 50 * time.Millisecond {
		switch {
		case !membersAgree(ctx, testbed):
			t.convergedAfterS = notConverged
		case t.convergedAfterS < 0:
			t.convergedAfterS = (at - end).Seconds()
		}
	}
}

// membersAgree reports whether every instance considers all others alive.
func membersAgree(ctx context.Context, testbed *lab.Testbed) bool {
	for i := range testbed.Instances() {
		status, err := testbed.Peers(ctx, i)
		if err != nil || status.Alive != testbed.Instances()-1 {
			return false
		}
		for _, member := range status.Members {
			if member.State != "alive" {
				return false
			}
		}
	}
	return true
}

func partitionsTable(out io.Writer, results []Result) {
	fmt.Fprintf(out, "\n%-20s  %-12s  %-12s  %-6s  %-20s\n",
		"case", "service off", "service on", "ratio", "agreed after, s (worst)")
	for _, name := range partitionCases {
		off := mean(metricValues(results, "service", ofCase(name, false)))
		on := mean(metricValues(results, "service", ofCase(name, true)))
		converged := metricValues(results, "healed_s", ofCase(name, true))
		fmt.Fprintf(out, "%-20s  %.3f         %.3f         %.3f   %.2f (%.2f)\n",
			name, off, on, ratio(on, off), mean(converged), quantile(converged, 1))
	}
}
