package takeover

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"
)

// fleet is desks whose messages arrive at once.
type testFleet struct {
	now          time.Duration
	coordinators map[string]*Coordinator
	actions      map[string][]Action
	unreachable  map[string]bool
}

func newFleet(n int) *testFleet {
	f := &testFleet{now: time.Hour, coordinators: map[string]*Coordinator{}, actions: map[string][]Action{}, unreachable: map[string]bool{}}
	var all []Member
	for i := range n {
		all = append(all, Member{fmt.Sprint("n", i), fmt.Sprint("hall-", i%3)})
	}
	for _, m := range all {
		f.coordinators[m.Name] = NewCoordinator(m, 1, func(string) time.Duration { return f.now })
		f.coordinators[m.Name].SetMembers(all)
	}
	return f
}

// run delivers until nothing is on its way.
func (f *testFleet) deliverAll() {
	for again := true; again; {
		again = false
		for name, d := range f.coordinators {
			out, acts := d.Drain()
			f.actions[name] = append(f.actions[name], acts...)
			for _, o := range out {
				again = true
				if !f.unreachable[o.To] && !f.unreachable[name] {
					f.coordinators[o.To].Receive(f.now, name, 1, o.Message)
				}
			}
		}
	}
}

func (f *testFleet) countAt(name string, do ActionKind) (n int) {
	for _, a := range f.actions[name] {
		if a.Kind == do {
			n++
		}
	}
	return n
}

func (f *testFleet) countEverywhere(do ActionKind) (n int) {
	for name := range f.actions {
		n += f.countAt(name, do)
	}
	return n
}

// Any instance names the same keepers of a key, in two halls; the keys are spread evenly.
func TestReplicasAreAgreedAndSpread(t *testing.T) {
	var all []Member
	for i := range 9 {
		all = append(all, Member{fmt.Sprint("n", i), fmt.Sprint("hall-", i%3)})
	}
	first := map[string]int{}
	for k := range 9000 {
		key := fmt.Sprint("customer/", k)
		x := Replicas(key, all)
		shuffled := slices.Clone(all)
		slices.Reverse(shuffled)
		if y := Replicas(key, shuffled); !slices.Equal(x, y) || len(x) != 3 {
			t.Fatal(x, y)
		}
		if x[0][1]%3 == x[1][1]%3 {
			t.Fatalf("%v are in one hall", x[:2])
		}
		first[x[0]]++
	}
	for n, k := range first {
		if k < 800 || k > 1200 {
			t.Errorf("%s decides on %d of 9000 keys", n, k)
		}
	}
	if x := Replicas("k", all[:1]); len(x) != 1 {
		t.Fatal(x)
	}
}

// A try is covered by two keepers; when its owner goes one of them takes it over, and one alone; a retry anywhere has the answer.
func TestTakenOverOnce(t *testing.T) {
	for k := range 60 {
		f := newFleet(6)
		w := testWork()
		w.Key = fmt.Sprint("customer/", k)
		f.coordinators["n0"].RequestSend(f.now, w, 1, ownScope("a"), f.now+3*time.Second)
		f.deliverAll()
		if f.countAt("n0", ActionSend) != 1 || !f.actions["n0"][0].Covered {
			t.Fatal(f.actions)
		}
		f.coordinators["n0"].AttemptSent(f.now, 1)
		f.unreachable["n0"] = true
		f.now += 100 * ms
		f.coordinators["n3"].RequestSend(f.now, w, 2, ownScope("b"), f.now+3*time.Second) // before anybody has noticed
		f.deliverAll()
		for range 25 { // one of its keepers may be the very one that is gone
			f.now += 10 * ms
			f.coordinators["n3"].Tick(f.now)
			f.deliverAll()
		}
		if f.countAt("n3", ActionJoin) != 1 || f.countAt("n3", ActionSend) != 0 {
			t.Fatalf("key %d: the retry does not wait: %+v", k, f.actions["n3"])
		}
		f.now += time.Second
		for name, d := range f.coordinators {
			if name != "n0" {
				d.MemberLeft(f.now, "n0", 1)
			}
		}
		f.deliverAll()
		if n := f.countEverywhere(ActionTakeOver); n != 1 {
			t.Fatalf("key %d: taken over %d times", k, n)
		}
		for name, acts := range f.actions {
			for _, a := range acts {
				if a.Kind == ActionTakeOver {
					if a.Taken.Scope != ownScope("a") || a.Taken.StartedAt > time.Hour {
						t.Fatal(a.Taken)
					}
					f.coordinators[name].Complete(f.now, a.Attempt, Answer{Kind: AnswerServed, Value: []byte("value")})
				}
			}
		}
		f.deliverAll()
		if f.countAt("n3", ActionUseAnswer) != 1 {
			t.Fatalf("key %d: the retry has no answer: %+v", k, f.actions)
		}
		f.coordinators["n5"].RequestSend(f.now, w, 3, ownScope("c"), f.now+3*time.Second)
		f.deliverAll()
		if f.countAt("n5", ActionSend) != 0 || f.countAt("n5", ActionUseAnswer) != 1 {
			t.Fatalf("key %d: a later retry: %+v", k, f.actions["n5"])
		}
	}
}

