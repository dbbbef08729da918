// Package measure turns what clients and nodes saw into figures: the service as the users' brief counts it, and latencies
// from the moment that a request was due. In: wishes and what was passed on. Out: figures. It knows no process, no socket
// and no clock.
package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Class is what a kind of request is worth.
type Class struct {
	PriorityWeight   float64
	LatencyObjective time.Duration
	LateShare        float64 // of the worth, for an answer after the aim
}

// Plan is what a channel may use, and what use beyond it costs.
type Plan struct {
	Price, Rate, Burst float64
	ExcessCost         float64 // share of the worth
}

// Wish is what a client wanted: a first try with its retries.
type Operation struct {
	Due                  time.Duration // when the first try ought to have gone out
	Tenant, Plan, Class string
	Units                float64
	Served               bool
	AnsweredAt                   time.Duration // of the answer that served it, or of the last other one
}

// Passed is a first attempt as its node saw it, beyond its channel's quota.
type ExcessAttempt struct {
	At          time.Duration
	Plan, Class string
	Units       float64
}

// Costs are what the service was had for.
type Costs struct {
	WorkRequested, WorkDone time.Duration // work that wishes asked for, and that nodes did
	CounterCalls    int
	CrossZoneSends       int
}

// The brief's prices: points of service for one of each a request.
const (
	priceCounter = 0.005
	priceWaste   = 0.03
	priceCross   = 0.01
	priceLate    = 0.05
	worstWindow  = 10 * time.Second
)

// Score is the service with its parts; shares of the worth that was asked for inside quotas.
type Score struct {
	Service    float64 `json:"Service"` // all below, by the brief's weights, less the prices
	Complete   float64 `json:"Whole"`   // answered within the wanted time, less what was passed on beyond quotas at its cost
	Worst10s   float64 `json:"Worst10s"`
	WorstClass float64 `json:"WorstClass"`
	WorstPlan  float64 `json:"WorstPlan"`
	Beyond     float64 `json:"Beyond"`     // what use beyond quotas cost
	Prices     float64 `json:"Prices"`     // counter calls, wasted work, crossing halls, failing late
	CrossShare float64 `json:"CrossShare"` // sends to another hall, for each wish
	Waste      float64 `json:"Waste"`      // work done beyond what was asked for, as a share of it
}

// share is worth earned of worth asked for.
type earnings struct{ requested, earned float64 }

func (e earnings) ratio() float64 {
	if e.requested == 0 {
		return 1
	}
	return e.earned / e.requested
}

// Rate computes the score. What a channel earned beyond the worth that it asked for inside its quota counts for none.
func ComputeScore(classes map[string]Class, plans map[string]Plan, wishes []Operation, beyond []ExcessAttempt, costs Costs) Score {
	wishes = slices.Clone(wishes)
	slices.SortStableFunc(wishes, func(a, b Operation) int { return cmp.Compare(a.Due, b.Due) })
	var whole earnings
	byClass, byPlan := map[string]*earnings{}, map[string]*earnings{}
	steps := map[int]*earnings{} // by second
	at := func(m map[string]*earnings, k string) *earnings {
		if m[k] == nil {
			m[k] = &earnings{}
		}
		return m[k]
	}
	add := func(w Operation, asked, got float64) {
		second := int(w.Due / time.Second)
		if steps[second] == nil {
			steps[second] = &earnings{}
		}
		for _, s := range []*earnings{&whole, at(byClass, w.Class), at(byPlan, w.Plan), steps[second]} {
			s.requested += asked
			s.earned += got
		}
	}
	late := 0
	for i, c := range creditOperations(classes, plans, wishes) {
		w := wishes[i]
		if !w.Served && w.AnsweredAt-w.Due > classes[w.Class].LatencyObjective {
			late++
		}
		add(w, c.requested, c.earned)
	}
	var s Score
	cost := 0.0
	for _, b := range beyond {
		x := classes[b.Class].PriorityWeight * plans[b.Plan].Price * b.Units * plans[b.Plan].ExcessCost
		cost += x
		add(Operation{Due: b.At, Class: b.Class, Plan: b.Plan}, 0, -x)
	}
	s.Complete, s.WorstClass, s.WorstPlan, s.Worst10s = whole.ratio(), 1, 1, worst(steps)
	for _, x := range byClass {
		s.WorstClass = min(s.WorstClass, x.ratio())
	}
	for _, x := range byPlan {
		s.WorstPlan = min(s.WorstPlan, x.ratio())
	}
	if whole.requested > 0 {
		s.Beyond = cost / whole.requested
	}
	if n := float64(len(wishes)); n > 0 {
		s.CrossShare = float64(costs.CrossZoneSends) / n
		if costs.WorkRequested > 0 {
			s.Waste = max(0, (costs.WorkDone-costs.WorkRequested).Seconds()/costs.WorkRequested.Seconds())
		}
		s.Prices = priceCounter*float64(costs.CounterCalls)/n + priceWaste*min(1, s.Waste) + priceCross*s.CrossShare + priceLate*float64(late)/n
	}
	s.Service = 0.5*s.Complete + 0.25*s.Worst10s + 0.1*s.WorstClass + 0.15*s.WorstPlan - s.Prices
	return s
}

