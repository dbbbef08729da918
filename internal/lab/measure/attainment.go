package measure

import (
	"cmp"
	"slices"
	"time"
)

// Attainment compares what was served in a span of a run with what an allocation that knows the true capacity could
// have served. All fields are in value within quotas.
type Attainment struct {
	Requested  float64 // of all operations that were due
	Attainable float64 // what the capacity allowed at the most
	Earned     float64 // by the operations that were served
}

// Ratio returns the fraction earned of what was attainable, 1 if nothing was.
func (a Attainment) Ratio() float64 {
	if a.Attainable <= 0 {
		return 1
	}
	return a.Earned / a.Attainable
}

// Add returns the attainment of two spans together.
func (a Attainment) Add(other Attainment) Attainment {
	return Attainment{
		Requested:  a.Requested + other.Requested,
		Attainable: a.Attainable + other.Attainable,
		Earned:     a.Earned + other.Earned,
	}
}

// minOperationWork bounds the work of an operation from below in seconds, so that one without work fits any capacity.
const minOperationWork = 1e-9

// rankedOperation is an operation within its quota, for the choice of what the capacity is best used for.
type rankedOperation struct {
	priority float64 // priority weight times price of a unit
	value    float64
	work     float64 // in seconds
}

// AttainmentPerSpan fills the capacity of each span with the operations within quotas that were due in it, those of
// the highest priority (priority weight times price) first, and compares their value with what the operations due
// then earned. capacity is the seconds of work a second that all backends could do in each span; work is the mean
// work of an operation by class. What a span cannot take is not carried over, because most latency objectives are
// shorter than a span.
func AttainmentPerSpan(
	classes map[string]Class,
	plans map[string]Plan,
	work map[string]time.Duration,
	operations []Operation,
	capacity []float64,
	span time.Duration,
) []Attainment {
	operations = sortedByDue(operations)
	attainments := make([]Attainment, len(capacity))
	ranked := make([][]rankedOperation, len(capacity))
	for i, credit := range creditOperations(classes, plans, operations) {
		operation := operations[i]
		k := int(operation.Due / span)
		if k < 0 || k >= len(capacity) {
			continue
		}
		if credit.requested > 0 {
			ranked[k] = append(ranked[k], rankedOperation{
				priority: classes[operation.Class].PriorityWeight * plans[operation.Plan].Price,
				value:    credit.requested,
				work:     work[operation.Class].Seconds(),
			})
		}
		attainments[k].Requested += credit.requested
		attainments[k].Earned += credit.earned
	}
	for k, list := range ranked {
		attainments[k].Attainable = attainableValue(list, capacity[k]*span.Seconds())
	}
	return attainments
}

// attainableValue returns the value of the operations of the highest priority that fit into a capacity in seconds
// of work. The last one counts with the fraction that fits.
func attainableValue(operations []rankedOperation, capacity float64) (value float64) {
	slices.SortStableFunc(operations, func(a, b rankedOperation) int { return cmp.Compare(b.priority, a.priority) })
	remaining := capacity
	for _, operation := range operations {
		fraction := min(1, remaining/max(operation.work, minOperationWork))
		value += fraction * operation.value
		remaining -= operation.work
		if remaining <= 0 {
			break
		}
	}
	return value
}
