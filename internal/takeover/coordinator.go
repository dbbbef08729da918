package takeover

import (
	"maps"
	"slices"
	"time"
)

// Act is what may be done with one of this instance's tries, or with a piece of work that it takes over.
type Action struct {
	Kind       ActionKind
	Attempt    uint64
	Relocation int
	Covered    bool          // of Go: a keeper has acknowledged the intent
	Answer     Answer        // of Answered
	Scope      Scope         // of Bind
	StartedAt  time.Duration // of Bind: when the first attempt of the key went out, at the earliest
	Taken      *TakenWork    // of Finish
}

// Do is the kind of an act.
type ActionKind uint8

// The kinds.
const (
	ActionSend      ActionKind = iota + 1 // the attempt may go out
	ActionJoin                            // another try of the key is open: its answer is this one's too
	ActionUseAnswer                       // this is the final answer
	ActionAdopt                           // another try of the key may have run: this one goes on with it in its place
	ActionRestart                         // what was waited for surely never ran: this one may begin
	ActionTakeOver                        // a piece of work is taken over
	ActionAbort                           // the attempt may not go out, and nothing of the try has run
	ActionUnknown                         // to Ask: no other try of the key has an answer
)

// hand is one try of this instance's that keepers know of, or are asked about.
type pendingWork struct {
	Work
	attempt          uint64
	epoch            uint64
	localEpoch       uint64 // the epoch of the record that is kept here, where there is one
	relocation       int
	scope            Scope
	startedAt        time.Duration // its first attempt; 0: none yet
	deadline         time.Duration
	replicas         []string // the key's keepers, this instance among them where it is one
	remotes          []string // the others that are asked: two of order, and those from before a death
	requestedAt      time.Duration
	timeout          time.Duration // with the keepers
	lastSentAt       time.Duration
	replies          []*Reply
	waits            bool // for the keepers' word
	covered          bool
	joined           bool
	asks             bool        // nothing is to be sent for it
	leavesNone       bool        // it moves from Nowhere: the deciding keeper's word is enough, since who would take it over needs the word of all
	unsentEverywhere bool        // all keepers had it as being nowhere
	previousOwner    string      // whose it was, of work taken over from nowhere: its word is not needed, for it sends nothing without this one's
	adopted          bool        // to the place of another try of the key
	completion       *Completion // that the keepers have not all heard
	acknowledged     []bool
	completionSends  int
	completionSentAt time.Duration
}

// Desk is one instance's custody: its own tries, and the records that it keeps for others. It is used by one goroutine at a time.
type Coordinator struct {
	self         Member
	store        *ReplicaStore
	members      []Member
	departed     map[string]departedMember // members that have gone of late
	pending      map[uint64]*pendingWork
	replicaClock func(name string) time.Duration // a keeper's clock as last heard
	now          time.Duration
	outbox       []Envelope
	actions      []Action
	counts       Counts
	openQueries  int // hands that ask and are not told yet
}

// departed is a member that has gone, and when that was heard.
type departedMember struct {
	Member
	at time.Duration
}

// Counts is what became of this instance's tries.
type Counts struct {
	Covered   int           `json:"Covered"`
	Partly    int           `json:"Partly"`
	Uncovered int           `json:"Uncovered"`
	NoReplica int           `json:"NoKeeper"`
	Joined    int           `json:"Joined"`
	Bound     int           `json:"Bound"`
	Answered  int           `json:"Answered"`
	TakenFrom int           `json:"TakenFrom"`
	Over      int           `json:"Over"`
	Halted    int           `json:"Halted"`
	Queried   int           `json:"Asked"`
	Replica   ReplicaCounts `json:"Keeper"`
}

// NewDesk returns one that knows nobody. clock returns the newest reading of a member's clock that was heard.
func NewCoordinator(self Member, life uint64, clock func(name string) time.Duration) *Coordinator {
	return &Coordinator{self: self, store: newReplicaStore(self.Name, life), pending: map[uint64]*pendingWork{}, departed: map[string]departedMember{}, replicaClock: clock, members: []Member{self}}
}

