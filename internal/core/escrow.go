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
	pauseThreshold          = 4 * escrowTickInterval // a tick so late says that this process did not run
	forwardRateTimeConstant = time.Second            // of the average of forwarded units
	maxForwardRates         = 1024                   // accounts whose forwarded units are averaged
	fullLogInterval         = 10 * time.Second       // between two log lines on accounts that found no capacity
	escrowSeedStream        = 47                     // of the seed's random streams
)

// escrowState is this instance's shares of quotas, which it transfers to and from other instances. It belongs to the
// loop, except published.
type escrowState struct {
	allocator      *escrow.Allocator
	transport      Transport
	tickedAt       time.Duration
	members        []escrow.Member
	forwardRates   map[string]*forwardRate // by account
	conflictLogged bool                    // a line on two members with one index was written

	fullLogged   int           // accounts without capacity, in log lines so far
	fullLoggedAt time.Duration // of the last of these lines

	published atomic.Pointer[EscrowStatus] // nil: not yet
	publishAt time.Duration
}

// forwardRate is an average of the units a second that this instance forwards for an account.
type forwardRate struct {
	rate float64 // at time at
	at   time.Duration
}

// current returns the average as it has decayed until now.
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

// recordForwarded counts a request's units when its first attempt starts.
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

// updateMembers takes over who is there, and which incarnations have surely ended.
func (e *escrowState) updateMembers(ev membersChanged) {
	e.members = e.members[:0]
	for _, member := range ev.members {
		e.members = append(e.members, escrow.Member{Name: member.Name})
	}
	for _, change := range ev.changes {
		if change.Surely {
			e.allocator.PeerEnded(change.Name, change.Number)
		}
	}
}

// tickEscrow requests shares that are needed here, and notifies the engine of what this instance holds.
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

// escrowNeeds returns what the engine needs of each account.
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

// logAccountsFull logs that accounts found no capacity: at once, and then at most once in each fullLogInterval.
func (c *Core) logAccountsFull() {
	e := c.escrow
	full := e.allocator.Counts().Full
	if full == e.fullLogged || e.fullLogged > 0 && c.now-e.fullLoggedAt < fullLogInterval {
		return
	}
	c.log.Warn("no capacity for further escrow accounts",
		"rejected", full-e.fullLogged, "max_accounts", escrow.MaxAccounts)
	e.fullLogged, e.fullLoggedAt = full, c.now
}

// applyAllocations notifies the engine of what this instance holds now, and whether the process was paused.
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

// receiveEscrow takes in a message of another instance's incarnation. What is transferred to this instance holds from
// the next tick on at the latest; what this instance transfers away counts at once.
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

// EscrowStatus is what an instance holds of quotas, for people and tests.
type EscrowStatus struct {
	escrow.Counts
	Accounts []escrow.Status `json:"Budgets"`
}

// EscrowStatus returns what this instance holds, at most statusInterval old. It reports false if all shares are even.
// Any goroutine may call it.
func (c *Core) EscrowStatus() (EscrowStatus, bool) {
	if c.escrow == nil {
		return EscrowStatus{}, false
	}
	if status := c.escrow.published.Load(); status != nil {
		return *status, true
	}
	return EscrowStatus{}, true
}
