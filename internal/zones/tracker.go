package zones

import (
	"cmp"
	"slices"
	"time"

	"hitchspring/policy"
)

// Tracker tracks the state of all zones as one instance sees them. It is not safe for concurrent use.
type Tracker struct {
	cfg                 Config
	zones               map[string]*zone
	sortedZones         []*zone // all zones, sorted by name
	backends            map[policy.BackendID]*backend
	meanLatency         map[string]float64 // of successful attempts, in seconds, by request class
	unitAnswerRate      float64            // peak rate of answers a second to this instance, per unit of base capacity
	preferenceReduction float64            // share by which the preference for the own zone is reduced for late answers
	plannedSpill        float64            // minimum share of this instance's load to send to other zones
	availableShare      float64            // share of the nominal capacity of all zones that is available
	panicking           bool               // panic mode: too little capacity is available, so no zone is preferred
	lastTickAt          time.Duration
	changes             []Change // not yet returned by TakeChanges
}

// zone is the state of one zone.
type zone struct {
	name     string
	priority priority
	backends []*backend // in the endpoint list, sorted by id

	state         State
	stateSince    time.Duration // when the state began
	reason        string        // reason for the state
	drainedUntil  time.Duration // end of the zone drain; 0 or past: not drained
	halfUnhealthy bool          // at least half of its backends are unhealthy: all are probed
	noneRunning   bool          // the endpoint list has no running backend in the zone
	requireProof  bool          // a backend is used only after it has answered since lostAt
	lastProbedAt  time.Duration

	lostAt        time.Duration
	rampStartedAt time.Duration // start of the last recovery ramp; 0: none yet
	rampDuration  time.Duration // length of the last recovery ramp
	caution       int           // caution steps: recent losses during or soon after a recovery; each doubles the ramp
	stableSince   time.Duration // when the zone came up, or when a caution step was last taken back

	nominal      float64 // highest recent capacity, in average backends after slow start
	nominalAt    time.Duration
	capacity     float64 // present capacity, in average backends after slow start
	baseCapacity float64 // of running and proven backends, ignoring latency: a busy backend is slow at full capacity
	rampShare    float64 // share of its full rate that it may get: below 1 while returning, 0 while lost or drained
	rateLimit    float64 // attempts a second; unlimited if below 0
	price        float64

	sent, answered, ended, late decayingRate // of attempts
}

// unlimited is the rate limit of a zone without a limit.
const unlimited = -1

// New returns a tracker without backends.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg:            cfg.withDefaults(),
		zones:          map[string]*zone{},
		backends:       map[policy.BackendID]*backend{},
		meanLatency:    map[string]float64{},
		availableShare: 1,
	}
}

// UpdateBackends applies a complete endpoint list if complete is true, else changes to the list.
func (t *Tracker) UpdateBackends(now time.Duration, list []Backend, complete bool) {
	if complete {
		for _, b := range t.backends {
			b.State = policy.Removed
		}
	}
	for _, entry := range list {
		t.updateBackend(now, entry)
	}
	t.assignBackends(now)
	for _, z := range t.sortedZones {
		slices.SortFunc(z.backends, func(a, b *backend) int { return cmp.Compare(a.ID, b.ID) })
		t.detectRestart(now, z)
	}
}

// updateBackend applies one entry of the endpoint list.
func (t *Tracker) updateBackend(now time.Duration, entry Backend) {
	if entry.Size <= 0 {
		entry.Size = 1
	}
	b := t.backends[entry.ID]
	switch {
	case b == nil:
		b = newBackend(now)
		t.backends[entry.ID] = b
	case b.Started != entry.Started || b.State == policy.Removed && entry.State == policy.Running:
		b.restart(now)
	}
	b.Backend = entry
}

// assignBackends assigns the backends to their zones, and deletes removed backends without attempts in flight.
func (t *Tracker) assignBackends(now time.Duration) {
	for _, z := range t.sortedZones {
		z.backends = z.backends[:0]
	}
	for id, b := range t.backends {
		if b.State == policy.Removed {
			if len(b.inFlight) == 0 {
				delete(t.backends, id)
			}
			continue
		}
		z := t.zone(now, b.Zone)
		z.backends = append(z.backends, b)
		if z.requireProof && b.answeredAt < z.lostAt {
			b.unproven = true
		}
	}
}

// zone returns the zone with a name, and adds it if it is new.
func (t *Tracker) zone(now time.Duration, name string) *zone {
	if z := t.zones[name]; z != nil {
		return z
	}
	z := &zone{
		name:        name,
		priority:    t.cfg.priorityOf(name),
		stateSince:  now,
		stableSince: now,
		price:       1,
		rampShare:   1,
		rateLimit:   unlimited,
	}
	t.zones[name] = z
	t.sortedZones = append(t.sortedZones, z)
	slices.SortFunc(t.sortedZones, func(a, b *zone) int { return cmp.Compare(a.name, b.name) })
	return z
}

// SetDrains replaces the active zone drains. until holds the end of each drain by zone; a zone that is missing is not
// drained.
func (t *Tracker) SetDrains(now time.Duration, until map[string]time.Duration) {
	for _, z := range t.sortedZones {
		z.drainedUntil = until[z.name]
	}
	for name, end := range until {
		t.zone(now, name).drainedUntil = end
	}
}

// Tick updates the state of all zones and returns it for the policy module. It must be called about ten times a second
// or more.
func (t *Tracker) Tick(now time.Duration) policy.ZonesChanged {
	elapsed := 0.0 // seconds
	if t.lastTickAt != 0 {
		elapsed = max(0, (now - t.lastTickAt).Seconds())
	}
	t.lastTickAt = now
	for _, z := range t.sortedZones {
		t.advanceState(now, z)
	}
	t.updateCapacity(now, elapsed)
	t.updateSpill(now, elapsed)
	return t.zonesChanged()
}

// TakeChanges returns the state changes since the last call.
func (t *Tracker) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}
