package policy

import (
	"math"
	"slices"
	"sort"
	"time"
)

// hold puts a request at the end of the queue of its priority.
func (e *Engine) enqueue(r *request) {
	r.queuedPriority, r.reason, r.queued = r.currentPriority(), WindowFull, true
	i := sort.Search(len(e.queue), func(i int) bool { return e.queue[i].queuedPriority < r.queuedPriority })
	e.queue = slices.Insert(e.queue, i, r)
}

func (e *Engine) dequeue(r *request) {
	i := slices.Index(e.queue, r)
	e.queue, r.queued = slices.Delete(e.queue, i, i+1), false
}

// release fills the window: the head of the highest queue goes first. One that may not go yet, by its
// customer's cap or ceiling or for want of a server of its group, lets the next pass. Where one that is bound
// to no group finds none, nobody does: looking on would cost a look at each server for each that is held.
func (e *Engine) sendQueued() {
	for i := 0; i < len(e.queue) && e.windowHasRoom(); {
		r := e.queue[i]
		if !e.maySend(r) {
			i++
		} else if s := e.chooseBackend(r); s != nil {
			e.dequeue(r)
			e.sendAttempt(r, s)
		} else if r.reason = NoBackend; r.bindingAttempt() == nil {
			return
		} else {
			i++
		}
	}
}

// part is this gateway's part of a few attempts for each server: the window's start, the retries saved up.
func (e *Engine) windowShare() float64 {
	return max(1, initialAttemptsPerBackend*float64(len(e.running))/float64(e.settings.Instances))
}

// hasRoom says whether the window lets another attempt out; below one they go one by one, with pauses.
func (e *Engine) windowHasRoom() bool {
	return float64(e.inFlight) < e.window && (e.window >= 1 || (e.now-e.lastSent).Seconds() >= e.meanLatency/e.window)
}

func (e *Engine) maySend(r *request) bool {
	if e.now >= r.GiveUpAt || r.plan.MaxInFlight > 0 && r.tenant.inFlight >= e.inFlightLimit(r.tenant) {
		r.reason = CapFull
		return false
	}
	if r.sent { // held for another attempt, while its group may have begun to forget the first
		return e.mayRetry(r)
	}
	if !e.ceilingAllows(r) {
		r.reason = Ceiling
		return false
	}
	return true
}

// expire ends a held request that cannot be answered in time, by the learned latency; where lateness still
// earns something it goes on at that worth.
func (e *Engine) expire(r *request) {
	need := min(r.class.expectedLatency(expiryDeviations), r.class.LatencyObjective)
	if r.sent && !e.mayRetry(r) || e.now+min(need, r.class.expectedLatency(0)) >= r.GiveUpAt-2*e.sweepInterval {
		e.giveUp(r)
		return
	}
	switch {
	case !r.queued, r.late, e.now+need < r.arrivedAt+r.class.LatencyObjective: // not held: it waits for the counter
	case r.class.LateShare <= 0:
		e.giveUp(r)
	default:
		e.dequeue(r)
		r.late = true
		e.enqueue(r)
	}
}

// judge counts an attempt's end towards the window.
func (e *Engine) updateWindow(a *attempt, c *class, o Outcome, took time.Duration) {
	switch {
	case o == Rejected || o == TimedOut || o == Succeeded && took > c.LatencyObjective/3:
		e.untimely, c.untimely = e.untimely+1, c.untimely+1
		if a.backend.untimelyRound != e.roundNumber {
			a.backend.untimelyRound = e.roundNumber
			e.untimelyBackends++
		}
	case o == Succeeded:
		e.timely, c.timely = e.timely+1, c.timely+1
		if float64(e.inFlight) >= 0.8*e.window-1 || len(e.queue) > 0 {
			step := 1.0
			if e.untimely > 0 || e.untimelyLastRound > 0 {
				step = min(1, e.windowShare()/fullGrowthWindow)
			}
			e.window += min(step/e.window, e.window*maxWindowGrowth)
		}
	}
}

// endRound narrows the window, once a round trip at most, where many servers answer late or turn work away.
func (e *Engine) endWindowRound() {
	n := float64(e.timely + e.untimely)
	if e.now < e.roundEnd || n < 8 && e.untimely < 3 {
		return
	}
	least := float64(e.untimely) / n // long calls of one class are not a full back end: the best class tells
	for _, c := range e.classes {
		if m := c.timely + c.untimely; m >= 4 {
			least = min(least, float64(c.untimely)/float64(m))
		}
		c.timely, c.untimely = 0, 0
	}
	fleet := float64(len(e.running))
	if least > untimelyShareLimit && float64(e.untimelyBackends) >= max(min(3, fleet), minAffectedShare*min(n, fleet)) {
		// Scarce evidence fills a round slowly: it then stands for all the round trips that have gone by.
		trips := min(1+(e.now-e.roundEnd).Seconds()/max(e.meanLatency, e.sweepInterval.Seconds()), maxRoundTrips)
		e.window = max(e.window*math.Pow(windowDecrease, trips), minWindow, fleet/float64(e.settings.Instances))
	}
	e.roundNumber, e.untimelyLastRound, e.timely, e.untimely, e.untimelyBackends = e.roundNumber+1, e.untimely, 0, 0, 0
	e.roundEnd = e.now + max(time.Duration(e.meanLatency*float64(time.Second)), 2*e.sweepInterval)
}
