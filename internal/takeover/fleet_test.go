package takeover

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// zoneOf is the zone of each instance of the model.
var zoneOf = map[string]string{"a": "x", "b": "y", "c": "z"}

// ownScope is where an instance would send a new attempt: each to a rack of its
// own, which is the worst case.
func ownScope(name string) Scope { return Scope{Rack: int(name[0]), Zone: zoneOf[name]} }

const testKey = "customer/key"

// testWork returns the work that most tests send.
func testWork() Work {
	return Work{
		Key:               testKey,
		Class:             "publish",
		Plan:              "p",
		Tenant:            "c",
		Units:             1,
		IdempotencyWindow: 3 * time.Second,
		Command:           [][]byte{[]byte("x")},
	}
}

// numberedMembers returns n members in three zones.
func numberedMembers(n int) []Member {
	var members []Member
	for i := range n {
		members = append(members, Member{fmt.Sprint("n", i), fmt.Sprint("zone-", i%3)})
	}
	return members
}

// testFleet is coordinators whose messages arrive at once.
type testFleet struct {
	now          time.Duration
	coordinators map[string]*Coordinator
	actions      map[string][]Action // all that were drained, by instance
	unreachable  map[string]bool     // instances whose messages are lost both ways
}

func newTestFleet(n int) *testFleet {
	f := &testFleet{
		now:          time.Hour,
		coordinators: map[string]*Coordinator{},
		actions:      map[string][]Action{},
		unreachable:  map[string]bool{},
	}
	members := numberedMembers(n)
	for _, m := range members {
		f.coordinators[m.Name] = NewCoordinator(m, 1, func(string) time.Duration { return f.now })
		f.coordinators[m.Name].SetMembers(members)
	}
	return f
}

// deliverAll delivers messages until none is on its way.
func (f *testFleet) deliverAll() {
	for again := true; again; {
		again = false
		for name, c := range f.coordinators {
			outbox, actions := c.Drain()
			f.actions[name] = append(f.actions[name], actions...)
			for _, envelope := range outbox {
				again = true
				if !f.unreachable[envelope.To] && !f.unreachable[name] {
					f.coordinators[envelope.To].Receive(f.now, name, 1, envelope.Message)
				}
			}
		}
	}
}

// requestSend has an instance request consent for an attempt, and delivers all.
func (f *testFleet) requestSend(name string, work Work, attempt uint64, scope Scope, deadline time.Duration) {
	f.coordinators[name].RequestSend(f.now, work, attempt, scope, deadline)
	f.deliverAll()
}

// loseInstance cuts an instance off.
func (f *testFleet) loseInstance(name string) { f.unreachable[name] = true }

// reportLeft reports to all others that an instance has left.
func (f *testFleet) reportLeft(left string) {
	for name, c := range f.coordinators {
		if name != left {
			c.MemberLeft(f.now, left, 1)
		}
	}
	f.deliverAll()
}

// isolate cuts all instances off but one.
func (f *testFleet) isolate(name string) {
	for other := range f.coordinators {
		f.unreachable[other] = other != name
	}
}

// tickAt advances the time by 10 ms a tick, at one instance.
func (f *testFleet) tickAt(name string, ticks int) {
	for range ticks {
		f.now += 10 * ms
		f.coordinators[name].Tick(f.now)
		f.deliverAll()
	}
}

// tickReachable advances the time by 10 ms a tick, at all reachable instances.
func (f *testFleet) tickReachable(ticks int) {
	for range ticks {
		f.now += 10 * ms
		for name, c := range f.coordinators {
			if !f.unreachable[name] {
				c.Tick(f.now)
			}
		}
		f.deliverAll()
	}
}

// countAt returns how many actions of a kind an instance has drained.
func (f *testFleet) countAt(name string, kind ActionKind) int {
	n := 0
	for _, action := range f.actions[name] {
		if action.Kind == kind {
			n++
		}
	}
	return n
}

// countEverywhere returns how many actions of a kind all instances have drained.
func (f *testFleet) countEverywhere(kind ActionKind) int {
	n := 0
	for name := range f.actions {
		n += f.countAt(name, kind)
	}
	return n
}

// expectCount fails the test if an instance has drained another number of
// actions of a kind.
func (f *testFleet) expectCount(t *testing.T, name string, kind ActionKind, want int) {
	t.Helper()
	if got := f.countAt(name, kind); got != want {
		t.Fatalf("%v actions at %s: got %d, want %d; all actions: %+v", kind, name, got, want, f.actions)
	}
}

// takeOvers returns all actions that take work over, by instance.
func (f *testFleet) takeOvers() map[string]Action {
	taken := map[string]Action{}
	for name, actions := range f.actions {
		for _, action := range actions {
			if action.Kind == ActionTakeOver {
				taken[name] = action
			}
		}
	}
	return taken
}
