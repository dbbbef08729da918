package redis

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"hitchspring/internal/standin/fault"
	standin "hitchspring/internal/standin/redis"
	"hitchspring/internal/store"
	"hitchspring/internal/store/storetest"
)

const prefix = "t"

func startServer(t testing.TB, opt standin.Options) *standin.Server {
	t.Helper()
	s, err := standin.Start(opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func options(addr string) Options {
	return Options{Address: addr, Prefix: prefix, ConnectTimeout: 2 * time.Second, Timeout: 2 * time.Second}
}

func maker(t testing.TB, opt Options) func(store.Sink) store.Counter {
	return func(sink store.Sink) store.Counter {
		c, err := New(opt, storetest.DiscardLogger, sink)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
}

func start(t testing.TB, opt Options) *storetest.Instance { return storetest.Start(t, maker(t, opt)) }

func stats(i *storetest.Instance) Stats { return i.Counter.(*Counter).Stats() }

// total is what the server holds for a name, as its own commands tell it.
func total(s *standin.Server, name string) float64 {
	v, _ := s.HashField(0, prefix+":{0}:"+name, "t")
	var n float64
	fmt.Sscan(v, &n)
	return n / 1e6
}

func TestConformance(t *testing.T) {
	storetest.Run(t, func(t *testing.T) storetest.Server {
		s := startServer(t, standin.Options{})
		return storetest.Server{
			Addr: s.Addr(), Total: func(n string) float64 { return total(s, n) }, Stop: s.Stop,
			Listen: func() { s.Listen() }, New: maker(t, options(s.Addr())),
		}
	})
}

// adds is how often the server has run the script, by its own record.
func adds(s *standin.Server) (n int) {
	for _, r := range s.Records() {
		if r.Applied && strings.HasPrefix(r.Args[0], "EVAL") {
			n++
		}
	}
	return n
}

func on(kind fault.Kind, times int) fault.Rule {
	return fault.Rule{Kind: kind, On: "EVALSHA", Times: times}
}

// An add whose answer does not come is told again; whether it had landed, had not, or lands after the retry, it counts
// once.
func TestTimedOutAddCountsOnce(t *testing.T) {
	late := on(fault.Late, 1)
	late.By = 600 * time.Millisecond
	for name, rule := range map[string]fault.Rule{
		"landed": on(fault.Swallow, 1), "not landed": on(fault.Ignore, 1), "lands later": late,
		"reset after": on(fault.DropAfter, 1), "reset before": on(fault.DropBefore, 1),
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, standin.Options{})
			opt := options(s.Addr())
			opt.Timeout = 50 * time.Millisecond
			i := start(t, opt)
			i.AddAndWait(t, "a", 10)
			s.Fault(rule)
			k := &store.Call{Name: "a", Amount: 1, TTL: time.Minute}
			i.Add(k)
			got := i.NextAnswer(t) // told again on a new connection, it is found
			if got.Call != k || got.Result != (store.Result{Certainty: store.Added, Seen: true, Total: 11}) {
				t.Fatalf("%+v", got.Result)
			}
			landed := stats(i).AlreadyApplied == 1
			if want := name == "landed" || name == "reset after"; landed != want {
				t.Errorf("found landed: %v, want %v", landed, want)
			}
			if r := i.AddAndWait(t, "a", 5); r.Total != 16 {
				t.Fatalf("the next: %+v", r)
			}
			if name == "lands later" { // behind a newer figure, which it must not undo
				storetest.Eventually(t, "the late landing", func() bool {
					return slices.ContainsFunc(s.Records(), func(r standin.Record) bool { return r.Fault == fault.Late && r.Applied })
				})
			}
			if held := total(s, "a"); held != 16 {
				t.Fatalf("the server holds %v, want 16", held)
			}
			if r := i.AddAndWait(t, "a", 0); r.Total != 16 {
				t.Fatalf("total %v, want 16", r.Total)
			}
		})
	}
}

