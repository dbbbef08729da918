package core

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hitchspring/internal/escrow"
	"hitchspring/policy"
)

const (
	rightsEvery  = 50 * time.Millisecond // between two looks at what is held
	stoppedAfter = 4 * rightsEvery       // a look so late says that this process did not run
	passTau      = time.Second           // over which what is passed on is averaged
	mostPassed   = 1024                  // channels of which that is known
	fullLogged   = 10 * time.Second      // between two lines on budgets without room
)

// holding is this instance's parts of budgets, which move between instances. The loop's alone, but for shown.
type holding struct {
	book    *escrow.Allocator
	works   Transport
	ticked  time.Duration
	members []escrow.Member
	passed  map[string]*passing
	told    bool // a line was written on two members with one number

	fullTold int           // budgets without room, in lines so far
	fullAt   time.Duration // of the last of these lines

	shown  atomic.Pointer[EscrowStatus]
	showAt time.Duration
}

// passing is the units a second that this instance passes on for a channel.
type passing struct {
	rate float64
	at   time.Duration
}

func (p *passing) now(now time.Duration) float64 {
	return p.rate * math.Exp(-(now-p.at).Seconds()/passTau.Seconds())
}

func newHolding(cfg Config, now time.Duration) *holding {
	return &holding{book: escrow.New(cfg.Settings.Index, cfg.Settings.Instances, now, rand.New(rand.NewPCG(cfg.Seed, 47))), works: cfg.Escrow, ticked: now, passed: map[string]*passing{}}
}

// passes counts a request's units, when it is first sent on.
func (h *holding) passes(now time.Duration, r *Request) {
	account := r.Account()
	p := h.passed[account]
	if p == nil {
		if len(h.passed) >= mostPassed {
			clear(h.passed)
		}
		p = &passing{}
		h.passed[account] = p
	}
	p.rate, p.at = p.now(now)+r.Units/passTau.Seconds(), now
}

// fellows takes over who is there, and whose life has surely ended.
func (h *holding) fellows(ev fellows) {
	h.members = h.members[:0]
	for _, m := range ev.members {
		h.members = append(h.members, escrow.Member{Name: m.Name})
	}
	for _, x := range ev.left {
		h.book.PeerEnded(x.Name, x.Number)
	}
}

// lookAtRights looks at what is held, again and again.
func (g *Core) lookAtRights() {
	g.after(rightsEvery, g.lookAtRights)
	g.tickRights()
}

// tickRights asks others for what lacks here, and lets the module know what this instance holds.
func (g *Core) tickRights() {
	h := g.holding
	stopped := g.now-h.ticked > stoppedAfter
	h.ticked = g.now
	var needs []escrow.Need
	for _, n := range g.mod.QuotaNeeds(g.now) {
		x := escrow.Need{Key: n.Account, Spread: n.Spread, First: n.First, WantedShare: n.WantedShare, OthersShare: n.OthersRate / n.Rate, MaxInFlight: n.MaxInFlight, CounterLost: n.CounterLost}
		if p := h.passed[n.Account]; p != nil {
			x.ForwardedShare = p.now(g.now) / n.Rate
		}
		needs = append(needs, x)
	}
	g.sendRights(h.book.Tick(g.now, needs, h.members))
	g.holdParts(stopped)
	if h.book.Counts().Conflicts > 0 && !h.told {
		h.told = true
		g.log.Warn("two members have one number among the ingresses: what the second says of budgets is left aside", "name", g.cfg.Settings.Index)
	}
	g.reportFullBook()
	if g.now >= h.showAt {
		h.showAt = g.now + statusEvery
		h.shown.Store(&EscrowStatus{Counts: h.book.Counts(), Accounts: h.book.Status(g.now)})
	}
}

// reportFullBook logs that budgets found no room: at once, and then at most once in fullLogged while it goes on.
func (g *Core) reportFullBook() {
	h := g.holding
	full := h.book.Counts().Full
	if full == h.fullTold || h.fullTold > 0 && g.now-h.fullAt < fullLogged {
		return
	}
	g.log.Warn("rights: no room for further budgets: their parts stay even at this instance", "refused", full-h.fullTold, "max_budgets", escrow.MaxBudgets)
	h.fullTold, h.fullAt = full, g.now
}

// holdParts lets the module know what this instance holds now.
func (g *Core) holdParts(stopped bool) {
	p := policy.Allocations{Default: g.holding.book.DefaultShare(g.now), ByAccount: map[string]policy.Allocation{}}
	for key, x := range g.holding.book.Allocations(g.now) {
		p.ByAccount[key] = policy.Allocation(x)
	}
	g.mod.SetAllocations(g.now, p, stopped)
}

// heardRights takes in what another instance's life says of budgets. What it lends or has back holds from the next look on at the latest; what this
// instance lends counts at once.
func (g *Core) heardRights(from string, life uint64, m escrow.Message) {
	out := g.holding.book.Receive(g.now, escrow.Member{Name: from, Incarnation: life}, m)
	if len(out) > 0 || len(m.Grants) > 0 {
		g.holdParts(false)
	}
	g.sendRights(out)
}

func (g *Core) sendRights(out []escrow.Envelope) {
	for _, s := range out {
		b, err := cbor.Marshal(parcel{Rights: &s.Message})
		if err != nil { // of plain fields
			panic(err)
		}
		g.holding.works.Send(s.To, b)
	}
}

// RightsStatus is what is held of budgets, for people and tests.
type EscrowStatus struct {
	escrow.Counts
	Accounts []escrow.Status `json:"Budgets"`
}

// RightsStatus is what this instance holds, as of a moment ago; false where parts are even. It may be called by many goroutines.
func (g *Core) EscrowStatus() (EscrowStatus, bool) {
	if g.holding == nil {
		return EscrowStatus{}, false
	}
	if s := g.holding.shown.Load(); s != nil {
		return *s, true
	}
	return EscrowStatus{}, true
}