// Drain returns what has come up since it was last called: messages, and what may be done.
func (d *Coordinator) Drain() ([]Envelope, []Action) {
	out, acts := d.outbox, d.actions
	d.outbox, d.actions = nil, nil
	return out, acts
}

// Counts is what has happened so far.
func (d *Coordinator) Counts() Counts {
	c := d.counts
	c.Replica = d.store.counts
	return c
}

// Held is how many pieces of work of this instance are in hand, and how many records and bytes it keeps for all.
func (d *Coordinator) Pending() (inHand, records, bytes int) {
	return len(d.pending), len(d.store.records), d.store.bytes
}

// Members tells who is there, this instance among them. Who has gone is told by Left, before.
func (d *Coordinator) SetMembers(members []Member) {
	d.members = members
	for _, m := range members {
		delete(d.departed, m.Name)
	}
}

// Left tells that a life of a member has ended, or is held to have.
func (d *Coordinator) MemberLeft(now time.Duration, name string, life uint64) {
	d.now = max(now, d.now)
	for _, m := range d.members {
		if m.Name == name {
			d.departed[name] = departedMember{m, now}
		}
	}
	d.members = slices.DeleteFunc(slices.Clone(d.members), func(m Member) bool { return m.Name == name })
	d.store.memberLeft(now, name, life)
	d.gather()
	for _, try := range slices.Sorted(maps.Keys(d.pending)) { // what it kept is kept elsewhere from now on
		if h := d.pending[try]; slices.Contains(h.remotes, name) && h.covered && h.completion == nil && !h.joined {
			d.keep(now, h)
		}
	}
}

// Back tells that a member is there.
func (d *Coordinator) MemberReturned(name string, life uint64) { d.store.memberReturned(name, life) }

func (d *Coordinator) act(a Action) { d.actions = append(d.actions, a) }

// gather takes what the keeper here has to say and to do.
func (d *Coordinator) gather() {
	sends, takes := d.store.outbox, d.store.takenWork
	d.store.outbox, d.store.takenWork = nil, nil
	for _, s := range sends {
		if s.To != d.self.Name {
			d.outbox = append(d.outbox, s)
		} else if h := d.pending[s.Message.Notification.Attempt]; h != nil && h.joined {
			d.told(d.now, h, s.Message.Notification.Answer)
		}
	}
	for _, t := range takes {
		d.counts.TakenFrom++
		from := ""
		if t.Scope == ScopeNone {
			t.StartedAt, from = 0, t.Owner
		}
		d.pending[t.Attempt] = &pendingWork{Work: t.Work, attempt: t.Attempt, epoch: t.Epoch, relocation: t.Relocation, scope: t.Scope, startedAt: t.StartedAt, deadline: t.Deadline, covered: true, previousOwner: from}
		h := d.pending[t.Attempt]
		h.replicas = Replicas(t.Key, d.members)
		h.remotes = d.keepersOf(d.now, h)
		h.acknowledged = make([]bool, len(h.remotes))
		d.act(Action{Kind: ActionTakeOver, Attempt: t.Attempt, Taken: &t})
	}
}

// keepersOf are the others whose word a try needs.
func (d *Coordinator) keepersOf(now time.Duration, h *pendingWork) []string {
	return slices.DeleteFunc(d.others(now, h.replicas, h.Key), func(n string) bool { return n == h.previousOwner })
}

