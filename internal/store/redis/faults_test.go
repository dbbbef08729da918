package redis

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"

	"hitchspring/internal/standin/fault"
	standin "hitchspring/internal/standin/redis"
	"hitchspring/internal/store"
	"hitchspring/internal/store/storetest"
)

// outOfMemory is the reply of a Redis that has reached its limit of memory.
const outOfMemory = "OOM command not allowed when used memory > 'maxmemory'."

// once is a fault of the next add.
func once(kind fault.Kind) fault.Rule {
	return fault.Rule{Kind: kind, On: "EVALSHA", Times: 1}
}

// An add whose reply does not come is sent again; whether it had been applied, had not, or is applied after the
// retry, it counts once.
func TestTimedOutAddCountsOnce(t *testing.T) {
	late := once(fault.Late)
	late.By = 600 * time.Millisecond
	for name, c := range map[string]struct {
		rule           fault.Rule
		alreadyApplied bool
	}{
		"applied":       {once(fault.Swallow), true},
		"not applied":   {once(fault.Ignore), false},
		"applied later": {late, false},
		"reset after":   {once(fault.DropAfter), true},
		"reset before":  {once(fault.DropBefore), false},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, standin.Options{})
			opt := options(s.Addr())
			opt.Timeout = 50 * time.Millisecond
			instance := start(t, opt)
			instance.AddAndWait(t, "a", 10)
			s.Fault(c.rule)
			call := &store.Call{Name: "a", Amount: 1, TTL: time.Minute}
			instance.Add(call)
			got := instance.NextAnswer(t) // sent again on a new connection, it is found
			if got.Call != call || got.Result != (store.Result{Certainty: store.Added, Seen: true, Total: 11}) {
				t.Fatalf("%+v", got.Result)
			}
			if got := stats(instance).AlreadyApplied == 1; got != c.alreadyApplied {
				t.Errorf("found to be applied: got %v, want %v", got, c.alreadyApplied)
			}
			requireTotal(t, instance, 5, 16)
			if c.rule.Kind == fault.Late { // behind a newer sum, which it must not undo
				awaitLateAdd(t, s)
			}
			if got := total(t, s, "a"); got != 16 {
				t.Fatalf("the server holds %v, want 16", got)
			}
			requireTotal(t, instance, 0, 16)
		})
	}
}

// requireTotal adds to the name a and compares the total.
func requireTotal(t *testing.T, instance *storetest.Instance, amount, want float64) {
	t.Helper()
	if got := instance.AddAndWait(t, "a", amount); got.Total != want {
		t.Fatalf("got %+v, want total %v", got, want)
	}
}

// awaitLateAdd waits until the server has applied an add that it held back.
func awaitLateAdd(t *testing.T, s *standin.Server) {
	t.Helper()
	isLate := func(r standin.Record) bool { return r.Fault == fault.Late && r.Applied }
	storetest.Eventually(t, "the late add", func() bool { return slices.ContainsFunc(s.Records(), isLate) })
}

// delayNext makes the server delay the next add, and sends it, so that further calls are pending behind it.
func delayNext(s *standin.Server, instance *storetest.Instance, name string) {
	delay := once(fault.Delay)
	delay.By = 100 * time.Millisecond
	s.Fault(delay)
	instance.Add(&store.Call{Name: name, TTL: time.Minute})
}

// The same if nobody waits for the answer any more: the unit is in the total in the end, once, without another add.
func TestLapsedAddIsSentAgain(t *testing.T) {
	for _, kind := range []fault.Kind{fault.Ignore, fault.Swallow, fault.Fail} {
		s := startServer(t, standin.Options{})
		opt := options(s.Addr())
		opt.Timeout = 50 * time.Millisecond
		instance := start(t, opt)
		instance.AddAndWait(t, "a", 10)
		delayNext(s, instance, "a")
		rule := once(kind)
		rule.Text = outOfMemory
		s.Fault(rule)
		call := &store.Call{Name: "a", Amount: 1, TTL: time.Minute}
		instance.Add(call)
		storetest.Eventually(t, "the call to be claimed", func() bool { return !call.IsQueued() })
		if !call.Lapse() {
			t.Fatal("the store has rejected it already")
		}
		storetest.Eventually(t, string(kind)+": the unit in the total", func() bool { return total(t, s, "a") == 11 })
		if r := instance.AddAndSkipEarlier(t, "a", 0); r.Total != 11 {
			t.Fatalf("%s: total %v", kind, r.Total)
		}
	}
}

