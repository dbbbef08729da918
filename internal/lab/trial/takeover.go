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

// takeover loses instances that have keyed work in flight, and counts what became of it, by what clients and
// backends saw.
var takeover = &definition{
	about: "instances lost with keyed work in hand: effects, answers and who asks again, " +
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
	// slowdownAtLoss slows the backends around the loss, so that there is work in flight.
	slowdownAtLoss = 5
	// maxWorkAge is how long before the loss work may have begun that counts as in flight.
	maxWorkAge = 2 * time.Second
	// minTimeLeft is how long after the loss the client of such work must still wait.
	minTimeLeft = 1500 * time.Millisecond
)

// lossFaults returns the faults of a case.
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
	case "false deaths": // two instances are believed dead for a while, and serve again
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

// takeoverCounts counts the keyed work that was in flight at the loss.
type takeoverCounts struct {
	inFlight            int // at lost instances
	withEffect          int // of inFlight
	retried             int // of inFlight: its client sent it again, to an instance that was there
	answered            int // of retried
	elsewhere           int // at the other instances, for comparison
	elsewhereWithEffect int
	// lastHelped is the longest time from the loss to the first attempt by another instance; 0 without one.
	lastHelped time.Duration
}

// addKeyedWork records what became of all keyed work, and of that in flight at the loss.
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
			counts.addLost(work, lostAt)
		} else {
			counts.addElsewhere(work)
		}
	}
	r.Metrics["keyed"] = float64(len(report.KeyedRequests))
	r.Metrics["in_hand"] = float64(counts.inFlight)
	r.Metrics["done"] = float64(counts.withEffect)
	r.Metrics["again"] = float64(counts.retried)
	r.Metrics["answered"] = float64(counts.answered)
	r.Metrics["beside"] = float64(counts.elsewhere)
	r.Metrics["beside_done"] = float64(counts.elsewhereWithEffect)
	if counts.lastHelped > 0 {
		r.Metrics["helped_s"] = counts.lastHelped.Seconds()
	}
}

// inFlightAt reports whether a client was waiting for the work at the loss and still had time left.
func inFlightAt(work *lab.ClientRequest, lostAt time.Duration) bool {
	if work.FirstSentAt > lostAt || work.FirstSentAt < lostAt-maxWorkAge {
		return false
	}
	if work.FirstSentAt+work.ClientTimeout < lostAt+minTimeLeft {
		return false
	}
	return work.FirstAnsweredAt <= 0 || work.FirstAnsweredAt >= lostAt
}

// isLostInstance reports whether a case loses the instance of that name.
func isLostInstance(name, instance string) bool {
	return instance == "n0" || name == "two killed" && instance == "n1"
}

func (t *takeoverCounts) addElsewhere(work *lab.ClientRequest) {
	t.elsewhere++
	if work.Effects > 0 {
		t.elsewhereWithEffect++
	}
}

func (t *takeoverCounts) addLost(work *lab.ClientRequest, lostAt time.Duration) {
	if !work.FirstUnanswered { // an instance that was cut off or stopped has answered after all
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
		t.lastHelped = max(t.lastHelped, work.OtherInstanceAt-lostAt)
	}
}

func takeoverTable(out io.Writer, all []Result) {
	fmt.Fprintf(out, "\n%-11s %-4s  %-7s  %-7s  %-8s  %-13s  %-18s  %-16s  %-24s  %-8s\n",
		"case", "on", "keyed", "doubled", "in hand", "with effect",
		"beside, with effect", "asked again", "answered of those", "helped after, s (worst)")
	for _, name := range takeoverCases {
		for _, on := range []bool{false, true} {
			sum := func(metric string) (total float64) {
				for _, v := range metricValues(all, metric, ofCase(name, on)) {
					total += v
				}
				return total
			}
			helped := metricValues(all, "helped_s", ofCase(name, on))
			fmt.Fprintf(out, "%-11s %-5v %6.0f  %8.0f  %8.0f  %11.0f  "+
				"%8.0f, %8.0f  %13.0f  %15.0f           %.2f (%.2f)\n",
				name, on, sum("keyed"), sum("doubled"), sum("in_hand"), sum("done"),
				sum("beside"), sum("beside_done"), sum("again"), sum("answered"),
				mean(helped), quantile(helped, 1))
		}
	}
}
