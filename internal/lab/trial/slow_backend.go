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

// slowBackend slows one backend down and restarts an instance meanwhile. It counts the late answers, and compares
// the fraction of its traffic that the restarted instance sends to the slow backend with that of the others.
var slowBackend = &definition{
	description: "a node crawls at an eighth: how many answers come too late before all have left it, " +
		"and what a starter knows",
	cases:        []string{"crawl"},
	instances:    []int{3, 6, 12},
	withBaseline: true,
	run:          runSlowBackend,
	table:        slowBackendTable,
	chart:        slowBackendChart,
}

const (
	slowdown     = 8 // factor on the service time
	slowAt       = 4 * time.Second
	slowDuration = 12 * time.Second
	// lateAnswerWindow is the time after slowAt in which late answers are counted.
	lateAnswerWindow = 7 * time.Second
	// restartAfterSlow is the time from slowAt to the restart of instance 0.
	restartAfterSlow = 6 * time.Second
	restartDuration  = 300 * time.Millisecond
	// restartedWindow is the time after the restart in which the traffic of the instances is compared.
	restartedWindow = 2 * time.Second
	// minReportedSlowness is the slowness reported by peers at which a healthy backend counts as avoided.
	minReportedSlowness = 3
)

// slowBackendIndex derives the index of the slow backend from the seed. It chooses among the backends of the
// standard kind.
func slowBackendIndex(seed uint64) int { return int(seed*7) % 12 / 3 * 3 }

// falseReports collects violations of instances that avoid a healthy backend because of their peers' reports.
type falseReports struct {
	slow string // name of the slow backend

	mu         sync.Mutex // guards found
	violations map[string]bool
}

// watch polls all instances until the run ends.
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
			f.violations[fmt.Sprintf("n%d avoids the healthy %s because of reports by %s (%.1f times as slow)",
				instance, b.Backend, strings.Join(b.Reporters, ","), b.PeerSlowness)] = true
		}
	}
}

func runSlowBackend(ctx context.Context, c Cell, program string) (Result, error) {
	index := slowBackendIndex(c.Seed)
	reports := &falseReports{slow: fmt.Sprintf("node-%02d", index), violations: map[string]bool{}}
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
	for violation := range reports.violations {
		r.Violations = append(r.Violations, violation)
	}
	r.countLateAnswers(report, reports.slow)
	r.compareRestarted(report, reports.slow)
	r.Metrics["service"] = report.Service
	r.Metrics["cpu_us"] = report.CPUPerRequestUS
	return r, nil
}

// slowSince returns when the backend became slow, on the clock of the times in the report.
func slowSince(report *lab.Report) time.Duration {
	return time.Duration(report.LoadStartS*float64(time.Second)) + slowAt
}

// countLateAnswers counts the commands that reached the slow backend within lateAnswerWindow, and how many of them
// were answered late.
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

// compareRestarted computes the fraction of commands that went to the slow backend within restartedWindow, for the
// restarted instance and for all others.
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

func slowBackendTable(out io.Writer, results []Result) {
	fmt.Fprintf(out, "\n%-9s  %-21s  %-21s  %-6s  %-17s  %-22s  %-22s\n",
		"instances", "late answers off (p90)", "on (p90)", "ratio",
		"service off, on", "starter's share off, on", "others' share off, on")
	sizes := map[int]bool{}
	for _, r := range results {
		sizes[r.Instances] = true
	}
	for _, size := range slices.Sorted(maps.Keys(sizes)) {
		values := func(metric string, on bool) []float64 {
			return metricValues(results, metric, func(r Result) bool { return r.Instances == size && r.On == on })
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

// offOnColours are the chart colours of runs with the feature under trial off and on.
var offOnColours = []color.Color{color.RGBA{R: 200, G: 60, B: 40, A: 255}, color.RGBA{R: 30, G: 90, B: 180, A: 255}}

func slowBackendChart(file string, results []Result) error {
	p := plot.New()
	p.Title.Text = "Late answers of a node at an eighth of its speed, in 7 s"
	p.X.Label.Text, p.Y.Label.Text = "instances", "late answers, all instances"
	p.Legend.Top = true
	for i, on := range []bool{false, true} {
		var points plotter.XYs
		for _, r := range results {
			if r.On == on {
				x := float64(r.Instances) + 0.15*float64(2*i-1) // so that off and on do not overlap
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
