// Package peers is what one instance has to do with the others: it carries membership (swim) and facts (shared) over datagrams
// that only holders of a shared key can make or read. In: datagrams, facts of its own. Out: datagrams, the members, the facts
// of all. engine.go does no I/O and has time and chance as arguments, so that thousands of instances run in virtual time;
// peers.go has the socket. It must never know a request, a node or the decision module.
package peers

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hitchspring/internal/gossip"
	"hitchspring/internal/swim"
)

// Version is that of the messages. Whoever sends says which version at least can read them; new fields alone don't raise that.
const (
	Version      = 1
	leastVersion = 1
)

const (
	askEvery     = 150 * time.Millisecond // between two questions for facts, while there is news
	askCalm      = time.Second            // the same where there has been none for a while
	newsLasts    = 2 * time.Second        // that while
	nudgeEvery   = 50 * time.Millisecond  // between two nudges, at the least
	nudgeMembers = 100                    // members for each of which that time grows by itself
	nudged       = 2                      // members that are nudged at a time
	answerBytes  = 1000                   // of facts in one answer
	mostAsks     = 16                     // questions that may be out
	starterAsks  = 3                      // members that one who has just come asks at once
	mostMore     = 64                     // further questions in a row, where an answer was full
	maxDatagram  = 16 << 10               // bytes of a datagram; larger ones are not read
	maxParcels   = 1024
	sweepEvery   = time.Second
	horizon      = 60 * time.Second // of facts
)

// MostParcel bounds the bytes that one instance may send another in one message.
const MaxMessage = 12 << 10

// Packet is a datagram, from one instance to an address.
type Packet struct {
	Addr string // as advertised
	Data []byte
}

// packet is the content of a datagram. Fields that are not known are left aside.
type packet struct {
	Version int                `cbor:"1,keyasint"`
	Least   int                `cbor:"2,keyasint"`
	Swim    *swim.Message      `cbor:"3,keyasint,omitempty"`
	Ask     *ask               `cbor:"4,keyasint,omitempty"`
	Answer  *answer            `cbor:"5,keyasint,omitempty"`
	Nudge   []gossip.Watermark `cbor:"6,keyasint,omitempty"` // the sender has news of these: ask it
	Work    []byte             `cbor:"7,keyasint,omitempty"` // for who is there, whatever it is
	Clock   int64              `cbor:"8,keyasint,omitempty"` // of the sender, in microseconds
}

// Parcel is bytes that another instance's life has sent to this one.
type Message struct {
	From        string
	Incarnation uint64
	Data        []byte
}

type reading struct {
	life uint64
	at   time.Duration
}

type ask struct {
	Nonce  uint64        `cbor:"1,keyasint"`
	Digest gossip.Digest `cbor:"2,keyasint"`
}

type answer struct {
	Nonce  uint64         `cbor:"1,keyasint"`
	Shares []gossip.Delta `cbor:"2,keyasint,omitempty"`
	More   bool           `cbor:"3,keyasint,omitempty"` // it did not all fit
}

// Counts is what came and what was left aside.
type Counts struct {
	In          int `json:"In"`
	Out         int `json:"Out"`
	BytesIn     int `json:"BytesIn"`
	BytesOut    int `json:"BytesOut"`
	WrongKey    int `json:"WrongKey"`  // that no key opens
	Malformed   int `json:"Malformed"` // that say nothing that can be read
	Newer       int `json:"Newer"`     // that only a later version can read
	Unsolicited int `json:"Strange"`   // answers to no question
	Oversized   int `json:"Oversized"` // messages for a member that were larger than MostParcel: not sent
}

type question struct {
	at     time.Duration
	addr   string
	digest gossip.Digest
}

// Engine is one instance's membership and facts. It is used by one goroutine at a time.
type Engine struct {
	rng     *rand.Rand
	sealer  *Sealer
	member  *swim.Machine
	store   *gossip.Store
	asks    map[uint64]question
	next    time.Duration // question
	sweep   time.Duration
	nudge   time.Duration // no nudge before
	rounds  int           // of nudges that are left: one who is nudged with what it knows tells nobody
	newsAt  time.Duration // when something new was last told or heard
	more    int
	started bool
	told    bool // a first question was answered in full
	counts  Counts
	out     []Packet
	now     time.Duration
	parcels []Message
	clocks  map[string]reading // of the others, as last heard
}

