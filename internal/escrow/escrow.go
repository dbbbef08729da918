// Package rights decides how instances part what a channel may use: how much of its rate, ceiling and cap each of them may spend by itself, and
// how much others spend of which the shared counter does not hear. In: what is asked for here, messages of other instances, who is there, the
// time. Out: messages, and this instance's parts. It does no I/O, reads no clock, draws chance from what it is given, and must never know a
// request, a store or the decision module.
//
// Each way in (instance that a channel comes through) has an even part of its own, its home. What it does not need it lends to another way that
// does, for a second at a time, but never all of it: whoever wakes up has a floor. After Gray and Cheriton (Leases, SOSP 1989) and the escrow
// method (O'Neil, TODS 1986): the parts of all ways together are one at the most, whatever is lost, late, doubled or out of order, and whoever
// dies, stops or starts anew, because
//
//   - a loan is known by its borrower's life and number, and is lent once for these, however often it is asked for;
//   - its borrower counts its end from when it asked, less a fifth, its lender from when it answered; so the borrower's comes first as long as no
//     clock runs more than a tenth wrong;
//   - what was lent stays lent until that end, also where the borrower has died or the answer was lost;
//   - whoever starts knows of no loans of an earlier life of its own: it holds no more than what is never lent until all those have ended, or all
//     others have said to this very life that they hold none; from then on they take none of an earlier one.
//
// No two clocks are compared. A process that was stopped holds nothing that it had borrowed once it looks at its clock.
package escrow

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// MaxBudgets bounds the budgets whose parts move at one instance; the others stay even. It is held low by what it costs to tell of
// them: 349 fellows are told every 200 to 300 ms, and for each of them all names are sorted.
const MaxBudgets = 256

// Times and bounds.
const (
	TransferTerm = time.Second            // of a loan, by its lender's clock
	leaseShare   = 0.8                    // of it, by its borrower's
	keepShare    = 0.25                   // of its home, that a way never lends
	renewEvery   = 250 * time.Millisecond // between two tries to have a loan go on
	askEvery     = 200 * time.Millisecond // between two rounds of asking for more
	givenUp      = 350 * time.Millisecond // a loan that nobody grants is asked for no longer
	beatEvery    = 200 * time.Millisecond // between two messages to a fellow, at the most; by chance up to half as much more
	helloEvery   = 2 * time.Second        // the same to a member whose number is not known
	mostHellos   = 8                      // of these at one time
	unheard      = time.Second            // a fellow that was not heard for so long may be spending without the counter
	reserved     = time.Minute            // for which what such a one may spend is left to it
	spare        = 1.2                    // of what is asked for here, that is kept or asked for
	leastLoan    = 0.02                   // of a budget, below which nothing is lent
	leastUse     = 0.02                   // of a budget, above what a fellow told, that it may use at any time
	mostLoans    = 16                     // of one budget, each way
	mostUses     = 24                     // budgets in one message
	mostName     = 128
)

// Member is another instance that is there.
type Member struct {
	Name        string
	Incarnation uint64
}

// Need is what is asked for at this instance of one channel's budget, all as parts of it.
type Need struct {
	Key            string
	Spread, First  int     // ways in, and the number of the first
	WantedShare    float64 // with which what is asked for would pass
	ForwardedShare float64 // of its rate, that this instance passes on
	OthersShare    float64 // the same that the counter's totals show of all others
	MaxInFlight    int     // of the cap: a part smaller than one place is none; 0: there is no cap
	CounterLost    bool    // the counter is not heard
}

// Ask asks for a loan, or for one to go on.
type TransferRequest struct {
	Key         string  `cbor:"1,keyasint"`
	Spread      int     `cbor:"2,keyasint"`
	First       int     `cbor:"3,keyasint,omitempty"`
	Transfer    uint64  `cbor:"4,keyasint"` // the asking life's number for it
	Sequence    uint64  `cbor:"5,keyasint"` // of the times that it was asked for
	Share       float64 `cbor:"6,keyasint"`
	MaxInFlight int     `cbor:"7,keyasint,omitempty"`
}

