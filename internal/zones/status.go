package zones

import (
	"fmt"
	"time"

	"hitchspring/policy"
)

// Status is what the book holds, for people and figures. It shares nothing with the book.
type Status struct {
	Own            string       `json:"own"`
	AvailableShare float64      `json:"reach"`   // share of all halls' capacity that is to be had
	Panic          bool         `json:"panic"`   // no hall is preferred
	PlannedSpill   float64      `json:"planned"` // share of this instance's work that leaves its hall at the least
	Spilled        float64      `json:"spilled"` // share that has, over the last second or so
	Reason         string       `json:"why"`     // of the spill
	Zones          []ZoneStatus `json:"halls"`   // by name
}

// Hall is one hall's part of it.
type ZoneStatus struct {
	Name        string        `json:"name"`
	Tier        int           `json:"tier"` // 0: its own, 1: near, 2: any
	State       string        `json:"state"`
	Since       time.Duration `json:"since_ns"` // how long ago that began
	Reason      string        `json:"why,omitempty"`
	GrayFailure bool          `json:"grey"`     // it answers, and can take less than half of what it should
	Backends    int           `json:"nodes"`    // running by the list
	Proven      int           `json:"proven"`   // of them, not held to be bad or unproven
	Nominal     float64       `json:"nominal"`  // what it has had of late, in usual warm nodes
	Capacity    float64       `json:"capacity"` // what it can take now
	Offered     float64       `json:"offered"`  // attempts a second that this instance sends there
	Answered    float64       `json:"answered"` // a second
	Late        float64       `json:"late"`     // share of ends that were late or bad
	Share       float64       `json:"share"`    // of this instance's attempts
	Ramp        float64       `json:"ramp"`     // share of its rate that it is let have
	Rate        float64       `json:"rate"`     // the most a second; below 0: any
	Price       float64       `json:"price"`    // against a node at home with the same load
	Caution     int           `json:"caution"`  // losses that are not forgotten: each doubles the ramp
}

// Status returns the state as of a time.
func (b *Tracker) Status(now time.Duration) Status {
	s := Status{Own: b.cfg.Own, AvailableShare: b.reach, Panic: b.panicked, PlannedSpill: b.planned}
	all := 0.0
	for _, h := range b.order {
		all += h.sent.now(now)
	}
	away := 0.0
	for _, h := range b.order {
		x := ZoneStatus{
			Name: h.name, Tier: h.tier, State: h.state.String(), Since: now - h.since, Reason: h.why, Nominal: h.peak, Capacity: h.capacity, Offered: h.sent.now(now),
			Answered: h.done.now(now), Late: h.late.now(now) / max(h.ends.now(now), 1), Ramp: h.share, Rate: h.rate, Price: h.price, Caution: h.caution,
		}
		for _, n := range h.nodes {
			if b.takes(now, n) > 0 {
				x.Proven++
			}
			if n.State == policy.Running {
				x.Backends++
			}
		}
		x.GrayFailure = h.state == Up && h.peak > 0 && h.capacity < greyBelow*h.peak
		if all > 0 {
			x.Share = x.Offered / all
		}
		if h.tier != 0 {
			away += x.Offered
		}
		s.Zones = append(s.Zones, x)
	}
	if all > 0 {
		s.Spilled = away / all
	}
	s.Reason = b.why(now)
	return s
}

// why says in words what makes work leave the own hall.
func (b *Tracker) why(now time.Duration) string {
	own := b.halls[b.cfg.Own]
	switch {
	case b.panicked:
		return fmt.Sprintf("panic: %.0f%% of all capacity is to be had, below %.0f%% no hall is preferred", 100*b.reach, 100*b.cfg.Panic)
	case own == nil:
		return fmt.Sprintf("no node of the own hall %q is listed", b.cfg.Own)
	case own.state != Up:
		return fmt.Sprintf("the own hall is %v: %s", own.state, own.why)
	case b.keeps(own) < 1:
		return fmt.Sprintf("the own hall can take %.1f of %.1f usual nodes", own.capacity, own.peak)
	case b.relief > 0:
		return fmt.Sprintf("the own hall answers later than the others: %.0f%% of the preference is given up", 100*b.relief)
	}
	return "a node elsewhere has less to do by more than its hall's price"
}
