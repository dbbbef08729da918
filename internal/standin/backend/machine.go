package backend

import (
	"fmt"
	"math"
	"time"
)

// Work says how long a request of a class takes on a core of speed 1: evenly between Least and Most.
type Work struct{ Min, Max time.Duration }

// Mean is its middle.
func (w Work) Mean() time.Duration { return (w.Min + w.Max) / 2 }

// Rules are the figures that hold for all nodes of a fleet. A zero figure leaves its effect out.
type Rules struct {
	Work              map[string]Work // by class; of one that is not here 20 to 40 ms
	KeyMemory         time.Duration   // for how long a rack drops repeats of a key
	SlowStartShare    float64         // of its capacity, with which a node starts
	SlowStartWindow   time.Duration   // time from a cold start to the whole of it
	SlowStartRequests int             // served requests that warm it as well, whichever is first; 0: time alone
	OverloadMultiple  float64         // a cold node that is sent more than so many times what it can do
	OverloadSpan      time.Duration   // within so long falls over and stays down
	OverloadSlack     time.Duration   // of work, for chance
	MaxConnections    int
	ConnWork          time.Duration // of a core, for a new connection; its first request waits for it
	Knee              float64       // open requests a core beyond which a node grows less efficient
	LossBeyond        float64       // of its efficiency, for each open request a core beyond the knee
}

// Spec is one machine.
type Spec struct {
	ID, Zone, Kind string
	Rack           int
	Cores          int
	Speed          float64 // of a core
	QueueCapacity  int     // requests that it holds, in work and waiting; beyond them it answers BUSY
}

// usualWork is that of a class without a figure of its own.
var defaultWork = Work{20 * time.Millisecond, 40 * time.Millisecond}

// machine is the model of one node: cores that share nothing but what slows them all, a queue before them, warmth, and the
// budget that a cold one falls over by. It does no I/O; the time comes with each call and never goes back.
type machine struct {
	Spec
	rules   *Rules
	now     time.Duration
	cold    bool
	startedAt   time.Duration // of a cold start
	served  int
	inFlight    int // requests held
	running []*job
	queue   []*job
	slowdowns  []slowdown
	neighbour   neighbour
	pausedUntil  time.Duration // until then nothing moves
	recentWork    []arrivedWork    // to a cold node, within the span
	peakOverload  float64       // the most that was sent within a span, as a share of what lets it fall
	failure    string        // why it fell over
	failedAt  time.Duration
}

// job is work on one core.
type job struct {
	remaining   float64 // seconds of a core of speed 1
	began time.Duration
	done  chan struct{}
}

type slowdown struct {
	factor float64
	until time.Duration
}

// neighbour is another program on the machine: it takes a share of it, on and off.
type neighbour struct {
	share    float64
	on, off  time.Duration
	from, to time.Duration
}

func (n neighbour) shareAt(now time.Duration) float64 {
	if now < n.from || now >= n.to || (now-n.from)%(n.on+n.off) >= n.on {
		return 0
	}
	return n.share
}

type arrivedWork struct {
	at   time.Duration
	work float64 // seconds of a core of speed 1
}

// warmth is the share of its capacity that a node has by its age, or by what it has served.
func (m *machine) warmth() float64 {
	if !m.cold || m.rules.SlowStartWindow <= 0 {
		return 1
	}
	grown := (m.now - m.startedAt).Seconds() / m.rules.SlowStartWindow.Seconds()
	if m.rules.SlowStartRequests > 0 {
		grown = max(grown, float64(m.served)/float64(m.rules.SlowStartRequests))
	}
	return m.rules.SlowStartShare + (1-m.rules.SlowStartShare)*min(1, grown)
}

// capacity is what it could do now if nothing slowed it, in seconds of work a second.
func (m *machine) capacity() float64 { return m.Speed * float64(m.Cores) * m.warmth() }

// rate is what one core does now.
func (m *machine) rate() float64 {
	if m.now < m.pausedUntil {
		return 0
	}
	r := m.Speed * m.warmth() * (1 - m.neighbour.shareAt(m.now))
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

// advance brings the machine to a time. What changes its speed counts from the next call on, so calls are a millisecond
// or so apart.
func (m *machine) advance(now time.Duration) {
	for left := (now - m.now).Seconds(); left > 0 && len(m.running) > 0; {
		r := m.rate()
		if r <= 0 {
			break
		}
		step := left
		for _, j := range m.running {
			step = min(step, j.remaining/r)
		}
		at := now - time.Duration((left-step)*float64(time.Second))
		kept := m.running[:0]
		for _, j := range m.running {
			if j.remaining -= step * r; j.remaining > 1e-9 {
				kept = append(kept, j)
			} else {
				close(j.done)
			}
		}
		clear(m.running[len(kept):])
		m.running = kept
		m.startQueued(at)
		left -= step
	}
	m.now = max(m.now, now)
	if len(m.slowdowns) > 0 {
		kept := m.slowdowns[:0]
		for _, s := range m.slowdowns {
			if m.now < s.until {
				kept = append(kept, s)
			}
		}
		m.slowdowns = kept
	}
}

// fill gives free cores work.
func (m *machine) startQueued(at time.Duration) {
	for len(m.running) < m.Cores && len(m.queue) > 0 {
		j := m.queue[0]
		m.queue[0] = nil
		m.queue = m.queue[1:]
		j.began = at
		m.running = append(m.running, j)
	}
}

// add takes work in at the end of the queue.
func (m *machine) add(work time.Duration) *job {
	j := &job{remaining: work.Seconds(), done: make(chan struct{})}
	m.queue = append(m.queue, j)
	m.startQueued(m.now)
	return j
}

// push counts what a cold node is sent, also what it turns away: within any span it must stay under the multiple of what
// the node can do at the moment. It says whether the node has fallen over.
func (m *machine) addOverload(work time.Duration) bool {
	r := m.rules
	if r.OverloadMultiple <= 0 || m.warmth() >= 1 {
		m.recentWork = nil
		return false
	}
	m.recentWork = append(m.recentWork, arrivedWork{m.now, work.Seconds()})
	for len(m.recentWork) > 0 && m.now-m.recentWork[0].at > r.OverloadSpan {
		m.recentWork = m.recentWork[1:]
	}
	sum := 0.0
	for _, s := range m.recentWork {
		sum += s.work
	}
	most := r.OverloadMultiple*m.capacity()*r.OverloadSpan.Seconds() + r.OverloadSlack.Seconds()
	m.peakOverload = max(m.peakOverload, sum/most)
	if sum <= most || m.failure != "" {
		return false
	}
	m.failedAt = m.now
	m.failure = fmt.Sprintf("%.2f s of work came within %v, %.2f is %g times what it can do at %.0f%% of its warmth, %v after its start", sum, r.OverloadSpan,
		most, r.OverloadMultiple, 100*m.warmth(), (m.now - m.startedAt).Round(time.Millisecond))
	return true
}

// slow makes it so many times slower until a time; spells multiply.
func (m *machine) slowDown(times float64, until time.Duration) {
	m.slowdowns = append(m.slowdowns, slowdown{math.Max(times, 1e-3), until})
}
