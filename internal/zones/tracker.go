package zones

import (
	"cmp"
	"slices"
	"time"

	"hitchspring/policy"
)

// Tracker is what one instance knows of the zones. It is used by one goroutine at a time.
type Tracker struct {
	cfg            Config
	zones          map[string]*zone
	sorted         []*zone // all zones, by name
	backends       map[policy.BackendID]*backend
	usualLatency   map[string]float64 // seconds that an answer takes, by request class
	unitRate       float64            // answers a second that this instance gets of one usual warm backend
	relief         float64            // share of the preference for the own zone that is given up, as it answers late
	plannedSpill   float64            // share of this instance's work that is to leave the own zone, at least
	availableShare float64            // share of the nominal capacity of all zones that is available
	panicking      bool               // too little is available: no zone is preferred
	tickedAt       time.Duration
	changes        []Change // not taken yet
}

// zone is the state of one zone.
type zone struct {
	name     string
	priority priority
	backends []*backend // that the endpoint list has, by id

	state        State
	since        time.Duration // when the state began
	reason       string        // of the state
	drainedUntil time.Duration // end of a drain by operators; past or 0: none
	suspect      bool          // half of its backends are unhealthy: the others are probed too
	lostByList   bool          // the endpoint list has no running backend of it
	requireProof bool          // each of its backends is used only after it has answered since lostAt
	probedAt     time.Duration

	lostAt    time.Duration
	rampAt    time.Duration // start of the last recovery ramp; 0: there was none
	ramp      time.Duration // its length
	caution   int           // losses during a recovery or soon after that are not forgotten; each doubles the ramp
	calmSince time.Duration // since when the zone is up and no step of caution was taken back

	nominal      float64 // capacity that it has had recently, in usual warm backends
	nominalAt    time.Duration
	capacity     float64 // what it can take now, in usual warm backends
	warmCapacity float64 // the same if no backend were slow: one that is busy looks slow, but can take no less
	rampShare    float64 // share of its rate that it may have: below 1 while it returns, 0 while it is out
	rateLimit    float64 // attempts a second; unlimited if below 0
	price        float64

	sent, answered, ended, late decayingRate // attempts
}

// unlimited is the rate limit of a zone that has none.
const unlimited = -1

// New returns a tracker that knows no backend yet.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg:            cfg.withDefaults(),
		zones:          map[string]*zone{},
		backends:       map[policy.BackendID]*backend{},
		usualLatency:   map[string]float64{},
		availableShare: 1,
	}
}

// UpdateBackends takes over the endpoint list if complete, else changes to it.
func (t *Tracker) UpdateBackends(now time.Duration, list []Backend, complete bool) {
	if complete {
		for _, b := range t.backends {
			b.State = policy.Gone
		}
	}
	for _, entry := range list {
		t.updateBackend(now, entry)
	}
	t.assignBackends(now)
	for _, z := range t.sorted {
		slices.SortFunc(z.backends, func(a, b *backend) int { return cmp.Compare(a.ID, b.ID) })
		t.detectRestart(now, z)
	}
}

// updateBackend takes over one entry of the endpoint list.
func (t *Tracker) updateBackend(now time.Duration, entry Backend) {
	if entry.Size <= 0 {
		entry.Size = 1
	}
	b := t.backends[entry.ID]
	switch {
	case b == nil:
		b = newBackend(now)
		t.backends[entry.ID] = b
	case b.Started != entry.Started || b.State == policy.Gone && entry.State == policy.Running:
		b.restart(now)
	}
	b.Backend = entry
}

// assignBackends sorts the backends into their zones, and forgets those that have left and owe no answer.
func (t *Tracker) assignBackends(now time.Duration) {
	for _, z := range t.sorted {
		z.backends = z.backends[:0]
	}
	for id, b := range t.backends {
		if b.State == policy.Gone {
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

// zone returns a zone, and adds it where it is new.
func (t *Tracker) zone(now time.Duration, name string) *zone {
	if z := t.zones[name]; z != nil {
		return z
	}
	z := &zone{
		name:      name,
		priority:  t.cfg.priorityOf(name),
		since:     now,
		calmSince: now,
		price:     1,
		rampShare: 1,
		rateLimit: unlimited,
	}
	t.zones[name] = z
	t.sorted = append(t.sorted, z)
	slices.SortFunc(t.sorted, func(a, b *zone) int { return cmp.Compare(a.name, b.name) })
	return z
}

// SetDrains sets the drains in force: the zones that operators have taken out, each with the time at which that ends. A
// zone that is not among them is not drained.
func (t *Tracker) SetDrains(now time.Duration, until map[string]time.Duration) {
	for _, z := range t.sorted {
		z.drainedUntil = until[z.name]
	}
	for name, end := range until {
		t.zone(now, name).drainedUntil = end
	}
}

// Tick advances all states to now and returns the facts as they stand. It is to be called at least some ten times a
// second.
func (t *Tracker) Tick(now time.Duration) policy.ZonesChanged {
	elapsed := 0.0 // seconds
	if t.tickedAt != 0 {
		elapsed = max(0, (now - t.tickedAt).Seconds())
	}
	t.tickedAt = now
	for _, z := range t.sorted {
		t.advance(now, z)
	}
	t.measureCapacity(now, elapsed)
	t.updateSpill(now, elapsed)
	return t.facts()
}

// TakeChanges returns the changes of state since the last call.
func (t *Tracker) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}
