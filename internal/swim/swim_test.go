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

// world is members on a network in virtual time: each message takes a while, and may be lost, come twice or out of order.
type cluster struct {
	rng         *rand.Rand
	now         time.Duration
	members     map[string]*Machine // by address
	queue       []inFlight
	lost        float64
	duplicated  float64
	maxDelay    time.Duration // at the most
	partitioned func(from, to string) bool
	sentCount   int

	refusals [][2]string // who was turned back, and by which address
}

type inFlight struct {
	at       time.Duration
	n        int // breaks ties
	from, to string
	msg      Message
}

func newCluster(seed uint64) *cluster {
	return &cluster{rng: rand.New(rand.NewPCG(seed, 3)), members: map[string]*Machine{}, maxDelay: 2 * time.Millisecond, partitioned: func(string, string) bool { return false }}
}

func (c *cluster) startMember(name string, life uint64, seeds ...string) *Machine {
	m := New(Config{Name: name, Addr: "at-" + name, Zone: "hall", Incarnation: life, Seeds: seeds}, c.now, rand.New(rand.NewPCG(life, uint64(len(c.members)))))
	c.members["at-"+name] = m
	return m
}

func (c *cluster) deliver(from string, out []Envelope) {
	for _, o := range out {
		c.sentCount++
		if c.partitioned(from, o.Addr) || c.rng.Float64() < c.lost {
			continue
		}
		for range 1 + map[bool]int{true: 1}[c.rng.Float64() < c.duplicated] {
			at := c.now + 100*time.Microsecond + time.Duration(c.rng.Float64()*float64(c.maxDelay))
			msg := *o.Message
			msg.Updates = slices.Clone(o.Message.Updates)
			c.queue = append(c.queue, inFlight{at, c.sentCount, from, o.Addr, msg})
		}
	}
}

// run plays until a time.
func (c *cluster) run(until time.Duration) {
	for {
		next, at := -1, until
		for i, f := range c.queue {
			if f.at < at || f.at == at && next >= 0 && f.n < c.queue[next].n {
				next, at = i, f.at
			}
		}
		ticks := ""
		for _, addr := range c.addrs() {
			if due := max(c.members[addr].NextTick(), c.now); due < at {
				next, at, ticks = -1, due, addr
			}
		}
		c.now = max(c.now, at)
		for len(c.refusals) > 0 {
			r := c.refusals[0]
			c.refusals = c.refusals[1:]
			c.deliver(r[0], c.members[r[0]].HandleRefusal(c.now, r[1]))
		}
		switch {
		case ticks != "":
			c.deliver(ticks, c.members[ticks].Tick(c.now))
		case next >= 0:
			f := c.queue[next]
			c.queue = slices.Delete(c.queue, next, next+1)
			if m := c.members[f.to]; m != nil {
				c.deliver(f.to, m.Receive(c.now, &f.msg))
			}
		default:
			return
		}
	}
}

func (c *cluster) addrs() []string {
	var out []string
	for a := range c.members {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

func (c *cluster) view(addr string) string {
	var out []string
	for _, m := range c.members[addr].Members() {
		if m.State <= Suspect {
			out = append(out, m.Name)
		}
	}
	return strings.Join(out, " ")
}

// full says whether each of a part knows each other and nobody else.
func (c *cluster) agreeOn(names ...string) error {
	for _, n := range names {
		want := slices.DeleteFunc(slices.Clone(names), func(x string) bool { return x == n })
		slices.Sort(want)
		if got := c.view("at-" + n); got != strings.Join(want, " ") {
			return fmt.Errorf("%s holds %q to be there, want %q", n, got, want)
		}
	}
	return nil
}

func names(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("m%03d", i))
	}
	return out
}

func startCluster(seed uint64, n int) *cluster {
	w := newCluster(seed)
	for i, name := range names(n) {
		seeds := []string{"at-m000"}
		if i == 0 {
			seeds = []string{"at-m001"}
		}
		w.startMember(name, uint64(1000+i), seeds...)
	}
	return w
}

