package core

import (
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hitchspring/internal/backend"
	"hitchspring/internal/escrow"
	"hitchspring/internal/takeover"
	"hitchspring/policy"
)

const (
	takeoverTickInterval   = 10 * time.Millisecond // between two looks at what is waited for
	replicateQueuedAfter = 30 * time.Millisecond // work that has waited here for so long is written down before anything of it goes out
)

// Works carries bytes between instances. None of its methods may wait for I/O.
type Transport interface {
	// Send sends bytes to a member, as well as can be.
	Send(to string, data []byte)
	// ClockOf is the newest reading of a member's clock that was heard.
	ClockReading(name string) time.Duration
}

// Takeover is what the core needs so that work in hand survives an instance.
type Takeover struct {
	Self        takeover.Member
	Incarnation uint64
	Transport   Transport
	Rebuild     func(words [][]byte) (*Request, error) // a request of another instance's, from its command's words
}

// The events of custody.
type (
	messageReceived struct {
		from string
		incarnation uint64
		data []byte
	}
	membersChanged struct {
		members []takeover.Member // who is there, this instance not among them
		ended    []Incarnation
		begun    []Incarnation
		surelyEnded    []Incarnation // of gone: those that have surely ended
	}
)

// Life is one life of a member.
type Incarnation struct {
	Name   string
	Number uint64
}

// taking is custody of keyed work: what waits for a keeper's word, and what is kept for others. The loop's alone.
type takeoverState struct {
	cfg    Takeover
	coordinator   *takeover.Coordinator
	byAttempt  map[uint64]*Request
	published  atomic.Pointer[WorkStatus]
	publishAt time.Duration
}

// keeping is a request in custody.
type pendingWork struct {
	scope     takeover.Scope
	awaiting  *backend.Attempt // for the keepers' word; nil: none does
	backend     policy.BackendID
	mayHaveRun    int     // attempts that may have run
	sentAttempts    uint64  // a bit for each attempt that has gone out
	joined bool    // another try's answer is waited for
	rejection *Answer // the module refuses it, and the keepers are asked whether another try has an answer, or has taken it over
	replicated    bool    // refuse: it was written down for others to go on with
	completed  bool
}

func newTakeoverState(cfg Takeover) *takeoverState {
	return &takeoverState{cfg: cfg, coordinator: takeover.NewCoordinator(cfg.Self, cfg.Incarnation, cfg.Transport.ClockReading), byAttempt: map[uint64]*Request{}}
}

// HeardWork takes in what another instance's life has sent.
func (c *Core) ReceiveMessage(from string, life uint64, data []byte) {
	c.post(messageReceived{from, life, data})
}

// Fellows tells who else is there now, and which lives have ended or begun since.
// left are those of ended of which that is sure.
func (c *Core) UpdateMembers(members []takeover.Member, ended, begun, left []Incarnation) {
	c.post(membersChanged{members, ended, begun, left})
}

func (c *Core) handleMessage(ev messageReceived) {
	var m peerMessage
	if err := cbor.Unmarshal(ev.data, &m); err != nil {
		if c.unreadable++; c.unreadable == 1 {
			c.log.Warn("a message of another instance cannot be read", "from", ev.from, "err", err)
		}
		return
	}
	if m.Escrow != nil && c.escrow != nil {
		c.receiveEscrow(ev.from, ev.incarnation, *m.Escrow)
	}
	if c.takeover == nil || m.Message == (takeover.Message{}) {
		return
	}
	c.takeover.coordinator.Receive(c.now, ev.from, ev.incarnation, m.Message)
	c.drainCoordinator()
}

// parcel is what one instance sends another: of work, or of parts of budgets.
type peerMessage struct {
	takeover.Message
	Escrow *escrow.Message `cbor:"10,keyasint,omitempty"`
}

func (c *Core) updateMembers(ev membersChanged) {
	if c.escrow != nil {
		c.escrow.updateMembers(ev)
	}
	t := c.takeover
	if t == nil {
		return
	}
	for _, x := range ev.ended { // first: where a later life is there already, that one counts
		t.coordinator.MemberLeft(c.now, x.Name, x.Number)
	}
	for _, x := range ev.begun {
		t.coordinator.MemberReturned(x.Name, x.Number)
	}
	t.coordinator.SetMembers(append([]takeover.Member{t.cfg.Self}, ev.members...))
	c.drainCoordinator()
}

