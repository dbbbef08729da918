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
	TransferTerm         = time.Second            // of a loan, by its lender's clock
	receiverTermFraction = 0.8                    // of it, by its borrower's
	minRetainedFraction  = 0.25                   // of its home, that a way never lends
	renewInterval        = 250 * time.Millisecond // between two tries to have a loan go on
	requestInterval      = 200 * time.Millisecond // between two rounds of asking for more
	requestTimeout       = 350 * time.Millisecond // a loan that nobody grants is asked for no longer
	usageInterval        = 200 * time.Millisecond // between two messages to a fellow, at the most; by chance up to half as much more
	helloInterval        = 2 * time.Second        // the same to a member whose number is not known
	maxHellosPerTick     = 8                      // of these at one time
	maxSilence           = time.Second            // a fellow that was not heard for so long may be spending without the counter
	retention            = time.Minute            // for which what such a one may spend is left to it
	headroomFactor       = 1.2                    // of what is asked for here, that is kept or asked for
	minTransferShare     = 0.02                   // of a budget, below which nothing is lent
	minUsageAllowance    = 0.02                   // of a budget, above what a fellow told, that it may use at any time
	maxTransfers         = 16                     // of one budget, each way
	maxUsages            = 24                     // budgets in one message
	maxKeyBytes          = 128
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
type transfer struct {
	id               uint64
	peer             string // of the other
	incarnation      uint64 // of the borrower
	share            float64
	expiresAt        time.Duration
	firstRequestedAt time.Duration // borrowed: when it was first asked for
	requestedAt      time.Duration // the same, last
	sequence         uint64        // the same
	granted          bool          // borrowed: it was granted
}

type account struct {
	key                      string
	spread, first            int
	maxInFlight              int
	need                     Need
	neededAt                 time.Duration // the need
	transferredOut, received []transfer
	nextRequestAt            time.Duration // no asking for more before
}

// fellow is another way in, by its number.
type peer struct {
	Member
	heardAt       time.Duration
	nextUsageAt   time.Duration // when it is told again
	usages        map[string]Usage
	nonce         uint64
	confirmedNone bool // it has told this life that it holds no loans of an earlier one
	ended         bool // it has surely ended, or left
}

// Book is one instance's. It is used by one goroutine at a time.
type Allocator struct {
	number, instances int
	rng               *rand.Rand
	now, startedAt    time.Duration
	nonce             uint64
	accounts          map[string]*account
	peers             map[int]*peer
	peerNumbers       map[string]int // by name
	nextHelloAt       map[string]time.Duration
	lastTransfer      uint64 // loan; the first is drawn, so that no answer to an earlier life fits
	counts            Counts
}

// New returns the book of a life that begins now: of what an earlier one has lent it knows nothing.
func New(me, gateways int, now time.Duration, rng *rand.Rand) *Allocator {
	return &Allocator{number: me, instances: max(1, gateways), rng: rng, now: now, startedAt: now, nonce: rng.Uint64() | 1, lastTransfer: rng.Uint64() >> 1, accounts: map[string]*account{}, peers: map[int]*peer{}, peerNumbers: map[string]int{}, nextHelloAt: map[string]time.Duration{}}
}

// Counts is what happened so far.
func (b *Allocator) Counts() Counts { return b.counts }

// holds says whether an instance is among the ways of a set.
func inSpread(number, spread, first, gateways int) bool {
	return (number-first%gateways+gateways)%gateways < min(spread, gateways)
}

// home is this instance's own part of a budget.
func (b *Allocator) homeShare(e *account) float64 {
	if !inSpread(b.number, e.spread, e.first, b.instances) {
		return 0
	}
	return 1 / float64(min(e.spread, b.instances))
}

// floor is what a way never lends of its home: a quarter, and one place of the cap.
func minRetainedShare(home float64, places int) float64 {
	f := minRetainedFraction * home
	if places > 0 {
		f = max(f, 1/float64(places))
	}
	return min(f, home)
}

