package policy

import "time"

// Effect says whether the requests of a class may be repeated.
type Effect uint8

// Effects; an unknown one counts as Unsafe.
const (
	Unsafe Effect = iota // must not run twice
	Safe                 // may run any number of times
	Keyed                // has an idempotency key: backends of one group drop repeats for a while
)

// Group says which backends share the idempotency keys that they have seen.
type Group uint8

// Groups.
const (
	GroupCell Group = iota
	GroupZone
	GroupAll
)

// Class is a kind of request.
type Class struct {
	Name             string
	PriorityWeight   float64
	LatencyObjective time.Duration // an answer within it earns the full priority weight
	Deadline         time.Duration
	LateShare        float64 // share of the priority weight that a later answer earns
	Effect           Effect
	Group            Group         // keyed classes: which backends drop repeats
	RepeatWindow     time.Duration // keyed classes: for how long they do
}

// class is a Class with what has been learned of its answers.
type class struct {
	Class

	meanLatency      float64 // seconds; 0: nothing has been answered
	latencyDeviation float64 // mean deviation, seconds
	timely           int     // timely ends in the window's round
	untimely         int     // untimely ends in the window's round
}

// expectedLatency returns the mean latency and so many mean deviations more.
func (c *class) expectedLatency(deviations float64) time.Duration {
	return time.Duration((c.meanLatency + deviations*c.latencyDeviation) * float64(time.Second))
}
