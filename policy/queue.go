package policy

import (
	"slices"
	"sort"
)

// expiryDeviations is the number of mean deviations above the mean latency within
// which nearly all responses arrive.
const expiryDeviations = 2.0

// enqueue inserts a request behind the queued requests of the same priority.
func (e *Engine) enqueue(r *request) {
	r.queuedPriority = r.currentPriority()
	r.reason = WindowFull
	r.phase = phaseQueued
	i := sort.Search(len(e.queue), func(i int) bool { return e.queue[i].queuedPriority < r.queuedPriority })
	e.queue = slices.Insert(e.queue, i, r)
}

// dequeue removes a request from the queue, to be sent, queued again or finished.
func (e *Engine) dequeue(r *request) {
	i := slices.Index(e.queue, r)
	e.queue = slices.Delete(e.queue, i, i+1)
	r.phase = phaseInFlight
}

// sendQueued sends queued requests while the window has capacity, highest priority
// first. It skips a request that is blocked by its tenant's in-flight limit or
// ceiling, or because no backend of its group is available. If no backend is
// available for a request that may go to any of them, it stops: continuing would
// check every backend again for every queued request.
func (e *Engine) sendQueued() {
	for i := 0; i < len(e.queue) && e.windowHasCapacity(); {
		r := e.queue[i]
		if !e.maySend(r) {
			i++
			continue
		}
		if b := e.chooseBackend(r); b != nil {
			e.dequeue(r)
			e.sendAttempt(r, b)
			continue
		}
		r.reason = NoBackend
		if r.bindingAttempt() == nil {
			return
		}
		i++
	}
}

// maySend reports whether the tenant's limits and the earlier attempts of a request
// allow it to be sent now. If a limit prevents it, maySend sets the reason.
func (e *Engine) maySend(r *request) bool {
	if e.now >= r.GiveUpAt || r.plan.MaxInFlight > 0 && r.tenant.inFlight >= e.inFlightLimit(r.tenant) {
		r.reason = InFlightLimitReached
		return false
	}
	if r.sent { // a retry: its repeat window may have ended while it was queued
		return e.mayRetry(r)
	}
	if !e.ceilingAllows(r) {
		r.reason = Ceiling
		return false
	}
	return true
}

// expire ends a request that cannot be answered in time, judging by the measured
// latency of its class. If only the latency objective will be missed and a late
// response still has value, the request is queued again with a lower priority.
func (e *Engine) expire(r *request) {
	need := min(r.class.expectedLatency(expiryDeviations), r.class.LatencyObjective)
	latestSend := r.GiveUpAt - 2*e.sweepInterval
	if r.sent && !e.mayRetry(r) || e.now+min(need, r.class.expectedLatency(0)) >= latestSend {
		e.rejectOrFail(r)
		return
	}
	switch {
	case r.phase != phaseQueued, r.late: // not queued: waiting for the counter
	case e.now+need < r.arrivedAt+r.class.LatencyObjective:
	case r.class.LateShare <= 0:
		e.rejectOrFail(r)
	default:
		e.dequeue(r)
		r.late = true
		e.enqueue(r)
	}
}
