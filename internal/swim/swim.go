// Package swim implements group membership with the SWIM protocol (Das, Gupta,
// Motivala 2002) and three of Lifeguard's extensions (Dadgar, Phillips, Currey
// 2018): local health, suspicion timeouts that shrink with each confirmation,
// and notifying a suspected member of the suspicion.
//
// A Machine receives the time, messages and a random source, and returns the
// messages to send and a view of the members. It performs no I/O, starts no
// goroutines, and is independent of other data sent along with its messages. A
// member is dead if it has not refuted a suspicion in time; that does not prove
// that its process has ended.
package swim

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// MaxMembers bounds the number of other members in the member list, including
// dead ones and those that left. Memory is allocated as needed.
const MaxMembers = 4096

// Defaults of Config. ProbeTimeout is at most two fifths of ProbeInterval.
const (
	DefaultProbeInterval = 200 * time.Millisecond
	DefaultProbeTimeout  = 80 * time.Millisecond
)

const (
	maxStringBytes = 64 // of a name, an address or a zone
	maxUpdatesRead = 64 // updates in one message beyond this are ignored
	leaveFanout    = 8  // members that are notified directly when this one leaves
)

// Config describes one member. Zero durations are replaced by their defaults.
type Config struct {
	Name        string
	Addr        string // host:port, as advertised to the others
	Zone        string
	Incarnation uint64 // of the process; must be higher for a process started later

	// Seeds are addresses that are pinged while no present member has them.
	Seeds []string

	ProbeInterval time.Duration // between two probes
	ProbeTimeout  time.Duration // of a direct ping, before indirect ones are requested
}

// Counts holds counters of unusual events since the start.
type Counts struct {
	// Stalls counts how often this process was not scheduled for a long time.
	Stalls int `json:"Stalls"`
	// Refuted counts the suspicions and deaths of this member that it has refuted.
	Refuted int `json:"Refuted"`
	// EndedIncarnation counts messages from a superseded incarnation.
	EndedIncarnation int `json:"EndedLife"`
	// Refusals counts suspicions that this member raised because a host refused
	// a message.
	Refusals int `json:"Refusals"`
	// Rejected counts rejected messages and updates: messages sent by this member
	// itself or addressed to another one, and malformed updates.
	Rejected int `json:"Stray"`
	// Full counts updates about unknown members that were ignored because the
	// member list was full.
	Full int `json:"Full"`
	// RefutedDeaths counts other members that were declared dead and refuted it.
	RefutedDeaths int `json:"RefutedDeaths"`
}

// Machine is the protocol state machine of one member and its view of the group.
// It is not safe for concurrent use.
type Machine struct {
	cfg      Config
	rng      *rand.Rand
	now      time.Duration // of the latest call
	lastTick time.Duration
	outbox   []Envelope // messages to send, collected during the current call
	counts   Counts

	self          Update // as announced to the others
	nameTakeovers int    // how often this member superseded a higher incarnation of its name
	left          bool   // Leave was called
	leftReason    string // why this member gave up its name; empty if it did not

	members    map[string]*member
	names      []string // of all members, sorted
	suspects   []string // names of the suspected members, sorted
	aliveCount int      // members that are alive or suspected
	viewHash   uint64   // XOR of updateHash over self and all members
	version    uint64   // incremented with each change of the view
	changes    []Change // since the last call of Changes
	lastReap   time.Duration

	healthScore int // 0: healthy; at most maxHealthScore
	nextProbe   time.Duration
	probeRound  []string // names of the members still to be probed in this round, in reverse order
	probe       probe
	relays      []relay // indirect probes on behalf of others

	nextReconnect     time.Duration
	reconnectAttempts int

	nextSync       time.Duration // no roster sync starts before this time
	syncWith       string        // member whose roster is being requested page by page; empty: none
	syncProgressAt time.Duration // when the last page was requested or received

	rumors []*rumor
}

// New returns a member that knows no other members yet.
func New(cfg Config, now time.Duration, rng *rand.Rand) *Machine {
	cfg.ProbeInterval = cmp.Or(cfg.ProbeInterval, DefaultProbeInterval)
	cfg.ProbeTimeout = cmp.Or(cfg.ProbeTimeout, min(DefaultProbeTimeout, cfg.ProbeInterval*2/5))
	m := &Machine{
		cfg:      cfg,
		rng:      rng,
		now:      now,
		lastTick: now,
		self:     Update{Name: cfg.Name, Addr: cfg.Addr, Zone: cfg.Zone, Incarnation: cfg.Incarnation},
		members:  map[string]*member{},
	}
	m.nextProbe = now + m.jitter(cfg.ProbeInterval)
	m.nextReconnect = now
	m.viewHash = updateHash(m.self)
	return m
}

// SetSeeds replaces the addresses that are pinged to join the group.
func (m *Machine) SetSeeds(seeds []string) { m.cfg.Seeds = seeds }

