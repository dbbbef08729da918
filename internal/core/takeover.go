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
	deskEvery   = 10 * time.Millisecond // between two looks at what is waited for
	acceptAfter = 30 * time.Millisecond // work that has waited here for so long is written down before anything of it goes out
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
	heardWork struct {
		from string
		life uint64
		data []byte
	}
	fellows struct {
		members []takeover.Member // who is there, this instance not among them
		gone    []Incarnation
		back    []Incarnation
		left    []Incarnation // of gone: those that have surely ended
	}
)

// Life is one life of a member.
type Incarnation struct {
	Name   string
	Number uint64
}

// taking is custody of keyed work: what waits for a keeper's word, and what is kept for others. The loop's alone.
type taking struct {
	cfg    Takeover
	desk   *takeover.Coordinator
	byTry  map[uint64]*Request
	shown  atomic.Pointer[WorkStatus]
	showAt time.Duration
}

// keeping is a request in custody.
type keeping struct {
	at     takeover.Scope
	waits  *backend.Attempt // for the keepers' word; nil: none does
	to     policy.BackendID
	ran    int     // attempts that may have run
	out    uint64  // a bit for each attempt that has gone out
	joined bool    // another try's answer is waited for
	refuse *Answer // the module refuses it, and the keepers are asked whether another try has an answer, or has taken it over
	was    bool    // refuse: it was written down for others to go on with
	ended  bool
}

func newTaking(cfg Takeover) *taking {
	return &taking{cfg: cfg, desk: takeover.NewCoordinator(cfg.Self, cfg.Incarnation, cfg.Transport.ClockReading), byTry: map[uint64]*Request{}}
}

// HeardWork takes in what another instance's life has sent.
func (g *Core) ReceiveMessage(from string, life uint64, data []byte) {
	g.post(heardWork{from, life, data})
}

// Fellows tells who else is there now, and which lives have ended or begun since.
// left are those of ended of which that is sure.
func (g *Core) UpdateMembers(members []takeover.Member, ended, begun, left []Incarnation) {
	g.post(fellows{members, ended, begun, left})
}

func (g *Core) heardWork(ev heardWork) {
	var m parcel
	if err := cbor.Unmarshal(ev.data, &m); err != nil {
		if g.unread++; g.unread == 1 {
			g.log.Warn("a message of another instance cannot be read", "from", ev.from, "err", err)
		}
		return
	}
	if m.Rights != nil && g.holding != nil {
		g.heardRights(ev.from, ev.life, *m.Rights)
	}
	if g.taking == nil || m.Message == (takeover.Message{}) {
		return
	}
	g.taking.desk.Receive(g.now, ev.from, ev.life, m.Message)
	g.drainDesk()
}

// parcel is what one instance sends another: of work, or of parts of budgets.
type parcel struct {
	takeover.Message
	Rights *escrow.Message `cbor:"10,keyasint,omitempty"`
}

func (g *Core) fellows(ev fellows) {
	if g.holding != nil {
		g.holding.fellows(ev)
	}
	t := g.taking
	if t == nil {
		return
	}
	for _, x := range ev.gone { // first: where a later life is there already, that one counts
		t.desk.MemberLeft(g.now, x.Name, x.Number)
	}
	for _, x := range ev.back {
		t.desk.MemberReturned(x.Name, x.Number)
	}
	t.desk.SetMembers(append([]takeover.Member{t.cfg.Self}, ev.members...))
	g.drainDesk()
}

