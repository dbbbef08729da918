package experiment

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"

	"hitchspring/internal/lab"
)

// unrecoveredS is the recovery time, in seconds, that the table counts for a run whose service never recovered.
const unrecoveredS = 99

// zoneMetrics holds the metrics of one variant on one scenario. Each slice has a value for every run with that metric.
type zoneMetrics struct {
	runs, broken int

	serviceBefore, serviceDuring, serviceAfter []float64 // before, during and after the loss of a zone
	recovery                                   []float64 // seconds until the service was near its maximum again
	lastSent                                   []float64 // seconds until the last command was sent to the lost zone
	longestQueue                               []float64 // longest time that a backend's queue was excessive, in s
	slowStartPush                              []float64
	crossZone                                  []float64
	swing                                      []float64
	service                                    []float64
}

// zoneMetricsOf collects the metrics of all runs of a variant on a scenario.
func zoneMetricsOf(lines []RunResult, scenario, variant string) (m zoneMetrics) {
	for _, l := range lines {
		if l.Scenario != scenario || l.Variants[0] != variant {
			continue
		}
		m.runs++
		m.broken += len(l.Report.Violations) + len(l.Report.Crashed)
		m.addLoss(l.Report.Loss)
		m.slowStartPush = append(m.slowStartPush, l.Report.Margins.SlowStartPush)
		m.crossZone = append(m.crossZone, l.Report.Score.CrossShare)
		m.swing = append(m.swing, l.Report.MaxSpillChange)
		m.service = append(m.service, l.Report.Service)
	}
	return m
}

// addLoss adds the metrics of a zone's loss. loss is nil if the run lost no zone.
func (m *zoneMetrics) addLoss(loss *lab.Loss) {
	if loss == nil {
		return
	}
	m.serviceBefore = append(m.serviceBefore, loss.Before)
	m.serviceDuring = append(m.serviceDuring, loss.During)
	m.serviceAfter = append(m.serviceAfter, loss.After)
	recovery := float64(unrecoveredS)
	if loss.RecoveryS >= 0 {
		recovery = loss.RecoveryS
	}
	m.recovery = append(m.recovery, recovery)
	if loss.LastSentS >= 0 {
		m.lastSent = append(m.lastSent, loss.LastSentS)
	}
	m.longestQueue = append(m.longestQueue, loss.LongestQueueS)
}

// cells returns the cells of a table row, without those of the scenario and the variant.
func (m *zoneMetrics) cells() []string {
	return []string{
		fmt.Sprint(m.runs),
		fmt.Sprint(m.broken),
		cell("%.3f", m.serviceBefore, meanOf),
		cell("%.3f", m.serviceDuring, meanOf),
		cell("%.3f", m.serviceDuring, slices.Min),
		cell("%.3f", m.serviceAfter, meanOf),
		cell("%.3f", m.serviceAfter, slices.Min),
		cell("%.1f", m.recovery, meanOf),
		cell("%.1f", m.recovery, slices.Max),
		cell("%.2f", m.lastSent, meanOf),
		cell("%.2f", m.lastSent, slices.Max),
		cell("%.1f", m.longestQueue, slices.Max),
		cell("%.2f", m.slowStartPush, slices.Max),
		cell("%.2f", m.crossZone, meanOf),
		cell("%.2f", m.swing, meanOf),
		cell("%.2f", m.swing, slices.Max),
		cell("%.3f", m.service, meanOf),
	}
}

func meanOf(values []float64) float64 { return stat.Mean(values, nil) }

// cell formats a summary of values. It returns a dash if there are none.
func cell(format string, values []float64, summarize func([]float64) float64) string {
	if len(values) == 0 {
		return "-"
	}
	return fmt.Sprintf(format, summarize(values))
}

// ZoneText returns a table of the zone metrics with a row for each scenario and variant. A column is the mean over the
// runs, or the worst of them.
func (s *Spec) ZoneText(lines []RunResult) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "day\t[halls]\truns\tbroken\tbefore\tduring\tworst\tafter\tworst\tnear best s\tworst\t"+
		"last sent s\tworst\tqueue s\tcold push\tcross\tswing\tworst\tservice\t")
	for _, scenario := range s.Scenarios {
		for _, v := range s.Variants {
			m := zoneMetricsOf(lines, scenario, v.Name)
			if m.runs == 0 {
				continue
			}
			cells := append([]string{scenario, v.Name}, m.cells()...)
			fmt.Fprintln(w, strings.Join(cells, "\t")+"\t")
		}
	}
	w.Flush()
	return b.String()
}
