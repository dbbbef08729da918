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

// attemptWindow bounds the attempts that are out at once (AIMD). It widens by
// timely answers, and is narrowed at the end of a round of about a round trip in
// which many were untimely.
type attemptWindow struct {
	size                float64       // attempts that may be out at once
	inFlight            int           // attempts that fill the window
	predecessorInFlight int           // those of them that another process of this instance has out
	lastSent            time.Duration // when the last attempt was sent

	roundNumber       int           // of the present round
	roundEnd          time.Duration // earliest end of the present round
	timely            int           // timely ends in this round
	untimely          int           // untimely ends in this round
	untimelyBackends  int           // backends with an untimely end in this round
	untimelyLastRound int           // untimely ends in the round before
}

// windowShare returns this instance's share of a few attempts for each backend:
// the first window, and the most retries that are saved up.
func (e *Engine) windowShare() float64 {
	return max(1, initialAttemptsPerBackend*float64(len(e.running))/float64(e.settings.Instances))
}

// windowHasCapacity reports whether the window lets another attempt out. A window
// below one lets them out one by one, with pauses.
func (e *Engine) windowHasCapacity() bool {
	if float64(e.window.inFlight) >= e.window.size {
		return false
	}
	return e.window.size >= 1 || (e.now-e.window.lastSent).Seconds() >= e.meanLatency/e.window.size
}

// overloaded reports whether requests inside their quotas wait or are about to.
func (e *Engine) overloaded() bool {
	return len(e.queue) > 0 || float64(e.window.inFlight) > max(1, 0.7*e.window.size)
}

// updateWindow counts the end of an attempt toward the window, and widens it
// after a timely one while it is in full use.
func (e *Engine) updateWindow(a *attempt, c *class, outcome Outcome, took time.Duration) {
	switch {
	case outcome == Rejected, outcome == TimedOut, outcome == Succeeded && took > c.LatencyObjective/3:
		e.window.untimely++
		c.untimely++
		if a.backend.untimelyRound != e.window.roundNumber {
			a.backend.untimelyRound = e.window.roundNumber
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

// widenWindow widens the window by one attempt each round trip, or by a part of
// one after untimely ends.
func (e *Engine) widenWindow() {
	step := 1.0
	if e.window.untimely > 0 || e.window.untimelyLastRound > 0 {
		step = min(1, e.windowShare()/fullGrowthWindow)
	}
	e.window.size += min(step/e.window.size, e.window.size*maxWindowGrowth)
}

// endWindowRound narrows the window, once each round trip at most, where many
// backends answer late or reject.
func (e *Engine) endWindowRound() {
	ends := float64(e.window.timely + e.window.untimely)
	if e.now < e.window.roundEnd || ends < 8 && e.window.untimely < 3 {
		return
	}
	untimelyShare := e.minUntimelyShare(ends)
	backends := float64(len(e.running))
	minAffected := max(min(3, backends), minAffectedShare*min(ends, backends))
	if untimelyShare > untimelyShareLimit && float64(e.window.untimelyBackends) >= minAffected {
		// Scarce evidence fills a round slowly: it then stands for all the round trips since.
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

// minUntimelyShare returns the share of untimely ends in the class that has the
// least of them, and starts the classes' counts anew. Long calls of one class do
// not mean that the backends are full.
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