// The same where nobody waits for the answer any more: the unit is in the total in the end, once, without another add.
func TestLapsedAddIsToldInTime(t *testing.T) {
	for _, kind := range []fault.Kind{fault.Ignore, fault.Swallow, fault.Fail} {
		s := startServer(t, standin.Options{})
		opt := options(s.Addr())
		opt.Timeout = 50 * time.Millisecond
		i := start(t, opt)
		i.AddAndWait(t, "a", 10)
		hold := on(fault.Delay, 1)
		hold.By = 100 * time.Millisecond
		s.Fault(hold)
		i.Add(&store.Call{Name: "a", TTL: time.Minute})
		rule := on(kind, 1)
		rule.Text = "OOM command not allowed when used memory > 'maxmemory'."
		s.Fault(rule)
		k := &store.Call{Name: "a", Amount: 1, TTL: time.Minute}
		i.Add(k)
		storetest.Eventually(t, "the call to be taken", func() bool { return !k.IsQueued() })
		if !k.Lapse() {
			t.Fatal("the store has refused it already")
		}
		storetest.Eventually(t, string(kind)+": the unit in the total", func() bool { return total(s, "a") == 11 })
		if r := i.AddAndSkipEarlier(t, "a", 0); r.Total != 11 {
			t.Fatalf("%s: total %v", kind, r.Total)
		}
	}
}

// The connection drops in a pipeline of 100 after the 37th took effect. Where the server is back, all are added, and 37
// were found to be; where it is not, each is what it is: answered ones added, the others maybe, later ones surely not.
func TestDropInPipeline(t *testing.T) {
	for _, back := range []bool{true, false} {
		t.Run(fmt.Sprint("back ", back), func(t *testing.T) {
			s := startServer(t, standin.Options{})
			i := start(t, options(s.Addr()))
			i.AddAndWait(t, "z", 0)
			rule := on(fault.DropAfter, 1)
			rule.After = 36
			hold := on(fault.Delay, 1) // so that all hundred are on their way
			hold.By = 100 * time.Millisecond
			s.Fault(hold)
			i.Add(&store.Call{Name: "z", TTL: time.Minute})
			s.Fault(rule)
			if !back {
				s.NextConnections(func(net.Conn) bool { return false })
			}
			for j := range 100 {
				i.Add(&store.Call{Name: fmt.Sprint("n", j%10), Amount: 1, TTL: time.Minute})
			}
			if a := i.NextAnswer(t); a.Call.Name != "z" {
				t.Fatal(a.Call.Name)
			}
			count := map[store.Certainty]int{}
			for range 100 {
				count[i.NextAnswer(t).Result.Certainty]++
			}
			held := 0.0
			for j := range 10 {
				held += total(s, fmt.Sprint("n", j))
			}
			if back && (count[store.Added] != 100 || held != 100 || stats(i).AlreadyApplied == 0) {
				t.Fatalf("%v; the server holds %v, %d found landed", count, held, stats(i).AlreadyApplied)
			}
			if !back {
				if count[store.Added] > 37 || count[store.Added]+count[store.Maybe]+count[store.NotAdded] != 100 || count[store.Maybe] == 0 {
					t.Fatalf("%v", count)
				}
				if held < float64(count[store.Added]) || held > float64(count[store.Added]+count[store.Maybe]) || held != 37 {
					t.Fatalf("%v, yet the server holds %v", count, held)
				}
				s.NextConnections(nil)
				storetest.Eventually(t, "what may have been added to be", func() bool {
					held = 0
					for j := range 10 {
						held += total(s, fmt.Sprint("n", j))
					}
					return held == float64(count[store.Added]+count[store.Maybe])
				})
			}
		})
	}
}

// Answers that are not those of their calls: the connection is given up, and in the end each call counts once.
func TestSpoiltAnswers(t *testing.T) {
	for name, rule := range map[string]fault.Rule{"repeated": on(fault.Repeat, 1), "swapped": on(fault.Swap, 1), "cut": on(fault.Cut, 1)} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, standin.Options{})
			opt := options(s.Addr())
			opt.Timeout = 50 * time.Millisecond
			i := start(t, opt)
			i.AddAndWait(t, "a", 0)
			hold := on(fault.Delay, 1)
			hold.By = 100 * time.Millisecond
			s.Fault(hold)
			s.Fault(rule)
			for range 11 {
				i.Add(&store.Call{Name: "a", Amount: 1, TTL: time.Minute})
			}
			for j := range 11 {
				if a := i.NextAnswer(t); a.Result.Certainty != store.Added || a.Result.Total < float64(j+1) {
					t.Fatalf("answer %d: %+v", j, a.Result)
				}
			}
			if r := i.AddAndWait(t, "a", 0); r.Total != 11 || total(s, "a") != 11 {
				t.Fatalf("total %v, the server holds %v", r.Total, total(s, "a"))
			}
			if st := stats(i); st.Connects < 2 {
				t.Errorf("%+v: the connection was kept", st)
			}
			i.NoAnswer(t)
		})
	}
}

