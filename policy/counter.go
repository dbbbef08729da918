package policy

import (
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// counterNameRetention is the longest that the counter keeps a name.
	counterNameRetention = 60 * time.Second
	// epochLength is the window that a counter name stands for; within it the
	// allowance grows at the plan's rate.
	epochLength = counterNameRetention * 5 / 6
	// exhaustedCallInterval is the time between two calls for a tenant with nothing
	// left.
	exhaustedCallInterval = 250 * time.Millisecond
)

// callCounter adds what is unreported and the next block to the counter. One call
// for each tenant is out at a time.
func (e *Engine) callCounter(t *tenant, block float64) {
	if !e.settings.Counter || t.sparse || t.callPending || e.now < t.nextCall {
		return
	}
	t.startEpoch(int64((e.now + t.windowOffset) / epochLength))
	t.callPending = true
	t.callUnits = t.unreportedUnits + block
	t.callBlock = block
	t.unreportedUnits = 0
	e.emit(AddToCounter{Name: t.counterName(), Add: t.callUnits, Keep: counterNameRetention})
}

// startEpoch moves on to another counter name, which starts at 0.
func (t *tenant) startEpoch(epoch int64) {
	if epoch != t.epoch {
		t.epoch = epoch
		t.total = 0
	}
}

// counterName returns the name at the counter for the present epoch.
func (t *tenant) counterName() string {
	return t.account + ":" + strconv.FormatInt(t.epoch, 36)
}

// handleCounterReply takes a reply of the counter for the tenant that its name
// belongs to.
func (e *Engine) handleCounterReply(reply CounterReply) {
	t := e.tenants[reply.Name[:max(0, strings.LastIndexByte(reply.Name, ':'))]]
	if t != nil && len(t.awaitingCounter) > 0 {
		e.handleGrantReply(t, reply)
		return
	}
	if t == nil || !t.callPending {
		return
	}
	t.callPending = false
	e.refreshTenant(t)
	if reply.Outcome == Succeeded {
		e.handleTotal(t, reply.Total)
	} else {
		e.handleCounterFailure(t, reply.Outcome)
	}
}

// handleTotal takes what others have added since the last total off the level, and
// leases the block that the call was for as far as the level allows.
func (e *Engine) handleTotal(t *tenant, total float64) {
	e.counterFailures = 0
	t.counterSilent = false
	addedByOthers := total - t.callUnits - t.total
	if addedByOthers < -t.plan.Burst {
		addedByOthers = 0 // the counter has lost its numbers: it shows less than is known, so nothing new
	}
	if t.totalAt == 0 { // the first total: all that the name holds may have been taken a moment ago
		t.levelAt = e.now
		t.level = max(t.plan.Burst, addedByOthers) - t.total - t.callUnits + t.callBlock - t.unreportedUnits
	} else {
		elapsed := max((e.now - t.totalAt).Seconds(), 0.01)
		t.othersRate += (max(0, addedByOthers)/elapsed - t.othersRate) * (1 - math.Exp(-2*elapsed))
		addedByOthers -= max(0, min(addedByOthers, t.presumedUnits))
	}
	// What was admitted beyond the quota took nothing from the true one, so the debt is bounded.
	level := min(t.maxLevel(), t.level+t.refilled(e.now)-addedByOthers)
	t.level = max(-t.plan.Burst/2, level)
	t.levelAt = e.now
	t.total = total
	t.totalAt = e.now
	t.presumedUnits = 0
	t.leaseUnits(max(0, min(t.callBlock, t.level/float64(t.spread))))
	t.unreportedUnits -= t.callBlock
	t.nextCall = e.now + e.settings.CounterTimeout/8
	if t.leasedUnits < 1 {
		t.nextCall = e.now + exhaustedCallInterval
	}
}

// handleCounterFailure goes on without the counter: the leased units grow at this
// instance's share of the rate until a total comes. A garbled reply is not
// silence: the amount was added, and the next total shows the rest.
func (e *Engine) handleCounterFailure(t *tenant, outcome Outcome) {
	if outcome == Failed {
		t.total += t.callUnits
		t.unreportedUnits -= t.callBlock
		t.nextCall = e.now
		return
	}
	if outcome.NeverRan() { // else it may have been added, and shows once as others' use
		t.unreportedUnits += t.callUnits - t.callBlock
	}
	e.counterFailures++
	if !t.counterSilent {
		t.leaseUnits(max(0, e.availableUnits(t)) / t.shareDivisor)
		t.counterSilent = true
	}
	backoff := e.settings.CounterTimeout << min(e.counterFailures, 4)
	t.nextCall = e.now + backoff + time.Duration(e.rng.Int64N(int64(backoff)))
}
