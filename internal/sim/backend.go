package sim

import (
	"fmt"
	"slices"
	"time"

	"hitchspring/policy"
)

const maxQueueLength = 40 // attempts that wait at a backend; it rejects more

// backend simulates a backend as a queue that is served by cores. In slow start its
// cores are slower.
type backend struct {
	policy.Backend

	cores              int
	speed              float64 // speed of a core, relative to full speed
	slowdown           float64 // factor by which all work takes longer; 1: none
	down               bool    // the machine is off
	refusesConnections bool    // it refuses all connections
	hangs              bool    // it accepts attempts and never answers
	incarnation        int     // number of stops so far; work of an earlier incarnation is dropped
	queue              []*attempt
	busyCores          int
	recentWork         []timedWork // work that arrived in the last overloadSpan, recorded in slow start only
	slowStartRecord    *slowStartRecord
}

// timedWork is work with its time of arrival.
type timedWork struct {
	at     time.Duration
	amount float64 // seconds of one core of this backend
}

// attempt is one attempt of a request.
type attempt struct {
	request *request
	index   int      // number among the request's attempts, from 0
	backend *backend // nil: the instance sent to an unknown backend ID
	work    float64  // seconds of one core at full speed
	sentAt  time.Duration
	ended   bool
	counted *tenant // tenant whose inFlight includes the attempt; nil: it has not arrived or has ended
}

// newBackend returns the backend with an index: the index determines its ID, zone, cell
// and cores.
func newBackend(index int) *backend {
	b := &backend{
		Backend: policy.Backend{
			ID:    policy.BackendID(fmt.Sprintf("n-%08x", uint32(index*2654435761))),
			Zone:  zoneName(index),
			Cell:  index / 4,
			State: policy.Running,
		},
		cores:    2,
		speed:    0.95,
		slowdown: 1,
	}
	if index%3 == index/3%3 {
		b.cores = 3
		b.speed = 0.6
	}
	return b
}

func zoneName(index int) string { return string(rune('a' + index%3)) }

// replacement returns a new backend on the same machine. Its ID has the suffix
// appended.
func (b *backend) replacement(suffix policy.BackendID) *backend {
	added := &backend{Backend: b.Backend, cores: b.cores, speed: b.speed, slowdown: 1}
	added.ID += suffix
	return added
}

// stopBackend stops a backend. Its queued and running work is lost without an answer.
func (s *simulation) stopBackend(b *backend) {
	b.down = true
	b.State = policy.Removed
	b.incarnation++
	b.queue = nil
	b.busyCores = 0
}

// startBackend starts a backend in slow start.
func (s *simulation) startBackend(b *backend) {
	b.down = false
	b.State = policy.Running
	b.Started = epoch + s.now
	b.recentWork = nil
	s.beginSlowStart(b)
}

// findBackend returns the backend with an ID, or nil.
func (s *simulation) findBackend(id policy.BackendID) *backend {
	i := slices.IndexFunc(s.backends, func(b *backend) bool { return b.ID == id })
	if i < 0 {
		return nil
	}
	return s.backends[i]
}

// sendAttempt sends an attempt to its backend. The attempt times out when its client
// gives up.
func (s *simulation) sendAttempt(i *instance, action policy.SendAttempt) {
	r := s.requests[action.ID]
	b := s.findBackend(action.Backend)
	a := &attempt{request: r, index: len(r.attempts), backend: b, sentAt: s.now}
	r.attempts = append(r.attempts, a)
	if b == nil {
		s.endAttemptAfter(i, linkDelay, a, policy.NoConnect)
		return
	}
	if since, ok := i.drainingSince[action.Backend]; ok && s.now > since+drainGrace {
		s.report.SentToDraining++
	}
	a.work = s.rng.ExpFloat64() * s.workOf(r.class)
	s.after(linkDelay, func() { s.receiveAttempt(a) })
	s.endAttemptAfter(i, r.GiveUpAt-epoch-s.now, a, policy.TimedOut)
}

// endAttemptAfter ends an attempt for its instance after a delay, unless the instance is
// down or in another incarnation by then.
func (s *simulation) endAttemptAfter(i *instance, span time.Duration, a *attempt, outcome policy.Outcome) {
	s.notifyAfter(i, span, func() policy.Event {
		s.endAttempt(a, outcome)
		return nil
	})
}

// receiveAttempt handles the arrival of an attempt at its backend.
func (s *simulation) receiveAttempt(a *attempt) {
	b := a.backend
	switch {
	case b.down:
		s.after(dialTimeout, func() { s.endAttempt(a, policy.NoConnect) })
		return
	case b.refusesConnections:
		s.after(linkDelay, func() { s.endAttempt(a, policy.NoConnect) })
		return
	case b.hangs:
		return
	}
	if s.capacityShare(b) < 1 {
		b.slowStartRecord.record(s.now, a, s.workOf(a.request.class))
	}
	s.checkRules(a)
	if len(b.queue) >= maxQueueLength {
		s.after(linkDelay, func() { s.endAttempt(a, policy.Rejected) })
		return
	}
	b.queue = append(b.queue, a)
	s.startQueuedWork(b)
}

// startQueuedWork starts queued attempts while the backend has free cores.
func (s *simulation) startQueuedWork(b *backend) {
	for b.busyCores < b.cores && len(b.queue) > 0 {
		a := b.queue[0]
		b.queue = b.queue[1:]
		b.busyCores++
		incarnation := b.incarnation
		took := time.Duration(a.work * b.slowdown / (b.speed * s.capacityShare(b)) * float64(time.Second))
		s.after(took, func() {
			if b.incarnation != incarnation {
				return
			}
			b.busyCores--
			if !b.down && !b.hangs {
				s.after(linkDelay, func() { s.endAttempt(a, policy.Succeeded) })
			}
			s.startQueuedWork(b)
		})
	}
}

// endAttempt ends an attempt and notifies its instance of the outcome, unless the
// instance is down or the attempt has already ended there.
func (s *simulation) endAttempt(a *attempt, outcome policy.Outcome) {
	if a.counted != nil {
		a.counted.inFlight--
		a.counted = nil
	}
	r := a.request
	if a.ended || !r.instance.up {
		return
	}
	a.ended = true
	if outcome == policy.Succeeded && r.answers == 0 {
		s.answer(r.ID, true)
	}
	ended := policy.AttemptEnded{
		ID:       r.ID,
		Attempt:  a.index,
		Outcome:  outcome,
		Elapsed:  s.now - a.sentAt,
		Finished: r.answers > 0,
	}
	if a.backend != nil {
		ended.Backend = a.backend.ID
	}
	s.notifyAfter(r.instance, 0, func() policy.Event { return ended })
}
