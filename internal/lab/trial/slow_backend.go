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

// judgements is a node that crawls at an eighth of its speed, and an instance that is restarted beside it.
var slowBackend = &definition{
	about:        "a node crawls at an eighth: how many answers come too late before all have left it, and what a starter knows",
	cases:        []string{"crawl"},
	instances:    []int{3, 6, 12},
	withBaseline: true,
	run:          runSlowBackend,
	table:        slowBackendTable,
	chart:        slowBackendChart,
}

const (
	slowAt           = 4 * time.Second
	slowDuration     = 12 * time.Second
	lateAnswerWindow = 7 * time.Second // after the crawl's begin, in which late answers are counted
	restartAfterSlow = 6 * time.Second // after the crawl's begin
	restartDuration  = 300 * time.Millisecond
	restartedWindow  = 2 * time.Second
	slowdown         = 8
	leftLoad         = 0.5
)

// crawler is the node that crawls: one of the usual kind, by the seed.
func slowBackendIndex(seed uint64) int { return int(seed*7) % 12 / 3 * 3 }

func runSlowBackend(ctx context.Context, c Cell, program string) (Result, error) {
	k := slowBackendIndex(c.Seed)
	name := fmt.Sprintf("node-%02d", k)
	r := Result{Metrics: map[string]float64{}}
	var mu sync.Mutex
	blamed := map[string]bool{} // healthy nodes that an instance leaves by others' word
	cfg := lab.Config{
		Scenario: "calm", Seed: c.Seed, For: slowAt + slowDuration + time.Second, Ingresses: c.Instances, Backends: 12, Ingress: program, Tolerance: tolerance,
		Linked: true, Peers: c.On, Faults: []string{
			fmt.Sprintf("node/%d:slow %d %v at %v", k, slowdown, slowDuration, slowAt),
			fmt.Sprintf("ingress/0:restart %v at %v", restartDuration, slowAt+restartAfterSlow),
		},
	}
	if c.On {
		cfg.Watch = func(ctx context.Context, w *lab.Testbed) {
			for at := time.Second; w.WaitUntil(ctx, at); at += 250 * time.Millisecond {
				for i := range w.Instances() {
					s, err := w.Backends(ctx, i)
					if err != nil {
						continue
					}
					for _, n := range s.Backends {
						if string(n.Backend) != name && n.PeerSlowness >= 3 {
							mu.Lock()
							blamed[fmt.Sprintf("n%d left healthy %s for the word of %s (%.1f times)", i, n.Backend, strings.Join(n.Reporters, ","), n.PeerSlowness)] = true
							mu.Unlock()
						}
					}
				}
			}
		}
	}
	rep, err := lab.Run(ctx, cfg)
	if err != nil {
		return r, err
	}
	r.addReport(rep)
	for b := range blamed {
		r.Violations = append(r.Violations, b)
	}
	began := time.Duration(rep.BeganS * float64(time.Second))
	from := began + slowAt
	late, sends := 0, 0
	starter, others, starterAll, othersAll := 0.0, 0.0, 0.0, 0.0
	back := from + restartAfterSlow + restartDuration
	for _, x := range rep.Commands {
		if x.Backend == name && x.ArrivedAt >= from && x.ArrivedAt < from+lateAnswerWindow {
			sends++
			if x.Late {
				late++
			}
		}
		if x.ArrivedAt >= back && x.ArrivedAt < back+restartedWindow {
			here := 0.0
			if x.Backend == name {
				here = 1
			}
			if x.Instance == 0 {
				starter, starterAll = starter+here, starterAll+1
			} else {
				others, othersAll = others+here, othersAll+1
			}
		}
	}
	r.Metrics["late"], r.Metrics["sent"] = float64(late), float64(sends)
	r.Metrics["service"] = rep.Service
	r.Metrics["cpu_us"] = rep.CPUPerRequestUS
	if starterAll > 0 && othersAll > 0 {
		r.Metrics["starter_share"], r.Metrics["others_share"] = starter/starterAll, others/othersAll
	}
	return r, nil
}

func slowBackendTable(out io.Writer, all []Result) {
	fmt.Fprintf(out, "\n%-9s  %-21s  %-21s  %-6s  %-17s  %-22s  %-22s\n", "instances", "late answers off (p90)", "on (p90)", "ratio", "service off, on", "starter's share off, on", "others' share off, on")
	sizes := map[int]bool{}
	for _, r := range all {
		sizes[r.Instances] = true
	}
	for _, n := range slices.Sorted(maps.Keys(sizes)) {
		is := func(on bool) func(Result) bool {
			return func(r Result) bool { return r.Instances == n && r.On == on }
		}
		off, on := metricValues(all, "late", is(false)), metricValues(all, "late", is(true))
		ratio := 0.0
		if mean(off) > 0 {
			ratio = mean(on) / mean(off)
		}
		fmt.Fprintf(out, "%9d  %8.1f (%.0f)           %8.1f (%.0f)           %6.2f  %.3f, %.3f      %.4f, %.4f          %.4f, %.4f\n", n, mean(off), quantile(off, 0.9), mean(on), quantile(on, 0.9), ratio,
			mean(metricValues(all, "service", is(false))), mean(metricValues(all, "service", is(true))), mean(metricValues(all, "starter_share", is(false))), mean(metricValues(all, "starter_share", is(true))),
			mean(metricValues(all, "others_share", is(false))), mean(metricValues(all, "others_share", is(true))))
	}
}

func slowBackendChart(file string, all []Result) error {
	p := plot.New()
	p.Title.Text = "Late answers of a node at an eighth of its speed, in 7 s"
	p.X.Label.Text, p.Y.Label.Text = "instances", "late answers, all instances"
	p.Legend.Top = true
	for i, on := range []bool{false, true} {
		var xy plotter.XYs
		for _, r := range all {
			if r.On == on {
				xy = append(xy, plotter.XY{X: float64(r.Instances) + 0.15*float64(2*i-1), Y: r.Metrics["late"]})
			}
		}
		if len(xy) == 0 {
			continue
		}
		s, err := plotter.NewScatter(xy)
		if err != nil {
			return err
		}
		s.GlyphStyle.Color = colours[i]
		p.Add(s)
		p.Legend.Add([]string{"without peers", "with peers"}[i], s)
	}
	p.Y.Min = 0
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, file)
}

var colours = []color.Color{color.RGBA{R: 200, G: 60, B: 40, A: 255}, color.RGBA{R: 30, G: 90, B: 180, A: 255}}
