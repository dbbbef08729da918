package sim

import (
	"cmp"
	"fmt"
	"time"

	"hitchspring/policy"
)

const (
	counterTimeout = 80 * time.Millisecond
	maxListJitter  = 300 * time.Millisecond // maximum random delay of an endpoint list update at an instance
)

// instance simulates one ingress instance with a real engine.
type instance struct {
	index          int
	engine         *policy.Engine
	up             bool
	incarnation    int                                // number of starts; events of earlier ones are dropped
	extraListDelay time.Duration                      // additional delay of its endpoint list updates
	drainingSince  map[policy.BackendID]time.Duration // when it was notified that a backend is draining or was removed
	notifiedStart  map[policy.BackendID]time.Duration // last start of each backend that it was notified of
}

// startInstance starts an instance with a new engine and notifies it of the backends
// that are running now.
func (s *simulation) startInstance(i *instance) error {
	instances := cmp.Or(s.assumedInstances, s.Instances)
	engine, err := policy.New(policy.Settings{
		Index:            i.index % instances,
		Instances:        instances,
		Zone:             zoneName(i.index),
		Classes:          classes(),
		Plans:            plans(),
		MaxUnits:         3,
		MaxAttempts:      4,
		MaxRetryAfter:    500 * time.Millisecond,
		MayCancel:        true,
		Hedging:          true,
		Counter:          true,
		CounterTimeout:   counterTimeout,
		CrossZonePrice:   0.01,
		SlowStartShare:   slowStartShare,
		SlowStartWindow:  slowStartWindow,
		OverloadMultiple: overloadMultiple,
		OverloadSpan:     overloadSpan,
		DrainGrace:       drainGrace,
	}, s.Seed*1000+uint64(i.index)+uint64(i.incarnation)<<32)
	if err != nil {
		return fmt.Errorf("sim: %w", err)
	}
	i.engine = engine
	i.up = true
	i.incarnation++
	i.drainingSince = map[policy.BackendID]time.Duration{}
	i.notifiedStart = map[policy.BackendID]time.Duration{}
	list := policy.EndpointsChanged{Complete: true}
	for _, b := range s.backends {
		if b.State == policy.Running {
			list.Backends = append(list.Backends, b.Backend)
			i.notifiedStart[b.ID] = b.Started
		}
	}
	s.notify(i, list)
	return nil
}

// notify passes an event to an instance's engine and executes the resulting actions.
func (s *simulation) notify(i *instance, event policy.Event) {
	for _, action := range i.engine.Handle(epoch+s.now, event, nil) {
		s.execute(i, action)
	}
}

// notifyAfter notifies an instance of an event after a delay, unless the instance is
// down or in another incarnation by then. It calls makeEvent only at that time; a nil
// event is skipped.
func (s *simulation) notifyAfter(i *instance, span time.Duration, makeEvent func() policy.Event) {
	incarnation := i.incarnation
	s.after(span, func() {
		if !i.up || i.incarnation != incarnation {
			return
		}
		if event := makeEvent(); event != nil {
			s.notify(i, event)
		}
	})
}

// execute executes one action of an instance.
func (s *simulation) execute(i *instance, action policy.Action) {
	switch a := action.(type) {
	case policy.SetTimer:
		s.notifyAfter(i, a.After, func() policy.Event { return policy.TimerFired{} })
	case policy.Reject:
		s.answer(a.ID, false)
	case policy.Fail:
		s.answer(a.ID, false)
	case policy.SendAttempt:
		s.sendAttempt(i, a)
	case policy.CancelAttempt:
		r := s.requests[a.ID]
		if r != nil && a.Attempt < len(r.attempts) {
			s.endAttempt(r.attempts[a.Attempt], policy.Canceled)
		}
	case policy.AddToCounter:
		s.answerCounterCall(i, a)
	case policy.WatchEndpoints: // publishBackends notifies all instances of all changes
	}
}

// answerCounterCall adds to a counter and notifies the instance of the reply. Calls beyond
// the counter's rate queue up, and time out for the instance after counterTimeout; the
// counter adds their units all the same.
func (s *simulation) answerCounterCall(i *instance, call policy.AddToCounter) {
	reply := policy.CounterReply{Name: call.Name}
	took := 2 * linkDelay
	if s.rng.Float64() < s.CounterRejects {
		reply.Outcome = policy.NoConnect
	} else {
		if s.CounterRate > 0 {
			s.counterBusyUntil = max(s.counterBusyUntil, s.now) + time.Duration(float64(time.Second)/s.CounterRate)
			took += s.counterBusyUntil - s.now
		}
		s.counterTotals[call.Name] += call.Add
		reply.Outcome = policy.Succeeded
		reply.Total = s.counterTotals[call.Name]
		if took > counterTimeout {
			took = counterTimeout
			reply.Outcome = policy.TimedOut
		}
	}
	s.notifyAfter(i, took, func() policy.Event { return reply })
}

// publishBackends notifies all instances of changed backends, each after its own delay.
func (s *simulation) publishBackends(backends ...*backend) {
	var change policy.EndpointsChanged
	for _, b := range backends {
		change.Backends = append(change.Backends, b.Backend)
	}
	for _, i := range s.instances {
		delay := s.EndpointListDelay + i.extraListDelay + time.Duration(s.rng.Float64()*float64(maxListJitter))
		s.notifyAfter(i, delay, func() policy.Event {
			for _, b := range change.Backends {
				i.notifiedStart[b.ID] = b.Started
				delete(i.drainingSince, b.ID)
				if b.State != policy.Running {
					i.drainingSince[b.ID] = s.now
				}
			}
			return change
		})
	}
}

// abandonUnansweredRequests marks the unanswered requests of a killed instance as abandoned
// and counts them as lost.
func (s *simulation) abandonUnansweredRequests(i *instance) {
	for _, r := range s.requests {
		if r.instance == i && r.answers == 0 {
			r.answers = abandoned
			s.report.Lost++
		}
	}
}