// lookAtDesk sends again what has no reply, and lets go what has waited long enough.
func (g *Core) lookAtDesk() {
	g.after(deskEvery, g.lookAtDesk)
	t := g.taking
	t.desk.Tick(g.now)
	g.drainDesk()
	if g.now >= t.showAt {
		t.showAt = g.now + statusEvery
		s := &WorkStatus{Counts: t.desk.Counts(), Unreadable: g.unread}
		s.Pending, s.Records, s.Bytes = t.desk.Pending()
		t.shown.Store(s)
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
func (g *Core) WorkStatus() (WorkStatus, bool) {
	if g.taking == nil {
		return WorkStatus{}, false
	}
	if s := g.taking.shown.Load(); s != nil {
		return *s, true
	}
	return WorkStatus{}, true
}

// covers says whether keepers can hold a request.
func (g *Core) covers(r *Request) bool {
	if g.classes[r.Class].Effect != policy.Keyed || r.IdempotencyKey == "" || r.Size > takeover.MaxBody {
		return false
	}
	_, ok := r.Command.(interface{ Args() [][]byte })
	return ok
}

// workKey is what a piece of keyed work is known by among all instances.
func workKey(r *Request) string { return r.Tenant + "/" + r.IdempotencyKey }

func (g *Core) workOf(r *Request) takeover.Work {
	return takeover.Work{
		Key: workKey(r), Class: r.Class, Plan: r.Plan, Tenant: r.Tenant, Units: r.Units, Spread: r.Spread, First: r.First,
		IdempotencyWindow: g.classes[r.Class].RepeatWindow, Command: r.Command.(interface{ Args() [][]byte }).Args(),
	}
}

// accept lets keepers hold a request that waits here: should this instance end, another sends it.
func (g *Core) accept(r *Request) {
	if r.final || r.kept != nil || len(r.attempts) > 0 || g.requests[r.ID] != r {
		return
	}
	r.kept = &keeping{at: takeover.ScopeNone}
	g.taking.byTry[r.ClientID] = r
	w := g.workOf(r)
	w.Charged = g.mod.IsQueued(r.ID)
	g.taking.desk.RequestSend(g.now, w, r.ClientID, takeover.ScopeNone, r.GiveUpAt)
	g.drainDesk()
}

// inCustody says whether an attempt has to wait for the keepers' word, and asks for it.
func (g *Core) inCustody(r *Request, a *backend.Attempt, to policy.BackendID) bool {
	if !g.covers(r) {
		return false
	}
	at := g.place(g.classes[r.Class], to)
	switch {
	case r.kept == nil:
		r.kept = &keeping{at: at, waits: a, to: to}
		g.taking.byTry[r.ClientID] = r
		g.taking.desk.RequestSend(g.now, g.workOf(r), r.ClientID, at, r.GiveUpAt)
	case r.kept.at == at:
		r.kept.went(a)
		return false
	default: // what went out before surely never ran
		r.kept.at, r.kept.waits, r.kept.to = at, a, to
		g.taking.desk.MigrateAttempt(g.now, r.ClientID, at)
	}
	g.drainDesk()
	return true
}

// askForAnswer asks the keepers for the answer of another try of the key, of a request that the module refuses: whoever comes back with a key while
// there is no room is to have what is there already, or on its way. It returns false where that can't be asked. A client learns within 25 ms
// that it is refused.
func (g *Core) askForAnswer(r *Request, after time.Duration) bool {
	if r != nil && !r.final && r.kept != nil && !r.kept.joined && r.kept.refuse == nil && r.kept.waits == nil && r.kept.ran <= 0 && r.out == 0 { // another may have taken it over
		r.kept.refuse, r.kept.was = &Answer{Kind: Rejected, RetryAfter: after}, true
		g.taking.desk.ConfirmRejection(g.now, r.ClientID)
		g.drainDesk()
		return true
	}
	if r == nil || r.final || r.kept != nil || r.out > 0 || len(r.attempts) > 0 || r.IdempotencyKey == "" || g.classes[r.Class].Effect != policy.Keyed {
		return false
	}
	refuse := &Answer{Kind: Rejected, RetryAfter: after}
	r.kept = &keeping{refuse: refuse}
	g.taking.byTry[r.ClientID] = r
	if !g.taking.desk.QueryOutcome(g.now, workKey(r), r.ClientID, r.GiveUpAt) {
		delete(g.taking.byTry, r.ClientID)
		r.kept = nil
		return false
	}
	g.at(r.GiveUpAt, func() { g.answer(r, *refuse) }) // the other's answer has not come
	g.drainDesk()
	return true
}

// place is where a repeat has no further effect.
func (g *Core) place(c policy.Class, id policy.BackendID) takeover.Scope {
	t := g.ops.listed[id]
	switch c.Group {
	case policy.GroupAll:
		return takeover.Scope{}
	case policy.GroupZone:
		return takeover.Scope{Zone: t.Zone}
	}
	return takeover.Scope{Zone: t.Zone, Rack: t.Group}
}

// drainDesk sends what the desk has to say, and does what may be done.
func (g *Core) drainDesk() {
	t := g.taking
	for {
		out, acts := t.desk.Drain()
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
				g.finish(*a.Taken)
			} else if r := t.byTry[a.Attempt]; r != nil && r.kept != nil && !r.final {
				g.decided(r, a)
			}
		}
	}
}

