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
	Version          = 1
	minReaderVersion = 1
)

const (
	requestInterval                = 150 * time.Millisecond // between two questions for facts, while there is news
	idleRequestInterval            = time.Second            // the same where there has been none for a while
	activeTime                     = 2 * time.Second        // that while
	announcementInterval           = 50 * time.Millisecond  // between two nudges, at the least
	membersPerAnnouncementInterval = 100                    // members for each of which that time grows by itself
	announcementFanout             = 2                      // members that are nudged at a time
	maxResponseBytes               = 1000                   // of facts in one answer
	maxPendingRequests             = 16                     // questions that may be out
	joinRequests                   = 3                      // members that one who has just come asks at once
	maxContinuations               = 64                     // further questions in a row, where an answer was full
	maxDatagramBytes               = 16 << 10               // bytes of a datagram; larger ones are not read
	maxReceivedMessages            = 1024
	sweepInterval                  = time.Second
	factHorizon                    = 60 * time.Second // of facts
)

// MostParcel bounds the bytes that one instance may send another in one message.
const MaxMessage = 12 << 10

// Packet is a datagram, from one instance to an address.
type Packet struct {
	Addr string // as advertised
	Data []byte
}

// packet is the content of a datagram. Fields that are not known are left aside.
type payload struct {
	Version      int                `cbor:"1,keyasint"`
	MinVersion   int                `cbor:"2,keyasint"`
	Swim         *swim.Message      `cbor:"3,keyasint,omitempty"`
	Request      *factRequest       `cbor:"4,keyasint,omitempty"`
	Response     *factResponse      `cbor:"5,keyasint,omitempty"`
	Announcement []gossip.Watermark `cbor:"6,keyasint,omitempty"` // the sender has news of these: ask it
	Message      []byte             `cbor:"7,keyasint,omitempty"` // for who is there, whatever it is
	Clock        int64              `cbor:"8,keyasint,omitempty"` // of the sender, in microseconds
}

// Parcel is bytes that another instance's life has sent to this one.
type Message struct {
	From        string
	Incarnation uint64
	Data        []byte
}

type clockReading struct {
	incarnation uint64
	at          time.Duration
}

type factRequest struct {
	Nonce  uint64        `cbor:"1,keyasint"`
	Digest gossip.Digest `cbor:"2,keyasint"`
}