// What is past its rack's memory is not repeated, by a taker or by a retry: an honest failure.
func TestNoRepeatPastIdempotencyWindow(t *testing.T) {
	f := newFleet(4)
	f.coordinators["n0"].RequestSend(f.now, testWork(), 1, ownScope("a"), f.now+10*time.Second)
	f.deliverAll()
	f.coordinators["n0"].AttemptSent(f.now, 1)
	f.unreachable["n0"] = true
	f.now += 2800 * ms
	for name, d := range f.coordinators {
		if name != "n0" {
			d.MemberLeft(f.now, "n0", 1)
		}
	}
	f.deliverAll()
	if f.countEverywhere(ActionTakeOver) != 0 {
		t.Fatal("it was taken over")
	}
	f.coordinators["n1"].RequestSend(f.now, testWork(), 2, ownScope("b"), f.now+3*time.Second)
	f.deliverAll()
	if f.countAt("n1", ActionSend)+f.countAt("n1", ActionAdopt) != 0 || f.countAt("n1", ActionUseAnswer) != 1 {
		t.Fatal(f.actions["n1"])
	}
}

// Without any keeper's word an attempt goes out uncovered after an eighth of its time, and counts as such; an intent whose clock is old
// is asked for again; one instance alone covers nothing, and its own retries wait all the same.
func TestSendWithoutReplicas(t *testing.T) {
	f := newFleet(4)
	for n := range f.coordinators {
		f.unreachable[n] = n != "n0"
	}
	d := f.coordinators["n0"]
	d.RequestSend(f.now, testWork(), 1, ownScope("a"), f.now+800*ms)
	f.deliverAll()
	for range 9 {
		f.now += 10 * ms
		d.Tick(f.now)
		f.deliverAll()
	}
	if f.countAt("n0", ActionSend) != 0 {
		t.Fatal("it did not wait")
	}
	f.now += 10 * ms
	d.Tick(f.now)
	f.deliverAll()
	if f.countAt("n0", ActionSend) != 1 || f.actions["n0"][0].Covered || d.Counts().Uncovered != 1 {
		t.Fatal(f.actions, d.Counts())
	}

	g := newFleet(4)
	old := g.now - 5*time.Second
	g.coordinators["n0"].replicaClock = func(string) time.Duration { return old }
	g.coordinators["n0"].RequestSend(g.now, testWork(), 1, ownScope("a"), g.now+time.Second)
	g.deliverAll()
	if g.countAt("n0", ActionSend) != 1 || !g.actions["n0"][0].Covered {
		t.Fatal(g.actions)
	}

	h := newFleet(1)
	h.coordinators["n0"].RequestSend(h.now, testWork(), 1, ownScope("a"), h.now+time.Second)
	h.deliverAll()
	h.coordinators["n0"].RequestSend(h.now, testWork(), 2, ownScope("a"), h.now+time.Second)
	h.deliverAll()
	if h.countAt("n0", ActionSend) != 1 || h.countAt("n0", ActionJoin) != 1 || h.coordinators["n0"].Counts().NoReplica != 1 {
		t.Fatal(h.actions, h.coordinators["n0"].Counts())
	}
}

// Another rack needs every keeper's yes: where one is silent the try may not go on, and nothing of it has run.
func TestMigrationNeedsEveryReplica(t *testing.T) {
	f := newFleet(5)
	d := f.coordinators["n0"]
	d.RequestSend(f.now, testWork(), 1, ownScope("a"), f.now+2*time.Second)
	f.deliverAll()
	d.MigrateAttempt(f.now, 1, ownScope("b"))
	f.deliverAll()
	if f.countAt("n0", ActionSend) != 2 {
		t.Fatal(f.actions["n0"])
	}
	f.unreachable[d.pending[1].remotes[1]] = true
	d.MigrateAttempt(f.now, 1, ownScope("c"))
	f.deliverAll()
	for range 40 {
		f.now += 10 * ms
		d.Tick(f.now)
		f.deliverAll()
	}
	if f.countAt("n0", ActionSend) != 2 || f.countAt("n0", ActionAbort) != 1 {
		t.Fatal(f.actions["n0"])
	}
}

