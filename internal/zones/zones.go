// Package halls says what each hall can take now, how much of this instance's work leaves its own hall and why, and how a hall
// that was lost is let in again. In: the list of nodes, what was sent and how it ended, what probes found, drills, each
// with its time. Out: facts for the decision module (a price, a rate and a state for each hall, the nodes that are not proven
// again), probes to send, and a status in figures and words. It chooses no node and refuses no request, does no I/O, reads no
// clock and draws nothing: the same calls give the same facts. A Book is for one goroutine.
package zones

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"hitchspring/policy"
)

// State is what a hall is held to be.
type State uint8

// The states.
const (
	Up        State = iota // it takes what the module sends it
	Lost                   // nobody there answers this instance: it gets probes, and no request
	Returning              // it answers again, and gets a rate that grows
	Drained                // taken out on purpose
)

var stateNames = [...]string{"up", "lost", "returning", "drained"}

func (s State) String() string { return stateNames[s] }

// States are the names of all states.
func States() []string { return slices.Clone(stateNames[:]) }

// Config is what an operator says of halls. The zero value of a field is its default.
type Config struct {
	Own               string        // the instance's hall
	Near              []string      // halls of the second tier; those in neither are the third
	NearPrice         float64       // what a node there counts for against one at home with the same load
	FarPrice          float64       // the same in the third tier
	Overprovision     float64       // a hall keeps all its work down to 1/Overprovision of its capacity
	Panic             float64       // below this share of all capacity no hall is preferred and no drill is kept
	Ramp              time.Duration // from a return to the whole rate, at the most
	RampFrom          float64       // share of the rate with which a return begins
	Forget            time.Duration // of a calm hall, after which one step of caution is taken back
	SlowStartWindow   time.Duration // of a node's cold start
	SlowStartShare    float64       // of its capacity at the start
	Probe             bool          // nodes may be probed
	LatencyObjectives map[string]time.Duration
}

// The defaults of Config, which the options file has too.
const (
	DefaultNearPrice     = 2.0
	DefaultFarPrice      = 3.0
	DefaultOverprovision = 1.4
	DefaultPanic         = 0.3
	DefaultRamp          = 4 * time.Second
	DefaultRampFrom      = 0.3
	DefaultForget        = time.Minute
)

// What nobody has had a need to set.
const (
	leastRamp   = time.Second            // also after a loss that was shorter
	mostCaution = 4                      // doublings of the ramp
	remembered  = time.Minute            // for which what a hall once had counts as its own
	probeEvery  = 200 * time.Millisecond // of the nodes of a hall that are not proven
	mostProbes  = 16                     // of a hall at a time
	proofs      = 2                      // answers in a row that prove a node, one more for each step of caution
	staleProof  = 500 * time.Millisecond // an answer older than that says nothing of now
	blindPause  = time.Second            // where nodes may not be probed, a lost hall gets a request after so long
	blindRate   = 1.0                    // and so many a second then
	leastWait   = 300 * time.Millisecond // without an answer before a node can count as silent
	mostWait    = 1500 * time.Millisecond
	waitTimes   = 4.0  // what an answer usually takes, before a node can count as silent
	failsBad    = 2    // failures in a row that make a node bad
	lostShare   = 0.66 // of a hall's nodes that are bad: the hall is lost
	silentTimes = 2.0  // what an answer usually takes, after which one that was called off counts as missing
	slowGain    = 0.15
	slowMost    = 8.0
	slowHalf    = 6.0  // seconds after which half of what was learned of a node's speed is forgotten
	eachHalf    = 30.0 // seconds after which half of what a node was once seen to answer is forgotten
	rateSpan    = 1.0  // seconds over which rates and shares are averaged
	greyBelow   = 0.5  // of what it should have: the hall is called grey
	lateLead    = 0.05 // by which a hall's late answers must exceed the others' to be called pressed
	reliefUp    = 0.10 // a second: preference is given up no faster, so that spill does not swing
	reliefDown  = 0.04
	headroom    = 1.2 // of a returning hall's rate over what proven nodes elsewhere answer
	firstRate   = 2.0 // a second and node, where nobody has answered yet
	paceMost    = time.Second
)

// Node is an entry of the list.
type Backend struct {
	ID      policy.BackendID
	Zone    string
	State   policy.BackendState
	Size    float64       // 0 counts as 1
	Started time.Duration // 0: long ago
}

