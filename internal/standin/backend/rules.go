package backend

import "time"

// Work is how long a request of a class takes on a core of speed 1: evenly distributed between Min and Max.
type Work struct{ Min, Max time.Duration }

// Mean returns the middle of the distribution.
func (w Work) Mean() time.Duration { return (w.Min + w.Max) / 2 }

// defaultWork is that of a class which the rules do not name.
var defaultWork = Work{20 * time.Millisecond, 40 * time.Millisecond}

// Rules are what all backends of a fleet have in common. A zero field leaves its effect out.
type Rules struct {
	// Work is by class; a class that is not here takes 20 to 40 ms.
	Work map[string]Work
	// KeyMemory is for how long a rack drops repeats of an idempotency key.
	KeyMemory time.Duration
	// SlowStartShare is the share of its capacity with which a cold backend starts.
	SlowStartShare float64
	// SlowStartWindow is the time from a cold start to the complete capacity.
	SlowStartWindow time.Duration
	// SlowStartRequests is the number of served requests that end the slow start if that is earlier; 0: time alone.
	SlowStartRequests int
	// OverloadMultiple is how many times its capacity a cold backend may be sent within OverloadSpan; beyond that it
	// falls over and stays down.
	OverloadMultiple float64
	OverloadSpan     time.Duration
	// OverloadSlack is work that may be sent in addition, so that chance alone does not push a backend over.
	OverloadSlack  time.Duration
	MaxConnections int
	// ConnWork is the work of a core for a new connection; its first request waits for it.
	ConnWork time.Duration
	// Knee is the number of requests in flight a core beyond which a backend grows less efficient.
	Knee float64
	// LossBeyond is the loss of efficiency for each request in flight a core beyond the knee.
	LossBeyond float64
}

// Spec describes one backend.
type Spec struct {
	ID    string
	Zone  string
	Kind  string
	Rack  int
	Cores int
	// Speed is that of each core; work is stated for speed 1.
	Speed float64
	// QueueCapacity is the number of requests in flight beyond which the backend answers BUSY.
	QueueCapacity int
}
