package policy

import (
	"slices"
	"sort"
)

// expiryDeviations is the number of mean deviations over the mean latency within
// which nearly all answers come.
const expiryDeviations = 2.0

// enqueue puts a request at the end of the queue of its priority.
func (e *Engine) enqueue(r *request) {
	r.queuedPriority = r.currentPriority()
	r.reason = WindowFull
	r.phase = phaseQueued
	i := sort.Search(len(e.queue), func(i int) bool { return e.queue[i].queuedPriority < r.queuedPriority })
	e.queue = slices.Insert(e.queue, i, r)
}

// dequeue takes a request out of the queue, to be sent, queued anew or finished.
func (e *Engine) dequeue(r *request) {
	i := slices.Index(e.queue, r)
	e.queue = slices.Delete(e.queue, i, i+1)
	r.phase = phaseInFlight
}

// sendQueued fills the window, highest priority first. A request that may not be
// sent yet, by its tenant's cap or ceiling or for want of a backend of its group,
// lets the next one pass. If there is no backend for a request that is bound to
// no group, there is none for anybody: to go on would cost a look at each backend
// for each queued request.
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

// maySend reports whether a request may be sent now as far as its tenant and its
// earlier attempts are concerned, and notes the reason if it may not.
func (e *Engine) maySend(r *request) bool {
	if e.now >= r.GiveUpAt || r.plan.MaxInFlight > 0 && r.tenant.inFlight >= e.inFlightLimit(r.tenant) {
		r.reason = CapFull
		return false
	}
	if r.sent { // queued for a retry, while its group may have begun to forget the first attempt
		return e.mayRetry(r)
	}
	if !e.ceilingAllows(r) {
		r.reason = Ceiling
		return false
	}
	return true
}

// expire ends a request that cannot be answered in time, by the learned latency.
// Where a late answer still earns something, it stays queued at that priority.
func (e *Engine) expire(r *request) {
	need := min(r.class.expectedLatency(expiryDeviations), r.class.LatencyObjective)
	latestSend := r.GiveUpAt - 2*e.sweepInterval
	if r.sent && !e.mayRetry(r) || e.now+min(need, r.class.expectedLatency(0)) >= latestSend {
		e.giveUp(r)
		return
	}
	switch {
	case r.phase != phaseQueued, r.late: // not queued: it waits for the counter
	case e.now+need < r.arrivedAt+r.class.LatencyObjective:
	case r.class.LateShare <= 0:
		e.giveUp(r)
	default:
		e.dequeue(r)
		r.late = true
		e.enqueue(r)
	}
}