type node struct {
	Backend
	out          []time.Duration // when the attempts that are out were sent, oldest first
	fails        int             // in a row, since the last answer
	proved       int             // answers in a row since it was last unproven
	unproven     bool
	lastOK, fail time.Duration // the last answer; the first failure of the row
	slow         float64       // latency relative to the fleet's
	slowAt       time.Duration
	probing      bool
}

type hall struct {
	name        string
	tier        int
	nodes       []*node
	state       State
	since       time.Duration
	why         string
	suspect     bool    // half of its nodes are bad: the others are asked
	byList      bool    // lost because the list has no node of it that runs
	wary        bool    // its nodes are believed when they have answered
	peak        float64 // what it has had of late, in usual warm nodes
	peakAt      time.Duration
	lostAt      time.Duration
	rampAt      time.Duration // when its return began
	ramp        time.Duration
	caution     int
	calm        time.Duration // since when it is up and a step of caution could be taken back
	until       time.Duration // of a drill
	probed      time.Duration
	sent, done  meter // attempts and answers a second
	ends, late  meter
	capacity    float64 // what it can take, in usual warm nodes
	warm        float64 // the same, were nobody slow: a node that has much to do looks slow, and is no less for it
	share, rate float64 // of its rate that a returning hall may have; in attempts a second
	price       float64
}

// meter is a rate that forgets: events a second, averaged over rateSpan.
type meter struct {
	v  float64
	at time.Duration
}

func (m *meter) add(now time.Duration, n float64) {
	m.v = m.now(now) + n/rateSpan
	m.at = now
}

func (m *meter) now(now time.Duration) float64 {
	if m.at == 0 {
		return 0
	}
	return m.v * math.Exp(-(now-m.at).Seconds()/rateSpan)
}

// Book is what one instance knows of the halls.
type Tracker struct {
	cfg      Config
	halls    map[string]*hall
	order    []*hall // by name
	nodes    map[policy.BackendID]*node
	usual    map[string]float64 // seconds that an answer of a class takes
	relief   float64            // share of the preference that is given up
	ticked   time.Duration
	perUnit  float64 // answers a second of a usual warm node to this instance, where halls are up
	panicked bool
	reach    float64
	planned  float64
	changes  []Change
}

// Change is something that people should hear of.
type Change struct {
	Zone     string
	From, To State
	Reason   string
	Caution  int
}

// New returns a book that knows no node yet.
func New(cfg Config) *Tracker {
	cfg.NearPrice = cmp.Or(cfg.NearPrice, DefaultNearPrice)
	cfg.FarPrice = cmp.Or(cfg.FarPrice, DefaultFarPrice)
	cfg.Overprovision = cmp.Or(cfg.Overprovision, DefaultOverprovision)
	cfg.Panic = cmp.Or(cfg.Panic, DefaultPanic)
	cfg.Ramp = cmp.Or(cfg.Ramp, DefaultRamp)
	cfg.RampFrom = cmp.Or(cfg.RampFrom, DefaultRampFrom)
	cfg.Forget = cmp.Or(cfg.Forget, DefaultForget)
	return &Tracker{cfg: cfg, halls: map[string]*hall{}, nodes: map[policy.BackendID]*node{}, usual: map[string]float64{}, reach: 1}
}

// Fleet takes the list over, or changes to it.
func (b *Tracker) UpdateBackends(now time.Duration, list []Backend, whole bool) {
	if whole {
		for _, n := range b.nodes {
			n.State = policy.Gone
		}
	}
	for _, e := range list {
		if e.Size <= 0 {
			e.Size = 1
		}
		n := b.nodes[e.ID]
		switch {
		case n == nil:
			n = &node{slow: 1, slowAt: now}
			b.nodes[e.ID] = n
		case n.Started != e.Started || n.State == policy.Gone && e.State == policy.Running: // another process under the old id
			*n = node{out: n.out, slow: 1, slowAt: now, probing: n.probing}
		}
		n.Backend = e
	}
	for _, h := range b.order {
		h.nodes = h.nodes[:0]
	}
	for id, n := range b.nodes {
		if n.State == policy.Gone {
			if len(n.out) == 0 {
				delete(b.nodes, id)
			}
			continue
		}
		h := b.hall(n.Zone, now)
		h.nodes = append(h.nodes, n)
		if h.wary && n.lastOK < h.lostAt {
			n.unproven = true
		}
	}
	for _, h := range b.order {
		slices.SortFunc(h.nodes, func(x, y *node) int { return cmp.Compare(x.ID, y.ID) })
		b.wokeTogether(now, h)
	}
}

