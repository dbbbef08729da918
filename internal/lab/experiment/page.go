package experiment

import (
	"bytes"
	"cmp"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"regexp"
	"slices"
	"sort"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"hitchspring/internal/lab"
)

// colours of the variants, which show on light and on dark.
var variantColours = []color.Color{
	color.RGBA{0x2f, 0x7d, 0xd1, 0xff},
	color.RGBA{0xe0, 0x6c, 0x2f, 0xff},
	color.RGBA{0x3a, 0xa3, 0x5d, 0xff},
	color.RGBA{0xb0, 0x5a, 0xc4, 0xff},
	color.RGBA{0xc9, 0xa2, 0x27, 0xff},
	color.RGBA{0x5b, 0xa8, 0xb0, 0xff},
}

func variantColour(i int) color.Color { return variantColours[i%len(variantColours)] }

// picture is one plot with its words.
type chart struct {
	Title, Note string
	SVG         template.HTML
}

// section is a day.
type section struct {
	Day, About string
	Faults     []string
	Pictures   []chart
	Rows       []Row
	Breaks     []string
}

// Page writes a self-contained page: no script, no font and no picture comes from elsewhere.
func (s *Spec) Page(w io.Writer, lines []Line) error {
	rows := s.Rows(lines)
	data := struct {
		Spec     *Spec
		Runs     int
		Overview chart
		Sections []section
		Pairs    []Pair
	}{Spec: s, Runs: len(lines), Pairs: s.Pairs(lines)}
	var err error
	if data.Overview, err = s.differenceChart(rows); err != nil {
		return err
	}
	for _, d := range s.Scenarios {
		sec, err := s.section(d, lines, rows)
		if err != nil {
			return err
		}
		data.Sections = append(data.Sections, sec)
	}
	return pageTemplate.Execute(w, data)
}

func (s *Spec) section(d string, lines []Line, rows []Row) (section, error) {
	sec := section{Day: d}
	byVariant := map[string][]Line{}
	for _, l := range lines {
		if l.Scenario != d || len(l.Variants) != 1 {
			continue
		}
		byVariant[l.Variants[0]] = append(byVariant[l.Variants[0]], l)
		if sec.Faults == nil {
			for _, m := range l.Report.Marks {
				sec.Faults = append(sec.Faults, fmt.Sprintf("%.1f s %s", m.AtS, m.What))
			}
		}
		for _, b := range l.Report.Violations {
			if len(sec.Breaks) < 12 {
				sec.Breaks = append(sec.Breaks, fmt.Sprintf("%s, seed %d: %s at %.2f s: %s", l.Variants[0], l.Seed, b.Rule, b.At.Seconds()-l.Report.BeganS, b.Detail))
			}
		}
	}
	for _, r := range rows {
		if r.Scenario == d {
			sec.Rows = append(sec.Rows, r)
		}
	}
	add := func(p chart, err error) error {
		if err == nil && p.SVG != "" {
			sec.Pictures = append(sec.Pictures, p)
		}
		return err
	}
	if err := add(s.timelineChart(byVariant, "Answered in time, over time", "Share of the wishes that were due in a second; the mean over seeds. Dashed: a fault of the first seed's timeline.", "share in time", func(x lab.Second) float64 {
		if x.Requests == 0 {
			return math.NaN()
		}
		return float64(x.InTime) / float64(x.Requests)
	}, 0, 1.2)); err != nil {
		return sec, err
	}
	if err := add(s.timelineChart(byVariant, "99th percentile of answers, over time", "Milliseconds from when a wish was due; served tries of that second; the mean over seeds.", "ms", func(x lab.Second) float64 { return x.P99MS }, 0, math.NaN())); err != nil {
		return sec, err
	}
	if err := add(s.inTimeChart(byVariant)); err != nil {
		return sec, err
	}
	for _, v := range s.Variants {
		if list := byVariant[v.Name]; len(list) > 0 {
			if err := add(zoneLoadChart(v.Name, list[0])); err != nil {
				return sec, err
			}
			if err := add(backendLoadChart(v.Name, list[0])); err != nil {
				return sec, err
			}
		}
	}
	return sec, nil
}