// A repeated error would make the next add look refused: what was said to be not added is taken out again.
func TestRepeatedErrorIsMadeTrue(t *testing.T) {
	s := startServer(t, standin.Options{})
	opt := options(s.Addr())
	opt.Timeout = 50 * time.Millisecond
	i := start(t, opt)
	i.AddAndWait(t, "a", 0)
	hold := on(fault.Delay, 1)
	hold.By = 100 * time.Millisecond
	s.Fault(hold)
	rule := on(fault.Repeat, 1)
	s.Full(true)
	i.Add(&store.Call{Name: "z", TTL: time.Minute})
	s.Fault(rule)
	for range 5 {
		i.Add(&store.Call{Name: "a", Amount: 1, TTL: time.Minute})
	}
	storetest.Eventually(t, "the repeated error", func() bool { return adds(s) >= 3 })
	s.Full(false)
	want := 0.0
	for range 6 {
		if a := i.NextAnswer(t); a.Result.Certainty != store.NotAdded {
			want += a.Call.Amount
		}
	}
	storetest.Eventually(t, "just what was not refused", func() bool { return total(s, "a") == want && !anyDirty(i) })
}

func anyDirty(i *storetest.Instance) bool {
	for _, l := range i.Counter.(*Counter).shards {
		if l.hasPending() {
			return true
		}
	}
	return false
}

// In each of these states adds are refused or unanswered for a while, and then all is as if it had not been.
func TestStates(t *testing.T) {
	for name, c := range map[string]struct {
		begin, end func(*standin.Server)
		lost       bool
	}{
		"loading":     {func(s *standin.Server) { s.Load(400 * time.Millisecond) }, func(*standin.Server) {}, false},
		"out of room": {func(s *standin.Server) { s.Full(true) }, func(s *standin.Server) { s.Full(false) }, false},
		"read only":   {func(s *standin.Server) { s.ReadOnly(true) }, func(s *standin.Server) { s.ReadOnly(false) }, false},
		"max clients": {func(s *standin.Server) { s.MaxClients(0); s.Kick() }, func(s *standin.Server) { s.MaxClients(10) }, false},
		"silent":      {func(s *standin.Server) { s.Silent(true) }, func(s *standin.Server) { s.Silent(false) }, false},
		"stopped":     {func(s *standin.Server) { s.Stop() }, func(s *standin.Server) { s.Listen() }, false},
		"empty":       {func(s *standin.Server) { s.Restart(200 * time.Millisecond) }, func(*standin.Server) {}, true},
		"no scripts":  {func(s *standin.Server) { s.ForgetScripts() }, func(*standin.Server) {}, false},
		"busy": {func(s *standin.Server) {
			s.Fault(fault.Rule{Kind: fault.Fail, On: "EVALSHA", For: 300 * time.Millisecond, Text: "BUSY Redis is busy running a script."})
		}, func(*standin.Server) {}, false},
		"cluster down": {func(s *standin.Server) {
			s.Fault(fault.Rule{Kind: fault.Fail, On: "EVALSHA", For: 300 * time.Millisecond, Text: "CLUSTERDOWN The cluster is down"})
		}, func(*standin.Server) {}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, standin.Options{})
			opt := options(s.Addr())
			opt.Timeout, opt.ConnectTimeout = 50*time.Millisecond, 200*time.Millisecond
			x, y := start(t, opt), start(t, opt)
			x.AddAndWait(t, "a", 5)
			y.AddAndWait(t, "a", 7)
			x.AddAndWait(t, "a", 0)
			c.begin(s)
			counted := 12.0
			for range 4 {
				if r := x.AddAndWait(t, "a", 1); r.Certainty != store.NotAdded {
					counted++
					if r.Seen && r.Total < counted-1e-9 {
						t.Fatalf("total %v, %v are known to be spent", r.Total, counted)
					}
				}
			}
			c.end(s)
			storetest.Eventually(t, "the way back", func() bool {
				r := x.AddAndWait(t, "a", 0)
				if r.Seen && r.Total < counted-1e-9 {
					t.Fatalf("total %v, %v are known to be spent", r.Total, counted)
				}
				return r.Certainty == store.Added
			})
			// y says nothing new, but tells what it had told.
			storetest.Eventually(t, "all in the total", func() bool { return storetest.ApproxEqual(total(s, "a"), counted) })
			if r := x.AddAndWait(t, "a", 0); !storetest.ApproxEqual(r.Total, counted) {
				t.Fatalf("total %v, want %v", r.Total, counted)
			}
		})
	}
}

