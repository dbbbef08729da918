package core

import (
	"math"
	"sync/atomic"
	"time"

	"hitchspring/internal/zones"
	"hitchspring/policy"
)

const (
	zoneTickInterval   = 50 * time.Millisecond  // the facts of halls are brought up to date
	statusInterval  = 250 * time.Millisecond // and shown to others
	spillLogThreshold  = 0.1                    // a change of the spill by so much is logged
	spillLogInterval = 2 * time.Second        // no more often
)

// hallBook is what is known of halls, and what was last shown of it.
type zoneTracker struct {
	*zones.Tracker
	published  atomic.Pointer[zones.Status]
	publishAt time.Duration
	loggedSpill float64 // the spill
	nextSpillLog  time.Duration
	panicking bool
}

// drills are the halls that are taken out on purpose, each until a time.
type zoneDrainsSet map[string]time.Time

func newZoneTracker(cfg zones.Config, set policy.Settings) *zoneTracker {
	cfg.Own, cfg.SlowStartWindow, cfg.SlowStartShare, cfg.Probe = set.Zone, set.SlowStartWindow, set.SlowStartShare, set.MayProbe
	cfg.LatencyObjectives = map[string]time.Duration{}
	for _, c := range set.Classes {
		cfg.LatencyObjectives[c.Name] = c.LatencyObjective
	}
	return &zoneTracker{Tracker: zones.New(cfg)}
}

// list hands a list of nodes on.
func (z *zoneTracker) setEndpoints(now time.Duration, ev policy.EndpointsChanged) {
	list := make([]zones.Backend, len(ev.Backends))
	for i, s := range ev.Backends {
		list[i] = zones.Backend{ID: s.ID, Zone: s.Zone, State: s.State, Size: s.Size, Started: s.Started}
	}
	z.UpdateBackends(now, list, ev.Complete)
}

// HallStatus is what is known of the halls, as of a quarter of a second ago; false where [halls] is off or nothing has
// been seen yet. It may be called by many goroutines.
func (c *Core) ZoneStatus() (zones.Status, bool) {
	if c.zones == nil {
		return zones.Status{}, false
	}
	s := c.zones.published.Load()
	if s == nil {
		return zones.Status{}, false
	}
	return *s, true
}

// SetDrills says which halls are taken out on purpose, each until a time; one that is left out is let in again. It does
// nothing where [halls] is off.
func (c *Core) SetZoneDrains(d map[string]time.Time) {
	if c.zones != nil {
		c.post(zoneDrainsSet(d))
	}
}

func (c *Core) setZoneDrains(d zoneDrainsSet) {
	until := map[string]time.Duration{}
	for name, t := range d {
		until[name] = c.clock(t)
	}
	c.zones.SetDrains(c.now, until)
}

// tickHalls brings the facts up to date, tells the module, and sends the probes that are due.
func (c *Core) tickZones() {
	c.scheduleAfter(zoneTickInterval, c.tickZones)
	h := c.zones
	c.notifyEngine(h.Tick(c.now))
	for _, id := range h.DueProbes(c.now) {
		if !c.probeBackend(id) {
			h.ProbeEnded(c.now, id, false)
		}
	}
	for _, change := range h.TakeChanges() {
		c.log.Info("hall", "hall", change.Zone, "from", change.From.String(), "to", change.To.String(), "why", change.Reason, "caution", change.Caution)
	}
	if c.now < h.publishAt {
		return
	}
	h.publishAt = c.now + statusInterval
	s := h.Status(c.now)
	h.published.Store(&s)
	if s.Panic != h.panicking {
		h.panicking = s.Panic
		c.log.Warn("halls: panic", "on", s.Panic, "reach", math.Round(100*s.AvailableShare)/100)
	}
	if math.Abs(s.Spilled-h.loggedSpill) >= spillLogThreshold && c.now >= h.nextSpillLog {
		c.log.Info("spill", "spilled", math.Round(100*s.Spilled)/100, "before", math.Round(100*h.loggedSpill)/100, "planned", math.Round(100*s.PlannedSpill)/100, "why", s.Reason)
		h.loggedSpill, h.nextSpillLog = s.Spilled, c.now+spillLogInterval
	}
}
