package core

import (
	"context"
	"errors"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/internal/handover"
)

// predecessorGrace is how long the attempts count that the previous process had in flight when it handed over: nearly
// all have ended then.
const predecessorGrace = 700 * time.Millisecond

// The events of a replacement of this process.
type (
	handOverRequested struct{ reply chan<- handover.State }
	handoverReceived  struct{ handover.State }
	siblingsChanged   int
)

// HandOver splits what the engine has learned with the next process of this instance, and returns that one's part. It
// is called once, when no more clients are accepted; the core goes on with the rest.
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
		return handover.State{}, errors.New("the core has ended")
	}
}

// AcceptHandover continues from what the previous process has handed over. It is called before clients are accepted.
func (c *Core) AcceptHandover(state handover.State) { c.post(handoverReceived{state}) }

// SetSiblings sets how many other processes of this instance run. While there are any, this one uses half of the
// connections to backends; when there is none any more, what the previous process had in flight counts no longer.
func (c *Core) SetSiblings(siblings int) { c.post(siblingsChanged(siblings)) }

func (c *Core) setSiblings(siblings int) {
	c.backends.SetMaxConnections(c.backendConnections(siblings))
	if siblings == 0 {
		c.engine.ReleasePredecessor()
	}
}

// backendConnections returns how many connections to backends this process may have beside its siblings.
func (c *Core) backendConnections(siblings int) int {
	if siblings > 0 {
		return c.maxConnections / 2
	}
	return c.maxConnections
}

// handOver gives the next process its part, and retains the rest.
func (c *Core) handOver(ev handOverRequested) {
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
	// While discovery has sent nothing, the previous process's list may be newer than the configuration's.
	if c.endpoints.updates < 2 && state.List.Rev > c.endpoints.revision {
		c.updateEndpoints(state.List.Usable(c.log))
		c.flushEvents()
	}
	c.engine.ImportState(c.now, state.Learned)
	c.scheduleAfter(predecessorGrace, c.engine.ReleasePredecessor)
	c.log.Info("state of the previous process imported",
		"tenants", len(state.Learned.Tenants), "backends", len(state.Learned.Backends), "age", c.now-state.At)
}