// A failover loses the writes of the last half second; both instances tell theirs again, and until then no total shows
// less than was known.
func TestFailoverLosesWrites(t *testing.T) {
	for _, split := range []bool{false, true} {
		for _, by := range []string{"sentinel", "move"} {
			t.Run(fmt.Sprint(by, " split ", split), func(t *testing.T) {
				a := startServer(t, standin.Options{})
				g := a.Group()
				b, err := g.AddReplica(standin.Options{})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(b.Close)
				opt := options(a.Addr())
				opt.Timeout = 100 * time.Millisecond
				if by == "sentinel" {
					sen, name, err := g.AddSentinel(standin.Options{})
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(sen.Close)
					opt.Address, opt.Sentinels, opt.Master = "", []string{"127.0.0.1:1", sen.Addr()}, name
				}
				x, y := start(t, opt), start(t, opt)
				x.AddAndWait(t, "a", 1)
				y.AddAndWait(t, "a", 2)
				g.SetLag(500 * time.Millisecond)
				x.AddAndWait(t, "a", 10)
				y.AddAndWait(t, "a", 20)
				if r := x.AddAndWait(t, "a", 0); r.Total != 33 {
					t.Fatal(r.Total)
				}
				if lost := g.Failover(b, split); lost == 0 {
					t.Fatal("nothing was lost")
				}
				if by == "move" {
					x.SetAddress(b.Addr())
					y.SetAddress(b.Addr())
				} else {
					a.Kick()
				}
				storetest.Eventually(t, "the new primary", func() bool {
					r := x.AddAndWait(t, "a", 0)
					if r.Seen && r.Total < 33 {
						t.Fatalf("total %v, 33 are known to be spent", r.Total)
					}
					return r.Seen && total(b, "a") > 0
				})
				storetest.Eventually(t, "all on the new primary", func() bool { return total(b, "a") == 33 })
			})
		}
	}
}

// A failover behind a proxy breaks no connection: the lost writes show in the next answer.
func TestSilentRollback(t *testing.T) {
	s := startServer(t, standin.Options{})
	x, y := start(t, options(s.Addr())), start(t, options(s.Addr()))
	x.AddAndWait(t, "a", 1)
	y.AddAndWait(t, "a", 20)
	if r := x.AddAndWait(t, "a", 1); r.Total != 22 {
		t.Fatal(r.Total)
	}
	s.Flush()
	if r := x.AddAndWait(t, "a", 1); r.Total != 23 {
		t.Fatalf("total %v, want 23: the others' 20 are known", r.Total)
	}
	if st := stats(x); st.Lost != 1 {
		t.Fatalf("%+v", st)
	}
	y.AddAndWait(t, "a", 5)
	if r := x.AddAndWait(t, "a", 0); r.Total != 28 || total(s, "a") != 28 {
		t.Fatalf("total %v, the server holds %v", r.Total, total(s, "a"))
	}
}

// Redis wants a password and TLS; both are read anew for each connection, and neither is ever logged.
func TestSecrets(t *testing.T) {
	cert, pool := testCertificate(t)
	s := startServer(t, standin.Options{
		User: "ingress", Password: "s3cret",
		Wrap: func(ln net.Listener) net.Listener {
			return tls.NewListener(ln, &tls.Config{Certificates: []tls.Certificate{cert}})
		},
	})
	var log strings.Builder
	opt := options(s.Addr())
	opt.Username = "ingress"
	password := "wrong-one"
	opt.Password = func() (string, error) { return password, nil }
	opt.TLS = func() (*tls.Config, error) { return &tls.Config{RootCAs: pool}, nil }
	i := storetest.Start(t, func(sink store.Sink) store.Counter {
		c, err := New(opt, logTo(&log), sink)
		if err != nil {
			t.Fatal(err)
		}
		return c
	})
	if r := i.AddAndWait(t, "a", 1); r.Certainty != store.NotAdded {
		t.Fatalf("with a wrong password: %+v", r)
	}
	password = "s3cret"
	storetest.Eventually(t, "the right password", func() bool { return i.AddAndWait(t, "a", 1).Certainty == store.Added })
	if text := log.String(); !strings.Contains(text, "WRONGPASS") || strings.Contains(text, "s3cret") || strings.Contains(text, "wrong-one") {
		t.Fatal(text)
	}
}