// NewEngine returns an instance that knows nobody.
func NewEngine(cfg swim.Config, sealer *Sealer, now time.Duration, rng *rand.Rand) *Engine {
	return &Engine{
		rng: rng, sealer: sealer, member: swim.New(cfg, now, rng), store: gossip.New(cfg.Name, cfg.Incarnation, horizon),
		asks: map[uint64]question{}, clocks: map[string]reading{}, next: now + time.Duration(rng.Int64N(int64(askEvery))), sweep: now + sweepEvery,
	}
}

// Member is the membership, to be looked at.
func (e *Engine) Member() *swim.Machine { return e.member }

// Store is the facts, to be looked at.
func (e *Engine) Store() *gossip.Store { return e.store }

// Counts is what came and went.
func (e *Engine) Counts() Counts { return e.counts }

// Due is when Tick has something to do.
func (e *Engine) NextTick() time.Duration {
	due := min(e.member.NextTick(), e.next, e.sweep)
	if e.rounds > 0 {
		due = min(due, e.nudge)
	}
	return due
}

// Tell states a fact of this instance's own; see shared.Store.Put. Those who are nudged ask for it at once.
func (e *Engine) Publish(kind, subject string, born time.Duration, data []byte) bool {
	ok := e.store.Put(kind, subject, born, data)
	if ok {
		e.rounds, e.newsAt = e.nudges(), max(e.now, born)
	}
	return ok
}

// Work is a datagram that brings bytes to a member; nil where it is not known.
func (e *Engine) SendMessage(now time.Duration, to string, data []byte) []Packet {
	e.out, e.now = nil, now
	m, known := e.member.Member(to)
	if !known || e.member.LeftReason() != "" {
		return nil
	}
	if len(data) > MaxMessage {
		e.counts.Oversized++
		return nil
	}
	e.send(m.Addr, &packet{Swim: e.hello(), Work: data})
	return e.out
}

// Parcels hands over what has come for this instance since it was last called.
func (e *Engine) TakeMessages() []Message {
	p := e.parcels
	e.parcels = nil
	return p
}

// ClockOf is the newest reading of a member's clock that was heard; 0: none.
func (e *Engine) ClockReading(name string) time.Duration { return e.clocks[name].at }

// Tick does what is due.
func (e *Engine) Tick(now time.Duration) []Packet {
	e.out, e.now = nil, now
	e.swim(e.member.Tick(now))
	e.store.SetIncarnation(e.member.Self().Incarnation)
	if now >= e.next && e.member.LeftReason() == "" {
		every := askEvery
		if now-e.newsAt > newsLasts {
			every = askCalm
		}
		e.next = now + every/2 + time.Duration(e.rng.Int64N(int64(every)))
		e.more = 0
		e.askSome(now, 1)
	}
	if e.rounds > 0 && now >= e.nudge {
		e.rounds--
		e.nudge = now + nudgeEvery*time.Duration(1+e.member.AliveCount()/nudgeMembers)
		for _, m := range e.member.RandomMembers(nudged) {
			e.send(m.Addr, &packet{Nudge: e.store.RecentWatermarks(), Swim: e.hello()})
		}
	}
	if now >= e.sweep {
		e.sweep = now + sweepEvery
		e.store.Sweep(now, func(name string) bool {
			_, known := e.member.Member(name)
			return known
		})
		for name := range e.clocks {
			if _, known := e.member.Member(name); !known {
				delete(e.clocks, name)
			}
		}
		for n, q := range e.asks {
			if now-q.at > gossip.MaxRoundTrip {
				delete(e.asks, n)
			}
		}
	}
	return e.out
}

// askSome asks so many members, drawn by chance; more of them the first time that somebody is there.
func (e *Engine) askSome(now time.Duration, n int) {
	if !e.started && e.member.AliveCount() > 0 {
		e.started, n = true, starterAsks
	}
	for _, m := range e.member.RandomMembers(n) {
		e.ask(now, m.Addr)
	}
}

// Told says whether a first question was answered in full: this instance knows what another one does.
func (e *Engine) Synced() bool { return e.told }

// nudges is in how many rounds news is told of: enough that hardly anybody is missed by chance.
func (e *Engine) nudges() int { return 1 + bits.Len(uint(e.member.AliveCount()))/2 }

// Leave tells the others that this instance goes.
func (e *Engine) Leave(now time.Duration) []Packet {
	e.out, e.now = nil, now
	e.swim(e.member.Leave(now))
	return e.out
}

// Refused takes note that a datagram to an advertised address was turned back by its host.
func (e *Engine) Refused(now time.Duration, addr string) []Packet {
	e.out, e.now = nil, now
	e.swim(e.member.HandleRefusal(now, addr))
	return e.out
}

