package experiment

import (
	"cmp"
	"fmt"
	"image/color"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"hitchspring/internal/lab"
)

// loadGrid holds the load of the backends over time, with a row for each backend. It implements plotter.GridXYZ.
type loadGrid struct {
	rows [][]float64
	step float64
}

// Dims returns the numbers of columns and rows.
func (g loadGrid) Dims() (c, r int) { return len(g.rows[0]), len(g.rows) }

// Z returns the requests in flight per core, or NaN while the backend is down.
func (g loadGrid) Z(c, r int) float64 { return g.rows[r][c] }

// X returns the time of a column in seconds.
func (g loadGrid) X(c int) float64 { return float64(c) * g.step }

// Y returns the vertical position of a row.
func (g loadGrid) Y(r int) float64 { return float64(r) }

const maxInFlightPerCore = 12 // requests per core at the upper end of the colour scale

// backendLoadChart draws a heat map of the requests in flight at each backend over time, ordered by zone.
func backendLoadChart(variant string, l RunResult) (chart, error) {
	backends := slices.Clone(l.Report.Backends)
	slices.SortStableFunc(backends, func(a, b lab.BackendTrack) int {
		return cmp.Or(cmp.Compare(b.Zone, a.Zone), cmp.Compare(b.Backend, a.Backend))
	})
	g := loadGrid{step: 0.25}
	var names []string
	width := 0
	for _, n := range backends {
		width = max(width, len(n.InFlight))
	}
	if len(backends) < 2 || width < 2 {
		return chart{}, nil
	}
	for _, n := range backends {
		row := make([]float64, width)
		for k := range row {
			row[k] = math.NaN()
			if k < len(n.InFlight) && n.InFlight[k] >= 0 {
				row[k] = min(n.InFlight[k], maxInFlightPerCore)
			}
		}
		g.rows = append(g.rows, row)
		names = append(names, n.Zone+" "+n.Backend)
	}
	colourMap := moreland.SmoothBlueRed()
	colourMap.SetMin(0)
	colourMap.SetMax(maxInFlightPerCore)
	h := plotter.NewHeatMap(g, colourMap.Palette(32))
	h.Min, h.Max, h.NaN = 0, maxInFlightPerCore, color.Gray{0x60}
	p := newPlot("seconds", "")
	p.Add(h)
	ticks := make([]plot.Tick, len(names))
	for i, n := range names {
		ticks[i] = plot.Tick{Value: float64(i), Label: n}
	}
	p.Y.Tick.Marker = plot.ConstantTicks(ticks)
	out, err := renderSVG(p, vg.Length(2.2+0.5*float64(len(names)))*vg.Centimeter)
	return chart{"Nodes, " + variant, fmt.Sprintf("Requests held for each core, by hall; seed %d. "+
		"Blue is none, red is %d or more, grey is down.", l.Seed, maxInFlightPerCore), out}, err
}

// zoneLoadChart draws the commands that each zone received during one run, with the zone's capacity as a dashed line.
// The capacity is in seconds of work, and is scaled by the commands per second of work over the whole run.
func zoneLoadChart(variant string, l RunResult) (chart, error) {
	p := newPlot("seconds", "commands a second")
	p.Y.Min = 0
	top := 0.0
	for i, zone := range l.Report.Zones {
		var sent, capacity plotter.XYs
		scale := 0.0 // commands over the whole run
		work := 0.0  // seconds of work that the zone could do over the whole run
		for k := range zone.Sends {
			scale += zone.Sends[k]
			work += zone.Capacity[k]
		}
		for k := range zone.Sends {
			x := (float64(k) + 0.5) * 0.5
			sent = append(sent, plotter.XY{X: x, Y: zone.Sends[k]})
			if work > 0 {
				capacity = append(capacity, plotter.XY{X: x, Y: zone.Capacity[k] * scale / work})
			}
			top = max(top, zone.Sends[k])
		}
		if len(sent) == 0 {
			continue
		}
		line, err := plotter.NewLine(sent)
		if err != nil {
			return chart{}, err
		}
		line.Color, line.Width = variantColour(i), vg.Points(1.6)
		p.Add(line)
		p.Legend.Add(zone.Zone, line)
		if len(capacity) > 0 {
			dashed, err := plotter.NewLine(capacity)
			if err != nil {
				return chart{}, err
			}
			dashed.Color, dashed.Width, dashed.Dashes = variantColour(i), vg.Points(0.9), []vg.Length{4, 3}
			p.Add(dashed)
		}
	}
	if top == 0 {
		return chart{}, nil
	}
	p.Y.Max = top * 1.2
	if err := addMarks(p, l.Report.Events); err != nil {
		return chart{}, err
	}
	out, err := renderSVG(p, chartHeight)
	return chart{
		"Load of each hall, " + variant + ", seed " + fmt.Sprint(l.Seed),
		"Commands that came to a hall's nodes. Dashed: what the hall could do, drawn to the scale of " +
			"what it was sent over the whole run. Grey: what the timeline did.",
		out,
	}, err
}
