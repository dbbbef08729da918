package lease

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelLease is the expected state of a lease.
type modelLease struct {
	requestID string
	expiresAt time.Duration
	outcome   Outcome // 0: none
	expired   bool
}

func (l *modelLease) outstanding() bool { return l.outcome == 0 && !l.expired }

// registryModel runs random operations on a Registry and on a simple model, a
// map of leases.
type registryModel struct {
	registry  *Registry
	now       time.Duration
	requests  map[string]*Request
	leases    map[string]*modelLease // by name
	lastLease int
	ids       *rapid.Generator[string]
}

// check fails the test if the registry and the model differ.
func (m *registryModel) check(t *rapid.T) {
	outstanding := map[string]int{}
	total := 0
	for _, lease := range m.leases {
		if lease.outstanding() {
			outstanding[lease.requestID]++
			total++
		}
	}
	if got := m.registry.Outstanding(); got != total {
		t.Fatalf("outstanding leases: got %d, want %d", got, total)
	}
	for id, req := range m.requests {
		if n := outstanding[id]; n > 1 || (req.State == Granted) != (n == 1) {
			t.Fatalf("%s is %v with %d leases outstanding", id, req.State, n)
		}
	}
}

func (m *registryModel) open(t *rapid.T) {
	id := m.ids.Draw(t, "id")
	req, err := m.registry.Find(id, 1)
	if err != nil || req != nil {
		if req != m.requests[id] {
			t.Fatal("another request under the same ID")
		}
		return
	}
	req, err = m.registry.Open(id, 1, m.now+testDeadline)
	if err != nil {
		t.Fatal(err)
	}
	m.requests[id] = req
}

func (m *registryModel) grant(t *rapid.T) {
	req := m.requests[m.ids.Draw(t, "id")]
	if req == nil {
		return
	}
	m.lastLease++
	name := fmt.Sprint("l", m.lastLease)
	found, _ := m.registry.Find(req.ID, 1)
	before := req.State
	lease := m.registry.Grant(m.now, req, name, "n", "h:1", 0, m.now+time.Second, 0)
	if want := before == Open && found == req; (lease != nil) != want {
		t.Fatalf("granted from %v: got %v, want %v", before, lease != nil, want)
	}
	if lease != nil {
		m.leases[name] = &modelLease{requestID: req.ID, expiresAt: lease.ExpiresAt}
	}
}

func (m *registryModel) report(t *rapid.T) {
	if m.lastLease == 0 {
		return
	}
	name := fmt.Sprint("l", rapid.IntRange(1, m.lastLease).Draw(t, "lease"))
	outcome := Outcome(rapid.IntRange(1, 4).Draw(t, "outcome"))
	_, _, first, err := m.registry.Report(m.now, name, outcome)
	lease := m.leases[name]
	wantFirst := lease != nil && lease.outstanding() && m.now <= lease.expiresAt
	if first != wantFirst || first && err != nil {
		t.Fatalf("first report: got %v and error %v, want %v", first, err, wantFirst)
	}
	switch {
	case first:
		lease.outcome = outcome
	case lease != nil && lease.outcome == outcome && err != nil && !errors.Is(err, ErrUnknown):
		t.Fatalf("repeated report: got error %v, want none", err)
	}
}

func (m *registryModel) decide(t *rapid.T) {
	req := m.requests[m.ids.Draw(t, "id")]
	if req == nil {
		return
	}
	before := req.State
	m.registry.Decide(req, Rejected, time.Second)
	if before != Open && req.State != before {
		t.Fatalf("%v became %v", before, req.State)
	}
}

func (m *registryModel) advanceTime(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
	for _, req := range m.registry.Expire(m.now) {
		if req.State != Expired {
			t.Fatalf("expired request: got %v, want %v", req.State, Expired)
		}
	}
	for _, lease := range m.leases {
		if lease.outcome == 0 && lease.expiresAt <= m.now {
			lease.expired = true
		}
	}
	for id, req := range m.requests {
		if found, _ := m.registry.Find(id, 1); found != req {
			delete(m.requests, id)
		}
	}
}

// In any order of requests, grants, reports and expiries, a request has at most
// one outstanding lease, each lease ends once, and final states don't change.
func TestRegistryAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &registryModel{
			registry: New(testConfig(2 * testMaxRequests)),
			requests: map[string]*Request{},
			leases:   map[string]*modelLease{},
			ids:      rapid.SampledFrom([]string{"a", "A", "b", "c"}),
		}
		t.Repeat(map[string]func(*rapid.T){
			"":       m.check,
			"open":   m.open,
			"grant":  m.grant,
			"report": m.report,
			"decide": m.decide,
			"time":   m.advanceTime,
		})
	})
}
