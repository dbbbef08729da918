package measure

import (
	"cmp"
	"slices"
	"time"
)

// Attainment compares the value earned in a span of a run with the value that an optimal allocation of the true
// capacity could have earned. All fields count only value within quotas.
type Attainment struct {
	Requested  float64 // by all operations that were due
	Attainable float64 // maximum that the capacity allowed
	Earned     float64 // by operations that were served
}

// Ratio returns the earned fraction of the attainable value, or 1 if nothing was attainable.
func (a Attainment) Ratio() float64 {
	if a.Attainable <= 0 {
		return 1
	}
	return a.Earned / a.Attainable
}

// Add returns the combined attainment of two spans.
func (a Attainment) Add(other Attainment) Attainment {
	return Attainment{
		Requested:  a.Requested + other.Requested,
		Attainable: a.Attainable + other.Attainable,
		Earned:     a.Earned + other.Earned,
	}
}

// minOperationWork is the minimum work counted for an operation, in seconds. An operation without work then fits
// into any capacity, and no division by zero occurs.
const minOperationWork = 1e-9

// rankedOperation is an operation within its tenant's quota, as a candidate for the optimal allocation of capacity.
type rankedOperation struct {
	priority float64 // value of a unit: priority weight times price
	value    float64
	work     float64 // in seconds
}

// AttainmentPerSpan returns the attainment of each span. The attainable value is that of the operations within quotas
// that were due in the span, allocated to its capacity in descending order of priority (priority weight times price).
// capacity holds the total capacity of the backends in each span, in seconds of work per second. work is the mean work
// of an operation by class. Operations that do not fit into a span are not carried over to the next, because most
// latency objectives are shorter than a span.
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

// attainableValue returns the total value of the operations, in descending order of priority, that fit into a capacity
// in seconds of work. The last one counts with the fraction that fits.
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
