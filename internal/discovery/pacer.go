package discovery

import "time"

// An instance must know a change within 6 s after discovery has it and is reachable. These bounds meet that: a call
// begins at most 4.8 s after the previous one, 4.4 s if that one got no response, and the rest is left for the call
// itself. A call is a request to discovery for a watch.
const (
	smallFleet = 20 // max instances that may call without regard to one another

	initialBackoff  = 100 * time.Millisecond // of a small fleet, after a failure; doubled after each further one
	maxBackoff      = 2 * time.Second        // of a small fleet
	maxAgentBackoff = 400 * time.Millisecond // where a local agent responds
	maxCallInterval = 4400 * time.Millisecond

	startSpread     = 2 * time.Second // spreads the first calls of a large fleet whose instances start at the same time
	reconnectSpread = 4 * time.Second // spreads the calls of a large fleet whose watches broke at the same time

	slowRejection       = 400 * time.Millisecond // a rejection this late was queued at discovery, and cost it work
	toleratedRejections = 8                      // in a row, after which immediate ones count as overload too
	maxRetryAfter       = 20 * time.Second       // limit to which a Retry-After is honored
)

// interval is a range for the time from the beginning of one call to the beginning of the next.
type interval struct{ min, max time.Duration }

// The intervals of a large fleet. Discovery can serve one call of every instance within 8 s, mostly within 4 s.
var (
	unreachableInterval    = interval{3200 * time.Millisecond, maxCallInterval}
	firstRejectionInterval = interval{1200 * time.Millisecond, 3200 * time.Millisecond}
	// Less than one call of every instance in 4 s.
	rejectionInterval = interval{4200 * time.Millisecond, 4800 * time.Millisecond}
	overloadInterval  = interval{4400 * time.Millisecond, 13200 * time.Millisecond}
	// One call of every instance in 17.6 s, on average.
	sustainedOverloadInterval = interval{8800 * time.Millisecond, 26400 * time.Millisecond}
)

// pick returns the point of the interval that a random number in [0, 1) selects.
func (i interval) pick(random float64) time.Duration {
	return i.min + time.Duration(random*float64(i.max-i.min))
}

// remaining returns the delay from the end of a call until a picked interval since its beginning is over.
func (i interval) remaining(call callResult, random float64) time.Duration {
	return max(0, i.pick(random)-call.took)
}

// callOutcome says how a call ended.
type callOutcome int

const (
	watchBroken callOutcome = iota // a watch that received data, then ended or was reset
	watchSilent                    // an open watch that received nothing for its silence timeout
	unreachable                    // connection refused, reset or ended without data, or no response in time
	rejected                       // a status other than 200: discovery is up, but takes no calls now
)

// callResult is the result of a call that has ended.
type callResult struct {
	outcome    callOutcome
	took       time.Duration // from its beginning to its end
	retryAfter time.Duration // of a rejection; 0: none
}

// pacer decides when to call discovery next. It reads no clock and draws no random numbers; it is not safe for
// concurrent use.
//
// A local agent, and discovery shared by a small fleet, is called again after an exponential backoff. The instances of
// a large fleet share discovery's capacity: they call at a rate that allows one call of each within 4 s, at random
// phases. Calls cost nothing while discovery is unreachable, so it is called within maxCallInterval. If it rejects
// calls, it is called a little less often. If the rejections continue, or arrive so late that they cost it work, the
// interval grows to a multiple: only the instances put load on discovery, so only they can relieve it.
type pacer struct {
	instances      int
	backoff        time.Duration // next backoff of a small fleet
	failures       int           // in a row, including rejections
	rejections     int           // in a row
	slowRejections int           // in a row
	lastWatchBrief bool          // the last watch received data and broke within reconnectSpread
}

func newPacer(instances int) pacer { return pacer{instances: instances, backoff: initialBackoff} }

// isLargeFleet reports whether there are too many instances for each to call without regard to the others.
func (p *pacer) isLargeFleet() bool { return p.instances > smallFleet }

// startDelay returns the delay before the first call of an instance of a large fleet that has a list already.
func (p *pacer) startDelay(random float64) time.Duration {
	return time.Duration(random * float64(startSpread))
}

// nextDelay returns the delay between the end of a call and the beginning of the next; random is in [0, 1).
func (p *pacer) nextDelay(call callResult, random float64) time.Duration {
	if !p.isLargeFleet() {
		return p.delayInSmallFleet(call, random)
	}
	switch call.outcome {
	case watchBroken:
		return p.delayAfterBrokenWatch(call, random)
	case watchSilent:
		p.reset()
		return 0 // the silence timeout took most of the interval, and is random at each instance
	case rejected:
		return p.delayAfterRejection(call, random)
	case unreachable:
		return p.delayAfterFailure(call, random)
	}
	return p.delayAfterFailure(call, random)
}

// delayInSmallFleet returns a random delay around the backoff, and doubles the backoff for the next failure.
func (p *pacer) delayInSmallFleet(call callResult, random float64) time.Duration {
	if call.outcome == watchBroken || call.outcome == watchSilent { // the call itself succeeded
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

// delayAfterBrokenWatch returns a random delay within reconnectSpread. If two watches in a row broke early, it returns
// the delay after a repeated failure.
func (p *pacer) delayAfterBrokenWatch(call callResult, random float64) time.Duration {
	lastBrief := p.lastWatchBrief
	p.reset()
	p.lastWatchBrief = call.took < reconnectSpread
	if lastBrief && p.lastWatchBrief {
		return unreachableInterval.remaining(call, random)
	}
	return time.Duration(random * float64(reconnectSpread))
}

// delayAfterFailure returns a widely spread delay after the first failure, which may have hit all instances at the same
// time. After further failures the delay varies less, which roughly preserves the random phase.
func (p *pacer) delayAfterFailure(call callResult, random float64) time.Duration {
	p.failures++
	p.rejections = 0
	p.slowRejections = 0
	if p.failures == 1 {
		return interval{call.took, maxCallInterval}.remaining(call, random)
	}
	return unreachableInterval.remaining(call, random)
}

// delayAfterRejection returns a delay that grows with the signs of overload, and honors a Retry-After.
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
		// All instances may have got the same Retry-After: the spread keeps them from calling at the same time.
		spread := time.Duration(random * float64(reconnectSpread))
		delay = max(delay, min(call.retryAfter, maxRetryAfter)+spread)
	}
	return delay
}

// intervalAfterRejection returns an interval that grows with the number of rejections that indicate overload.
func (p *pacer) intervalAfterRejection() interval {
	overload := max(p.slowRejections, p.rejections-toleratedRejections)
	switch {
	case overload > 1:
		return sustainedOverloadInterval
	case overload == 1:
		return overloadInterval
	case p.rejections == 1: // discovery's queue is full and will soon have capacity again
		return firstRejectionInterval
	}
	return rejectionInterval
}

// reset clears the failure counts after a watch that was open.
func (p *pacer) reset() {
	p.failures = 0
	p.rejections = 0
	p.slowRejections = 0
	p.lastWatchBrief = false
}
