package backend

import (
	"slices"
	"time"
)

const (
	workEpsilon = 1e-9 // remaining work, in seconds, that counts as none; absorbs rounding errors
	minSlowdown = 1e-3 // smallest slowdown factor
)

// machine is the model of one backend: cores of equal speed that process jobs from one queue, slow start, and the
// overload limit during slow start. It does no I/O; callers pass in the time, which never decreases.
type machine struct {
	Spec
	rules     *Rules
	now       time.Duration
	slowStart bool
	startedAt time.Duration // start of slow start, if slowStart is set
	served    int           // requests served so far
	inFlight  int           // requests queued or running, or waiting for the job of an earlier request
	running   []*job        // one per busy core
	queue     []*job

	slowdowns   []slowdown
	neighbour   neighbour
	pausedUntil time.Duration // no work is done before this time

	recentWork []arrivedWork // work that arrived within the last overload span; used during slow start only
	peakLoad   float64       // largest sum of recent work so far, as a share of the overload limit
	failure    string        // why the backend failed from overload; empty if it has not
	failedAt   time.Duration
}

// job is a unit of work that runs on one core.
type job struct {
	remaining float64       // in seconds on a core of speed 1
	done      chan struct{} // closed when the job is complete or the backend stops
}

// slowdown divides the speed of a machine by a factor until a given time.
type slowdown struct {
	factor float64
	until  time.Duration
}

// neighbour is a noisy neighbour: another program that periodically takes a share of the machine's capacity.
type neighbour struct {
	share float64
	on    time.Duration // length of each busy period
	off   time.Duration // pause between busy periods
	from  time.Duration // start time
	to    time.Duration // end time
}

// shareAt returns the share of capacity that the neighbour takes at time now.
func (n neighbour) shareAt(now time.Duration) float64 {
	if now < n.from || now >= n.to || (now-n.from)%(n.on+n.off) >= n.on {
		return 0
	}
	return n.share
}

// capacity returns the capacity of all cores without slowdowns, in seconds of work per second.
func (m *machine) capacity() float64 { return m.Speed * float64(m.Cores) * m.capacityShare() }

// rate returns the effective speed of one core, in seconds of work per second.
func (m *machine) rate() float64 {
	if m.now < m.pausedUntil {
		return 0
	}
	r := m.Speed * m.capacityShare() * (1 - m.neighbour.shareAt(m.now))
	for _, s := range m.slowdowns {
		if m.now < s.until {
			r /= s.factor
		}
	}
	if beyond := float64(m.inFlight)/float64(m.Cores) - m.rules.Knee; m.rules.LossAboveKnee > 0 && beyond > 0 {
		r /= 1 + m.rules.LossAboveKnee*beyond
	}
	return r
}

// advance processes jobs up to time now. A change of speed in between is noticed only at the next call, so the caller
// must call it about every millisecond.
func (m *machine) advance(now time.Duration) {
	for left := (now - m.now).Seconds(); left > 0 && len(m.running) > 0; {
		rate := m.rate()
		if rate <= 0 {
			break
		}
		step := left
		for _, j := range m.running {
			step = min(step, j.remaining/rate)
		}
		m.work(step * rate)
		m.startQueued()
		left -= step
	}
	m.now = max(m.now, now)
	m.slowdowns = slices.DeleteFunc(m.slowdowns, func(s slowdown) bool { return m.now >= s.until })
}

// work subtracts seconds of work from each running job and completes those with none left.
func (m *machine) work(seconds float64) {
	m.running = slices.DeleteFunc(m.running, func(j *job) bool {
		j.remaining -= seconds
		done := j.remaining <= workEpsilon
		if done {
			close(j.done)
		}
		return done
	})
}

// startQueued starts queued jobs on free cores.
func (m *machine) startQueued() {
	for len(m.running) < m.Cores && len(m.queue) > 0 {
		m.running = append(m.running, m.queue[0])
		m.queue[0] = nil
		m.queue = m.queue[1:]
	}
}

// add queues a job of the given work, and starts it if a core is free.
func (m *machine) add(work time.Duration) *job {
	j := &job{remaining: work.Seconds(), done: make(chan struct{})}
	m.queue = append(m.queue, j)
	m.startQueued()
	return j
}

// slowDown slows the machine down by a factor until the given time. Concurrent slowdowns multiply.
func (m *machine) slowDown(factor float64, until time.Duration) {
	m.slowdowns = append(m.slowdowns, slowdown{max(factor, minSlowdown), until})
}
