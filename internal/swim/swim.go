// Package swim decides who is there: membership by SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health, shrinking
// suspicion and buddy messages (Dadgar, Phillips, Currey 2018). In: the time, messages, chance. Out: messages, and a view that
// every instance reads. It does no I/O, starts no goroutine, and must never know what else a message carries or how it
// travels. What it says of a death is a suspicion that nobody has refuted in time, and never more than that.
package swim

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// State is what is believed of a member.
type State uint8

// The states, in the order in which they override one another within one life and incarnation.
const (
	Alive State = iota
	Suspect
	Dead
	Left // it said so itself
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Update is what is believed of a member, as it travels. Updates of one member are ordered by life, incarnation and state;
// the highest counts, whatever order they come in and however often.
type Update struct {
	Name        string `cbor:"1,keyasint"`
	Addr        string `cbor:"2,keyasint,omitempty"` // host:port that it advertises
	Zone        string `cbor:"3,keyasint,omitempty"`
	Incarnation uint64 `cbor:"4,keyasint"` // of the process: a later start of the name has a higher one
	Refutation  uint32 `cbor:"5,keyasint,omitempty"`
	State       State  `cbor:"6,keyasint,omitempty"`
	SuspectedBy string `cbor:"7,keyasint,omitempty"` // who suspects
	// Refused says that a message to it was turned back: its host says that nothing listens there.
	Refused bool `cbor:"8,keyasint,omitempty"`
}

// over says whether u overrides v.
func (u Update) overrides(v Update) bool {
	return cmp.Or(cmp.Compare(u.Incarnation, v.Incarnation), cmp.Compare(u.Refutation, v.Refutation), cmp.Compare(u.State, v.State)) > 0
}

// Kind says what a message asks for.
type Kind uint8

// The kinds. A kind that is not known is carried by nobody and answered by nobody; the updates in it count.
const (
	Gossip        Kind = iota // updates alone
	Ping                      // answer with Ack
	Ack                       // answers the Ping of the nonce
	PingReq                   // ping Target, and pass its Ack on
	RosterRequest             // answer with Roster: all members after a name
	Roster
)

// Message is one message between members.
type Message struct {
	Kind     Kind     `cbor:"1,keyasint,omitempty"`
	Self     Update   `cbor:"2,keyasint"`           // the sender
	To       string   `cbor:"3,keyasint,omitempty"` // whom it is meant for; empty: whoever is at the address
	Nonce    uint64   `cbor:"4,keyasint,omitempty"`
	Target   string   `cbor:"5,keyasint,omitempty"` // of PingReq
	Updates  []Update `cbor:"6,keyasint,omitempty"`
	ViewHash uint64   `cbor:"7,keyasint,omitempty"` // a sum over all that the sender believes
	After    string   `cbor:"8,keyasint,omitempty"` // of RosterAsk and Roster
	More     bool     `cbor:"9,keyasint,omitempty"` // of Roster: there is another page
}

// Out is a message to be sent to an advertised address.
type Envelope struct {
	Addr    string
	Message *Message
}

// Config is one member. Times that are zero have their usual value.
type Config struct {
	Name, Addr, Zone string
	Incarnation      uint64
	Seeds            []string      // addresses that are asked while they are not known as members'
	ProbeInterval           time.Duration // between two probes
	ProbeTimeout          time.Duration // of a direct probe; then others are asked to try
}

// MaxMembers bounds the other members that are known, those that have gone among them. Memory is taken by need.
const MaxMembers = 4096

// Usual times and bounds.
const (
	DefaultProbeInterval           = 200 * time.Millisecond
	DefaultProbeTimeout          = 80 * time.Millisecond
	indirectProbes          = 3                // members that are asked to probe in one's place
	minSuspicionIntervals     = 2.5              // least time of a suspicion, in periods
	suspicionMaxFactor      = 3                // times that, without any confirmation
	maxHealthScore          = 8                // of the local health: timeouts grow up to so many times and one
	updatesPerMessage       = 6                // updates in a message
	rosterPageSize          = 12               // members in a page of the roster
	retransmitFactor        = 3.0              // times log2 of the members that an update is sent on
	reconnectInterval         = time.Second      // between two tries to reach a seed or a dead member, of all together
	syncInterval              = time.Second      // between two comparisons of whole rosters, at the least
	membersPerSyncInterval    = 40               // members for each of which that time grows by itself
	deadRetention           = 10 * time.Minute // a dead member is tried and remembered for so long
	leftRetention           = time.Minute      // the same of one that left
	reapInterval              = time.Second
	maxStringBytes          = 64
	maxNameTakeovers        = 3 // lives that are taken on after others of the name, before it is held to be in use
	leaveFanout             = 8
	maxRelays               = 4 * indirectProbes
	stallIntervals            = 1.5                    // a tick so late says that this process did not run
	reconnectsPerSeed       = 3                      // of the tries one in so many goes to a seed, the others to dead members
	joinInterval              = 100 * time.Millisecond // the same while nobody is known
	maxRumors               = 1024
	maxUpdatesRead          = 64
	refusalQuorum           = 2                      // members that were turned back: what that takes to shorten a suspicion
	refusalSuspicionTimeout = 60 * time.Millisecond  // for a refutation then
	refusalProbeInterval      = 100 * time.Millisecond // between two tries of one's own to confirm that
	refusalDistrustTime     = 10 * time.Second       // such hints count for nothing after one of them was refuted
	refusalFanout           = 8                      // members that are told at once
)

type member struct {
	Update
	stateSince     time.Duration // of the state
	suspicionEnd   time.Duration // of a suspicion
	suspicionStart time.Duration // of a suspicion
	suspectedBy    []string      // who suspects it
	heardAt        time.Duration // when it was last heard itself; 0: never

	refusedBy         []string      // who was turned back at its address, in this suspicion
	refusalProbedAt   time.Duration // when this member last tried to confirm that
	hintsIgnoredUntil time.Duration // hints are ignored until then
}

type rumor struct {
	update    Update
	transmits int
}

type probe struct {
	target                 string
	nonce                  uint64
	at, indirectAt, endsAt time.Duration
	asked, acked           bool
	began                  bool
}

type relay struct {
	nonce, originNonce uint64
	originAddr         string
	expiresAt          time.Duration
}

// Member is a member as it is shown.
type Member struct {
	Update
	Since   time.Duration // its state holds since then
	HeardAt time.Duration // when it was last heard itself; 0: never
}

// Counts is what went wrong so far.
type Counts struct {
	Stalls           int `json:"Stalls"`    // times that this process did not run for long
	Refuted          int `json:"Refuted"`   // suspicions of this member that it has answered
	EndedIncarnation int `json:"EndedLife"` // messages from a life that has ended
	Refusals         int `json:"Refusals"`  // members that were suspected for turning a message back
	Stray            int `json:"Stray"`     // messages that were meant for another, or of oneself
	Full             int `json:"Full"`      // updates about members for whom there was no room
}

// Machine is one member's view and protocol. It is used by one goroutine at a time.
type Machine struct {
	cfg               Config
	rng               *rand.Rand
	now               time.Duration
	self              Update
	takeovers         int
	leftReason        string // why it takes part no longer
	left           bool
	members           map[string]*member
	names             []string // of all members, sorted
	probeRound        []string // who is probed next
	probe             probe
	nextProbe         time.Duration // probe
	nextReconnect     time.Duration // next try of a seed or a dead member
	nextSync          time.Duration // no comparison before
	syncWith          string        // whose roster is being read
	syncProgressAt    time.Duration
	healthScore       int
	rumors            []*rumor
	relays            []relay
	viewHash          uint64 // over all updates held
	version           uint64
	counts            Counts
	lastTick          time.Duration
	reconnectAttempts int
	outbox            []Envelope
	changes           []Change
	aliveCount        int
	suspects          []string      // names, sorted
	lastReap          time.Duration // when who has gone was last looked for
}

// Change is a change of the view, for the log.
type Change struct {
	Update
	Previous  State
	New       bool // it was not known, or not in this life
	Forgotten bool // it is forgotten
	Confirmed bool // of a death: hosts have turned messages back, two at the least; it was no mere silence
}

// New returns a member that knows nobody.
func New(cfg Config, now time.Duration, rng *rand.Rand) *Machine {
	cfg.ProbeInterval = cmp.Or(cfg.ProbeInterval, DefaultProbeInterval)
	cfg.ProbeTimeout = cmp.Or(cfg.ProbeTimeout, min(DefaultProbeTimeout, cfg.ProbeInterval*2/5))
	m := &Machine{
		cfg: cfg, rng: rng, now: now, members: map[string]*member{}, lastTick: now,
		self: Update{Name: cfg.Name, Addr: cfg.Addr, Zone: cfg.Zone, Incarnation: cfg.Incarnation},
	}
	m.nextProbe = now + m.jitter(cfg.ProbeInterval)
	m.nextReconnect = now
	m.viewHash = updateHash(m.self)
	return m
}

// spread draws a time around d, so that what all do does not happen at one moment.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rng.Int64N(int64(d)+1))
}

