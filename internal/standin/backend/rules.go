package backend

import "time"

// Work is the service time of a class's requests on a core of speed 1, uniformly distributed between Min and Max.
type Work struct{ Min, Max time.Duration }

// Mean returns the mean of the distribution.
func (w Work) Mean() time.Duration { return (w.Min + w.Max) / 2 }

// defaultWork is the work of a class that Rules.Work doesn't contain.
var defaultWork = Work{20 * time.Millisecond, 40 * time.Millisecond}

// Rules configures the behaviour that all backends of a fleet share. A zero field disables its effect.
type Rules struct {
	// Work is the work of a request by class; a class that is not listed takes 20 to 40 ms.
	Work map[string]Work
	// KeyRetention is how long a rack deduplicates commands with the same idempotency key.
	KeyRetention time.Duration
	// SlowStartShare is the share of its full capacity that a backend has at the beginning of slow start.
	SlowStartShare float64
	// SlowStartWindow is the time that slow start takes to reach full capacity.
	SlowStartWindow time.Duration
	// SlowStartRequests is the number of served requests that end slow start early; 0 means that only time counts.
	SlowStartRequests int
	// OverloadMultiple is the multiple of its current capacity that a backend in slow start tolerates within
	// OverloadSpan. A backend that is sent more fails and stays stopped.
	OverloadMultiple float64
	OverloadSpan     time.Duration
	// OverloadSlack is added to the overload limit, so that random bursts alone don't make a backend fail.
	OverloadSlack  time.Duration
	MaxConnections int
	// ConnWork is the work of setting up a connection; the first request waits for it.
	ConnWork time.Duration
	// Knee is the number of requests in flight per core above which efficiency decreases.
	Knee float64
	// LossAboveKnee is the relative increase in service time for each request in flight per core above Knee.
	LossAboveKnee float64
}

// Spec describes one backend.
type Spec struct {
	ID    string
	Zone  string
	Kind  string
	Rack  int
	Cores int
	// Speed is the speed of each core. Work is specified for speed 1.
	Speed float64
	// QueueCapacity is the number of requests in flight at which the backend rejects further ones with BUSY.
	QueueCapacity int
}
