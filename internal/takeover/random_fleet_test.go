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

// Bounds of a random fleet.
const (
	randomKeys       = 3
	randomClientTime = 3 * time.Second
	randomTick       = 10 * ms
	maxRandomPackets = 400
	// tickSlack is how long after its time-out a wait may end, by the tick.
	tickSlack = randomTick
)

// randomPacket is a message on its way, from an incarnation of its sender.
type randomPacket struct {
	from        string
	incarnation uint64
	to          string
	message     Message
}

// randomAttempt is what the test, in place of the core, knows of an attempt.
type randomAttempt struct {
	work     Work
	scope    Scope // of the last request
	deadline time.Duration
	// actionDueAt is when the coordinator must have emitted an action; 0: none is
	// awaited.
	actionDueAt time.Duration
	joined      bool
	out         bool // it may be on the wire
}

// randomInstance is one instance with its own view of the others.
type randomInstance struct {
	coordinator *Coordinator
	incarnation uint64
	view        map[string]uint64 // the incarnations that it believes to be there
	attempts    map[uint64]*randomAttempt
}

// randomFleet is instances whose members come and go, in each one's own view,
// under pending work, with messages that are lost, late, duplicated and out of
// order. It stands in for the cores.
type randomFleet struct {
	t           *rapid.T
	now         time.Duration
	members     []Member
	instances   map[string]*randomInstance
	network     []randomPacket
	lastAttempt uint64
	// racks are those in which an attempt of a key was sent, by key.
	racks map[string]map[int]bool
	// loose are the keys of which an attempt went out without all consents.
	loose map[string]bool
}

func newRandomFleet(t *rapid.T) *randomFleet {
	f := &randomFleet{
		t:         t,
		now:       time.Hour,
		members:   numberedMembers(rapid.IntRange(3, 10).Draw(t, "instances")),
		instances: map[string]*randomInstance{},
		racks:     map[string]map[int]bool{},
		loose:     map[string]bool{},
	}
	for _, m := range f.members {
		f.start(m, 1)
	}
	return f
}

// start starts an incarnation of an instance, which sees all that run.
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

// drawName draws an instance.
func (f *randomFleet) drawName(label string) string {
	return f.members[rapid.IntRange(0, len(f.members)-1).Draw(f.t, label)].Name
}

// drawAttempt draws an attempt of an instance that matches; nil: there is none.
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

// request has an instance request the consent to a new attempt.
func (f *randomFleet) request() {
	name := f.drawName("owner")
	scope := ownScope(name[1:])
	if rapid.Bool().Draw(f.t, "is queued") {
		scope = ScopeNone
	}
	f.lastAttempt++
	attempt := &randomAttempt{work: f.randomWork(), scope: scope, deadline: f.now + randomClientTime}
	f.instances[name].attempts[f.lastAttempt] = attempt
	f.await(attempt, maxReplyTimeout)
	f.instances[name].coordinator.RequestSend(f.now, attempt.work, f.lastAttempt, scope, attempt.deadline)
	f.drain(name)
}

// await notes that an action is due.
func (f *randomFleet) await(attempt *randomAttempt, timeout time.Duration) {
	attempt.actionDueAt = f.now + timeout + tickSlack
}

// isIdle reports whether nothing of an attempt is out, awaited or left to another.
func isIdle(a *randomAttempt) bool { return a.actionDueAt == 0 && !a.joined && !a.out }

// migrate moves an attempt of which surely nothing has run.
func (f *randomFleet) migrate() {
	name := f.drawName("owner")
	number, attempt := f.drawAttempt(name, isIdle)
	if attempt == nil {
		return
	}
	attempt.scope = ownScope(name[1:])
	f.await(attempt, maxReplyTimeout)
	f.instances[name].coordinator.MigrateAttempt(f.now, number, attempt.scope)
	f.drain(name)
}

// confirmRejection rejects an attempt of which surely nothing has run.
func (f *randomFleet) confirmRejection() {
	name := f.drawName("owner")
	number, attempt := f.drawAttempt(name, isIdle)
	if attempt == nil {
		return
	}
	f.await(attempt, outcomeQueryTimeout)
	f.instances[name].coordinator.ConfirmRejection(f.now, number)
	f.drain(name)
	if attempt := f.instances[name].attempts[number]; attempt != nil {
		attempt.scope = ScopeNone // a consent rejects it
	}
}

// query has an instance query the outcome of a key.
func (f *randomFleet) query() {
	name := f.drawName("owner")
	f.lastAttempt++
	attempt := &randomAttempt{work: f.randomWork(), scope: ScopeNone, deadline: f.now + randomClientTime}
	c := f.instances[name].coordinator
	if !c.QueryOutcome(f.now, attempt.work.Key, f.lastAttempt, attempt.deadline) {
		return
	}
	f.instances[name].attempts[f.lastAttempt] = attempt
	f.await(attempt, outcomeQueryTimeout)
	f.drain(name)
}

// complete ends an attempt.
func (f *randomFleet) complete() {
	name := f.drawName("owner")
	number, attempt := f.drawAttempt(name, func(a *randomAttempt) bool { return a.actionDueAt == 0 })
	if attempt == nil {
		return
	}
	answer := Answer{Kind: AnswerNeverRan}
	if attempt.out {
		answer = Answer{Kind: AnswerFailed}
		if rapid.Bool().Draw(f.t, "is served") {
			answer = Answer{Kind: AnswerServed, Value: []byte(attempt.work.Key)}
		}
	}
	f.end(name, number, answer)
}

