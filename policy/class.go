package policy

import "time"

// Effect states whether the requests of a class may be repeated.
type Effect uint8

// Effects. An unknown value is treated like Unsafe.
const (
	Unsafe Effect = iota // must not run twice
	Safe                 // may run any number of times
	Keyed                // has an idempotency key: the backends of one group drop repeats for RepeatWindow
)

// Group states which backends share the idempotency keys that they have seen.
type Group uint8

// Groups: the backends of one cell, of one zone, or all.
const (
	GroupCell Group = iota
	GroupZone
	GroupAll
)

// Class defines a class of requests.
type Class struct {
	Name             string
	PriorityWeight   float64
	LatencyObjective time.Duration // a response within it earns the full priority weight
	Deadline         time.Duration
	LateShare        float64 // share of the priority weight that a later response earns
	Effect           Effect
	Group            Group         // keyed classes: the backends that drop repeats
	RepeatWindow     time.Duration // keyed classes: how long they drop repeats
}

// class is a Class with the statistics of its responses.
type class struct {
	Class

	meanLatency      float64 // seconds; 0: no responses yet
	latencyDeviation float64 // mean deviation, seconds
	timely           int     // timely ends in the current round of the window
	untimely         int     // untimely ends in the current round of the window
}

// expectedLatency returns the mean latency plus the given number of mean
// deviations.
func (c *class) expectedLatency(deviations float64) time.Duration {
	return time.Duration((c.meanLatency + deviations*c.latencyDeviation) * float64(time.Second))
}
