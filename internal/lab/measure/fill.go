package measure

import (
	"cmp"
	"slices"
	"time"
)

// Fill is what an allocation that knows the true capacity would have reached in each span of a run, beside what was reached.
type Attainment struct {
	Requested, Attainable, Earned float64 // worth inside quotas: asked for, to be had at the most, earned
}

// Ratio is what was earned of what was to be had.
func (a Attainment) Ratio() float64 {
	if a.Attainable <= 0 {
		return 1
	}
	return a.Earned / a.Attainable
}

// Add sums two spans up.
func (a Attainment) Add(o Attainment) Attainment {
	return Attainment{a.Requested + o.Requested, a.Attainable + o.Attainable, a.Earned + o.Earned}
}

// WorthOrdered fills the capacity of each span with the wishes inside quotas that were due in it, the highest priority (worth
// of a unit times price) first, and compares what they are worth with what was earned of those that were due then. able is
// the work a second that all nodes could do in each span; work is what a wish of a class takes at the mean. What a span cannot
// take is not carried over: most aims are shorter than a span.
func MeasureAttainment(classes map[string]Class, plans map[string]Plan, work map[string]time.Duration, wishes []Operation, able []float64, span time.Duration) []Attainment {
	wishes = slices.Clone(wishes)
	slices.SortStableFunc(wishes, func(a, b Operation) int { return cmp.Compare(a.Due, b.Due) })
	out := make([]Attainment, len(able))
	type item struct{ rank, worth, work float64 }
	asks := make([][]item, len(able))
	for i, x := range creditOperations(classes, plans, wishes) {
		w := wishes[i]
		k := int(w.Due / span)
		if k < 0 || k >= len(able) {
			continue
		}
		if x.requested > 0 {
			asks[k] = append(asks[k], item{rank: classes[w.Class].PriorityWeight * plans[w.Plan].Price, worth: x.requested, work: work[w.Class].Seconds()})
		}
		out[k].Requested += x.requested
		out[k].Earned += x.earned
	}
	for k, list := range asks {
		slices.SortStableFunc(list, func(a, b item) int { return cmp.Compare(b.rank, a.rank) })
		room := able[k] * span.Seconds()
		for _, x := range list {
			part := min(1, room/max(x.work, 1e-9))
			out[k].Attainable += part * x.worth
			if room -= x.work; room <= 0 {
				break
			}
		}
	}
	return out
}