// end ends an attempt and forgets it.
func (f *randomFleet) end(name string, number uint64, answer Answer) {
	delete(f.instances[name].attempts, number)
	f.instances[name].coordinator.Complete(f.now, number, answer)
	f.drain(name)
}

// leave has an instance believe another dead.
func (f *randomFleet) leave() {
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

// hear has an instance hear of the present incarnation of another.
func (f *randomFleet) hear() { f.hearOf(f.drawName("observer"), f.drawName("member")) }

func (f *randomFleet) hearOf(name, other string) {
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

// deliver delivers a message that is on its way, or loses or duplicates it.
func (f *randomFleet) deliver() {
	if len(f.network) == 0 {
		return
	}
	i := rapid.IntRange(0, min(8, len(f.network)-1)).Draw(f.t, "message")
	p := f.network[i]
	fate := rapid.IntRange(0, 9).Draw(f.t, "fate")
	if fate != 0 { // else it is duplicated
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

// deliverAll delivers all that is on its way, in order.
func (f *randomFleet) deliverAll() {
	for n := 0; len(f.network) > 0; n++ {
		p := f.network[0]
		if n > maxRandomPackets*20 {
			f.t.Fatalf("%d messages follow from each other, the last of them %s>%s %s",
				n, p.from, p.to, describeMessage(p.message))
		}
		f.network = f.network[1:]
		f.receive(p)
	}
}

// tick advances the time, and has all instances do what is due.
func (f *randomFleet) tick() {
	f.now += randomTick
	for _, m := range f.members {
		f.instances[m.Name].coordinator.Tick(f.now)
		f.drain(m.Name)
	}
}

// drain takes an instance's messages and does what its actions permit, as the
// core does.
func (f *randomFleet) drain(name string) {
	instance := f.instances[name]
	for {
		outbox, actions := instance.coordinator.Drain()
		for _, envelope := range outbox {
			if f.instances[envelope.To] == nil || envelope.To == name {
				f.t.Fatalf("%s sends a message to %q, which is no other member", name, envelope.To)
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

// perform does what an action permits.
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
		if awaited && attempt.scope != ScopeNone && !attempt.out {
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
		f.await(attempt, maxReplyTimeout)
		instance.coordinator.RequestSend(f.now, attempt.work, action.Attempt, attempt.scope, attempt.deadline)
	case ActionUseAnswer, ActionUnknown:
		delete(instance.attempts, action.Attempt)
	case ActionAbort:
		f.end(name, action.Attempt, Answer{Kind: AnswerNeverRan})
	case ActionTakeOver: // above
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
	f.await(attempt, maxReplyTimeout)
	instance.coordinator.MigrateAttempt(f.now, taken.Attempt, attempt.scope)
}

// send notes that an attempt goes out.
func (f *randomFleet) send(attempt *randomAttempt, scope Scope, covered bool) {
	attempt.out = true
	key := attempt.work.Key
	if f.racks[key] == nil {
		f.racks[key] = map[int]bool{}
	}
	f.racks[key][scope.Rack] = true
	f.loose[key] = f.loose[key] || !covered
}

// checkActionsInTime fails if a wait has lasted for too long.
func (f *randomFleet) checkActionsInTime() {
	for _, m := range f.members {
		attempts := f.instances[m.Name].attempts
		for _, number := range slices.Sorted(maps.Keys(attempts)) {
			if attempt := attempts[number]; attempt.actionDueAt > 0 && f.now > attempt.actionDueAt {
				state := "no pending work"
				if work := f.instances[m.Name].coordinator.pending[number]; work != nil {
					state = work.state.String()
				}
				f.t.Fatalf("%s has had no action for attempt %d of %s: %+v, %s",
					m.Name, number, attempt.work.Key, *attempt, state)
			}
		}
	}
}

// settle heals all views, ends what is open, and lets all times pass.
func (f *randomFleet) settle() {
	for _, m := range f.members {
		for _, other := range f.members {
			f.hearOf(m.Name, other.Name)
		}
	}
	window := testWork().IdempotencyWindow
	end := f.now + randomClientTime + completionGrace + max(answerRetention, window) + time.Second
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
				if attempt.out {
					kind = AnswerFailed
				}
				f.end(m.Name, number, Answer{Kind: kind})
			}
		}
	}
}

// checkNothingLeft fails if an instance keeps anything after all have settled.
func (f *randomFleet) checkNothingLeft() {
	for _, m := range f.members {
		c := f.instances[m.Name].coordinator
		work, records, bytes := c.Pending()
		if left := cmp.Or(work, records, bytes, c.openQueries, len(f.instances[m.Name].attempts)); left != 0 {
			f.t.Fatalf("%s keeps %d pieces of work, %d records of %d bytes, %d queries and %d attempts",
				m.Name, work, records, bytes, c.openQueries, len(f.instances[m.Name].attempts))
		}
	}
}

// Fleets whose members come and go under pending work, in each instance's own
// view, with messages that are lost, late, duplicated and out of order: nobody
// panics, sends to nobody, waits for an action for too long or keeps anything.
// A longer search: go test -run TestRandomFleets -rapid.checks=10000.
func TestRandomFleets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newRandomFleet(t)
		steps := []func(){
			f.request, f.request, f.migrate, f.confirmRejection, f.query, f.complete, f.complete,
			f.leave, f.hear, f.hear, f.restart,
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
