package core

import (
	"math"
	"sync/atomic"
	"time"

	"hitchspring/internal/zones"
	"hitchspring/policy"
)

const (
	hallsEvery   = 50 * time.Millisecond  // the facts of halls are brought up to date
	statusEvery  = 250 * time.Millisecond // and shown to others
	spillLogged  = 0.1                    // a change of the spill by so much is logged
	spillLogWait = 2 * time.Second        // no more often
)

// hallBook is what is known of halls, and what was last shown of it.
type hallBook struct {
	*zones.Tracker
	shown  atomic.Pointer[zones.Status]
	showAt time.Duration
	logged float64 // the spill
	logAt  time.Duration
	panics bool
}

// drills are the halls that are taken out on purpose, each until a time.
type drills map[string]time.Time

func newHallBook(cfg zones.Config, set policy.Settings) *hallBook {
	cfg.Own, cfg.SlowStartWindow, cfg.SlowStartShare, cfg.Probe = set.Zone, set.SlowStartWindow, set.SlowStartShare, set.MayProbe
	cfg.LatencyObjectives = map[string]time.Duration{}
	for _, c := range set.Classes {
		cfg.LatencyObjectives[c.Name] = c.LatencyObjective
	}
	return &hallBook{Tracker: zones.New(cfg)}
}

// list hands a list of nodes on.
func (h *hallBook) list(now time.Duration, ev policy.EndpointsChanged) {
	list := make([]zones.Backend, len(ev.Backends))
	for i, s := range ev.Backends {
		list[i] = zones.Backend{ID: s.ID, Zone: s.Zone, State: s.State, Size: s.Size, Started: s.Started}
	}
	h.UpdateBackends(now, list, ev.Complete)
}

// HallStatus is what is known of the halls, as of a quarter of a second ago; false where [halls] is off or nothing has
// been seen yet. It may be called by many goroutines.
func (g *Core) ZoneStatus() (zones.Status, bool) {
	if g.halls == nil {
		return zones.Status{}, false
	}
	s := g.halls.shown.Load()
	if s == nil {
		return zones.Status{}, false
	}
	return *s, true
}

// SetDrills says which halls are taken out on purpose, each until a time; one that is left out is let in again. It does
// nothing where [halls] is off.
func (g *Core) SetZoneDrains(d map[string]time.Time) {
	if g.halls != nil {
		g.post(drills(d))
	}
}

func (g *Core) drills(d drills) {
	until := map[string]time.Duration{}
	for name, t := range d {
		until[name] = g.clock(t)
	}
	g.halls.SetDrains(g.now, until)
}

// tickHalls brings the facts up to date, tells the module, and sends the probes that are due.
func (g *Core) tickHalls() {
	g.after(hallsEvery, g.tickHalls)
	h := g.halls
	g.tell(h.Tick(g.now))
	for _, id := range h.DueProbes(g.now) {
		if !g.probe(id) {
			h.ProbeEnded(g.now, id, false)
		}
	}
	for _, c := range h.TakeChanges() {
		g.log.Info("hall", "hall", c.Zone, "from", c.From.String(), "to", c.To.String(), "why", c.Reason, "caution", c.Caution)
	}
	if g.now < h.showAt {
		return
	}
	h.showAt = g.now + statusEvery
	s := h.Status(g.now)
	h.shown.Store(&s)
	if s.Panic != h.panics {
		h.panics = s.Panic
		g.log.Warn("halls: panic", "on", s.Panic, "reach", math.Round(100*s.AvailableShare)/100)
	}
	if math.Abs(s.Spilled-h.logged) >= spillLogged && g.now >= h.logAt {
		g.log.Info("spill", "spilled", math.Round(100*s.Spilled)/100, "before", math.Round(100*h.logged)/100, "planned", math.Round(100*s.PlannedSpill)/100, "why", s.Reason)
		h.logged, h.logAt = s.Spilled, g.now+spillLogWait
	}
}
