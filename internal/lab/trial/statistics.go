package trial

import "slices"

// ofCase returns a filter for the runs of a case with the feature under trial on or off.
func ofCase(name string, on bool) func(Result) bool {
	return func(r Result) bool { return r.Case == name && r.On == on }
}

// metricValues returns the sorted values of one metric in all conclusive runs that selected accepts.
func metricValues(results []Result, name string, selected func(Result) bool) (out []float64) {
	for _, r := range results {
		if v, has := r.Metrics[name]; has && selected(r) && len(r.Doubts) == 0 {
			out = append(out, v)
		}
	}
	slices.Sort(out)
	return out
}

// mean returns the mean of values, or 0 if there are none.
func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, x := range values {
		sum += x
	}
	return sum / float64(len(values))
}

// quantile returns the q-quantile of sorted values, or 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// ratio returns value relative to baseline, or 0 without a baseline.
func ratio(value, baseline float64) float64 {
	if baseline <= 0 {
		return 0
	}
	return value / baseline
}
