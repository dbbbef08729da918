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
	escrowTickInterval  = 50 * time.Millisecond // between two looks at what is held
	pauseThreshold = 4 * escrowTickInterval       // a look so late says that this process did not run
	forwardRateTimeConstant      = time.Second           // over which what is passed on is averaged
	maxForwardRates   = 1024                  // channels of which that is known
	fullLogInterval   = 10 * time.Second      // between two lines on budgets without room
)

// holding is this instance's parts of budgets, which move between instances. The loop's alone, but for shown.
type escrowState struct {
	allocator    *escrow.Allocator
	transport   Transport
	tickedAt  time.Duration
	members []escrow.Member
	forwardRates  map[string]*forwardRate
	conflictLogged    bool // a line was written on two members with one number

	fullLogged int           // budgets without room, in lines so far
	fullLoggedAt   time.Duration // of the last of these lines

	published  atomic.Pointer[EscrowStatus]
	publishAt time.Duration
}

// passing is the units a second that this instance passes on for a channel.
type forwardRate struct {
	rate float64
	at   time.Duration
}

func (p *forwardRate) current(now time.Duration) float64 {
	return p.rate * math.Exp(-(now-p.at).Seconds()/forwardRateTimeConstant.Seconds())
}

func newEscrowState(cfg Config, now time.Duration) *escrowState {
	return &escrowState{allocator: escrow.New(cfg.Settings.Index, cfg.Settings.Instances, now, rand.New(rand.NewPCG(cfg.Seed, 47))), transport: cfg.Escrow, tickedAt: now, forwardRates: map[string]*forwardRate{}}
}

// passes counts a request's units, when it is first sent on.
func (e *escrowState) recordForwarded(now time.Duration, r *Request) {
	account := r.Account()
	p := e.forwardRates[account]
	if p == nil {
		if len(e.forwardRates) >= maxForwardRates {
			clear(e.forwardRates)
		}
		p = &forwardRate{}
		e.forwardRates[account] = p
	}
	p.rate, p.at = p.current(now)+r.Units/forwardRateTimeConstant.Seconds(), now
}

// fellows takes over who is there, and whose life has surely ended.
func (e *escrowState) updateMembers(ev membersChanged) {
	e.members = e.members[:0]
	for _, m := range ev.members {
		e.members = append(e.members, escrow.Member{Name: m.Name})
	}
	for _, x := range ev.surelyEnded {
		e.allocator.PeerEnded(x.Name, x.Number)
	}
}

// lookAtRights looks at what is held, again and again.
func (c *Core) runEscrow() {
	c.scheduleAfter(escrowTickInterval, c.runEscrow)
	c.tickEscrow()
}

// tickRights asks others for what lacks here, and lets the module know what this instance holds.
func (c *Core) tickEscrow() {
	h := c.escrow
	stopped := c.now-h.tickedAt > pauseThreshold
	h.tickedAt = c.now
	var needs []escrow.Need
	for _, n := range c.engine.QuotaNeeds(c.now) {
		x := escrow.Need{Key: n.Account, Spread: n.Spread, First: n.First, WantedShare: n.WantedShare, OthersShare: n.OthersRate / n.Rate, MaxInFlight: n.MaxInFlight, CounterLost: n.CounterLost}
		if p := h.forwardRates[n.Account]; p != nil {
			x.ForwardedShare = p.current(c.now) / n.Rate
		}
		needs = append(needs, x)
	}
	c.sendEscrow(h.allocator.Tick(c.now, needs, h.members))
	c.applyAllocations(stopped)
	if h.allocator.Counts().Conflicts > 0 && !h.conflictLogged {
		h.conflictLogged = true
		c.log.Warn("two members have one number among the ingresses: what the second says of budgets is left aside", "name", c.cfg.Settings.Index)
	}
	c.logAccountsFull()
	if c.now >= h.publishAt {
		h.publishAt = c.now + statusInterval
		h.published.Store(&EscrowStatus{Counts: h.allocator.Counts(), Accounts: h.allocator.Status(c.now)})
	}
}

// reportFullBook logs that budgets found no room: at once, and then at most once in fullLogged while it goes on.
func (c *Core) logAccountsFull() {
	h := c.escrow
	full := h.allocator.Counts().Full
	if full == h.fullLogged || h.fullLogged > 0 && c.now-h.fullLoggedAt < fullLogInterval {
		return
	}
	c.log.Warn("rights: no room for further budgets: their parts stay even at this instance", "refused", full-h.fullLogged, "max_budgets", escrow.MaxBudgets)
	h.fullLogged, h.fullLoggedAt = full, c.now
}

// holdParts lets the module know what this instance holds now.
func (c *Core) applyAllocations(stopped bool) {
	p := policy.Allocations{Default: c.escrow.allocator.DefaultShare(c.now), ByAccount: map[string]policy.Allocation{}}
	for key, x := range c.escrow.allocator.Allocations(c.now) {
		p.ByAccount[key] = policy.Allocation(x)
	}
	c.engine.SetAllocations(c.now, p, stopped)
}

// heardRights takes in what another instance's life says of budgets. What it lends or has back holds from the next look on at the latest; what this
// instance lends counts at once.
func (c *Core) receiveEscrow(from string, life uint64, m escrow.Message) {
	out := c.escrow.allocator.Receive(c.now, escrow.Member{Name: from, Incarnation: life}, m)
	if len(out) > 0 || len(m.Grants) > 0 {
		c.applyAllocations(false)
	}
	c.sendEscrow(out)
}

func (c *Core) sendEscrow(out []escrow.Envelope) {
	for _, s := range out {
		b, err := cbor.Marshal(peerMessage{Escrow: &s.Message})
		if err != nil { // of plain fields
			panic(err)
		}
		c.escrow.transport.Send(s.To, b)
	}
}

// RightsStatus is what is held of budgets, for people and tests.
type EscrowStatus struct {
	escrow.Counts
	Accounts []escrow.Status `json:"Budgets"`
}

// RightsStatus is what this instance holds, as of a moment ago; false where parts are even. It may be called by many goroutines.
func (c *Core) EscrowStatus() (EscrowStatus, bool) {
	if c.escrow == nil {
		return EscrowStatus{}, false
	}
	if s := c.escrow.published.Load(); s != nil {
		return *s, true
	}
	return EscrowStatus{}, true
}
