package redis

import (
	"fmt"
	"testing"
	"time"

	"hitchspring/internal/standin/fault"
	standin "hitchspring/internal/standin/redis"
	"hitchspring/internal/store"
	"hitchspring/internal/store/storetest"
)

// Guards against lost or doubled adds when the server rejects adds or does not reply for a while. After the server has
// recovered, the total must include every add that was not rejected.
func TestServerStates(t *testing.T) {
	failFor := func(text string) func(testing.TB, *standin.Server) {
		return func(_ testing.TB, s *standin.Server) {
			s.Fault(fault.Rule{Kind: fault.Fail, CallName: "EVALSHA", ActiveFor: 300 * time.Millisecond, Text: text})
		}
	}
	type change = func(testing.TB, *standin.Server)
	on := func(do func(*standin.Server)) change { return func(_ testing.TB, s *standin.Server) { do(s) } }
	for name, c := range map[string]struct {
		begin change
		end   change // nil: the state ends by itself
	}{
		"loading": {on(func(s *standin.Server) { s.SetLoading(400 * time.Millisecond) }), nil},
		"out of memory": {
			on(func(s *standin.Server) { s.SetOutOfMemory(true) }),
			on(func(s *standin.Server) { s.SetOutOfMemory(false) }),
		},
		"read only": {
			on(func(s *standin.Server) { s.SetReadOnly(true) }),
			on(func(s *standin.Server) { s.SetReadOnly(false) }),
		},
		"max clients": {
			on(func(s *standin.Server) {
				s.MaxClients(0)
				s.DisconnectAll()
			}),
			on(func(s *standin.Server) { s.MaxClients(10) }),
		},
		"silent": {
			on(func(s *standin.Server) { s.SetSilent(true) }),
			on(func(s *standin.Server) { s.SetSilent(false) }),
		},
		"stopped":      {on(func(s *standin.Server) { s.Stop() }), resumeListening},
		"empty":        {on(func(s *standin.Server) { s.Restart(200 * time.Millisecond) }), nil},
		"no scripts":   {on(func(s *standin.Server) { s.ForgetScripts() }), nil},
		"busy":         {failFor("BUSY Redis is busy running a script."), nil},
		"cluster down": {failFor("CLUSTERDOWN The cluster is down"), nil},
	} {
		t.Run(name, func(t *testing.T) { testState(t, c.begin, c.end) })
	}
}

func testState(t *testing.T, begin, end func(testing.TB, *standin.Server)) {
	t.Helper()
	s := startServer(t, standin.Options{})
	opt := testOptions(s.Addr())
	opt.Timeout = 50 * time.Millisecond
	opt.ConnectTimeout = 200 * time.Millisecond
	x, y := startCounter(t, opt), startCounter(t, opt)
	x.AddAndWait(t, "a", 5)
	y.AddAndWait(t, "a", 7)
	x.AddAndWait(t, "a", 0)
	begin(t, s)
	spent := 12.0
	for range 4 {
		if r := x.AddAndWait(t, "a", 1); r.Certainty != store.NotAdded {
			spent++
			if r.HasTotal && r.Total < spent-1e-9 {
				t.Fatalf("total %v is below the known %v", r.Total, spent)
			}
		}
	}
	if end != nil {
		end(t, s)
	}
	storetest.Eventually(t, "the server to recover", func() bool {
		return addAndCheckTotal(t, x, 0, spent).Certainty == store.Added
	})
	// y adds nothing more, but must rewrite its sum.
	storetest.Eventually(t, "the total to include all adds", func() bool {
		return storetest.ApproxEqual(total(t, s, "a"), spent)
	})
	if r := x.AddAndWait(t, "a", 0); !storetest.ApproxEqual(r.Total, spent) {
		t.Fatalf("total %v, want %v", r.Total, spent)
	}
}

// addAndCheckTotal adds to the name a. It fails the test if the total is less than what is known to be spent.
func addAndCheckTotal(t *testing.T, instance *storetest.Instance, amount, spent float64) store.Result {
	t.Helper()
	result := instance.AddAndWait(t, "a", amount)
	if result.HasTotal && result.Total < spent-1e-9 {
		t.Fatalf("total %v is below the known %v", result.Total, spent)
	}
	return result
}

