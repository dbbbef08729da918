package policy

import (
	"testing"
	"time"
)

// Work that another gateway has begun takes no units here, goes out at once in the rack of its first attempt alone, and is an
// honest failure where that has begun to forget it.
func TestPrior(t *testing.T) {
	for name, c := range map[string]struct {
		ago    time.Duration
		cell   int
		sent   bool
		failed bool
	}{
		"in its rack":            {500 * time.Millisecond, 2, true, false},
		"no node in its rack":    {500 * time.Millisecond, 7, false, false},
		"its rack has forgotten": {5 * time.Second, 2, false, true},
	} {
		g, err := New(Settings{Instances: 1, MaxAttempts: 4, MayCancel: true, Hedging: true, Classes: []Class{{
			Name: "publish", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 2 * time.Second,
			Effect: Keyed, Group: GroupCell, RepeatWindow: 3 * time.Second,
		}}, Plans: []Plan{{Name: "p", Price: 1, Rate: 1, Burst: 1}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		g.Handle(now, EndpointsChanged{Complete: true, Backends: []Backend{{ID: "one", Cell: 1, State: Running}, {ID: "two", Cell: 2, State: Running}}}, nil)
		for i := range 3 { // the quota is long spent
			g.Handle(now, Arrival{Request{ID: RequestID(i + 1), Class: "publish", Plan: "p", Tenant: "c", GiveUpAt: now + time.Second, Units: 1}}, nil)
		}
		out := g.Handle(now, Arrival{Request{ID: 9, Class: "publish", Plan: "p", Tenant: "c", GiveUpAt: now + time.Second, Units: 1, Charged: true, Prior: &Prior{Cell: c.cell, At: now - c.ago}}}, nil)
		for range 20 {
			now += 20 * time.Millisecond
			out = g.Handle(now, TimerFired{}, out)
		}
		var sent, failed bool
		for _, a := range out {
			switch a := a.(type) {
			case SendAttempt:
				if a.ID == 9 {
					sent = true
					if a.Backend != "two" {
						t.Errorf("%s: sent to %s", name, a.Backend)
					}
				}
			case Fail:
				failed = failed || a.ID == 9
			case Reject:
				if a.ID == 9 {
					t.Errorf("%s: refused, as if it had not run: %v", name, a.Reason)
				}
			}
		}
		if sent != c.sent || failed != c.failed {
			t.Errorf("%s: sent %v, failed %v", name, sent, failed)
		}
	}
}

// Work that another gateway has accepted and not sent takes no units here: its customer's quota was charged there. It is sent as new work is,
// anywhere, and counts under the ceiling.
func TestPaid(t *testing.T) {
	for _, paid := range []bool{false, true} {
		g, err := New(Settings{Instances: 1, MaxAttempts: 4, Classes: []Class{{
			Name: "publish", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 2 * time.Second, Effect: Keyed,
			RepeatWindow: 3 * time.Second,
		}}, Plans: []Plan{{Name: "p", Price: 1, Rate: 1, Burst: 1, CeilingRate: 2, CeilingBurst: 2}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		g.Handle(now, EndpointsChanged{Complete: true, Backends: []Backend{{ID: "one", State: Running}}}, nil)
		ask := func(id RequestID, paid bool) (sent, held bool) {
			out := g.Handle(now, Arrival{Request{ID: id, Class: "publish", Plan: "p", Tenant: "c", GiveUpAt: now + time.Second, Units: 1, Charged: paid}}, nil)
			for _, a := range out {
				s, is := a.(SendAttempt)
				sent = sent || is && s.ID == id
			}
			return sent, g.IsQueued(id)
		}
		ask(1, false)
		now += time.Second // the ceiling's part holds two units, the quota's store none yet
		ask(2, false)
		ask(3, false)
		if sent, _ := ask(9, paid); sent != paid {
			t.Errorf("paid %v: sent %v, the quota is spent", paid, sent)
		}
		if paid {
			if sent, held := ask(10, true); sent || !held {
				t.Errorf("the ceiling is spent: sent %v, held %v", sent, held)
			}
		}
	}
}