// Grant answers an Ask.
type TransferGrant struct {
	Key      string  `cbor:"1,keyasint"`
	Transfer uint64  `cbor:"2,keyasint"`
	Sequence uint64  `cbor:"3,keyasint"`
	Share    float64 `cbor:"4,keyasint"`
}

// Use is what an instance does with a budget.
type Usage struct {
	Key            string  `cbor:"1,keyasint"`
	Share          float64 `cbor:"2,keyasint"`
	WantedShare    float64 `cbor:"3,keyasint"`
	ForwardedShare float64 `cbor:"4,keyasint"`
	CounterLost    bool    `cbor:"5,keyasint,omitempty"`
}

// Message is one message between two instances.
type Message struct {
	Sender         int               `cbor:"1,keyasint"` // the sender's number
	Instances      int               `cbor:"2,keyasint"`
	Requests       []TransferRequest `cbor:"3,keyasint,omitempty"`
	Grants         []TransferGrant   `cbor:"4,keyasint,omitempty"`
	Usages         []Usage           `cbor:"5,keyasint,omitempty"`
	SenderNonce    uint64            `cbor:"6,keyasint"`           // drawn by the sender's life
	ReceiverNonce  uint64            `cbor:"7,keyasint,omitempty"` // the receiver's, as last heard; 0: it was not heard
	HoldsTransfers bool              `cbor:"8,keyasint,omitempty"` // the sender holds loans of the receiver's, or has asked it for some
}

// Send is a message to a member.
type Envelope struct {
	To      string
	Message Message
}

// Part is what this instance holds of a budget, and what others spend of it unheard.
type Allocation struct{ Share, Unreported float64 }

// Counts is what happened so far.
type Counts struct {
	Transferred int `json:"Lent"`
	Received    int `json:"Borrowed"`
	Denied      int `json:"Denied"`    // loans, and tries in vain
	Invalid     int `json:"Strange"`   // messages that no instance of this fleet can mean
	Conflicts   int `json:"Conflicts"` // members with the number of another
	Full        int `json:"Full"`      // times that a budget found no room: its parts stay even
}

// loan is one, lent or borrowed.
type loan struct {
	id    uint64
	name  string // of the other
	life  uint64 // of the borrower
	part  float64
	until time.Duration
	born  time.Duration // borrowed: when it was first asked for
	asked time.Duration // the same, last
	n     uint64        // the same
	held  bool          // borrowed: it was granted
}

type entry struct {
	key           string
	spread, first int
	places        int
	need          Need
	seen          time.Duration // the need
	lent, loans   []loan
	next          time.Duration // no asking for more before
}

// fellow is another way in, by its number.
type fellow struct {
	Member
	heard time.Duration
	beat  time.Duration // when it is told again
	uses  map[string]Usage
	book  uint64
	clear bool // it has told this life that it holds no loans of an earlier one
	gone  bool // it has surely ended, or left
}

// Book is one instance's. It is used by one goroutine at a time.
type Allocator struct {
	me, gateways int
	rng          *rand.Rand
	now, began   time.Duration
	id           uint64
	entries      map[string]*entry
	fellows      map[int]*fellow
	numbers      map[string]int // by name
	hello        map[string]time.Duration
	last         uint64 // loan; the first is drawn, so that no answer to an earlier life fits
	counts       Counts
}

// New returns the book of a life that begins now: of what an earlier one has lent it knows nothing.
func New(me, gateways int, now time.Duration, rng *rand.Rand) *Allocator {
	return &Allocator{me: me, gateways: max(1, gateways), rng: rng, now: now, began: now, id: rng.Uint64() | 1, last: rng.Uint64() >> 1, entries: map[string]*entry{}, fellows: map[int]*fellow{}, numbers: map[string]int{}, hello: map[string]time.Duration{}}
}

// Counts is what happened so far.
func (b *Allocator) Counts() Counts { return b.counts }

