package cost

import (
	"fmt"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// quantiles are the latency quantiles that the chart shows.
var quantiles = []struct {
	name   string
	of     func(Row) Spread
	colour color.Color
}{
	{"p50", func(r Row) Spread { return r.P50 }, color.RGBA{0x1f, 0x77, 0xb4, 0xff}},
	{"p99", func(r Row) Spread { return r.P99 }, color.RGBA{0xd6, 0x27, 0x28, 0xff}},
}

// Chart writes an SVG chart of the median and the 99th percentile latency of each build at each rate. A bar shows the
// range over the rounds.
func (r *Report) Chart(w io.Writer) error {
	rows := r.Rows()
	p := plot.New()
	p.Title.Text = "What a request waits"
	p.Y.Label.Text = "ms from when it was due"
	p.Y.Min = 0
	p.X.Min, p.X.Max = -0.5, float64(len(rows))-0.5
	p.Legend.Top = true
	var names []plot.Tick
	for i, row := range rows {
		names = append(names, plot.Tick{Value: float64(i), Label: fmt.Sprintf("%s, %d/s", row.Build, row.Rate)})
	}
	p.X.Tick.Marker = plot.ConstantTicks(names)
	for _, q := range quantiles {
		var dots plotter.XYs
		for i, row := range rows {
			s := q.of(row)
			x := float64(i)
			dots = append(dots, plotter.XY{X: x, Y: s.Median})
			bar, err := plotter.NewLine(plotter.XYs{{X: x, Y: s.Min}, {X: x, Y: s.Max}})
			if err != nil {
				return fmt.Errorf("chart: %w", err)
			}
			bar.Color, bar.Width = q.colour, vg.Points(2)
			p.Add(bar)
		}
		scatter, err := plotter.NewScatter(dots)
		if err != nil {
			return fmt.Errorf("chart: %w", err)
		}
		scatter.Color, scatter.Radius, scatter.Shape = q.colour, vg.Points(4), draw.CircleGlyph{}
		p.Add(scatter)
		p.Legend.Add(q.name, scatter)
	}
	c := vgsvg.New(vg.Length(4+3*len(rows))*vg.Centimeter, 11*vg.Centimeter)
	p.Draw(draw.New(c))
	if _, err := c.WriteTo(w); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	return nil
}