// decided does what custody has come to for one of this instance's requests.
func (g *Core) decided(r *Request, a takeover.Action) {
	if refuse := r.kept.refuse; refuse != nil { // nothing of it will be sent
		switch {
		case a.Kind == takeover.ActionJoin:
			r.kept.joined = true
		case a.Kind == takeover.ActionUseAnswer && a.Answer.Kind == takeover.AnswerServed:
			g.answer(r, Answer{Kind: Served, Value: a.Answer.Value})
		case r.kept.was && a.Kind != takeover.ActionSend && a.Kind != takeover.ActionRestart: // it may have been sent elsewhere: that is no refusal
			g.answer(r, Answer{Kind: Failed})
		default:
			g.answer(r, *refuse)
		}
		return
	}
	switch a.Kind {
	case takeover.ActionSend:
		w := r.kept.waits
		if r.kept.waits = nil; w == nil {
			return
		}
		if w.Deadline <= g.now {
			g.nodes.CancelUnsent(w, r.kept.to)
			return
		}
		g.taking.desk.AttemptSent(g.now, r.ClientID)
		r.kept.went(w)
		g.launch(r, w, r.kept.to)
	case takeover.ActionJoin:
		r.kept.joined = true
		g.withdraw(r)
	case takeover.ActionUseAnswer:
		g.withdraw(r)
		if a.Answer.Kind == takeover.AnswerServed {
			g.answer(r, Answer{Kind: Served, Value: a.Answer.Value})
		} else {
			g.answer(r, Answer{Kind: Failed})
		}
	case takeover.ActionRestart: // what was waited for never ran: from the beginning
		g.again(r, nil)
		r.kept = nil
	case takeover.ActionAdopt:
		g.withdraw(r)
		r.kept.joined = false
		r.kept.at = a.Scope
		g.again(r, &policy.Prior{Zone: a.Scope.Zone, Cell: a.Scope.Rack, At: a.StartedAt})
	case takeover.ActionAbort:
		g.withdraw(r)
		g.answer(r, Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter})
	}
}

// went counts an attempt that goes out: it may run.
func (k *keeping) went(a *backend.Attempt) {
	k.ran++
	k.out |= 1 << min(a.Number, 63)
}

// left takes the end of an attempt that surely never ran out of the count.
func (k *keeping) left(ev policy.AttemptEnded) {
	if bit := uint64(1) << min(ev.Attempt, 63); ev.Outcome.NeverRan() && k.out&bit != 0 {
		k.ran--
		k.out &^= bit
	}
}

// withdraw takes a request back from the module, whose attempt has not gone out; its units are given back.
func (g *Core) withdraw(r *Request) {
	w := r.kept.waits
	if r.kept.waits = nil; w == nil {
		if r.kept.at == takeover.ScopeNone { // it waits in the module
			g.tell(policy.Disconnected{ID: r.ID})
		}
		return
	}
	r.out--
	g.tell(policy.AttemptEnded{ID: r.ID, Attempt: w.Number, Backend: r.kept.to, Outcome: policy.NotSent, Finished: true, Unsent: true})
}