// plain is a plot in the page's manner.
func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.BackgroundColor = color.Transparent
	p.Title.Text = title
	for _, a := range []*plot.Axis{&p.X, &p.Y} {
		a.Label.TextStyle.Font.Size, a.Tick.Label.Font.Size = 10, 9
		a.Label.TextStyle.Font.Variant, a.Tick.Label.Font.Variant = font.Variant("Sans"), font.Variant("Sans")
	}
	p.Legend.TextStyle.Font.Size, p.Legend.TextStyle.Font.Variant = 10, font.Variant("Sans")
	p.Legend.Top = true
	return p
}

var (
	svgSize   = regexp.MustCompile(`<svg width="[^"]*" height="[^"]*"`)
	svgProlog = regexp.MustCompile(`(?s)^.*?<svg `)
	svgBlack  = regexp.MustCompile(`(fill|stroke):#000000`)
	svgFontFamily = regexp.MustCompile(`font-family:[^;"]*`)
)

// svg draws a plot as part of a page: it takes the page's width, its text colour and its font.
func renderSVG(p *plot.Plot, w, h vg.Length) (template.HTML, error) {
	c := vgsvg.New(w, h)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := svgProlog.ReplaceAllString(b.String(), "<svg ")
	text = svgSize.ReplaceAllString(text, `<svg width="100%"`)
	text = svgBlack.ReplaceAllString(text, "$1:currentColor")
	text = svgFontFamily.ReplaceAllString(text, "font-family:inherit")
	return template.HTML(text), nil
}

// mark draws a dashed line over the whole height for each thing that the timeline did.
func addMarks(p *plot.Plot, marks []lab.Mark) error {
	for _, m := range marks {
		line, err := plotter.NewLine(plotter.XYs{{X: m.AtS, Y: p.Y.Min}, {X: m.AtS, Y: p.Y.Max}})
		if err != nil {
			return err
		}
		line.Color, line.Width, line.Dashes = color.Gray{0x90}, vg.Points(0.8), []vg.Length{3, 3}
		p.Add(line)
	}
	return nil
}

// overTime is a line for each variant.
func (s *Spec) timelineChart(byVariant map[string][]Line, title, note, unit string, of func(lab.Second) float64, minY, maxY float64) (chart, error) {
	p := newPlot("", "seconds", unit)
	p.Y.Min = minY
	drawn := false
	highest := 0.0
	for i, v := range s.Variants {
		sums, counts := []float64{}, []float64{}
		for _, l := range byVariant[v.Name] {
			for k, x := range l.Report.Timeline {
				if len(sums) <= k {
					sums, counts = append(sums, 0), append(counts, 0)
				}
				if y := of(x); !math.IsNaN(y) {
					sums[k] += y
					counts[k]++
				}
			}
		}
		var xy plotter.XYs
		for k := range sums {
			if counts[k] > 0 {
				xy = append(xy, plotter.XY{X: float64(k) + 0.5, Y: sums[k] / counts[k]})
				highest = max(highest, sums[k]/counts[k])
			}
		}
		if len(xy) == 0 {
			continue
		}
		drawn = true
		line, err := plotter.NewLine(xy)
		if err != nil {
			return chart{}, err
		}
		line.Color, line.Width = variantColour(i), vg.Points(1.8)
		p.Add(line)
		p.Legend.Add(v.Name, line)
	}
	if !drawn {
		return chart{}, nil
	}
	if math.IsNaN(maxY) {
		maxY = highest * 1.15
	}
	p.Y.Max = max(maxY, minY+1e-6)
	if list := byVariant[s.Variants[0].Name]; len(list) > 0 {
		if err := addMarks(p, list[0].Report.Marks); err != nil {
			return chart{}, err
		}
	}
	out, err := renderSVG(p, 24*vg.Centimeter, 7*vg.Centimeter)
	return chart{title, note, out}, err
}

