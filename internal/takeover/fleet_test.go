package takeover

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// zoneOf maps each instance of the model to its zone.
var zoneOf = map[string]string{"a": "x", "b": "y", "c": "z"}

// ownScope returns the scope to which an instance sends a new attempt. Each has
// its own rack, which is the worst case.
func ownScope(name string) Scope { return Scope{Rack: int(name[0]), Zone: zoneOf[name]} }

const testKey = "customer/key"

// testWork returns the work that most tests use.
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

// testFleet is a fleet of coordinators whose messages are delivered without delay.
type testFleet struct {
	now          time.Duration
	coordinators map[string]*Coordinator
	actions      map[string][]Action // all drained actions, by instance
	unreachable  map[string]bool     // instances from and to which all messages are lost
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

// deliverAll delivers messages until none is in transit.
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

// requestSend makes an instance request consent for an attempt, and delivers all
// messages.
func (f *testFleet) requestSend(name string, work Work, attempt uint64, scope Scope, deadline time.Duration) {
	f.coordinators[name].RequestSend(f.now, work, attempt, scope, deadline)
	f.deliverAll()
}

// disconnect makes an instance unreachable.
func (f *testFleet) disconnect(name string) { f.unreachable[name] = true }

// reportLeft reports to all other instances that an instance has left.
func (f *testFleet) reportLeft(left string) {
	for name, c := range f.coordinators {
		if name != left {
			c.MemberLeft(f.now, left, 1)
		}
	}
	f.deliverAll()
}

// isolate makes all instances but one unreachable.
func (f *testFleet) isolate(name string) {
	for other := range f.coordinators {
		f.unreachable[other] = other != name
	}
}

// tickAt advances the time in steps of 10 ms and calls Tick at one instance.
func (f *testFleet) tickAt(name string, ticks int) {
	for range ticks {
		f.now += 10 * ms
		f.coordinators[name].Tick(f.now)
		f.deliverAll()
	}
}

// tickReachable advances the time in steps of 10 ms and calls Tick at all
// reachable instances.
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

// countAt returns how many actions of a kind one instance has emitted.
func (f *testFleet) countAt(name string, kind ActionKind) int {
	n := 0
	for _, action := range f.actions[name] {
		if action.Kind == kind {
			n++
		}
	}
	return n
}

// countEverywhere returns how many actions of a kind all instances have emitted.
func (f *testFleet) countEverywhere(kind ActionKind) int {
	n := 0
	for name := range f.actions {
		n += f.countAt(name, kind)
	}
	return n
}

// expectCount fails the test unless an instance has emitted want actions of a kind.
func (f *testFleet) expectCount(t *testing.T, name string, kind ActionKind, want int) {
	t.Helper()
	if got := f.countAt(name, kind); got != want {
		t.Fatalf("%v actions at %s: got %d, want %d; all actions: %+v", kind, name, got, want, f.actions)
	}
}

// takeOvers returns the last ActionTakeOver of each instance that has emitted one.
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