// The connection drops in a pipeline of 100 after the 37th was applied. If the server is back, all are added, and
// 37 are found to be. If it is not, the answered ones are added, the others maybe, and later ones surely not.
func TestDropInPipeline(t *testing.T) {
	const (
		adds    = 100
		applied = 37
	)
	names := make([]string, 10)
	for j := range names {
		names[j] = fmt.Sprint("n", j)
	}
	held := func(s *standin.Server) (sum float64) {
		for _, name := range names {
			sum += total(t, s, name)
		}
		return sum
	}
	run := func(t *testing.T, s *standin.Server, instance *storetest.Instance) map[store.Certainty]int {
		t.Helper()
		instance.AddAndWait(t, "z", 0)
		delayNext(s, instance, "z")
		rule := once(fault.DropAfter)
		rule.After = applied - 1
		s.Fault(rule)
		for j := range adds {
			instance.Add(&store.Call{Name: names[j%len(names)], Amount: 1, TTL: time.Minute})
		}
		if a := instance.NextAnswer(t); a.Call.Name != "z" {
			t.Fatal(a.Call.Name)
		}
		count := map[store.Certainty]int{}
		for range adds {
			count[instance.NextAnswer(t).Result.Certainty]++
		}
		return count
	}
	t.Run("back", func(t *testing.T) {
		s := startServer(t, standin.Options{})
		instance := start(t, options(s.Addr()))
		count := run(t, s, instance)
		if held := held(s); count[store.Added] != adds || held != adds || stats(instance).AlreadyApplied == 0 {
			t.Fatalf("%v; the server holds %v, %d found to be applied", count, held, stats(instance).AlreadyApplied)
		}
	})
	t.Run("not back", func(t *testing.T) {
		s := startServer(t, standin.Options{})
		instance := start(t, options(s.Addr()))
		instance.AddAndWait(t, "z", 0) // connects
		s.NextConnections(func(net.Conn) bool { return false })
		count := run(t, s, instance)
		added, maybe := count[store.Added], count[store.Maybe]
		if added > applied || added+maybe+count[store.NotAdded] != adds || maybe == 0 {
			t.Fatalf("%v", count)
		}
		if held := held(s); held < float64(added) || held > float64(added+maybe) || held != applied {
			t.Fatalf("%v, yet the server holds %v", count, held)
		}
		s.NextConnections(nil)
		storetest.Eventually(t, "what may have been added to be", func() bool {
			return held(s) == float64(added+maybe)
		})
	})
}

// Replies that are not those of their calls: the connection is given up, and in the end each call counts once.
func TestUnreadableReplies(t *testing.T) {
	for name, rule := range map[string]fault.Rule{
		"repeated": once(fault.Repeat),
		"swapped":  once(fault.Swap),
		"cut":      once(fault.Cut),
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, standin.Options{})
			opt := options(s.Addr())
			opt.Timeout = 50 * time.Millisecond
			instance := start(t, opt)
			instance.AddAndWait(t, "a", 0)
			hold := once(fault.Delay)
			hold.By = 100 * time.Millisecond
			s.Fault(hold)
			s.Fault(rule)
			for range 11 {
				instance.Add(&store.Call{Name: "a", Amount: 1, TTL: time.Minute})
			}
			for j := range 11 {
				if a := instance.NextAnswer(t); a.Result.Certainty != store.Added || a.Result.Total < float64(j+1) {
					t.Fatalf("answer %d: %+v", j, a.Result)
				}
			}
			if r := instance.AddAndWait(t, "a", 0); r.Total != 11 || total(t, s, "a") != 11 {
				t.Fatalf("total %v, the server holds %v", r.Total, total(t, s, "a"))
			}
			if st := stats(instance); st.Connects < 2 {
				t.Errorf("%+v: the connection was kept", st)
			}
			instance.NoAnswer(t)
		})
	}
}