// lookAtDesk sends again what has no reply, and lets go what has waited long enough.
func (c *Core) tickTakeover() {
	c.scheduleAfter(takeoverTickInterval, c.tickTakeover)
	t := c.takeover
	t.coordinator.Tick(c.now)
	c.drainCoordinator()
	if c.now >= t.publishAt {
		t.publishAt = c.now + statusInterval
		s := &WorkStatus{Counts: t.coordinator.Counts(), Unreadable: c.unreadable}
		s.Pending, s.Records, s.Bytes = t.coordinator.Pending()
		t.published.Store(s)
	}
}

// WorkStatus is what is in custody here, for people and tests.
type WorkStatus struct {
	Pending    int `json:"InHand"`  // of this instance's clients, and taken over
	Records    int `json:"Records"` // that it keeps for all
	Bytes      int `json:"Bytes"`   // that they take
	Unreadable int `json:"Unread"`  // messages that could not be read
	takeover.Counts
}

// WorkStatus is what is in custody, as of a moment ago; false where nothing is. It may be called by many goroutines.
func (c *Core) WorkStatus() (WorkStatus, bool) {
	if c.takeover == nil {
		return WorkStatus{}, false
	}
	if s := c.takeover.published.Load(); s != nil {
		return *s, true
	}
	return WorkStatus{}, true
}

// covers says whether keepers can hold a request.
func (c *Core) canReplicate(r *Request) bool {
	if c.classes[r.Class].Effect != policy.Keyed || r.IdempotencyKey == "" || r.Size > takeover.MaxBody {
		return false
	}
	_, ok := r.Command.(interface{ Args() [][]byte })
	return ok
}

// workKey is what a piece of keyed work is known by among all instances.
func workKey(r *Request) string { return r.Tenant + "/" + r.IdempotencyKey }

func (c *Core) workOf(r *Request) takeover.Work {
	return takeover.Work{
		Key: workKey(r), Class: r.Class, Plan: r.Plan, Tenant: r.Tenant, Units: r.Units, Spread: r.Spread, First: r.First,
		IdempotencyWindow: c.classes[r.Class].RepeatWindow, Command: r.Command.(interface{ Args() [][]byte }).Args(),
	}
}

// accept lets keepers hold a request that waits here: should this instance end, another sends it.
func (c *Core) replicateQueued(r *Request) {
	if r.finished || r.pending != nil || len(r.attempts) > 0 || c.requests[r.ID] != r {
		return
	}
	r.pending = &pendingWork{scope: takeover.ScopeNone}
	c.takeover.byAttempt[r.ClientID] = r
	w := c.workOf(r)
	w.Charged = c.engine.IsQueued(r.ID)
	c.takeover.coordinator.RequestSend(c.now, w, r.ClientID, takeover.ScopeNone, r.GiveUpAt)
	c.drainCoordinator()
}

// inCustody says whether an attempt has to wait for the keepers' word, and asks for it.
func (c *Core) awaitReplicas(r *Request, a *backend.Attempt, to policy.BackendID) bool {
	if !c.canReplicate(r) {
		return false
	}
	at := c.scopeOf(c.classes[r.Class], to)
	switch {
	case r.pending == nil:
		r.pending = &pendingWork{scope: at, awaiting: a, backend: to}
		c.takeover.byAttempt[r.ClientID] = r
		c.takeover.coordinator.RequestSend(c.now, c.workOf(r), r.ClientID, at, r.GiveUpAt)
	case r.pending.scope == at:
		r.pending.attemptSent(a)
		return false
	default: // what went out before surely never ran
		r.pending.scope, r.pending.awaiting, r.pending.backend = at, a, to
		c.takeover.coordinator.MigrateAttempt(c.now, r.ClientID, at)
	}
	c.drainCoordinator()
	return true
}

// queryOutcome asks the keepers for the answer of another try of the key, of a request that the module refuses: whoever comes back with a key while
// there is no room is to have what is there already, or on its way. It returns false where that can't be asked. A client learns within 25 ms
// that it is refused.
func (c *Core) queryOutcome(r *Request, after time.Duration) bool {
	if r != nil && !r.finished && r.pending != nil && !r.pending.joined && r.pending.rejection == nil && r.pending.awaiting == nil && r.pending.mayHaveRun <= 0 && r.inFlight == 0 { // another may have taken it over
		r.pending.rejection, r.pending.replicated = &Answer{Kind: Rejected, RetryAfter: after}, true
		c.takeover.coordinator.ConfirmRejection(c.now, r.ClientID)
		c.drainCoordinator()
		return true
	}
	if r == nil || r.finished || r.pending != nil || r.inFlight > 0 || len(r.attempts) > 0 || r.IdempotencyKey == "" || c.classes[r.Class].Effect != policy.Keyed {
		return false
	}
	refuse := &Answer{Kind: Rejected, RetryAfter: after}
	r.pending = &pendingWork{rejection: refuse}
	c.takeover.byAttempt[r.ClientID] = r
	if !c.takeover.coordinator.QueryOutcome(c.now, workKey(r), r.ClientID, r.GiveUpAt) {
		delete(c.takeover.byAttempt, r.ClientID)
		r.pending = nil
		return false
	}
	c.scheduleAt(r.GiveUpAt, func() { c.answerRequest(r, *refuse) }) // the other's answer has not come
	c.drainCoordinator()
	return true
}