// others are the keepers of a key that are asked: the first two by those that are there, but for this instance, and those that it had before
// who has gone of late: a death may be false.
func (d *Coordinator) others(now time.Duration, order []string, key string) []string {
	not := func(n string) bool { return n == d.self.Name }
	out := slices.DeleteFunc(slices.Clone(order), not)
	out = out[:min(2, len(out))]
	if len(d.departed) == 0 {
		return out
	}
	before := slices.Clone(d.members)
	for _, name := range slices.Sorted(maps.Keys(d.departed)) {
		if now-d.departed[name].at <= departedReplicaSpan {
			before = append(before, d.departed[name].Member)
		}
	}
	old := slices.DeleteFunc(Replicas(key, before), not)
	for _, n := range old[:min(2, len(old))] {
		if !slices.Contains(out, n) {
			out = append(out, n)
		}
	}
	return out
}

// Begin asks whether the first attempt of a try may go out to a place. The answer is among what Drain returns: often at once where there is no
// keeper, else when one has replied, and 100 ms later at the latest.
func (d *Coordinator) RequestSend(now time.Duration, w Work, try uint64, at Scope, until time.Duration) {
	d.now = max(now, d.now)
	h := &pendingWork{Work: w, attempt: try, scope: at, deadline: until}
	d.pending[try] = h
	d.keep(now, h)
}

// Ask asks whether another try of a key has an answer or will have one, for a try of which nothing is to be sent: it is about to be refused. It
// returns false where nobody can be asked; else one of Join, Answered and Unknown is among what Drain returns, now or 25 ms later at the latest.
func (d *Coordinator) QueryOutcome(now time.Duration, key string, try uint64, until time.Duration) bool {
	d.now = max(now, d.now)
	h := &pendingWork{Work: Work{Key: key}, attempt: try, deadline: until, asks: true, requestedAt: now, lastSentAt: now, timeout: outcomeQueryTimeout}
	h.replicas = Replicas(key, d.members)
	h.remotes = d.others(now, h.replicas, key)
	if d.openQueries >= maxOpenQueries || len(h.remotes) == 0 || d.pending[try] != nil || until-now < 2*outcomeQueryTimeout {
		return false
	}
	d.counts.Queried++
	d.openQueries++
	d.pending[try] = h
	h.replies, h.waits = make([]*Reply, len(h.remotes)), true
	if slices.Contains(h.replicas, d.self.Name) {
		if re := d.store.handleIntent(now, d.self.Name, d.store.incarnation, d.intentOf(now, h, d.self.Name)); re.Kind == ReplyOtherAttempt {
			d.heardOf(now, h, re)
			return true
		}
	}
	d.request(now, h)
	return true
}

// heardOf takes what a keeper says of a key that was asked for.
func (d *Coordinator) heardOf(now time.Duration, h *pendingWork, re Reply) {
	h.waits = false
	d.openQueries--
	if re.Answer != nil {
		d.told(now, h, *re.Answer)
		return
	}
	h.joined = true
	d.counts.Joined++
	d.act(Action{Kind: ActionJoin, Attempt: h.attempt})
}

// unheard ends an Ask to which nobody has said anything.
func (d *Coordinator) unheard(h *pendingWork) {
	d.openQueries--
	delete(d.pending, h.attempt)
	d.act(Action{Kind: ActionUnknown, Attempt: h.attempt})
}

// Move asks whether a further attempt may go out to another place: what went out before surely never ran.
func (d *Coordinator) MigrateAttempt(now time.Duration, try uint64, at Scope) {
	d.now = max(now, d.now)
	h := d.pending[try]
	if h == nil {
		d.act(Action{Kind: ActionSend, Attempt: try})
		return
	}
	if h.scope == at {
		d.act(Action{Kind: ActionSend, Attempt: try, Relocation: h.relocation, Covered: h.covered})
		return
	}
	h.relocation++
	if h.leavesNone = h.scope == ScopeNone && h.previousOwner == ""; h.scope == ScopeNone {
		h.covered = true // it goes with a keeper's word, or not at all
	}
	h.scope, h.startedAt = at, 0
	if len(h.remotes) == 0 {
		d.act(Action{Kind: ActionSend, Attempt: try, Relocation: h.relocation})
		return
	}
	d.ask(now, h)
}