// hall finds a hall, or begins one.
func (b *Tracker) hall(name string, now time.Duration) *hall {
	h := b.halls[name]
	if h == nil {
		h = &hall{name: name, since: now, calm: now, price: 1, tier: 2, share: 1, rate: -1}
		switch {
		case name == b.cfg.Own:
			h.tier = 0
		case slices.Contains(b.cfg.Near, name):
			h.tier = 1
		}
		b.halls[name] = h
		b.order = append(b.order, h)
		slices.SortFunc(b.order, func(x, y *hall) int { return cmp.Compare(x.name, y.name) })
	}
	return h
}

// wokeTogether begins a hall's ramp where the list says that most of its nodes have just started, whether or not this
// instance has seen the loss: so an instance that has just started itself is as careful as the others, from the same time.
func (b *Tracker) wokeTogether(now time.Duration, h *hall) {
	if h.state == Returning || h.state == Drained || len(h.nodes) < 2 {
		return
	}
	var young []time.Duration
	for _, n := range h.nodes {
		if n.Started > 0 && now-n.Started < b.cfg.Ramp {
			young = append(young, n.Started)
		}
	}
	if 2*len(young) <= len(h.nodes) || h.state == Lost { // a lost hall comes back by its answers
		return
	}
	slices.Sort(young)
	at := young[len(young)/2]
	if at <= h.rampAt { // it is known
		return
	}
	h.lostAt = at
	b.comeBack(now, h, at, fmt.Sprintf("%d of %d nodes have started within %v", len(young), len(h.nodes), b.cfg.Ramp))
}

// Sent tells that an attempt went to a node.
func (b *Tracker) AttemptSent(now time.Duration, id policy.BackendID) {
	n := b.nodes[id]
	if n == nil {
		return
	}
	n.out = append(n.out, now)
	b.hall(n.Zone, now).sent.add(now, 1)
}

// Ended tells how an attempt, sent at a time, ended.
func (b *Tracker) AttemptEnded(now time.Duration, id policy.BackendID, sent time.Duration, class string, o policy.Outcome) {
	n := b.nodes[id]
	if n == nil {
		return
	}
	if i := slices.Index(n.out, sent); i >= 0 {
		n.out = slices.Delete(n.out, i, i+1)
	}
	took := (now - sent).Seconds()
	h := b.hall(n.Zone, now)
	switch o {
	case policy.NotSent:
		return
	case policy.Cancelled: // another copy was faster: of a node that has not answered since, that says something
		if n.lastOK < sent && took > silentTimes*b.usual[class] {
			b.failed(sent, n)
		}
		return
	case policy.Succeeded:
		usual, seen := b.usual[class]
		if !seen {
			usual = took
		}
		if b.warmth(now, n) >= 1 {
			b.usual[class] = usual + 0.02*(min(took, slowMost*usual)-usual)
		}
		ratio := min(took*b.warmth(now, n)/max(usual, 1e-6), slowMost) // a cold node's share is counted by its age alone
		b.learn(now, n, ratio)
		h.done.add(now, 1)
		b.answered(now, n)
	case policy.Rejected: // it answers, and has no room
		b.learn(now, n, slowMost)
		b.answered(now, n)
	default:
		b.failed(now, n)
		b.learn(now, n, slowMost)
	}
	h.ends.add(now, 1)
	if aim := b.cfg.LatencyObjectives[class]; o != policy.Succeeded || aim > 0 && now-sent > aim/3 {
		h.late.add(now, 1)
	}
}

// failed counts something that went without an answer, since a time.
func (b *Tracker) failed(since time.Duration, n *node) {
	if n.fails == 0 {
		n.fail = since
	}
	n.fails++
	n.proved = 0
}

func (b *Tracker) answered(now time.Duration, n *node) {
	n.lastOK, n.fails = now, 0
	n.proved++
}

// learn moves a node's relative latency; what was learned long ago weighs less.
func (b *Tracker) learn(now time.Duration, n *node, ratio float64) {
	left := math.Exp2(-(now - n.slowAt).Seconds() / slowHalf)
	n.slow = 1 + (n.slow-1)*left
	n.slow += (1 - (1-slowGain)*left) * (ratio - n.slow)
	n.slowAt = now
}

// Probed tells how a probe ended.
func (b *Tracker) ProbeEnded(now time.Duration, id policy.BackendID, ok bool) {
	n := b.nodes[id]
	if n == nil || !n.probing {
		return
	}
	n.probing = false
	if ok {
		b.answered(now, n)
	} else {
		b.failed(now, n)
	}
}

