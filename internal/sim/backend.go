package sim

import (
	"fmt"
	"slices"
	"time"

	"hitchspring/policy"
)

const maxQueue = 40 // requests that wait at a backend

// backend is a queue with cores. In slow start it does a part of its work.
type backend struct {
	policy.Backend

	cores       int
	speed       float64 // of a core
	slowdown    float64 // its work takes so many times as long
	down        bool    // the machine is off
	refuses     bool    // it refuses connections
	hangs       bool    // it takes what comes and never answers
	incarnation int     // stops so far; tells work of an earlier one apart
	queue       []*attempt
	busyCores   int
	recent      []timedWork // of the overload span, while in slow start
	slowStart   *slowStart
}

// timedWork is work that came at a time.
type timedWork struct {
	at     time.Duration
	amount float64 // seconds of a core of the backend
}

// attempt is an attempt of a request at a backend.
type attempt struct {
	request *request
	index   int      // among the request's attempts
	backend *backend // nil: its machine was replaced
	work    float64  // seconds of a core at full speed
	sentAt  time.Duration
	ended   bool
	counted *tenant // counts it as in flight; nil: it has not come, or has ended
}

// newBackend returns the backend of an index.
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

// replacement returns a new backend on the same machine, under another ID.
func (b *backend) replacement(suffix policy.BackendID) *backend {
	fresh := &backend{Backend: b.Backend, cores: b.cores, speed: b.speed, slowdown: 1}
	fresh.ID += suffix
	return fresh
}

func (s *simulation) stopBackend(b *backend) {
	b.down = true
	b.State = policy.Gone
	b.incarnation++
	b.queue = nil
	b.busyCores = 0
}

func (s *simulation) startBackend(b *backend) {
	b.down = false
	b.State = policy.Running
	b.Started = epoch + s.now
	b.recent = nil
	s.beginSlowStart(b)
}

func (s *simulation) findBackend(id policy.BackendID) *backend {
	i := slices.IndexFunc(s.backends, func(b *backend) bool { return b.ID == id })
	if i < 0 {
		return nil
	}
	return s.backends[i]
}

// send puts an attempt on its way to its backend.
func (s *simulation) send(i *instance, action policy.SendAttempt) {
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
	s.after(linkDelay, func() { s.receive(a) })
	s.endAttemptAfter(i, r.GiveUpAt-epoch-s.now, a, policy.TimedOut)
}

// endAttemptAfter ends an attempt after a while, as its instance sees it, if that is
// still in the same incarnation.
func (s *simulation) endAttemptAfter(i *instance, span time.Duration, a *attempt, outcome policy.Outcome) {
	s.notifyAfter(i, span, func() policy.Event {
		s.endAttempt(a, outcome)
		return nil
	})
}

// receive takes an attempt that has come to its backend.
func (s *simulation) receive(a *attempt) {
	b := a.backend
	switch {
	case b.down:
		s.after(dialTimeout, func() { s.endAttempt(a, policy.NoConnect) })
		return
	case b.refuses:
		s.after(linkDelay, func() { s.endAttempt(a, policy.NoConnect) })
		return
	case b.hangs:
		return
	}
	if s.capacityShare(b) < 1 {
		b.slowStart.record(s.now, a, s.workOf(a.request.class))
	}
	s.checkRules(a)
	if len(b.queue) >= maxQueue {
		s.after(linkDelay, func() { s.endAttempt(a, policy.Rejected) })
		return
	}
	b.queue = append(b.queue, a)
	s.serve(b)
}

// serve begins the work for which cores are free.
func (s *simulation) serve(b *backend) {
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
			s.serve(b)
		})
	}
}

// endAttempt ends an attempt as its instance sees it.
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
		Took:     s.now - a.sentAt,
		Finished: r.answers > 0,
	}
	if a.backend != nil {
		ended.Backend = a.backend.ID
	}
	s.notifyAfter(r.instance, 0, func() policy.Event { return ended })
}