// Confirm asks whether nobody has taken over a try that is about to be refused: a refusal says that nothing has run. Go: nobody has;
// Halt: it can't be known; Join and Answered as ever. It takes 25 ms at the most.
func (d *Coordinator) ConfirmRejection(now time.Duration, try uint64) {
	d.now = max(now, d.now)
	h := d.pending[try]
	if h == nil {
		d.act(Action{Kind: ActionAbort, Attempt: try})
		return
	}
	h.relocation++
	h.leavesNone, h.covered = h.scope == ScopeNone && h.previousOwner == "", true
	if len(h.remotes) == 0 {
		d.act(Action{Kind: ActionSend, Attempt: try, Relocation: h.relocation})
		return
	}
	d.ask(now, h)
	h.waits = true
	h.timeout = outcomeQueryTimeout
}

// keep chooses a try's keepers by the members that are there now, and asks them.
func (d *Coordinator) keep(now time.Duration, h *pendingWork) {
	h.replicas = Replicas(h.Key, d.members)
	h.remotes = d.keepersOf(now, h)
	h.acknowledged = make([]bool, len(h.remotes))
	if slices.Contains(h.replicas, d.self.Name) { // the others' tries of the key are decided here
		re := d.store.handleIntent(now, d.self.Name, d.store.incarnation, d.intentOf(now, h, d.self.Name))
		d.gather()
		if re.Kind != ReplyGranted && re.Kind != ReplyFull {
			d.decided(now, h, re, true)
			return
		}
		h.epoch, h.localEpoch = max(h.epoch, re.Epoch), re.Epoch
	}
	if len(h.remotes) == 0 {
		d.counts.NoReplica++
		d.act(Action{Kind: ActionSend, Attempt: h.attempt, Relocation: h.relocation})
		return
	}
	d.ask(now, h)
}

// ask sends the intent to the keepers.
func (d *Coordinator) ask(now time.Duration, h *pendingWork) {
	first := !h.covered
	h.requestedAt, h.lastSentAt, h.replies = now, now, make([]*Reply, len(h.remotes))
	h.waits = first || h.startedAt == 0
	h.timeout = min(maxReplyTimeout, max(minReplyTimeout, (h.deadline-now)/replyTimeoutDivisor))
	d.request(now, h)
}

// request sends a try's intent to the keepers that have not replied to it.
func (d *Coordinator) request(now time.Duration, h *pendingWork) {
	h.lastSentAt = now
	for i, k := range h.remotes {
		if h.replies[i] == nil {
			d.outbox = append(d.outbox, Envelope{k, Message{Intent: d.intentOf(now, h, k)}})
		}
	}
}

func (d *Coordinator) intentOf(now time.Duration, h *pendingWork, keeper string) *Intent {
	if h.asks {
		return &Intent{Work: h.Work, Attempt: h.attempt, QueryOnly: true}
	}
	in := &Intent{Work: h.Work, Attempt: h.attempt, Epoch: h.epoch, Relocation: h.relocation, Scope: h.scope, Remaining: max(0, h.deadline-now), Replicas: h.replicas}
	if h.startedAt > 0 {
		in.Age = now - h.startedAt
	}
	if keeper != d.self.Name {
		in.Clock = d.replicaClock(keeper)
	}
	return in
}

// Sent tells that an attempt has gone out: from now on it may have run.
func (d *Coordinator) AttemptSent(now time.Duration, try uint64) {
	if h := d.pending[try]; h != nil && h.startedAt == 0 {
		h.startedAt = now
	}
}

