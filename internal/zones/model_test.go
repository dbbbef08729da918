package zones

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hitchspring/policy"
)

// trackerModel applies random calls to two trackers, which must agree.
type trackerModel struct {
	cfg      Config
	tracker  *Tracker
	twin     *Tracker
	now      time.Duration
	inFlight map[policy.BackendID][]time.Duration
	list     []Backend
}

func newTrackerModel(probe bool) *trackerModel {
	cfg := Config{
		Own: "a", Near: []string{"b"}, Probe: probe, SlowStartWindow: 18 * time.Second, SlowStartShare: 0.25,
	}
	m := &trackerModel{
		cfg:      cfg,
		tracker:  New(cfg),
		twin:     New(cfg),
		now:      50 * time.Second,
		inFlight: map[policy.BackendID][]time.Duration{},
	}
	for i := range 9 {
		id := policy.BackendID(fmt.Sprint("n", i))
		m.list = append(m.list, Backend{ID: id, Zone: string(rune('a' + i%3)), State: policy.Running})
	}
	m.both(func(tr *Tracker) { tr.UpdateBackends(m.now, m.list, true) })
	return m
}

func (m *trackerModel) both(do func(*Tracker)) {
	do(m.tracker)
	do(m.twin)
}

// drawIndex draws the index of a backend.
func (m *trackerModel) drawIndex(t *rapid.T) int {
	return rapid.IntRange(0, len(m.list)-1).Draw(t, "backend")
}

func (m *trackerModel) wait(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * ms
}

func (m *trackerModel) send(t *rapid.T) {
	id := m.list[m.drawIndex(t)].ID
	m.both(func(tr *Tracker) { tr.AttemptSent(m.now, id) })
	m.inFlight[id] = append(m.inFlight[id], m.now)
}

func (m *trackerModel) end(t *rapid.T) {
	id := m.list[m.drawIndex(t)].ID
	if len(m.inFlight[id]) == 0 {
		return
	}
	sentAt := m.inFlight[id][0]
	m.inFlight[id] = m.inFlight[id][1:]
	outcome := policy.Outcome(rapid.IntRange(0, 7).Draw(t, "outcome"))
	m.both(func(tr *Tracker) { tr.AttemptEnded(m.now, id, sentAt, "c", outcome) })
}

func (m *trackerModel) probe(t *rapid.T) {
	due := m.tracker.DueProbes(m.now)
	if other := m.twin.DueProbes(m.now); !slices.Equal(due, other) {
		t.Fatalf("got probes %v of one tracker and %v of its twin", due, other)
	}
	ok := rapid.Bool().Draw(t, "ok")
	for _, id := range due {
		if m.tracker.backends[id].State != policy.Running {
			t.Fatalf("got a probe of %s, which isn't running", id)
		}
		m.both(func(tr *Tracker) { tr.ProbeEnded(m.now, id, ok) })
	}
}

func (m *trackerModel) updateList(t *rapid.T) {
	i := m.drawIndex(t)
	m.list[i].State = policy.BackendState(rapid.IntRange(0, 2).Draw(t, "state"))
	if rapid.Bool().Draw(t, "restart") {
		m.list[i].Started = m.now
	}
	m.both(func(tr *Tracker) { tr.UpdateBackends(m.now, m.list[i:i+1], false) })
}

func (m *trackerModel) drain(t *rapid.T) {
	until := map[string]time.Duration{}
	if rapid.Bool().Draw(t, "drained") {
		until["b"] = m.now + 2*time.Second
	}
	m.both(func(tr *Tracker) { tr.SetDrains(m.now, until) })
}

// check calls Tick, and checks its result and the status.
func (m *trackerModel) check(t *rapid.T) {
	event := m.tracker.Tick(m.now)
	if other := m.twin.Tick(m.now); fmt.Sprint(event) != fmt.Sprint(other) {
		t.Fatalf("got event %v of one tracker and %v of its twin", event, other)
	}
	open := false
	for i, got := range event.Zones {
		m.checkZone(t, got, m.tracker.sortedZones[i].state)
		open = open || got.Rate != 0
	}
	isOutOfService := func(z *zone) bool { return z.state == Lost || z.state == Drained }
	if !open && m.tracker.availableShare > 0 && !slices.ContainsFunc(m.tracker.sortedZones, isOutOfService) {
		t.Fatalf("got %+v, want a zone that is open", event)
	}
	if !(event.AvailableShare >= 0 && event.AvailableShare <= 1) {
		t.Fatalf("got %+v, want an available share from 0 to 1", event)
	}
	if event.MinRetryAfter < 0 || event.MinRetryAfter > maxRetryAfterHint {
		t.Fatalf("got %+v, want a retry-after up to %v", event, maxRetryAfterHint)
	}
	m.checkStatus(t, m.tracker.Status(m.now))
}

func (m *trackerModel) checkZone(t *rapid.T, got policy.Zone, state State) {
	if !(got.Price >= 1 && got.Price <= DefaultFarPrice) || !(got.Rate >= -1 && got.Rate < 1e6) {
		t.Fatalf("got %+v, want a price and a rate within their ranges", got)
	}
	if state == Lost && m.cfg.Probe && !m.tracker.panicking && got.Rate != 0 {
		t.Fatalf("got %+v, want a lost zone closed", got)
	}
	if got.Lost && state != Lost {
		t.Fatalf("got %+v, want it not lost: the zone is %v", got, state)
	}
}

func (m *trackerModel) checkStatus(t *rapid.T, s Status) {
	if !(s.PlannedSpill >= 0 && s.PlannedSpill <= 1 && s.Spilled >= 0 && s.Spilled <= 1) || s.Reason == "" {
		t.Fatalf("got %+v, want shares from 0 to 1 and a reason", s)
	}
}

// Invariants for any sequence of calls: while capacity is available and no zone is lost or drained, a zone is open;
// rates and prices are within their ranges; a lost zone gets no requests; only running backends are probed; the same
// calls give the same results.
func TestTrackerModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTrackerModel(rapid.Bool().Draw(t, "probe"))
		t.Repeat(map[string]func(*rapid.T){
			"wait":  m.wait,
			"send":  m.send,
			"end":   m.end,
			"probe": m.probe,
			"list":  m.updateList,
			"drain": m.drain,
			"":      m.check,
		})
	})
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{20, 200, 2000} {
		b.Run(fmt.Sprint(n, "nodes"), func(b *testing.B) {
			f := newTestFleet(b, Config{})
			var list []Backend
			for i := range n {
				id := policy.BackendID(fmt.Sprint("x", i))
				list = append(list, Backend{ID: id, Zone: string(rune('a' + i%3)), State: policy.Running})
			}
			f.tracker.UpdateBackends(f.now, list, true)
			for i := range list {
				f.tracker.AttemptSent(f.now, list[i].ID)
			}
			b.ReportAllocs()
			for b.Loop() {
				f.now += ms
				f.tracker.Tick(f.now)
			}
		})
	}
}