// Bounds: nonsense is not answered, and what finds no room goes uncovered.
func TestStoreBounds(t *testing.T) {
	f := newFleet(3)
	d := f.coordinators["n1"]
	for _, in := range []Intent{{}, {Work: Work{Key: "k", Command: [][]byte{make([]byte, MaxBody+1)}}}, {Work: Work{Key: "k"}, Remaining: -1}, {Work: Work{Key: "k"}, Remaining: time.Hour}, {Work: Work{Key: "k", IdempotencyWindow: -1}}} {
		d.Receive(f.now, "n0", 1, Message{Intent: &in})
	}
	if out, _ := d.Drain(); len(out) != 0 {
		t.Fatal(out)
	}
	d.Receive(f.now, "n0", 1, Message{})
	for i := range maxRecords + 10 {
		w := testWork()
		w.Key = fmt.Sprint(i)
		d.Receive(f.now, "n0", 1, Message{Intent: &Intent{Work: w, Attempt: uint64(i), Remaining: time.Second, Clock: f.now, Replicas: []string{"n1"}}})
	}
	if _, records, bytes := d.Pending(); records > maxRecords || bytes > maxRecordBytes || d.Counts().Replica.Full != 10 {
		t.Fatal(records, bytes, d.Counts().Replica)
	}
	f.now += 3 * time.Second
	d.Tick(f.now)
	f.now += 11 * time.Second
	d.Tick(f.now)
	if _, records, bytes := d.Pending(); records != 0 || bytes != 0 {
		t.Fatal(records, bytes)
	}
}

// Who is about to be refused asks whether another try of the key has an answer: it waits for one that is on its way, also where its owner dies and
// another finishes it, has one that is kept, and is told within 25 ms where there is none. Nothing is sent for it.
func TestOutcomeQueryBeforeRejection(t *testing.T) {
	const until = time.Hour + 3*time.Second
	begin := func(t *testing.T, k int) (*testFleet, Work) {
		f := newFleet(6)
		w := testWork()
		w.Key = fmt.Sprint("customer/", k)
		f.coordinators["n0"].RequestSend(f.now, w, 1, ownScope("a"), until)
		f.deliverAll()
		f.coordinators["n0"].AttemptSent(f.now, 1)
		return f, w
	}
	tick := func(f *testFleet, times int) {
		for range times {
			f.now += 10 * ms
			for name, d := range f.coordinators {
				if !f.unreachable[name] {
					d.Tick(f.now)
				}
			}
			f.deliverAll()
		}
	}
	for k := range 40 {
		f, w := begin(t, k)
		ask := func(who string, try uint64, key string) {
			t.Helper()
			if !f.coordinators[who].QueryOutcome(f.now, key, try, until) {
				t.Fatal("nobody can be asked")
			}
			f.deliverAll()
		}
		ask("n3", 2, w.Key)
		ask("n4", 3, "customer/another")
		if f.countAt("n3", ActionJoin) != 1 || f.countAt("n4", ActionUnknown) != 1 {
			t.Fatalf("key %d: %+v", k, f.actions)
		}
		if k%2 == 0 { // its owner dies, and a taker finishes it
			f.unreachable["n0"] = true
			for name, d := range f.coordinators {
				if name != "n0" {
					d.MemberLeft(f.now, "n0", 1)
				}
			}
			f.deliverAll()
			for name := range f.coordinators {
				if f.countAt(name, ActionTakeOver) == 1 {
					f.coordinators[name].Complete(f.now, 1, Answer{Kind: AnswerServed, Value: []byte("v")})
				}
			}
		} else {
			f.coordinators["n0"].Complete(f.now, 1, Answer{Kind: AnswerServed, Value: []byte("v")})
		}
		f.deliverAll()
		ask("n5", 4, w.Key)
		if f.countAt("n3", ActionUseAnswer) != 1 || f.countAt("n5", ActionUseAnswer) != 1 || f.countEverywhere(ActionSend) != 1 || f.countEverywhere(ActionAdopt) != 0 {
			t.Fatalf("key %d: %+v", k, f.actions)
		}
	}
	t.Run("it failed", func(t *testing.T) {
		f, w := begin(t, 1)
		f.coordinators["n3"].QueryOutcome(f.now, w.Key, 2, until)
		f.deliverAll()
		f.coordinators["n0"].Complete(f.now, 1, Answer{Kind: AnswerFailed})
		f.deliverAll()
		f.coordinators["n4"].QueryOutcome(f.now, w.Key, 3, until)
		f.deliverAll()
		if f.countAt("n3", ActionUseAnswer) != 1 || f.countAt("n4", ActionUnknown) != 1 {
			t.Fatalf("%+v", f.actions)
		}
	})
	t.Run("nobody replies", func(t *testing.T) {
		f, w := begin(t, 1)
		for name := range f.coordinators {
			f.unreachable[name] = name != "n3"
		}
		d := f.coordinators["n3"]
		for try := uint64(10); try < 10+maxOpenQueries; try++ {
			if !d.QueryOutcome(f.now, w.Key, try, until) {
				t.Fatal(try)
			}
		}
		if d.QueryOutcome(f.now, w.Key, 1000, until) {
			t.Error("more ask at a time than may")
		}
		if tick(f, 2); f.countAt("n3", ActionUnknown) != 0 {
			t.Error("the keepers were not waited for")
		}
		if tick(f, 1); f.countAt("n3", ActionUnknown) != maxOpenQueries || len(d.pending) > 0 {
			t.Errorf("%d of %d are told after 30 ms, %d hands are kept", f.countAt("n3", ActionUnknown), maxOpenQueries, len(d.pending))
		}
		if !d.QueryOutcome(f.now, w.Key, 2000, until) {
			t.Error("nobody may ask any more")
		}
		if d.QueryOutcome(f.now, w.Key, 2001, f.now+outcomeQueryTimeout) {
			t.Error("there is no time to ask")
		}
	})
	t.Run("too many wait", func(t *testing.T) {
		f, w := begin(t, 1)
		for try := range uint64(2 * maxWaiters) {
			f.coordinators["n3"].QueryOutcome(f.now, w.Key, 100+try, until)
		}
		f.deliverAll()
		f.coordinators["n0"].Complete(f.now, 1, Answer{Kind: AnswerServed, Value: []byte("v")})
		f.deliverAll()
		if got := f.countAt("n3", ActionUseAnswer) + f.countAt("n3", ActionUnknown); got != 2*maxWaiters || f.countAt("n3", ActionUnknown) == 0 {
			t.Errorf("%d of %d were told: %d that there is no room", got, 2*maxWaiters, f.countAt("n3", ActionUnknown))
		}
	})
}