// Self returns this member as announced to the others.
func (m *Machine) Self() Update { return m.self }

// Version returns a number that is incremented whenever the view changes.
func (m *Machine) Version() uint64 { return m.version }

// Counts returns the counters of unusual events since the start.
func (m *Machine) Counts() Counts { return m.counts }

// LeftReason returns why this member gave up its name and left the group on its
// own. It is empty while the member takes part, and after Leave.
func (m *Machine) LeftReason() string { return m.leftReason }

// stopped reports whether this member has left the group, by Leave or because it
// gave up its name.
func (m *Machine) stopped() bool { return m.left || m.leftReason != "" }

// NextTick returns the time at which Tick should be called next.
func (m *Machine) NextTick() time.Duration {
	next := min(m.nextProbe, m.nextReconnect)
	if deadline, running := m.probe.nextDeadline(); running {
		next = min(next, deadline)
	}
	for _, name := range m.suspects {
		next = min(next, m.members[name].suspicionEnd)
	}
	return next
}

// Tick runs all protocol steps that are due and returns the messages to send.
func (m *Machine) Tick(now time.Duration) []Envelope {
	m.beginCall(now)
	if m.stopped() {
		m.lastTick = m.now
		m.nextProbe = m.now + time.Hour
		m.nextReconnect = m.now + time.Hour
		m.probe = probe{}
		return nil
	}
	m.detectStall()
	m.lastTick = m.now
	m.advanceProbe()
	m.expireSuspicions()
	if m.now >= m.nextProbe && m.probe.phase == probeIdle {
		m.startProbe()
	}
	if m.now >= m.nextReconnect {
		m.reconnect()
	}
	m.reapMembers()
	return m.outbox
}

// Receive handles an incoming message and returns the messages to send.
func (m *Machine) Receive(now time.Duration, msg *Message) []Envelope {
	m.beginCall(now)
	if m.stopped() {
		return nil
	}
	if !m.addressedToSelf(msg) || !validUpdate(msg.Self) {
		m.counts.Rejected++
		return nil
	}
	if msg.Self.Name == m.self.Name {
		m.resolveNameConflict(msg.Self)
		return m.outbox
	}
	if known := m.members[msg.Self.Name]; known != nil && known.Incarnation > msg.Self.Incarnation {
		m.rejectEndedIncarnation(msg.Self, known)
		return m.outbox
	}
	m.apply(msg.Self)
	for _, update := range msg.Updates[:min(len(msg.Updates), maxUpdatesRead)] {
		m.apply(update)
	}
	sender := m.members[msg.Self.Name]
	if sender == nil { // the member list is full
		return m.outbox
	}
	sender.lastMessageAt = m.now
	m.handle(msg, sender)
	m.expireRelays()
	m.syncIfDifferent(msg)
	return m.outbox
}

// addressedToSelf reports whether a message is addressed to this member, or to no
// particular one, and was not sent by this incarnation of the member itself.
func (m *Machine) addressedToSelf(msg *Message) bool {
	if msg.Self.Name == m.self.Name && msg.Self.Incarnation == m.self.Incarnation {
		return false
	}
	return msg.To == "" || msg.To == m.self.Name
}

// rejectEndedIncarnation replies to a process whose name now belongs to a later
// incarnation. The reply carries that incarnation, so that the sender learns of it.
func (m *Machine) rejectEndedIncarnation(sender Update, known *member) {
	m.counts.EndedIncarnation++
	if sender.State.present() {
		m.send(sender.Addr, &Message{To: sender.Name}, known)
	}
}

func (m *Machine) handle(msg *Message, sender *member) {
	switch msg.Kind {
	case Gossip:
	case Ping:
		m.send(msg.Self.Addr, &Message{Kind: Ack, To: msg.Self.Name, Nonce: msg.Nonce}, sender)
	case Ack:
		m.handleAck(msg.Nonce)
	case PingReq:
		m.handlePingReq(msg)
	case RosterRequest:
		m.sendRosterPage(msg.Self, msg.After)
	case Roster:
		m.handleRoster(msg)
	}
}

// Leave returns messages that notify a few members that this one leaves. The
// member takes no further part in the protocol.
func (m *Machine) Leave(now time.Duration) []Envelope {
	m.beginCall(now)
	if m.stopped() {
		return nil
	}
	m.left = true
	m.self.State = Left
	for _, other := range m.sampleMembers(leaveFanout, isPresent) {
		m.send(other.Addr, &Message{To: other.Name}, nil)
	}
	return m.outbox
}

func (m *Machine) beginCall(now time.Duration) {
	m.now = max(now, m.now)
	m.outbox = nil
}

// jitter returns a random duration between 0.5*d and 1.5*d, so that members do not
// act in lockstep.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rng.Int64N(int64(d)+1))
}

// newNonce returns a random nonce, which is never 0.
func (m *Machine) newNonce() uint64 { return m.rng.Uint64() | 1 }
