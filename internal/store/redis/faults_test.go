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

// outOfMemory is the error reply of a Redis server that has reached maxmemory.
const outOfMemory = "OOM command not allowed when used memory > 'maxmemory'."

// faultOnce returns a rule that applies a fault to the next add only.
func faultOnce(kind fault.Kind) fault.Rule {
	return fault.Rule{Kind: kind, CallName: "EVALSHA", MaxHits: 1}
}

// An add without a reply is resent. It must count once, whether the first copy was applied, was not applied or is
// applied only after the retry.
func TestTimedOutAddCountsOnce(t *testing.T) {
	late := faultOnce(fault.Late)
	late.DelayTime = 600 * time.Millisecond
	for name, c := range map[string]struct {
		rule           fault.Rule
		alreadyApplied bool
	}{
		"applied":       {faultOnce(fault.Swallow), true},
		"not applied":   {faultOnce(fault.Ignore), false},
		"applied later": {late, false},
		"reset after":   {faultOnce(fault.DropAfter), true},
		"reset before":  {faultOnce(fault.DropBefore), false},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, standin.Options{})
			opt := testOptions(s.Addr())
			opt.Timeout = 50 * time.Millisecond
			instance := startCounter(t, opt)
			instance.AddAndWait(t, "a", 10)
			s.Fault(c.rule)
			call := &store.Call{Name: "a", Amount: 1, TTL: time.Minute}
			instance.Add(call)
			got := instance.NextAnswer(t) // resent on a new connection
			if got.Call != call || got.Result != (store.Result{Certainty: store.Added, HasTotal: true, Total: 11}) {
				t.Fatalf("%+v", got.Result)
			}
			if got := stats(instance).AlreadyApplied == 1; got != c.alreadyApplied {
				t.Errorf("reported as already applied: got %v, want %v", got, c.alreadyApplied)
			}
			requireTotal(t, instance, 5, 16)
			if c.rule.Kind == fault.Late { // applied after a newer sum, which it must not overwrite
				awaitLateAdd(t, s)
			}
			if got := total(t, s, "a"); got != 16 {
				t.Fatalf("the server holds %v, want 16", got)
			}
			requireTotal(t, instance, 0, 16)
		})
	}
}

// requireTotal adds to the name a, and fails the test unless the total is as wanted.
func requireTotal(t *testing.T, instance *storetest.Instance, amount, want float64) {
	t.Helper()
	if got := instance.AddAndWait(t, "a", amount); got.Total != want {
		t.Fatalf("got %+v, want total %v", got, want)
	}
}

// awaitLateAdd waits until the server has applied an add that it had delayed.
func awaitLateAdd(t *testing.T, s *standin.Server) {
	t.Helper()
	isLate := func(r standin.Record) bool { return r.Fault == fault.Late && r.Applied }
	storetest.Eventually(t, "the late add", func() bool { return slices.ContainsFunc(s.Records(), isLate) })
}

// addDelayed sends an add whose reply the server delays, so that further calls become pending behind it.
func addDelayed(s *standin.Server, instance *storetest.Instance, name string) {
	delay := faultOnce(fault.Delay)
	delay.DelayTime = 100 * time.Millisecond
	s.Fault(delay)
	instance.Add(&store.Call{Name: name, TTL: time.Minute})
}

// An add that its caller has stopped waiting for counts as added. It must be resent without a further add, even after
// an error reply, and count once.
func TestAssumedAddIsSentAgain(t *testing.T) {
	for _, kind := range []fault.Kind{fault.Ignore, fault.Swallow, fault.Fail} {
		s := startServer(t, standin.Options{})
		opt := testOptions(s.Addr())
		opt.Timeout = 50 * time.Millisecond
		instance := startCounter(t, opt)
		instance.AddAndWait(t, "a", 10)
		addDelayed(s, instance, "a")
		rule := faultOnce(kind)
		rule.Text = outOfMemory
		s.Fault(rule)
		call := &store.Call{Name: "a", Amount: 1, TTL: time.Minute}
		instance.Add(call)
		storetest.Eventually(t, "the call to be claimed", func() bool { return !call.IsQueued() })
		if !call.AssumeAdded() {
			t.Fatal("the store has already rejected the call")
		}
		storetest.Eventually(t, string(kind)+": unit in the total", func() bool { return total(t, s, "a") == 11 })
		if r := instance.AddAndSkipEarlier(t, "a", 0); r.Total != 11 {
			t.Fatalf("%s: total %v", kind, r.Total)
		}
	}
}

// The server closes the connection after it has applied 37 of 100 pipelined adds. If a new connection can be opened,
// all adds must be added once. Otherwise the adds with a reply are reported as added, those that may have been applied
// as maybe, and the remaining ones as not added.
func TestDropInPipeline(t *testing.T) {
	const (
		adds    = 100
		applied = 37
	)
	names := make([]string, 10)
	for j := range names {
		names[j] = fmt.Sprint("n", j)
	}
	stored := func(s *standin.Server) (sum float64) {
		for _, name := range names {
			sum += total(t, s, name)
		}
		return sum
	}
	run := func(t *testing.T, s *standin.Server, instance *storetest.Instance) map[store.Certainty]int {
		t.Helper()
		instance.AddAndWait(t, "z", 0)
		addDelayed(s, instance, "z")
		rule := faultOnce(fault.DropAfter)
		rule.SkipFirst = applied - 1
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
		instance := startCounter(t, testOptions(s.Addr()))
		count := run(t, s, instance)
		if stored := stored(s); count[store.Added] != adds || stored != adds || stats(instance).AlreadyApplied == 0 {
			t.Fatalf("%v; the server holds %v, %d were already applied", count, stored, stats(instance).AlreadyApplied)
		}
	})
	t.Run("not back", func(t *testing.T) {
		s := startServer(t, standin.Options{})
		instance := startCounter(t, testOptions(s.Addr()))
		instance.AddAndWait(t, "z", 0) // connects
		s.SetAcceptFilter(func(net.Conn) bool { return false })
		count := run(t, s, instance)
		added, maybe := count[store.Added], count[store.Maybe]
		if added > applied || added+maybe+count[store.NotAdded] != adds || maybe == 0 {
			t.Fatalf("%v", count)
		}
		if stored := stored(s); stored < float64(added) || stored > float64(added+maybe) || stored != applied {
			t.Fatalf("%v, but the server holds %v", count, stored)
		}
		s.SetAcceptFilter(nil)
		storetest.Eventually(t, "the adds reported as maybe to be added", func() bool {
			return stored(s) == float64(added+maybe)
		})
	})
}

