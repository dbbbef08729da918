package discovery

import "time"

// A change counts as told 6 s after discovery had it and could be reached. These bounds fit into it: the next call begins 4.8 s
// after the one before at the latest, 4.4 s where that one wasn't answered, and the rest is the call's own time.
const (
	smallFleet = 20 // instances that may each ask at their own pace

	initialBackoff  = 100 * time.Millisecond // of a few, after a failure; doubled each time
	maxBackoff      = 2 * time.Second        // of a few
	maxAgentBackoff = 400 * time.Millisecond // where an agent answers by itself
	maxCallInterval = 4400 * time.Millisecond

	startSpread     = 2 * time.Second // of many: all that start together watch after it
	reconnectSpread = 4 * time.Second // of many: all whose watches broke together are back after it

	slowRejection       = 400 * time.Millisecond // a call that is refused so late has waited for its turn, and cost discovery work
	toleratedRejections = 8                      // in a row, some 35 s, before refusals at once count as overload as well
	maxRetryAfter       = 20 * time.Second       // that a Retry-After is believed
)

// gap is a span between the beginnings of two calls.
type interval struct{ min, max time.Duration }

// The gaps of many instances. Discovery can take a call of everyone within 8 s, mostly within 4 s.
var (
	unreachableInterval       = interval{3200 * time.Millisecond, maxCallInterval}
	firstRejectionInterval    = interval{1200 * time.Millisecond, 3200 * time.Millisecond} // its queue of 2 s is full, and gets shorter
	rejectionInterval         = interval{4200 * time.Millisecond, 4800 * time.Millisecond} // all together less than a call of everyone in 4 s
	overloadInterval          = interval{4400 * time.Millisecond, 13200 * time.Millisecond}
	sustainedOverloadInterval = interval{8800 * time.Millisecond, 26400 * time.Millisecond} // a call of everyone in 17.6 s
)

// at is the point of the span that a chance in [0, 1) names.
func (g interval) pick(chance float64) time.Duration {
	return g.min + time.Duration(chance*float64(g.max-g.min))
}

// ending says how a call ended.
type callOutcome int

const (
	watchBroken callOutcome = iota // a watch that brought something, then ended or was reset
	watchSilent                    // an open watch on which nothing came for its patience
	unreachable                    // refused a connection, reset, not answered in time, or ended without a word
	rejected                       // answered with a status other than 200: discovery is there, and takes no call now
)

// result is a call that has ended.
type callResult struct {
	outcome    callOutcome
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
	instances      int
	backoff        time.Duration // of a few: the next one
	failures       int           // in a row
	rejections     int           // in a row
	slowRejections int           // in a row, of slow refusals
	lastWatchBrief bool          // the last watch brought something and broke before the next call was due
}

func newPacer(instances int) pacer { return pacer{instances: instances, backoff: initialBackoff} }

// many reports whether the instances are too many for each to ask at its own pace.
func (p *pacer) isLargeFleet() bool { return p.instances > smallFleet }

// start is how long one of many instances waits before its first call, if it can serve without one.
func (p *pacer) startDelay(chance float64) time.Duration {
	return time.Duration(chance * float64(startSpread))
}

// wait is how long to wait after a call that has ended before the next one begins; chance is in [0, 1).
func (p *pacer) nextDelay(r callResult, chance float64) time.Duration {
	if !p.isLargeFleet() {
		return p.delayBySmallFleet(r, chance)
	}
	switch r.outcome {
	case watchBroken:
		return p.delayAfterBrokenWatch(r, chance)
	case watchSilent:
		p.reset()
		return 0 // silence has taken most of the time, and ends at a random moment at each
	case rejected:
		return p.delayAfterRejection(r, chance)
	default:
		return p.delayAfterFailure(r, chance)
	}
}

// waitOfFew doubles the pause with each failure.
func (p *pacer) delayBySmallFleet(r callResult, chance float64) time.Duration {
	if r.outcome == watchBroken || r.outcome == watchSilent { // it was no call that failed: what it misses is owed soon
		p.backoff = initialBackoff
	}
	pause := p.backoff
	longest := maxBackoff
	if p.instances == 1 {
		longest = maxAgentBackoff
	}
	p.backoff = min(2*pause, longest)
	wait := interval{pause / 2, pause + pause/2}.pick(chance)
	return max(0, min(wait, maxCallInterval-r.took))
}

// afterBroken returns at a random moment within returnWithin; after a watch that breaks soon, again and again, as after a failure.
func (p *pacer) delayAfterBrokenWatch(r callResult, chance float64) time.Duration {
	again := p.lastWatchBrief
	p.reset()
	p.lastWatchBrief = r.took < reconnectSpread
	if again && p.lastWatchBrief {
		return unreachableInterval.remaining(r, chance)
	}
	return time.Duration(chance * float64(reconnectSpread))
}

// afterFailure takes a new phase after the first failure, which can have come to all in one moment, and keeps to it roughly.
func (p *pacer) delayAfterFailure(r callResult, chance float64) time.Duration {
	p.failures++
	p.rejections, p.slowRejections = 0, 0
	if p.failures == 1 {
		return interval{r.took, maxCallInterval}.remaining(r, chance)
	}
	return unreachableInterval.remaining(r, chance)
}

func (p *pacer) delayAfterRejection(r callResult, chance float64) time.Duration {
	p.failures++
	p.rejections++
	if r.took >= slowRejection {
		p.slowRejections++
	} else {
		p.slowRejections = 0
	}
	next := p.intervalAfterRejection()
	wait := next.remaining(r, chance)
	if r.retryAfter > 0 { // all were told the same: they don't come back in one moment
		wait = max(wait, min(r.retryAfter, maxRetryAfter)+time.Duration(chance*float64(reconnectSpread)))
	}
	return wait
}

// gapOfRefusal is wider the surer it is that discovery is overloaded.
func (p *pacer) intervalAfterRejection() interval {
	switch overload := max(p.slowRejections, p.rejections-toleratedRejections); {
	case overload > 1:
		return sustainedOverloadInterval
	case overload == 1:
		return overloadInterval
	case p.rejections == 1:
		return firstRejectionInterval
	}
	return rejectionInterval
}

func (p *pacer) reset() {
	p.failures, p.rejections, p.slowRejections, p.lastWatchBrief = 0, 0, 0, false
}

// after is what is left of the span once the call that began it has ended.
func (g interval) remaining(r callResult, chance float64) time.Duration {
	return max(0, g.pick(chance)-r.took)
}
