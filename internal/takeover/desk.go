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
type hand struct {
	Work
	try      uint64
	epoch    uint64
	here     uint64 // the epoch of the record that is kept here, where there is one
	n        int
	at       Scope
	began    time.Duration // its first attempt; 0: none yet
	until    time.Duration
	order    []string // the key's keepers, this instance among them where it is one
	keepers  []string // the others that are asked: two of order, and those from before a death
	asked    time.Duration
	patience time.Duration // with the keepers
	last     time.Duration
	replied  []*Reply
	waits    bool // for the keepers' word
	covers   bool
	joined   bool
	asks     bool        // nothing is to be sent for it
	nowhere  bool        // it moves from Nowhere: the deciding keeper's word is enough, since who would take it over needs the word of all
	sure     bool        // all keepers had it as being nowhere
	from     string      // whose it was, of work taken over from nowhere: its word is not needed, for it sends nothing without this one's
	bound    bool        // to the place of another try of the key
	end      *Completion // that the keepers have not all heard
	heard    []bool
	ends     int
	endLast  time.Duration
}

// Desk is one instance's custody: its own tries, and the records that it keeps for others. It is used by one goroutine at a time.
type Coordinator struct {
	self    Member
	keeper  *ReplicaStore
	members []Member
	late    map[string]departed // members that have gone of late
	hands   map[uint64]*hand
	clock   func(name string) time.Duration // a keeper's clock as last heard
	now     time.Duration
	out     []Envelope
	acts    []Action
	counts  Counts
	asking  int // hands that ask and are not told yet
}

// departed is a member that has gone, and when that was heard.
type departed struct {
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
	return &Coordinator{self: self, keeper: newKeeper(self.Name, life), hands: map[uint64]*hand{}, late: map[string]departed{}, clock: clock, members: []Member{self}}
}

// Drain returns what has come up since it was last called: messages, and what may be done.
func (d *Coordinator) Drain() ([]Envelope, []Action) {
	out, acts := d.out, d.acts
	d.out, d.acts = nil, nil
	return out, acts
}

// Counts is what has happened so far.
func (d *Coordinator) Counts() Counts {
	c := d.counts
	c.Replica = d.keeper.counts
	return c
}

// Held is how many pieces of work of this instance are in hand, and how many records and bytes it keeps for all.
func (d *Coordinator) Pending() (inHand, records, bytes int) {
	return len(d.hands), len(d.keeper.records), d.keeper.bytes
}

// Members tells who is there, this instance among them. Who has gone is told by Left, before.
func (d *Coordinator) SetMembers(members []Member) {
	d.members = members
	for _, m := range members {
		delete(d.late, m.Name)
	}
}

// Left tells that a life of a member has ended, or is held to have.
func (d *Coordinator) MemberLeft(now time.Duration, name string, life uint64) {
	d.now = max(now, d.now)
	for _, m := range d.members {
		if m.Name == name {
			d.late[name] = departed{m, now}
		}
	}
	d.members = slices.DeleteFunc(slices.Clone(d.members), func(m Member) bool { return m.Name == name })
	d.keeper.left(now, name, life)
	d.gather()
	for _, try := range slices.Sorted(maps.Keys(d.hands)) { // what it kept is kept elsewhere from now on
		if h := d.hands[try]; slices.Contains(h.keepers, name) && h.covers && h.end == nil && !h.joined {
			d.keep(now, h)
		}
	}
}

// Back tells that a member is there.
func (d *Coordinator) MemberReturned(name string, life uint64) { d.keeper.back(name, life) }

func (d *Coordinator) act(a Action) { d.acts = append(d.acts, a) }

// gather takes what the keeper here has to say and to do.
func (d *Coordinator) gather() {
	sends, takes := d.keeper.out, d.keeper.takes
	d.keeper.out, d.keeper.takes = nil, nil
	for _, s := range sends {
		if s.To != d.self.Name {
			d.out = append(d.out, s)
		} else if h := d.hands[s.Message.Notification.Attempt]; h != nil && h.joined {
			d.told(d.now, h, s.Message.Notification.Answer)
		}
	}
	for _, t := range takes {
		d.counts.TakenFrom++
		from := ""
		if t.Scope == ScopeNone {
			t.StartedAt, from = 0, t.Owner
		}
		d.hands[t.Attempt] = &hand{Work: t.Work, try: t.Attempt, epoch: t.Epoch, n: t.Relocation, at: t.Scope, began: t.StartedAt, until: t.Deadline, covers: true, from: from}
		h := d.hands[t.Attempt]
		h.order = Replicas(t.Key, d.members)
		h.keepers = d.keepersOf(d.now, h)
		h.heard = make([]bool, len(h.keepers))
		d.act(Action{Kind: ActionTakeOver, Attempt: t.Attempt, Taken: &t})
	}
}

