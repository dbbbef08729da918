package policy

import (
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// counterNameRetention is the maximum time that the counter retains a name.
	counterNameRetention = 60 * time.Second
	// epochLength is the length of the window of one counter name. During it the
	// quota fills at the plan's rate.
	epochLength = counterNameRetention * 5 / 6
	// exhaustedCallInterval is the time between two calls for a tenant that has no
	// units left.
	exhaustedCallInterval = 250 * time.Millisecond
)

// callCounter adds the unreported units and the next block to the counter. At most
// one call per tenant is in flight.
func (e *Engine) callCounter(t *tenant, block float64) {
	if !e.settings.Counter || t.sparse || t.callPending || e.now < t.nextCall {
		return
	}
	t.startEpoch(int64((e.now + t.windowOffset) / epochLength))
	t.callPending = true
	t.callUnits = t.unreportedUnits + block
	t.callBlock = block
	t.unreportedUnits = 0
	e.emit(AddToCounter{Name: t.counterName(), Add: t.callUnits, Retention: counterNameRetention})
}

// startEpoch switches to the counter name of the given epoch, whose total starts
// at 0.
func (t *tenant) startEpoch(epoch int64) {
	if epoch != t.epoch {
		t.epoch = epoch
		t.total = 0
	}
}

// counterName returns the tenant's name at the counter in the current epoch.
func (t *tenant) counterName() string {
	return t.account + ":" + strconv.FormatInt(t.epoch, 36)
}

// handleCounterReply passes a counter reply to the tenant that owns the name.
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
		e.handleCounterTotal(t, reply.Total)
	} else {
		e.handleCounterFailure(t, reply.Outcome)
	}
}

// handleCounterTotal deducts the units that others have added since the last total
// from the level, and leases as much of the requested block as the level allows.
func (e *Engine) handleCounterTotal(t *tenant, total float64) {
	e.counterFailures = 0
	t.counterSilent = false
	addedByOthers := total - t.callUnits - t.total
	if addedByOthers < -t.plan.Burst {
		addedByOthers = 0 // the total is below the known one: the counter has lost its data
	}
	if t.totalAt == 0 { // the first total: all of its units may have been used just now
		t.levelAt = e.now
		t.level = max(t.plan.Burst, addedByOthers) - t.total - t.callUnits + t.callBlock - t.unreportedUnits
	} else {
		elapsed := max((e.now - t.totalAt).Seconds(), 0.01)
		t.othersRate += (max(0, addedByOthers)/elapsed - t.othersRate) * (1 - math.Exp(-2*elapsed))
		addedByOthers -= max(0, min(addedByOthers, t.assumedOthersUnits))
	}
	// Units admitted beyond the quota are not real use of it, so the deficit is limited.
	level := min(t.maxLevel(), t.level+t.refilled(e.now)-addedByOthers)
	t.level = max(-t.plan.Burst/2, level)
	t.levelAt = e.now
	t.total = total
	t.totalAt = e.now
	t.assumedOthersUnits = 0
	t.leaseUnits(max(0, min(t.callBlock, t.level/float64(t.spread))))
	t.unreportedUnits -= t.callBlock
	t.nextCall = e.now + e.settings.CounterTimeout/8
	if t.leasedUnits < 1 {
		t.nextCall = e.now + exhaustedCallInterval
	}
}

// handleCounterFailure handles a failed counter call. If the counter is silent, the
// leased units grow at this instance's share of the rate until the next total. If
// the reply was garbled, the units were added nevertheless, and the next total
// includes them.
func (e *Engine) handleCounterFailure(t *tenant, outcome Outcome) {
	if outcome == Failed {
		t.total += t.callUnits
		t.unreportedUnits -= t.callBlock
		t.nextCall = e.now
		return
	}
	if outcome.NeverRan() { // otherwise the units may have been added and will count once as use by others
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
