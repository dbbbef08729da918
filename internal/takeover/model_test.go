package takeover

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// defect is a planted defect of the model, which the exploration must find.
type defect string

const (
	defectNone                    defect = ""
	defectSendsWithoutConsent     defect = "sends without the replicas' consent"
	defectAdoptsInOtherScope      defect = "adopts an attempt in another scope"
	defectSendsFromScopeNone      defect = "sends accepted work without a change of scope"
	defectTakesOverWithoutConsent defect = "sends taken work without the replicas' consent"
)

// The attempts of the model's client.
const (
	firstAttempt uint64 = 1
	retryAttempt uint64 = 2
)

const (
	modelTick             = 130 * ms
	modelClientTimeout    = 2 * time.Second
	maxConsecutiveActions = 8 // rounds of actions that result from each other
)

// Values and key suffixes of modelState.outcomes.
const (
	outcomeOpen    = "waits"
	outcomeAborted = "aborted"
	takenSuffix    = " taken" // key suffix of work that was taken over
	endedSuffix    = " ended" // key suffix of an attempt that has ended, with the value endedMark
	endedMark      = "yes"
)

var (
	modelNames   = []string{"a", "b", "c"}
	modelMembers = []Member{{"a", "x"}, {"b", "y"}, {"c", "z"}}
)

// faultBudget is the number of faults of each kind that may still occur on a path.
type faultBudget struct{ lost, duplicated, crashes, falseDeaths, ticks, retries int }

// packet is a message in transit.
type packet struct {
	from, to string
	message  Message
}

func (p packet) String() string { return p.from + p.to + describeMessage(p.message) }

// modelState is the state of three instances, the messages in transit between them
// and the effects at the backends.
type modelState struct {
	now          time.Duration
	coordinators map[string]*Coordinator
	network      []packet
	// sent holds the scopes of attempts that were sent, by attemptID.
	sent map[string]Scope
	// outcomes holds the outcomes of attempts that their clients know, by
	// attemptID. It also marks the attempts that have ended.
	outcomes map[string]string
	// effects counts the attempts that ran, by rack.
	effects map[int]int
	// sentUncovered is set once an attempt was sent uncovered: from then on
	// effects in several racks are allowed.
	sentUncovered bool
	crashed       map[string]bool
	faults        faultBudget
	defect        defect
	// acceptFirst is set if the first attempt is recorded with ScopeNone before
	// it is sent.
	acceptFirst bool
	// path lists the steps that led to this state.
	path []string
}

// newModel returns a model in which instance a has received a client's request.
func newModel(planted defect, faults faultBudget, acceptFirst bool) *modelState {
	s := &modelState{
		now:          time.Hour,
		coordinators: map[string]*Coordinator{},
		sent:         map[string]Scope{},
		outcomes:     map[string]string{},
		effects:      map[int]int{},
		crashed:      map[string]bool{},
		faults:       faults,
		defect:       planted,
		acceptFirst:  acceptFirst,
	}
	for _, m := range modelMembers {
		c := NewCoordinator(m, 1, nil)
		c.SetMembers(modelMembers)
		s.coordinators[m.Name] = c
	}
	s.startAttempt("a", firstAttempt)
	return s
}

// attemptID identifies an attempt of an instance.
func attemptID(name string, attempt uint64) string { return fmt.Sprint(name, attempt) }

// clone copies everything that a step may change.
func (s *modelState) clone() *modelState {
	c := *s
	c.coordinators = map[string]*Coordinator{}
	for name, coordinator := range s.coordinators {
		c.coordinators[name] = cloneCoordinator(coordinator)
	}
	c.useClock()
	c.network = slices.Clone(s.network)
	c.sent = maps.Clone(s.sent)
	c.outcomes = maps.Clone(s.outcomes)
	c.effects = maps.Clone(s.effects)
	c.crashed = maps.Clone(s.crashed)
	return &c
}

// useClock makes all coordinators read this state's clock.
func (s *modelState) useClock() {
	for _, c := range s.coordinators {
		c.replicaClock = func(string) time.Duration { return s.now }
	}
}

func cloneCoordinator(c *Coordinator) *Coordinator {
	clone := *c
	clone.departed = maps.Clone(c.departed)
	clone.pending = map[uint64]*pendingWork{}
	for attempt, work := range c.pending {
		clone.pending[attempt] = clonePendingWork(work)
	}
	clone.store = cloneReplicaStore(c.store)
	return &clone
}

func clonePendingWork(work *pendingWork) *pendingWork {
	clone := *work
	clone.remotes = slices.Clone(work.remotes)
	clone.recipients = slices.Clone(work.recipients)
	clone.replies = maps.Clone(work.replies)
	clone.acknowledged = maps.Clone(work.acknowledged)
	if work.completion != nil {
		completion := *work.completion
		clone.completion = &completion
	}
	return &clone
}