// hello says who sends, and nothing else.
func (e *Engine) hello() *swim.Message { return &swim.Message{Self: e.member.Self()} }

func (e *Engine) swim(out []swim.Envelope) {
	for _, o := range out {
		e.send(o.Addr, &packet{Swim: o.Message})
	}
}

func (e *Engine) send(addr string, p *packet) {
	p.Version, p.Least, p.Clock = Version, leastVersion, e.now.Microseconds()
	b, err := cbor.Marshal(p)
	if err != nil { // of plain fields
		panic(err)
	}
	b = e.sealer.Seal(b)
	e.counts.Out++
	e.counts.BytesOut += len(b)
	e.out = append(e.out, Packet{addr, b})
}

func (e *Engine) ask(now time.Duration, addr string) { e.askFor(now, addr, e.store.NextDigest()) }

func (e *Engine) askFor(now time.Duration, addr string, d gossip.Digest) {
	if len(e.asks) >= mostAsks {
		return
	}
	n := e.rng.Uint64()
	e.asks[n] = question{now, addr, d}
	e.send(addr, &packet{Swim: e.hello(), Ask: &ask{n, d}})
}

// Receive takes a datagram in, whoever has sent it, and returns what is to be sent for it. What cannot be opened or read is
// counted and changes nothing; the error says why, for a log.
func (e *Engine) Receive(now time.Duration, data []byte) ([]Packet, error) {
	e.out, e.now = nil, now
	e.counts.In++
	e.counts.BytesIn += len(data)
	if len(data) > maxDatagram {
		e.counts.Malformed++
		return nil, errTooLarge
	}
	plain, err := e.sealer.Open(data)
	if err != nil {
		e.counts.WrongKey++
		return nil, err
	}
	var p packet
	if err := cbor.Unmarshal(plain, &p); err != nil {
		e.counts.Malformed++
		return nil, err
	}
	switch {
	case p.Least > Version:
		e.counts.Newer++
		return nil, errNewer
	case p.Swim == nil:
		e.counts.Malformed++
		return nil, errNoSender
	}
	self := e.member.Self()
	if p.Swim.Self.Name == self.Name && p.Swim.Self.Incarnation == self.Incarnation || p.Swim.To != "" && p.Swim.To != self.Name {
		e.member.Receive(now, p.Swim) // it counts that; nothing else in it is for this instance
		return nil, nil
	}
	e.swim(e.member.Receive(now, p.Swim))
	if !e.started { // whoever has just come asks the first that it meets, at once
		e.askSome(now, 0)
	}
	x, known := e.member.Member(p.Swim.Self.Name)
	if !known || x.Incarnation != p.Swim.Self.Incarnation || x.State == swim.Left || e.member.LeftReason() != "" {
		return e.out, nil // of an ended life, or of one who has gone
	}
	to := x.Addr
	if c := e.clocks[x.Name]; x.Incarnation > c.life || x.Incarnation == c.life && time.Duration(p.Clock)*time.Microsecond > c.at {
		e.clocks[x.Name] = reading{x.Incarnation, time.Duration(p.Clock) * time.Microsecond}
	}
	if len(p.Work) > 0 && len(e.parcels) < maxParcels {
		e.parcels = append(e.parcels, Message{x.Name, x.Incarnation, p.Work})
	}
	if p.Ask != nil {
		shares := e.store.DeltasFor(now, p.Ask.Digest, answerBytes)
		more := e.store.HasMore(p.Ask.Digest, shares)
		e.send(to, &packet{Swim: e.hello(), Answer: &answer{p.Ask.Nonce, shares, more}})
	}
	if d, lacks := e.store.DigestFor(p.Nudge); lacks {
		e.newsAt = now
		e.askFor(now, to, d)
	}
	if p.Answer != nil {
		e.answered(now, to, p.Answer)
	}
	return e.out, nil
}

// answered takes over the answer to a question, if it is one.
func (e *Engine) answered(now time.Duration, from string, a *answer) {
	q, asked := e.asks[a.Nonce]
	if !asked || q.addr != from {
		e.counts.Unsolicited++
		return
	}
	delete(e.asks, a.Nonce)
	before := e.store.Version()
	e.store.Merge(now, q.at, a.Shares)
	if e.store.Version() != before {
		e.rounds, e.newsAt = e.nudges(), now
	}
	if a.More && e.store.Version() != before && e.more < mostMore {
		e.more++
		e.askFor(now, from, e.store.ContinueDigest(q.digest))
		return
	}
	e.told = true
}
