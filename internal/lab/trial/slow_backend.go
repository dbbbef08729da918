package trial

import (
	"context"
	"fmt"
	"image/color"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"hitchspring/internal/lab"
)

// slowBackend slows one backend down and restarts an instance meanwhile. It counts late answers, and compares
// how much of its traffic the restarted instance sends to the slow backend with what the others send.
var slowBackend = &definition{
	about: "a node crawls at an eighth: how many answers come too late before all have left it, " +
		"and what a starter knows",
	cases:        []string{"crawl"},
	instances:    []int{3, 6, 12},
	withBaseline: true,
	run:          runSlowBackend,
	table:        slowBackendTable,
	chart:        slowBackendChart,
}

const (
	slowdown     = 8 // times the usual service time
	slowAt       = 4 * time.Second
	slowDuration = 12 * time.Second
	// lateAnswerWindow is how long after slowAt late answers are counted.
	lateAnswerWindow = 7 * time.Second
	// restartAfterSlow is when instance 0 is restarted, counted from slowAt.
	restartAfterSlow = 6 * time.Second
	restartDuration  = 300 * time.Millisecond
	// restartedWindow is how long after the restart the traffic of the instances is compared.
	restartedWindow = 2 * time.Second
	// minReportedSlowness is the slowness by gossip alone from which a healthy backend counts as avoided.
	minReportedSlowness = 3
)

// slowBackendIndex chooses the backend that is slow by the seed, among those of the usual kind.
func slowBackendIndex(seed uint64) int { return int(seed*7) % 12 / 3 * 3 }

// falseReports collects the healthy backends that an instance avoids because of its peers' reports.
type falseReports struct {
	slow string // name of the backend that is slow

	mu    sync.Mutex // guards found
	found map[string]bool
}

// watch inspects all instances until the run ends.
func (f *falseReports) watch(ctx context.Context, testbed *lab.Testbed) {
	for at := time.Second; testbed.WaitUntil(ctx, at); at += 250 * time.Millisecond {
		for i := range testbed.Instances() {
			f.inspect(ctx, testbed, i)
		}
	}
}

func (f *falseReports) inspect(ctx context.Context, testbed *lab.Testbed, instance int) {
	status, err := testbed.Backends(ctx, instance)
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range status.Backends {
		if string(b.Backend) != f.slow && b.PeerSlowness >= minReportedSlowness {
			f.found[fmt.Sprintf("n%d left healthy %s for the word of %s (%.1f times)",
				instance, b.Backend, strings.Join(b.Reporters, ","), b.PeerSlowness)] = true
		}
	}
}

func runSlowBackend(ctx context.Context, c Cell, program string) (Result, error) {
	index := slowBackendIndex(c.Seed)
	reports := &falseReports{slow: fmt.Sprintf("node-%02d", index), found: map[string]bool{}}
	r := Result{Metrics: map[string]float64{}}
	cfg := lab.Config{
		Scenario:  "calm",
		Seed:      c.Seed,
		For:       slowAt + slowDuration + time.Second,
		Ingresses: c.Instances,
		Backends:  12,
		Ingress:   program,
		Tolerance: tolerance,
		Linked:    true,
		Peers:     c.On,
		Faults: []string{
			fmt.Sprintf("node/%d:slow %d %v at %v", index, slowdown, slowDuration, slowAt),
			fmt.Sprintf("ingress/0:restart %v at %v", restartDuration, slowAt+restartAfterSlow),
		},
	}
	if c.On {
		cfg.Watch = reports.watch
	}
	report, err := lab.Run(ctx, cfg)
	if err != nil {
		return r, err
	}
	r.addReport(report)
	for violation := range reports.found {
		r.Violations = append(r.Violations, violation)
	}
	r.countLateAnswers(report, reports.slow)
	r.compareRestarted(report, reports.slow)
	r.Metrics["service"] = report.Service
	r.Metrics["cpu_us"] = report.CPUPerRequestUS
	return r, nil
}

