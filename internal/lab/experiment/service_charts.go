package experiment

import (
	"maps"
	"math"
	"slices"

	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"hitchspring/internal/lab"
)

// timelineMetric describes a metric that has a value for each second of a run.
type timelineMetric struct {
	title string
	note  string
	unit  string
	of    func(lab.Second) float64 // NaN: the second has no value
	maxY  float64                  // NaN: derived from the highest value
}

// timelineChart draws the mean of a metric over the seeds, with a line for each variant.
func (s *Spec) timelineChart(byVariant map[string][]RunResult, metric timelineMetric) (chart, error) {
	p := newPlot("seconds", metric.unit)
	p.Y.Min = 0
	drawn := false
	highest := 0.0
	for i, v := range s.Variants {
		points := meanTimeline(byVariant[v.Name], metric.of)
		if len(points) == 0 {
			continue
		}
		for _, point := range points {
			highest = max(highest, point.Y)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return chart{}, err
		}
		line.Color, line.Width = variantColour(i), vg.Points(1.8)
		p.Add(line)
		p.Legend.Add(v.Name, line)
		drawn = true
	}
	if !drawn {
		return chart{}, nil
	}
	maxY := metric.maxY
	if math.IsNaN(maxY) {
		maxY = highest * 1.15
	}
	p.Y.Max = max(maxY, 1e-6)
	if list := byVariant[s.Variants[0].Name]; len(list) > 0 {
		if err := addMarks(p, list[0].Report.Events); err != nil {
			return chart{}, err
		}
	}
	out, err := renderSVG(p, chartHeight)
	return chart{metric.title, metric.note, out}, err
}

// meanTimeline returns the mean of a metric over all runs for each second in which at least one run has a value.
func meanTimeline(lines []RunResult, of func(lab.Second) float64) (out plotter.XYs) {
	var sums, counts []float64
	for _, l := range lines {
		for k, second := range l.Report.Timeline {
			if len(sums) <= k {
				sums, counts = append(sums, 0), append(counts, 0)
			}
			if y := of(second); !math.IsNaN(y) {
				sums[k] += y
				counts[k]++
			}
		}
	}
	for k := range sums {
		if counts[k] > 0 {
			out = append(out, plotter.XY{X: float64(k) + 0.5, Y: sums[k] / counts[k]})
		}
	}
	return out
}

// inTimeCounts counts the requests of one plan or class.
type inTimeCounts struct{ requests, inTime int }

// countInTime counts the requests of all runs by plan and by class.
func countInTime(lines []RunResult) map[string]inTimeCounts {
	out := map[string]inTimeCounts{}
	for _, l := range lines {
		for _, row := range l.Report.Rows {
			for _, name := range []string{row.Plan, row.Class} {
				counts := out[name]
				counts.requests += row.Requests
				counts.inTime += row.InTime
				out[name] = counts
			}
		}
	}
	return out
}

// inTimeChart draws the fraction of requests answered in time for each plan and class, with a bar for each variant.
func (s *Spec) inTimeChart(byVariant map[string][]RunResult) (chart, error) {
	names := map[string]bool{}
	counts := map[string]map[string]inTimeCounts{}
	for variant, list := range byVariant {
		counts[variant] = countInTime(list)
		for name := range counts[variant] {
			names[name] = true
		}
	}
	if len(names) == 0 {
		return chart{}, nil
	}
	order := slices.Sorted(maps.Keys(names))
	p := newPlot("", "share in time")
	p.Y.Min, p.Y.Max = 0, 1.2 // leaves space for the legend
	width := vg.Points(60 / float64(max(2, len(s.Variants))))
	position := 0
	for i, v := range s.Variants {
		if counts[v.Name] == nil {
			continue
		}
		var values plotter.Values
		for _, name := range order {
			c := counts[v.Name][name]
			value := 0.0
			if c.requests > 0 {
				value = float64(c.inTime) / float64(c.requests)
			}
			values = append(values, value)
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return chart{}, err
		}
		bars.Color, bars.LineStyle.Width = variantColour(i), 0
		bars.Offset = width * vg.Length(float64(position)-float64(len(byVariant)-1)/2)
		p.Add(bars)
		p.Legend.Add(v.Name, bars)
		position++
	}
	p.NominalX(order...)
	out, err := renderSVG(p, chartHeight)
	return chart{
		"By plan and class",
		"Wishes answered in time, of all that were asked for, also beyond quotas.",
		out,
	}, err
}
