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
func (u Update) over(v Update) bool {
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
	Period           time.Duration // between two probes
	Timeout          time.Duration // of a direct probe; then others are asked to try
}

// MaxMembers bounds the other members that are known, those that have gone among them. Memory is taken by need.
const MaxMembers = 4096

// Usual times and bounds.
const (
	DefaultPeriod   = 200 * time.Millisecond
	DefaultTimeout  = 80 * time.Millisecond
	helpers         = 3                // members that are asked to probe in one's place
	suspectPeriods  = 2.5              // least time of a suspicion, in periods
	suspectMost     = 3                // times that, without any confirmation
	mostHealth      = 8                // of the local health: timeouts grow up to so many times and one
	piggyback       = 6                // updates in a message
	pageSize        = 12               // members in a page of the roster
	retransmit      = 3.0              // times log2 of the members that an update is sent on
	reachOut        = time.Second      // between two tries to reach a seed or a dead member, of all together
	syncEvery       = time.Second      // between two comparisons of whole rosters, at the least
	syncMembers     = 40               // members for each of which that time grows by itself
	deadKept        = 10 * time.Minute // a dead member is tried and remembered for so long
	leftKept        = time.Minute      // the same of one that left
	forgetEvery     = time.Second
	mostName        = 64
	mostLives       = 3 // lives that are taken on after others of the name, before it is held to be in use
	leaveFanout     = 8
	relaysKept      = 4 * helpers
	stalledPeriods  = 1.5                    // a tick so late says that this process did not run
	reachDeadEvery  = 3                      // of the tries one in so many goes to a seed, the others to dead members
	firstReachOut   = 100 * time.Millisecond // the same while nobody is known
	mostRumors      = 1024
	mostUpdatesRead = 64
	refusedMembers  = 2                      // members that were turned back: what that takes to shorten a suspicion
	refusedPatience = 60 * time.Millisecond  // for a refutation then
	refusedAgain    = 100 * time.Millisecond // between two tries of one's own to confirm that
	refusedDoubted  = 10 * time.Second       // such hints count for nothing after one of them was refuted
	refusedFanout   = 8                      // members that are told at once
)

type member struct {
	Update
	since  time.Duration // of the state
	until  time.Duration // of a suspicion
	began  time.Duration // of a suspicion
	by     []string      // who suspects it
	direct time.Duration // when it was last heard itself; 0: never

	refused []string      // who was turned back at its address, in this suspicion
	tried   time.Duration // when this member last tried to confirm that
	doubted time.Duration // hints are ignored until then
}

type rumor struct {
	u    Update
	sent int
}

type probe struct {
	target          string
	nonce           uint64
	at, help, until time.Duration
	asked, acked    bool
	began           bool
}

type relay struct {
	nonce, origin uint64
	addr          string
	until         time.Duration
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
	cfg      Config
	rng      *rand.Rand
	now      time.Duration
	self     Update
	lives    int
	over     string // why it takes part no longer
	leaving  bool
	members  map[string]*member
	names    []string // of all members, sorted
	round    []string // who is probed next
	probe    probe
	next     time.Duration // probe
	reach    time.Duration // next try of a seed or a dead member
	sync     time.Duration // no comparison before
	paging   string        // whose roster is being read
	pageAt   time.Duration
	health   int
	rumors   []*rumor
	relays   []relay
	sum      uint64 // over all updates held
	version  uint64
	counts   Counts
	lastTick time.Duration
	tries    int
	out      []Envelope
	notes    []Change
	alive    int
	suspects []string      // names, sorted
	forgot   time.Duration // when who has gone was last looked for
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
	cfg.Period = cmp.Or(cfg.Period, DefaultPeriod)
	cfg.Timeout = cmp.Or(cfg.Timeout, min(DefaultTimeout, cfg.Period*2/5))
	m := &Machine{
		cfg: cfg, rng: rng, now: now, members: map[string]*member{}, lastTick: now,
		self: Update{Name: cfg.Name, Addr: cfg.Addr, Zone: cfg.Zone, Incarnation: cfg.Incarnation},
	}
	m.next = now + m.spread(cfg.Period)
	m.reach = now
	m.sum = sumOf(m.self)
	return m
}

