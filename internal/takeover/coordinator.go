package takeover

import (
	"maps"
	"slices"
	"time"
)

// Coordinator runs the takeover protocol for one instance. It tracks the pending
// work of the instance's own clients and contains the replica store in which the
// instance holds records for all instances. It is not safe for concurrent use.
type Coordinator struct {
	self  Member
	store *ReplicaStore
	// members are the current members of the fleet, including this instance.
	members []Member
	// departed are the members that have left and not returned, by name.
	departed map[string]departedMember
	// pending is this instance's pending work, by attempt.
	pending map[uint64]*pendingWork
	// replicaClock returns the latest reading of a member's clock that was received.
	replicaClock func(name string) time.Duration
	// now is the latest time passed by a caller.
	now     time.Duration
	outbox  []Envelope
	actions []Action
	counts  Counts
	// openQueries is the number of entries of pending in stateQuerying.
	openQueries int
}

// departedMember is a member that was reported as departed.
type departedMember struct {
	Member
	at time.Duration // when the departure was reported
}

// Counts counts the outcomes of this instance's attempts.
type Counts struct {
	Covered       int           `json:"Covered"`   // sent, acknowledged by all replicas
	PartlyCovered int           `json:"Partly"`    // sent, acknowledged by some replicas
	Uncovered     int           `json:"Uncovered"` // sent without any replica's consent
	NoReplica     int           `json:"NoKeeper"`  // sent without consent because there was no other instance
	Joined        int           `json:"Joined"`    // waited for another attempt
	Adopted       int           `json:"Bound"`     // continued another attempt in its scope
	Answered      int           `json:"Answered"`  // answered with another attempt's answer
	TookOver      int           `json:"TakenFrom"` // taken over from other instances
	TakenOver     int           `json:"Over"`      // taken over by other instances
	Aborted       int           `json:"Halted"`    // not sent because a replica didn't consent to a change of scope
	Queried       int           `json:"Asked"`     // outcome queries
	Replica       ReplicaCounts `json:"Keeper"`
}

// NewCoordinator returns a Coordinator with self as its only member. The clock
// function returns the latest reading of a member's clock that was received.
func NewCoordinator(
	self Member, incarnation uint64, clock func(name string) time.Duration,
) *Coordinator {
	return &Coordinator{
		self:         self,
		store:        newReplicaStore(self.Name, incarnation),
		members:      []Member{self},
		departed:     map[string]departedMember{},
		pending:      map[uint64]*pendingWork{},
		replicaClock: clock,
	}
}

// Drain returns the messages and actions queued since the last call.
func (c *Coordinator) Drain() ([]Envelope, []Action) {
	outbox, actions := c.outbox, c.actions
	c.outbox, c.actions = nil, nil
	return outbox, actions
}

// Counts returns the counts of this instance's attempts and of its replica store.
func (c *Coordinator) Counts() Counts {
	counts := c.counts
	counts.Replica = c.store.counts
	return counts
}

// Pending returns the number of pending attempts of this instance, and the
// number and size in bytes of the records in its replica store.
func (c *Coordinator) Pending() (work, records, bytes int) {
	return len(c.pending), len(c.store.records), c.store.bytes
}

// SetMembers sets the current members of the fleet, including this instance.
// MemberLeft must be called first for members that have left.
func (c *Coordinator) SetMembers(members []Member) {
	c.members = members
	for _, m := range members {
		delete(c.departed, m.Name)
	}
}

// MemberLeft reports that an incarnation of a member has ended, or is
// suspected to have.
func (c *Coordinator) MemberLeft(now time.Duration, name string, incarnation uint64) {
	c.advance(now)
	for _, m := range c.members {
		if m.Name == name {
			c.departed[name] = departedMember{m, now}
		}
	}
	c.members = slices.DeleteFunc(slices.Clone(c.members), func(m Member) bool { return m.Name == name })
	c.store.memberLeft(now, name, incarnation)
	c.collectFromStore()
	for _, attempt := range slices.Sorted(maps.Keys(c.pending)) {
		work := c.pending[attempt]
		movable := work.state != stateCompleted && work.state != stateJoined
		if movable && work.covered && slices.Contains(work.remotes, name) {
			c.replaceReplicas(now, work)
		}
	}
}

// MemberReturned reports that an incarnation of a member is alive: either a new
// one, or one that has refuted a suspicion.
func (c *Coordinator) MemberReturned(name string, incarnation uint64) {
	c.store.memberReturned(name, incarnation)
}

// RequestSend requests consent to send the first attempt of work to scope. With
// ScopeNone it records the work as accepted but unsent. Drain returns the
// resulting action: at once if there is no other replica, else after the
// replicas have replied, or after maxReplyTimeout at the latest.
func (c *Coordinator) RequestSend(
	now time.Duration, work Work, attempt uint64, scope Scope, deadline time.Duration,
) {
	c.advance(now)
	pending := &pendingWork{Work: work, attempt: attempt, scope: scope, deadline: deadline}
	c.pending[attempt] = pending
	c.requestConsent(now, pending)
}

// RelocateAttempt requests consent for a further attempt in another scope. The
// caller must know that no earlier attempt ran.
func (c *Coordinator) RelocateAttempt(now time.Duration, attempt uint64, scope Scope) {
	c.advance(now)
	work := c.pending[attempt]
	if work == nil {
		c.emit(Action{Kind: ActionSend, Attempt: attempt})
		return
	}
	if work.scope == scope {
		c.emit(Action{
			Kind:       ActionSend,
			Attempt:    attempt,
			Relocation: work.relocation,
			Covered:    work.covered,
		})
		return
	}
	work.relocate(scope)
	if len(work.remotes) == 0 {
		c.emit(Action{Kind: ActionSend, Attempt: attempt, Relocation: work.relocation})
		return
	}
	c.awaitConsent(now, work, work.consentTimeout(now))
}