// settled says whether nobody can hold a loan of an earlier life of this instance.
func (b *Allocator) earlierTransfersEnded() bool {
	if b.now >= b.startedAt+TransferTerm {
		return true
	}
	clear := 0
	for _, f := range b.peers {
		if f.confirmedNone {
			clear++
		}
	}
	return clear == b.instances-1
}

// to is a message to a fellow.
func (b *Allocator) envelopeTo(f *peer, m Message) Envelope {
	m.Sender, m.Instances, m.SenderNonce, m.ReceiverNonce = b.number, b.instances, b.nonce, f.nonce
	for _, e := range b.accounts {
		m.HoldsTransfers = m.HoldsTransfers || slices.ContainsFunc(e.received, func(l transfer) bool { return l.peer == f.Name })
	}
	return Envelope{f.Name, m}
}

// own is what is left of the home.
func (b *Allocator) retainedShare(e *account) float64 {
	p := b.homeShare(e)
	if !b.earlierTransfersEnded() { // an earlier life may have lent the rest
		return minRetainedFraction * p
	}
	for _, l := range e.transferredOut {
		if l.expiresAt > b.now {
			p -= l.share
		}
	}
	return max(0, p)
}

// share is what this instance holds of a budget now.
func (b *Allocator) heldShare(e *account) float64 {
	p := b.retainedShare(e)
	for _, l := range e.received {
		if l.granted && l.expiresAt > b.now {
			p += l.share
		}
	}
	return min(1, p)
}

// Home is the part of its even part that this instance holds of a budget that is not known yet.
func (b *Allocator) DefaultShare(now time.Duration) float64 {
	b.now = max(b.now, now)
	if !b.earlierTransfersEnded() {
		return minRetainedFraction
	}
	return 1
}

// Parts are what this instance holds now, of each budget that it knows.
func (b *Allocator) Allocations(now time.Duration) map[string]Allocation {
	b.now = max(b.now, now)
	out := make(map[string]Allocation, len(b.accounts))
	for key, e := range b.accounts {
		out[key] = Allocation{b.heldShare(e), b.unreportedShare(e)}
	}
	return out
}

// away is what others spend of a budget without the counter's hearing of it: those who say that they don't hear it, as much as they hold and are
// asked for; those who are not heard themselves, what they may hold, but for what the counter's totals show that nobody accounts for.
func (b *Allocator) unreportedShare(e *account) float64 {
	home, sum, lost, explained := 1/float64(max(1, min(e.spread, b.instances))), 0.0, 0.0, 0.0
	for number, f := range b.peers {
		if !inSpread(number, e.spread, e.first, b.instances) {
			continue
		}
		u, told := f.usages[e.key]
		switch quiet := b.now - f.heardAt; {
		case f.ended, quiet > retention:
		case quiet <= maxSilence && u.CounterLost:
			sum += min(u.Share, u.WantedShare+minUsageAllowance)
		case quiet <= maxSilence:
			explained += u.ForwardedShare
		case told:
			lost += min(max(home, u.Share), u.WantedShare+minUsageAllowance)
		default:
			lost += minUsageAllowance
		}
	}
	if lost > 0 {
		lost = max(0, lost-max(0, e.need.OthersShare-explained))
	}
	return min(1, sum+lost)
}

func (b *Allocator) openAccount(key string, spread, first, places int) *account {
	e := b.accounts[key]
	if e == nil {
		if key == "" || len(key) > maxKeyBytes || spread < 2 || first < 0 {
			return nil
		}
		if len(b.accounts) >= MaxBudgets {
			b.counts.Full++
			return nil
		}
		e = &account{key: key, spread: spread, first: first, maxInFlight: places}
		b.accounts[key] = e
	}
	return e
}