// spread draws a time around d, so that what all do does not happen at one moment.
func (m *Machine) spread(d time.Duration) time.Duration {
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
func (m *Machine) LeftReason() string { return m.over }

// Alive is how many others are held to be there, the suspected among them.
func (m *Machine) AliveCount() int { return m.alive }

// Members are all others that are known, by name.
func (m *Machine) Members() []Member {
	out := make([]Member, 0, len(m.names))
	for _, n := range m.names {
		x := m.members[n]
		out = append(out, Member{Update: x.Update, Since: x.since, HeardAt: x.direct})
	}
	return out
}

// Member returns what is believed of one.
func (m *Machine) Member(name string) (Member, bool) {
	x := m.members[name]
	if x == nil {
		return Member{}, false
	}
	return Member{Update: x.Update, Since: x.since, HeardAt: x.direct}, true
}

// Changes hands over what has changed since it was last called.
func (m *Machine) Changes() []Change {
	c := m.notes
	m.notes = nil
	return c
}

// Due is when Tick has something to do.
func (m *Machine) NextTick() time.Duration {
	due := min(m.next, m.reach)
	if m.probe.began {
		if m.probe.acked || m.probe.asked {
			due = min(due, m.probe.until)
		} else {
			due = min(due, m.probe.help)
		}
	}
	for _, n := range m.suspects {
		due = min(due, m.members[n].until)
	}
	return due
}

// Tick does what is due.
func (m *Machine) Tick(now time.Duration) []Envelope {
	m.now, m.out = max(now, m.now), nil
	if m.over != "" || m.leaving {
		m.lastTick, m.next, m.reach = m.now, m.now+time.Hour, m.now+time.Hour
		m.probe = probe{}
		return nil
	}
	m.stall()
	m.lastTick = m.now
	m.endProbe()
	for i := 0; i < len(m.suspects); {
		x := m.members[m.suspects[i]]
		if m.now < x.until {
			i++
			continue
		}
		dead, told := x.Update, len(x.refused) >= refusedMembers
		dead.State, dead.SuspectedBy, dead.Refused = Dead, m.self.Name, false
		m.apply(dead) // it is no suspect any more
		if told {     // the others have suspected it for a moment only
			m.spreadWord(dead)
		}
	}
	if m.now >= m.next && !m.probe.began {
		m.beginProbe()
	}
	if m.now >= m.reach {
		m.reachOut()
	}
	m.forget()
	return m.out
}

// stall notices that this process has not run: what it did not hear meanwhile says nothing of the others.
func (m *Machine) stall() {
	late := m.now - max(m.lastTick, min(m.next, m.reach))
	if late < time.Duration(stalledPeriods*float64(m.cfg.Period)) {
		return
	}
	m.counts.Stalls++
	m.worse()
	m.probe = probe{}
	m.next = m.now + m.spread(m.cfg.Period)
	for _, n := range m.suspects {
		m.members[n].until += late
	}
}

func (m *Machine) worse()  { m.health = min(mostHealth, m.health+1) }
func (m *Machine) better() { m.health = max(0, m.health-1) }

// stretched is a time as it is while this member's own health is poor.
func (m *Machine) stretched(d time.Duration) time.Duration {
	return d * time.Duration(1+m.health)
}

func (m *Machine) beginProbe() {
	target := m.nextTarget()
	m.next = m.now + m.stretched(m.cfg.Period)
	if target == "" {
		return
	}
	x := m.members[target]
	m.probe = probe{target: target, nonce: m.nonce(), at: m.now, help: m.now + m.stretched(m.cfg.Timeout), until: m.next, began: true}
	m.send(x.Addr, &Message{Kind: Ping, To: target, Nonce: m.probe.nonce}, x)
}

func (m *Machine) nonce() uint64 { return m.rng.Uint64() | 1 }

// nextTarget goes round all members that are not known to be gone, in an order drawn anew each time.
func (m *Machine) nextTarget() string {
	for range 2 {
		for len(m.round) > 0 {
			n := m.round[len(m.round)-1]
			m.round = m.round[:len(m.round)-1]
			if x := m.members[n]; x != nil && x.State <= Suspect {
				return n
			}
		}
		m.round = slices.Clone(m.names)
		m.rng.Shuffle(len(m.round), func(i, j int) { m.round[i], m.round[j] = m.round[j], m.round[i] })
	}
	return ""
}

// endProbe asks others to try where no answer came, and suspects where none came to them.
func (m *Machine) endProbe() {
	p := &m.probe
	x := m.members[p.target]
	switch {
	case !p.began:
	case x == nil || x.State > Suspect:
		*p = probe{}
	case p.acked:
		if m.now >= p.until {
			m.better()
			*p = probe{}
		}
	case !p.asked && m.now >= p.help:
		p.asked = true
		for _, h := range m.some(helpers, func(h *member) bool { return h.State == Alive && h.Name != p.target }) {
			m.send(h.Addr, &Message{Kind: PingReq, To: h.Name, Nonce: p.nonce, Target: p.target}, x)
		}
	case p.asked && m.now >= p.until:
		m.worse()
		u := x.Update
		u.State, u.SuspectedBy, u.Refused = Suspect, m.self.Name, false
		*p = probe{}
		m.apply(u)
	}
}

// some draws a few members.
func (m *Machine) some(n int, of func(*member) bool) (out []*member) {
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
	for _, x := range m.some(n, func(x *member) bool { return x.State <= Suspect }) {
		out = append(out, x.Update)
	}
	return out
}

// reachOut tries a seed that is nobody's address, or a member that is held to be dead: a part that was cut off comes back
// by itself, from whichever side is heard first.
func (m *Machine) reachOut() {
	wait := reachOut
	if m.alive == 0 {
		wait = firstReachOut << min(m.tries, 3)
	}
	m.reach = m.now + m.spread(wait)
	m.tries++
	if m.alive > 0 && m.tries%reachDeadEvery != 0 {
		for _, x := range m.some(1, func(x *member) bool { return x.State == Dead }) {
			m.send(x.Addr, &Message{Kind: Ping, To: x.Name, Nonce: m.nonce()}, x)
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
		m.send(strangers[m.rng.IntN(len(strangers))], &Message{Kind: Ping, Nonce: m.nonce()}, nil)
	}
}

// forget drops who has been gone for long.
func (m *Machine) forget() {
	if m.now-m.forgot < forgetEvery {
		return
	}
	m.forgot = m.now
	m.names = slices.DeleteFunc(m.names, func(n string) bool {
		x := m.members[n]
		if x.State == Left && m.now-x.since > leftKept || x.State == Dead && m.now-x.since > deadKept {
			m.sum ^= sumOf(x.Update)
			m.version++
			m.notes = append(m.notes, Change{Update: x.Update, Previous: x.State, Forgotten: true})
			delete(m.members, n)
			return true
		}
		return false
	})
}

// Leave tells a few members that this one goes; it takes part no longer.
func (m *Machine) Leave(now time.Duration) []Envelope {
	m.now, m.out = max(now, m.now), nil
	if m.leaving || m.over != "" {
		return nil
	}
	m.leaving = true
	m.self.State = Left
	for _, x := range m.some(leaveFanout, func(x *member) bool { return x.State <= Suspect }) {
		m.send(x.Addr, &Message{To: x.Name}, nil)
	}
	return m.out
}

// Receive takes a message in, and returns what is to be answered.
func (m *Machine) Receive(now time.Duration, msg *Message) []Envelope {
	m.now, m.out = max(now, m.now), nil
	from := msg.Self
	switch {
	case m.over != "" || m.leaving:
		return nil
	case from.Name == m.self.Name && from.Incarnation == m.self.Incarnation, msg.To != "" && msg.To != m.self.Name:
		m.counts.Stray++
		return nil
	case !usable(from):
		m.counts.Stray++
		return nil
	}
	if from.Name == m.self.Name {
		m.namesake(from)
		return m.out
	}
	if x := m.members[from.Name]; x != nil && x.Incarnation > from.Incarnation {
		m.counts.EndedIncarnation++
		if from.State <= Suspect { // whoever it is, it is told who has its name now
			m.send(from.Addr, &Message{To: from.Name}, x)
		}
		return m.out
	}
	m.apply(from)
	for _, u := range msg.Updates[:min(len(msg.Updates), mostUpdatesRead)] {
		m.apply(u)
	}
	x := m.members[from.Name]
	if x == nil { // no room
		return m.out
	}
	x.direct = m.now
	switch msg.Kind {
	case Ping:
		m.send(from.Addr, &Message{Kind: Ack, To: from.Name, Nonce: msg.Nonce}, x)
	case Ack:
		m.acked(msg.Nonce)
	case PingReq:
		if t := m.members[msg.Target]; t != nil && len(m.relays) < relaysKept {
			r := relay{nonce: m.nonce(), origin: msg.Nonce, addr: from.Addr, until: m.now + m.cfg.Period}
			m.relays = append(m.relays, r)
			m.send(t.Addr, &Message{Kind: Ping, To: t.Name, Nonce: r.nonce}, t)
		}
	case RosterRequest:
		m.page(from.Addr, msg.After, from.Name)
	case Roster:
		if m.paging != from.Name {
			break
		}
		m.pageAt = m.now
		if m.paging = ""; msg.More && len(msg.Updates) > 0 {
			m.paging = from.Name
			m.send(from.Addr, &Message{Kind: RosterRequest, To: from.Name, After: msg.Updates[len(msg.Updates)-1].Name}, nil)
		}
	}
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool { return m.now > r.until })
	m.compare(msg, from)
	return m.out
}

func (m *Machine) acked(nonce uint64) {
	if m.probe.began && nonce == m.probe.nonce {
		m.probe.acked = true
	}
	for i, r := range m.relays {
		if r.nonce == nonce {
			m.send(r.addr, &Message{Kind: Ack, Nonce: r.origin}, nil)
			m.relays = slices.Delete(m.relays, i, i+1)
			return
		}
	}
}

// compare reads another's whole roster where the two differ, not too often: rumours end, and this does not.
func (m *Machine) compare(msg *Message, from Update) {
	if m.paging != "" && m.now-m.pageAt > syncEvery {
		m.paging = ""
	}
	if msg.ViewHash == m.sum || m.now < m.sync || m.paging != "" || from.State > Suspect {
		return
	}
	m.sync = m.now + m.spread(syncEvery*time.Duration(1+len(m.names)/syncMembers))
	m.paging, m.pageAt = from.Name, m.now
	m.send(from.Addr, &Message{Kind: RosterRequest, To: from.Name}, nil)
}

// page answers with the members after a name.
func (m *Machine) page(to, after, name string) {
	msg := &Message{Kind: Roster, To: name, After: after}
	i, found := slices.BinarySearch(m.names, after)
	if found {
		i++
	}
	for ; i < len(m.names) && len(msg.Updates) < pageSize; i++ {
		msg.Updates = append(msg.Updates, m.members[m.names[i]].Update)
	}
	msg.More = i < len(m.names)
	m.out = append(m.out, Envelope{to, m.stamp(msg)})
}

// namesake deals with another process of this member's name: an earlier one of its own, or one that should not be there.
func (m *Machine) namesake(u Update) {
	if u.Incarnation <= m.self.Incarnation {
		m.counts.EndedIncarnation++
		return
	}
	if m.lives++; m.lives > mostLives {
		m.over = "another member at " + u.Addr + " has this name"
		m.version++
		return
	}
	m.sum ^= sumOf(m.self)
	m.self.Incarnation, m.self.Refutation = u.Incarnation+1, 0
	m.sum ^= sumOf(m.self)
	m.version++
	m.tell(m.self)
}

func usable(u Update) bool {
	return u.Name != "" && len(u.Name) <= mostName && len(u.Addr) <= mostName && len(u.Zone) <= mostName && u.Addr != "" && u.State <= Left
}

// apply takes over what overrides what is held.
func (m *Machine) apply(u Update) {
	if !usable(u) {
		m.counts.Stray++
		return
	}
	if u.Name == m.self.Name {
		switch {
		case u.Incarnation > m.self.Incarnation:
			m.namesake(u)
		case u.Incarnation == m.self.Incarnation && u.State != Alive && u.Refutation >= m.self.Refutation: // it is not so
			m.sum ^= sumOf(m.self)
			m.self.Refutation = u.Refutation + 1
			m.sum ^= sumOf(m.self)
			m.counts.Refuted++
			m.worse()
			m.version++
			m.tell(m.self)
			if u.Refused { // there is a moment only
				m.spreadWord(m.self)
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
		x = &member{since: m.now}
		m.members[u.Name] = x
		i, _ := slices.BinarySearch(m.names, u.Name)
		m.names = slices.Insert(m.names, i, u.Name)
		m.round = append(m.round, u.Name)
		m.set(x, u, true)
		return
	}
	if u.Refused && m.now < x.doubted {
		u.Refused = false
	}
	if u.over(x.Update) {
		m.set(x, u, false)
		m.confirm(x, u)
		return
	}
	m.confirm(x, u)
	if u.State == Suspect && x.State == Suspect && u.Incarnation == x.Incarnation && u.Refutation == x.Refutation && u.SuspectedBy != "" && !slices.Contains(x.by, u.SuspectedBy) && len(x.by) <= helpers {
		x.by = append(x.by, u.SuspectedBy)
		x.until = min(x.until, x.began+m.patience(len(x.by)-1))
		m.tell(u)
	}
}

// Refused takes note that a message to an address was turned back by its host: no process listens there. That is a hint and no more (it may
// be forged, or of one way alone), but one that comes within a moment of a death: the others are told at once, try themselves, and where two
// were turned back and nobody refutes it, the member is held to be dead without the patience that silence needs.
func (m *Machine) Refused(now time.Duration, addr string) []Envelope {
	m.now, m.out = max(now, m.now), nil
	if m.over != "" || m.leaving {
		return nil
	}
	for _, n := range m.names {
		x := m.members[n]
		if x.Addr != addr || x.State > Suspect || m.now < x.doubted || slices.Contains(x.refused, m.self.Name) {
			continue
		}
		m.counts.Refusals++
		u := x.Update
		u.State, u.SuspectedBy, u.Refused = Suspect, m.self.Name, true
		m.apply(u)
		m.spreadWord(u)
	}
	return m.out
}

// spreadWord tells a few members at once.
func (m *Machine) spreadWord(u Update) {
	for _, h := range m.some(refusedFanout, func(h *member) bool { return h.State == Alive }) {
		m.out = append(m.out, Envelope{h.Addr, m.stamp(&Message{To: h.Name, Updates: []Update{u}})})
	}
}

// confirm counts who was turned back by a suspected member, and tries itself where it was not among them.
func (m *Machine) confirm(x *member, u Update) {
	if !u.Refused || u.State != Suspect || x.State != Suspect || u.Incarnation != x.Incarnation || u.Refutation != x.Refutation || u.SuspectedBy == "" || slices.Contains(x.refused, u.SuspectedBy) || len(x.refused) > refusedFanout {
		return
	}
	x.refused = append(x.refused, u.SuspectedBy)
	if len(x.refused) >= refusedMembers {
		x.until = min(x.until, m.now+refusedPatience)
	}
	if !slices.Contains(x.refused, m.self.Name) && (x.tried == 0 || m.now-x.tried >= refusedAgain) {
		x.tried = m.now
		m.send(x.Addr, &Message{Kind: Ping, To: x.Name, Nonce: m.nonce()}, x)
	}
}

func (m *Machine) set(x *member, u Update, fresh bool) {
	was, lived := x.Update, x.Incarnation
	if !fresh {
		m.sum ^= sumOf(was)
		if was.State <= Suspect {
			m.alive--
		}
		if was.State == Suspect {
			i, _ := slices.BinarySearch(m.suspects, was.Name)
			m.suspects = slices.Delete(m.suspects, i, i+1)
		}
	}
	if x.refused != nil && u.State == Alive && u.Incarnation == was.Incarnation { // it was there all the time
		x.doubted = m.now + refusedDoubted
	} else if u.Incarnation != was.Incarnation {
		x.doubted = 0
	}
	told := u.State == Dead && len(x.refused) >= refusedMembers
	x.refused = nil
	if u.Zone == "" && u.Incarnation == was.Incarnation {
		u.Zone = was.Zone
	}
	x.Update = u
	m.sum ^= sumOf(u)
	if u.State <= Suspect {
		m.alive++
	}
	if u.State != was.State || u.Incarnation != lived || fresh {
		x.since = m.now
		m.notes = append(m.notes, Change{Update: u, Previous: was.State, New: fresh || u.Incarnation != lived, Confirmed: told})
	}
	if x.by = nil; u.State == Suspect {
		i, _ := slices.BinarySearch(m.suspects, u.Name)
		m.suspects = slices.Insert(m.suspects, i, u.Name)
		x.by = []string{u.SuspectedBy}
		x.began = m.now
		x.until = m.now + m.patience(0)
	}
	m.version++
	m.tell(u)
}

// patience is how long a suspicion lasts that so many have confirmed: the more, the shorter.
func (m *Machine) patience(confirmed int) time.Duration {
	n := float64(m.alive + 1)
	least := suspectPeriods * float64(m.cfg.Period) * max(1, math.Log10(n))
	most := least * suspectMost
	k := min(helpers, m.alive-2) // others that could confirm it
	if k < 1 {
		return time.Duration(least)
	}
	part := math.Log(float64(confirmed)+1) / math.Log(float64(k)+1)
	return time.Duration(max(least, most-(most-least)*part))
}

// tell puts an update among those that go with messages.
func (m *Machine) tell(u Update) {
	m.rumors = slices.DeleteFunc(m.rumors, func(r *rumor) bool {
		return r.u.Name == u.Name && (r.u.SuspectedBy == u.SuspectedBy || r.u.State != u.State)
	})
	if len(m.rumors) >= mostRumors {
		m.rumors = m.rumors[1:]
	}
	m.rumors = append(m.rumors, &rumor{u: u})
}

// send adds the rumours that were told least, and what is believed of a member that it ought to hear itself.
func (m *Machine) send(addr string, msg *Message, about *member) {
	if about != nil && about.State != Alive {
		msg.Updates = append(msg.Updates, about.Update)
	}
	most := int(math.Ceil(retransmit * math.Log2(float64(len(m.names)+2))))
	slices.SortStableFunc(m.rumors, func(a, b *rumor) int { return cmp.Compare(a.sent, b.sent) })
	for _, r := range m.rumors[:min(len(m.rumors), piggyback)] {
		msg.Updates = append(msg.Updates, r.u)
		r.sent++
	}
	m.rumors = slices.DeleteFunc(m.rumors, func(r *rumor) bool { return r.sent >= most })
	m.out = append(m.out, Envelope{addr, m.stamp(msg)})
}

// stamp says who sends.
func (m *Machine) stamp(msg *Message) *Message {
	msg.Self, msg.ViewHash = m.self, m.sum
	return msg
}

// sumOf is one update's part of a view's sum. Who suspects is no part of it, and neither is who has gone: that is forgotten at
// a different time by each.
func sumOf(u Update) uint64 {
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
