package swim

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// receiveFrom delivers a message from the i-th other member to m.
func receiveFrom(m *Machine, now time.Duration, i int, state State) {
	name := fmt.Sprintf("m%04d", i)
	m.Receive(now, &Message{Self: Update{Name: name, Addr: "at-" + name, Incarnation: 1, State: state}})
}

// The member list holds at most MaxMembers. An update about a further member is
// counted and ignored until another member has been removed from the list.
func TestMaxMembers(t *testing.T) {
	now := time.Second
	m := New(Config{Name: "self", Addr: "at-self", Incarnation: 1}, now, rand.New(rand.NewPCG(1, 2)))
	for i := range MaxMembers {
		receiveFrom(m, now, i, Alive)
	}
	before := m.viewHash
	if m.AliveCount() != MaxMembers || m.Counts().Full != 0 {
		t.Fatalf("got %d members, %d rejected as full, want %d and none", m.AliveCount(), m.Counts().Full, MaxMembers)
	}
	receiveFrom(m, now, MaxMembers, Alive)
	if m.AliveCount() != MaxMembers || m.Counts().Full != 1 || m.viewHash != before {
		t.Fatalf("got %d members, %d rejected as full, want %d and 1", m.AliveCount(), m.Counts().Full, MaxMembers)
	}
	receiveFrom(m, now, 0, Left)
	now += leftRetention + time.Second
	m.lastReap, m.now = now-reapInterval, now
	m.reapMembers()
	receiveFrom(m, now, MaxMembers, Alive)
	if _, known := m.Member(fmt.Sprintf("m%04d", MaxMembers)); !known || m.AliveCount() != MaxMembers {
		t.Fatalf("got %d members, last one known: %v, want it known", m.AliveCount(), known)
	}
}