// holds says whether an instance is among the ways of a set.
func holds(number, spread, first, gateways int) bool {
	return (number-first%gateways+gateways)%gateways < min(spread, gateways)
}

// home is this instance's own part of a budget.
func (b *Allocator) home(e *entry) float64 {
	if !holds(b.me, e.spread, e.first, b.gateways) {
		return 0
	}
	return 1 / float64(min(e.spread, b.gateways))
}

// floor is what a way never lends of its home: a quarter, and one place of the cap.
func floor(home float64, places int) float64 {
	f := keepShare * home
	if places > 0 {
		f = max(f, 1/float64(places))
	}
	return min(f, home)
}

// settled says whether nobody can hold a loan of an earlier life of this instance.
func (b *Allocator) settled() bool {
	if b.now >= b.began+TransferTerm {
		return true
	}
	clear := 0
	for _, f := range b.fellows {
		if f.clear {
			clear++
		}
	}
	return clear == b.gateways-1
}

// to is a message to a fellow.
func (b *Allocator) to(f *fellow, m Message) Envelope {
	m.Sender, m.Instances, m.SenderNonce, m.ReceiverNonce = b.me, b.gateways, b.id, f.book
	for _, e := range b.entries {
		m.HoldsTransfers = m.HoldsTransfers || slices.ContainsFunc(e.loans, func(l loan) bool { return l.name == f.Name })
	}
	return Envelope{f.Name, m}
}

// own is what is left of the home.
func (b *Allocator) own(e *entry) float64 {
	p := b.home(e)
	if !b.settled() { // an earlier life may have lent the rest
		return keepShare * p
	}
	for _, l := range e.lent {
		if l.until > b.now {
			p -= l.part
		}
	}
	return max(0, p)
}

// share is what this instance holds of a budget now.
func (b *Allocator) share(e *entry) float64 {
	p := b.own(e)
	for _, l := range e.loans {
		if l.held && l.until > b.now {
			p += l.part
		}
	}
	return min(1, p)
}

// Home is the part of its even part that this instance holds of a budget that is not known yet.
func (b *Allocator) DefaultShare(now time.Duration) float64 {
	b.now = max(b.now, now)
	if !b.settled() {
		return keepShare
	}
	return 1
}

// Parts are what this instance holds now, of each budget that it knows.
func (b *Allocator) Allocations(now time.Duration) map[string]Allocation {
	b.now = max(b.now, now)
	out := make(map[string]Allocation, len(b.entries))
	for key, e := range b.entries {
		out[key] = Allocation{b.share(e), b.away(e)}
	}
	return out
}

// away is what others spend of a budget without the counter's hearing of it: those who say that they don't hear it, as much as they hold and are
// asked for; those who are not heard themselves, what they may hold, but for what the counter's totals show that nobody accounts for.
func (b *Allocator) away(e *entry) float64 {
	home, sum, lost, explained := 1/float64(max(1, min(e.spread, b.gateways))), 0.0, 0.0, 0.0
	for number, f := range b.fellows {
		if !holds(number, e.spread, e.first, b.gateways) {
			continue
		}
		u, told := f.uses[e.key]
		switch quiet := b.now - f.heard; {
		case f.gone, quiet > reserved:
		case quiet <= unheard && u.CounterLost:
			sum += min(u.Share, u.WantedShare+leastUse)
		case quiet <= unheard:
			explained += u.ForwardedShare
		case told:
			lost += min(max(home, u.Share), u.WantedShare+leastUse)
		default:
			lost += leastUse
		}
	}
	if lost > 0 {
		lost = max(0, lost-max(0, e.need.OthersShare-explained))
	}
	return min(1, sum+lost)
}

func (b *Allocator) entry(key string, spread, first, places int) *entry {
	e := b.entries[key]
	if e == nil {
		if key == "" || len(key) > mostName || spread < 2 || first < 0 {
			return nil
		}
		if len(b.entries) >= MaxBudgets {
			b.counts.Full++
			return nil
		}
		e = &entry{key: key, spread: spread, first: first, places: places}
		b.entries[key] = e
	}
	return e
}