// SetSeeds puts other seeds in place.
func (m *Machine) SetSeeds(seeds []string) { m.cfg.Seeds = seeds }

// Self is this member as the others are told of it.
func (m *Machine) Self() Update { return m.self }

// Version changes with each change of the view.
func (m *Machine) Version() uint64 { return m.version }

// Counts is what went wrong so far.
func (m *Machine) Counts() Counts { return m.counts }

// Over says why this member takes part no longer; empty: it does.
func (m *Machine) LeftReason() string { return m.leftReason }

// Alive is how many others are held to be there, the suspected among them.
func (m *Machine) AliveCount() int { return m.aliveCount }

// Members are all others that are known, by name.
func (m *Machine) Members() []Member {
	out := make([]Member, 0, len(m.names))
	for _, n := range m.names {
		x := m.members[n]
		out = append(out, Member{Update: x.Update, Since: x.stateSince, HeardAt: x.heardAt})
	}
	return out
}

// Member returns what is believed of one.
func (m *Machine) Member(name string) (Member, bool) {
	x := m.members[name]
	if x == nil {
		return Member{}, false
	}
	return Member{Update: x.Update, Since: x.stateSince, HeardAt: x.heardAt}, true
}

// Changes hands over what has changed since it was last called.
func (m *Machine) Changes() []Change {
	c := m.changes
	m.changes = nil
	return c
}

