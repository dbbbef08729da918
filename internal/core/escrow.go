package core

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"hitchspring/internal/escrow"
	"hitchspring/policy"
)

const (
	escrowTickInterval      = 50 * time.Millisecond
	pauseThreshold          = 4 * escrowTickInterval // a longer time between ticks means that the process was paused
	forwardRateTimeConstant = time.Second            // of the moving average of forwarded units
	maxForwardRates         = 1024                   // accounts that have a moving average of forwarded units
	fullLogInterval         = 10 * time.Second       // between two log lines about accounts without capacity
	escrowSeedStream        = 47                     // random stream of the seed for this component
)

// escrowState holds this instance's shares of quotas, which instances transfer to each other. It is confined to the
// loop's goroutine, except published.
type escrowState struct {
	allocator      *escrow.Allocator
	transport      Transport
	tickedAt       time.Duration
	members        []escrow.Member
	forwardRates   map[string]*forwardRate // by account
	conflictLogged bool                    // the log line about two members with the same index was written

	loggedFull   int           // accounts without capacity that were logged so far
	loggedFullAt time.Duration // when the last of these log lines was written

	published atomic.Pointer[EscrowStatus] // nil: not yet
	publishAt time.Duration
}

// forwardRate is an exponential moving average of the units per second that this instance forwards for an account.
type forwardRate struct {
	rate float64 // at the time of at
	at   time.Duration
}

// current returns the average, decayed to now.
func (f *forwardRate) current(now time.Duration) float64 {
	return f.rate * math.Exp(-(now-f.at).Seconds()/forwardRateTimeConstant.Seconds())
}

func newEscrowState(cfg Config, now time.Duration) *escrowState {
	random := rand.New(rand.NewPCG(cfg.Seed, escrowSeedStream))
	return &escrowState{
		allocator:    escrow.New(cfg.Settings.Index, cfg.Settings.Instances, now, random),
		transport:    cfg.Escrow,
		tickedAt:     now,
		forwardRates: map[string]*forwardRate{},
	}
}

// recordForwarded adds a request's units to its account's average. It is called when the first attempt starts.
func (e *escrowState) recordForwarded(now time.Duration, r *Request) {
	account := r.Account()
	f := e.forwardRates[account]
	if f == nil {
		if len(e.forwardRates) >= maxForwardRates {
			clear(e.forwardRates)
		}
		f = &forwardRate{}
		e.forwardRates[account] = f
	}
	f.rate = f.current(now) + r.Units/forwardRateTimeConstant.Seconds()
	f.at = now
}

// updateMembers sets the members and notifies the allocator which incarnations are confirmed to have ended.
func (e *escrowState) updateMembers(ev membersChanged) {
	e.members = e.members[:0]
	for _, member := range ev.members {
		e.members = append(e.members, escrow.Member{Name: member.Name})
	}
	for _, change := range ev.changes {
		if change.Confirmed {
			e.allocator.PeerEnded(change.Name, change.Number)
		}
	}
}

// tickEscrow requests the quota shares that this instance needs and notifies the engine of those that it holds.
func (c *Core) tickEscrow() {
	e := c.escrow
	paused := c.now-e.tickedAt > pauseThreshold
	e.tickedAt = c.now
	c.sendEscrow(e.allocator.Tick(c.now, c.escrowNeeds(), e.members))
	c.applyAllocations(paused)
	if e.allocator.Counts().Conflicts > 0 && !e.conflictLogged {
		e.conflictLogged = true
		c.log.Warn("two members have one index, ignoring the second's quota messages", "index", c.cfg.Settings.Index)
	}
	c.logAccountsFull()
	if c.now >= e.publishAt {
		e.publishAt = c.now + statusInterval
		e.published.Store(&EscrowStatus{Counts: e.allocator.Counts(), Accounts: e.allocator.Status(c.now)})
	}
}

// escrowNeeds returns the engine's need of each account, with the share that this instance has recently forwarded.
func (c *Core) escrowNeeds() []escrow.Need {
	var needs []escrow.Need
	for _, quota := range c.engine.QuotaNeeds(c.now) {
		need := escrow.Need{
			Key:         quota.Account,
			Spread:      quota.Spread,
			First:       quota.First,
			WantedShare: quota.WantedShare,
			OthersShare: quota.OthersRate / quota.Rate,
			MaxInFlight: quota.MaxInFlight,
			CounterLost: quota.CounterLost,
		}
		if f := c.escrow.forwardRates[quota.Account]; f != nil {
			need.ForwardedShare = f.current(c.now) / quota.Rate
		}
		needs = append(needs, need)
	}
	return needs
}

// logAccountsFull logs that accounts were turned away because the account table is full: the first time at once, then
// at most one line per fullLogInterval.
func (c *Core) logAccountsFull() {
	e := c.escrow
	full := e.allocator.Counts().Full
	if full == e.loggedFull || e.loggedFull > 0 && c.now-e.loggedFullAt < fullLogInterval {
		return
	}
	c.log.Warn("no capacity for further escrow accounts",
		"rejected", full-e.loggedFull, "max_accounts", escrow.MaxAccounts)
	e.loggedFull, e.loggedFullAt = full, c.now
}

// applyAllocations passes the engine the quota shares that this instance holds now, and whether the process was paused.
func (c *Core) applyAllocations(paused bool) {
	allocations := policy.Allocations{
		Default:   c.escrow.allocator.DefaultShare(c.now),
		ByAccount: map[string]policy.Allocation{},
	}
	for account, allocation := range c.escrow.allocator.Allocations(c.now) {
		allocations.ByAccount[account] = policy.Allocation(allocation)
	}
	c.engine.SetAllocations(c.now, allocations, paused)
}

// receiveEscrow handles a quota message from another instance. The engine is notified at once of a share that this
// instance gives away, and by the next tick of one that it receives.
func (c *Core) receiveEscrow(from string, incarnation uint64, m escrow.Message) {
	replies := c.escrow.allocator.Receive(c.now, escrow.Member{Name: from, Incarnation: incarnation}, m)
	if len(replies) > 0 || len(m.Grants) > 0 {
		c.applyAllocations(false)
	}
	c.sendEscrow(replies)
}

func (c *Core) sendEscrow(messages []escrow.Envelope) {
	for _, envelope := range messages {
		c.escrow.transport.Send(envelope.To, encodePeerMessage(peerMessage{Escrow: &envelope.Message}))
	}
}

// EscrowStatus is the status of an instance's quota shares, for operators and tests.
type EscrowStatus struct {
	escrow.Counts
	Accounts []escrow.Status `json:"Budgets"`
}

// EscrowStatus returns the status of this instance's quota shares, at most statusInterval old. It returns false if
// escrow is off. It is safe for concurrent use.
func (c *Core) EscrowStatus() (EscrowStatus, bool) {
	if c.escrow == nil {
		return EscrowStatus{}, false
	}
	if status := c.escrow.published.Load(); status != nil {
		return *status, true
	}
	return EscrowStatus{}, true
}
