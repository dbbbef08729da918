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

// takeover kills, pauses or isolates instances that have keyed work in flight. From the records of clients and
// backends it counts how that work ended.
var takeover = &definition{
	description: "instances lost with keyed work in hand: effects, answers and who asks again, " +
		"with [takeover] off and on",
	cases:        takeoverCases,
	instances:    []int{6},
	withBaseline: true,
	run:          runTakeover,
	table:        takeoverTable,
}

var takeoverCases = []string{"killed", "stopped", "two killed", "cut off", "lossy", "false deaths"}

const (
	lossAt           = 4 * time.Second
	takeoverDuration = 10 * time.Second
	// slowdownAtLoss is the factor on the service time around the loss, which ensures that work is in flight.
	slowdownAtLoss = 5
	// maxWorkAge is the maximum age, at the loss, of work that counts as in flight.
	maxWorkAge = 2 * time.Second
	// minClientTimeLeft is the minimum time that the client of such work still waits after the loss.
	minClientTimeLeft = 1500 * time.Millisecond
)

// lossFaults returns the faults of the named case.
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
	case "false deaths": // pauses that make peers declare two live instances dead, before the loss
		return []string{"ingress/1:pause 1700ms at 1s", "ingress/2:pause 1700ms at 1500ms", "ingress/0:kill" + at}
	}
	return []string{
		"ingress/0:kill" + at,
		"link/1,2,3,4,5>1,2,3,4,5:drop 0.1 4s at 3s",
		"link/1,2,3,4,5>1,2,3,4,5:repeat 0.2 4s at 3s",
		"link/1,2,3,4,5>1,2,3,4,5:jitter 20ms 4s at 3s",
	}
}

func runTakeover(ctx context.Context, c Cell, program string) (Result, error) {
	r := Result{Metrics: map[string]float64{}}
	faults := append(lossFaults(c.Case), fmt.Sprintf("fleet:slow %d 2s at %v", slowdownAtLoss, lossAt-time.Second))
	if !c.On { // instances without peers have no links between them
		faults = slices.DeleteFunc(faults, func(f string) bool { return strings.HasPrefix(f, "link/") })
	}
	report, err := lab.Run(ctx, lab.Config{
		Scenario:  "calm",
		Seed:      c.Seed,
		For:       takeoverDuration,
		Ingresses: c.Instances,
		Backends:  12,
		Ingress:   program,
		Tolerance: tolerance,
		Linked:    true,
		ReuseKey:  true,
		Peers:     c.On,
		Takeover:  c.On,
		Faults:    faults,
	})
	if err != nil {
		return r, err
	}
	r.addReport(report)
	r.addKeyedWork(c, report)
	if c.On {
		r.Violations = append(r.Violations, lab.CheckHistory(report.History)...)
	}
	r.Metrics["service"] = report.Service
	return r, nil
}

// takeoverCounts counts the keyed work that was in flight when instances were lost.
type takeoverCounts struct {
	inFlight              int // at lost instances, and not answered by them
	withEffect            int // of inFlight
	retried               int // of inFlight: its client retried it, and an instance answered
	answered              int // of retried
	onSurvivors           int // in flight at the other instances, for comparison
	onSurvivorsWithEffect int
	// maxTakeoverDelay is the longest time from the loss to the first attempt by another instance, or 0 if there was
	// none.
	maxTakeoverDelay time.Duration
}

// addKeyedWork records the outcome of the keyed work, in total and of that in flight at the loss.
func (r *Result) addKeyedWork(c Cell, report *lab.Report) {
	lostAt := time.Duration(report.LoadStartS*float64(time.Second)) + lossAt
	var counts takeoverCounts
	for i := range report.KeyedRequests {
		work := &report.KeyedRequests[i]
		if work.Effects > 1 {
			r.Metrics["doubled"]++
		}
		if work.Values > 1 {
			r.violate("two answers for key %s", work.Key)
		}
		if !inFlightAt(work, lostAt) {
			continue
		}
		if isLostInstance(c.Case, work.Instance) {
			counts.addOnLost(work, lostAt)
		} else {
			counts.addOnSurvivor(work)
		}
	}
	r.Metrics["keyed"] = float64(len(report.KeyedRequests))
	r.Metrics["in_hand"] = float64(counts.inFlight)
	r.Metrics["done"] = float64(counts.withEffect)
	r.Metrics["again"] = float64(counts.retried)
	r.Metrics["answered"] = float64(counts.answered)
	r.Metrics["beside"] = float64(counts.onSurvivors)
	r.Metrics["beside_done"] = float64(counts.onSurvivorsWithEffect)
	if counts.maxTakeoverDelay > 0 {
		r.Metrics["helped_s"] = counts.maxTakeoverDelay.Seconds()
	}
}

// inFlightAt reports whether a client was waiting for the work at the loss, with at least minClientTimeLeft to go.
func inFlightAt(work *lab.ClientRequest, lostAt time.Duration) bool {
	if work.FirstSentAt > lostAt || work.FirstSentAt < lostAt-maxWorkAge {
		return false
	}
	if work.FirstSentAt+work.ClientTimeout < lostAt+minClientTimeLeft {
		return false
	}
	return work.FirstAnsweredAt <= 0 || work.FirstAnsweredAt >= lostAt
}

// isLostInstance reports whether the named case loses the named instance.
func isLostInstance(name, instance string) bool {
	return instance == "n0" || name == "two killed" && instance == "n1"
}

func (t *takeoverCounts) addOnSurvivor(work *lab.ClientRequest) {
	t.onSurvivors++
	if work.Effects > 0 {
		t.onSurvivorsWithEffect++
	}
}

func (t *takeoverCounts) addOnLost(work *lab.ClientRequest, lostAt time.Duration) {
	if !work.FirstUnanswered { // a paused or isolated instance has answered it later
		return
	}
	t.inFlight++
	if work.Effects > 0 {
		t.withEffect++
	}
	if work.AnsweredRetries > 0 {
		t.retried++
		if work.Served {
			t.answered++
		}
	}
	if work.OtherInstanceAt > lostAt {
		t.maxTakeoverDelay = max(t.maxTakeoverDelay, work.OtherInstanceAt-lostAt)
	}
}

func takeoverTable(out io.Writer, results []Result) {
	fmt.Fprintf(out, "\n%-11s %-4s  %-7s  %-7s  %-8s  %-13s  %-18s  %-16s  %-24s  %-8s\n",
		"case", "on", "keyed", "doubled", "in hand", "with effect",
		"beside, with effect", "asked again", "answered of those", "helped after, s (worst)")
	for _, name := range takeoverCases {
		for _, on := range []bool{false, true} {
			sum := func(metric string) (total float64) {
				for _, v := range metricValues(results, metric, ofCase(name, on)) {
					total += v
				}
				return total
			}
			helped := metricValues(results, "helped_s", ofCase(name, on))
			fmt.Fprintf(out, "%-11s %-5v %6.0f  %8.0f  %8.0f  %11.0f  "+
				"%8.0f, %8.0f  %13.0f  %15.0f           %.2f (%.2f)\n",
				name, on, sum("keyed"), sum("doubled"), sum("in_hand"), sum("done"),
				sum("beside"), sum("beside_done"), sum("again"), sum("answered"),
				mean(helped), quantile(helped, 1))
		}
	}
}