// Tick takes what is asked for here, and who is there, and returns what is to be sent. It is to be called every 50 ms or so. Budgets with the
// largest needs come first where there are too many.
func (b *Allocator) Tick(now time.Duration, needs []Need, members []Member) (out []Envelope) {
	b.now = max(b.now, now)
	b.forgetAbsentMembers(members)
	for _, n := range needs {
		if e := b.openAccount(n.Key, n.Spread, n.First, n.MaxInFlight); e != nil {
			if (e.spread != n.Spread || e.first != n.First) && len(e.transferredOut)+len(e.received) == 0 {
				e.spread, e.first = n.Spread, n.First
			}
			e.need, e.neededAt, e.maxInFlight = n, b.now, n.MaxInFlight
		}
	}
	asks := map[int][]TransferRequest{}
	for _, key := range slices.Sorted(maps.Keys(b.accounts)) {
		e := b.accounts[key]
		e.transferredOut = slices.DeleteFunc(e.transferredOut, func(l transfer) bool { return l.expiresAt <= b.now })
		e.received = slices.DeleteFunc(e.received, func(l transfer) bool {
			return l.granted && l.expiresAt <= b.now || !l.granted && b.now-l.firstRequestedAt > requestTimeout
		})
		if b.now-e.neededAt > retention && len(e.transferredOut)+len(e.received) == 0 {
			delete(b.accounts, key)
			continue
		}
		if b.now-e.neededAt <= maxSilence {
			b.requestTransfers(e, asks)
		}
	}
	for _, number := range slices.Sorted(maps.Keys(b.peers)) {
		f := b.peers[number]
		if f.ended || len(asks[number]) == 0 && b.now < f.nextUsageAt {
			continue
		}
		uses := b.usagesFor(number)
		if len(asks[number]) == 0 && len(uses) == 0 && b.now-f.nextUsageAt < helloInterval {
			continue
		}
		f.nextUsageAt = b.now + usageInterval + time.Duration(b.rng.Int64N(int64(usageInterval/2)))
		out = append(out, b.envelopeTo(f, Message{Requests: asks[number], Usages: uses}))
	}
	hellos := 0
	for _, m := range members {
		if _, known := b.peerNumbers[m.Name]; !known && hellos < maxHellosPerTick && b.now >= b.nextHelloAt[m.Name] {
			hellos++
			b.nextHelloAt[m.Name] = b.now + helloInterval/2 + time.Duration(b.rng.Int64N(int64(helloInterval)))
			out = append(out, Envelope{m.Name, Message{Sender: b.number, Instances: b.instances, SenderNonce: b.nonce}})
		}
	}
	return out
}

// look takes over who is there. A fellow that is not among the members any more has not ended for that: Gone says so.
func (b *Allocator) forgetAbsentMembers(members []Member) {
	there := map[string]bool{}
	for _, m := range members {
		there[m.Name] = true
	}
	maps.DeleteFunc(b.nextHelloAt, func(name string, _ time.Duration) bool { return !there[name] })
}

// Gone tells that a life has surely ended, or has left: nothing is spent there.
func (b *Allocator) PeerEnded(name string, life uint64) {
	if number, known := b.peerNumbers[name]; known {
		if f := b.peers[number]; f.Incarnation <= life {
			f.ended = true
		}
	}
}

// uses are what a fellow is told of the budgets that it is a way of: those that are asked for most.
func (b *Allocator) usagesFor(number int) (out []Usage) {
	for _, key := range slices.Sorted(maps.Keys(b.accounts)) {
		e := b.accounts[key]
		if b.now-e.neededAt <= maxSilence && inSpread(number, e.spread, e.first, b.instances) {
			out = append(out, Usage{key, b.heldShare(e), e.need.WantedShare, e.need.ForwardedShare, e.need.CounterLost})
		}
	}
	if len(out) > maxUsages {
		slices.SortStableFunc(out, func(x, y Usage) int { return cmp.Compare(y.WantedShare, x.WantedShare) })
		out = out[:maxUsages]
	}
	return out
}

