package cost

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
)

// Report holds all measurements of a run.
type Report struct {
	Config       Config        `json:"config"`
	Measurements []Measurement `json:"measurements"`
}

// Spread summarizes the values of one metric over the rounds.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"least"`
	Max    float64 `json:"most"`
}

func spreadOf(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	values = slices.Sorted(slices.Values(values))
	middle := len(values) / 2
	median := values[middle]
	if len(values)%2 == 0 {
		median = (values[middle-1] + values[middle]) / 2
	}
	return Spread{median, values[0], values[len(values)-1]}
}

// Row summarizes one build at one rate over all rounds that are not void. Added latencies and CPURatio are relative to
// the bare proxy in the same round, PeakRatio is relative to the first build in the same round. Only the counts at the
// end include void rounds.
type Row struct {
	Build  string `json:"build"`
	Rate   int    `json:"rate"`
	Rounds int    `json:"rounds"`
	Void   int    `json:"void"`

	P50      Spread `json:"p50_ms"`
	P90      Spread `json:"p90_ms"`
	P99      Spread `json:"p99_ms"`
	P999     Spread `json:"p99_9_ms"`
	AddedP50 Spread `json:"added_p50_ms"`
	AddedP99 Spread `json:"added_p99_ms"`

	CPU               Spread `json:"cpu_us_a_request"`
	CPURatio          Spread `json:"cpu_ratio_to_bare"`
	PeakMB            Spread `json:"peak_mb"`
	PeakRatio         Spread `json:"peak_ratio_to_first_build"`
	ConnectionsOpened Spread `json:"connections_opened"`
	Handshakes        Spread `json:"handshakes_a_request"`
	Switches          Spread `json:"voluntary_switches_a_request"`
	LoadDelay         Spread `json:"load_late_p99_ms"`

	Sent       int `json:"sent"`
	Rejected   int `json:"refused"`
	Failed     int `json:"failed"`
	Mismatched int `json:"answers_of_another_request"`
}

// Rows returns a summary row for the bare proxy and each build at each rate, in the order of the Config.
func (r *Report) Rows() (out []Row) {
	for _, rate := range r.Config.Rates {
		for _, b := range append([]Build{{Name: BareProxy}}, r.Config.Builds...) {
			out = append(out, r.row(b.Name, rate))
		}
	}
	return out
}

// find returns the measurement of a build at a rate in a round, unless it is void or missing.
func (r *Report) find(build string, rate, round int) (Measurement, bool) {
	for _, m := range r.Measurements {
		if m.Build == build && m.Rate == rate && m.Round == round && m.Void == "" {
			return m, true
		}
	}
	return Measurement{}, false
}

func (r *Report) row(build string, rate int) Row {
	row := Row{Build: build, Rate: rate}
	var valid []Measurement
	var addedP50, addedP99, cpuRatio, peakRatio []float64
	for _, m := range r.Measurements {
		if m.Build != build || m.Rate != rate {
			continue
		}
		row.Rounds++
		row.Sent += m.Sent
		row.Rejected += m.Rejected
		row.Failed += m.Failed
		row.Mismatched += m.Mismatched
		if m.Void != "" {
			row.Void++
			continue
		}
		valid = append(valid, m)
		if bare, ok := r.find(BareProxy, rate, m.Round); ok {
			addedP50 = append(addedP50, m.P50-bare.P50)
			addedP99 = append(addedP99, m.P99-bare.P99)
			cpuRatio = append(cpuRatio, m.CPU/bare.CPU)
		}
		if first, ok := r.find(r.Config.Builds[0].Name, rate, m.Round); ok {
			peakRatio = append(peakRatio, m.PeakMB/first.PeakMB)
		}
	}
	spread := func(value func(Measurement) float64) Spread {
		var values []float64
		for _, m := range valid {
			values = append(values, value(m))
		}
		return spreadOf(values)
	}
	row.P50 = spread(func(m Measurement) float64 { return m.P50 })
	row.P90 = spread(func(m Measurement) float64 { return m.P90 })
	row.P99 = spread(func(m Measurement) float64 { return m.P99 })
	row.P999 = spread(func(m Measurement) float64 { return m.P999 })
	row.CPU = spread(func(m Measurement) float64 { return m.CPU })
	row.PeakMB = spread(func(m Measurement) float64 { return m.PeakMB })
	row.ConnectionsOpened = spread(func(m Measurement) float64 { return float64(m.ConnectionsOpened) })
	row.Handshakes = spread(func(m Measurement) float64 { return m.Handshakes })
	row.Switches = spread(func(m Measurement) float64 { return m.Switches })
	row.LoadDelay = spread(func(m Measurement) float64 { return m.LoadDelay })
	row.AddedP50, row.AddedP99 = spreadOf(addedP50), spreadOf(addedP99)
	row.CPURatio, row.PeakRatio = spreadOf(cpuRatio), spreadOf(peakRatio)
	return row
}