// Due is when Tick has something to do.
func (m *Machine) NextTick() time.Duration {
	due := min(m.nextProbe, m.nextReconnect)
	if m.probe.began {
		if m.probe.acked || m.probe.asked {
			due = min(due, m.probe.endsAt)
		} else {
			due = min(due, m.probe.indirectAt)
		}
	}
	for _, n := range m.suspects {
		due = min(due, m.members[n].suspicionEnd)
	}
	return due
}

// Tick does what is due.
func (m *Machine) Tick(now time.Duration) []Envelope {
	m.now, m.outbox = max(now, m.now), nil
	if m.leftReason != "" || m.left {
		m.lastTick, m.nextProbe, m.nextReconnect = m.now, m.now+time.Hour, m.now+time.Hour
		m.probe = probe{}
		return nil
	}
	m.detectStall()
	m.lastTick = m.now
	m.advanceProbe()
	for i := 0; i < len(m.suspects); {
		x := m.members[m.suspects[i]]
		if m.now < x.suspicionEnd {
			i++
			continue
		}
		dead, told := x.Update, len(x.refusedBy) >= refusalQuorum
		dead.State, dead.SuspectedBy, dead.Refused = Dead, m.self.Name, false
		m.apply(dead) // it is no suspect any more
		if told {     // the others have suspected it for a moment only
			m.notifyAtOnce(dead)
		}
	}
	if m.now >= m.nextProbe && !m.probe.began {
		m.startProbe()
	}
	if m.now >= m.nextReconnect {
		m.reconnect()
	}
	m.reapMembers()
	return m.outbox
}