// A failover loses the writes of the last half second. Both instances must rewrite their sums, and until then no total
// may be less than what is known to be spent.
func TestFailoverLosesWrites(t *testing.T) {
	for _, split := range []bool{false, true} {
		for _, by := range []string{"sentinel", "move"} {
			t.Run(fmt.Sprint(by, " split ", split), func(t *testing.T) { testFailover(t, split, by == "sentinel") })
		}
	}
}

func testFailover(t *testing.T, split, bySentinel bool) {
	t.Helper()
	const spent = 33.0
	primary := startServer(t, standin.Options{})
	group := primary.Group()
	replica, err := group.AddReplica(standin.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(replica.Close)
	opt := testOptions(primary.Addr())
	opt.Timeout = 100 * time.Millisecond
	if bySentinel {
		sentinel, name, err := group.AddSentinel(standin.Options{})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(sentinel.Close)
		opt.Address = ""
		opt.Sentinels = []string{"127.0.0.1:1", sentinel.Addr()}
		opt.Master = name
	}
	x, y := startCounter(t, opt), startCounter(t, opt)
	x.AddAndWait(t, "a", 1)
	y.AddAndWait(t, "a", 2)
	group.SetLag(500 * time.Millisecond)
	x.AddAndWait(t, "a", 10)
	y.AddAndWait(t, "a", 20)
	requireTotal(t, x, 0, spent)
	if lost := group.Failover(replica, split); lost == 0 {
		t.Fatal("the failover lost no writes")
	}
	if bySentinel {
		primary.DisconnectAll()
	} else {
		x.SetAddress(replica.Addr())
		y.SetAddress(replica.Addr())
	}
	storetest.Eventually(t, "an add on the new primary", func() bool {
		result := x.AddAndWait(t, "a", 0)
		if result.HasTotal && result.Total < spent {
			t.Fatalf("total %v is below the known %v", result.Total, spent)
		}
		return result.HasTotal && total(t, replica, "a") > 0
	})
	storetest.Eventually(t, "the new primary to hold all adds", func() bool { return total(t, replica, "a") == spent })
}

// A failover behind a proxy closes no connection. The lost writes must be detected by the next reply.
func TestSilentRollback(t *testing.T) {
	s := startServer(t, standin.Options{})
	x, y := startCounter(t, testOptions(s.Addr())), startCounter(t, testOptions(s.Addr()))
	x.AddAndWait(t, "a", 1)
	y.AddAndWait(t, "a", 20)
	if r := x.AddAndWait(t, "a", 1); r.Total != 22 {
		t.Fatal(r.Total)
	}
	s.Flush()
	if r := x.AddAndWait(t, "a", 1); r.Total != 23 {
		t.Fatalf("total %v, want 23 with the known 20 of the other instance", r.Total)
	}
	if st := stats(x); st.Lost != 1 {
		t.Fatalf("%+v", st)
	}
	y.AddAndWait(t, "a", 5)
	if r := x.AddAndWait(t, "a", 0); r.Total != 28 || total(t, s, "a") != 28 {
		t.Fatalf("total %v, the server holds %v", r.Total, total(t, s, "a"))
	}
}

// A cluster node that does not own a shard's slot redirects to the owner by a MOVED error, which the shard must follow.
func TestCluster(t *testing.T) {
	const (
		shards = 8
		names  = 50
	)
	cluster, err := standin.StartCluster(standin.Options{}, 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	servers := cluster.Shards()
	opt := testOptions(servers[0].Addr())
	opt.Shards = shards
	instance := startCounter(t, opt)
	stored := func() (sum float64) {
		for field := range shards * names {
			key := fmt.Sprintf("%s:{%d}:n%d", keyNamespace, field/names, field%names)
			for _, s := range servers {
				text, _ := s.HashField(0, key, "t")
				sum += units(t, text)
			}
		}
		return sum
	}
	want := 0.0
	add := func() {
		for j := range names {
			instance.Add(&store.Call{Name: fmt.Sprint("n", j), Amount: 1, TTL: time.Minute})
		}
		for range names {
			if instance.NextAnswer(t).Result.Certainty != store.NotAdded {
				want++
			}
		}
	}
	add()
	storetest.Eventually(t, "both nodes to hold all adds", func() bool {
		add()
		return stored() == want && appliedAdds(servers[0]) > 0 && appliedAdds(servers[1]) > 0
	})
}