// ConfirmRejection checks that an attempt that is about to be rejected was not
// taken over, because a rejection tells the client that nothing has run. The
// resulting action is ActionSend if no other instance has taken the work over,
// ActionAbort if that is not known within outcomeQueryTimeout, and otherwise
// ActionJoin or ActionUseAnswer.
func (c *Coordinator) ConfirmRejection(now time.Duration, attempt uint64) {
	c.advance(now)
	work := c.pending[attempt]
	if work == nil {
		c.emit(Action{Kind: ActionAbort, Attempt: attempt})
		return
	}
	work.relocation++
	work.leavingScopeNone = work.acceptedAndUnsent()
	work.covered = true
	if len(work.remotes) == 0 {
		c.emit(Action{Kind: ActionSend, Attempt: attempt, Relocation: work.relocation})
		return
	}
	c.awaitConsent(now, work, outcomeQueryTimeout)
}

// AttemptSent reports that an attempt was sent: from now on it may have run.
func (c *Coordinator) AttemptSent(now time.Duration, attempt uint64) {
	if work := c.pending[attempt]; work != nil && work.startedAt == 0 {
		work.startedAt = now
	}
}

// Receive handles a message from an incarnation of a member.
func (c *Coordinator) Receive(now time.Duration, from string, incarnation uint64, m Message) {
	c.advance(now)
	switch {
	case m.Intent != nil:
		if m.Intent.valid() {
			reply := c.store.handleIntent(now, from, incarnation, m.Intent)
			c.send(from, Message{Reply: &reply})
		}
	case m.Reply != nil:
		c.receiveReply(now, from, m.Reply)
	case m.Completion != nil:
		c.store.handleCompletion(now, from, m.Completion)
		ack := Completion{Key: m.Completion.Key, Attempt: m.Completion.Attempt}
		c.send(from, Message{CompletionAck: &ack})
	case m.CompletionAck != nil:
		c.receiveCompletionAck(from, m.CompletionAck)
	case m.Notification != nil:
		work := c.pending[m.Notification.Attempt]
		if work != nil && work.state == stateJoined && work.Key == m.Notification.Key {
			c.useJoinedAnswer(work, m.Notification.Answer)
		}
	}
	c.collectFromStore()
}

// Tick resends messages without a reply, decides on work whose wait has timed
// out, and expires records. It must be called about every 10 ms.
func (c *Coordinator) Tick(now time.Duration) {
	c.advance(now)
	for _, attempt := range slices.Sorted(maps.Keys(c.pending)) {
		c.tickWork(now, c.pending[attempt])
	}
	c.store.expireRecords(now)
	c.collectFromStore()
}

// tickWork handles the timeouts of one piece of pending work.
func (c *Coordinator) tickWork(now time.Duration, work *pendingWork) {
	switch work.state {
	case stateCompleted:
		if now-work.completionSentAt >= completionResendInterval {
			c.sendCompletion(now, work)
		}
	case stateQuerying:
		if work.timedOut(now) {
			c.endQueryWithoutOutcome(work)
			return
		}
		c.resendIntent(now, work)
	case stateAwaitingReplicas:
		if len(work.replies) > 0 && c.decide(now, work) {
			return
		}
		if work.timedOut(now) {
			c.decideWithoutReplicas(work)
			return
		}
		c.resendIntent(now, work)
	case stateSettled, stateJoined:
		if now > work.deadline+completionGrace {
			delete(c.pending, work.attempt)
			return
		}
		c.restartIfDue(now, work)
	}
}

// advance sets the coordinator's time, which never goes back.
func (c *Coordinator) advance(now time.Duration) { c.now = max(now, c.now) }

// emit queues an action for Drain.
func (c *Coordinator) emit(a Action) { c.actions = append(c.actions, a) }

// send queues a message for Drain.
func (c *Coordinator) send(to string, m Message) {
	c.outbox = append(c.outbox, Envelope{To: to, Message: m})
}

// collectFromStore drains the messages and the taken-over work that the local
// replica store has queued. It handles notifications to this instance directly.
func (c *Coordinator) collectFromStore() {
	outbox, taken := c.store.outbox, c.store.takenWork
	c.store.outbox, c.store.takenWork = nil, nil
	for _, envelope := range outbox {
		if envelope.To != c.self.Name {
			c.outbox = append(c.outbox, envelope)
			continue
		}
		notification := envelope.Message.Notification
		work := c.pending[notification.Attempt]
		if work != nil && work.state == stateJoined {
			c.useJoinedAnswer(work, notification.Answer)
		}
	}
	for _, t := range taken {
		c.takeOver(t)
	}
}

// takeOver adds work that was taken over from another instance to the pending work.
func (c *Coordinator) takeOver(taken TakenWork) {
	c.counts.TookOver++
	work := &pendingWork{
		Work:       taken.Work,
		attempt:    taken.Attempt,
		epoch:      taken.Epoch,
		relocation: taken.Relocation,
		scope:      taken.Scope,
		deadline:   taken.Deadline,
		localEpoch: taken.Epoch,
		covered:    true,
	}
	if taken.Scope == ScopeNone {
		taken.StartedAt = 0
		work.previousOwner = taken.Owner
	}
	work.startedAt = taken.StartedAt
	c.pending[taken.Attempt] = work
	c.chooseReplicas(c.now, work)
	c.emit(Action{Kind: ActionTakeOver, Attempt: taken.Attempt, Taken: &taken})
}