// Drain sets the drills that are in force: halls taken out on purpose, each until a time. A hall that is in none is back.
func (b *Tracker) SetDrains(now time.Duration, until map[string]time.Duration) {
	for _, h := range b.order {
		h.until = until[h.name]
	}
	for name, t := range until {
		b.hall(name, now).until = t
	}
}

// warmth is the share of its capacity that a node has by its age.
func (b *Tracker) warmth(now time.Duration, n *node) float64 {
	age := now - n.Started
	if n.Started == 0 || b.cfg.SlowStartWindow <= 0 || age >= b.cfg.SlowStartWindow {
		return 1
	}
	return b.cfg.SlowStartShare + (1-b.cfg.SlowStartShare)*max(0, age.Seconds())/b.cfg.SlowStartWindow.Seconds()
}

// takes is what a node can take now: 0 where it is out, unproven, or bad.
func (b *Tracker) takes(now time.Duration, n *node) float64 {
	if n.State != policy.Running || n.unproven || b.bad(now, n) {
		return 0
	}
	slow := 1 + (n.slow-1)*math.Exp2(-(now-n.slowAt).Seconds()/slowHalf)
	return n.Size * b.warmth(now, n) / max(slow, 0.5)
}

// patience is how long an answer may be out before its silence says something.
func (b *Tracker) patience() time.Duration {
	most := 0.0
	for _, u := range b.usual {
		most = max(most, u)
	}
	return min(max(time.Duration(waitTimes*most*float64(time.Second)), leastWait), mostWait)
}

// bad says whether a node shows by itself that it is not to be had: failures in a row, or a wait in which nothing was answered.
func (b *Tracker) bad(now time.Duration, n *node) bool {
	if n.fails >= failsBad {
		return true
	}
	return len(n.out) > 0 && now-max(n.out[0], n.lastOK) > b.patience()
}

// judge says whether a hall's nodes, taken together, show that it is lost.
func (b *Tracker) judge(now time.Duration, h *hall) (lost bool, why string) {
	running, bad, silent, alive := 0, 0, 0, 0
	h.byList, h.suspect = false, false
	var first time.Duration
	for _, n := range h.nodes {
		if n.State != policy.Running {
			continue
		}
		running++
		if b.bad(now, n) {
			bad++
			at := n.fail
			if n.fails < failsBad {
				silent++
				at = max(n.out[0], n.lastOK)
			}
			if first == 0 || at < first {
				first = at
			}
		}
	}
	if running == 0 {
		h.byList = true
		if len(h.nodes) > 0 {
			return true, fmt.Sprintf("all %d nodes are draining", len(h.nodes))
		}
		return h.peak > 0, "the list has no node of it"
	}
	h.suspect = 2*bad >= running && bad > 0
	for _, n := range h.nodes { // an answer since the trouble began, and not long ago
		if n.State == policy.Running && !b.bad(now, n) && n.lastOK > first && now-n.lastOK < staleProof {
			alive++
		}
	}
	if alive > 0 || bad < max(min(2, running), int(math.Ceil(lostShare*float64(running)))) {
		return false, ""
	}
	what := "failed"
	if silent == bad {
		what = "silent"
	} else if silent > 0 {
		what = "failed or silent"
	}
	return true, fmt.Sprintf("%d of %d nodes %s for %v", bad, running, what, (now - first).Round(10*time.Millisecond))
}

func (b *Tracker) move(now time.Duration, h *hall, to State, why string) {
	if h.state == to {
		return
	}
	b.changes = append(b.changes, Change{Zone: h.name, From: h.state, To: to, Reason: why, Caution: h.caution})
	h.state, h.since, h.why = to, now, why
}

// lose takes a hall out. A loss while it returns, or not long after, makes the next return more careful.
func (b *Tracker) lose(now time.Duration, h *hall, why string) {
	if h.rampAt > 0 && (h.state == Returning || now-h.calm < b.cfg.Forget) {
		h.caution = min(h.caution+1, mostCaution)
	}
	h.lostAt, h.wary = now, true
	for _, n := range h.nodes {
		n.unproven, n.proved = true, 0
	}
	b.move(now, h, Lost, why)
}

