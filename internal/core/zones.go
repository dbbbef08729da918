package core

import (
	"math"
	"sync/atomic"
	"time"

	"hitchspring/internal/zones"
	"hitchspring/policy"
)

const (
	zoneTickInterval  = 50 * time.Millisecond
	spillLogThreshold = 0.1             // min change of the spilled share that is logged
	spillLogInterval  = 2 * time.Second // min time between two log lines about spill
)

// zoneTracker tracks the zones, with the published status and the state of the log lines about them. It is confined to
// the loop's goroutine, except published.
type zoneTracker struct {
	*zones.Tracker
	published    atomic.Pointer[zones.Status] // nil: not yet
	publishAt    time.Duration
	loggedSpill  float64 // spilled share in the last log line
	nextSpillLog time.Duration
	loggedPanic  bool // panic mode as last logged
}

// zoneDrainsSet is the event of SetZoneDrains.
type zoneDrainsSet map[string]time.Time

func newZoneTracker(cfg zones.Config, set policy.Settings) *zoneTracker {
	cfg.Own = set.Zone
	cfg.SlowStartWindow = set.SlowStartWindow
	cfg.SlowStartShare = set.SlowStartShare
	cfg.Probe = set.MayProbe
	cfg.LatencyObjectives = map[string]time.Duration{}
	for _, class := range set.Classes {
		cfg.LatencyObjectives[class.Name] = class.LatencyObjective
	}
	return &zoneTracker{Tracker: zones.New(cfg)}
}

// setEndpoints updates the backends from an endpoint list, which is complete or has only changes.
func (z *zoneTracker) setEndpoints(now time.Duration, ev policy.EndpointsChanged) {
	list := make([]zones.Backend, len(ev.Backends))
	for i, b := range ev.Backends {
		list[i] = zones.Backend{ID: b.ID, Zone: b.Zone, State: b.State, Size: b.Size, Started: b.Started}
	}
	z.UpdateBackends(now, list, ev.Complete)
}

// ZoneStatus returns the status of the zones, at most statusInterval old. It returns false if zones are not tracked or
// no status has been published yet. It is safe for concurrent use.
func (c *Core) ZoneStatus() (zones.Status, bool) {
	if c.zones == nil {
		return zones.Status{}, false
	}
	status := c.zones.published.Load()
	if status == nil {
		return zones.Status{}, false
	}
	return *status, true
}

// SetZoneDrains sets the drained zones, each with the time when its drain ends. A zone that is not in the map is no
// longer drained. It does nothing if zones are not tracked.
func (c *Core) SetZoneDrains(until map[string]time.Time) {
	if c.zones != nil {
		c.post(zoneDrainsSet(until))
	}
}

func (c *Core) setZoneDrains(drains zoneDrainsSet) {
	until := map[string]time.Duration{}
	for zone, t := range drains {
		until[zone] = c.clock(t)
	}
	c.zones.SetDrains(c.now, until)
}

// tickZones updates the state of the zones, notifies the engine, and sends the health checks that are due.
func (c *Core) tickZones() {
	z := c.zones
	c.notifyEngine(z.Tick(c.now))
	for _, id := range z.DueProbes(c.now) {
		if !c.probeBackend(id) {
			z.ProbeEnded(c.now, id, false)
		}
	}
	for _, change := range z.TakeChanges() {
		c.log.Info("zone state changed", "zone", change.Zone, "from", change.From.String(), "to", change.To.String(),
			"reason", change.Reason, "caution", change.Caution)
	}
	if c.now >= z.publishAt {
		c.publishZones()
	}
}

// publishZones publishes the status of the zones and logs changes of panic mode and spill.
func (c *Core) publishZones() {
	z := c.zones
	z.publishAt = c.now + statusInterval
	status := z.Status(c.now)
	z.published.Store(&status)
	if status.Panic != z.loggedPanic {
		z.loggedPanic = status.Panic
		c.log.Warn("zone panic mode changed",
			"panic", status.Panic, "available_share", roundToCents(status.AvailableShare))
	}
	if math.Abs(status.Spilled-z.loggedSpill) >= spillLogThreshold && c.now >= z.nextSpillLog {
		c.log.Info("zone spill changed",
			"spilled", roundToCents(status.Spilled),
			"previous", roundToCents(z.loggedSpill),
			"planned", roundToCents(status.PlannedSpill),
			"reason", status.Reason)
		z.loggedSpill, z.nextSpillLog = status.Spilled, c.now+spillLogInterval
	}
}

// roundToCents rounds a share to two decimal places, for a log line.
func roundToCents(share float64) float64 { return math.Round(100*share) / 100 }
