package peers

import (
	"math/rand/v2"
	"time"

	"hitchspring/internal/gossip"
	"hitchspring/internal/swim"
)

const (
	factRetention       = 60 * time.Second // older facts are dropped
	sweepInterval       = time.Second
	maxReceivedMessages = 1024 // received messages waiting for TakeMessages; further ones are dropped
)

// Counts holds counters of the datagrams sent, received and rejected since the
// start.
type Counts struct {
	In          int `json:"In"`
	Out         int `json:"Out"`
	BytesIn     int `json:"BytesIn"`
	BytesOut    int `json:"BytesOut"`
	WrongKey    int `json:"WrongKey"`  // datagrams that no configured key decrypts
	Malformed   int `json:"Malformed"` // datagrams that cannot be decoded
	Newer       int `json:"Newer"`     // datagrams that only a later version can read
	Unsolicited int `json:"Strange"`   // responses without a pending request
	Oversized   int `json:"Oversized"` // messages larger than MaxMessage, which were not sent
}

// clockReading is the latest known reading of another instance's clock.
type clockReading struct {
	incarnation uint64
	at          time.Duration
}

// Engine implements the membership and the fact exchange of one instance without
// I/O: it is given the datagrams that arrive and returns the packets to send. It
// is not safe for concurrent use.
type Engine struct {
	rng    *rand.Rand // shared with membership
	sealer *Sealer
	now    time.Duration // of the latest call
	outbox []Packet      // packets to send, collected during the current call
	counts Counts

	membership *swim.Machine
	facts      *gossip.Store
	nextSweep  time.Duration
	clocks     map[string]clockReading // of known members, by name
	received   []Message               // since the last call of TakeMessages

	// Requests for facts.
	pending       map[uint64]pendingRequest // by nonce
	nextRequest   time.Duration
	continuations int           // requests that continued a response, since the last periodic request
	changedAt     time.Duration // when a fact last changed here, or a change was announced
	joined        bool          // the first requests were sent
	synced        bool          // a complete response was received

	// Announcements of new facts. They die out, because a member that already has
	// the announced facts does not announce them again.
	announcementsLeft int
	nextAnnouncement  time.Duration
}

// NewEngine returns the engine of an instance that knows no other instances yet.
func NewEngine(cfg swim.Config, sealer *Sealer, now time.Duration, rng *rand.Rand) *Engine {
	return &Engine{
		rng:         rng,
		sealer:      sealer,
		membership:  swim.New(cfg, now, rng),
		facts:       gossip.New(cfg.Name, cfg.Incarnation, factRetention),
		nextSweep:   now + sweepInterval,
		clocks:      map[string]clockReading{},
		pending:     map[uint64]pendingRequest{},
		nextRequest: now + time.Duration(rng.Int64N(int64(requestInterval))),
	}
}

// Membership returns the membership state. Callers must not modify it.
func (e *Engine) Membership() *swim.Machine { return e.membership }

// Store returns the fact store. Callers must not modify it.
func (e *Engine) Store() *gossip.Store { return e.facts }

// Counts returns the counters of datagrams sent, received and rejected.
func (e *Engine) Counts() Counts { return e.counts }

// Synced reports whether this instance has received a complete response, so that
// it has all facts that another instance had.
func (e *Engine) Synced() bool { return e.synced }

// ClockReading returns the latest known reading of a member's monotonic clock, or
// 0 if there is none.
func (e *Engine) ClockReading(name string) time.Duration { return e.clocks[name].at }

// NextTick returns the time at which Tick should be called next.
func (e *Engine) NextTick() time.Duration {
	next := min(e.membership.NextTick(), e.nextRequest, e.nextSweep)
	if e.announcementsLeft > 0 {
		next = min(next, e.nextAnnouncement)
	}
	return next
}

// Tick runs all protocol steps that are due and returns the packets to send.
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

// sweep drops expired facts and requests, and data of members that were removed.
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

// Publish stores a fact of this instance, as gossip.Store.Put does, and schedules
// its announcement. It reports whether the fact was stored.
func (e *Engine) Publish(kind, subject string, observedAt time.Duration, data []byte) bool {
	stored := e.facts.Put(kind, subject, observedAt, data)
	if stored {
		e.announcementsLeft = e.announcementRounds()
		e.changedAt = max(e.now, observedAt)
	}
	return stored
}

// SendMessage returns the packet that carries a message to a member. It returns
// none if the member is unknown, the message is larger than MaxMessage, or this
// instance has given up its name.
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
	e.send(m.Addr, &payload{Swim: e.identityMessage(), Message: data})
	return e.outbox
}

// TakeMessages returns the messages received since the previous call.
func (e *Engine) TakeMessages() []Message {
	messages := e.received
	e.received = nil
	return messages
}

// Leave returns the packets that notify other members that this instance leaves.
func (e *Engine) Leave(now time.Duration) []Packet {
	e.beginCall(now)
	e.sendEnvelopes(e.membership.Leave(now))
	return e.outbox
}

// HandleRefusal handles a report that the host of an advertised address refused a
// datagram, and returns the packets to send.
func (e *Engine) HandleRefusal(now time.Duration, addr string) []Packet {
	e.beginCall(now)
	e.sendEnvelopes(e.membership.HandleRefusal(now, addr))
	return e.outbox
}

// Receive handles a datagram from any sender and returns the packets to send. A
// datagram that cannot be decrypted or decoded is counted and changes nothing;
// the error gives the reason.
func (e *Engine) Receive(now time.Duration, data []byte) ([]Packet, error) {
	e.beginCall(now)
	e.counts.In++
	e.counts.BytesIn += len(data)
	p, err := e.open(data)
	if err != nil {
		return nil, err
	}
	if e.isMisaddressed(p.Swim) {
		e.membership.Receive(now, p.Swim) // counts the message as rejected
		return nil, nil
	}
	e.sendEnvelopes(e.membership.Receive(now, p.Swim))
	if !e.joined { // a new instance requests facts as soon as it knows a member
		e.requestFromRandom(0)
	}
	sender, known := e.membership.Member(p.Swim.Self.Name)
	if !known || sender.Incarnation != p.Swim.Self.Incarnation || sender.State == swim.Left ||
		e.membership.LeftReason() != "" {
		return e.outbox, nil // sent by an ended incarnation or a member that left, or this instance left
	}
	e.handle(sender, p)
	return e.outbox, nil
}

// isMisaddressed reports whether a message came from this instance itself or is
// addressed to another one. The rest of such a datagram is ignored.
func (e *Engine) isMisaddressed(msg *swim.Message) bool {
	self := e.membership.Self()
	ownMessage := msg.Self.Name == self.Name && msg.Self.Incarnation == self.Incarnation
	return ownMessage || msg.To != "" && msg.To != self.Name
}

// handle processes the parts of a payload other than the membership message.
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

// recordClock stores the reading of a sender's clock if it is the latest one.
// Within one incarnation the clock only advances.
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

// identityMessage returns a membership message that only identifies the sender.
func (e *Engine) identityMessage() *swim.Message {
	return &swim.Message{Self: e.membership.Self()}
}

func (e *Engine) sendEnvelopes(envelopes []swim.Envelope) {
	for _, envelope := range envelopes {
		e.send(envelope.Addr, &payload{Swim: envelope.Message})
	}
}