// Replies that do not match their calls must close the connection, and each call must count once in the end.
func TestUnreadableReplies(t *testing.T) {
	for name, rule := range map[string]fault.Rule{
		"repeated": faultOnce(fault.Repeat),
		"swapped":  faultOnce(fault.Swap),
		"cut":      faultOnce(fault.Cut),
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, standin.Options{})
			opt := testOptions(s.Addr())
			opt.Timeout = 50 * time.Millisecond
			instance := startCounter(t, opt)
			instance.AddAndWait(t, "a", 0)
			delay := faultOnce(fault.Delay)
			delay.DelayTime = 100 * time.Millisecond
			s.Fault(delay)
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
				t.Errorf("%+v: the connection was not replaced", st)
			}
			instance.RequireNoAnswer(t)
		})
	}
}

// The server repeats an error reply, so that the reply appears to reject the next add as well. The amount of an add
// that was reported as not added must be removed from the total again.
func TestRepeatedErrorReplyIsCorrected(t *testing.T) {
	s := startServer(t, standin.Options{})
	opt := testOptions(s.Addr())
	opt.Timeout = 50 * time.Millisecond
	instance := startCounter(t, opt)
	instance.AddAndWait(t, "a", 0)
	delay := faultOnce(fault.Delay)
	delay.DelayTime = 100 * time.Millisecond
	s.Fault(delay)
	rule := faultOnce(fault.Repeat)
	s.SetOutOfMemory(true)
	instance.Add(&store.Call{Name: "z", TTL: time.Minute})
	s.Fault(rule)
	for range 5 {
		instance.Add(&store.Call{Name: "a", Amount: 1, TTL: time.Minute})
	}
	storetest.Eventually(t, "the add with the repeated error", func() bool { return appliedAdds(s) >= 3 })
	s.SetOutOfMemory(false)
	want := 0.0
	for range 6 {
		if a := instance.NextAnswer(t); a.Result.Certainty != store.NotAdded {
			want += a.Call.Amount
		}
	}
	storetest.Eventually(t, "the total to equal the adds that were not rejected", func() bool {
		return total(t, s, "a") == want && !hasPending(instance)
	})
}

func hasPending(instance *storetest.Instance) bool {
	for _, s := range instance.Counter.(*Counter).shards {
		if s.hasPending() {
			return true
		}
	}
	return false
}

// Injects random faults by seed. In the end the server must hold each add that was not rejected exactly once.
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
	opt := testOptions(s.Addr())
	opt.Timeout = 20 * time.Millisecond
	opt.ConnectTimeout = 100 * time.Millisecond
	x, y := startCounter(t, opt), startCounter(t, opt)
	want := map[string]float64{}
	for range rounds {
		randomFault(rng, s)
		randomAdds(t, rng, want, x, y)
	}
	s.Faults().Clear()
	s.DisconnectAll() // closes all connections, as a restart would
	for name := range want {
		storetest.Eventually(t, "both instances to reconnect", func() bool {
			return x.AddAndWait(t, name, 0).Certainty == store.Added &&
				y.AddAndWait(t, name, 0).Certainty == store.Added
		})
	}
	storetest.Eventually(t, "the total to equal the adds that were not rejected", func() bool {
		for name, sum := range want {
			if !storetest.ApproxEqual(total(t, s, name), sum) {
				return false
			}
		}
		return true
	})
	x.RequireNoAnswer(t)
	y.RequireNoAnswer(t)
}

// randomFault schedules a random fault for one of the next 20 adds. One time in three it also closes the connections,
// drops data or scripts, or restarts the server at once.
func randomFault(rng *rand.Rand, s *standin.Server) {
	kinds := []fault.Kind{
		fault.Ignore, fault.Swallow, fault.DropBefore, fault.DropAfter, fault.Repeat, fault.Swap, fault.Cut,
		fault.Late, fault.Delay, fault.Fail,
	}
	s.Fault(fault.Rule{
		Kind:      kinds[rng.IntN(len(kinds))],
		CallName:  "EVALSHA",
		MaxHits:   1,
		SkipFirst: rng.IntN(20),
		DelayTime: time.Duration(rng.IntN(60)) * time.Millisecond,
		Text:      outOfMemory,
	})
	switch rng.IntN(12) {
	case 0:
		s.DisconnectAll()
	case 1:
		s.Flush()
	case 2:
		s.ForgetScripts()
	case 3:
		s.Restart(10 * time.Millisecond)
	}
}

// randomAdds sends random adds from each instance, and adds the amounts that were not rejected to want.
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
