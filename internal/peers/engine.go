package peers

import (
	"math/rand/v2"
	"time"

	"hitchspring/internal/gossip"
	"hitchspring/internal/swim"
)

const (
	factHorizon         = 60 * time.Second // older facts are dropped
	sweepInterval       = time.Second
	maxReceivedMessages = 1024 // that wait for TakeMessages; more are dropped
)

// Counts says how many datagrams were sent and received since the start, and why
// some were rejected.
type Counts struct {
	In          int `json:"In"`
	Out         int `json:"Out"`
	BytesIn     int `json:"BytesIn"`
	BytesOut    int `json:"BytesOut"`
	WrongKey    int `json:"WrongKey"`  // datagrams that no key opens
	Malformed   int `json:"Malformed"` // datagrams that cannot be decoded
	Newer       int `json:"Newer"`     // datagrams that only a later version can read
	Unsolicited int `json:"Strange"`   // responses to no pending request
	Oversized   int `json:"Oversized"` // messages above MaxMessage, which were not sent
}

// clockReading is the latest known reading of another instance's clock.
type clockReading struct {
	incarnation uint64
	at          time.Duration
}

// Engine is the membership and the facts of one instance, without I/O. It yields
// packets to be sent and takes in the datagrams that arrive. Only one goroutine
// may use it at a time.
type Engine struct {
	rng    *rand.Rand // shared with membership
	sealer *Sealer
	now    time.Duration // of the latest call
	outbox []Packet      // of the present call
	counts Counts

	membership *swim.Machine
	facts      *gossip.Store
	nextSweep  time.Duration
	clocks     map[string]clockReading // of known members, by name
	received   []Message               // since TakeMessages was last called

	// Requests for facts.
	pending       map[uint64]pendingRequest // by nonce
	nextRequest   time.Duration
	continuations int           // since the last periodic request
	changedAt     time.Duration // when a fact last changed here, or a change was announced
	joined        bool          // the first requests were sent
	synced        bool          // a response was complete

	// Announcements of new facts. They end by themselves: a member that already
	// knows what is announced does not pass it on.
	announcementsLeft int
	nextAnnouncement  time.Duration
}

// NewEngine returns an instance that knows no other.
func NewEngine(cfg swim.Config, sealer *Sealer, now time.Duration, rng *rand.Rand) *Engine {
	return &Engine{
		rng:         rng,
		sealer:      sealer,
		membership:  swim.New(cfg, now, rng),
		facts:       gossip.New(cfg.Name, cfg.Incarnation, factHorizon),
		nextSweep:   now + sweepInterval,
		clocks:      map[string]clockReading{},
		pending:     map[uint64]pendingRequest{},
		nextRequest: now + time.Duration(rng.Int64N(int64(requestInterval))),
	}
}

// Membership returns the view of the members. Callers may only read it.
func (e *Engine) Membership() *swim.Machine { return e.membership }

// Store returns the store of the facts. Callers may only read it.
func (e *Engine) Store() *gossip.Store { return e.facts }

// Counts returns how many datagrams were sent, received and rejected.
func (e *Engine) Counts() Counts { return e.counts }

// Synced reports whether a response was complete: this instance knows what
// another one does.
func (e *Engine) Synced() bool { return e.synced }

// ClockReading returns the latest known reading of a member's clock; 0 if there
// is none.
func (e *Engine) ClockReading(name string) time.Duration { return e.clocks[name].at }

// NextTick returns when Tick has something to do.
func (e *Engine) NextTick() time.Duration {
	next := min(e.membership.NextTick(), e.nextRequest, e.nextSweep)
	if e.announcementsLeft > 0 {
		next = min(next, e.nextAnnouncement)
	}
	return next
}

// Tick does what is due and returns the packets to be sent.
func (e *Engine) Tick(now time.Duration) []Packet {
	e.beginCall(now)
	e.sendEnvelopes(e.membership.Tick(now))
	e.facts.SetIncarnation(e.membership.Self().Incarnation)
	if now >= e.nextRequest && e.membership.LeftReason() == "" {
		e.requestPeriodically()
	}
	if e.announcementsLeft > 0 && now >= e.nextAnnouncement {
		e.announce()
	}
	if now >= e.nextSweep {
		e.sweep()
	}
	return e.outbox
}

// sweep drops what is too old, and what belongs to members that were forgotten.
func (e *Engine) sweep() {
	e.nextSweep = e.now + sweepInterval
	isMember := func(name string) bool {
		_, known := e.membership.Member(name)
		return known
	}
	e.facts.Sweep(e.now, isMember)
	for name := range e.clocks {
		if !isMember(name) {
			delete(e.clocks, name)
		}
	}
	e.expireRequests()
}

