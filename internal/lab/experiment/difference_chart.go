package experiment

import (
	"image/color"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// differenceChart draws the difference of each variant's service from that of the first variant, with its confidence
// interval.
func (s *Spec) differenceChart(rows []Row) (chart, error) {
	p := newPlot("service against "+s.Variants[0].Name, "")
	var names []string
	for _, r := range rows {
		if r.Variant == s.Variants[0].Name || math.IsNaN(r.Diff.Mean) {
			continue
		}
		y := float64(len(names))
		i := slices.IndexFunc(s.Variants, func(v Variant) bool { return v.Name == r.Variant })
		half := r.Diff.Half
		if math.IsInf(half, 0) {
			half = 0
		}
		bar, err := plotter.NewLine(plotter.XYs{{X: r.Diff.Mean - half, Y: y}, {X: r.Diff.Mean + half, Y: y}})
		if err != nil {
			return chart{}, err
		}
		bar.Color, bar.Width = variantColour(i), vg.Points(2)
		dot, err := plotter.NewScatter(plotter.XYs{{X: r.Diff.Mean, Y: y}})
		if err != nil {
			return chart{}, err
		}
		dot.Color, dot.Radius, dot.Shape = variantColour(i), vg.Points(4), draw.CircleGlyph{}
		p.Add(bar, dot)
		names = append(names, r.Scenario+" "+r.Variant)
	}
	if len(names) == 0 {
		return chart{}, nil
	}
	zero, err := plotter.NewLine(plotter.XYs{{X: 0, Y: -0.5}, {X: 0, Y: float64(len(names)) - 0.5}})
	if err != nil {
		return chart{}, err
	}
	zero.Color, zero.Dashes = color.Gray{0x90}, []vg.Length{3, 3}
	p.Add(zero)
	p.Y.Min, p.Y.Max = -0.5, float64(len(names))-0.5
	ticks := make([]plot.Tick, len(names))
	for i, n := range names {
		ticks[i] = plot.Tick{Value: float64(i), Label: n}
	}
	p.Y.Tick.Marker = plot.ConstantTicks(ticks)
	out, err := renderSVG(p, vg.Length(2.4+0.7*float64(len(names)))*vg.Centimeter)
	return chart{"Differences", "Seed by seed against " + s.Variants[0].Name +
		"; the bar is the 95% interval of the mean, " +
		"by Student's t. A bar over the dashed line says nothing either way.", out}, err
}
