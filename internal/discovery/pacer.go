package discovery

import "time"

// A change counts as told 6 s after discovery had it and could be reached. These bounds fit into it: the next call begins 4.8 s
// after the one before at the latest, 4.4 s where that one wasn't answered, and the rest is the call's own time.
const (
	few = 20 // instances that may each ask at their own pace

	firstPause        = 100 * time.Millisecond // of a few, after a failure; doubled each time
	longestPause      = 2 * time.Second        // of a few
	longestAgentPause = 400 * time.Millisecond // where an agent answers by itself
	longestGap        = 4400 * time.Millisecond

	startWithin  = 2 * time.Second // of many: all that start together watch after it
	returnWithin = 4 * time.Second // of many: all whose watches broke together are back after it

	slowRefusal   = 400 * time.Millisecond // a call that is refused so late has waited for its turn, and cost discovery work
	quickRefusals = 8                      // in a row, some 35 s, before refusals at once count as overload as well
	longestNamed  = 20 * time.Second       // that a Retry-After is believed
)

// gap is a span between the beginnings of two calls.
type gap struct{ least, most time.Duration }

// The gaps of many instances. Discovery can take a call of everyone within 8 s, mostly within 4 s.
var (
	afterUnreached    = gap{3200 * time.Millisecond, longestGap}
	afterFirstRefusal = gap{1200 * time.Millisecond, 3200 * time.Millisecond} // its queue of 2 s is full, and gets shorter
	afterRefused      = gap{4200 * time.Millisecond, 4800 * time.Millisecond} // all together less than a call of everyone in 4 s
	afterOverload     = gap{4400 * time.Millisecond, 13200 * time.Millisecond}
	afterOverloads    = gap{8800 * time.Millisecond, 26400 * time.Millisecond} // a call of everyone in 17.6 s
)

// at is the point of the span that a chance in [0, 1) names.
func (g gap) at(chance float64) time.Duration {
	return g.least + time.Duration(chance*float64(g.most-g.least))
}

// ending says how a call ended.
type ending int

const (
	broken    ending = iota // a watch that brought something, then ended or was reset
	silent                  // an open watch on which nothing came for its patience
	unreached               // refused a connection, reset, not answered in time, or ended without a word
	refused                 // answered with a status other than 200: discovery is there, and takes no call now
)

// result is a call that has ended.
type result struct {
	ending     ending
	took       time.Duration // from its beginning to its end
	retryAfter time.Duration // that a refusal named; 0 for none
}

// pacer says when discovery is called next. It has no clock and no chance of its own, and is no more than a few counters; it
// isn't safe for concurrent use.
//
// An agent that answers by itself, and discovery shared by a few, is called again after a pause that doubles. Many instances
// share what discovery can take: they call at a rate that a call of everyone within 4 s allows, at random phases. One that
// can't be reached loses nothing by calls, and is called within longestGap. One that refuses is called a little more seldom;
// where refusals go on, or come so late that they cost it work, the gap grows to a multiple, since an overloaded discovery is left alone
// by nobody else.
type pacer struct {
	instances int
	pause     time.Duration // of a few: the next one
	failures  int           // in a row
	refusals  int           // in a row
	slow      int           // in a row, of slow refusals
	brief     bool          // the last watch brought something and broke before the next call was due
}

func newPacer(instances int) pacer { return pacer{instances: instances, pause: firstPause} }

// many reports whether the instances are too many for each to ask at its own pace.
func (p *pacer) many() bool { return p.instances > few }

// start is how long one of many instances waits before its first call, if it can serve without one.
func (p *pacer) start(chance float64) time.Duration {
	return time.Duration(chance * float64(startWithin))
}

// wait is how long to wait after a call that has ended before the next one begins; chance is in [0, 1).
func (p *pacer) wait(r result, chance float64) time.Duration {
	if !p.many() {
		return p.waitOfFew(r, chance)
	}
	switch r.ending {
	case broken:
		return p.afterBroken(r, chance)
	case silent:
		p.recovered()
		return 0 // silence has taken most of the time, and ends at a random moment at each
	case refused:
		return p.afterRefusal(r, chance)
	default:
		return p.afterFailure(r, chance)
	}
}

// waitOfFew doubles the pause with each failure.
func (p *pacer) waitOfFew(r result, chance float64) time.Duration {
	if r.ending == broken || r.ending == silent { // it was no call that failed: what it misses is owed soon
		p.pause = firstPause
	}
	pause := p.pause
	longest := longestPause
	if p.instances == 1 {
		longest = longestAgentPause
	}
	p.pause = min(2*pause, longest)
	wait := gap{pause / 2, pause + pause/2}.at(chance)
	return max(0, min(wait, longestGap-r.took))
}

// afterBroken returns at a random moment within returnWithin; after a watch that breaks soon, again and again, as after a failure.
func (p *pacer) afterBroken(r result, chance float64) time.Duration {
	again := p.brief
	p.recovered()
	p.brief = r.took < returnWithin
	if again && p.brief {
		return afterUnreached.after(r, chance)
	}
	return time.Duration(chance * float64(returnWithin))
}

// afterFailure takes a new phase after the first failure, which can have come to all in one moment, and keeps to it roughly.
func (p *pacer) afterFailure(r result, chance float64) time.Duration {
	p.failures++
	p.refusals, p.slow = 0, 0
	if p.failures == 1 {
		return gap{r.took, longestGap}.after(r, chance)
	}
	return afterUnreached.after(r, chance)
}

func (p *pacer) afterRefusal(r result, chance float64) time.Duration {
	p.failures++
	p.refusals++
	if r.took >= slowRefusal {
		p.slow++
	} else {
		p.slow = 0
	}
	next := p.gapOfRefusal()
	wait := next.after(r, chance)
	if r.retryAfter > 0 { // all were told the same: they don't come back in one moment
		wait = max(wait, min(r.retryAfter, longestNamed)+time.Duration(chance*float64(returnWithin)))
	}
	return wait
}

// gapOfRefusal is wider the surer it is that discovery is overloaded.
func (p *pacer) gapOfRefusal() gap {
	switch overload := max(p.slow, p.refusals-quickRefusals); {
	case overload > 1:
		return afterOverloads
	case overload == 1:
		return afterOverload
	case p.refusals == 1:
		return afterFirstRefusal
	}
	return afterRefused
}

func (p *pacer) recovered() {
	p.failures, p.refusals, p.slow, p.brief = 0, 0, 0, false
}

// after is what is left of the span once the call that began it has ended.
func (g gap) after(r result, chance float64) time.Duration { return max(0, g.at(chance)-r.took) }