// Tick takes what is asked for here, and who is there, and returns what is to be sent. It is to be called every 50 ms or so. Budgets with the
// largest needs come first where there are too many.
func (b *Allocator) Tick(now time.Duration, needs []Need, members []Member) (out []Envelope) {
	b.now = max(b.now, now)
	b.look(members)
	for _, n := range needs {
		if e := b.entry(n.Key, n.Spread, n.First, n.MaxInFlight); e != nil {
			if (e.spread != n.Spread || e.first != n.First) && len(e.lent)+len(e.loans) == 0 {
				e.spread, e.first = n.Spread, n.First
			}
			e.need, e.seen, e.places = n, b.now, n.MaxInFlight
		}
	}
	asks := map[int][]TransferRequest{}
	for _, key := range slices.Sorted(maps.Keys(b.entries)) {
		e := b.entries[key]
		e.lent = slices.DeleteFunc(e.lent, func(l loan) bool { return l.until <= b.now })
		e.loans = slices.DeleteFunc(e.loans, func(l loan) bool {
			return l.held && l.until <= b.now || !l.held && b.now-l.born > givenUp
		})
		if b.now-e.seen > reserved && len(e.lent)+len(e.loans) == 0 {
			delete(b.entries, key)
			continue
		}
		if b.now-e.seen <= unheard {
			b.want(e, asks)
		}
	}
	for _, number := range slices.Sorted(maps.Keys(b.fellows)) {
		f := b.fellows[number]
		if f.gone || len(asks[number]) == 0 && b.now < f.beat {
			continue
		}
		uses := b.uses(number)
		if len(asks[number]) == 0 && len(uses) == 0 && b.now-f.beat < helloEvery {
			continue
		}
		f.beat = b.now + beatEvery + time.Duration(b.rng.Int64N(int64(beatEvery/2)))
		out = append(out, b.to(f, Message{Requests: asks[number], Usages: uses}))
	}
	hellos := 0
	for _, m := range members {
		if _, known := b.numbers[m.Name]; !known && hellos < mostHellos && b.now >= b.hello[m.Name] {
			hellos++
			b.hello[m.Name] = b.now + helloEvery/2 + time.Duration(b.rng.Int64N(int64(helloEvery)))
			out = append(out, Envelope{m.Name, Message{Sender: b.me, Instances: b.gateways, SenderNonce: b.id}})
		}
	}
	return out
}

// look takes over who is there. A fellow that is not among the members any more has not ended for that: Gone says so.
func (b *Allocator) look(members []Member) {
	there := map[string]bool{}
	for _, m := range members {
		there[m.Name] = true
	}
	maps.DeleteFunc(b.hello, func(name string, _ time.Duration) bool { return !there[name] })
}

// Gone tells that a life has surely ended, or has left: nothing is spent there.
func (b *Allocator) PeerEnded(name string, life uint64) {
	if number, known := b.numbers[name]; known {
		if f := b.fellows[number]; f.Incarnation <= life {
			f.gone = true
		}
	}
}

// uses are what a fellow is told of the budgets that it is a way of: those that are asked for most.
func (b *Allocator) uses(number int) (out []Usage) {
	for _, key := range slices.Sorted(maps.Keys(b.entries)) {
		e := b.entries[key]
		if b.now-e.seen <= unheard && holds(number, e.spread, e.first, b.gateways) {
			out = append(out, Usage{key, b.share(e), e.need.WantedShare, e.need.ForwardedShare, e.need.CounterLost})
		}
	}
	if len(out) > mostUses {
		slices.SortStableFunc(out, func(x, y Usage) int { return cmp.Compare(y.WantedShare, x.WantedShare) })
		out = out[:mostUses]
	}
	return out
}

