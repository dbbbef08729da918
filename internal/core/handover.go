package core

import (
	"context"
	"errors"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/internal/handover"
)

// predecessorGrace is how long after a handover the previous process's in-flight attempts count as still in flight.
// Nearly all of them have ended by then.
const predecessorGrace = 700 * time.Millisecond

// The events of a handover between two processes of this instance.
type (
	handOverRequested struct{ reply chan<- handover.State }
	handoverReceived  struct{ handover.State }
	siblingsChanged   int
)

// HandOver splits the engine's learned state between this process and the next one of this instance, and returns the
// next one's part. It is called once, when this process accepts no more clients. The core continues with its own part.
func (c *Core) HandOver(ctx context.Context) (handover.State, error) {
	reply := make(chan handover.State, 1)
	select {
	case c.events <- handOverRequested{reply}:
	case <-ctx.Done():
		return handover.State{}, ctx.Err()
	}
	select {
	case state := <-reply:
		return state, nil
	case <-ctx.Done():
		return handover.State{}, ctx.Err()
	case <-c.stopped:
		return handover.State{}, errors.New("the core has stopped")
	}
}

// AcceptHandover imports the state that the previous process has handed over. It is called before clients are accepted.
func (c *Core) AcceptHandover(state handover.State) { c.post(handoverReceived{state}) }

// SetSiblings sets the number of sibling processes. While there are any, this process uses half of the instance's
// connections to backends. When there are none, the previous process's in-flight attempts no longer count.
func (c *Core) SetSiblings(siblings int) { c.post(siblingsChanged(siblings)) }

func (c *Core) setSiblings(siblings int) {
	c.backends.SetMaxConnections(c.backendConnections(siblings))
	c.shareIDs(siblings > 0)
	if siblings == 0 {
		c.engine.ReleasePredecessor()
	}
}

// backendConnections returns the maximum connections to backends of this process, given its number of siblings.
func (c *Core) backendConnections(siblings int) int {
	if siblings > 0 {
		return c.maxConnections / 2
	}
	return c.maxConnections
}

// handOver replies with the state for the next process and retains the rest.
func (c *Core) handOver(ev handOverRequested) {
	c.shareIDs(true)
	retained, given := handover.Split(c.engine.ExportState())
	c.engine.RetainUnits(retained)
	list := discovery.List{Rev: c.endpoints.revision, Complete: true}
	for _, target := range c.endpoints.targets {
		list.Targets = append(list.Targets, target)
	}
	ev.reply <- handover.State{At: c.now, Learned: given, List: list}
}

// acceptHandover imports the state of the previous process.
func (c *Core) acceptHandover(state handover.State) {
	// Before discovery's first update, the previous process's list may be newer than that of the configuration.
	if c.endpoints.updates < 2 && state.List.Rev > c.endpoints.revision {
		c.updateEndpoints(state.List.Usable(c.log))
		c.flushEvents()
	}
	c.engine.ImportState(c.now, state.Learned)
	c.scheduleAfter(predecessorGrace, c.engine.ReleasePredecessor)
	c.log.Info("state of the previous process imported",
		"tenants", len(state.Learned.Tenants), "backends", len(state.Learned.Backends), "age", c.now-state.At)
}
