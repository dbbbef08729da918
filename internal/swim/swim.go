// Package swim maintains the membership of a group by SWIM (Das, Gupta,
// Motivala 2002) with three of Lifeguard's extensions (Dadgar, Phillips, Currey
// 2018): local health, suspicion timeouts that shrink with each confirmation,
// and telling a suspected member of the suspicion. A Machine takes in the time,
// messages and a source of chance, and yields messages and a view of the members.
// It does no I/O, starts no goroutine, and does not know what else travels with
// its messages. A member that is called dead is one that has not refuted a
// suspicion in time: the view never proves that a process has ended.
package swim

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// MaxMembers bounds the other members that are known, dead and left ones
// included. Memory is taken by need.
const MaxMembers = 4096

// Defaults of Config. ProbeTimeout is at most two fifths of ProbeInterval.
const (
	DefaultProbeInterval = 200 * time.Millisecond
	DefaultProbeTimeout  = 80 * time.Millisecond
)

const (
	maxStringBytes = 64 // of a name, an address and a zone
	maxUpdatesRead = 64 // of one message
	leaveFanout    = 8  // members that are notified directly when this one leaves
)

// Config describes one member. Durations that are zero have their default.
type Config struct {
	Name        string
	Addr        string // host:port, as advertised to the others
	Zone        string
	Incarnation uint64 // of the process: later ones have higher ones

	// Seeds are addresses that are contacted while no present member has them.
	Seeds []string

	ProbeInterval time.Duration // between two probes
	ProbeTimeout  time.Duration // of a direct ping, before indirect ones are requested
}

// Counts says how often something unusual happened since the start.
type Counts struct {
	// Stalls counts the times at which this process was not scheduled for long.
	Stalls int `json:"Stalls"`
	// Refuted counts the suspicions of this member that it has refuted.
	Refuted int `json:"Refuted"`
	// EndedIncarnation counts messages from a superseded incarnation.
	EndedIncarnation int `json:"EndedLife"`
	// Refusals counts the members that were suspected because their host refused
	// a message.
	Refusals int `json:"Refusals"`
	// Stray counts messages from this member or meant for another one, and
	// updates that are malformed.
	Stray int `json:"Stray"`
	// Full counts updates about members for which there was no capacity.
	Full int `json:"Full"`
	// RefutedDeaths counts the deaths of others that these have refuted.
	RefutedDeaths int `json:"RefutedDeaths"`
}

// Machine is the protocol and the view of one member. Only one goroutine may use
// it at a time.
type Machine struct {
	cfg      Config
	rng      *rand.Rand
	now      time.Duration // of the latest call
	lastTick time.Duration
	outbox   []Envelope // messages of the present call
	counts   Counts

	self          Update // as announced to the others
	nameTakeovers int    // how often a higher incarnation of this name was superseded
	left          bool   // Leave was called
	leftReason    string // why this member gave up its name; empty: it did not

	members    map[string]*member
	names      []string // of all members, sorted
	suspects   []string // names of the suspected members, sorted
	aliveCount int      // members that are alive or suspected
	viewHash   uint64   // XOR of updateHash over self and all members
	version    uint64   // rises with each change of the view
	changes    []Change // since Changes was last called
	lastReap   time.Duration

	healthScore int // 0: healthy; at most maxHealthScore
	nextProbe   time.Duration
	probeRound  []string // names of members that are still to be probed in this round, the next one last
	probe       probe
	relays      []relay // indirect probes on behalf of others

	nextReconnect     time.Duration
	reconnectAttempts int

	nextSync       time.Duration // no roster is requested before
	syncWith       string        // member whose roster is being read; empty: none
	syncProgressAt time.Duration // when the last page was requested or received

	rumors []*rumor
}

// New returns a member that knows no other.
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

// SetSeeds replaces the addresses that are contacted to join the group.
func (m *Machine) SetSeeds(seeds []string) { m.cfg.Seeds = seeds }

// Self returns this member as announced to the others.
func (m *Machine) Self() Update { return m.self }

// Version returns a number that changes whenever the view does.
func (m *Machine) Version() uint64 { return m.version }

// Counts returns how often something unusual happened since the start.
func (m *Machine) Counts() Counts { return m.counts }

// LeftReason says why this member takes part no longer, without Leave having
// been called. It is empty while the member takes part.
func (m *Machine) LeftReason() string { return m.leftReason }

// stopped reports whether this member takes part no longer, for either reason.
func (m *Machine) stopped() bool { return m.left || m.leftReason != "" }

// NextTick returns when Tick has something to do.
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

// Tick does what is due and returns the messages to be sent.
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

// Receive takes in a message and returns the messages to be sent in response.
func (m *Machine) Receive(now time.Duration, msg *Message) []Envelope {
	m.beginCall(now)
	if m.stopped() {
		return nil
	}
	if !m.meantForSelf(msg) || !validUpdate(msg.Self) {
		m.counts.Stray++
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
	if sender == nil { // no capacity for a further member
		return m.outbox
	}
	sender.heardAt = m.now
	m.handle(msg, sender)
	m.expireRelays()
	m.syncIfDifferent(msg)
	return m.outbox
}

// meantForSelf reports whether a message came from another member, or another
// incarnation of this one, and is addressed to this member or to nobody.
func (m *Machine) meantForSelf(msg *Message) bool {
	if msg.Self.Name == m.self.Name && msg.Self.Incarnation == m.self.Incarnation {
		return false
	}
	return msg.To == "" || msg.To == m.self.Name
}

// rejectEndedIncarnation answers a process whose name another one has taken over
// since, so that it learns of that.
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

// Leave notifies a few members that this one leaves. It takes part no longer.
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

// jitter draws a duration between half of d and one and a half, so that members
// do not act in step.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rng.Int64N(int64(d)+1))
}

// newNonce draws a nonce. It is never 0.
func (m *Machine) newNonce() uint64 { return m.rng.Uint64() | 1 }