// parts is the share in time by plan and by class, a bar for each variant.
func (s *Spec) inTimeChart(byVariant map[string][]Line) (chart, error) {
	type sum struct{ wishes, inTime int }
	names := map[string]bool{}
	sums := map[string]map[string]*sum{}
	for v, list := range byVariant {
		sums[v] = map[string]*sum{}
		for _, l := range list {
			for _, r := range l.Report.Rows {
				for _, name := range []string{r.Plan, r.Class} {
					names[name] = true
					if sums[v][name] == nil {
						sums[v][name] = &sum{}
					}
					sums[v][name].wishes += r.Requests
					sums[v][name].inTime += r.InTime
				}
			}
		}
	}
	if len(names) == 0 {
		return chart{}, nil
	}
	var order []string
	for n := range names {
		order = append(order, n)
	}
	sort.Strings(order)
	p := newPlot("", "", "share in time")
	p.Y.Min, p.Y.Max = 0, 1.2 // room for the legend
	width := vg.Points(60 / float64(max(2, len(s.Variants))))
	k := 0
	for i, v := range s.Variants {
		if sums[v.Name] == nil {
			continue
		}
		var values plotter.Values
		for _, n := range order {
			x := sums[v.Name][n]
			if x == nil || x.wishes == 0 {
				values = append(values, 0)
			} else {
				values = append(values, float64(x.inTime)/float64(x.wishes))
			}
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return chart{}, err
		}
		bars.Color, bars.LineStyle.Width = variantColour(i), 0
		bars.Offset = width * vg.Length(float64(k)-float64(len(byVariant)-1)/2)
		p.Add(bars)
		p.Legend.Add(v.Name, bars)
		k++
	}
	p.NominalX(order...)
	out, err := renderSVG(p, 24*vg.Centimeter, 7*vg.Centimeter)
	return chart{"By plan and class", "Wishes answered in time, of all that were asked for, also beyond quotas.", out}, err
}

// grid is the nodes' load, a row a node, ordered by hall.
type loadGrid struct {
	rows [][]float64
	step float64
}

// Dims, Z, X and Y are for plotter.
func (g loadGrid) Dims() (c, r int)   { return len(g.rows[0]), len(g.rows) }
func (g loadGrid) Z(c, r int) float64 { return g.rows[r][c] }
func (g loadGrid) X(c int) float64    { return float64(c) * g.step }
func (g loadGrid) Y(r int) float64    { return float64(r) }

const maxInFlightPerCore = 12 // requests a core, at the deep end of the colours