// A certificate of nobody we know is refused.
func TestWrongCertificate(t *testing.T) {
	cert, _ := testCertificate(t)
	_, other := testCertificate(t)
	s := startServer(t, standin.Options{Wrap: func(ln net.Listener) net.Listener {
		return tls.NewListener(ln, &tls.Config{Certificates: []tls.Certificate{cert}})
	}})
	opt := options(s.Addr())
	opt.TLS = func() (*tls.Config, error) { return &tls.Config{RootCAs: other}, nil }
	i := start(t, opt)
	if r := i.AddAndWait(t, "a", 1); r.Certainty != store.NotAdded || adds(s) != 0 {
		t.Fatalf("%+v", r)
	}
}

// A shard of a cluster that does not hold a lane's slot names the one that does.
func TestCluster(t *testing.T) {
	c, err := standin.StartCluster(standin.Options{}, 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	opt := options(c.Shards()[0].Addr())
	opt.Shards = 8
	i := start(t, opt)
	sum := func() (n float64) {
		for _, s := range c.Shards() {
			for lane := range 8 {
				for j := range 50 {
					v, _ := s.HashField(0, fmt.Sprintf("%s:{%d}:n%d", prefix, lane, j), "t")
					var f float64
					fmt.Sscan(v, &f)
					n += f / 1e6
				}
			}
		}
		return n
	}
	want := 0.0
	add := func() {
		for j := range 50 {
			i.Add(&store.Call{Name: fmt.Sprint("n", j), Amount: 1, TTL: time.Minute})
		}
		for range 50 {
			if i.NextAnswer(t).Result.Certainty != store.NotAdded {
				want++
			}
		}
	}
	add()
	storetest.Eventually(t, "both shards", func() bool {
		add()
		return sum() == want && adds(c.Shards()[0]) > 0 && adds(c.Shards()[1]) > 0
	})
}

// Whatever the server does, by a seeded script of faults: in the end it holds what was not refused, each once.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 3))
			s := startServer(t, standin.Options{Seed: seed})
			opt := options(s.Addr())
			opt.Timeout, opt.ConnectTimeout = 20*time.Millisecond, 100*time.Millisecond
			x, y := start(t, opt), start(t, opt)
			kinds := []fault.Kind{fault.Ignore, fault.Swallow, fault.DropBefore, fault.DropAfter, fault.Repeat, fault.Swap, fault.Cut, fault.Late, fault.Delay, fault.Fail}
			want := map[string]float64{}
			for range 25 {
				r := fault.Rule{
					Kind: kinds[rng.IntN(len(kinds))], On: "EVALSHA", Times: 1, After: rng.IntN(20), By: time.Duration(rng.IntN(60)) * time.Millisecond,
					Text: "OOM command not allowed when used memory > 'maxmemory'.",
				}
				s.Fault(r)
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
				for _, i := range []*storetest.Instance{x, y} {
					for range 10 {
						i.Add(&store.Call{Name: fmt.Sprint("n", rng.IntN(3)), Amount: float64(rng.IntN(500)-100) / 100, TTL: time.Minute})
					}
				}
				for _, i := range []*storetest.Instance{x, y} {
					for range 10 {
						if a := i.NextAnswer(t); a.Result.Certainty != store.NotAdded {
							want[a.Call.Name] += a.Call.Amount
						}
					}
				}
			}
			s.Faults().Clear()
			s.Kick() // as a restart would
			for n := range want {
				storetest.Eventually(t, "the connections", func() bool {
					return x.AddAndWait(t, n, 0).Certainty == store.Added && y.AddAndWait(t, n, 0).Certainty == store.Added
				})
			}
			storetest.Eventually(t, "just what was not refused", func() bool {
				for n, w := range want {
					if !storetest.ApproxEqual(total(s, n), w) {
						return false
					}
				}
				return true
			})
			x.NoAnswer(t)
			y.NoAnswer(t)
		})
	}
}