// All find one another through one seed; one that stops is held to be dead by all within a bound, no sooner than a suspicion
// lasts, and nobody else is.
func TestJoinAndDeath(t *testing.T) {
	for _, n := range []int{2, 3, 6, 30} {
		w := startCluster(uint64(n), n)
		w.run(8 * time.Second)
		if err := w.agreeOn(names(n)...); err != nil {
			t.Fatalf("%d members: %v", n, err)
		}
		delete(w.members, "at-m001")
		died := w.now
		left := slices.DeleteFunc(names(n), func(x string) bool { return x == "m001" })
		for w.now < died+6*time.Second && w.agreeOn(left...) != nil {
			w.run(w.now + 50*time.Millisecond)
		}
		if err := w.agreeOn(left...); err != nil || w.now-died > 3*time.Second || w.now-died < 300*time.Millisecond {
			t.Errorf("%d members: %v after %v", n, err, w.now-died)
		}
	}
}

// A fifth of all messages is lost, a third comes twice, all late and out of order: nobody is held to be dead for long, and all agree
// when the trouble ends.
func TestLossyNetwork(t *testing.T) {
	w := startCluster(5, 8)
	w.run(4 * time.Second)
	w.lost, w.duplicated, w.maxDelay = 0.2, 0.3, 40*time.Millisecond
	w.run(34 * time.Second)
	w.lost, w.maxDelay = 0, 2*time.Millisecond
	w.run(37 * time.Second)
	if err := w.agreeOn(names(8)...); err != nil {
		t.Fatal(err)
	}
	for _, a := range w.addrs() {
		for _, m := range w.members[a].Members() {
			if m.State != Alive {
				t.Errorf("%s holds %s to be %v", a, m.Name, m.State)
			}
		}
	}
}

// Two parts hold each other to be dead, for however long; when the cut ends they are together again by themselves.
func TestPartedAndHealed(t *testing.T) {
	for _, long := range []time.Duration{3 * time.Second, 3 * time.Minute} {
		w := startCluster(9, 6)
		w.run(3 * time.Second)
		west := func(a string) bool { return a <= "at-m002" }
		w.partitioned = func(from, to string) bool { return west(from) != west(to) }
		w.run(w.now + long)
		if err := w.agreeOn("m000", "m001", "m002"); err != nil {
			t.Fatal(err)
		}
		if err := w.agreeOn("m003", "m004", "m005"); err != nil {
			t.Fatal(err)
		}
		w.partitioned = func(string, string) bool { return false }
		healed := w.now
		for w.agreeOn(names(6)...) != nil && w.now < healed+10*time.Second {
			w.run(w.now + 50*time.Millisecond)
		}
		if w.now-healed > 3*time.Second {
			t.Errorf("after %v apart they need %v", long, w.now-healed)
		}
	}
}

// A member that hears one other but is not heard by it is kept in by the rest; a ring in which each hears its neighbours alone
// holds together too.
func TestOneWayAndRing(t *testing.T) {
	w := startCluster(11, 5)
	w.run(3 * time.Second)
	w.partitioned = func(from, to string) bool { return from == "at-m001" && to == "at-m000" }
	w.run(20 * time.Second)
	if err := w.agreeOn(names(5)...); err != nil {
		t.Fatal(err)
	}
	w.partitioned = func(from, to string) bool {
		a, b := int(from[len(from)-1]-'0'), int(to[len(to)-1]-'0')
		return (a-b+5)%5 != 1 && (b-a+5)%5 != 1
	}
	w.run(40 * time.Second)
	if err := w.agreeOn(names(5)...); err != nil {
		t.Fatal(err)
	}
}

// A process that is stopped for 3 s is held to be dead; it wakes, declares nobody dead for what it did not hear, and is there again.
func TestStopped(t *testing.T) {
	w := startCluster(13, 5)
	w.run(3 * time.Second)
	m := w.members["at-m002"]
	delete(w.members, "at-m002")
	w.run(6 * time.Second)
	if got := w.view("at-m000"); strings.Contains(got, "m002") {
		t.Fatal(got)
	}
	w.members["at-m002"] = m
	w.run(6*time.Second + 100*time.Millisecond)
	if got := w.view("at-m002"); got != "m000 m001 m003 m004" || m.Counts().Stalls != 1 {
		t.Fatal(got, m.Counts())
	}
	w.run(8 * time.Second)
	if err := w.agreeOn(names(5)...); err != nil {
		t.Fatal(err)
	}
	if m.Counts().Refuted == 0 {
		t.Fatal("nobody had to be told")
	}
}

