package policy

import (
	"math"
	"time"
)

const (
	// initialAttemptsPerBackend is the part of the first window that each backend
	// gives all instances together.
	initialAttemptsPerBackend = 4.0
	// untimelyShareLimit is the share of untimely ends in a round above which the
	// window is narrowed.
	untimelyShareLimit = 0.1
	// minAffectedShare is the share of backends that must have had untimely ends:
	// with fewer it is their own fault, not that of the fleet.
	minAffectedShare = 0.25
	// maxWindowGrowth is the largest growth by one timely answer, as a share of the
	// window.
	maxWindowGrowth = 0.05
	// windowDecrease is the factor by which the window is narrowed each round trip.
	windowDecrease = 0.85
	// minWindow lets an instance go on learning: an attempt each ten round trips.
	minWindow = 0.1
	// maxRoundTrips is the most round trips that one round stands for: that halves
	// the window.
	maxRoundTrips = 4.0
	// fullGrowthWindow is an instance's share of the first window with which it widens
	// by a whole attempt each round trip after untimely ends; a smaller share widens
	// by less.
	fullGrowthWindow = 16.0
)

// windowShare returns this instance's share of a few attempts for each backend:
// the first window, and the most retries that are saved up.
func (e *Engine) windowShare() float64 {
	return max(1, initialAttemptsPerBackend*float64(len(e.running))/float64(e.settings.Instances))
}

// windowHasCapacity reports whether the window lets another attempt out. A window
// below one lets them out one by one, with pauses.
func (e *Engine) windowHasCapacity() bool {
	if float64(e.inFlight) >= e.window {
		return false
	}
	return e.window >= 1 || (e.now-e.lastSent).Seconds() >= e.meanLatency/e.window
}

// overloaded reports whether requests inside their quotas wait or are about to.
func (e *Engine) overloaded() bool {
	return len(e.queue) > 0 || float64(e.inFlight) > max(1, 0.7*e.window)
}

// updateWindow counts the end of an attempt toward the window, and widens it
// after a timely one while it is in full use.
func (e *Engine) updateWindow(a *attempt, c *class, outcome Outcome, took time.Duration) {
	switch {
	case outcome == Rejected, outcome == TimedOut, outcome == Succeeded && took > c.LatencyObjective/3:
		e.untimely++
		c.untimely++
		if a.backend.untimelyRound != e.roundNumber {
			a.backend.untimelyRound = e.roundNumber
			e.untimelyBackends++
		}
	case outcome == Succeeded:
		e.timely++
		c.timely++
		if float64(e.inFlight) >= 0.8*e.window-1 || len(e.queue) > 0 {
			e.widenWindow()
		}
	}
}

// widenWindow widens the window by one attempt each round trip, or by a part of
// one after untimely ends.
func (e *Engine) widenWindow() {
	step := 1.0
	if e.untimely > 0 || e.untimelyLastRound > 0 {
		step = min(1, e.windowShare()/fullGrowthWindow)
	}
	e.window += min(step/e.window, e.window*maxWindowGrowth)
}

// endWindowRound narrows the window, once each round trip at most, where many
// backends answer late or reject.
func (e *Engine) endWindowRound() {
	ends := float64(e.timely + e.untimely)
	if e.now < e.roundEnd || ends < 8 && e.untimely < 3 {
		return
	}
	untimelyShare := e.minUntimelyShare(ends)
	backends := float64(len(e.running))
	minAffected := max(min(3, backends), minAffectedShare*min(ends, backends))
	if untimelyShare > untimelyShareLimit && float64(e.untimelyBackends) >= minAffected {
		// Scarce evidence fills a round slowly: it then stands for all the round trips since.
		trips := 1 + (e.now-e.roundEnd).Seconds()/max(e.meanLatency, e.sweepInterval.Seconds())
		narrowed := e.window * math.Pow(windowDecrease, min(trips, maxRoundTrips))
		e.window = max(narrowed, minWindow, backends/float64(e.settings.Instances))
	}
	e.roundNumber++
	e.untimelyLastRound = e.untimely
	e.timely = 0
	e.untimely = 0
	e.untimelyBackends = 0
	e.roundEnd = e.now + max(time.Duration(e.meanLatency*float64(time.Second)), 2*e.sweepInterval)
}

// minUntimelyShare returns the share of untimely ends in the class that has the
// least of them, and starts the classes' counts anew. Long calls of one class do
// not mean that the backends are full.
func (e *Engine) minUntimelyShare(ends float64) float64 {
	share := float64(e.untimely) / ends
	for _, c := range e.classes {
		if n := c.timely + c.untimely; n >= 4 {
			share = min(share, float64(c.untimely)/float64(n))
		}
		c.timely = 0
		c.untimely = 0
	}
	return share
}