// stall notices that this process has not run: what it did not hear meanwhile says nothing of the others.
func (m *Machine) detectStall() {
	late := m.now - max(m.lastTick, min(m.nextProbe, m.nextReconnect))
	if late < time.Duration(stallIntervals*float64(m.cfg.ProbeInterval)) {
		return
	}
	m.counts.Stalls++
	m.degradeHealth()
	m.probe = probe{}
	m.nextProbe = m.now + m.jitter(m.cfg.ProbeInterval)
	for _, n := range m.suspects {
		m.members[n].suspicionEnd += late
	}
}

func (m *Machine) degradeHealth() { m.healthScore = min(maxHealthScore, m.healthScore+1) }
func (m *Machine) improveHealth() { m.healthScore = max(0, m.healthScore-1) }

// stretched is a time as it is while this member's own health is poor.
func (m *Machine) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+m.healthScore)
}

func (m *Machine) startProbe() {
	target := m.nextProbeTarget()
	m.nextProbe = m.now + m.scaleByHealth(m.cfg.ProbeInterval)
	if target == "" {
		return
	}
	x := m.members[target]
	m.probe = probe{target: target, nonce: m.newNonce(), at: m.now, indirectAt: m.now + m.scaleByHealth(m.cfg.ProbeTimeout), endsAt: m.nextProbe, began: true}
	m.send(x.Addr, &Message{Kind: Ping, To: target, Nonce: m.probe.nonce}, x)
}

func (m *Machine) newNonce() uint64 { return m.rng.Uint64() | 1 }

// nextTarget goes round all members that are not known to be gone, in an order drawn anew each time.
func (m *Machine) nextProbeTarget() string {
	for range 2 {
		for len(m.probeRound) > 0 {
			n := m.probeRound[len(m.probeRound)-1]
			m.probeRound = m.probeRound[:len(m.probeRound)-1]
			if x := m.members[n]; x != nil && x.State <= Suspect {
				return n
			}
		}
		m.probeRound = slices.Clone(m.names)
		m.rng.Shuffle(len(m.probeRound), func(i, j int) { m.probeRound[i], m.probeRound[j] = m.probeRound[j], m.probeRound[i] })
	}
	return ""
}

// endProbe asks others to try where no answer came, and suspects where none came to them.
func (m *Machine) advanceProbe() {
	p := &m.probe
	x := m.members[p.target]
	switch {
	case !p.began:
	case x == nil || x.State > Suspect:
		*p = probe{}
	case p.acked:
		if m.now >= p.endsAt {
			m.improveHealth()
			*p = probe{}
		}
	case !p.asked && m.now >= p.indirectAt:
		p.asked = true
		for _, h := range m.sampleMembers(indirectProbes, func(h *member) bool { return h.State == Alive && h.Name != p.target }) {
			m.send(h.Addr, &Message{Kind: PingReq, To: h.Name, Nonce: p.nonce, Target: p.target}, x)
		}
	case p.asked && m.now >= p.endsAt:
		m.degradeHealth()
		u := x.Update
		u.State, u.SuspectedBy, u.Refused = Suspect, m.self.Name, false
		*p = probe{}
		m.apply(u)
	}
}

// some draws a few members.
func (m *Machine) sampleMembers(n int, of func(*member) bool) (out []*member) {
	if len(m.names) == 0 {
		return nil
	}
	start, step := m.rng.IntN(len(m.names)), 1
	for _, s := range []int{7, 11, 13, 17, 19} { // a step that meets every member
		if len(m.names)%s != 0 {
			step = s
			break
		}
	}
	for i := 0; i < len(m.names) && len(out) < n; i++ {
		if x := m.members[m.names[(start+i*step)%len(m.names)]]; of(x) {
			out = append(out, x)
		}
	}
	return out
}

// Some are the addresses and names of up to n members that are held to be there, drawn by chance.
func (m *Machine) RandomMembers(n int) []Update {
	var out []Update
	for _, x := range m.sampleMembers(n, func(x *member) bool { return x.State <= Suspect }) {
		out = append(out, x.Update)
	}
	return out
}

