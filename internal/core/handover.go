package core

import (
	"context"
	"errors"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/internal/handover"
)

// lentFor is how long the attempts count that the old process had out when it gave its work away: nearly all have ended then.
const predecessorGrace = 700 * time.Millisecond

// The events of a replacement.
type (
	handOverRequested struct{ reply chan<- handover.State }
	handoverReceived struct{ handover.State }
	siblingsChanged  int
)

// GiveOver parts what the module knows with the next process of this ingress, and returns that one's part. It is called once,
// when no more clients are taken; the core goes on with what it has.
func (c *Core) HandOver(ctx context.Context) (handover.State, error) {
	got := make(chan handover.State, 1)
	select {
	case c.events <- handOverRequested{got}:
	case <-ctx.Done():
		return handover.State{}, ctx.Err()
	}
	select {
	case s := <-got:
		return s, nil
	case <-ctx.Done():
		return handover.State{}, ctx.Err()
	case <-c.stopped:
		return handover.State{}, errors.New("the core has ended")
	}
}

// TakeOver goes on from what the process before has left. It is called before clients are taken.
func (c *Core) AcceptHandover(s handover.State) { c.post(handoverReceived{s}) }

// SetCompany tells how many other processes of this ingress there are. While there is one, this one uses half of the
// descriptors for nodes; when there is none any more, what was out there counts no longer.
func (c *Core) SetSiblings(others int) { c.post(siblingsChanged(others)) }

func (c *Core) setSiblings(siblings int) {
	c.backends.SetMaxConnections(c.backendConnections(siblings))
	if siblings == 0 {
		c.engine.ReleasePredecessor()
	}
}

// nodeConns is how many connections to nodes there may be beside other processes.
func (c *Core) backendConnections(siblings int) int {
	if siblings > 0 {
		return c.maxConnections / 2
	}
	return c.maxConnections
}

func (c *Core) handOver(ev handOverRequested) {
	kept, given := handover.Split(c.engine.ExportState())
	c.engine.RetainUnits(kept)
	s := handover.State{At: c.now, Learned: given, List: discovery.List{Rev: c.overrides.revision, Complete: true}}
	for _, t := range c.overrides.targets {
		s.List.Targets = append(s.List.Targets, t)
	}
	ev.reply <- s
}

func (c *Core) acceptHandover(s handover.State) {
	if c.overrides.updates < 2 && s.List.Rev > c.overrides.revision { // discovery is silent: the other's list is newer than the configuration's
		c.updateEndpoints(s.List.Usable(c.log))
		c.flushEvents()
	}
	c.engine.ImportState(c.now, s.Learned)
	c.scheduleAfter(predecessorGrace, c.engine.ReleasePredecessor)
	c.log.Info("went on from the process before", "channels", len(s.Learned.Tenants), "nodes", len(s.Learned.Backends), "age", c.now-s.At)
}
