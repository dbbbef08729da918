package backend

import (
	"slices"
	"time"
)

const (
	negligibleWork = 1e-9 // seconds of work that count as done, for rounding
	minSlowdown    = 1e-3 // as a factor
)

// machine is the model of one backend: cores that share nothing but what slows them all, a queue before them, slow
// start, and the limit beyond which a cold one falls over. It does no I/O; the time comes with each call and never
// goes back.
type machine struct {
	Spec
	rules     *Rules
	now       time.Duration
	cold      bool
	startedAt time.Duration // of a cold start
	served    int           // requests that took effect
	inFlight  int           // requests queued or running, and those that wait for another's job
	running   []*job        // one for each busy core
	queue     []*job

	slowdowns   []slowdown
	neighbour   neighbour
	pausedUntil time.Duration // no work is done before

	recentWork   []arrivedWork // at a cold backend, within the overload span
	peakOverload float64       // the largest share of the overload limit that arrived within a span
	failure      string        // why the backend fell over; empty if it did not
	failedAt     time.Duration
}

// job is work on one core.
type job struct {
	remaining float64       // seconds of a core of speed 1
	done      chan struct{} // closed when nothing remains, or the backend ends
}

// slowdown divides the speed of a machine for a while.
type slowdown struct {
	factor float64
	until  time.Duration
}

// neighbour is another program on the machine, which takes a share of it, on and off.
type neighbour struct {
	share float64
	on    time.Duration // how long it takes its share at a time
	off   time.Duration // the pause before it does so again
	from  time.Duration
	to    time.Duration
}

// shareAt returns the share that the neighbour takes at a time.
func (n neighbour) shareAt(now time.Duration) float64 {
	if now < n.from || now >= n.to || (now-n.from)%(n.on+n.off) >= n.on {
		return 0
	}
	return n.share
}

// capacity returns what the machine could do now if nothing slowed it, in seconds of work a second.
func (m *machine) capacity() float64 { return m.Speed * float64(m.Cores) * m.capacityShare() }

// rate returns what one core does now, in seconds of work a second.
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
	if beyond := float64(m.inFlight)/float64(m.Cores) - m.rules.Knee; m.rules.LossBeyond > 0 && beyond > 0 {
		r /= 1 + m.rules.LossBeyond*beyond
	}
	return r
}

// advance moves the machine to a time. A change of its speed counts from the next call on, so the caller advances it
// every millisecond or so.
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

// work does so much work on each running job, and completes those that have none left.
func (m *machine) work(seconds float64) {
	m.running = slices.DeleteFunc(m.running, func(j *job) bool {
		j.remaining -= seconds
		done := j.remaining <= negligibleWork
		if done {
			close(j.done)
		}
		return done
	})
}

// startQueued gives work to free cores.
func (m *machine) startQueued() {
	for len(m.running) < m.Cores && len(m.queue) > 0 {
		m.running = append(m.running, m.queue[0])
		m.queue[0] = nil
		m.queue = m.queue[1:]
	}
}

// add appends work to the queue.
func (m *machine) add(work time.Duration) *job {
	j := &job{remaining: work.Seconds(), done: make(chan struct{})}
	m.queue = append(m.queue, j)
	m.startQueued()
	return j
}

// slowDown makes the machine slower by a factor until a time. Factors multiply.
func (m *machine) slowDown(factor float64, until time.Duration) {
	m.slowdowns = append(m.slowdowns, slowdown{max(factor, minSlowdown), until})
}