// reachOut tries a seed that is nobody's address, or a member that is held to be dead: a part that was cut off comes back
// by itself, from whichever side is heard first.
func (m *Machine) reconnect() {
	wait := reconnectInterval
	if m.aliveCount == 0 {
		wait = joinInterval << min(m.reconnectAttempts, 3)
	}
	m.nextReconnect = m.now + m.jitter(wait)
	m.reconnectAttempts++
	if m.aliveCount > 0 && m.reconnectAttempts%reconnectsPerSeed != 0 {
		for _, x := range m.sampleMembers(1, func(x *member) bool { return x.State == Dead }) {
			m.send(x.Addr, &Message{Kind: Ping, To: x.Name, Nonce: m.newNonce()}, x)
			return
		}
	}
	var strangers []string
	for _, s := range m.cfg.Seeds {
		if s != m.cfg.Addr && !slices.ContainsFunc(m.names, func(n string) bool { return m.members[n].Addr == s && m.members[n].State <= Suspect }) {
			strangers = append(strangers, s)
		}
	}
	if len(strangers) > 0 {
		m.send(strangers[m.rng.IntN(len(strangers))], &Message{Kind: Ping, Nonce: m.newNonce()}, nil)
	}
}

// forget drops who has been gone for long.
func (m *Machine) reapMembers() {
	if m.now-m.lastReap < reapInterval {
		return
	}
	m.lastReap = m.now
	m.names = slices.DeleteFunc(m.names, func(n string) bool {
		x := m.members[n]
		if x.State == Left && m.now-x.stateSince > leftRetention || x.State == Dead && m.now-x.stateSince > deadRetention {
			m.viewHash ^= updateHash(x.Update)
			m.version++
			m.changes = append(m.changes, Change{Update: x.Update, Previous: x.State, Forgotten: true})
			delete(m.members, n)
			return true
		}
		return false
	})
}

// Leave tells a few members that this one goes; it takes part no longer.
func (m *Machine) Leave(now time.Duration) []Envelope {
	m.now, m.outbox = max(now, m.now), nil
	if m.left || m.leftReason != "" {
		return nil
	}
	m.left = true
	m.self.State = Left
	for _, x := range m.sampleMembers(leaveFanout, func(x *member) bool { return x.State <= Suspect }) {
		m.send(x.Addr, &Message{To: x.Name}, nil)
	}
	return m.outbox
}

// Receive takes a message in, and returns what is to be answered.
func (m *Machine) Receive(now time.Duration, msg *Message) []Envelope {
	m.now, m.outbox = max(now, m.now), nil
	from := msg.Self
	switch {
	case m.leftReason != "" || m.left:
		return nil
	case from.Name == m.self.Name && from.Incarnation == m.self.Incarnation, msg.To != "" && msg.To != m.self.Name:
		m.counts.Stray++
		return nil
	case !validUpdate(from):
		m.counts.Stray++
		return nil
	}
	if from.Name == m.self.Name {
		m.resolveNameConflict(from)
		return m.outbox
	}
	if x := m.members[from.Name]; x != nil && x.Incarnation > from.Incarnation {
		m.counts.EndedIncarnation++
		if from.State <= Suspect { // whoever it is, it is told who has its name now
			m.send(from.Addr, &Message{To: from.Name}, x)
		}
		return m.outbox
	}
	m.apply(from)
	for _, u := range msg.Updates[:min(len(msg.Updates), maxUpdatesRead)] {
		m.apply(u)
	}
	x := m.members[from.Name]
	if x == nil { // no room
		return m.outbox
	}
	x.heardAt = m.now
	switch msg.Kind {
	case Ping:
		m.send(from.Addr, &Message{Kind: Ack, To: from.Name, Nonce: msg.Nonce}, x)
	case Ack:
		m.handleAck(msg.Nonce)
	case PingReq:
		if t := m.members[msg.Target]; t != nil && len(m.relays) < maxRelays {
			r := relay{nonce: m.newNonce(), originNonce: msg.Nonce, originAddr: from.Addr, expiresAt: m.now + m.cfg.ProbeInterval}
			m.relays = append(m.relays, r)
			m.send(t.Addr, &Message{Kind: Ping, To: t.Name, Nonce: r.nonce}, t)
		}
	case RosterRequest:
		m.sendRosterPage(from.Addr, msg.After, from.Name)
	case Roster:
		if m.syncWith != from.Name {
			break
		}
		m.syncProgressAt = m.now
		if m.syncWith = ""; msg.More && len(msg.Updates) > 0 {
			m.syncWith = from.Name
			m.send(from.Addr, &Message{Kind: RosterRequest, To: from.Name, After: msg.Updates[len(msg.Updates)-1].Name}, nil)
		}
	}
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool { return m.now > r.expiresAt })
	m.syncIfDifferent(msg, from)
	return m.outbox
}