// Finish tells how a try ended here; its keepers are told, now and again until they have heard it.
func (d *Coordinator) Complete(now time.Duration, try uint64, a Answer) {
	d.now = max(now, d.now)
	h := d.pending[try]
	if h == nil || h.completion != nil {
		return
	}
	if h.joined || h.asks { // another try's end is that one's to tell
		if h.asks && h.waits {
			d.openQueries--
		}
		delete(d.pending, try)
		return
	}
	if a.Kind == AnswerNeverRan && h.startedAt > 0 && h.epoch == 0 {
		a.Kind = AnswerFailed
	}
	if len(a.Value) > maxAnswerBytes {
		a.Value, a.Truncated = nil, true
	}
	h.completion = &Completion{h.Key, h.attempt, h.epoch, a}
	h.waits = false
	d.store.handleCompletion(now, d.self.Name, h.completion)
	d.gather()
	d.tellEnd(now, h)
}

func (d *Coordinator) tellEnd(now time.Duration, h *pendingWork) {
	h.completionSends++
	h.completionSentAt = now
	all := true
	for i, k := range h.remotes {
		if !h.acknowledged[i] {
			all = false
			d.outbox = append(d.outbox, Envelope{k, Message{Completion: h.completion}})
		}
	}
	if all || h.completionSends >= maxCompletionSends {
		delete(d.pending, h.attempt)
	}
}

// Receive takes a message of a member's life in.
func (d *Coordinator) Receive(now time.Duration, from string, life uint64, m Message) {
	d.now = max(now, d.now)
	switch {
	case m.Intent != nil:
		if validIntent(m.Intent) {
			re := d.store.handleIntent(now, from, life, m.Intent)
			d.outbox = append(d.outbox, Envelope{from, Message{Reply: &re}})
		}
	case m.Reply != nil:
		if h := d.pending[m.Reply.Attempt]; h != nil && h.Key == m.Reply.Key {
			if i := slices.Index(h.remotes, from); i >= 0 && m.Reply.Relocation == h.relocation {
				d.reply(now, h, i, *m.Reply)
			}
		}
	case m.Completion != nil:
		d.store.handleCompletion(now, from, m.Completion)
		d.outbox = append(d.outbox, Envelope{from, Message{CompletionAck: &Completion{Key: m.Completion.Key, Attempt: m.Completion.Attempt}}})
	case m.CompletionAck != nil:
		if h := d.pending[m.CompletionAck.Attempt]; h != nil && h.completion != nil {
			if i := slices.Index(h.remotes, from); i >= 0 {
				h.acknowledged[i] = true
			}
			if !slices.Contains(h.acknowledged, false) {
				delete(d.pending, h.attempt)
			}
		}
	case m.Notification != nil:
		if h := d.pending[m.Notification.Attempt]; h != nil && h.joined && h.Key == m.Notification.Key {
			d.told(now, h, m.Notification.Answer)
		}
	}
	d.gather()
}

func validIntent(in *Intent) bool {
	size := 0
	for _, w := range in.Command {
		size += len(w)
	}
	return in.Key != "" && len(in.Key) <= 512 && size <= MaxBody && in.Remaining >= 0 && in.Remaining <= time.Minute && in.Age >= 0 && in.Age <= time.Hour && in.IdempotencyWindow >= 0 &&
		in.IdempotencyWindow <= time.Hour && len(in.Class) <= 128 && len(in.Plan) <= 128 && len(in.Tenant) <= 128 && len(in.Command) <= 16
}

// reply takes a keeper's word.
func (d *Coordinator) reply(now time.Duration, h *pendingWork, i int, re Reply) {
	if h.asks {
		if !h.waits {
			return
		}
		if h.replies[i] = &re; re.Kind == ReplyOtherAttempt {
			d.heardOf(now, h, re)
		} else if !slices.Contains(h.replies, nil) {
			d.unheard(h)
		}
		return
	}
	if re.Kind == ReplyStaleClock {
		if now-h.requestedAt < h.timeout && h.waits {
			d.outbox = append(d.outbox, Envelope{h.remotes[i], Message{Intent: d.again(now, h, i, re.Clock)}})
		}
		return
	}
	if re.Kind == ReplyGranted {
		h.epoch = max(h.epoch, re.Epoch)
	}
	if !h.waits || h.completion != nil || h.joined {
		return
	}
	h.replies[i] = &re
	d.decide(now, h)
}