// want asks for what lacks, and for loans that are used to go on.
func (b *Allocator) want(e *entry, asks map[int][]TransferRequest) {
	need, have, pending := min(1, spare*e.need.WantedShare), b.own(e), 0.0
	ask := func(l *loan) {
		number, known := b.numbers[l.name]
		if f := b.fellows[number]; !known || f.gone || b.now-f.heard > unheard {
			return
		}
		l.n++
		l.asked = b.now
		asks[number] = append(asks[number], TransferRequest{e.key, e.spread, e.first, l.id, l.n, l.part, e.places})
	}
	for i := range e.loans {
		l := &e.loans[i]
		if !l.held {
			pending += l.part
			if b.now-l.asked >= renewEvery {
				ask(l)
			}
			continue
		}
		if have < need && b.now-l.asked >= renewEvery {
			ask(l)
		}
		have += l.part
	}
	lacks := need - have - pending
	if lacks < leastLoan || b.now < e.next || e.need.Spread != e.spread || e.need.First != e.first {
		return
	}
	e.next = b.now + askEvery + time.Duration(b.rng.Int64N(int64(askEvery)))
	var from []int
	for number, f := range b.fellows {
		if holds(number, e.spread, e.first, b.gateways) && !f.gone && b.now-f.heard <= unheard && !slices.ContainsFunc(e.loans, func(l loan) bool { return !l.held && l.name == f.Name }) {
			from = append(from, number)
		}
	}
	slices.Sort(from)
	for _, number := range from {
		if len(e.loans) >= mostLoans {
			return
		}
		b.last++
		e.loans = append(e.loans, loan{id: b.last, born: b.now, name: b.fellows[number].Name, part: max(leastLoan, lacks/float64(len(from)))})
		ask(&e.loans[len(e.loans)-1])
	}
}

// Receive takes a message of a member's life in, and returns what is to be answered.
func (b *Allocator) Receive(now time.Duration, from Member, m Message) (out []Envelope) {
	b.now = max(b.now, now)
	if m.Instances != b.gateways || m.Sender < 0 || m.Sender >= b.gateways || m.Sender == b.me || from.Name == "" {
		b.counts.Invalid++
		return nil
	}
	f := b.fellows[m.Sender]
	fresh := f == nil || f.book != m.SenderNonce
	switch {
	case f == nil:
		f = &fellow{Member: from, uses: map[string]Usage{}}
		b.fellows[m.Sender] = f
	case f.Name != from.Name && b.now-f.heard <= unheard && !f.gone: // two with one number: the first is believed while it is heard
		b.counts.Conflicts++
		return nil
	case f.Name == from.Name && from.Incarnation < f.Incarnation:
		return nil // of an ended life
	case f.Name != from.Name || from.Incarnation > f.Incarnation:
		delete(b.numbers, f.Name)
		*f = fellow{Member: from, uses: map[string]Usage{}}
	}
	if fresh { // its loans of an earlier life are no more: nothing is taken from that any longer
		f.book, f.clear = m.SenderNonce, false
	}
	f.heard, f.gone = b.now, false
	if m.ReceiverNonce == b.id && !m.HoldsTransfers {
		f.clear = true
	}
	b.numbers[from.Name] = m.Sender
	if len(m.Usages) > 0 || len(f.uses) > 0 {
		clear(f.uses)
		for _, u := range m.Usages[:min(len(m.Usages), mostUses)] {
			if usable(u.Share) && u.Share <= 1 && usable(u.WantedShare) && usable(u.ForwardedShare) && len(u.Key) <= mostName {
				f.uses[u.Key] = u
			} else {
				b.counts.Invalid++
			}
		}
	}
	for _, g := range m.Grants[:min(len(m.Grants), MaxBudgets)] {
		b.granted(from, g)
	}
	var grants []TransferGrant
	for _, a := range m.Requests[:min(len(m.Requests), MaxBudgets)] {
		if g, ok := b.asked(from, m.Sender, a); ok {
			grants = append(grants, g)
		}
	}
	if len(grants) > 0 || fresh {
		out = append(out, b.to(f, Message{Grants: grants, Usages: b.uses(m.Sender)}))
	}
	return out
}