func TestOptions(t *testing.T) {
	for want, opt := range map[string]Options{
		"address":  {},
		"master":   {Sentinels: []string{"127.0.0.1:1"}},
		"lanes":    {Address: "127.0.0.1:1", Shards: 65},
		"database": {Address: "127.0.0.1:1", Database: -1},
	} {
		if _, err := New(opt, storetest.DiscardLogger, nil); err == nil || !strings.Contains(err.Error(), want+":") {
			t.Errorf("%+v: %v", opt, err)
		}
	}
}

// The end comes at once, whatever is out.
func TestEndsAtOnce(t *testing.T) {
	s := startServer(t, standin.Options{})
	s.Silent(true)
	c, err := New(options(s.Addr()), storetest.DiscardLogger, func(*store.Call, store.Result) {})
	if err != nil {
		t.Fatal(err)
	}
	c.Add(&store.Call{Name: "a", Amount: 1, TTL: time.Minute})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	storetest.Eventually(t, "a connection", func() bool { return s.Clients() > 0 })
	cancel()
	select {
	case <-done:
	case <-time.After(storetest.Timeout):
		t.Fatal("it does not end")
	}
}

func FuzzParseAdd(f *testing.F) {
	f.Add([]byte("*5\r\n:1\r\n:-2\r\n:0\r\n:-2\r\n:60000\r\n"))
	f.Add([]byte("*5\r\n:1\r\n:-2\r\n:0\r\n:-2\r\n:"))
	f.Fuzz(func(t *testing.T, b []byte) {
		seq, a, ok := parseAdd(b)
		if !ok {
			return
		}
		text := fmt.Sprintf("*5\r\n:%d\r\n:%d\r\n:%d\r\n:%d\r\n", seq, a.Total, a.PreviousSeq, a.Own)
		if !strings.HasPrefix(strings.ReplaceAll(string(b), ":-0\r", ":0\r"), text) && !strings.Contains(string(b), ":0") && !strings.Contains(string(b), ":-0") {
			t.Fatalf("%q was read as %q", b, text)
		}
	})
}

// An answer that was worded before another instance's add is older than it: the next one shows both, and no total ever
// shows less than this instance has spent itself.
func TestOlderTotal(t *testing.T) {
	s := startServer(t, standin.Options{})
	x, y := start(t, options(s.Addr())), start(t, options(s.Addr()))
	x.AddAndWait(t, "a", 1)
	y.AddAndWait(t, "a", 1)
	hold := on(fault.Hold, 1)
	hold.By = 200 * time.Millisecond
	s.Fault(hold)
	k := &store.Call{Name: "a", Amount: 10, TTL: time.Minute}
	x.Add(k)
	storetest.Eventually(t, "the add to land", func() bool { return total(s, "a") == 12 })
	if r := y.AddAndWait(t, "a", 100); r.Total != 112 {
		t.Fatalf("the later add: %+v", r)
	}
	if a := x.NextAnswer(t); a.Call != k || a.Result.Total != 12 {
		t.Fatalf("the held answer: %+v", a.Result)
	}
	if r := x.AddAndWait(t, "a", 0); r.Total != 112 {
		t.Fatalf("the next: %+v", r)
	}
}

// An outage is two lines of the log, however many calls and attempts to connect there were: what holds, and that it is over.
func TestOutageIsLoggedOnce(t *testing.T) {
	s := startServer(t, standin.Options{})
	var text strings.Builder
	opt := options(s.Addr())
	opt.Timeout = 50 * time.Millisecond
	i := storetest.Start(t, func(sink store.Sink) store.Counter {
		c, err := New(opt, logTo(&text), sink)
		if err != nil {
			t.Fatal(err)
		}
		return c
	})
	i.AddAndWait(t, "a", 1)
	s.Stop()
	for range 20 {
		i.AddAndWait(t, "a", 1)
		time.Sleep(5 * time.Millisecond)
	}
	s.Listen()
	storetest.Eventually(t, "the way back", func() bool { return i.AddAndWait(t, "a", 1).Certainty == store.Added })
	for line, want := range map[string]int{"connected": 1, "no store: each instance keeps its fair share": 1, "back: quotas are shared again": 1} {
		if n := strings.Count(text.String(), line); n != want {
			t.Errorf("%q stands %d times, want %d:\n%s", line, n, want, text.String())
		}
	}
}