// keepersOf are the others whose word a try needs.
func (d *Coordinator) keepersOf(now time.Duration, h *hand) []string {
	return slices.DeleteFunc(d.others(now, h.order, h.Key), func(n string) bool { return n == h.from })
}

// others are the keepers of a key that are asked: the first two by those that are there, but for this instance, and those that it had before
// who has gone of late: a death may be false.
func (d *Coordinator) others(now time.Duration, order []string, key string) []string {
	not := func(n string) bool { return n == d.self.Name }
	out := slices.DeleteFunc(slices.Clone(order), not)
	out = out[:min(2, len(out))]
	if len(d.late) == 0 {
		return out
	}
	before := slices.Clone(d.members)
	for _, name := range slices.Sorted(maps.Keys(d.late)) {
		if now-d.late[name].at <= goneAsked {
			before = append(before, d.late[name].Member)
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
	h := &hand{Work: w, try: try, at: at, until: until}
	d.hands[try] = h
	d.keep(now, h)
}

// Ask asks whether another try of a key has an answer or will have one, for a try of which nothing is to be sent: it is about to be refused. It
// returns false where nobody can be asked; else one of Join, Answered and Unknown is among what Drain returns, now or 25 ms later at the latest.
func (d *Coordinator) QueryOutcome(now time.Duration, key string, try uint64, until time.Duration) bool {
	d.now = max(now, d.now)
	h := &hand{Work: Work{Key: key}, try: try, until: until, asks: true, asked: now, last: now, patience: askPatience}
	h.order = Replicas(key, d.members)
	h.keepers = d.others(now, h.order, key)
	if d.asking >= mostAsking || len(h.keepers) == 0 || d.hands[try] != nil || until-now < 2*askPatience {
		return false
	}
	d.counts.Queried++
	d.asking++
	d.hands[try] = h
	h.replied, h.waits = make([]*Reply, len(h.keepers)), true
	if slices.Contains(h.order, d.self.Name) {
		if re := d.keeper.intent(now, d.self.Name, d.keeper.life, d.intentOf(now, h, d.self.Name)); re.Kind == ReplyOtherAttempt {
			d.heardOf(now, h, re)
			return true
		}
	}
	d.request(now, h)
	return true
}

// heardOf takes what a keeper says of a key that was asked for.
func (d *Coordinator) heardOf(now time.Duration, h *hand, re Reply) {
	h.waits = false
	d.asking--
	if re.Answer != nil {
		d.told(now, h, *re.Answer)
		return
	}
	h.joined = true
	d.counts.Joined++
	d.act(Action{Kind: ActionJoin, Attempt: h.try})
}

// unheard ends an Ask to which nobody has said anything.
func (d *Coordinator) unheard(h *hand) {
	d.asking--
	delete(d.hands, h.try)
	d.act(Action{Kind: ActionUnknown, Attempt: h.try})
}

// Move asks whether a further attempt may go out to another place: what went out before surely never ran.
func (d *Coordinator) MigrateAttempt(now time.Duration, try uint64, at Scope) {
	d.now = max(now, d.now)
	h := d.hands[try]
	if h == nil {
		d.act(Action{Kind: ActionSend, Attempt: try})
		return
	}
	if h.at == at {
		d.act(Action{Kind: ActionSend, Attempt: try, Relocation: h.n, Covered: h.covers})
		return
	}
	h.n++
	if h.nowhere = h.at == ScopeNone && h.from == ""; h.at == ScopeNone {
		h.covers = true // it goes with a keeper's word, or not at all
	}
	h.at, h.began = at, 0
	if len(h.keepers) == 0 {
		d.act(Action{Kind: ActionSend, Attempt: try, Relocation: h.n})
		return
	}
	d.ask(now, h)
}

// Confirm asks whether nobody has taken over a try that is about to be refused: a refusal says that nothing has run. Go: nobody has;
// Halt: it can't be known; Join and Answered as ever. It takes 25 ms at the most.
func (d *Coordinator) ConfirmRejection(now time.Duration, try uint64) {
	d.now = max(now, d.now)
	h := d.hands[try]
	if h == nil {
		d.act(Action{Kind: ActionAbort, Attempt: try})
		return
	}
	h.n++
	h.nowhere, h.covers = h.at == ScopeNone && h.from == "", true
	if len(h.keepers) == 0 {
		d.act(Action{Kind: ActionSend, Attempt: try, Relocation: h.n})
		return
	}
	d.ask(now, h)
	h.waits = true
	h.patience = askPatience
}

// keep chooses a try's keepers by the members that are there now, and asks them.
func (d *Coordinator) keep(now time.Duration, h *hand) {
	h.order = Replicas(h.Key, d.members)
	h.keepers = d.keepersOf(now, h)
	h.heard = make([]bool, len(h.keepers))
	if slices.Contains(h.order, d.self.Name) { // the others' tries of the key are decided here
		re := d.keeper.intent(now, d.self.Name, d.keeper.life, d.intentOf(now, h, d.self.Name))
		d.gather()
		if re.Kind != ReplyGranted && re.Kind != ReplyFull {
			d.decided(now, h, re, true)
			return
		}
		h.epoch, h.here = max(h.epoch, re.Epoch), re.Epoch
	}
	if len(h.keepers) == 0 {
		d.counts.NoReplica++
		d.act(Action{Kind: ActionSend, Attempt: h.try, Relocation: h.n})
		return
	}
	d.ask(now, h)
}

// ask sends the intent to the keepers.
func (d *Coordinator) ask(now time.Duration, h *hand) {
	first := !h.covers
	h.asked, h.last, h.replied = now, now, make([]*Reply, len(h.keepers))
	h.waits = first || h.began == 0
	h.patience = min(mostPatience, max(leastPatience, (h.until-now)/patienceShare))
	d.request(now, h)
}

// request sends a try's intent to the keepers that have not replied to it.
func (d *Coordinator) request(now time.Duration, h *hand) {
	h.last = now
	for i, k := range h.keepers {
		if h.replied[i] == nil {
			d.out = append(d.out, Envelope{k, Message{Intent: d.intentOf(now, h, k)}})
		}
	}
}

func (d *Coordinator) intentOf(now time.Duration, h *hand, keeper string) *Intent {
	if h.asks {
		return &Intent{Work: h.Work, Attempt: h.try, QueryOnly: true}
	}
	in := &Intent{Work: h.Work, Attempt: h.try, Epoch: h.epoch, Relocation: h.n, Scope: h.at, Remaining: max(0, h.until-now), Replicas: h.order}
	if h.began > 0 {
		in.Age = now - h.began
	}
	if keeper != d.self.Name {
		in.Clock = d.clock(keeper)
	}
	return in
}

// Sent tells that an attempt has gone out: from now on it may have run.
func (d *Coordinator) AttemptSent(now time.Duration, try uint64) {
	if h := d.hands[try]; h != nil && h.began == 0 {
		h.began = now
	}
}

// Finish tells how a try ended here; its keepers are told, now and again until they have heard it.
func (d *Coordinator) Complete(now time.Duration, try uint64, a Answer) {
	d.now = max(now, d.now)
	h := d.hands[try]
	if h == nil || h.end != nil {
		return
	}
	if h.joined || h.asks { // another try's end is that one's to tell
		if h.asks && h.waits {
			d.asking--
		}
		delete(d.hands, try)
		return
	}
	if a.Kind == AnswerNeverRan && h.began > 0 && h.epoch == 0 {
		a.Kind = AnswerFailed
	}
	if len(a.Value) > mostAnswer {
		a.Value, a.Truncated = nil, true
	}
	h.end = &Completion{h.Key, h.try, h.epoch, a}
	h.waits = false
	d.keeper.end(now, d.self.Name, h.end)
	d.gather()
	d.tellEnd(now, h)
}

func (d *Coordinator) tellEnd(now time.Duration, h *hand) {
	h.ends++
	h.endLast = now
	all := true
	for i, k := range h.keepers {
		if !h.heard[i] {
			all = false
			d.out = append(d.out, Envelope{k, Message{Completion: h.end}})
		}
	}
	if all || h.ends >= mostEnds {
		delete(d.hands, h.try)
	}
}

// Receive takes a message of a member's life in.
func (d *Coordinator) Receive(now time.Duration, from string, life uint64, m Message) {
	d.now = max(now, d.now)
	switch {
	case m.Intent != nil:
		if usable(m.Intent) {
			re := d.keeper.intent(now, from, life, m.Intent)
			d.out = append(d.out, Envelope{from, Message{Reply: &re}})
		}
	case m.Reply != nil:
		if h := d.hands[m.Reply.Attempt]; h != nil && h.Key == m.Reply.Key {
			if i := slices.Index(h.keepers, from); i >= 0 && m.Reply.Relocation == h.n {
				d.reply(now, h, i, *m.Reply)
			}
		}
	case m.Completion != nil:
		d.keeper.end(now, from, m.Completion)
		d.out = append(d.out, Envelope{from, Message{CompletionAck: &Completion{Key: m.Completion.Key, Attempt: m.Completion.Attempt}}})
	case m.CompletionAck != nil:
		if h := d.hands[m.CompletionAck.Attempt]; h != nil && h.end != nil {
			if i := slices.Index(h.keepers, from); i >= 0 {
				h.heard[i] = true
			}
			if !slices.Contains(h.heard, false) {
				delete(d.hands, h.try)
			}
		}
	case m.Notification != nil:
		if h := d.hands[m.Notification.Attempt]; h != nil && h.joined && h.Key == m.Notification.Key {
			d.told(now, h, m.Notification.Answer)
		}
	}
	d.gather()
}

func usable(in *Intent) bool {
	size := 0
	for _, w := range in.Command {
		size += len(w)
	}
	return in.Key != "" && len(in.Key) <= 512 && size <= MaxBody && in.Remaining >= 0 && in.Remaining <= time.Minute && in.Age >= 0 && in.Age <= time.Hour && in.IdempotencyWindow >= 0 &&
		in.IdempotencyWindow <= time.Hour && len(in.Class) <= 128 && len(in.Plan) <= 128 && len(in.Tenant) <= 128 && len(in.Command) <= 16
}

// reply takes a keeper's word.
func (d *Coordinator) reply(now time.Duration, h *hand, i int, re Reply) {
	if h.asks {
		if !h.waits {
			return
		}
		if h.replied[i] = &re; re.Kind == ReplyOtherAttempt {
			d.heardOf(now, h, re)
		} else if !slices.Contains(h.replied, nil) {
			d.unheard(h)
		}
		return
	}
	if re.Kind == ReplyStaleClock {
		if now-h.asked < h.patience && h.waits {
			d.out = append(d.out, Envelope{h.keepers[i], Message{Intent: d.again(now, h, i, re.Clock)}})
		}
		return
	}
	if re.Kind == ReplyGranted {
		h.epoch = max(h.epoch, re.Epoch)
	}
	if !h.waits || h.end != nil || h.joined {
		return
	}
	h.replied[i] = &re
	d.decide(now, h)
}

// decide comes to a decision when all that were asked have replied, or when the others have been silent for long enough. It returns whether it
// did.
func (d *Coordinator) decide(now time.Duration, h *hand) bool {
	lead := h.order[0] == d.self.Name // what decides has granted it: here, or there
	if re := h.replied[0]; re != nil && h.keepers[0] == h.order[0] {
		lead = re.Kind == ReplyGranted
	}
	var first, knows *Reply // who has replied; who knows of another try
	missing, all := false, true
	for i, re := range h.replied {
		switch {
		case re == nil:
			all = false
			_, late := d.late[h.keepers[i]]
			missing = missing || !late || now-h.asked < gonePatience
			continue
		case lead && h.from == "" && (re.Kind == ReplyOtherAttempt || re.Kind == ReplyTakenOver) && re.Answer == nil && re.Primary == h.order[0]:
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
	case missing && now-h.asked < h.patience/2:
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

func (d *Coordinator) again(now time.Duration, h *hand, i int, clock time.Duration) *Intent {
	in := d.intentOf(now, h, h.keepers[i])
	in.Clock = max(in.Clock, clock)
	return in
}

// decided does what the keepers have come to.
func (d *Coordinator) decided(now time.Duration, h *hand, re Reply, all bool) {
	h.waits = false
	if re.Kind == ReplyOtherAttempt || re.Kind == ReplyTakenOver { // who has granted it meanwhile shall not wait for its end
		d.keeper.end(now, d.self.Name, &Completion{h.Key, h.try, h.here, Answer{Kind: AnswerNeverRan}})
		for i, k := range h.keepers[:len(h.replied)] {
			epoch := h.epoch
			if x := h.replied[i]; x != nil && x.Kind != ReplyGranted {
				continue
			} else if x != nil {
				epoch = x.Epoch
			}
			d.out = append(d.out, Envelope{k, Message{Completion: &Completion{h.Key, h.try, epoch, Answer{Kind: AnswerNeverRan}}}})
		}
	}
	switch {
	case h.bound && (re.Kind == ReplyGranted || re.Kind == ReplyFull):
		d.bind(h, all)
		return
	case re.Kind == ReplyFull && h.n > 0 && h.covers: // another may hold it to be nowhere, or elsewhere
		d.halt(h)
		return
	}
	switch re.Kind {
	case ReplyGranted:
		if h.n > 0 && !all && !(h.nowhere && h.decider(d.self.Name)) { // one might still hold it to be elsewhere
			d.halt(h)
			return
		}
		if h.at == ScopeNone {
			h.sure = all
		}
		if h.nowhere {
			all = h.sure
		}
		h.epoch, h.covers = max(h.epoch, re.Epoch), true
		if all {
			d.counts.Covered++
		} else { // some that might know of another try have not replied
			d.counts.Partly++
		}
		d.act(Action{Kind: ActionSend, Attempt: h.try, Relocation: h.n, Covered: all})
	case ReplyFull:
		d.counts.Uncovered++
		d.act(Action{Kind: ActionSend, Attempt: h.try, Relocation: h.n})
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
		d.act(Action{Kind: ActionJoin, Attempt: h.try})
	case ReplyAdopt:
		elsewhere := h.at != re.Scope
		h.bound, h.epoch, h.at, h.began = true, re.Epoch, re.Scope, max(1, now-re.Age)
		if elsewhere { // nobody may still hold it to be in the place that it had chosen
			h.n++
			d.keeper.bind(h)
			d.ask(now, h)
			h.waits = true
			return
		}
		d.bind(h, all)
	}
}

// decider says whether the key's deciding keeper has granted what was asked last.
func (h *hand) decider(self string) bool {
	if h.order[0] == self {
		return h.here > 0
	}
	re := h.replied[0]
	return h.keepers[0] == h.order[0] && re != nil && re.Kind == ReplyGranted
}

// bind lets a try go on with another's work, in its place.
func (d *Coordinator) bind(h *hand, all bool) {
	d.counts.Bound++
	h.covers, h.waits = true, false
	d.act(Action{Kind: ActionAdopt, Attempt: h.try, Scope: h.at, StartedAt: h.began, Covered: all})
}

// halt ends a try that may not go on to another place: a keeper has not heard that the attempt before never ran.
func (d *Coordinator) halt(h *hand) {
	d.counts.Halted++
	h.waits = false
	d.act(Action{Kind: ActionAbort, Attempt: h.try})
}

// told takes the answer of the try that this one has joined.
func (d *Coordinator) told(now time.Duration, h *hand, a Answer) {
	if a.Kind == AnswerNeverRan {
		delete(d.hands, h.try)
		d.act(Action{Kind: ActionRestart, Attempt: h.try})
		return
	}
	d.counts.Answered++
	delete(d.hands, h.try)
	d.act(Action{Kind: ActionUseAnswer, Attempt: h.try, Answer: a})
}

// Tick sends again what has no reply, and lets go uncovered what has waited long enough. It is to be called every 10 ms or so.
func (d *Coordinator) Tick(now time.Duration) {
	d.now = max(now, d.now)
	for _, try := range slices.Sorted(maps.Keys(d.hands)) {
		h := d.hands[try]
		switch {
		case h.end != nil:
			if now-h.endLast >= endAgain {
				d.tellEnd(now, h)
			}
		case h.asks && h.waits && now-h.asked >= h.patience:
			d.unheard(h)
		case h.waits && !h.asks && slices.ContainsFunc(h.replied, func(re *Reply) bool { return re != nil }) && d.decide(now, h):
		case h.joined, !h.waits:
			if now > h.until+endGrace {
				delete(d.hands, try)
			}
		case now-h.asked >= h.patience && h.bound:
			d.bind(h, false)
		case now-h.asked >= h.patience && h.n > 0 && h.covers:
			d.halt(h)
		case now-h.asked >= h.patience:
			h.waits = false
			d.counts.Uncovered++
			d.act(Action{Kind: ActionSend, Attempt: h.try, Relocation: h.n})
		default:
			if now-h.last >= askAgain {
				d.request(now, h)
			}
		}
	}
	d.keeper.sweep(now)
	d.gather()
}