// place is where a repeat has no further effect.
func (c *Core) scopeOf(class policy.Class, id policy.BackendID) takeover.Scope {
	t := c.overrides.targets[id]
	switch class.Group {
	case policy.GroupAll:
		return takeover.Scope{}
	case policy.GroupZone:
		return takeover.Scope{Zone: t.Zone}
	}
	return takeover.Scope{Zone: t.Zone, Rack: t.Group}
}

// drainDesk sends what the desk has to say, and does what may be done.
func (c *Core) drainCoordinator() {
	t := c.takeover
	for {
		out, acts := t.coordinator.Drain()
		for _, o := range out {
			b, err := cbor.Marshal(o.Message)
			if err != nil { // of plain fields
				panic(err)
			}
			t.cfg.Transport.Send(o.To, b)
		}
		if len(acts) == 0 {
			return
		}
		for _, a := range acts {
			if a.Kind == takeover.ActionTakeOver {
				c.resumeWork(*a.Taken)
			} else if r := t.byAttempt[a.Attempt]; r != nil && r.pending != nil && !r.finished {
				c.performTakeoverAction(r, a)
			}
		}
	}
}

// decided does what custody has come to for one of this instance's requests.
func (c *Core) performTakeoverAction(r *Request, a takeover.Action) {
	if refuse := r.pending.rejection; refuse != nil { // nothing of it will be sent
		switch {
		case a.Kind == takeover.ActionJoin:
			r.pending.joined = true
		case a.Kind == takeover.ActionUseAnswer && a.Answer.Kind == takeover.AnswerServed:
			c.answerRequest(r, Answer{Kind: Served, Value: a.Answer.Value})
		case r.pending.replicated && a.Kind != takeover.ActionSend && a.Kind != takeover.ActionRestart: // it may have been sent elsewhere: that is no refusal
			c.answerRequest(r, Answer{Kind: Failed})
		default:
			c.answerRequest(r, *refuse)
		}
		return
	}
	switch a.Kind {
	case takeover.ActionSend:
		w := r.pending.awaiting
		if r.pending.awaiting = nil; w == nil {
			return
		}
		if w.Deadline <= c.now {
			c.backends.CancelUnsent(w, r.pending.backend)
			return
		}
		c.takeover.coordinator.AttemptSent(c.now, r.ClientID)
		r.pending.attemptSent(w)
		c.startAttempt(r, w, r.pending.backend)
	case takeover.ActionJoin:
		r.pending.joined = true
		c.withdrawFromEngine(r)
	case takeover.ActionUseAnswer:
		c.withdrawFromEngine(r)
		if a.Answer.Kind == takeover.AnswerServed {
			c.answerRequest(r, Answer{Kind: Served, Value: a.Answer.Value})
		} else {
			c.answerRequest(r, Answer{Kind: Failed})
		}
	case takeover.ActionRestart: // what was waited for never ran: from the beginning
		c.resubmit(r, nil)
		r.pending = nil
	case takeover.ActionAdopt:
		c.withdrawFromEngine(r)
		r.pending.joined = false
		r.pending.scope = a.Scope
		c.resubmit(r, &policy.Prior{Zone: a.Scope.Zone, Cell: a.Scope.Rack, At: a.StartedAt})
	case takeover.ActionAbort:
		c.withdrawFromEngine(r)
		c.answerRequest(r, Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter})
	}
}

// went counts an attempt that goes out: it may run.
func (w *pendingWork) attemptSent(a *backend.Attempt) {
	w.mayHaveRun++
	w.sentAttempts |= 1 << min(a.Number, 63)
}

// left takes the end of an attempt that surely never ran out of the count.
func (w *pendingWork) attemptEnded(ev policy.AttemptEnded) {
	if bit := uint64(1) << min(ev.Attempt, 63); ev.Outcome.NeverRan() && w.sentAttempts&bit != 0 {
		w.mayHaveRun--
		w.sentAttempts &^= bit
	}
}

