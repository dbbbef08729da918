package policy

import (
	"math"
	"time"
)

const (
	// initialAttemptsPerBackend is the number of attempts that each backend adds to
	// the sum of the initial windows of all instances.
	initialAttemptsPerBackend = 4.0
	// untimelyShareLimit is the share of late, timed out or rejected attempts in a
	// round above which the window is narrowed.
	untimelyShareLimit = 0.1
	// minAffectedShare is the minimum share of backends with untimely ends for the
	// window to be narrowed. With fewer, these backends are at fault, not the load on
	// the fleet.
	minAffectedShare = 0.25
	// maxWindowGrowth is the maximum growth after one timely response, as a share of
	// the window.
	maxWindowGrowth = 0.05
	// windowDecrease is the factor that narrows the window per round trip.
	windowDecrease = 0.85
	// minWindow allows one attempt every ten round trips, so that an instance keeps
	// observing the backends.
	minWindow = 0.1
	// maxRoundTrips is the maximum number of round trips for which one round narrows
	// the window; at this maximum the window is about halved.
	maxRoundTrips = 4.0
	// fullGrowthWindow is the windowShare from which an instance widens its window by
	// one attempt per round trip after untimely ends. With a smaller share it widens
	// proportionally less, so that many instances together grow no faster than a few.
	fullGrowthWindow = 16.0
)

// attemptWindow limits the attempts in flight (AIMD). Timely responses widen it. A
// round of about one round trip in which many attempts end untimely (late, timed
// out or rejected) narrows it.
type attemptWindow struct {
	size                float64       // maximum number of attempts in flight; may be fractional
	inFlight            int           // attempts in flight that count toward the window
	predecessorInFlight int           // those of them that belong to another process of this instance
	lastSent            time.Duration // when the last attempt was sent

	roundNumber       int           // of the current round
	roundEnd          time.Duration // earliest end of the current round
	timely            int           // timely ends in the current round
	untimely          int           // untimely ends in the current round
	untimelyBackends  int           // backends with an untimely end in the current round
	untimelyLastRound int           // untimely ends in the previous round
}

// windowShare returns this instance's share of initialAttemptsPerBackend attempts
// for each backend, at least 1. It is the initial window and the maximum of the
// retry budget.
func (e *Engine) windowShare() float64 {
	return max(1, initialAttemptsPerBackend*float64(len(e.running))/float64(e.settings.Instances))
}

// windowHasCapacity reports whether the window allows another attempt. A window
// below 1 allows one attempt at a time, with a pause between two of them.
func (e *Engine) windowHasCapacity() bool {
	if float64(e.window.inFlight) >= e.window.size {
		return false
	}
	return e.window.size >= 1 || (e.now-e.window.lastSent).Seconds() >= e.meanLatency/e.window.size
}

// overloaded reports whether requests are queued or the window is nearly full, so
// that requests within their quotas have to wait or soon will.
func (e *Engine) overloaded() bool {
	return len(e.queue) > 0 || float64(e.window.inFlight) > max(1, 0.7*e.window.size)
}

// updateWindow counts the end of an attempt as timely or untimely, and widens the
// window after a timely one if the window is nearly full or requests are queued.
func (e *Engine) updateWindow(a *attempt, c *class, outcome Outcome, took time.Duration) {
	switch {
	case outcome == Rejected, outcome == TimedOut, outcome == Succeeded && took > c.LatencyObjective/3:
		e.window.untimely++
		c.untimely++
		if a.backend.lastUntimelyRound != e.window.roundNumber {
			a.backend.lastUntimelyRound = e.window.roundNumber
			e.window.untimelyBackends++
		}
	case outcome == Succeeded:
		e.window.timely++
		c.timely++
		if float64(e.window.inFlight) >= 0.8*e.window.size-1 || len(e.queue) > 0 {
			e.widenWindow()
		}
	}
}

// widenWindow adds to the window for one response: in sum one attempt per round
// trip, or a fraction of one after untimely ends.
func (e *Engine) widenWindow() {
	step := 1.0
	if e.window.untimely > 0 || e.window.untimelyLastRound > 0 {
		step = min(1, e.windowShare()/fullGrowthWindow)
	}
	e.window.size += min(step/e.window.size, e.window.size*maxWindowGrowth)
}

// endWindowRound ends the current round if it is due, at most once per round trip,
// and narrows the window if attempts ended untimely at many backends.
func (e *Engine) endWindowRound() {
	ends := float64(e.window.timely + e.window.untimely)
	if e.now < e.window.roundEnd || ends < 8 && e.window.untimely < 3 {
		return
	}
	untimelyShare := e.minUntimelyShare(ends)
	backends := float64(len(e.running))
	minAffected := max(min(3, backends), minAffectedShare*min(ends, backends))
	if untimelyShare > untimelyShareLimit && float64(e.window.untimelyBackends) >= minAffected {
		// At low traffic a round spans several round trips: narrow once for each of them.
		trips := 1 + (e.now-e.window.roundEnd).Seconds()/max(e.meanLatency, e.sweepInterval.Seconds())
		narrowed := e.window.size * math.Pow(windowDecrease, min(trips, maxRoundTrips))
		e.window.size = max(narrowed, minWindow, backends/float64(e.settings.Instances))
	}
	e.window.roundNumber++
	e.window.untimelyLastRound = e.window.untimely
	e.window.timely = 0
	e.window.untimely = 0
	e.window.untimelyBackends = 0
	e.window.roundEnd = e.now + max(time.Duration(e.meanLatency*float64(time.Second)), 2*e.sweepInterval)
}

// minUntimelyShare returns the share of untimely ends in the class with the lowest
// share, and resets the counts of the classes. Slow calls of a single class do not
// mean that the backends are overloaded.
func (e *Engine) minUntimelyShare(ends float64) float64 {
	share := float64(e.window.untimely) / ends
	for _, c := range e.classes {
		if n := c.timely + c.untimely; n >= 4 {
			share = min(share, float64(c.untimely)/float64(n))
		}
		c.timely = 0
		c.untimely = 0
	}
	return share
}