// A thousand records at a keeper take about what the keeper reckons with: its bound on memory is one.
func TestRecordMemoryEstimate(t *testing.T) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	k := newReplicaStore("a", 1)
	for i := range 1000 {
		words := [][]byte{[]byte("Q.DO"), []byte(fmt.Sprintf("%016x", i)), []byte(fmt.Sprintf("%016x", i)), make([]byte, 300)}
		in := &Intent{
			Work: Work{Key: fmt.Sprintf("customer/%016x", i), Class: "publish", Plan: "p", Tenant: "customer", Units: 1, IdempotencyWindow: time.Second, Command: words}, Attempt: uint64(i), Scope: Scope{Rack: 1},
			Remaining: time.Second, Clock: time.Minute, Replicas: []string{"a", "b", "c"},
		}
		if re := k.handleIntent(time.Minute, "b", 1, in); re.Kind != ReplyGranted {
			t.Fatal(re)
		}
	}
	took := float64(heap()-before) / 1000
	t.Logf("%.0f bytes a record, of which the keeper knows %.0f", took, float64(k.bytes)/1000)
	if reckoned := float64(k.bytes) / 1000; took > 2*reckoned || took < 0.4*reckoned {
		t.Errorf("%.0f bytes a record; the keeper reckons with %.0f", took, reckoned)
	}
	runtime.KeepAlive(k)
}

// Work that waits at its instance is refused only where nobody has taken it over: an owner that was held to be dead may be asked to refuse what
// another has sent.
func TestConfirmBeforeRejection(t *testing.T) {
	later := func(f *testFleet, d time.Duration) {
		for end := f.now + d; f.now < end; f.now += 10 * ms {
			for name, d := range f.coordinators {
				if !f.unreachable[name] {
					d.Tick(f.now)
				}
			}
			f.deliverAll()
		}
	}
	for name, c := range map[string]struct {
		before func(f *testFleet)
		want   ActionKind
	}{
		"nobody has taken it": {func(f *testFleet) {}, ActionSend},
		"it was taken over": {func(f *testFleet) {
			f.unreachable["n0"] = true
			for n, d := range f.coordinators {
				if n != "n0" {
					d.MemberLeft(f.now, "n0", 1)
				}
			}
			later(f, 300*ms)
			if f.countEverywhere(ActionTakeOver) != 1 {
				t.Fatal("nobody took it over")
			}
			f.unreachable["n0"] = false
		}, ActionJoin},
		"nobody answers": {func(f *testFleet) {
			for n := range f.coordinators {
				f.unreachable[n] = n != "n0"
			}
		}, ActionAbort},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(4)
			f.coordinators["n0"].RequestSend(f.now, testWork(), 7, ScopeNone, f.now+4*time.Second)
			f.deliverAll()
			later(f, 100*ms)
			c.before(f)
			f.actions["n0"] = nil
			f.coordinators["n0"].ConfirmRejection(f.now, 7)
			later(f, 100*ms)
			if len(f.actions["n0"]) != 1 || f.actions["n0"][0].Kind != c.want {
				t.Errorf("%+v, want %v", f.actions["n0"], c.want)
			}
		})
	}
}
