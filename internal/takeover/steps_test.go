package takeover

import (
	"maps"
	"slices"
)

// stepList collects the possible next states.
type stepList struct {
	from *modelState
	next []*modelState
}

// add adds the state that results from a step.
func (l *stepList) add(name string, step func(s *modelState)) {
	s := l.from.clone()
	s.path = append(slices.Clone(l.from.path), name)
	step(s)
	l.next = append(l.next, s)
}

// successors returns all possible next states.
func (s *modelState) successors() []*modelState {
	steps := &stepList{from: s}
	steps.addMessages()
	steps.addCrashes()
	steps.addDepartures()
	steps.addRetry()
	steps.addCompletions()
	steps.addTick()
	return steps.next
}

// addMessages adds the delivery, the loss and the duplication of each message.
func (l *stepList) addMessages() {
	s := l.from
	seen := map[string]bool{}
	for i, p := range s.network {
		if seen[p.String()] {
			continue
		}
		seen[p.String()] = true
		l.add("deliver "+p.String(), func(s *modelState) {
			s.network = slices.Delete(s.network, i, i+1)
			s.deliver(p)
		})
		if s.faults.lost > 0 {
			l.add("lose "+p.String(), func(s *modelState) {
				s.faults.lost--
				s.network = slices.Delete(s.network, i, i+1)
			})
		}
		if s.faults.duplicated > 0 {
			l.add("duplicate "+p.String(), func(s *modelState) {
				s.faults.duplicated--
				s.deliver(p)
			})
		}
	}
}

// deliver delivers a message unless its receiver has crashed.
func (s *modelState) deliver(p packet) {
	if s.crashed[p.to] {
		return
	}
	s.coordinators[p.to].Receive(s.now, p.from, 1, p.message)
	s.performActions(p.to)
}

func (l *stepList) addCrashes() {
	if l.from.faults.crashes == 0 {
		return
	}
	for _, name := range []string{"a", "b"} {
		if l.from.crashed[name] {
			continue
		}
		l.add("crash "+name, func(s *modelState) {
			s.faults.crashes--
			s.crashed[name] = true
		})
	}
}

// addDepartures adds the report of each departure to each instance. The report is
// false if the reported instance is up.
func (l *stepList) addDepartures() {
	for _, observer := range modelNames {
		for _, subject := range modelNames {
			if observer == subject || !l.from.mayLearnDeparture(observer, subject) {
				continue
			}
			l.add(observer+" learns that "+subject+" has left", func(s *modelState) {
				if !s.crashed[subject] {
					s.faults.falseDeaths--
				}
				s.coordinators[observer].MemberLeft(s.now, subject, 1)
				s.performActions(observer)
			})
		}
	}
}

func (s *modelState) mayLearnDeparture(observer, subject string) bool {
	_, known := s.coordinators[observer].store.endedIncarnations[subject]
	return !s.crashed[observer] && !known && (s.crashed[subject] || s.faults.falseDeaths > 0)
}

func (l *stepList) addRetry() {
	if l.from.faults.retries == 0 {
		return
	}
	l.add("retry at c", func(s *modelState) {
		s.faults.retries--
		s.startAttempt("c", retryAttempt)
	})
}

// addCompletions adds both outcomes, served and failed, of each attempt that was
// sent.
func (l *stepList) addCompletions() {
	s := l.from
	for _, id := range slices.Sorted(maps.Keys(s.sent)) {
		name, attempt := id[:1], uint64(id[1]-'0')
		if s.crashed[name] || s.outcomes[id+endedSuffix] != "" {
			continue
		}
		l.add("served "+id, func(s *modelState) {
			s.complete(name, attempt, Answer{Kind: AnswerServed, Value: []byte("value")})
		})
		l.add("failed "+id, func(s *modelState) {
			s.complete(name, attempt, Answer{Kind: AnswerFailed})
		})
	}
}

// complete ends an attempt that was sent.
func (s *modelState) complete(name string, attempt uint64, answer Answer) {
	id := attemptID(name, attempt)
	s.outcomes[id+endedSuffix] = endedMark
	s.coordinators[name].Complete(s.now, attempt, answer)
	if s.outcomes[id] == outcomeOpen {
		s.recordAnswer(id, answer)
	}
	s.performActions(name)
}

func (l *stepList) addTick() {
	if l.from.faults.ticks == 0 {
		return
	}
	l.add("tick", func(s *modelState) {
		s.faults.ticks--
		s.now += modelTick
		for _, name := range modelNames {
			if !s.crashed[name] {
				s.coordinators[name].Tick(s.now)
				s.performActions(name)
			}
		}
	})
}
