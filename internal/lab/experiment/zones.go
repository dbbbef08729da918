package experiment

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// HallText is the figures of lost halls, a line for each day and variant: means over seeds, and the worst.
func (s *Spec) ZoneText(lines []Line) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "day\t[halls]\truns\tbroken\tbefore\tduring\tworst\tafter\tworst\tnear best s\tworst\tlast sent s\tworst\tqueue s\tcold push\tcross\tswing\tworst\tservice\t")
	for _, d := range s.Scenarios {
		for _, v := range s.Variants {
			cols := make([][]float64, 10)
			runs, broken := 0, 0
			for _, l := range lines {
				if l.Scenario != d || l.Variants[0] != v.Name {
					continue
				}
				runs++
				broken += len(l.Report.Violations) + len(l.Report.Crashed)
				add := func(i int, x float64) { cols[i] = append(cols[i], x) }
				if x := l.Report.Loss; x != nil {
					add(9, x.Before)
					add(0, x.During)
					add(1, x.After)
					if x.RecoverS >= 0 {
						add(2, x.RecoverS)
					} else {
						add(2, 99)
					}
					if x.LastSentS >= 0 {
						add(3, x.LastSentS)
					}
					add(4, x.LongestS)
				}
				add(5, l.Report.Margins.SlowStartPush)
				add(6, l.Report.Score.CrossShare)
				add(7, l.Report.Swing)
				add(8, l.Report.Service)
			}
			if runs == 0 {
				continue
			}
			mean := func(i int, format string) string {
				if len(cols[i]) == 0 {
					return "-"
				}
				return fmt.Sprintf(format, stat.Mean(cols[i], nil))
			}
			maximum := func(i int, format string) string {
				if len(cols[i]) == 0 {
					return "-"
				}
				return fmt.Sprintf(format, slices.Max(cols[i]))
			}
			minimum := func(i int, format string) string {
				if len(cols[i]) == 0 {
					return "-"
				}
				return fmt.Sprintf(format, slices.Min(cols[i]))
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", d, v.Name, runs, broken, mean(9, "%.3f"), mean(0, "%.3f"), minimum(0, "%.3f"), mean(1, "%.3f"), minimum(1, "%.3f"),
				mean(2, "%.1f"), maximum(2, "%.1f"), mean(3, "%.2f"), maximum(3, "%.2f"), maximum(4, "%.1f"), maximum(5, "%.2f"), mean(6, "%.2f"), mean(7, "%.2f"), maximum(7, "%.2f"), mean(8, "%.3f"))
		}
	}
	w.Flush()
	return b.String()
}

// hallLoad is what each hall was sent over time, beside what it could do, for one run.
func zoneLoadChart(variant string, l Line) (chart, error) {
	p := newPlot("", "seconds", "commands a second")
	p.Y.Min = 0
	top := 0.0
	for i, h := range l.Report.Zones {
		var sent, able plotter.XYs
		scale := 0.0 // commands for a second of work: what the run came to as a whole
		work := 0.0
		for k := range h.Sends {
			scale += h.Sends[k]
			work += h.Capacity[k]
		}
		for k := range h.Sends {
			x := (float64(k) + 0.5) * 0.5
			sent = append(sent, plotter.XY{X: x, Y: h.Sends[k]})
			if work > 0 {
				able = append(able, plotter.XY{X: x, Y: h.Capacity[k] * scale / work})
			}
			top = max(top, h.Sends[k])
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
		p.Legend.Add(h.Zone, line)
		if len(able) > 0 {
			dashed, err := plotter.NewLine(able)
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
	if err := addMarks(p, l.Report.Marks); err != nil {
		return chart{}, err
	}
	out, err := renderSVG(p, 24*vg.Centimeter, 7*vg.Centimeter)
	return chart{
		"Load of each hall, " + variant + ", seed " + fmt.Sprint(l.Seed),
		"Commands that came to a hall's nodes. Dashed: what the hall could do, drawn to the scale of what it was sent over the whole run. Grey: what the timeline did.", out,
	}, err
}
