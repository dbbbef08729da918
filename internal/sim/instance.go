package sim

import (
	"cmp"
	"fmt"
	"time"

	"hitchspring/policy"
)

const (
	counterTimeout = 80 * time.Millisecond
	listSpread     = 300 * time.Millisecond // most by which instances differ in when they are notified of a list
)

// instance is one engine with its timers.
type instance struct {
	index         int
	engine        *policy.Engine
	up            bool
	incarnation   int                                // starts so far; tells events of an earlier one apart
	listDelay     time.Duration                      // by which it is notified later than the others
	drainingSince map[policy.BackendID]time.Duration // when it was notified that a backend drains or was removed
	knownStart    map[policy.BackendID]time.Duration // start of each backend that it was notified of
}

// startInstance gives an instance a new engine, which knows the backends as they
// are at that moment.
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
	i.knownStart = map[policy.BackendID]time.Duration{}
	list := policy.EndpointsChanged{Complete: true}
	for _, b := range s.backends {
		if b.State == policy.Running {
			list.Backends = append(list.Backends, b.Backend)
			i.knownStart[b.ID] = b.Started
		}
	}
	s.notify(i, list)
	return nil
}

// notify hands an event to an instance's engine and carries out its actions.
func (s *simulation) notify(i *instance, event policy.Event) {
	for _, action := range i.engine.Handle(epoch+s.now, event, nil) {
		s.carryOut(i, action)
	}
}

// notifyAfter notifies an instance after a while, if it is still in the same
// incarnation. The event is made at that time; nil: nothing to notify of.
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

func (s *simulation) carryOut(i *instance, action policy.Action) {
	switch a := action.(type) {
	case policy.SetTimer:
		s.notifyAfter(i, a.After, func() policy.Event { return policy.TimerFired{} })
	case policy.Reject:
		s.answer(a.ID, false)
	case policy.Fail:
		s.answer(a.ID, false)
	case policy.SendAttempt:
		s.send(i, a)
	case policy.CancelAttempt:
		r := s.requests[a.ID]
		if r != nil && a.Attempt < len(r.attempts) {
			s.endAttempt(r.attempts[a.Attempt], policy.Canceled)
		}
	case policy.AddToCounter:
		s.callCounter(i, a)
	case policy.WatchEndpoints: // all instances are notified of all changes
	}
}

// callCounter answers a counter call, late where more calls come than the counter
// can take.
func (s *simulation) callCounter(i *instance, call policy.AddToCounter) {
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

// publishBackends notifies all instances of changed backends, each at its own time.
func (s *simulation) publishBackends(backends ...*backend) {
	var change policy.EndpointsChanged
	for _, b := range backends {
		change.Backends = append(change.Backends, b.Backend)
	}
	for _, i := range s.instances {
		delay := s.ListDelay + i.listDelay + time.Duration(s.rng.Float64()*float64(listSpread))
		s.notifyAfter(i, delay, func() policy.Event {
			for _, b := range change.Backends {
				i.knownStart[b.ID] = b.Started
				delete(i.drainingSince, b.ID)
				if b.State != policy.Running {
					i.drainingSince[b.ID] = s.now
				}
			}
			return change
		})
	}
}

// abandonRequests leaves the unanswered requests of an instance that is killed to
// their clients.
func (s *simulation) abandonRequests(i *instance) {
	for _, r := range s.requests {
		if r.instance == i && r.answers == 0 {
			r.answers = abandoned
			s.report.Lost++
		}
	}
}