// withdraw takes a request back from the module, whose attempt has not gone out; its units are given back.
func (c *Core) withdrawFromEngine(r *Request) {
	w := r.pending.awaiting
	if r.pending.awaiting = nil; w == nil {
		if r.pending.scope == takeover.ScopeNone { // it waits in the module
			c.notifyEngine(policy.Disconnected{ID: r.ID})
		}
		return
	}
	r.inFlight--
	c.notifyEngine(policy.AttemptEnded{ID: r.ID, Attempt: w.Number, Backend: r.pending.backend, Outcome: policy.NotSent, Finished: true, Unsent: true})
}

// again hands a request to the module once more, under a number of its own.
func (c *Core) resubmit(r *Request, prior *policy.Prior) {
	delete(c.requests, r.ID)
	c.lastID++
	r.ID, r.attempts, r.Prior, r.Charged = c.lastID, nil, prior, prior != nil
	if prior != nil {
		r.attempts = []*backend.Attempt{{}} // the other's
		r.pending.mayHaveRun, r.pending.sentAttempts = 1, 0
	}
	c.requests[r.ID] = r
	c.notifyEngine(policy.Arrival{Request: r.Request})
}

// calledOff ends an attempt that waits for the keepers' word.
func (c *Core) cancelAwaiting(r *Request, n int) bool {
	if r.pending == nil || r.pending.awaiting == nil || r.pending.awaiting.Number != n {
		return false
	}
	w := r.pending.awaiting
	r.pending.awaiting = nil
	c.backends.CancelUnsent(w, r.pending.backend)
	return true
}

// endCustody tells the keepers how a request ended.
func (c *Core) completeWork(r *Request, a Answer) {
	k := r.pending
	if k == nil || k.completed {
		return
	}
	k.completed = true
	delete(c.takeover.byAttempt, r.ClientID)
	end := takeover.Answer{Kind: takeover.AnswerFailed}
	switch {
	case a.Kind == Served:
		end = takeover.Answer{Kind: takeover.AnswerServed, Value: a.Value, Truncated: a.Stream != nil}
	case k.mayHaveRun <= 0:
		end.Kind = takeover.AnswerNeverRan
	}
	c.takeover.coordinator.Complete(c.now, r.ClientID, end)
	c.drainCoordinator()
}

// takenPlace is where the answer of work goes that this instance has taken over: whoever asks for it has it from the keepers.
type takenOverSink struct{}

// Answer is Place's.
func (takenOverSink) Deliver(a Answer) {
	if a.Stream != nil {
		a.Stream.Close()
	}
}

// Gone is Place's: whoever comes back for the answer of work that is taken over asks for it by its key.
func (takenOverSink) Disconnected() bool { return false }

// finish goes on with a piece of work whose instance has gone.
func (c *Core) resumeWork(t takeover.TakenWork) {
	fail := func(why string, err error) {
		c.log.Warn("work that was taken over is not finished", "from", t.Owner, "why", why, "err", err)
		c.takeover.coordinator.Complete(c.now, t.Attempt, takeover.Answer{Kind: takeover.AnswerFailed})
	}
	if c.takeover.byAttempt[t.Attempt] != nil || c.takeover.cfg.Rebuild == nil {
		fail("it is in hand here, or there is no front yet", nil)
		return
	}
	r, err := c.takeover.cfg.Rebuild(t.Command)
	if err != nil {
		fail("its command is none", err)
		return
	}
	r.Sink, r.GiveUpAt = takenOverSink{}, t.Deadline
	if len(c.requests) >= c.connections.MaxOpen || c.requestBytes+r.Size > c.maxRequestBytes {
		fail("no room", nil)
		return
	}
	c.metrics.RequestAccepted()
	c.lastID++
	r.ID, r.arrivedAt = c.lastID, c.now
	r.pending, r.Charged = &pendingWork{scope: t.Scope}, t.Charged || t.Scope != takeover.ScopeNone
	if t.Scope != takeover.ScopeNone {
		r.Prior = &policy.Prior{Zone: t.Scope.Zone, Cell: t.Scope.Rack, At: t.StartedAt}
		r.attempts = []*backend.Attempt{{}} // its owner's
		r.pending.mayHaveRun = 1
	}
	c.takeover.byAttempt[t.Attempt] = r
	c.requests[r.ID] = r
	c.requestBytes += r.Size
	c.log.Info("work is taken over", "from", t.Owner, "sent", t.Scope != takeover.ScopeNone, "class", r.Class, "key", r.IdempotencyKey, "left", (t.Deadline - c.now).Round(time.Millisecond))
	c.notifyEngine(policy.Arrival{Request: r.Request})
	c.scheduleAt(r.GiveUpAt+answerOverdueAfter, func() { c.answerOverdue(r) })
}
