package discovery

import "time"

// A change is to be known 6 s after discovery had it and could be reached. These bounds fit into that: the next call
// begins at most 4.8 s after the one before, 4.4 s if that one wasn't answered, and the rest is the call's own time.
const (
	smallFleet = 20 // instances, at most, that may each call at their own pace

	initialBackoff  = 100 * time.Millisecond // of a small fleet, after a failure; doubled each time
	maxBackoff      = 2 * time.Second        // of a small fleet
	maxAgentBackoff = 400 * time.Millisecond // where an agent answers by itself
	maxCallInterval = 4400 * time.Millisecond

	startSpread     = 2 * time.Second // within which a large fleet that starts at one moment begins to watch
	reconnectSpread = 4 * time.Second // within which a large fleet watches again whose watches broke at one moment

	slowRejection       = 400 * time.Millisecond // a rejection that late has waited for its turn, and has cost work
	toleratedRejections = 8                      // in a row, before immediate ones count as overload as well
	maxRetryAfter       = 20 * time.Second       // that is honored
)

// interval is a range of the time from the beginning of one call to that of the next.
type interval struct{ min, max time.Duration }

// The intervals of a large fleet. Discovery can take a call of every instance within 8 s, mostly within 4 s.
var (
	unreachableInterval    = interval{3200 * time.Millisecond, maxCallInterval}
	firstRejectionInterval = interval{1200 * time.Millisecond, 3200 * time.Millisecond}
	// Fewer calls than one of every instance in 4 s.
	rejectionInterval = interval{4200 * time.Millisecond, 4800 * time.Millisecond}
	overloadInterval  = interval{4400 * time.Millisecond, 13200 * time.Millisecond}
	// One call of every instance in 17.6 s, on average.
	sustainedOverloadInterval = interval{8800 * time.Millisecond, 26400 * time.Millisecond}
)

// pick returns the point of the interval that a random number in [0, 1) selects.
func (i interval) pick(random float64) time.Duration {
	return i.min + time.Duration(random*float64(i.max-i.min))
}

// remaining returns what is left of a picked interval when the call that began it has ended.
func (i interval) remaining(call callResult, random float64) time.Duration {
	return max(0, i.pick(random)-call.took)
}

// callOutcome says how a call ended.
type callOutcome int

const (
	watchBroken callOutcome = iota // a watch that brought something, then ended or was reset
	watchSilent                    // an open watch that brought nothing for its silence timeout
	unreachable                    // connection refused, reset, not answered in time, or ended without data
	rejected                       // answered with a status other than 200: discovery is up, and takes no call now
)

// callResult is a call that has ended.
type callResult struct {
	outcome    callOutcome
	took       time.Duration // from its beginning to its end
	retryAfter time.Duration // that a rejection named; 0: none
}

// pacer decides when discovery is called next. It reads no clock and draws nothing at random; it is not safe for
// concurrent use.
//
// An agent that answers by itself, and discovery shared by a small fleet, is called again after an exponential backoff.
// The instances of a large fleet share what discovery can take: they call at a rate that allows for a call of each
// within 4 s, at random phases. Discovery that can't be reached loses nothing by calls, and is called within
// maxCallInterval. Discovery that rejects calls is called a little less often. Where rejections go on, or come so late
// that they cost it work, the interval grows to a multiple: the instances are all the load that an overloaded discovery
// has, so only they can relieve it.
type pacer struct {
	instances      int
	backoff        time.Duration // of a small fleet: the next one
	failures       int           // in a row, rejections among them
	rejections     int           // in a row
	slowRejections int           // in a row
	lastWatchBrief bool          // the last watch brought something and broke before the next call was due
}

func newPacer(instances int) pacer { return pacer{instances: instances, backoff: initialBackoff} }

// isLargeFleet reports whether the instances are too many for each to call at its own pace.
func (p *pacer) isLargeFleet() bool { return p.instances > smallFleet }

// startDelay returns how long an instance of a large fleet waits before its first call, if it has a list.
func (p *pacer) startDelay(random float64) time.Duration {
	return time.Duration(random * float64(startSpread))
}

// nextDelay returns how long to wait between the end of a call and the beginning of the next; random is in [0, 1).
func (p *pacer) nextDelay(call callResult, random float64) time.Duration {
	if !p.isLargeFleet() {
		return p.delayBySmallFleet(call, random)
	}
	switch call.outcome {
	case watchBroken:
		return p.delayAfterBrokenWatch(call, random)
	case watchSilent:
		p.reset()
		return 0 // the silence took most of the time, and ends at a random moment at each instance
	case rejected:
		return p.delayAfterRejection(call, random)
	case unreachable:
		return p.delayAfterFailure(call, random)
	}
	return p.delayAfterFailure(call, random)
}

// delayBySmallFleet returns the backoff, and doubles it for the next failure.
func (p *pacer) delayBySmallFleet(call callResult, random float64) time.Duration {
	if call.outcome == watchBroken || call.outcome == watchSilent { // the call itself had not failed
		p.backoff = initialBackoff
	}
	backoff := p.backoff
	limit := maxBackoff
	if p.instances == 1 {
		limit = maxAgentBackoff
	}
	p.backoff = min(2*backoff, limit)
	delay := interval{backoff / 2, backoff + backoff/2}.pick(random)
	return max(0, min(delay, maxCallInterval-call.took))
}

// delayAfterBrokenWatch returns a random delay within reconnectSpread; after a watch that breaks early repeatedly, the
// delay after a failure.
func (p *pacer) delayAfterBrokenWatch(call callResult, random float64) time.Duration {
	lastBrief := p.lastWatchBrief
	p.reset()
	p.lastWatchBrief = call.took < reconnectSpread
	if lastBrief && p.lastWatchBrief {
		return unreachableInterval.remaining(call, random)
	}
	return time.Duration(random * float64(reconnectSpread))
}

// delayAfterFailure picks a new phase after the first failure, which may have come to all instances at one moment, and
// keeps to it roughly.
func (p *pacer) delayAfterFailure(call callResult, random float64) time.Duration {
	p.failures++
	p.rejections = 0
	p.slowRejections = 0
	if p.failures == 1 {
		return interval{call.took, maxCallInterval}.remaining(call, random)
	}
	return unreachableInterval.remaining(call, random)
}

// delayAfterRejection returns a delay of an interval that grows with the signs of overload, and honors a Retry-After.
func (p *pacer) delayAfterRejection(call callResult, random float64) time.Duration {
	p.failures++
	p.rejections++
	if call.took >= slowRejection {
		p.slowRejections++
	} else {
		p.slowRejections = 0
	}
	delay := p.intervalAfterRejection().remaining(call, random)
	if call.retryAfter > 0 {
		// All instances may have got the same time: the spread keeps them from returning at one moment.
		spread := time.Duration(random * float64(reconnectSpread))
		delay = max(delay, min(call.retryAfter, maxRetryAfter)+spread)
	}
	return delay
}

// intervalAfterRejection returns an interval that is the wider the surer it is that discovery is overloaded.
func (p *pacer) intervalAfterRejection() interval {
	overload := max(p.slowRejections, p.rejections-toleratedRejections)
	switch {
	case overload > 1:
		return sustainedOverloadInterval
	case overload == 1:
		return overloadInterval
	case p.rejections == 1: // discovery's queue is full, and takes calls again soon
		return firstRejectionInterval
	}
	return rejectionInterval
}

// reset forgets the failures: a watch has brought something.
func (p *pacer) reset() {
	p.failures = 0
	p.rejections = 0
	p.slowRejections = 0
	p.lastWatchBrief = false
}