// A repeated error makes the next add look rejected: what was reported as not added is taken out again.
func TestRepeatedErrorIsMadeTrue(t *testing.T) {
	s := startServer(t, standin.Options{})
	opt := options(s.Addr())
	opt.Timeout = 50 * time.Millisecond
	instance := start(t, opt)
	instance.AddAndWait(t, "a", 0)
	hold := once(fault.Delay)
	hold.By = 100 * time.Millisecond
	s.Fault(hold)
	rule := once(fault.Repeat)
	s.Full(true)
	instance.Add(&store.Call{Name: "z", TTL: time.Minute})
	s.Fault(rule)
	for range 5 {
		instance.Add(&store.Call{Name: "a", Amount: 1, TTL: time.Minute})
	}
	storetest.Eventually(t, "the repeated error", func() bool { return adds(s) >= 3 })
	s.Full(false)
	want := 0.0
	for range 6 {
		if a := instance.NextAnswer(t); a.Result.Certainty != store.NotAdded {
			want += a.Call.Amount
		}
	}
	storetest.Eventually(t, "just what was not rejected", func() bool {
		return total(t, s, "a") == want && !hasPending(instance)
	})
}

func hasPending(instance *storetest.Instance) bool {
	for _, l := range instance.Counter.(*Counter).shards {
		if l.hasPending() {
			return true
		}
	}
	return false
}

// Whatever the server does, by a seeded script of faults: in the end it holds what was not rejected, each once.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			testRandomFaults(t, seed)
		})
	}
}

func testRandomFaults(t *testing.T, seed uint64) {
	t.Helper()
	const rounds = 25
	rng := rand.New(rand.NewPCG(seed, 3))
	s := startServer(t, standin.Options{Seed: seed})
	opt := options(s.Addr())
	opt.Timeout = 20 * time.Millisecond
	opt.ConnectTimeout = 100 * time.Millisecond
	x, y := start(t, opt), start(t, opt)
	want := map[string]float64{}
	for range rounds {
		randomFault(rng, s)
		randomAdds(t, rng, want, x, y)
	}
	s.Faults().Clear()
	s.Kick() // as a restart would
	for name := range want {
		storetest.Eventually(t, "the connections", func() bool {
			return x.AddAndWait(t, name, 0).Certainty == store.Added &&
				y.AddAndWait(t, name, 0).Certainty == store.Added
		})
	}
	storetest.Eventually(t, "just what was not rejected", func() bool {
		for name, sum := range want {
			if !storetest.ApproxEqual(total(t, s, name), sum) {
				return false
			}
		}
		return true
	})
	x.NoAnswer(t)
	y.NoAnswer(t)
}

// randomFault makes the server go wrong on some add, and sometimes at once.
func randomFault(rng *rand.Rand, s *standin.Server) {
	kinds := []fault.Kind{
		fault.Ignore, fault.Swallow, fault.DropBefore, fault.DropAfter, fault.Repeat, fault.Swap, fault.Cut,
		fault.Late, fault.Delay, fault.Fail,
	}
	s.Fault(fault.Rule{
		Kind:  kinds[rng.IntN(len(kinds))],
		On:    "EVALSHA",
		Times: 1,
		After: rng.IntN(20),
		By:    time.Duration(rng.IntN(60)) * time.Millisecond,
		Text:  outOfMemory,
	})
	switch rng.IntN(12) {
	case 0:
		s.Kick()
	case 1:
		s.Flush()
	case 2:
		s.ForgetScripts()
	case 3:
		s.Restart(10 * time.Millisecond)
	}
}

// randomAdds adds at each instance, and counts in want what was not rejected.
func randomAdds(t *testing.T, rng *rand.Rand, want map[string]float64, instances ...*storetest.Instance) {
	t.Helper()
	const each = 10
	for _, instance := range instances {
		for range each {
			name := fmt.Sprint("n", rng.IntN(3))
			instance.Add(&store.Call{Name: name, Amount: float64(rng.IntN(500)-100) / 100, TTL: time.Minute})
		}
	}
	for _, instance := range instances {
		for range each {
			if a := instance.NextAnswer(t); a.Result.Certainty != store.NotAdded {
				want[a.Call.Name] += a.Call.Amount
			}
		}
	}
}
