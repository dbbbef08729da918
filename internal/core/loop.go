package core

import (
	"context"
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/discovery"
	"hitchspring/policy"
)

const (
	eventQueueLength  = 256
	maxEventBatch     = 256 // events handled in a row before due timers fire
	idleCheckInterval = time.Second
	statusInterval    = 250 * time.Millisecond // between two updates of a component's published status
)

// event is a message that another goroutine posts to the loop. Most event types are defined beside their handlers.
type event any

// post queues an event for the loop, and drops it after the loop's end. It blocks while the queue is full.
func (c *Core) post(ev event) {
	select {
	case c.events <- ev:
	case <-c.stopped:
	}
}

// loop handles events and timers until ctx is done. The core's state is confined to its goroutine.
func (c *Core) loop(ctx context.Context) {
	defer close(c.stopped)
	c.startPeriodicWork()
	wakeup := time.NewTimer(0)
	defer wakeup.Stop()
	for idleAt := time.Now(); ; {
		wakeup.Reset(c.timers[0].at - c.clock(idleAt))
		var wokenAt time.Time
		select {
		case <-ctx.Done():
			return
		case ev := <-c.events:
			wokenAt = time.Now()
			c.now = c.clock(wokenAt)
			c.handle(ev)
			for n := 1; n < maxEventBatch && len(c.events) > 0; n++ {
				ev := <-c.events
				c.now = c.clock(time.Now()) // the process may have been suspended since the last event
				c.handle(ev)
			}
		case <-c.overrides.changed:
			wokenAt = time.Now()
			c.now = c.clock(wokenAt)
			c.reapplyOverrides()
		case <-wakeup.C:
			wokenAt = time.Now()
		}
		c.now = c.clock(time.Now())
		c.fireTimers()
		idleAt = time.Now()
		c.cfg.Processor.Charge(idleAt.Sub(wokenAt))
	}
}

// startPeriodicWork schedules the periodic work of the loop. Timers that are due at the same time fire in this order.
func (c *Core) startPeriodicWork() {
	c.scheduleAfter(idleCheckInterval, c.retireIdle)
	if c.zones != nil {
		c.repeat(zoneTickInterval, c.tickZones)
	}
	if c.outliers != nil {
		c.repeat(outlierTickInterval, c.tickOutliers)
	}
	if c.takeover != nil {
		c.repeat(takeoverTickInterval, c.tickTakeover)
	}
	if c.escrow != nil {
		c.repeat(escrowTickInterval, c.tickEscrow)
	}
	c.startSummary()
	if c.cfg.CountBackends {
		c.repeat(backendCountInterval, c.updateBackendCounts)
	}
}

// retireIdle closes connections that have been idle for too long, every idleCheckInterval.
func (c *Core) retireIdle() {
	c.backends.RetireIdle()
	c.scheduleAfter(idleCheckInterval, c.retireIdle)
}

// handle handles one event, and lets the engine react to it.
func (c *Core) handle(ev event) {
	switch ev := ev.(type) {
	case requestArrived:
		c.handleArrival(ev.request)
	case clientsDisconnected:
		for _, r := range ev.requests {
			c.abandonRequest(r)
		}
	case backend.Event:
		c.backends.Handle(ev)
	case counterReplied:
		c.handleCounterReply(ev)
	case discovery.List:
		c.updateEndpoints(ev)
	case leaseRequested:
		c.handleLeaseRequest(ev)
	case waitCanceled:
		c.cancelWait(ev)
	case outcomeReported:
		c.handleOutcomeReport(ev)
	case messageReceived:
		c.handleMessage(ev)
	case assessmentRequested:
		if c.outliers != nil {
			c.tickOutliers()
		}
	default:
		c.handleControl(ev)
	}
	c.flushEvents()
}

// handleControl handles the events that concern the instance rather than a request.
func (c *Core) handleControl(ev event) {
	switch ev := ev.(type) {
	case membersChanged:
		c.updateMembers(ev)
	case zoneDrainsSet:
		c.setZoneDrains(ev)
	case handOverRequested:
		c.handOver(ev)
	case handoverReceived:
		c.acceptHandover(ev.State)
	case siblingsChanged:
		c.setSiblings(int(ev))
	case quotaBoundsRequested:
		c.replyQuotaBounds(ev)
	case answerAllRequested:
		for _, r := range c.requests {
			c.answerOverdue(r)
		}
		c.allAnswered = true
		close(ev.done)
	}
}

// notifyEngine queues an event for the engine until flushEvents.
func (c *Core) notifyEngine(ev policy.Event) { c.engineEvents = append(c.engineEvents, ev) }

// flushEvents lets the engine handle the queued events and performs its actions, which may queue more events.
func (c *Core) flushEvents() {
	// Allocations may have expired while this process was paused: the engine must know before it admits a request.
	if e := c.escrow; e != nil && c.now-e.tickedAt > 2*escrowTickInterval {
		c.tickEscrow()
	}
	for i := 0; i < len(c.engineEvents); i++ {
		c.actions = c.engine.Handle(c.now, c.engineEvents[i], c.actions[:0])
		for _, action := range c.actions {
			c.performAction(action)
		}
	}
	clear(c.engineEvents)
	c.engineEvents = c.engineEvents[:0]
}