// want asks for what lacks, and for loans that are used to go on.
func (b *Allocator) requestTransfers(e *account, asks map[int][]TransferRequest) {
	need, have, pending := min(1, headroomFactor*e.need.WantedShare), b.retainedShare(e), 0.0
	ask := func(l *transfer) {
		number, known := b.peerNumbers[l.peer]
		if f := b.peers[number]; !known || f.ended || b.now-f.heardAt > maxSilence {
			return
		}
		l.sequence++
		l.requestedAt = b.now
		asks[number] = append(asks[number], TransferRequest{e.key, e.spread, e.first, l.id, l.sequence, l.share, e.maxInFlight})
	}
	for i := range e.received {
		l := &e.received[i]
		if !l.granted {
			pending += l.share
			if b.now-l.requestedAt >= renewInterval {
				ask(l)
			}
			continue
		}
		if have < need && b.now-l.requestedAt >= renewInterval {
			ask(l)
		}
		have += l.share
	}
	lacks := need - have - pending
	if lacks < minTransferShare || b.now < e.nextRequestAt || e.need.Spread != e.spread || e.need.First != e.first {
		return
	}
	e.nextRequestAt = b.now + requestInterval + time.Duration(b.rng.Int64N(int64(requestInterval)))
	var from []int
	for number, f := range b.peers {
		if inSpread(number, e.spread, e.first, b.instances) && !f.ended && b.now-f.heardAt <= maxSilence && !slices.ContainsFunc(e.received, func(l transfer) bool { return !l.granted && l.peer == f.Name }) {
			from = append(from, number)
		}
	}
	slices.Sort(from)
	for _, number := range from {
		if len(e.received) >= maxTransfers {
			return
		}
		b.lastTransfer++
		e.received = append(e.received, transfer{id: b.lastTransfer, firstRequestedAt: b.now, peer: b.peers[number].Name, share: max(minTransferShare, lacks/float64(len(from)))})
		ask(&e.received[len(e.received)-1])
	}
}

// Receive takes a message of a member's life in, and returns what is to be answered.
func (b *Allocator) Receive(now time.Duration, from Member, m Message) (out []Envelope) {
	b.now = max(b.now, now)
	if m.Instances != b.instances || m.Sender < 0 || m.Sender >= b.instances || m.Sender == b.number || from.Name == "" {
		b.counts.Invalid++
		return nil
	}
	f := b.peers[m.Sender]
	fresh := f == nil || f.nonce != m.SenderNonce
	switch {
	case f == nil:
		f = &peer{Member: from, usages: map[string]Usage{}}
		b.peers[m.Sender] = f
	case f.Name != from.Name && b.now-f.heardAt <= maxSilence && !f.ended: // two with one number: the first is believed while it is heard
		b.counts.Conflicts++
		return nil
	case f.Name == from.Name && from.Incarnation < f.Incarnation:
		return nil // of an ended life
	case f.Name != from.Name || from.Incarnation > f.Incarnation:
		delete(b.peerNumbers, f.Name)
		*f = peer{Member: from, usages: map[string]Usage{}}
	}
	if fresh { // its loans of an earlier life are no more: nothing is taken from that any longer
		f.nonce, f.confirmedNone = m.SenderNonce, false
	}
	f.heardAt, f.ended = b.now, false
	if m.ReceiverNonce == b.nonce && !m.HoldsTransfers {
		f.confirmedNone = true
	}
	b.peerNumbers[from.Name] = m.Sender
	if len(m.Usages) > 0 || len(f.usages) > 0 {
		clear(f.usages)
		for _, u := range m.Usages[:min(len(m.Usages), maxUsages)] {
			if validRatio(u.Share) && u.Share <= 1 && validRatio(u.WantedShare) && validRatio(u.ForwardedShare) && len(u.Key) <= maxKeyBytes {
				f.usages[u.Key] = u
			} else {
				b.counts.Invalid++
			}
		}
	}
	for _, g := range m.Grants[:min(len(m.Grants), MaxBudgets)] {
		b.handleGrant(from, g)
	}
	var grants []TransferGrant
	for _, a := range m.Requests[:min(len(m.Requests), MaxBudgets)] {
		if g, ok := b.handleRequest(from, m.Sender, a); ok {
			grants = append(grants, g)
		}
	}
	if len(grants) > 0 || fresh {
		out = append(out, b.envelopeTo(f, Message{Grants: grants, Usages: b.usagesFor(m.Sender)}))
	}
	return out
}

