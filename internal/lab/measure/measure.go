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
type ClientRequest struct {
	Due                  time.Duration // when the first try ought to have gone out
	Channel, Plan, Class string
	Units                float64
	Served               bool
	At                   time.Duration // of the answer that served it, or of the last other one
}

// Passed is a first attempt as its node saw it, beyond its channel's quota.
type Forwarded struct {
	At          time.Duration
	Plan, Class string
	Units       float64
}

// Costs are what the service was had for.
type Costs struct {
	Requested, Done time.Duration // work that wishes asked for, and that nodes did
	CounterCalls    int
	CrossZone       int
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
type share struct{ asked, got float64 }

func (s share) of() float64 {
	if s.asked == 0 {
		return 1
	}
	return s.got / s.asked
}

// Rate computes the score. What a channel earned beyond the worth that it asked for inside its quota counts for none.
func Rate(classes map[string]Class, plans map[string]Plan, wishes []ClientRequest, beyond []Forwarded, costs Costs) Score {
	wishes = slices.Clone(wishes)
	slices.SortStableFunc(wishes, func(a, b ClientRequest) int { return cmp.Compare(a.Due, b.Due) })
	var whole share
	byClass, byPlan := map[string]*share{}, map[string]*share{}
	steps := map[int]*share{} // by second
	at := func(m map[string]*share, k string) *share {
		if m[k] == nil {
			m[k] = &share{}
		}
		return m[k]
	}
	add := func(w ClientRequest, asked, got float64) {
		second := int(w.Due / time.Second)
		if steps[second] == nil {
			steps[second] = &share{}
		}
		for _, s := range []*share{&whole, at(byClass, w.Class), at(byPlan, w.Plan), steps[second]} {
			s.asked += asked
			s.got += got
		}
	}
	late := 0
	for i, c := range credits(classes, plans, wishes) {
		w := wishes[i]
		if !w.Served && w.At-w.Due > classes[w.Class].LatencyObjective {
			late++
		}
		add(w, c.asked, c.got)
	}
	var s Score
	cost := 0.0
	for _, b := range beyond {
		x := classes[b.Class].PriorityWeight * plans[b.Plan].Price * b.Units * plans[b.Plan].ExcessCost
		cost += x
		add(ClientRequest{Due: b.At, Class: b.Class, Plan: b.Plan}, 0, -x)
	}
	s.Complete, s.WorstClass, s.WorstPlan, s.Worst10s = whole.of(), 1, 1, worst(steps)
	for _, x := range byClass {
		s.WorstClass = min(s.WorstClass, x.of())
	}
	for _, x := range byPlan {
		s.WorstPlan = min(s.WorstPlan, x.of())
	}
	if whole.asked > 0 {
		s.Beyond = cost / whole.asked
	}
	if n := float64(len(wishes)); n > 0 {
		s.CrossShare = float64(costs.CrossZone) / n
		if costs.Requested > 0 {
			s.Waste = max(0, (costs.Done-costs.Requested).Seconds()/costs.Requested.Seconds())
		}
		s.Prices = priceCounter*float64(costs.CounterCalls)/n + priceWaste*min(1, s.Waste) + priceCross*s.CrossShare + priceLate*float64(late)/n
	}
	s.Service = 0.5*s.Complete + 0.25*s.Worst10s + 0.1*s.WorstClass + 0.15*s.WorstPlan - s.Prices
	return s
}

// worst is the least share of any ten seconds.
func worst(steps map[int]*share) float64 {
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
		var s share
		for k := from; k < from+width; k++ {
			if x := steps[k]; x != nil {
				s.asked += x.asked
				s.got += x.got
			}
		}
		least = min(least, s.of())
	}
	return least
}

// credits is what each wish asked for inside its channel's quota and what it earned, in worth; wishes are in order of when
// they were due. What a channel earned beyond the worth that it had asked for inside counts for none.
func credits(classes map[string]Class, plans map[string]Plan, wishes []ClientRequest) []share {
	inside := insideQuota(plans, wishes)
	room := map[string]float64{} // worth that a channel asked for inside and has not earned yet
	out := make([]share, len(wishes))
	for i, w := range wishes {
		c := classes[w.Class]
		worth := c.PriorityWeight * plans[w.Plan].Price * w.Units
		if inside[i] {
			out[i].asked = worth
			room[w.Channel] += worth
		}
		switch {
		case w.Served && w.At-w.Due <= c.LatencyObjective:
			out[i].got = worth
		case w.Served:
			out[i].got = worth * c.LateShare
		}
		out[i].got = min(out[i].got, room[w.Channel])
		room[w.Channel] -= out[i].got
	}
	return out
}

// insideQuota replays each channel's quota over its first tries, in their order.
func insideQuota(plans map[string]Plan, wishes []ClientRequest) []bool {
	type store struct {
		level float64
		at    time.Duration
	}
	stores := map[string]*store{}
	out := make([]bool, len(wishes))
	for i, w := range wishes {
		p := plans[w.Plan]
		st := stores[w.Channel]
		if st == nil {
			st = &store{p.Burst, w.Due}
			stores[w.Channel] = st
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
type Latencies struct{ h *hdrhistogram.Histogram }

// NewLatencies returns an empty histogram.
func NewLatencies() *Latencies {
	return &Latencies{hdrhistogram.New(100, int64(2*time.Minute/time.Microsecond), 3)}
}

// Add counts one.
func (l *Latencies) Add(d time.Duration) {
	l.h.RecordValue(min(max(d.Microseconds(), 100), l.h.HighestTrackableValue()))
}

// MS is a quantile in milliseconds, 0 where there is nothing.
func (l *Latencies) MS(q float64) float64 {
	if l.h.TotalCount() == 0 {
		return 0
	}
	return float64(l.h.ValueAtQuantile(100*q)) / 1000
}
