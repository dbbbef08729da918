package experiment

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"hitchspring/internal/lab"
)

// Estimate is a mean with the half-width of its 95% confidence interval, by Student's t-distribution. Half is infinite
// for fewer than two values.
type Estimate struct {
	Mean, Half float64
	N          int
}

// estimate returns the Estimate of the values. Its mean is NaN if there are none.
func estimate(v []float64) Estimate {
	if len(v) == 0 {
		return Estimate{Mean: math.NaN(), Half: math.Inf(1)}
	}
	mean, dev := stat.MeanStdDev(v, nil)
	if len(v) < 2 {
		return Estimate{mean, math.Inf(1), len(v)}
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(v) - 1)}.Quantile(0.975)
	return Estimate{mean, t * dev / math.Sqrt(float64(len(v))), len(v)}
}

// String formats the mean with its confidence interval.
func (e Estimate) String() string {
	if math.IsInf(e.Half, 1) {
		return fmt.Sprintf("%+.3f (one run)", e.Mean)
	}
	return fmt.Sprintf("%+.3f ± %.3f", e.Mean, e.Half)
}

// Row summarizes the runs of one variant on one scenario.
type Row struct {
	Scenario, Variant string
	Runs, Broken      int
	Unjudged          int
	Service           []float64 // ordered by seed
	CPU, Peak         float64   // means of CPU time per attempt in us, and of peak memory in MB
	Diff              Estimate  // difference of service from the first variant, paired by seed
}

// Rows returns a row for each scenario and variant that has runs.
func (s *Spec) Rows(lines []RunResult) (out []Row) {
	for _, scenario := range s.Scenarios {
		var baseline map[uint64]float64 // service of the first variant by seed
		for i, v := range s.Variants {
			list := linesOf(lines, scenario, v.Name)
			if i == 0 {
				baseline = serviceBySeed(list)
			}
			if len(list) == 0 {
				continue
			}
			row := newRow(scenario, v.Name, list)
			if i > 0 {
				row.Diff = estimate(differences(serviceBySeed(list), baseline))
			}
			out = append(out, row)
		}
	}
	return out
}

// linesOf returns the unpaired runs of a variant on a scenario, ordered by seed.
func linesOf(lines []RunResult, scenario, variant string) (out []RunResult) {
	for _, l := range lines {
		if l.Scenario == scenario && len(l.Variants) == 1 && l.Variants[0] == variant {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b RunResult) int { return int(a.Seed) - int(b.Seed) })
	return out
}

// newRow summarizes the runs of one variant on one scenario. list must not be empty.
func newRow(scenario, variant string, list []RunResult) Row {
	row := Row{Scenario: scenario, Variant: variant, Runs: len(list)}
	for _, l := range list {
		switch l.Code {
		case lab.Broken:
			row.Broken++
		case lab.Unjudged:
			row.Unjudged++
		}
		row.Service = append(row.Service, l.Report.Service)
		row.CPU += l.Report.CPUPerRequestUS
		peak := 0.0
		for _, process := range l.Report.Processes {
			peak = max(peak, process.PeakMB)
		}
		row.Peak += peak
	}
	row.CPU /= float64(row.Runs)
	row.Peak /= float64(row.Runs)
	return row
}

// serviceBySeed returns the service of each run by its seed.
func serviceBySeed(list []RunResult) map[uint64]float64 {
	out := map[uint64]float64{}
	for _, l := range list {
		out[l.Seed] = l.Report.Service
	}
	return out
}

// differences returns values minus baseline for the seeds that both have.
func differences(values, baseline map[uint64]float64) (out []float64) {
	for seed, value := range values {
		if base, found := baseline[seed]; found {
			out = append(out, value-base)
		}
	}
	return out
}

// Pair compares the cost of two variants that share a testbed: the second relative to the first in the same run.
type Pair struct {
	Scenario       string
	CPU, PeakRatio Estimate // ratio of CPU time per attempt, and of peak memory
	More           Estimate // difference of peak memory in MB
}

// Pairs compares the variants for each scenario over the runs in which they shared a testbed.
func (s *Spec) Pairs(lines []RunResult) (out []Pair) {
	for _, d := range s.Scenarios {
		var cpu, peak, more []float64
		for _, l := range lines {
			if l.Scenario != d || len(l.Variants) != 2 {
				continue
			}
			c0, p0 := variantUsage(l, s.Variants[0].Name)
			c1, p1 := variantUsage(l, s.Variants[1].Name)
			if c0 > 0 && p0 > 0 {
				cpu, peak, more = append(cpu, c1/c0), append(peak, p1/p0), append(more, p1-p0)
			}
		}
		if len(cpu) > 0 {
			out = append(out, Pair{d, estimate(cpu), estimate(peak), estimate(more)})
		}
	}
	return out
}

// variantUsage returns the CPU time per attempt and the mean peak memory of one variant's processes in a paired run,
// where the processes of the two variants alternate.
func variantUsage(l RunResult, variant string) (cpuUS, peakMB float64) {
	from := slices.Index(l.Variants, variant)
	cpu, attempts, n := 0.0, 0, 0
	for i := from; i < len(l.Report.Processes); i += 2 {
		p := l.Report.Processes[i]
		cpu, attempts, peakMB, n = cpu+p.CPUSeconds, attempts+p.Attempts, peakMB+p.PeakMB, n+1
	}
	return cpu * 1e6 / float64(max(1, attempts)), peakMB / float64(max(1, n))
}

// Text returns the comparison as a table for the terminal.
func (s *Spec) Text(lines []RunResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n%-12s %-16s %5s %7s %10s %8s %9s %7s  %s\n",
		"day", "variant", "runs", "broken", "no verdict", "service", "CPU us", "MB",
		"service against "+s.Variants[0].Name+", 95% interval")
	for _, r := range s.Rows(lines) {
		diff := ""
		if r.Variant != s.Variants[0].Name {
			diff = r.Diff.String()
		}
		fmt.Fprintf(&b, "%-12s %-16s %5d %7d %10d %8.3f %9.0f %7.1f  %s\n",
			r.Scenario, r.Variant, r.Runs, r.Broken, r.Unjudged, stat.Mean(r.Service, nil), r.CPU, r.Peak, diff)
	}
	for _, p := range s.Pairs(lines) {
		fmt.Fprintf(&b, "%-12s %s against %s in one world: CPU a try %.3f ± %.3f of it, "+
			"memory %+.1f ± %.1f MB, %d runs\n",
			p.Scenario, s.Variants[1].Name, s.Variants[0].Name,
			p.CPU.Mean, p.CPU.Half, p.More.Mean, p.More.Half, p.CPU.N)
	}
	return b.String()
}