func cloneReplicaStore(store *ReplicaStore) *ReplicaStore {
	clone := *store
	clone.endedIncarnations = maps.Clone(store.endedIncarnations)
	clone.records = map[string]*record{}
	for key, rec := range store.records {
		recClone := *rec
		recClone.waiters = slices.Clone(rec.waiters)
		clone.records[key] = &recClone
	}
	return &clone
}

// stateHasher collects the parts of a state that distinguish it from others.
type stateHasher struct{ buffer []byte }

func (h *stateHasher) ints(values ...int64) {
	for _, v := range values {
		h.buffer = strconv.AppendInt(append(h.buffer, ' '), v, 36)
	}
}

func (h *stateHasher) bools(values ...bool) {
	for _, v := range values {
		h.buffer = strconv.AppendBool(append(h.buffer, ' '), v)
	}
}

func (h *stateHasher) strings(values ...string) {
	for _, v := range values {
		h.buffer = append(append(h.buffer, ' '), v...)
	}
}

func (h *stateHasher) sum() uint64 {
	sum := fnv.New64a()
	sum.Write(h.buffer)
	return sum.Sum64()
}

// hash returns the same value for states that have the same future behavior.
func (s *modelState) hash() uint64 {
	h := &stateHasher{buffer: make([]byte, 0, 2048)}
	f := s.faults
	h.ints(int64(s.now))
	h.ints(int64(f.lost), int64(f.duplicated), int64(f.crashes))
	h.ints(int64(f.falseDeaths), int64(f.ticks), int64(f.retries))
	h.bools(s.sentUncovered)
	for _, id := range slices.Sorted(maps.Keys(s.sent)) {
		h.strings(id)
		h.ints(int64(s.sent[id].Rack))
	}
	for _, id := range slices.Sorted(maps.Keys(s.outcomes)) {
		h.strings(id, s.outcomes[id])
	}
	for _, rack := range slices.Sorted(maps.Keys(s.effects)) {
		h.ints(int64(rack))
	}
	var network []string
	for _, p := range s.network {
		network = append(network, p.String())
	}
	slices.Sort(network)
	h.strings(network...)
	for _, name := range modelNames {
		h.strings("|", name)
		h.bools(s.crashed[name])
		h.coordinator(s.coordinators[name])
	}
	return h.sum()
}

func (h *stateHasher) coordinator(c *Coordinator) {
	h.strings(slices.Sorted(maps.Keys(c.store.endedIncarnations))...)
	for _, attempt := range slices.Sorted(maps.Keys(c.pending)) {
		h.pendingWork(c.pending[attempt])
	}
	for _, rec := range c.store.records { // at most one, since there is one key
		h.record(rec)
	}
}

func (h *stateHasher) pendingWork(w *pendingWork) {
	h.ints(int64(w.attempt), int64(w.epoch), int64(w.relocation), int64(w.scope.Rack))
	h.ints(int64(w.startedAt), int64(w.requestedAt), int64(w.state), int64(w.restartAt))
	h.bools(w.covered, w.adopted)
	h.strings(w.remotes...)
	h.strings(w.recipients...)
	for _, recipient := range w.recipients {
		h.bools(w.acknowledged[recipient])
		if reply := w.replies[recipient]; reply != nil {
			h.strings(recipient)
			h.ints(int64(reply.Kind), int64(reply.Epoch))
		}
	}
}

func (h *stateHasher) record(r *record) {
	h.strings("r", r.owner)
	h.ints(int64(r.attempt), int64(r.epoch), int64(r.scope.Rack), int64(r.startedAt))
	h.ints(int64(r.answer.Kind), int64(r.state))
	for _, w := range r.waiters {
		h.strings(w.instance)
		h.ints(int64(w.attempt))
	}
}

// describeMessage returns a text that differs for messages with different effects.
func describeMessage(m Message) string {
	switch {
	case m.Intent != nil:
		i := m.Intent
		return fmt.Sprintf("i%d.%d.%d%s", i.Attempt, i.Epoch, i.Scope.Rack, i.Replicas[0])
	case m.Reply != nil:
		r := m.Reply
		text := fmt.Sprintf("r%d.%d.%d%s", r.Attempt, int(r.Kind), r.Epoch, r.Primary)
		if r.Answer != nil {
			text += fmt.Sprintf(".%d", int(r.Answer.Kind))
		}
		return text
	case m.Completion != nil:
		return fmt.Sprint("completion ", m.Completion.Attempt, m.Completion.Epoch, m.Completion.Answer.Kind)
	case m.CompletionAck != nil:
		return fmt.Sprint("ack ", m.CompletionAck.Attempt)
	}
	return fmt.Sprint("notification ", m.Notification.Attempt, m.Notification.Answer.Kind)
}

