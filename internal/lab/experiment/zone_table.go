package experiment

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// ZoneText returns a table of the zone metrics, with a line for each scenario and variant: means over seeds,
// and the worst.
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