func (m *Machine) handleAck(nonce uint64) {
	if m.probe.began && nonce == m.probe.nonce {
		m.probe.acked = true
	}
	for i, r := range m.relays {
		if r.nonce == nonce {
			m.send(r.originAddr, &Message{Kind: Ack, Nonce: r.originNonce}, nil)
			m.relays = slices.Delete(m.relays, i, i+1)
			return
		}
	}
}

// compare reads another's whole roster where the two differ, not too often: rumours end, and this does not.
func (m *Machine) syncIfDifferent(msg *Message, from Update) {
	if m.syncWith != "" && m.now-m.syncProgressAt > syncInterval {
		m.syncWith = ""
	}
	if msg.ViewHash == m.viewHash || m.now < m.nextSync || m.syncWith != "" || from.State > Suspect {
		return
	}
	m.nextSync = m.now + m.jitter(syncInterval*time.Duration(1+len(m.names)/membersPerSyncInterval))
	m.syncWith, m.syncProgressAt = from.Name, m.now
	m.send(from.Addr, &Message{Kind: RosterRequest, To: from.Name}, nil)
}

// page answers with the members after a name.
func (m *Machine) sendRosterPage(to, after, name string) {
	msg := &Message{Kind: Roster, To: name, After: after}
	i, found := slices.BinarySearch(m.names, after)
	if found {
		i++
	}
	for ; i < len(m.names) && len(msg.Updates) < rosterPageSize; i++ {
		msg.Updates = append(msg.Updates, m.members[m.names[i]].Update)
	}
	msg.More = i < len(m.names)
	m.outbox = append(m.outbox, Envelope{to, m.fromSelf(msg)})
}

// namesake deals with another process of this member's name: an earlier one of its own, or one that should not be there.
func (m *Machine) resolveNameConflict(u Update) {
	if u.Incarnation <= m.self.Incarnation {
		m.counts.EndedIncarnation++
		return
	}
	if m.takeovers++; m.takeovers > maxNameTakeovers {
		m.leftReason = "another member at " + u.Addr + " has this name"
		m.version++
		return
	}
	m.viewHash ^= updateHash(m.self)
	m.self.Incarnation, m.self.Refutation = u.Incarnation+1, 0
	m.viewHash ^= updateHash(m.self)
	m.version++
	m.broadcast(m.self)
}

func validUpdate(u Update) bool {
	return u.Name != "" && len(u.Name) <= maxStringBytes && len(u.Addr) <= maxStringBytes && len(u.Zone) <= maxStringBytes && u.Addr != "" && u.State <= Left
}