// startAttempt starts a client's attempt at an instance.
func (s *modelState) startAttempt(name string, attempt uint64) {
	c := s.coordinators[name]
	s.useClock()
	s.outcomes[attemptID(name, attempt)] = outcomeOpen
	scope := ownScope(name)
	if s.acceptFirst && attempt == firstAttempt {
		scope = ScopeNone
	}
	c.RequestSend(s.now, testWork(), attempt, scope, s.now+modelClientTimeout)
	if s.defect == defectSendsWithoutConsent {
		s.sendAttempt(name, attempt, ownScope(name), true)
	}
	s.performActions(name)
}

// sendAttempt sends an attempt. It runs at its backend at once, which is the worst
// case.
func (s *modelState) sendAttempt(name string, attempt uint64, scope Scope, covered bool) {
	s.sentUncovered = s.sentUncovered || !covered
	s.sent[attemptID(name, attempt)] = scope
	s.effects[scope.Rack]++
}

// performActions performs a coordinator's actions and sends its messages.
func (s *modelState) performActions(name string) {
	for range maxConsecutiveActions {
		outbox, actions := s.coordinators[name].Drain()
		for _, envelope := range outbox {
			if envelope.To == name {
				panic("a message to itself")
			}
			s.network = append(s.network, packet{name, envelope.To, envelope.Message})
		}
		if len(actions) == 0 {
			return
		}
		for _, action := range actions {
			s.perform(name, action)
		}
	}
}

func (s *modelState) perform(name string, action Action) {
	id := attemptID(name, action.Attempt)
	switch action.Kind {
	case ActionSend:
		s.performSend(name, action)
	case ActionAdopt:
		scope := action.Scope
		if s.defect == defectAdoptsInOtherScope {
			scope = ownScope(name)
		}
		s.sendAttempt(name, action.Attempt, scope, action.Covered)
	case ActionTakeOver:
		s.outcomes[id+takenSuffix] = outcomeOpen
		switch {
		case action.Taken.Scope != ScopeNone:
			s.sendAttempt(name, action.Attempt, action.Taken.Scope, true)
		case s.defect == defectTakesOverWithoutConsent:
			s.sendAttempt(name, action.Attempt, ownScope(name), true)
		default:
			s.coordinators[name].RelocateAttempt(s.now, action.Attempt, ownScope(name))
		}
	case ActionUseAnswer:
		s.recordAnswer(id, action.Answer)
	case ActionRestart:
		s.coordinators[name].RequestSend(s.now, testWork(), action.Attempt, ownScope(name), s.now+modelClientTimeout)
	case ActionAbort:
		s.outcomes[id] = outcomeAborted
	case ActionJoin, ActionUnknown: // the client continues to wait
	}
}

// performSend sends an attempt. Accepted work must first be moved to a scope.
func (s *modelState) performSend(name string, action Action) {
	c := s.coordinators[name]
	work := c.pending[action.Attempt]
	accepted := work != nil && work.scope == ScopeNone
	if accepted && work.covered && s.defect != defectSendsFromScopeNone { // if not covered, no replica has it
		c.RelocateAttempt(s.now, action.Attempt, ownScope(name))
		return
	}
	if _, sent := s.sent[attemptID(name, action.Attempt)]; !sent {
		c.AttemptSent(s.now, action.Attempt)
		s.sendAttempt(name, action.Attempt, ownScope(name), action.Covered)
	}
}

func (s *modelState) recordAnswer(id string, answer Answer) {
	s.outcomes[id] = fmt.Sprint(answer.Kind, string(answer.Value))
}

// violation describes a violated invariant, or returns an empty string.
func (s *modelState) violation() string {
	if len(s.effects) > 1 && !s.sentUncovered {
		return fmt.Sprintf("effects in racks %v", slices.Sorted(maps.Keys(s.effects)))
	}
	served := map[string]bool{}
	for id, outcome := range s.outcomes {
		if strings.HasPrefix(outcome, fmt.Sprint(AnswerServed)) && !strings.Contains(id, " ") {
			served[outcome] = true
		}
	}
	if len(served) > 1 {
		return fmt.Sprintf("answers %v", served)
	}
	return ""
}

// deliverAll delivers all messages in order until none is in transit.
func (s *modelState) deliverAll() {
	for len(s.network) > 0 {
		p := s.network[0]
		s.network = s.network[1:]
		s.useClock()
		s.coordinators[p.to].Receive(s.now, p.from, 1, p.message)
		s.performActions(p.to)
	}
}