// decide comes to a decision when all that were asked have replied, or when the others have been silent for long enough. It returns whether it
// did.
func (d *Coordinator) decide(now time.Duration, h *pendingWork) bool {
	lead := h.replicas[0] == d.self.Name // what decides has granted it: here, or there
	if re := h.replies[0]; re != nil && h.remotes[0] == h.replicas[0] {
		lead = re.Kind == ReplyGranted
	}
	var first, knows *Reply // who has replied; who knows of another try
	missing, all := false, true
	for i, re := range h.replies {
		switch {
		case re == nil:
			all = false
			_, late := d.departed[h.remotes[i]]
			missing = missing || !late || now-h.requestedAt < departedReplyTimeout
			continue
		case lead && h.previousOwner == "" && (re.Kind == ReplyOtherAttempt || re.Kind == ReplyTakenOver) && re.Answer == nil && re.Primary == h.replicas[0]:
			continue // that try has asked the same keeper, and lost
		case first == nil:
			first = re
		}
		if knows == nil && re.Kind != ReplyGranted && re.Kind != ReplyFull {
			knows = re
		}
	}
	switch {
	case knows != nil && knows.Answer != nil && knows.Answer.Kind == AnswerServed: // nobody can say more
		d.decided(now, h, *knows, true)
	case missing && now-h.requestedAt < h.timeout/2:
		return false
	case knows != nil && first.Kind == ReplyAdopt:
		d.decided(now, h, *first, all)
	case knows != nil: // where views differ, who knows of another try is right
		d.decided(now, h, *knows, all)
	case first != nil:
		d.decided(now, h, *first, all)
	case lead && !missing:
		d.decided(now, h, Reply{Kind: ReplyGranted, Epoch: h.epoch}, all)
	default:
		return false
	}
	return true
}

func (d *Coordinator) again(now time.Duration, h *pendingWork, i int, clock time.Duration) *Intent {
	in := d.intentOf(now, h, h.remotes[i])
	in.Clock = max(in.Clock, clock)
	return in
}

// decided does what the keepers have come to.
func (d *Coordinator) decided(now time.Duration, h *pendingWork, re Reply, all bool) {
	h.waits = false
	if re.Kind == ReplyOtherAttempt || re.Kind == ReplyTakenOver { // who has granted it meanwhile shall not wait for its end
		d.store.handleCompletion(now, d.self.Name, &Completion{h.Key, h.attempt, h.localEpoch, Answer{Kind: AnswerNeverRan}})
		for i, k := range h.remotes[:len(h.replies)] {
			epoch := h.epoch
			if x := h.replies[i]; x != nil && x.Kind != ReplyGranted {
				continue
			} else if x != nil {
				epoch = x.Epoch
			}
			d.outbox = append(d.outbox, Envelope{k, Message{Completion: &Completion{h.Key, h.attempt, epoch, Answer{Kind: AnswerNeverRan}}}})
		}
	}
	switch {
	case h.adopted && (re.Kind == ReplyGranted || re.Kind == ReplyFull):
		d.bind(h, all)
		return
	case re.Kind == ReplyFull && h.relocation > 0 && h.covered: // another may hold it to be nowhere, or elsewhere
		d.halt(h)
		return
	}
	switch re.Kind {
	case ReplyGranted:
		if h.relocation > 0 && !all && !(h.leavesNone && h.decider(d.self.Name)) { // one might still hold it to be elsewhere
			d.halt(h)
			return
		}
		if h.scope == ScopeNone {
			h.unsentEverywhere = all
		}
		if h.leavesNone {
			all = h.unsentEverywhere
		}
		h.epoch, h.covered = max(h.epoch, re.Epoch), true
		if all {
			d.counts.Covered++
		} else { // some that might know of another try have not replied
			d.counts.Partly++
		}
		d.act(Action{Kind: ActionSend, Attempt: h.attempt, Relocation: h.relocation, Covered: all})
	case ReplyFull:
		d.counts.Uncovered++
		d.act(Action{Kind: ActionSend, Attempt: h.attempt, Relocation: h.relocation})
	case ReplyOtherAttempt, ReplyTakenOver:
		if re.Kind == ReplyTakenOver {
			d.counts.Over++
		}
		if re.Answer != nil {
			d.told(now, h, *re.Answer)
			return
		}
		h.joined = true
		d.counts.Joined++
		d.act(Action{Kind: ActionJoin, Attempt: h.attempt})
	case ReplyAdopt:
		elsewhere := h.scope != re.Scope
		h.adopted, h.epoch, h.scope, h.startedAt = true, re.Epoch, re.Scope, max(1, now-re.Age)
		if elsewhere { // nobody may still hold it to be in the place that it had chosen
			h.relocation++
			d.store.adoptScope(h)
			d.ask(now, h)
			h.waits = true
			return
		}
		d.bind(h, all)
	}
}

