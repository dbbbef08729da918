package swim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// All members join through one seed. A member that stops is declared dead by all
// others within 3 s, but not before its suspicion times out, and no other member
// is declared dead.
func TestJoinAndDeath(t *testing.T) {
	for _, n := range []int{2, 3, 6, 30} {
		t.Run(fmt.Sprintf("%d members", n), func(t *testing.T) {
			c := startCluster(uint64(n), n)
			c.run(8 * time.Second)
			if err := c.agreeOn(memberNames(n)...); err != nil {
				t.Fatal(err)
			}
			delete(c.members, "at-m001")
			took, err := c.runUntilAgreed(6*time.Second, 50*time.Millisecond, without(memberNames(n), "m001")...)
			if err != nil || took > 3*time.Second || took < 300*time.Millisecond {
				t.Errorf("got %v after %v, want agreement in 0.3s to 3s", err, took)
			}
		})
	}
}

// With 20% of the messages lost, 30% duplicated and all delayed and reordered, no
// member stays declared dead, and all views agree once the fault has ended.
func TestLossyNetwork(t *testing.T) {
	c := startCluster(5, 8)
	c.run(4 * time.Second)
	c.loss, c.duplication, c.maxDelay = 0.2, 0.3, 40*time.Millisecond
	c.run(34 * time.Second)
	c.loss, c.maxDelay = 0, 2*time.Millisecond
	c.run(37 * time.Second)
	if err := c.agreeOn(memberNames(8)...); err != nil {
		t.Fatal(err)
	}
	for _, addr := range c.addrs() {
		for _, m := range c.members[addr].Members() {
			if m.State != Alive {
				t.Errorf("%s in the view of %s: got %v, want alive", m.Name, addr, m.State)
			}
		}
	}
}

// The two sides of a partition declare each other dead. When the partition heals,
// after a short or a long time, they join again without intervention.
func TestPartitionHeals(t *testing.T) {
	for _, duration := range []time.Duration{3 * time.Second, 3 * time.Minute} {
		c := startCluster(9, 6)
		c.run(3 * time.Second)
		west := func(addr string) bool { return addr <= "at-m002" }
		c.partitioned = func(from, to string) bool { return west(from) != west(to) }
		c.run(c.now + duration)
		if err := c.agreeOn("m000", "m001", "m002"); err != nil {
			t.Fatal(err)
		}
		if err := c.agreeOn("m003", "m004", "m005"); err != nil {
			t.Fatal(err)
		}
		c.partitioned = func(string, string) bool { return false }
		took, _ := c.runUntilAgreed(10*time.Second, 50*time.Millisecond, memberNames(6)...)
		if took > 3*time.Second {
			t.Errorf("after a partition of %v: got agreement in %v, want 3s at most", duration, took)
		}
	}
}

// A member whose messages to one other member are lost stays in the group through
// the remaining members. A ring in which each member reaches only its two
// neighbors stays together too.
func TestOneWayLinkAndRing(t *testing.T) {
	c := startCluster(11, 5)
	c.run(3 * time.Second)
	c.partitioned = func(from, to string) bool { return from == "at-m001" && to == "at-m000" }
	c.run(20 * time.Second)
	if err := c.agreeOn(memberNames(5)...); err != nil {
		t.Fatal(err)
	}
	c.partitioned = func(from, to string) bool {
		a, b := int(from[len(from)-1]-'0'), int(to[len(to)-1]-'0')
		return (a-b+5)%5 != 1 && (b-a+5)%5 != 1
	}
	c.run(40 * time.Second)
	if err := c.agreeOn(memberNames(5)...); err != nil {
		t.Fatal(err)
	}
}

// A process that is stopped for 3 s is declared dead. When it resumes, it does not
// declare others dead because of messages it missed, and it rejoins.
func TestStalledProcess(t *testing.T) {
	c := startCluster(13, 5)
	c.run(3 * time.Second)
	m := c.members["at-m002"]
	delete(c.members, "at-m002")
	c.run(6 * time.Second)
	if got := c.view("at-m000"); strings.Contains(got, "m002") {
		t.Fatalf("got the view %q, want none with m002", got)
	}
	c.members["at-m002"] = m
	c.run(6*time.Second + 100*time.Millisecond)
	if got := c.view("at-m002"); got != "m000 m001 m003 m004" || m.Counts().Stalls != 1 {
		t.Fatalf("got the view %q, %+v, want all others and one stall", got, m.Counts())
	}
	c.run(8 * time.Second)
	if err := c.agreeOn(memberNames(5)...); err != nil {
		t.Fatal(err)
	}
	if m.Counts().Refuted == 0 {
		t.Fatal("got no refutation, want one of its own death")
	}
	if got := c.members["at-m000"].Counts().RefutedDeaths; got == 0 {
		t.Fatal("got no refuted death at another member, want one")
	}
}

