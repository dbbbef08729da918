package takeover

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Parameters of a random fleet.
const (
	randomKeys          = 3
	randomClientTimeout = 3 * time.Second
	randomTick          = 10 * ms
	maxRandomPackets    = 400
	// tickSlack is how long after its timeout a wait may end, since timeouts are
	// checked at ticks.
	tickSlack = randomTick
)

// randomPacket is a message in transit, with the incarnation of its sender.
type randomPacket struct {
	from        string
	incarnation uint64
	to          string
	message     Message
}

// randomAttempt is the state of an attempt that the core would track.
type randomAttempt struct {
	work     Work
	scope    Scope // of the last request
	deadline time.Duration
	// actionDueAt is when the coordinator must have emitted an action, 0 if none
	// is awaited.
	actionDueAt time.Duration
	joined      bool
	inFlight    bool // it may be on the wire
}

// randomInstance is an instance with its own view of the others.
type randomInstance struct {
	coordinator *Coordinator
	incarnation uint64
	view        map[string]uint64 // the incarnations that it believes to be alive, by member
	attempts    map[uint64]*randomAttempt
}

// randomFleet is a fleet whose members join and leave in each instance's own view
// while work is pending. Messages are lost, delayed, duplicated and reordered. It
// stands in for the cores of the instances.
type randomFleet struct {
	t           *rapid.T
	now         time.Duration
	members     []Member
	instances   map[string]*randomInstance
	network     []randomPacket
	lastAttempt uint64
	// racksSentTo holds the racks to which attempts of a key were sent, by key.
	racksSentTo map[string]map[int]bool
	// sentUncovered holds the keys of which an attempt was sent uncovered.
	sentUncovered map[string]bool
}

func newRandomFleet(t *rapid.T) *randomFleet {
	f := &randomFleet{
		t:             t,
		now:           time.Hour,
		members:       numberedMembers(rapid.IntRange(3, 10).Draw(t, "instances")),
		instances:     map[string]*randomInstance{},
		racksSentTo:   map[string]map[int]bool{},
		sentUncovered: map[string]bool{},
	}
	for _, m := range f.members {
		f.start(m, 1)
	}
	return f
}

// start starts an incarnation of an instance, whose view contains all running ones.
func (f *randomFleet) start(m Member, incarnation uint64) {
	instance := &randomInstance{
		coordinator: NewCoordinator(m, incarnation, func(string) time.Duration { return f.now }),
		incarnation: incarnation,
		view:        map[string]uint64{},
		attempts:    map[uint64]*randomAttempt{},
	}
	f.instances[m.Name] = instance
	for _, other := range f.members {
		instance.view[other.Name] = 1
		if running := f.instances[other.Name]; running != nil {
			instance.view[other.Name] = running.incarnation
		}
	}
	f.setMembers(m.Name)
}

// setMembers passes an instance's view to its coordinator.
func (f *randomFleet) setMembers(name string) {
	instance := f.instances[name]
	present := slices.DeleteFunc(slices.Clone(f.members), func(m Member) bool {
		return m.Name != name && instance.view[m.Name] == 0
	})
	instance.coordinator.SetMembers(present)
}

// drawName draws the name of an instance.
func (f *randomFleet) drawName(label string) string {
	return f.members[rapid.IntRange(0, len(f.members)-1).Draw(f.t, label)].Name
}

// drawAttempt draws a matching attempt of an instance. It returns nil if there is
// none.
func (f *randomFleet) drawAttempt(name string, matches func(*randomAttempt) bool) (uint64, *randomAttempt) {
	attempts := f.instances[name].attempts
	var candidates []uint64
	for _, attempt := range slices.Sorted(maps.Keys(attempts)) {
		if matches(attempts[attempt]) {
			candidates = append(candidates, attempt)
		}
	}
	if len(candidates) == 0 {
		return 0, nil
	}
	attempt := rapid.SampledFrom(candidates).Draw(f.t, "attempt")
	return attempt, attempts[attempt]
}

// randomWork draws work with one of a few keys.
func (f *randomFleet) randomWork() Work {
	work := testWork()
	work.Key = fmt.Sprint("customer/", rapid.IntRange(1, randomKeys).Draw(f.t, "key"))
	return work
}

