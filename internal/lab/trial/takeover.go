package trial

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"hitchspring/internal/lab"
)

// takeover is instances that are lost with keyed work in hand: what became of it, by what clients and nodes saw.
var takeover = &definition{
	about:        "instances lost with keyed work in hand: effects, answers and who asks again, with [takeover] off and on",
	cases:        takeoverCases,
	instances:    []int{6},
	withBaseline: true,
	run:          runTakeover,
	table:        takeoverTable,
}

var takeoverCases = []string{"killed", "stopped", "two killed", "cut off", "lossy"}

const (
	lossAt           = 4 * time.Second
	slowdownAtLoss   = 5 // the nodes' slowness around the loss, so that there is work in hand
	takeoverDuration = 10 * time.Second
)

// losses are the faults of a case.
func lossFaults(name string) []string {
	at := fmt.Sprintf(" at %v", lossAt)
	switch name {
	case "killed":
		return []string{"ingress/0:kill" + at}
	case "stopped":
		return []string{"ingress/0:pause 3s" + at}
	case "two killed":
		return []string{"ingress/0:kill" + at, "ingress/1:kill" + at}
	case "cut off":
		return []string{"link/0|1,2,3,4,5:cut 3s" + at}
	}
	return []string{"ingress/0:kill" + at, "link/1,2,3,4,5>1,2,3,4,5:drop 0.1 4s at 3s", "link/1,2,3,4,5>1,2,3,4,5:repeat 0.2 4s at 3s", "link/1,2,3,4,5>1,2,3,4,5:jitter 20ms 4s at 3s"}
}

func runTakeover(ctx context.Context, c Cell, program string) (Result, error) {
	r := Result{Metrics: map[string]float64{}}
	faults := append(lossFaults(c.Case), fmt.Sprintf("fleet:slow %d 2s at %v", slowdownAtLoss, lossAt-time.Second))
	if !c.On {
		faults = slices.DeleteFunc(faults, func(f string) bool { return f[:5] == "link/" }) // there are none between them
	}
	rep, err := lab.Run(ctx, lab.Config{
		Scenario: "calm", Seed: c.Seed, For: takeoverDuration, Ingresses: c.Instances, Backends: 12, Ingress: program, Tolerance: tolerance, Linked: true, SameKey: true,
		Peers: c.On, Takeover: c.On, Faults: faults,
	})
	if err != nil {
		return r, err
	}
	r.addReport(rep)
	at := time.Duration(rep.BeganS*float64(time.Second)) + lossAt
	inHand, done, again, answered := 0.0, 0.0, 0.0, 0.0
	beside, besideDone := 0.0, 0.0 // the same at the others, who were not lost: what could be done in time
	var took []float64
	for _, w := range rep.Keyed {
		if w.Effects > 1 {
			r.Metrics["doubled"]++
		}
		if w.Values > 1 {
			r.Violations = append(r.Violations, "two answers for key "+w.Key)
		}
		// in hand at the loss: its client waited then, and had time left
		if w.First > at || w.First < at-2*time.Second || w.First+w.Patience < at+1500*time.Millisecond || w.Answered > 0 && w.Answered < at {
			continue
		}
		if w.Instance != "n0" && (c.Case != "two killed" || w.Instance != "n1") {
			if beside++; w.Effects > 0 {
				besideDone++
			}
			continue
		}
		if !w.Lost { // one that was cut off or stopped has answered after all
			continue
		}
		inHand++
		if w.Effects > 0 {
			done++
		}
		if w.Again > 0 { // it came to one that is there
			again++
			if w.Served {
				answered++
			}
		}
		if w.Helped > at {
			took = append(took, (w.Helped - at).Seconds())
		}
	}
	if c.On {
		r.Violations = append(r.Violations, lab.CheckHistory(rep.History)...)
	}
	slices.Sort(took)
	r.Metrics["keyed"], r.Metrics["in_hand"], r.Metrics["done"], r.Metrics["again"], r.Metrics["answered"] = float64(len(rep.Keyed)), inHand, done, again, answered
	r.Metrics["beside"], r.Metrics["beside_done"] = beside, besideDone
	r.Metrics["service"] = rep.Service
	if len(took) > 0 {
		r.Metrics["helped_s"] = took[len(took)-1]
	}
	return r, nil
}

func takeoverTable(out io.Writer, all []Result) {
	fmt.Fprintf(out, "\n%-11s %-4s  %-7s  %-7s  %-8s  %-13s  %-18s  %-16s  %-24s  %-8s\n", "case", "on", "keyed", "doubled", "in hand", "with effect", "beside, with effect", "asked again", "answered of those", "helped after, s (worst)")
	for _, name := range takeoverCases {
		for _, on := range []bool{false, true} {
			sum := func(figure string) float64 {
				n := 0.0
				for _, v := range metricValues(all, figure, func(r Result) bool { return r.Case == name && r.On == on }) {
					n += v
				}
				return n
			}
			helped := metricValues(all, "helped_s", func(r Result) bool { return r.Case == name && r.On == on })
			fmt.Fprintf(out, "%-11s %-5v %6.0f  %8.0f  %8.0f  %11.0f  %8.0f, %8.0f  %13.0f  %15.0f           %.2f (%.2f)\n", name, on, sum("keyed"), sum("doubled"), sum("in_hand"), sum("done"), sum("beside"), sum("beside_done"), sum("again"), sum("answered"),
				mean(helped), quantile(helped, 1))
		}
	}
}