// slowSince returns when the backend became slow, on the clock of the report's times.
func slowSince(report *lab.Report) time.Duration {
	return time.Duration(report.LoadStartS*float64(time.Second)) + slowAt
}

// countLateAnswers counts the commands that reached the slow backend within lateAnswerWindow, and the late ones
// of them.
func (r *Result) countLateAnswers(report *lab.Report, slow string) {
	from := slowSince(report)
	sent, late := 0, 0
	for _, command := range report.Commands {
		if command.Backend != slow || command.ArrivedAt < from || command.ArrivedAt >= from+lateAnswerWindow {
			continue
		}
		sent++
		if command.Late {
			late++
		}
	}
	r.Metrics["late"] = float64(late)
	r.Metrics["sent"] = float64(sent)
}

// compareRestarted computes which fraction of their commands the restarted instance and the others sent to the
// slow backend, within restartedWindow after the restart.
func (r *Result) compareRestarted(report *lab.Report, slow string) {
	from := slowSince(report) + restartAfterSlow + restartDuration
	var restarted, others struct{ toSlow, all float64 }
	for _, command := range report.Commands {
		if command.ArrivedAt < from || command.ArrivedAt >= from+restartedWindow {
			continue
		}
		group := &others
		if command.Instance == 0 {
			group = &restarted
		}
		group.all++
		if command.Backend == slow {
			group.toSlow++
		}
	}
	if restarted.all > 0 && others.all > 0 {
		r.Metrics["starter_share"] = restarted.toSlow / restarted.all
		r.Metrics["others_share"] = others.toSlow / others.all
	}
}

func slowBackendTable(out io.Writer, all []Result) {
	fmt.Fprintf(out, "\n%-9s  %-21s  %-21s  %-6s  %-17s  %-22s  %-22s\n",
		"instances", "late answers off (p90)", "on (p90)", "ratio",
		"service off, on", "starter's share off, on", "others' share off, on")
	sizes := map[int]bool{}
	for _, r := range all {
		sizes[r.Instances] = true
	}
	for _, size := range slices.Sorted(maps.Keys(sizes)) {
		values := func(metric string, on bool) []float64 {
			return metricValues(all, metric, func(r Result) bool { return r.Instances == size && r.On == on })
		}
		off, on := values("late", false), values("late", true)
		fmt.Fprintf(out, "%9d  %8.1f (%.0f)           %8.1f (%.0f)           %6.2f  "+
			"%.3f, %.3f      %.4f, %.4f          %.4f, %.4f\n",
			size, mean(off), quantile(off, 0.9), mean(on), quantile(on, 0.9), ratio(mean(on), mean(off)),
			mean(values("service", false)), mean(values("service", true)),
			mean(values("starter_share", false)), mean(values("starter_share", true)),
			mean(values("others_share", false)), mean(values("others_share", true)))
	}
}

// offOnColours are the colours of runs with the tried feature off and on.
var offOnColours = []color.Color{color.RGBA{R: 200, G: 60, B: 40, A: 255}, color.RGBA{R: 30, G: 90, B: 180, A: 255}}

func slowBackendChart(file string, all []Result) error {
	p := plot.New()
	p.Title.Text = "Late answers of a node at an eighth of its speed, in 7 s"
	p.X.Label.Text, p.Y.Label.Text = "instances", "late answers, all instances"
	p.Legend.Top = true
	for i, on := range []bool{false, true} {
		var points plotter.XYs
		for _, r := range all {
			if r.On == on {
				x := float64(r.Instances) + 0.15*float64(2*i-1) // side by side
				points = append(points, plotter.XY{X: x, Y: r.Metrics["late"]})
			}
		}
		if len(points) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		scatter.Color = offOnColours[i]
		p.Add(scatter)
		p.Legend.Add([]string{"without peers", "with peers"}[i], scatter)
	}
	p.Y.Min = 0
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, file)
}