// usable says whether a figure of a message can be reckoned with; a NaN is none.
func validRatio(x float64) bool { return x >= 0 && x <= 1e6 }

// granted takes a loan over that was asked for.
func (b *Allocator) handleGrant(from Member, g TransferGrant) {
	e := b.accounts[g.Key]
	if e == nil {
		return
	}
	for i := range e.received {
		l := &e.received[i]
		if l.id != g.Transfer || l.peer != from.Name {
			continue
		}
		if l.granted && l.expiresAt <= b.now { // it has ended; what is lent now is another
			return
		}
		if g.Sequence != l.sequence || !(g.Share > 0 && g.Share <= l.share+1e-9) { // an answer to an earlier try: when that was is not known any more
			return
		}
		if !l.granted {
			l.granted, l.share = true, g.Share
			b.counts.Received++
		}
		l.expiresAt = max(l.expiresAt, l.requestedAt+time.Duration(receiverTermFraction*float64(TransferTerm)))
		return
	}
}

// asked decides on a loan: it is lent for as long as it is not needed here.
func (b *Allocator) handleRequest(from Member, number int, a TransferRequest) (TransferGrant, bool) {
	if !validRatio(a.Share) || a.Share <= 0 || a.Share > 1 || a.Spread < 2 || a.First < 0 || !inSpread(number, a.Spread, a.First, b.instances) || a.MaxInFlight < 0 {
		b.counts.Invalid++
		return TransferGrant{}, false
	}
	e := b.openAccount(a.Key, a.Spread, a.First, a.MaxInFlight)
	if e == nil || e.spread != a.Spread || e.first != a.First || !b.earlierTransfersEnded() {
		return TransferGrant{}, false
	}
	kept := minRetainedShare(b.homeShare(e), max(e.maxInFlight, a.MaxInFlight))
	if b.now-e.neededAt <= maxSilence {
		kept = max(kept, min(b.homeShare(e), headroomFactor*e.need.WantedShare))
	}
	i := slices.IndexFunc(e.transferredOut, func(l transfer) bool {
		return l.id == a.Transfer && l.peer == from.Name && l.incarnation == from.Incarnation
	})
	if i >= 0 {
		l := &e.transferredOut[i]
		if l.expiresAt <= b.now { // its end has come: it is no more
			return TransferGrant{}, false
		}
		if b.retainedShare(e) < kept-1e-9 { // it is needed here
			b.counts.Denied++
			return TransferGrant{}, false
		}
		l.expiresAt = b.now + TransferTerm
		return TransferGrant{a.Key, a.Transfer, a.Sequence, l.share}, true
	}
	part := min(a.Share, b.retainedShare(e)-kept)
	if part < minTransferShare || len(e.transferredOut) >= maxTransfers {
		b.counts.Denied++
		return TransferGrant{}, false
	}
	e.transferredOut = append(e.transferredOut, transfer{id: a.Transfer, peer: from.Name, incarnation: from.Incarnation, share: part, expiresAt: b.now + TransferTerm})
	if b.now-e.neededAt > retention { // nobody asks for it here: it is kept as long as its loans
		e.neededAt = b.now - retention
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
	for _, key := range slices.Sorted(maps.Keys(b.accounts)) {
		e := b.accounts[key]
		s := Status{Key: key, Home: b.homeShare(e), Share: b.heldShare(e), Unreported: b.unreportedShare(e)}
		for _, l := range e.transferredOut {
			if l.expiresAt > b.now {
				s.Transferred += l.share
				s.To = append(s.To, l.peer)
			}
		}
		for _, l := range e.received {
			if l.granted && l.expiresAt > b.now {
				s.Received += l.share
				s.From = append(s.From, l.peer)
			}
		}
		out = append(out, s)
	}
	return out
}