// request makes an instance request consent to a new attempt.
func (f *randomFleet) request() {
	name := f.drawName("owner")
	scope := ownScope(name[1:])
	if rapid.Bool().Draw(f.t, "is queued") {
		scope = ScopeNone
	}
	f.lastAttempt++
	attempt := &randomAttempt{work: f.randomWork(), scope: scope, deadline: f.now + randomClientTimeout}
	f.instances[name].attempts[f.lastAttempt] = attempt
	f.expectAction(attempt, maxReplyTimeout)
	f.instances[name].coordinator.RequestSend(f.now, attempt.work, f.lastAttempt, scope, attempt.deadline)
	f.drain(name)
}

// expectAction records that an action is due after timeout.
func (f *randomFleet) expectAction(attempt *randomAttempt, timeout time.Duration) {
	attempt.actionDueAt = f.now + timeout + tickSlack
}

// isIdle reports whether an attempt is not in flight, awaits no action and has not
// joined another.
func isIdle(a *randomAttempt) bool { return a.actionDueAt == 0 && !a.joined && !a.inFlight }

// relocate moves an attempt that has not run to another scope.
func (f *randomFleet) relocate() {
	name := f.drawName("owner")
	number, attempt := f.drawAttempt(name, isIdle)
	if attempt == nil {
		return
	}
	attempt.scope = ownScope(name[1:])
	f.expectAction(attempt, maxReplyTimeout)
	f.instances[name].coordinator.RelocateAttempt(f.now, number, attempt.scope)
	f.drain(name)
}

// confirmRejection requests the confirmation that an attempt that has not run may
// be rejected.
func (f *randomFleet) confirmRejection() {
	name := f.drawName("owner")
	number, attempt := f.drawAttempt(name, isIdle)
	if attempt == nil {
		return
	}
	f.expectAction(attempt, outcomeQueryTimeout)
	f.instances[name].coordinator.ConfirmRejection(f.now, number)
	f.drain(name)
	if attempt := f.instances[name].attempts[number]; attempt != nil {
		attempt.scope = ScopeNone // if the replicas consent, it is rejected and not sent
	}
}

// query makes an instance query the outcome of a key.
func (f *randomFleet) query() {
	name := f.drawName("owner")
	f.lastAttempt++
	attempt := &randomAttempt{work: f.randomWork(), scope: ScopeNone, deadline: f.now + randomClientTimeout}
	c := f.instances[name].coordinator
	if !c.QueryOutcome(f.now, attempt.work.Key, f.lastAttempt, attempt.deadline) {
		return
	}
	f.instances[name].attempts[f.lastAttempt] = attempt
	f.expectAction(attempt, outcomeQueryTimeout)
	f.drain(name)
}

// complete ends an attempt with a random answer.
func (f *randomFleet) complete() {
	name := f.drawName("owner")
	number, attempt := f.drawAttempt(name, func(a *randomAttempt) bool { return a.actionDueAt == 0 })
	if attempt == nil {
		return
	}
	answer := Answer{Kind: AnswerNeverRan}
	if attempt.inFlight {
		answer = Answer{Kind: AnswerFailed}
		if rapid.Bool().Draw(f.t, "is served") {
			answer = Answer{Kind: AnswerServed, Value: []byte(attempt.work.Key)}
		}
	}
	f.end(name, number, answer)
}

// end reports the outcome of an attempt and removes it.
func (f *randomFleet) end(name string, number uint64, answer Answer) {
	delete(f.instances[name].attempts, number)
	f.instances[name].coordinator.Complete(f.now, number, answer)
	f.drain(name)
}

// reportDeparture reports to an instance that another, which may be alive, has left.
func (f *randomFleet) reportDeparture() {
	name, other := f.drawName("observer"), f.drawName("member")
	if name == other || f.instances[name].view[other] == 0 {
		return
	}
	incarnation := f.instances[name].view[other]
	f.instances[name].view[other] = 0
	f.instances[name].coordinator.MemberLeft(f.now, other, incarnation)
	f.setMembers(name)
	f.drain(name)
}

// learnMember reports to an instance that the current incarnation of another is alive.
func (f *randomFleet) learnMember() { f.learnIncarnation(f.drawName("observer"), f.drawName("member")) }

