package core

import (
	"context"
	"errors"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/internal/handover"
)

// lentFor is how long the attempts count that the old process had out when it gave its work away: nearly all have ended then.
const lentFor = 700 * time.Millisecond

// The events of a replacement.
type (
	giveOver struct{ tell chan<- handover.State }
	takeOver struct{ handover.State }
	company  int
)

// GiveOver parts what the module knows with the next process of this ingress, and returns that one's part. It is called once,
// when no more clients are taken; the core goes on with what it has.
func (g *Core) HandOver(ctx context.Context) (handover.State, error) {
	got := make(chan handover.State, 1)
	select {
	case g.events <- giveOver{got}:
	case <-ctx.Done():
		return handover.State{}, ctx.Err()
	}
	select {
	case s := <-got:
		return s, nil
	case <-ctx.Done():
		return handover.State{}, ctx.Err()
	case <-g.stopped:
		return handover.State{}, errors.New("the core has ended")
	}
}

// TakeOver goes on from what the process before has left. It is called before clients are taken.
func (g *Core) AcceptHandover(s handover.State) { g.post(takeOver{s}) }

// SetCompany tells how many other processes of this ingress there are. While there is one, this one uses half of the
// descriptors for nodes; when there is none any more, what was out there counts no longer.
func (g *Core) SetSiblings(others int) { g.post(company(others)) }

func (g *Core) company(others int) {
	g.nodes.SetMaxConnections(g.nodeConns(others))
	if others == 0 {
		g.mod.ReleasePredecessor()
	}
}

// nodeConns is how many connections to nodes there may be beside other processes.
func (g *Core) nodeConns(others int) int {
	if others > 0 {
		return g.mostConns / 2
	}
	return g.mostConns
}

func (g *Core) giveOver(ev giveOver) {
	kept, given := handover.Split(g.mod.ExportState())
	g.mod.RetainUnits(kept)
	s := handover.State{At: g.now, Learned: given, List: discovery.List{Rev: g.ops.rev, Complete: true}}
	for _, t := range g.ops.listed {
		s.List.Targets = append(s.List.Targets, t)
	}
	ev.tell <- s
}

func (g *Core) takeOver(s handover.State) {
	if g.ops.lists < 2 && s.List.Rev > g.ops.rev { // discovery is silent: the other's list is newer than the configuration's
		g.fleet(s.List.Usable(g.log))
		g.flush()
	}
	g.mod.ImportState(g.now, s.Learned)
	g.after(lentFor, g.mod.ReleasePredecessor)
	g.log.Info("went on from the process before", "channels", len(s.Learned.Tenants), "nodes", len(s.Learned.Backends), "age", g.now-s.At)
}
