// Package budget says of a quota that instances share how much this one holds of it, in which mode it is kept, and how much this
// instance may pass on, from now on and for a while, should it hear nothing more from the counter: stated before it happens. In: the
// module's books on a channel, the time. Out: statements. It does no I/O, changes nothing, and must never decide whether a request
// goes out; what it states holds because of how the module spends (logic: admit, refresh, callFailed).
package overrun

import (
	"cmp"
	"slices"
	"time"

	"hitchspring/policy"
)

// Mode is how a quota is kept at the moment.
type Mode uint8

// The modes, the best known first.
const (
	Normal       Mode = iota // the counter answers
	Late                     // a call has failed, or nothing was heard for a second though there is demand
	Disconnected             // calls fail, and nothing was heard for a while: this instance lives on what it holds and on its part of the refill
	NeverHeard               // the counter has never answered for it
	PerRequest               // no blocks: each request is asked for, or guessed
)

var modeNames = [...]string{"normal", "late", "alone", "unheard", "asked"}

func (m Mode) String() string {
	if int(m) < len(modeNames) {
		return modeNames[m]
	}
	return "unknown"
}

// MarshalText is encoding.TextMarshaler's.
func (m Mode) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// UnmarshalText is encoding.TextUnmarshaler's.
func (m *Mode) UnmarshalText(b []byte) error {
	*m = Mode(max(0, slices.Index(modeNames[:], string(b))))
	return nil
}

// aloneAfter is the age of the last total from which on failing calls are more than one that was lost.
const aloneAfter = 500 * time.Millisecond

// lateAfter is the age of the last total from which on a channel with demand is late.
const lateAfter = time.Second

// leastDemand is units a second below which nobody misses a total.
const leastDemand = 0.5

// Plan is what a channel may use.
type Plan struct {
	Rate, Burst float64 // units a second; units
	MaxUnits    float64 // of a request
}

// Book is what this instance knows of one channel's quota.
type QuotaState struct {
	policy.LearnedTenant
	policy.QuotaStanding
	Plan Plan
}

// Statement is what a book comes to.
type Bound struct {
	Tenant          string        `json:"Customer"`
	Plan            string        `json:"Plan"`
	Mode            Mode          `json:"Mode"`
	Instances       int           `json:"Ways"` // instances that the channel comes through
	Demand          float64       `json:"Demand"`
	Others          float64       `json:"Others"` // units a second asked for here; taken by the others, as last seen
	Age             time.Duration `json:"Age"`    // of the last total; -1: none was heard
	ReservedUnits   float64       `json:"Held"`   // units that this instance may pass on by right: its block, and what waits to go out
	UnreportedUnits float64       `json:"Untold"` // units of them, or spent already, that the counter has not been told of
	AvailableUnits  float64       `json:"Room"`   // units that the store is held to have besides; below 0 a debt
	Span            time.Duration `json:"For"`
	MaxSpend        float64       `json:"Spend"`     // units that it passes on at the most within For, should nothing be heard from now on
	MaxUnreported   float64       `json:"Uncounted"` // of Spend and of what is spent, what the counter does not know of: the others may take as much again
	Share           float64       `json:"Part"`      // of the plan's figures that is held here: even, or by agreement with others
	Overrun         float64       `json:"Overrun"`   // units by which this instance may overdraw the budget at the most: Uncounted, or what is spent before the others reckon with it
}

// Of states what a book comes to, should nothing be heard for so long.
func BoundOf(now time.Duration, b QuotaState, span time.Duration) Bound {
	c, ways := b.LearnedTenant, float64(max(1, b.Spread))
	s := Bound{
		Tenant: cmp.Or(c.Tenant, c.ID), Plan: c.Plan, Instances: max(1, b.Spread), Demand: c.Demand, Others: c.Others, Age: -1, Span: span, ReservedUnits: max(0, c.LeasedUnits) + b.QueuedUnits, UnreportedUnits: max(0, c.UnreportedUnits),
		AvailableUnits: b.AvailableUnits,
	}
	if c.TotalAt > 0 {
		s.Age = now - c.TotalAt
	}
	switch {
	case b.Sparse:
		s.Mode = PerRequest
	case c.TotalAt == 0:
		s.Mode = NeverHeard
	case c.CounterSilent && s.Age > aloneAfter:
		s.Mode = Disconnected
	case c.CounterSilent, s.Age > lateAfter && c.Demand > leastDemand:
		s.Mode = Late
	}
	alone := b.Plan.Rate / ways * span.Seconds()
	if b.Share > 1/ways { // lent by others, who can't be asked any more: it ends
		alone += b.Plan.Rate * (b.Share - 1/ways) * min(span, loanEnds).Seconds()
	}
	if c.CounterSilent { // its part of the refill since the block was last looked at is there, up to a full block
		alone += min(b.Plan.Rate/ways*max(0, now-c.RefreshedAt).Seconds(), max(0, max(b.Plan.Burst/ways, b.Plan.MaxUnits, 1)-c.LeasedUnits))
	} else { // when calls fail it takes its part of what is there once, and its calls may still bring some until then
		alone += max(0, s.AvailableUnits+b.Plan.Rate*giveUp.Seconds())
	}
	s.MaxSpend, s.MaxUnreported = s.ReservedUnits+alone, s.UnreportedUnits+alone
	s.Share, s.Overrun = 1/ways, s.MaxUnreported
	if b.Share > 0 {
		s.Share = b.Share
	}
	if b.Escrowed { // others leave to this one what it holds, once they know that it does not hear the counter
		s.Overrun = min(s.Overrun, s.UnreportedUnits+max(0, s.AvailableUnits)*s.Share+b.Plan.Rate*max(s.Share, 1/ways)*noticed.Seconds())
	}
	return s
}

// noticed is within which the others reckon with what an instance spends unheard: a call that fails, its next message to them, or a second in which
// they hear nothing of it; see package rights.
const noticed = 1500 * time.Millisecond

// loanEnds is when the last of what was borrowed of others has ended; see package rights.
const loanEnds = time.Second

// giveUp is how long calls may still be answered after this instance was last heard: it borrows on what the last total showed meanwhile.
const giveUp = 500 * time.Millisecond

// Top are the statements on the books with the most demand, the most first.
func TopBounds(now time.Duration, books []QuotaState, span time.Duration, most int) []Bound {
	slices.SortFunc(books, func(a, b QuotaState) int { return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.ID, b.ID)) })
	out := make([]Bound, 0, min(most, len(books)))
	for _, b := range books[:min(most, len(books))] {
		out = append(out, BoundOf(now, b, span))
	}
	return out
}

// Books are those of all channels with a quota that a module knows.
func QuotaStates(l policy.LearnedState, standings map[string]policy.QuotaStanding, set policy.Settings) (out []QuotaState) {
	plans := map[string]Plan{}
	for _, p := range set.Plans {
		if p.Rate > 0 {
			plans[p.Name] = Plan{p.Rate, max(p.Burst, set.MaxUnits, 1), set.MaxUnits}
		}
	}
	for _, c := range l.Tenants {
		if p, has := plans[c.Plan]; has {
			out = append(out, QuotaState{c, standings[c.ID], p})
		}
	}
	return out
}