func (f *randomFleet) learnIncarnation(name, other string) {
	observer, present := f.instances[name], f.instances[other].incarnation
	if name == other || observer.view[other] == present {
		return
	}
	if present > 1 {
		observer.coordinator.MemberLeft(f.now, other, present-1)
	}
	observer.coordinator.MemberReturned(other, present)
	observer.view[other] = present
	f.setMembers(name)
	f.drain(name)
}

// restart ends an instance and starts its next incarnation.
func (f *randomFleet) restart() {
	name := f.drawName("instance")
	i := slices.IndexFunc(f.members, func(m Member) bool { return m.Name == name })
	f.start(f.members[i], f.instances[name].incarnation+1)
}

// deliver delivers, loses or duplicates a message in transit.
func (f *randomFleet) deliver() {
	if len(f.network) == 0 {
		return
	}
	i := rapid.IntRange(0, min(8, len(f.network)-1)).Draw(f.t, "message")
	p := f.network[i]
	fate := rapid.IntRange(0, 9).Draw(f.t, "fate")
	if fate != 0 { // if 0, the message is duplicated
		f.network = slices.Delete(f.network, i, i+1)
	}
	if fate == 1 {
		return // lost
	}
	f.receive(p)
}

func (f *randomFleet) receive(p randomPacket) {
	f.instances[p.to].coordinator.Receive(f.now, p.from, p.incarnation, p.message)
	f.drain(p.to)
}

// deliverAll delivers all messages in order until none is in transit.
func (f *randomFleet) deliverAll() {
	for n := 0; len(f.network) > 0; n++ {
		p := f.network[0]
		if n > maxRandomPackets*20 {
			f.t.Fatalf("more than %d messages trigger each other, the last of them %s>%s %s",
				n, p.from, p.to, describeMessage(p.message))
		}
		f.network = f.network[1:]
		f.receive(p)
	}
}

// tick advances the time and calls Tick at all instances.
func (f *randomFleet) tick() {
	f.now += randomTick
	for _, m := range f.members {
		f.instances[m.Name].coordinator.Tick(f.now)
		f.drain(m.Name)
	}
}

// drain sends an instance's messages and performs its actions, as the core does.
func (f *randomFleet) drain(name string) {
	instance := f.instances[name]
	for {
		outbox, actions := instance.coordinator.Drain()
		for _, envelope := range outbox {
			if f.instances[envelope.To] == nil || envelope.To == name {
				f.t.Fatalf("%s sends a message to %q, which is not another member", name, envelope.To)
			}
			if len(f.network) < maxRandomPackets {
				f.network = append(f.network, randomPacket{name, instance.incarnation, envelope.To, envelope.Message})
			}
		}
		if len(actions) == 0 {
			return
		}
		for _, action := range actions {
			f.perform(name, action)
		}
	}
}

// perform performs an action.
func (f *randomFleet) perform(name string, action Action) {
	instance := f.instances[name]
	if action.Kind == ActionTakeOver {
		f.takeOver(name, action.Taken)
		return
	}
	attempt := instance.attempts[action.Attempt]
	if attempt == nil {
		return
	}
	awaited := attempt.actionDueAt > 0
	attempt.actionDueAt = 0
	switch action.Kind {
	case ActionSend:
		if awaited && attempt.scope != ScopeNone && !attempt.inFlight {
			instance.coordinator.AttemptSent(f.now, action.Attempt)
			f.send(attempt, attempt.scope, action.Covered)
		}
	case ActionAdopt:
		f.send(attempt, action.Scope, action.Covered)
	case ActionJoin:
		attempt.joined = true
	case ActionRestart:
		attempt.joined = false
		attempt.scope = ownScope(name[1:])
		f.expectAction(attempt, maxReplyTimeout)
		instance.coordinator.RequestSend(f.now, attempt.work, action.Attempt, attempt.scope, attempt.deadline)
	case ActionUseAnswer, ActionUnknown:
		delete(instance.attempts, action.Attempt)
	case ActionAbort:
		f.end(name, action.Attempt, Answer{Kind: AnswerNeverRan})
	case ActionTakeOver: // handled above
	}
}