// again hands a request to the module once more, under a number of its own.
func (g *Core) again(r *Request, prior *policy.Prior) {
	delete(g.requests, r.ID)
	g.lastID++
	r.ID, r.attempts, r.Prior, r.Charged = g.lastID, nil, prior, prior != nil
	if prior != nil {
		r.attempts = []*backend.Attempt{{}} // the other's
		r.kept.ran, r.kept.out = 1, 0
	}
	g.requests[r.ID] = r
	g.tell(policy.Arrival{Request: r.Request})
}

// calledOff ends an attempt that waits for the keepers' word.
func (g *Core) calledOff(r *Request, n int) bool {
	if r.kept == nil || r.kept.waits == nil || r.kept.waits.Number != n {
		return false
	}
	w := r.kept.waits
	r.kept.waits = nil
	g.nodes.CancelUnsent(w, r.kept.to)
	return true
}

// endCustody tells the keepers how a request ended.
func (g *Core) endCustody(r *Request, a Answer) {
	k := r.kept
	if k == nil || k.ended {
		return
	}
	k.ended = true
	delete(g.taking.byTry, r.ClientID)
	end := takeover.Answer{Kind: takeover.AnswerFailed}
	switch {
	case a.Kind == Served:
		end = takeover.Answer{Kind: takeover.AnswerServed, Value: a.Value, Truncated: a.Stream != nil}
	case k.ran <= 0:
		end.Kind = takeover.AnswerNeverRan
	}
	g.taking.desk.Complete(g.now, r.ClientID, end)
	g.drainDesk()
}

// takenPlace is where the answer of work goes that this instance has taken over: whoever asks for it has it from the keepers.
type takenPlace struct{}

// Answer is Place's.
func (takenPlace) Deliver(a Answer) {
	if a.Stream != nil {
		a.Stream.Close()
	}
}

// Gone is Place's: whoever comes back for the answer of work that is taken over asks for it by its key.
func (takenPlace) Disconnected() bool { return false }

// finish goes on with a piece of work whose instance has gone.
func (g *Core) finish(t takeover.TakenWork) {
	fail := func(why string, err error) {
		g.log.Warn("work that was taken over is not finished", "from", t.Owner, "why", why, "err", err)
		g.taking.desk.Complete(g.now, t.Attempt, takeover.Answer{Kind: takeover.AnswerFailed})
	}
	if g.taking.byTry[t.Attempt] != nil || g.taking.cfg.Rebuild == nil {
		fail("it is in hand here, or there is no front yet", nil)
		return
	}
	r, err := g.taking.cfg.Rebuild(t.Command)
	if err != nil {
		fail("its command is none", err)
		return
	}
	r.Sink, r.GiveUpAt = takenPlace{}, t.Deadline
	if len(g.requests) >= g.net.MaxOpen || g.heldBytes+r.Size > g.mostHeld {
		fail("no room", nil)
		return
	}
	g.fig.RequestAccepted()
	g.lastID++
	r.ID, r.came = g.lastID, g.now
	r.kept, r.Charged = &keeping{at: t.Scope}, t.Charged || t.Scope != takeover.ScopeNone
	if t.Scope != takeover.ScopeNone {
		r.Prior = &policy.Prior{Zone: t.Scope.Zone, Cell: t.Scope.Rack, At: t.StartedAt}
		r.attempts = []*backend.Attempt{{}} // its owner's
		r.kept.ran = 1
	}
	g.taking.byTry[t.Attempt] = r
	g.requests[r.ID] = r
	g.heldBytes += r.Size
	g.log.Info("work is taken over", "from", t.Owner, "sent", t.Scope != takeover.ScopeNone, "class", r.Class, "key", r.IdempotencyKey, "left", (t.Deadline - g.now).Round(time.Millisecond))
	g.tell(policy.Arrival{Request: r.Request})
	g.at(r.GiveUpAt+overdue, func() { g.cutOff(r) })
}