// Publish states a fact of this instance, as gossip.Store.Put does, and announces
// it at once.
func (e *Engine) Publish(kind, subject string, observedAt time.Duration, data []byte) bool {
	stored := e.facts.Put(kind, subject, observedAt, data)
	if stored {
		e.announcementsLeft = e.announcementRounds()
		e.changedAt = max(e.now, observedAt)
	}
	return stored
}

// SendMessage returns the packet that carries a message to a member. It returns
// none if the member is unknown or the message has more than MaxMessage bytes.
func (e *Engine) SendMessage(now time.Duration, to string, data []byte) []Packet {
	e.beginCall(now)
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

// TakeMessages returns the messages that have arrived since it was last called.
func (e *Engine) TakeMessages() []Message {
	messages := e.received
	e.received = nil
	return messages
}

// Leave returns the packets that announce to the others that this instance leaves.
func (e *Engine) Leave(now time.Duration) []Packet {
	e.beginCall(now)
	e.sendEnvelopes(e.membership.Leave(now))
	return e.outbox
}

// HandleRefusal notes that the host of an advertised address refused a datagram,
// and returns the packets to be sent.
func (e *Engine) HandleRefusal(now time.Duration, addr string) []Packet {
	e.beginCall(now)
	e.sendEnvelopes(e.membership.HandleRefusal(now, addr))
	return e.outbox
}

// Receive takes in a datagram, whoever has sent it, and returns the packets to
// be sent in response. A datagram that cannot be opened or decoded is counted
// and changes nothing; the error says why.
func (e *Engine) Receive(now time.Duration, data []byte) ([]Packet, error) {
	e.beginCall(now)
	e.counts.In++
	e.counts.BytesIn += len(data)
	p, err := e.open(data)
	if err != nil {
		return nil, err
	}
	if e.isStray(p.Swim) {
		e.membership.Receive(now, p.Swim) // counts it
		return nil, nil
	}
	e.sendEnvelopes(e.membership.Receive(now, p.Swim))
	if !e.joined { // an instance that has just started sends requests to the first one that it meets
		e.requestFromRandom(0)
	}
	sender, known := e.membership.Member(p.Swim.Self.Name)
	if !known || sender.Incarnation != p.Swim.Self.Incarnation || sender.State == swim.Left ||
		e.membership.LeftReason() != "" {
		return e.outbox, nil // of an ended incarnation, or of a member that left
	}
	e.handle(sender, p)
	return e.outbox, nil
}

// isStray reports whether a message came from this instance itself or is meant
// for another one. Nothing that comes with it counts.
func (e *Engine) isStray(msg *swim.Message) bool {
	self := e.membership.Self()
	ownMessage := msg.Self.Name == self.Name && msg.Self.Incarnation == self.Incarnation
	return ownMessage || msg.To != "" && msg.To != self.Name
}

// handle takes in what a member has sent besides the membership protocol.
func (e *Engine) handle(sender swim.Member, p *payload) {
	e.recordClock(sender, time.Duration(p.Clock)*time.Microsecond)
	if len(p.Message) > 0 && len(e.received) < maxReceivedMessages {
		e.received = append(e.received, Message{sender.Name, sender.Incarnation, p.Message})
	}
	if p.Request != nil {
		e.respond(sender.Addr, p.Request)
	}
	e.handleAnnouncement(sender.Addr, p.Announcement)
	if p.Response != nil {
		e.handleResponse(sender.Addr, p.Response)
	}
}

// recordClock keeps the reading of a sender's clock if it is the latest: within
// one incarnation clocks only advance.
func (e *Engine) recordClock(sender swim.Member, at time.Duration) {
	latest := e.clocks[sender.Name]
	newIncarnation := sender.Incarnation > latest.incarnation
	if newIncarnation || sender.Incarnation == latest.incarnation && at > latest.at {
		e.clocks[sender.Name] = clockReading{sender.Incarnation, at}
	}
}

func (e *Engine) beginCall(now time.Duration) {
	e.outbox = nil
	e.now = now
}

// greeting returns a message that says who sends, and nothing else.
func (e *Engine) greeting() *swim.Message {
	return &swim.Message{Self: e.membership.Self()}
}

func (e *Engine) sendEnvelopes(envelopes []swim.Envelope) {
	for _, envelope := range envelopes {
		e.send(envelope.Addr, &payload{Swim: envelope.Message})
	}
}