// decider says whether the key's deciding keeper has granted what was asked last.
func (h *pendingWork) decider(self string) bool {
	if h.replicas[0] == self {
		return h.localEpoch > 0
	}
	re := h.replies[0]
	return h.remotes[0] == h.replicas[0] && re != nil && re.Kind == ReplyGranted
}

// bind lets a try go on with another's work, in its place.
func (d *Coordinator) bind(h *pendingWork, all bool) {
	d.counts.Bound++
	h.covered, h.waits = true, false
	d.act(Action{Kind: ActionAdopt, Attempt: h.attempt, Scope: h.scope, StartedAt: h.startedAt, Covered: all})
}

// halt ends a try that may not go on to another place: a keeper has not heard that the attempt before never ran.
func (d *Coordinator) halt(h *pendingWork) {
	d.counts.Halted++
	h.waits = false
	d.act(Action{Kind: ActionAbort, Attempt: h.attempt})
}

// told takes the answer of the try that this one has joined.
func (d *Coordinator) told(now time.Duration, h *pendingWork, a Answer) {
	if a.Kind == AnswerNeverRan {
		delete(d.pending, h.attempt)
		d.act(Action{Kind: ActionRestart, Attempt: h.attempt})
		return
	}
	d.counts.Answered++
	delete(d.pending, h.attempt)
	d.act(Action{Kind: ActionUseAnswer, Attempt: h.attempt, Answer: a})
}

// Tick sends again what has no reply, and lets go uncovered what has waited long enough. It is to be called every 10 ms or so.
func (d *Coordinator) Tick(now time.Duration) {
	d.now = max(now, d.now)
	for _, try := range slices.Sorted(maps.Keys(d.pending)) {
		h := d.pending[try]
		switch {
		case h.completion != nil:
			if now-h.completionSentAt >= completionResendInterval {
				d.tellEnd(now, h)
			}
		case h.asks && h.waits && now-h.requestedAt >= h.timeout:
			d.unheard(h)
		case h.waits && !h.asks && slices.ContainsFunc(h.replies, func(re *Reply) bool { return re != nil }) && d.decide(now, h):
		case h.joined, !h.waits:
			if now > h.deadline+completionGrace {
				delete(d.pending, try)
			}
		case now-h.requestedAt >= h.timeout && h.adopted:
			d.bind(h, false)
		case now-h.requestedAt >= h.timeout && h.relocation > 0 && h.covered:
			d.halt(h)
		case now-h.requestedAt >= h.timeout:
			h.waits = false
			d.counts.Uncovered++
			d.act(Action{Kind: ActionSend, Attempt: h.attempt, Relocation: h.relocation})
		default:
			if now-h.lastSentAt >= intentResendInterval {
				d.request(now, h)
			}
		}
	}
	d.store.expireRecords(now)
	d.gather()
}