// apply takes over what overrides what is held.
func (m *Machine) apply(u Update) {
	if !validUpdate(u) {
		m.counts.Stray++
		return
	}
	if u.Name == m.self.Name {
		switch {
		case u.Incarnation > m.self.Incarnation:
			m.resolveNameConflict(u)
		case u.Incarnation == m.self.Incarnation && u.State != Alive && u.Refutation >= m.self.Refutation: // it is not so
			m.viewHash ^= updateHash(m.self)
			m.self.Refutation = u.Refutation + 1
			m.viewHash ^= updateHash(m.self)
			m.counts.Refuted++
			m.degradeHealth()
			m.version++
			m.broadcast(m.self)
			if u.Refused { // there is a moment only
				m.notifyAtOnce(m.self)
			}
		}
		return
	}
	x := m.members[u.Name]
	if x == nil {
		if u.State > Suspect { // who was never there is not missed, and who was forgotten is not remembered again
			return
		}
		if len(m.members) >= MaxMembers {
			m.counts.Full++
			return
		}
		x = &member{stateSince: m.now}
		m.members[u.Name] = x
		i, _ := slices.BinarySearch(m.names, u.Name)
		m.names = slices.Insert(m.names, i, u.Name)
		m.probeRound = append(m.probeRound, u.Name)
		m.setMember(x, u, true)
		return
	}
	if u.Refused && m.now < x.hintsIgnoredUntil {
		u.Refused = false
	}
	if u.overrides(x.Update) {
		m.setMember(x, u, false)
		m.confirmRefusal(x, u)
		return
	}
	m.confirmRefusal(x, u)
	if u.State == Suspect && x.State == Suspect && u.Incarnation == x.Incarnation && u.Refutation == x.Refutation && u.SuspectedBy != "" && !slices.Contains(x.suspectedBy, u.SuspectedBy) && len(x.suspectedBy) <= indirectProbes {
		x.suspectedBy = append(x.suspectedBy, u.SuspectedBy)
		x.suspicionEnd = min(x.suspicionEnd, x.suspicionStart+m.suspicionTimeout(len(x.suspectedBy)-1))
		m.broadcast(u)
	}
}

// Refused takes note that a message to an address was turned back by its host: no process listens there. That is a hint and no more (it may
// be forged, or of one way alone), but one that comes within a moment of a death: the others are told at once, try themselves, and where two
// were turned back and nobody refutes it, the member is held to be dead without the patience that silence needs.
func (m *Machine) HandleRefusal(now time.Duration, addr string) []Envelope {
	m.now, m.outbox = max(now, m.now), nil
	if m.leftReason != "" || m.left {
		return nil
	}
	for _, n := range m.names {
		x := m.members[n]
		if x.Addr != addr || x.State > Suspect || m.now < x.hintsIgnoredUntil || slices.Contains(x.refusedBy, m.self.Name) {
			continue
		}
		m.counts.Refusals++
		u := x.Update
		u.State, u.SuspectedBy, u.Refused = Suspect, m.self.Name, true
		m.apply(u)
		m.notifyAtOnce(u)
	}
	return m.outbox
}

// spreadWord tells a few members at once.
func (m *Machine) notifyAtOnce(u Update) {
	for _, h := range m.sampleMembers(refusalFanout, func(h *member) bool { return h.State == Alive }) {
		m.outbox = append(m.outbox, Envelope{h.Addr, m.fromSelf(&Message{To: h.Name, Updates: []Update{u}})})
	}
}

// confirm counts who was turned back by a suspected member, and tries itself where it was not among them.
func (m *Machine) confirmRefusal(x *member, u Update) {
	if !u.Refused || u.State != Suspect || x.State != Suspect || u.Incarnation != x.Incarnation || u.Refutation != x.Refutation || u.SuspectedBy == "" || slices.Contains(x.refusedBy, u.SuspectedBy) || len(x.refusedBy) > refusalFanout {
		return
	}
	x.refusedBy = append(x.refusedBy, u.SuspectedBy)
	if len(x.refusedBy) >= refusalQuorum {
		x.suspicionEnd = min(x.suspicionEnd, m.now+refusalSuspicionTimeout)
	}
	if !slices.Contains(x.refusedBy, m.self.Name) && (x.refusalProbedAt == 0 || m.now-x.refusalProbedAt >= refusalProbeInterval) {
		x.refusalProbedAt = m.now
		m.send(x.Addr, &Message{Kind: Ping, To: x.Name, Nonce: m.newNonce()}, x)
	}
}