// A start of the same name is a new life, also where its clock is behind; what the ended life has still on its way counts for
// nothing. Of two that run under one name one gives up.
func TestLives(t *testing.T) {
	w := startCluster(17, 4)
	w.run(3 * time.Second)
	old := Message{Kind: Ping, Self: w.members["at-m002"].Self(), Updates: []Update{{Name: "m003", Addr: "at-m003", Incarnation: 1003, Refutation: 7, State: Dead}}}
	w.startMember("m002", 20, "at-m000") // its clock is far behind
	w.run(6 * time.Second)
	if err := w.agreeOn(names(4)...); err != nil {
		t.Fatal(err)
	}
	x, _ := w.members["at-m000"].Member("m002")
	if x.Incarnation <= 1002 {
		t.Fatalf("life %d", x.Incarnation)
	}
	before := w.members["at-m000"].Counts().EndedIncarnation
	w.deliver("at-m002", w.members["at-m000"].Receive(w.now, &old))
	if y, _ := w.members["at-m000"].Member("m003"); y.State != Alive || w.members["at-m000"].Counts().EndedIncarnation != before+1 {
		t.Fatal("an ended life was believed", y)
	}
	twin := New(Config{Name: "m002", Addr: "at-twin", Incarnation: 5000, Seeds: []string{"at-m000"}}, w.now, rand.New(rand.NewPCG(1, 1)))
	w.members["at-twin"] = twin
	w.run(30 * time.Second)
	if over := []bool{twin.LeftReason() != "", w.members["at-m002"].LeftReason() != ""}; over[0] == over[1] {
		t.Fatalf("given up: %v", over)
	}
}

// Who leaves is known to have left, not to be dead, and does not come back by rumour.
func TestLeave(t *testing.T) {
	w := startCluster(19, 6)
	w.run(3 * time.Second)
	w.deliver("at-m004", w.members["at-m004"].Leave(w.now))
	delete(w.members, "at-m004")
	w.run(5 * time.Second)
	for _, a := range w.addrs() {
		if m, known := w.members[a].Member("m004"); !known || m.State != Left {
			t.Errorf("%s holds it to be %v", a, m.State)
		}
	}
	w.run(3 * time.Minute)
	for _, a := range w.addrs() {
		if m, known := w.members[a].Member("m004"); known {
			t.Errorf("%s still knows it, %v", a, m.State)
		}
	}
}

// Updates of one member in any order and number come to the same view.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gen := rapid.Custom(func(t *rapid.T) Update {
			return Update{
				Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), Addr: "x", Incarnation: rapid.Uint64Range(1, 3).Draw(t, "life"),
				Refutation: rapid.Uint32Range(0, 2).Draw(t, "inc"), State: State(rapid.IntRange(0, 3).Draw(t, "state")),
			}
		})
		list := rapid.SliceOfN(gen, 1, 12).Draw(t, "updates")
		order := rapid.Permutation(list).Draw(t, "order")
		twice := slices.Concat(order, list[:rapid.IntRange(0, len(list)).Draw(t, "again")])
		known := []Update{{Name: "a", Addr: "x", Incarnation: 1}, {Name: "b", Addr: "x", Incarnation: 1}} // both sides have met them
		apply := func(list []Update) *Machine {
			m := New(Config{Name: "self", Addr: "y", Incarnation: 1}, 0, rand.New(rand.NewPCG(1, 1)))
			for _, u := range slices.Concat(known, list) {
				m.apply(u)
			}
			return m
		}
		m, n := apply(list), apply(twice)
		if m.viewHash != n.viewHash || len(m.Members()) != len(n.Members()) {
			t.Fatalf("%v against %v", m.Members(), n.Members())
		}
		for i, x := range m.Members() {
			if y := n.Members()[i]; x.Update.overrides(y.Update) || y.Update.overrides(x.Update) {
				t.Fatalf("%v against %v", x, y)
			}
		}
	})
}