// worst is the least share of any ten seconds.
func worst(steps map[int]*earnings) float64 {
	if len(steps) == 0 {
		return 1
	}
	first, last := 1<<30, -1
	for k := range steps {
		first, last = min(first, k), max(last, k)
	}
	width := int(worstWindow / time.Second)
	least := 1.0
	for from := first; from == first || from+width <= last+1; from++ {
		var s earnings
		for k := from; k < from+width; k++ {
			if x := steps[k]; x != nil {
				s.requested += x.requested
				s.earned += x.earned
			}
		}
		least = min(least, s.ratio())
	}
	return least
}

// credits is what each wish asked for inside its channel's quota and what it earned, in worth; wishes are in order of when
// they were due. What a channel earned beyond the worth that it had asked for inside counts for none.
func creditOperations(classes map[string]Class, plans map[string]Plan, wishes []Operation) []earnings {
	inside := withinQuota(plans, wishes)
	room := map[string]float64{} // worth that a channel asked for inside and has not earned yet
	out := make([]earnings, len(wishes))
	for i, w := range wishes {
		c := classes[w.Class]
		worth := c.PriorityWeight * plans[w.Plan].Price * w.Units
		if inside[i] {
			out[i].requested = worth
			room[w.Tenant] += worth
		}
		switch {
		case w.Served && w.AnsweredAt-w.Due <= c.LatencyObjective:
			out[i].earned = worth
		case w.Served:
			out[i].earned = worth * c.LateShare
		}
		out[i].earned = min(out[i].earned, room[w.Tenant])
		room[w.Tenant] -= out[i].earned
	}
	return out
}

// insideQuota replays each channel's quota over its first tries, in their order.
func withinQuota(plans map[string]Plan, wishes []Operation) []bool {
	type store struct {
		level float64
		at    time.Duration
	}
	stores := map[string]*store{}
	out := make([]bool, len(wishes))
	for i, w := range wishes {
		p := plans[w.Plan]
		st := stores[w.Tenant]
		if st == nil {
			st = &store{p.Burst, w.Due}
			stores[w.Tenant] = st
		}
		st.level = min(p.Burst, st.level+p.Rate*(w.Due-st.at).Seconds())
		st.at = w.Due
		if out[i] = st.level >= w.Units; out[i] {
			st.level -= w.Units
		}
	}
	return out
}

// Latencies is a histogram of how long answers took, from when their requests were due: a client that was late to ask does
// not hide a wait. From 100 us to 2 minutes, three figures. Not safe for many goroutines.
type Latencies struct{ histogram *hdrhistogram.Histogram }

// NewLatencies returns an empty histogram.
func NewLatencies() *Latencies {
	return &Latencies{hdrhistogram.New(100, int64(2*time.Minute/time.Microsecond), 3)}
}

// Add counts one.
func (l *Latencies) Add(d time.Duration) {
	l.histogram.RecordValue(min(max(d.Microseconds(), 100), l.histogram.HighestTrackableValue()))
}

// MS is a quantile in milliseconds, 0 where there is nothing.
func (l *Latencies) QuantileMS(q float64) float64 {
	if l.histogram.TotalCount() == 0 {
		return 0
	}
	return float64(l.histogram.ValueAtQuantile(100*q)) / 1000
}