// A process restarted under the same name becomes a new incarnation even if its
// clock is behind, and late messages from the ended incarnation have no effect.
// Of two processes that run under the same name, one gives up the name.
func TestIncarnations(t *testing.T) {
	c := startCluster(17, 4)
	c.run(3 * time.Second)
	falseDeath := Update{Name: "m003", Addr: "at-m003", Incarnation: 1003, Refutation: 7, State: Dead}
	late := Message{Kind: Ping, Self: c.members["at-m002"].Self(), Updates: []Update{falseDeath}}
	c.startMember("m002", 20, "at-m000") // an incarnation far below the previous one, as from a clock that is behind
	c.run(6 * time.Second)
	if err := c.agreeOn(memberNames(4)...); err != nil {
		t.Fatal(err)
	}
	observer := c.members["at-m000"]
	restarted, _ := observer.Member("m002")
	if restarted.Incarnation <= 1002 {
		t.Fatalf("got the incarnation %d, want one above 1002", restarted.Incarnation)
	}
	before := observer.Counts().EndedIncarnation
	c.deliver("at-m002", observer.Receive(c.now, &late))
	if m, _ := observer.Member("m003"); m.State != Alive || observer.Counts().EndedIncarnation != before+1 {
		t.Fatalf("got %+v after a message from an ended incarnation, want it ignored and counted", m)
	}
	twinConfig := Config{Name: "m002", Addr: "at-twin", Incarnation: 5000, Seeds: []string{"at-m000"}}
	twin := New(twinConfig, c.now, rand.New(rand.NewPCG(1, 1)))
	c.members["at-twin"] = twin
	c.run(30 * time.Second)
	twinLeft, otherLeft := twin.LeftReason() != "", c.members["at-m002"].LeftReason() != ""
	if twinLeft == otherLeft {
		t.Fatalf("gave up the name: got %v and %v, want exactly one of the two", twinLeft, otherLeft)
	}
}

// A member that leaves is in state left, not dead, and old rumors do not bring it
// back after it has been removed.
func TestLeave(t *testing.T) {
	c := startCluster(19, 6)
	c.run(3 * time.Second)
	c.deliver("at-m004", c.members["at-m004"].Leave(c.now))
	delete(c.members, "at-m004")
	c.run(5 * time.Second)
	for _, addr := range c.addrs() {
		if m, known := c.members[addr].Member("m004"); !known || m.State != Left {
			t.Errorf("m004 in the view of %s: got %v, want left", addr, m.State)
		}
	}
	c.run(3 * time.Minute)
	for _, addr := range c.addrs() {
		if m, known := c.members[addr].Member("m004"); known {
			t.Errorf("m004 in the view of %s: got %v, want it removed", addr, m.State)
		}
	}
}

// Updates about a member result in the same view in any order and with duplicates.
func TestUpdateOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		anyUpdate := rapid.Custom(func(t *rapid.T) Update {
			return Update{
				Name:        rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
				Addr:        "x",
				Incarnation: rapid.Uint64Range(1, 3).Draw(t, "life"),
				Refutation:  rapid.Uint32Range(0, 2).Draw(t, "inc"),
				State:       State(rapid.IntRange(0, 3).Draw(t, "state")),
			}
		})
		updates := rapid.SliceOfN(anyUpdate, 1, 12).Draw(t, "updates")
		shuffled := rapid.Permutation(updates).Draw(t, "order")
		repeated := slices.Concat(shuffled, updates[:rapid.IntRange(0, len(updates)).Draw(t, "again")])
		m, n := machineWith(updates), machineWith(repeated)
		if m.viewHash != n.viewHash || len(m.Members()) != len(n.Members()) {
			t.Fatalf("got %v and %v, want equal views", m.Members(), n.Members())
		}
		for i, x := range m.Members() {
			if y := n.Members()[i]; x.overrides(y.Update) || y.overrides(x.Update) {
				t.Fatalf("got %v and %v, want neither to override the other", x, y)
			}
		}
	})
}

// machineWith returns a machine that knows two members and has applied updates.
func machineWith(updates []Update) *Machine {
	m := New(Config{Name: "self", Addr: "y", Incarnation: 1}, 0, rand.New(rand.NewPCG(1, 1)))
	known := []Update{{Name: "a", Addr: "x", Incarnation: 1}, {Name: "b", Addr: "x", Incarnation: 1}}
	for _, update := range slices.Concat(known, updates) {
		m.apply(update)
	}
	return m
}

// The number of messages that a member sends does not grow with the group, apart
// from roster pages.
func TestTrafficPerMember(t *testing.T) {
	perSecond := func(n int) float64 {
		c := startCluster(uint64(n), n)
		c.run(10 * time.Second)
		c.sentCount = 0
		c.run(20 * time.Second)
		return float64(c.sentCount) / float64(n) / 10
	}
	if small, large := perSecond(4), perSecond(40); large > 1.5*small {
		t.Fatalf("got %.1f messages/s per member in a group of 40, want at most 1.5 times the %.1f of 4", large, small)
	}
}

// Malformed and misaddressed messages change nothing and are not answered.
func TestInvalidMessages(t *testing.T) {
	c := startCluster(23, 3)
	c.run(2 * time.Second)
	m := c.members["at-m000"]
	before := m.viewHash
	for name, msg := range map[string]Message{
		"no sender":     {},
		"long name":     {Self: Update{Name: strings.Repeat("x", 100), Addr: "y"}},
		"no address":    {Self: Update{Name: "z"}},
		"unknown state": {Self: Update{Name: "z", Addr: "y", State: 9}},
		"for another":   {Kind: Ping, To: "m001", Self: Update{Name: "z", Addr: "y", Incarnation: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			if out := m.Receive(c.now, &msg); len(out) > 0 || m.viewHash != before {
				t.Errorf("got %v, want no response and no change", out)
			}
		})
	}
}
