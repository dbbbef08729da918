package experiment

import (
	_ "embed" // for go:embed
	"fmt"
	"html/template"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"

	"hitchspring/internal/lab"
)

//go:embed page.html
var pageHTML string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"mean": func(values []float64) string { return fmt.Sprintf("%.3f", stat.Mean(values, nil)) },
	"num":  func(value float64) string { return fmt.Sprintf("%.0f", value) },
	"mb":   func(value float64) string { return fmt.Sprintf("%.1f", value) },
}).Parse(pageHTML))

// maxListedViolations is the maximum number of violations that a section lists.
const maxListedViolations = 12

// section is the part of the page about one scenario.
type section struct {
	Scenario   string
	Faults     []string // of the first run
	Charts     []chart
	Rows       []Row
	Violations []string
}

// Page writes the comparison as a self-contained HTML page, which loads no scripts, fonts or images.
func (s *Spec) Page(w io.Writer, lines []RunResult) error {
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
	for _, name := range s.Scenarios {
		sec, err := s.section(name, lines, rows)
		if err != nil {
			return err
		}
		data.Sections = append(data.Sections, sec)
	}
	return pageTemplate.Execute(w, data)
}

// section builds the part of the page about one scenario.
func (s *Spec) section(scenario string, lines []RunResult, rows []Row) (section, error) {
	sec := section{Scenario: scenario}
	byVariant := map[string][]RunResult{}
	for _, l := range lines {
		if l.Scenario != scenario || len(l.Variants) != 1 {
			continue
		}
		byVariant[l.Variants[0]] = append(byVariant[l.Variants[0]], l)
		sec.addEvents(l)
	}
	for _, r := range rows {
		if r.Scenario == scenario {
			sec.Rows = append(sec.Rows, r)
		}
	}
	if err := sec.add(s.timelineChart(byVariant, inTimeOverTime)); err != nil {
		return sec, err
	}
	if err := sec.add(s.timelineChart(byVariant, p99OverTime)); err != nil {
		return sec, err
	}
	if err := sec.add(s.inTimeChart(byVariant)); err != nil {
		return sec, err
	}
	for _, v := range s.Variants {
		list := byVariant[v.Name]
		if len(list) == 0 {
			continue
		}
		if err := sec.add(zoneLoadChart(v.Name, list[0])); err != nil {
			return sec, err
		}
		if err := sec.add(backendLoadChart(v.Name, list[0])); err != nil {
			return sec, err
		}
	}
	return sec, nil
}

// addEvents adds a run's violations, and its faults if no earlier run had any.
func (sec *section) addEvents(l RunResult) {
	if sec.Faults == nil {
		for _, m := range l.Report.Events {
			sec.Faults = append(sec.Faults, fmt.Sprintf("%.1f s %s", m.AtS, m.Description))
		}
	}
	for _, v := range l.Report.Violations {
		if len(sec.Violations) < maxListedViolations {
			sec.Violations = append(sec.Violations, fmt.Sprintf("%s, seed %d: %s at %.2f s: %s",
				l.Variants[0], l.Seed, v.Rule, v.At.Seconds()-l.Report.LoadStartS, v.Detail))
		}
	}
}

// add adds a chart unless it is empty. It returns err unchanged, so that the results of a chart function can be its
// arguments.
func (sec *section) add(c chart, err error) error {
	if err == nil && c.SVG != "" {
		sec.Charts = append(sec.Charts, c)
	}
	return err
}

// inTimeOverTime is the fraction of requests that were answered in time.
var inTimeOverTime = timelineMetric{
	title: "Answered in time, over time",
	note: "Share of the wishes that were due in a second; the mean over seeds. " +
		"Dashed: a fault of the first seed's timeline.",
	unit: "share in time",
	of: func(x lab.Second) float64 {
		if x.Requests == 0 {
			return math.NaN()
		}
		return float64(x.InTime) / float64(x.Requests)
	},
	maxY: 1.2,
}

// p99OverTime is the 99th percentile of latency.
var p99OverTime = timelineMetric{
	title: "99th percentile of answers, over time",
	note:  "Milliseconds from when a wish was due; served tries of that second; the mean over seeds.",
	unit:  "ms",
	of:    func(x lab.Second) float64 { return x.P99MS },
	maxY:  math.NaN(),
}