// usable says whether a figure of a message can be reckoned with; a NaN is none.
func usable(x float64) bool { return x >= 0 && x <= 1e6 }

// granted takes a loan over that was asked for.
func (b *Allocator) granted(from Member, g TransferGrant) {
	e := b.entries[g.Key]
	if e == nil {
		return
	}
	for i := range e.loans {
		l := &e.loans[i]
		if l.id != g.Transfer || l.name != from.Name {
			continue
		}
		if l.held && l.until <= b.now { // it has ended; what is lent now is another
			return
		}
		if g.Sequence != l.n || !(g.Share > 0 && g.Share <= l.part+1e-9) { // an answer to an earlier try: when that was is not known any more
			return
		}
		if !l.held {
			l.held, l.part = true, g.Share
			b.counts.Received++
		}
		l.until = max(l.until, l.asked+time.Duration(leaseShare*float64(TransferTerm)))
		return
	}
}

// asked decides on a loan: it is lent for as long as it is not needed here.
func (b *Allocator) asked(from Member, number int, a TransferRequest) (TransferGrant, bool) {
	if !usable(a.Share) || a.Share <= 0 || a.Share > 1 || a.Spread < 2 || a.First < 0 || !holds(number, a.Spread, a.First, b.gateways) || a.MaxInFlight < 0 {
		b.counts.Invalid++
		return TransferGrant{}, false
	}
	e := b.entry(a.Key, a.Spread, a.First, a.MaxInFlight)
	if e == nil || e.spread != a.Spread || e.first != a.First || !b.settled() {
		return TransferGrant{}, false
	}
	kept := floor(b.home(e), max(e.places, a.MaxInFlight))
	if b.now-e.seen <= unheard {
		kept = max(kept, min(b.home(e), spare*e.need.WantedShare))
	}
	i := slices.IndexFunc(e.lent, func(l loan) bool { return l.id == a.Transfer && l.name == from.Name && l.life == from.Incarnation })
	if i >= 0 {
		l := &e.lent[i]
		if l.until <= b.now { // its end has come: it is no more
			return TransferGrant{}, false
		}
		if b.own(e) < kept-1e-9 { // it is needed here
			b.counts.Denied++
			return TransferGrant{}, false
		}
		l.until = b.now + TransferTerm
		return TransferGrant{a.Key, a.Transfer, a.Sequence, l.part}, true
	}
	part := min(a.Share, b.own(e)-kept)
	if part < leastLoan || len(e.lent) >= mostLoans {
		b.counts.Denied++
		return TransferGrant{}, false
	}
	e.lent = append(e.lent, loan{id: a.Transfer, name: from.Name, life: from.Incarnation, part: part, until: b.now + TransferTerm})
	if b.now-e.seen > reserved { // nobody asks for it here: it is kept as long as its loans
		e.seen = b.now - reserved
	}
	b.counts.Transferred++
	return TransferGrant{a.Key, a.Transfer, a.Sequence, part}, true
}

// Status is one budget's, for people.
type Status struct {
	Key         string   `json:"Key"`
	Home        float64  `json:"Home"`
	Share       float64  `json:"Share"`
	Transferred float64  `json:"Lent"`
	Received    float64  `json:"Borrowed"`
	Unreported  float64  `json:"Away"`
	To          []string `json:"To"`
	From        []string `json:"From"`
}

// Status is what is held, of the budgets with loans or with others who spend unheard, by key.
func (b *Allocator) Status(now time.Duration) (out []Status) {
	b.now = max(b.now, now)
	for _, key := range slices.Sorted(maps.Keys(b.entries)) {
		e := b.entries[key]
		s := Status{Key: key, Home: b.home(e), Share: b.share(e), Unreported: b.away(e)}
		for _, l := range e.lent {
			if l.until > b.now {
				s.Transferred += l.part
				s.To = append(s.To, l.name)
			}
		}
		for _, l := range e.loans {
			if l.held && l.until > b.now {
				s.Received += l.part
				s.From = append(s.From, l.name)
			}
		}
		out = append(out, s)
	}
	return out
}