// What a member sends does not grow with the members, but for the rosters that are read.
func TestTraffic(t *testing.T) {
	each := func(n int) float64 {
		w := startCluster(uint64(n), n)
		w.run(10 * time.Second)
		w.sentCount = 0
		w.run(20 * time.Second)
		return float64(w.sentCount) / float64(n) / 10
	}
	if small, large := each(4), each(40); large > 1.5*small {
		t.Fatalf("%.1f messages a second each among 4, %.1f among 40", small, large)
	}
}

// Nonsense changes nothing.
func TestNonsense(t *testing.T) {
	w := startCluster(23, 3)
	w.run(2 * time.Second)
	m := w.members["at-m000"]
	before := m.viewHash
	for _, msg := range []Message{
		{},
		{Self: Update{Name: strings.Repeat("x", 100), Addr: "y"}},
		{Self: Update{Name: "z"}},
		{Self: Update{Name: "z", Addr: "y", State: 9}},
		{Kind: Ping, To: "m001", Self: Update{Name: "z", Addr: "y", Incarnation: 1}},
	} {
		if out := m.Receive(w.now, &msg); len(out) > 0 || m.viewHash != before {
			t.Errorf("%+v: %v", msg, out)
		}
	}
}

// refuse has hosts turn back what goes to a member that has ended: who sent it hears of it at once.
func (c *cluster) refuseByICMP(hosts func(from, to string) bool) {
	cut := c.partitioned
	c.partitioned = func(from, to string) bool {
		if c.members[to] == nil && hosts(from, to) && c.members[from] != nil {
			c.refusals = append(c.refusals, [2]string{from, to})
		}
		return cut(from, to)
	}
}

// A host that turns messages back says that a process has ended long before its silence does: two who were turned back hold it to be dead within
// moments. One alone doesn't, and a member that is there after all is not taken for dead for it.
func TestTurnedBack(t *testing.T) {
	for _, n := range []int{3, 6, 30} {
		w := startCluster(uint64(n), n)
		w.refuseByICMP(func(string, string) bool { return true })
		w.run(8 * time.Second)
		delete(w.members, "at-m001")
		died := w.now
		left := slices.DeleteFunc(names(n), func(x string) bool { return x == "m001" })
		for w.now < died+3*time.Second && w.agreeOn(left...) != nil {
			w.run(w.now + 5*time.Millisecond)
		}
		if err := w.agreeOn(left...); err != nil || w.now-died > 600*time.Millisecond { // until somebody sends something there, and a moment
			t.Errorf("%d members: %v after %v", n, err, w.now-died)
		}
		w.startMember("m001", 5000, "at-m000")
		w.run(w.now + 3*time.Second)
		if err := w.agreeOn(names(n)...); err != nil {
			t.Errorf("%d members, and it starts again: %v", n, err)
		}
	}
	t.Run("one alone", func(t *testing.T) {
		w := startCluster(7, 6)
		w.refuseByICMP(func(from, _ string) bool { return from == "at-m003" })
		w.run(8 * time.Second)
		delete(w.members, "at-m001")
		died := w.now
		left := slices.DeleteFunc(names(6), func(x string) bool { return x == "m001" })
		for w.now < died+5*time.Second && w.agreeOn(left...) != nil {
			w.run(w.now + 5*time.Millisecond)
		}
		if took := w.now - died; took < 400*time.Millisecond {
			t.Errorf("one who was turned back was enough, after %v", took)
		}
	})
	t.Run("it is there", func(t *testing.T) {
		w := startCluster(8, 6)
		w.run(8 * time.Second)
		x := w.members["at-m004"]
		for _, a := range []string{"at-m000", "at-m001", "at-m002"} { // forged, or of a moment
			w.deliver(a, w.members[a].HandleRefusal(w.now, "at-m004"))
		}
		dead := false
		for end := w.now + 3*time.Second; w.now < end; {
			w.run(w.now + 5*time.Millisecond)
			dead = dead || !strings.Contains(w.view("at-m005"), "m004")
		}
		if dead || x.Counts().Refuted == 0 {
			t.Errorf("held to be dead %v, refuted %d", dead, x.Counts().Refuted)
		}
		if out := w.members["at-m000"].HandleRefusal(w.now, "at-m004"); len(out) > 0 {
			t.Errorf("%d messages for a hint that was refuted a moment ago", len(out))
		}
	})
}