func (m *Machine) setMember(x *member, u Update, fresh bool) {
	was, lived := x.Update, x.Incarnation
	if !fresh {
		m.viewHash ^= updateHash(was)
		if was.State <= Suspect {
			m.aliveCount--
		}
		if was.State == Suspect {
			i, _ := slices.BinarySearch(m.suspects, was.Name)
			m.suspects = slices.Delete(m.suspects, i, i+1)
		}
	}
	if x.refusedBy != nil && u.State == Alive && u.Incarnation == was.Incarnation { // it was there all the time
		x.hintsIgnoredUntil = m.now + refusalDistrustTime
	} else if u.Incarnation != was.Incarnation {
		x.hintsIgnoredUntil = 0
	}
	told := u.State == Dead && len(x.refusedBy) >= refusalQuorum
	x.refusedBy = nil
	if u.Zone == "" && u.Incarnation == was.Incarnation {
		u.Zone = was.Zone
	}
	x.Update = u
	m.viewHash ^= updateHash(u)
	if u.State <= Suspect {
		m.aliveCount++
	}
	if u.State != was.State || u.Incarnation != lived || fresh {
		x.stateSince = m.now
		m.changes = append(m.changes, Change{Update: u, Previous: was.State, New: fresh || u.Incarnation != lived, Confirmed: told})
	}
	if x.suspectedBy = nil; u.State == Suspect {
		i, _ := slices.BinarySearch(m.suspects, u.Name)
		m.suspects = slices.Insert(m.suspects, i, u.Name)
		x.suspectedBy = []string{u.SuspectedBy}
		x.suspicionStart = m.now
		x.suspicionEnd = m.now + m.suspicionTimeout(0)
	}
	m.version++
	m.broadcast(u)
}

// patience is how long a suspicion lasts that so many have confirmed: the more, the shorter.
func (m *Machine) suspicionTimeout(confirmed int) time.Duration {
	n := float64(m.aliveCount + 1)
	least := minSuspicionIntervals * float64(m.cfg.ProbeInterval) * max(1, math.Log10(n))
	most := least * suspicionMaxFactor
	k := min(indirectProbes, m.aliveCount-2) // others that could confirm it
	if k < 1 {
		return time.Duration(least)
	}
	part := math.Log(float64(confirmed)+1) / math.Log(float64(k)+1)
	return time.Duration(max(least, most-(most-least)*part))
}

// tell puts an update among those that go with messages.
func (m *Machine) broadcast(u Update) {
	m.rumors = slices.DeleteFunc(m.rumors, func(r *rumor) bool {
		return r.update.Name == u.Name && (r.update.SuspectedBy == u.SuspectedBy || r.update.State != u.State)
	})
	if len(m.rumors) >= maxRumors {
		m.rumors = m.rumors[1:]
	}
	m.rumors = append(m.rumors, &rumor{update: u})
}

// send adds the rumours that were told least, and what is believed of a member that it ought to hear itself.
func (m *Machine) send(addr string, msg *Message, about *member) {
	if about != nil && about.State != Alive {
		msg.Updates = append(msg.Updates, about.Update)
	}
	most := int(math.Ceil(retransmitFactor * math.Log2(float64(len(m.names)+2))))
	slices.SortStableFunc(m.rumors, func(a, b *rumor) int { return cmp.Compare(a.transmits, b.transmits) })
	for _, r := range m.rumors[:min(len(m.rumors), updatesPerMessage)] {
		msg.Updates = append(msg.Updates, r.update)
		r.transmits++
	}
	m.rumors = slices.DeleteFunc(m.rumors, func(r *rumor) bool { return r.transmits >= most })
	m.outbox = append(m.outbox, Envelope{addr, m.fromSelf(msg)})
}

// stamp says who sends.
func (m *Machine) fromSelf(msg *Message) *Message {
	msg.Self, msg.ViewHash = m.self, m.viewHash
	return msg
}

// sumOf is one update's part of a view's sum. Who suspects is no part of it, and neither is who has gone: that is forgotten at
// a different time by each.
func updateHash(u Update) uint64 {
	if u.State > Suspect {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(u.Name))
	var b [8 + 4 + 1]byte
	for i := range 8 {
		b[i] = byte(u.Incarnation >> (8 * i))
	}
	for i := range 4 {
		b[8+i] = byte(u.Refutation >> (8 * i))
	}
	b[12] = byte(u.State)
	h.Write(b[:])
	return h.Sum64()
}