// Voids returns a line for each void measurement, with the reason.
func (r *Report) Voids() []string { return voidLines(r.Measurements) }

func voidLines(measurements []Measurement) (out []string) {
	for _, m := range measurements {
		if m.Void != "" {
			out = append(out, fmt.Sprintf("VOID: %s at %d a second, round %d: %s of %d",
				m.Build, m.Rate, m.Round+1, m.Void, m.Sent))
		}
	}
	return out
}

// Text renders the report as Markdown tables. Each cell has the median over the rounds, and in parentheses the range.
func (r *Report) Text() string {
	rows := r.Rows()
	var b strings.Builder
	fmt.Fprintf(&b, "%d rounds of %v, %d backends of %v, %d client connections, GOMAXPROCS=1; "+
		"milliseconds from when a request was due\n\n",
		r.Config.Repeats, r.Config.Length, r.Config.Backends, r.Config.Work, r.Config.Connections)
	latencyHead := []string{"rate", "build", "p50", "p90", "p99", "p99.9", "added p50", "added p99"}
	table(&b, latencyHead, rows, func(x Row) []string {
		cells := []string{x.P50.text(2), x.P90.text(2), x.P99.text(2), x.P999.text(2), "", ""}
		if x.Build != BareProxy {
			cells[4], cells[5] = x.AddedP50.text(2), x.AddedP99.text(2)
		}
		return cells
	})
	usageHead := []string{
		"rate", "build", "CPU us a request", "times bare", "peak MB", "times " + r.Config.Builds[0].Name,
		"connections", "handshakes a request", "sleeps a request",
	}
	table(&b, usageHead, rows, func(x Row) []string {
		return []string{
			x.CPU.text(0), x.CPURatio.text(2), x.PeakMB.text(1), x.PeakRatio.text(2),
			x.ConnectionsOpened.text(0), x.Handshakes.text(4), x.Switches.text(2),
		}
	})
	outcomeHead := []string{
		"rate", "build", "sent", "refused", "failed", "answers of another request", "void rounds", "load late p99",
	}
	table(&b, outcomeHead, rows, func(x Row) []string {
		return []string{
			fmt.Sprint(x.Sent), fmt.Sprint(x.Rejected), fmt.Sprint(x.Failed), fmt.Sprint(x.Mismatched),
			fmt.Sprintf("%d of %d", x.Void, x.Rounds), x.LoadDelay.text(2),
		}
	})
	for _, line := range r.Voids() {
		fmt.Fprintln(&b, line)
	}
	return b.String()
}

func (s Spread) text(digits int) string {
	if s.Min == s.Max {
		return fmt.Sprintf("%.*f", digits, s.Median)
	}
	return fmt.Sprintf("%.*f (%.*f to %.*f)", digits, s.Median, digits, s.Min, digits, s.Max)
}

// table writes a Markdown table. The first two cells of each row are the rate and the build, cells returns the others.
func table(b *strings.Builder, head []string, rows []Row, cells func(Row) []string) {
	w := tabwriter.NewWriter(b, 0, 0, 1, ' ', 0)
	line := func(cells []string) { fmt.Fprintln(w, "| "+strings.Join(cells, "\t| ")+"\t|") }
	line(head)
	line(slices.Repeat([]string{"---"}, len(head)))
	for _, x := range rows {
		line(append([]string{fmt.Sprint(x.Rate), x.Build}, cells(x)...))
	}
	w.Flush()
	b.WriteByte('\n')
}