type factResponse struct {
	Nonce  uint64         `cbor:"1,keyasint"`
	Deltas []gossip.Delta `cbor:"2,keyasint,omitempty"`
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

type pendingRequest struct {
	sentAt time.Duration
	addr   string
	digest gossip.Digest
}

// Engine is one instance's membership and facts. It is used by one goroutine at a time.
type Engine struct {
	rng               *rand.Rand
	sealer            *Sealer
	membership        *swim.Machine
	facts             *gossip.Store
	pending           map[uint64]pendingRequest
	nextRequest       time.Duration // question
	nextSweep         time.Duration
	nextAnnouncement  time.Duration // no nudge before
	announcementsLeft int           // of nudges that are left: one who is nudged with what it knows tells nobody
	changedAt         time.Duration // when something new was last told or heard
	continuations     int
	joined            bool
	synced            bool // a first question was answered in full
	counts            Counts
	outbox            []Packet
	now               time.Duration
	received          []Message
	clocks            map[string]clockReading // of the others, as last heard
}

// NewEngine returns an instance that knows nobody.
func NewEngine(cfg swim.Config, sealer *Sealer, now time.Duration, rng *rand.Rand) *Engine {
	return &Engine{
		rng: rng, sealer: sealer, membership: swim.New(cfg, now, rng), facts: gossip.New(cfg.Name, cfg.Incarnation, factHorizon),
		pending: map[uint64]pendingRequest{}, clocks: map[string]clockReading{}, nextRequest: now + time.Duration(rng.Int64N(int64(requestInterval))), nextSweep: now + sweepInterval,
	}
}

// Member is the membership, to be looked at.
func (e *Engine) Membership() *swim.Machine { return e.membership }

// Store is the facts, to be looked at.
func (e *Engine) Store() *gossip.Store { return e.facts }

// Counts is what came and went.
func (e *Engine) Counts() Counts { return e.counts }

// Due is when Tick has something to do.
func (e *Engine) NextTick() time.Duration {
	due := min(e.membership.NextTick(), e.nextRequest, e.nextSweep)
	if e.announcementsLeft > 0 {
		due = min(due, e.nextAnnouncement)
	}
	return due
}

// Tell states a fact of this instance's own; see shared.Store.Put. Those who are nudged ask for it at once.
func (e *Engine) Publish(kind, subject string, born time.Duration, data []byte) bool {
	ok := e.facts.Put(kind, subject, born, data)
	if ok {
		e.announcementsLeft, e.changedAt = e.announcementRounds(), max(e.now, born)
	}
	return ok
}

// Work is a datagram that brings bytes to a member; nil where it is not known.
func (e *Engine) SendMessage(now time.Duration, to string, data []byte) []Packet {
	e.outbox, e.now = nil, now
	m, known := e.membership.Member(to)
	if !known || e.membership.LeftReason() != "" {
		return nil
	}
	if len(data) > MaxMessage {
		e.counts.Oversized++
		return nil
	}
	e.send(m.Addr, &payload{Swim: e.greeting(), Message: data})
	return e.outbox
}

// Parcels hands over what has come for this instance since it was last called.
func (e *Engine) TakeMessages() []Message {
	p := e.received
	e.received = nil
	return p
}

// ClockOf is the newest reading of a member's clock that was heard; 0: none.
func (e *Engine) ClockReading(name string) time.Duration { return e.clocks[name].at }

// Tick does what is due.
func (e *Engine) Tick(now time.Duration) []Packet {
	e.outbox, e.now = nil, now
	e.sendEnvelopes(e.membership.Tick(now))
	e.facts.SetIncarnation(e.membership.Self().Incarnation)
	if now >= e.nextRequest && e.membership.LeftReason() == "" {
		every := requestInterval
		if now-e.changedAt > activeTime {
			every = idleRequestInterval
		}
		e.nextRequest = now + every/2 + time.Duration(e.rng.Int64N(int64(every)))
		e.continuations = 0
		e.requestFromRandom(now, 1)
	}
	if e.announcementsLeft > 0 && now >= e.nextAnnouncement {
		e.announcementsLeft--
		e.nextAnnouncement = now + announcementInterval*time.Duration(1+e.membership.AliveCount()/membersPerAnnouncementInterval)
		for _, m := range e.membership.RandomMembers(announcementFanout) {
			e.send(m.Addr, &payload{Announcement: e.facts.RecentWatermarks(), Swim: e.greeting()})
		}
	}
	if now >= e.nextSweep {
		e.nextSweep = now + sweepInterval
		e.facts.Sweep(now, func(name string) bool {
			_, known := e.membership.Member(name)
			return known
		})
		for name := range e.clocks {
			if _, known := e.membership.Member(name); !known {
				delete(e.clocks, name)
			}
		}
		for n, q := range e.pending {
			if now-q.sentAt > gossip.MaxRoundTrip {
				delete(e.pending, n)
			}
		}
	}
	return e.outbox
}

// askSome asks so many members, drawn by chance; more of them the first time that somebody is there.
func (e *Engine) requestFromRandom(now time.Duration, n int) {
	if !e.joined && e.membership.AliveCount() > 0 {
		e.joined, n = true, joinRequests
	}
	for _, m := range e.membership.RandomMembers(n) {
		e.requestNext(now, m.Addr)
	}
}

// Told says whether a first question was answered in full: this instance knows what another one does.
func (e *Engine) Synced() bool { return e.synced }

// nudges is in how many rounds news is told of: enough that hardly anybody is missed by chance.
func (e *Engine) announcementRounds() int { return 1 + bits.Len(uint(e.membership.AliveCount()))/2 }

// Leave tells the others that this instance goes.
func (e *Engine) Leave(now time.Duration) []Packet {
	e.outbox, e.now = nil, now
	e.sendEnvelopes(e.membership.Leave(now))
	return e.outbox
}

// Refused takes note that a datagram to an advertised address was turned back by its host.
func (e *Engine) HandleRefusal(now time.Duration, addr string) []Packet {
	e.outbox, e.now = nil, now
	e.sendEnvelopes(e.membership.HandleRefusal(now, addr))
	return e.outbox
}

// hello says who sends, and nothing else.
func (e *Engine) greeting() *swim.Message { return &swim.Message{Self: e.membership.Self()} }

func (e *Engine) sendEnvelopes(out []swim.Envelope) {
	for _, o := range out {
		e.send(o.Addr, &payload{Swim: o.Message})
	}
}

func (e *Engine) send(addr string, p *payload) {
	p.Version, p.MinVersion, p.Clock = Version, minReaderVersion, e.now.Microseconds()
	b, err := cbor.Marshal(p)
	if err != nil { // of plain fields
		panic(err)
	}
	b = e.sealer.Seal(b)
	e.counts.Out++
	e.counts.BytesOut += len(b)
	e.outbox = append(e.outbox, Packet{addr, b})
}

func (e *Engine) requestNext(now time.Duration, addr string) {
	e.request(now, addr, e.facts.NextDigest())
}

func (e *Engine) request(now time.Duration, addr string, d gossip.Digest) {
	if len(e.pending) >= maxPendingRequests {
		return
	}
	n := e.rng.Uint64()
	e.pending[n] = pendingRequest{now, addr, d}
	e.send(addr, &payload{Swim: e.greeting(), Request: &factRequest{n, d}})
}

// Receive takes a datagram in, whoever has sent it, and returns what is to be sent for it. What cannot be opened or read is
// counted and changes nothing; the error says why, for a log.
func (e *Engine) Receive(now time.Duration, data []byte) ([]Packet, error) {
	e.outbox, e.now = nil, now
	e.counts.In++
	e.counts.BytesIn += len(data)
	if len(data) > maxDatagramBytes {
		e.counts.Malformed++
		return nil, errTooLarge
	}
	plain, err := e.sealer.Open(data)
	if err != nil {
		e.counts.WrongKey++
		return nil, err
	}
	var p payload
	if err := cbor.Unmarshal(plain, &p); err != nil {
		e.counts.Malformed++
		return nil, err
	}
	switch {
	case p.MinVersion > Version:
		e.counts.Newer++
		return nil, errNewer
	case p.Swim == nil:
		e.counts.Malformed++
		return nil, errNoSender
	}
	self := e.membership.Self()
	if p.Swim.Self.Name == self.Name && p.Swim.Self.Incarnation == self.Incarnation || p.Swim.To != "" && p.Swim.To != self.Name {
		e.membership.Receive(now, p.Swim) // it counts that; nothing else in it is for this instance
		return nil, nil
	}
	e.sendEnvelopes(e.membership.Receive(now, p.Swim))
	if !e.joined { // whoever has just come asks the first that it meets, at once
		e.requestFromRandom(now, 0)
	}
	x, known := e.membership.Member(p.Swim.Self.Name)
	if !known || x.Incarnation != p.Swim.Self.Incarnation || x.State == swim.Left || e.membership.LeftReason() != "" {
		return e.outbox, nil // of an ended life, or of one who has gone
	}
	to := x.Addr
	if c := e.clocks[x.Name]; x.Incarnation > c.incarnation || x.Incarnation == c.incarnation && time.Duration(p.Clock)*time.Microsecond > c.at {
		e.clocks[x.Name] = clockReading{x.Incarnation, time.Duration(p.Clock) * time.Microsecond}
	}
	if len(p.Message) > 0 && len(e.received) < maxReceivedMessages {
		e.received = append(e.received, Message{x.Name, x.Incarnation, p.Message})
	}
	if p.Request != nil {
		shares := e.facts.DeltasFor(now, p.Request.Digest, maxResponseBytes)
		more := e.facts.HasMore(p.Request.Digest, shares)
		e.send(to, &payload{Swim: e.greeting(), Response: &factResponse{p.Request.Nonce, shares, more}})
	}
	if d, lacks := e.facts.DigestFor(p.Announcement); lacks {
		e.changedAt = now
		e.request(now, to, d)
	}
	if p.Response != nil {
		e.handleResponse(now, to, p.Response)
	}
	return e.outbox, nil
}

// answered takes over the answer to a question, if it is one.
func (e *Engine) handleResponse(now time.Duration, from string, a *factResponse) {
	q, asked := e.pending[a.Nonce]
	if !asked || q.addr != from {
		e.counts.Unsolicited++
		return
	}
	delete(e.pending, a.Nonce)
	before := e.facts.Version()
	e.facts.Merge(now, q.sentAt, a.Deltas)
	if e.facts.Version() != before {
		e.announcementsLeft, e.changedAt = e.announcementRounds(), now
	}
	if a.More && e.facts.Version() != before && e.continuations < maxContinuations {
		e.continuations++
		e.request(now, from, e.facts.ContinueDigest(q.digest))
		return
	}
	e.synced = true
}
