package zones

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hitchspring/policy"
)

const ms = time.Millisecond

// testFleet is a tracker with three zones, "a" to "c", of four backends each, and a simulation of those backends.
type testFleet struct {
	t             testing.TB
	tracker       *Tracker
	now           time.Duration
	list          []Backend
	refusing      map[string]bool    // zones that refuse connections
	silent        map[string]bool    // zones that answer nothing
	latencyFactor map[string]float64 // multiple of the latency, by zone
	inFlight      []testAttempt
	event         policy.ZonesChanged // result of the last tick
	credit        map[string]float64  // attempts that a zone with a rate limit may get now
	nextIndex     int                 // counts up; the next backend is list[nextIndex % len(list)]
	changes       []Change
}

type testAttempt struct {
	backend policy.BackendID
	sentAt  time.Duration
	endsAt  time.Duration // 0: never
	outcome policy.Outcome
}

func newTestFleet(t testing.TB, cfg Config) *testFleet {
	t.Helper()
	if cfg.Own == "" {
		cfg.Own = "a"
	}
	cfg.Near = []string{"b"}
	cfg.Probe = true
	cfg.SlowStartWindow = 18 * time.Second
	cfg.SlowStartShare = 0.25
	cfg.LatencyObjectives = map[string]time.Duration{"read": 400 * ms}
	f := &testFleet{
		t:             t,
		tracker:       New(cfg),
		now:           100 * time.Second,
		refusing:      map[string]bool{},
		silent:        map[string]bool{},
		latencyFactor: map[string]float64{},
		credit:        map[string]float64{},
	}
	for i := range 12 {
		zone := string(rune('a' + i%3))
		id := policy.BackendID(fmt.Sprint(zone, i/3))
		f.list = append(f.list, Backend{ID: id, Zone: zone, State: policy.Running})
	}
	f.tracker.UpdateBackends(f.now, f.list, true)
	return f
}

// entry returns a zone's entry in the result of the last tick.
func (f *testFleet) entry(zone string) policy.Zone {
	f.t.Helper()
	for _, z := range f.event.Zones {
		if z.Name == zone {
			return z
		}
	}
	f.t.Fatalf("no entry for zone %s", zone)
	return policy.Zone{}
}

func (f *testFleet) status() Status { return f.tracker.Status(f.now) }

func (f *testFleet) zoneStatus(zone string) ZoneStatus {
	f.t.Helper()
	for _, z := range f.status().Zones {
		if z.Name == zone {
			return z
		}
	}
	f.t.Fatalf("no status of zone %s", zone)
	return ZoneStatus{}
}

// ownZoneIs returns a condition for run that is true while the own zone is in a state.
func (f *testFleet) ownZoneIs(state State) func() bool {
	return func() bool { return f.zoneStatus("a").State == state.String() }
}

// run advances the time. It sends an attempt every 5 ms to the backends in turn, as far as the last tick allows it, and
// ticks every 50 ms. It ends after duration, or at the first tick at which until returns true, and returns the elapsed
// time.
func (f *testFleet) run(duration time.Duration, until func() bool) time.Duration {
	f.t.Helper()
	began := f.now
	clear(f.credit)
	for ; f.now < began+duration; f.now += ms {
		f.endAttempts()
		if f.now%(50*ms) == 0 {
			f.tick()
			if until != nil && until() {
				return f.now - began
			}
		}
		if f.now%(5*ms) == 0 {
			f.sendAttempt()
		}
	}
	return f.now - began
}

func (f *testFleet) endAttempts() {
	f.inFlight = slices.DeleteFunc(f.inFlight, func(a testAttempt) bool {
		if a.endsAt == 0 || a.endsAt > f.now {
			return false
		}
		f.tracker.AttemptEnded(f.now, a.backend, a.sentAt, "read", a.outcome)
		return true
	})
}

func (f *testFleet) tick() {
	f.event = f.tracker.Tick(f.now)
	for _, z := range f.event.Zones {
		if z.Rate > 0 {
			f.credit[z.Name] = min(f.credit[z.Name]+z.Rate*0.05, 2)
		}
	}
	for _, id := range f.tracker.DueProbes(f.now) {
		zone := string(id[:1])
		f.tracker.ProbeEnded(f.now, id, !f.refusing[zone] && !f.silent[zone])
	}
	f.changes = append(f.changes, f.tracker.TakeChanges()...)
}

// sendAttempt sends an attempt to the next backend that the last tick allows, if any.
func (f *testFleet) sendAttempt() {
	for range f.list {
		f.nextIndex++
		b := f.list[f.nextIndex%len(f.list)]
		if !f.takeCredit(b) {
			continue
		}
		latency := time.Duration(60 * max(1, f.latencyFactor[b.Zone]) * float64(ms))
		attempt := testAttempt{backend: b.ID, sentAt: f.now, endsAt: f.now + latency, outcome: policy.Succeeded}
		switch {
		case f.refusing[b.Zone]:
			attempt.endsAt = f.now + ms
			attempt.outcome = policy.NoConnect
		case f.silent[b.Zone]:
			attempt.endsAt = 0
		}
		f.tracker.AttemptSent(f.now, b.ID)
		f.inFlight = append(f.inFlight, attempt)
		return
	}
}

// takeCredit reports whether the last tick allows an attempt at a backend, and counts it against the zone's rate limit.
func (f *testFleet) takeCredit(b Backend) bool {
	if b.State != policy.Running {
		return false
	}
	i := slices.IndexFunc(f.event.Zones, func(z policy.Zone) bool { return z.Name == b.Zone })
	if i < 0 { // before the first tick
		return true
	}
	z := f.event.Zones[i]
	if z.Rate == 0 || slices.Contains(z.Unproven, b.ID) {
		return false
	}
	if z.Rate > 0 {
		if f.credit[b.Zone] < 1 {
			return false
		}
		f.credit[b.Zone]--
	}
	return true
}