// comeBack begins a hall's return, as of a time.
func (b *Tracker) comeBack(now time.Duration, h *hall, at time.Duration, why string) {
	h.rampAt = at
	h.ramp = min(b.cfg.Ramp, max(leastRamp, now-h.lostAt))
	for _, n := range h.nodes { // cold nodes say themselves for how long
		if n.Started > 0 && now-n.Started < b.cfg.SlowStartWindow {
			h.ramp = b.cfg.Ramp
			break
		}
	}
	h.ramp <<= h.caution
	b.move(now, h, Returning, why)
}

// step moves a hall on.
func (b *Tracker) step(now time.Duration, h *hall) {
	lost, why := b.judge(now, h)
	if h.state == Drained || h.until > now {
		b.drill(now, h, lost, why)
		return
	}
	switch h.state {
	case Up:
		if lost {
			b.lose(now, h, why)
		} else if h.caution > 0 && now-h.calm > b.cfg.Forget {
			h.caution--
			h.calm = now
		}
	case Lost:
		proven, running := b.prove(now, h)
		if proven > 0 {
			b.comeBack(now, h, now, fmt.Sprintf("%d of %d nodes answer again after %v", proven, running, (now-h.lostAt).Round(10*time.Millisecond)))
		}
	case Returning:
		if lost {
			b.lose(now, h, why)
			return
		}
		proven, running := b.prove(now, h)
		if now-h.rampAt >= h.ramp && proven == running {
			h.calm, h.wary = now, false
			b.move(now, h, Up, fmt.Sprintf("back for %v", h.ramp))
		}
	}
}

// drill keeps a hall out that was taken out on purpose, and lets it in again as one that was lost.
func (b *Tracker) drill(now time.Duration, h *hall, lost bool, why string) {
	if h.until > now {
		b.move(now, h, Drained, fmt.Sprintf("taken out on purpose for %v more", (h.until-now).Round(time.Second)))
		return
	}
	h.lostAt = h.since
	if lost {
		b.lose(now, h, why)
		return
	}
	b.comeBack(now, h, now, "the drill is over")
}

// prove believes the nodes that have answered often enough since the loss.
func (b *Tracker) prove(now time.Duration, h *hall) (proven, running int) {
	for _, n := range h.nodes {
		if n.State != policy.Running {
			continue
		}
		running++
		if n.unproven && n.proved >= proofs+h.caution && now-n.lastOK < staleProof {
			n.unproven, n.fails = false, 0
		}
		if !n.unproven {
			proven++
		}
	}
	return proven, running
}

// Tick moves everything on and returns the facts as they stand. It wants to be called some ten times a second or more often.
func (b *Tracker) Tick(now time.Duration) policy.ZonesChanged {
	dt := max(0, (now - b.ticked).Seconds())
	if b.ticked == 0 {
		dt = 0
	}
	b.ticked = now
	for _, h := range b.order {
		b.step(now, h)
	}
	b.measure(now, dt)
	b.relieve(now, dt)
	return b.facts(now)
}

// measure sums up what each hall can take.
func (b *Tracker) measure(now time.Duration, dt float64) {
	answers, units := 0.0, 0.0
	for _, h := range b.order {
		has := 0.0
		h.capacity, h.warm = 0, 0
		for _, n := range h.nodes {
			if n.State == policy.Running {
				has += n.Size
			}
			h.capacity += b.takes(now, n)
			if n.State == policy.Running && !n.unproven {
				h.warm += n.Size * b.warmth(now, n)
			}
		}
		if has >= h.peak || now-h.peakAt > remembered {
			h.peak, h.peakAt = has, now
		}
		h.share = 1
		switch h.state {
		case Lost, Drained:
			h.share = 0
		case Returning:
			from := b.cfg.RampFrom / float64(int(1)<<h.caution)
			h.share = from + (1-from)*min(1, max(0, (now-h.rampAt).Seconds()/h.ramp.Seconds()))
		case Up:
			answers += h.done.now(now)
			units += h.warm
		}
	}
	// What a node can do does not fall because it is asked for less: the most counts, and is forgotten slowly.
	b.perUnit *= math.Exp2(-dt / eachHalf)
	if units >= 1 {
		b.perUnit = max(b.perUnit, answers/units)
	}
	can, had, up, lost := 0.0, 0.0, 0.0, 0
	for _, h := range b.order {
		had += h.peak
		if h.state == Up {
			up += h.peak
		}
	}
	for _, h := range b.order {
		if h.state == Returning && had > 0 { // no deeper than the others can carry: where none is up, cold nodes' own space is the bound
			h.share = max(h.share, (1-up/had)/float64(int(1)<<h.caution))
		}
		for _, n := range h.nodes {
			if n.State == policy.Running && !n.unproven && h.share > 0 { // a ramp is no loss: it has a rate of its own
				can += n.Size
			}
		}
		if h.state == Lost {
			lost++
		}
	}
	b.reach = 1
	if had > 0 {
		b.reach = min(1, can/had)
	}
	b.panicked = len(b.order) > 0 && (b.reach < b.cfg.Panic || lost == len(b.order))
	for _, h := range b.order {
		h.rate = -1
		switch {
		case h.state == Lost && lost < len(b.order), h.state == Drained && !b.panicked:
			if h.rate = 0; !b.cfg.Probe && h.state == Lost && now-h.since > blindPause {
				h.rate = blindRate
			}
		case h.state == Returning:
			each := b.perUnit
			if each == 0 {
				each = firstRate
			}
			h.rate = max(h.share*headroom*each*h.warm, 0.5)
		}
	}
}