// takeOver continues another instance's work.
func (f *randomFleet) takeOver(name string, taken *TakenWork) {
	instance := f.instances[name]
	if instance.attempts[taken.Attempt] != nil {
		instance.coordinator.Complete(f.now, taken.Attempt, Answer{Kind: AnswerFailed})
		return
	}
	attempt := &randomAttempt{work: taken.Work, scope: taken.Scope, deadline: taken.Deadline}
	instance.attempts[taken.Attempt] = attempt
	if taken.Scope != ScopeNone {
		f.send(attempt, taken.Scope, true)
		return
	}
	attempt.scope = ownScope(name[1:])
	f.expectAction(attempt, maxReplyTimeout)
	instance.coordinator.RelocateAttempt(f.now, taken.Attempt, attempt.scope)
}

// send records that an attempt was sent.
func (f *randomFleet) send(attempt *randomAttempt, scope Scope, covered bool) {
	attempt.inFlight = true
	key := attempt.work.Key
	if f.racksSentTo[key] == nil {
		f.racksSentTo[key] = map[int]bool{}
	}
	f.racksSentTo[key][scope.Rack] = true
	f.sentUncovered[key] = f.sentUncovered[key] || !covered
}

// checkActionsInTime fails the test if an action is overdue.
func (f *randomFleet) checkActionsInTime() {
	for _, m := range f.members {
		attempts := f.instances[m.Name].attempts
		for _, number := range slices.Sorted(maps.Keys(attempts)) {
			if attempt := attempts[number]; attempt.actionDueAt > 0 && f.now > attempt.actionDueAt {
				state := "no pending work"
				if work := f.instances[m.Name].coordinator.pending[number]; work != nil {
					state = work.state.String()
				}
				f.t.Fatalf("%s has emitted no action for attempt %d of %s: %+v, %s",
					m.Name, number, attempt.work.Key, *attempt, state)
			}
		}
	}
}

// settle makes all views correct, ends all open attempts, and advances the time
// until every record has expired.
func (f *randomFleet) settle() {
	for _, m := range f.members {
		for _, other := range f.members {
			f.learnIncarnation(m.Name, other.Name)
		}
	}
	window := testWork().IdempotencyWindow
	end := f.now + randomClientTimeout + completionGrace + max(answerRetention, window) + time.Second
	for f.now < end {
		f.deliverAll()
		f.tick()
		f.checkActionsInTime()
		f.endOverdue()
	}
	f.deliverAll()
}

// endOverdue ends the attempts whose clients have given up.
func (f *randomFleet) endOverdue() {
	for _, m := range f.members {
		attempts := f.instances[m.Name].attempts
		for _, number := range slices.Sorted(maps.Keys(attempts)) {
			if attempt := attempts[number]; attempt != nil && f.now > attempt.deadline {
				kind := AnswerNeverRan
				if attempt.inFlight {
					kind = AnswerFailed
				}
				f.end(m.Name, number, Answer{Kind: kind})
			}
		}
	}
}

// checkNothingLeft fails the test if an instance retains any state after settle.
func (f *randomFleet) checkNothingLeft() {
	for _, m := range f.members {
		c := f.instances[m.Name].coordinator
		work, records, bytes := c.Pending()
		if left := cmp.Or(work, records, bytes, c.openQueries, len(f.instances[m.Name].attempts)); left != 0 {
			f.t.Fatalf("%s retains %d pieces of work, %d records of %d bytes, %d queries and %d attempts",
				m.Name, work, records, bytes, c.openQueries, len(f.instances[m.Name].attempts))
		}
	}
}

// In random fleets no coordinator panics, sends to an unknown member, emits an
// action too late or retains state at the end. Members join and leave in each
// instance's own view while work is pending, and messages are lost, delayed,
// duplicated and reordered.
// A longer search: go test -run TestRandomFleets -rapid.checks=10000.
func TestRandomFleets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newRandomFleet(t)
		steps := []func(){
			f.request, f.request, f.relocate, f.confirmRejection, f.query, f.complete, f.complete,
			f.reportDeparture, f.learnMember, f.learnMember, f.restart,
			f.tick, f.tick, f.tick, f.deliver, f.deliver, f.deliver, f.deliver, f.deliver, f.deliver,
		}
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
			f.checkActionsInTime()
		}
		f.settle()
		f.checkNothingLeft()
	})
}