// heat is how full each node was.
func backendLoadChart(variant string, l Line) (chart, error) {
	nodes := slices.Clone(l.Report.Backends)
	slices.SortStableFunc(nodes, func(a, b lab.BackendTrack) int {
		return cmp.Or(cmp.Compare(b.Zone, a.Zone), cmp.Compare(b.Backend, a.Backend))
	})
	g := loadGrid{step: 0.25}
	var names []string
	width := 0
	for _, n := range nodes {
		width = max(width, len(n.InFlight))
	}
	if len(nodes) < 2 || width < 2 {
		return chart{}, nil
	}
	for _, n := range nodes {
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
	p := newPlot("", "seconds", "")
	p.Add(h)
	ticks := make([]plot.Tick, len(names))
	for i, n := range names {
		ticks[i] = plot.Tick{Value: float64(i), Label: n}
	}
	p.Y.Tick.Marker = plot.ConstantTicks(ticks)
	out, err := renderSVG(p, 24*vg.Centimeter, vg.Length(2.2+0.5*float64(len(names)))*vg.Centimeter)
	return chart{"Nodes, " + variant, fmt.Sprintf("Requests held for each core, by hall; seed %d. Blue is none, red is %d or more, grey is down.", l.Seed, maxInFlightPerCore), out}, err
}

// differences is the service of each variant against the first, with its interval.
func (s *Spec) differenceChart(rows []Row) (chart, error) {
	p := newPlot("", "service against "+s.Variants[0].Name, "")
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
	out, err := renderSVG(p, 24*vg.Centimeter, vg.Length(2.4+0.7*float64(len(names)))*vg.Centimeter)
	return chart{"Differences", "Seed by seed against " + s.Variants[0].Name + "; the bar is the 95% interval of the mean, by Student's t. A bar over the dashed line says nothing either way.", out}, err
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"mean": func(v []float64) string { return fmt.Sprintf("%.3f", stat.Mean(v, nil)) },
	"num":  func(v float64) string { return fmt.Sprintf("%.0f", v) },
	"mb":   func(v float64) string { return fmt.Sprintf("%.1f", v) },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width, initial-scale=1">
<title>{{.Spec.Name}}</title>
<style>
:root { color-scheme: light dark; --ink: #1b1f24; --paper: #ffffff; --faint: #66707c; --rule: #d5dae0; --bad: #b3261e; }
@media (prefers-color-scheme: dark) { :root { --ink: #e4e8ec; --paper: #14181d; --faint: #98a3af; --rule: #333b44; --bad: #ff8a80; } }
body { margin: 2rem auto; max-width: 62rem; padding: 0 1rem; font: 15px/1.5 system-ui, sans-serif; color: var(--ink); background: var(--paper); }
h1 { font-size: 1.5rem; margin-bottom: 0; } h2 { font-size: 1.2rem; margin-top: 2.5rem; border-top: 1px solid var(--rule); padding-top: 1rem; }
h3 { font-size: 1rem; margin: 1.5rem 0 0; } p.note, li.fault { color: var(--faint); font-size: 0.87rem; margin: 0.1rem 0 0.4rem; }
table { border-collapse: collapse; width: 100%; font-size: 0.9rem; margin: 0.8rem 0; } th, td { text-align: right; padding: 0.25rem 0.6rem; border-bottom: 1px solid var(--rule); }
th:first-child, td:first-child { text-align: left; } th { font-weight: 600; color: var(--faint); } .bad { color: var(--bad); font-weight: 600; }
svg text { fill: currentColor; } svg { display: block; height: auto; max-width: 100%; } ul { padding-left: 1.2rem; } details { margin: 0.5rem 0; }
</style></head><body>
<h1>{{.Spec.Name}}</h1>
<p>{{.Spec.About}}</p>
<p class="note">{{.Runs}} runs; {{len .Spec.Variants}} variants on {{len .Spec.Scenarios}} scenarios, {{.Spec.Seeds}} seeds each.</p>
{{with .Overview}}{{if .SVG}}<h3>{{.Title}}</h3><p class="note">{{.Note}}</p>{{.SVG}}{{end}}{{end}}
{{if .Pairs}}<h3>Cost, two of each in one world</h3><table><tr><th>day</th><th>CPU a try, ratio</th><th>memory, MB more</th><th>runs</th></tr>
{{range .Pairs}}<tr><td>{{.Scenario}}</td><td>{{.CPU}}</td><td>{{.More}}</td><td>{{.CPU.N}}</td></tr>{{end}}</table>{{end}}
{{range .Sections}}
<h2>{{.Day}}</h2>
{{if .Breaks}}<p class="bad">Rules that broke</p><ul>{{range .Breaks}}<li>{{.}}</li>{{end}}</ul>{{end}}
{{range .Pictures}}<h3>{{.Title}}</h3><p class="note">{{.Note}}</p>{{.SVG}}{{end}}
<table><tr><th>variant</th><th>runs</th><th>broken</th><th>no verdict</th><th>service</th><th>CPU us a try</th><th>MB</th><th>against the first</th></tr>
{{range $i, $r := .Rows}}<tr><td>{{.Variant}}</td><td>{{.Runs}}</td><td{{if .Broken}} class="bad"{{end}}>{{.Broken}}</td><td>{{.Unjudged}}</td><td>{{mean .Service}}</td><td>{{num .CPU}}</td><td>{{mb .Peak}}</td><td>{{if $i}}{{.Diff}}{{end}}</td></tr>{{end}}</table>
{{if .Faults}}<details><summary>Faults of the first seed</summary><ul>{{range .Faults}}<li class="fault">{{.}}</li>{{end}}</ul></details>{{end}}
{{end}}
</body></html>
`))