// relieve gives up the preference for the own hall, a little at a time, while it answers later than the others do.
func (b *Tracker) relieve(now time.Duration, dt float64) {
	own := b.halls[b.cfg.Own]
	if own == nil {
		b.planned = 1
		return
	}
	late, ends := 0.0, 0.0
	for _, h := range b.order {
		if h != own && h.state == Up {
			late, ends = late+h.late.now(now), ends+h.ends.now(now)
		}
	}
	share := func(late, ends float64) float64 { return late / max(ends, 1) }
	if share(own.late.now(now), own.ends.now(now)) > share(late, ends)+lateLead {
		b.relief = min(1, b.relief+reliefUp*dt)
	} else {
		b.relief = max(0, b.relief-reliefDown*dt)
	}
	b.planned = max(b.relief*(1-b.fair(own)), 1-b.keeps(own))
}

// keeps is the share of its own work that a hall can keep by what it has: all of it, down to 1/Overprovision.
func (b *Tracker) keeps(h *hall) float64 {
	if h.peak <= 0 {
		return 0
	}
	return min(1, b.cfg.Overprovision*h.capacity*h.share/h.peak)
}

// fair is a hall's part of all that can be taken.
func (b *Tracker) fair(h *hall) float64 {
	all := 0.0
	for _, x := range b.order {
		all += x.capacity * x.share
	}
	if all == 0 {
		return 0
	}
	return h.capacity * h.share / all
}

// facts are what the module is told.
func (b *Tracker) facts(now time.Duration) policy.ZonesChanged {
	ev := policy.ZonesChanged{AvailableShare: b.reach}
	given := b.relief
	if own := b.halls[b.cfg.Own]; own != nil {
		given = max(given, 1-b.keeps(own))
	}
	if b.panicked {
		given = 1
	}
	for _, h := range b.order {
		h.price = 1 + ([...]float64{1, b.cfg.NearPrice, b.cfg.FarPrice}[h.tier]-1)*(1-given)
		f := policy.Zone{Name: h.name, Price: h.price, Rate: h.rate, Lost: h.state == Lost && h.rate == 0 && !h.byList}
		if h.wary && b.cfg.Probe && (h.state == Returning || h.rate == 0) {
			for _, n := range h.nodes {
				if n.unproven {
					f.Unproven = append(f.Unproven, n.ID)
				}
			}
		}
		ev.Zones = append(ev.Zones, f)
		if h.state == Returning {
			ev.MinRetryAfter = max(ev.MinRetryAfter, min(paceMost, time.Duration((1-h.share)*float64(paceMost))))
		}
	}
	return ev
}

// Probes are the nodes to ask now: those that are not proven of halls that are lost or return, and all of a hall of which half
// look bad, so that the rest need not be found out by requests. Each is to be told of by Probed.
func (b *Tracker) DueProbes(now time.Duration) (out []policy.BackendID) {
	if !b.cfg.Probe {
		return nil
	}
	for _, h := range b.order {
		if h.state != Lost && h.state != Returning && !h.suspect || h.state == Drained || now-h.probed < probeEvery {
			continue
		}
		h.probed = now
		for _, n := range h.nodes {
			if n.State == policy.Running && (n.unproven || h.suspect && h.state == Up) && !n.probing && len(out) < mostProbes {
				n.probing = true
				out = append(out, n.ID)
			}
		}
	}
	return out
}

// Changes returns what has changed since it was last asked.
func (b *Tracker) TakeChanges() []Change {
	out := b.changes
	b.changes = nil
	return out
}
