package policy

import (
	"math"
	"slices"
	"sort"
	"time"
)

// hold puts a request at the end of the queue of its priority.
func (g *Engine) hold(r *request) {
	r.rank, r.why, r.held = r.worth(), WindowFull, true
	i := sort.Search(len(g.queue), func(i int) bool { return g.queue[i].rank < r.rank })
	g.queue = slices.Insert(g.queue, i, r)
}

func (g *Engine) unhold(r *request) {
	i := slices.Index(g.queue, r)
	g.queue, r.held = slices.Delete(g.queue, i, i+1), false
}

// release fills the window: the head of the highest queue goes first. One that may not go yet, by its
// customer's cap or ceiling or for want of a server of its group, lets the next pass. Where one that is bound
// to no group finds none, nobody does: looking on would cost a look at each server for each that is held.
func (g *Engine) release() {
	for i := 0; i < len(g.queue) && g.hasRoom(); {
		r := g.queue[i]
		if !g.mayGo(r) {
			i++
		} else if s := g.choose(r); s != nil {
			g.unhold(r)
			g.send(r, s)
		} else if r.why = NoBackend; r.anchor() == nil {
			return
		} else {
			i++
		}
	}
}

// part is this gateway's part of a few attempts for each server: the window's start, the retries saved up.
func (g *Engine) part() float64 {
	return max(1, startPerHost*float64(len(g.fleet))/float64(g.set.Instances))
}

// hasRoom says whether the window lets another attempt out; below one they go one by one, with pauses.
func (g *Engine) hasRoom() bool {
	return float64(g.busy) < g.window && (g.window >= 1 || (g.now-g.lastSent).Seconds() >= g.lag/g.window)
}

func (g *Engine) mayGo(r *request) bool {
	if g.now >= r.GiveUpAt || r.plan.MaxInFlight > 0 && r.cust.open >= g.share(r.cust) {
		r.why = CapFull
		return false
	}
	if r.sent { // held for another attempt, while its group may have begun to forget the first
		return g.repeatable(r)
	}
	if !g.ceilingRoom(r) {
		r.why = Ceiling
		return false
	}
	return true
}

// expire ends a held request that cannot be answered in time, by the learned latency; where lateness still
// earns something it goes on at that worth.
func (g *Engine) expire(r *request) {
	need := min(r.class.takes(sureDevs), r.class.LatencyObjective)
	if r.sent && !g.repeatable(r) || g.now+min(need, r.class.takes(0)) >= r.GiveUpAt-2*g.sweep {
		g.giveUp(r)
		return
	}
	switch {
	case !r.held, r.late, g.now+need < r.arrived+r.class.LatencyObjective: // not held: it waits for the counter
	case r.class.LateShare <= 0:
		g.giveUp(r)
	default:
		g.unhold(r)
		r.late = true
		g.hold(r)
	}
}

// judge counts an attempt's end towards the window.
func (g *Engine) judge(a *attempt, c *class, o Outcome, took time.Duration) {
	switch {
	case o == Rejected || o == TimedOut || o == Succeeded && took > c.LatencyObjective/3:
		g.bad, c.bad = g.bad+1, c.bad+1
		if a.s.badRound != g.roundNo {
			a.s.badRound = g.roundNo
			g.hit++
		}
	case o == Succeeded:
		g.good, c.good = g.good+1, c.good+1
		if float64(g.busy) >= 0.8*g.window-1 || len(g.queue) > 0 {
			step := 1.0
			if g.bad > 0 || g.lately > 0 {
				step = min(1, g.part()/widenPart)
			}
			g.window += min(step/g.window, g.window*widenBy)
		}
	}
}

// endRound narrows the window, once a round trip at most, where many servers answer late or turn work away.
func (g *Engine) endRound() {
	n := float64(g.good + g.bad)
	if g.now < g.round || n < 8 && g.bad < 3 {
		return
	}
	least := float64(g.bad) / n // long calls of one class are not a full back end: the best class tells
	for _, c := range g.classes {
		if m := c.good + c.bad; m >= 4 {
			least = min(least, float64(c.bad)/float64(m))
		}
		c.good, c.bad = 0, 0
	}
	fleet := float64(len(g.fleet))
	if least > lateShareBad && float64(g.hit) >= max(min(3, fleet), localShare*min(n, fleet)) {
		// Scarce evidence fills a round slowly: it then stands for all the round trips that have gone by.
		trips := min(1+(g.now-g.round).Seconds()/max(g.lag, g.sweep.Seconds()), mostTrips)
		g.window = max(g.window*math.Pow(narrowBy, trips), leastWindow, fleet/float64(g.set.Instances))
	}
	g.roundNo, g.lately, g.good, g.bad, g.hit = g.roundNo+1, g.bad, 0, 0, 0
	g.round = g.now + max(time.Duration(g.lag*float64(time.Second)), 2*g.sweep)
}
