package redis

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"hitchspring/internal/standin/fault"
	standin "hitchspring/internal/standin/redis"
	"hitchspring/internal/store"
	"hitchspring/internal/store/ledger"
	"hitchspring/internal/store/storetest"
)

const prefix = "t" // of the keys

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

func stats(instance *storetest.Instance) Stats { return instance.Counter.(*Counter).Stats() }

// units reads a sum that the server holds, in units; "" is 0.
func units(t testing.TB, sum string) float64 {
	t.Helper()
	if sum == "" {
		return 0
	}
	micros, err := strconv.ParseFloat(sum, 64)
	if err != nil {
		t.Fatal(err)
	}
	return micros / ledger.MicrosPerUnit
}

// total is what the server holds for a name of shard 0, in units.
func total(t testing.TB, s *standin.Server, name string) float64 {
	t.Helper()
	sum, _ := s.HashField(0, prefix+":{0}:"+name, "t")
	return units(t, sum)
}

// listen makes a server that was stopped accept connections again.
func listen(t testing.TB, s *standin.Server) {
	t.Helper()
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
}

func TestConformance(t *testing.T) {
	storetest.Run(t, func(t *testing.T) storetest.Server {
		s := startServer(t, standin.Options{})
		return storetest.Server{
			Addr:   s.Addr(),
			Total:  func(name string) float64 { return total(t, s, name) },
			Stop:   s.Stop,
			Listen: s.Listen,
			New:    maker(t, options(s.Addr())),
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
	instance := storetest.Start(t, func(sink store.Sink) store.Counter {
		c, err := New(opt, logTo(&log), sink)
		if err != nil {
			t.Fatal(err)
		}
		return c
	})
	if r := instance.AddAndWait(t, "a", 1); r.Certainty != store.NotAdded {
		t.Fatalf("with a wrong password: %+v", r)
	}
	password = "s3cret"
	storetest.Eventually(
		t,
		"the right password",
		func() bool { return instance.AddAndWait(t, "a", 1).Certainty == store.Added },
	)
	if text := log.String(); !strings.Contains(text, "WRONGPASS") || strings.Contains(text, "s3cret") ||
		strings.Contains(text, "wrong-one") {
		t.Fatal(text)
	}
}

// A certificate of an unknown authority is rejected.
func TestWrongCertificate(t *testing.T) {
	cert, _ := testCertificate(t)
	_, other := testCertificate(t)
	s := startServer(t, standin.Options{Wrap: func(ln net.Listener) net.Listener {
		return tls.NewListener(ln, &tls.Config{Certificates: []tls.Certificate{cert}})
	}})
	opt := options(s.Addr())
	opt.TLS = func() (*tls.Config, error) { return &tls.Config{RootCAs: other}, nil }
	instance := start(t, opt)
	if r := instance.AddAndWait(t, "a", 1); r.Certainty != store.NotAdded || adds(s) != 0 {
		t.Fatalf("%+v", r)
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

// The counter ends at once, whatever is pending.
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
		if !strings.HasPrefix(strings.ReplaceAll(string(b), ":-0\r", ":0\r"), text) &&
			!strings.Contains(string(b), ":0") &&
			!strings.Contains(string(b), ":-0") {
			t.Fatalf("%q was read as %q", b, text)
		}
	})
}

// A reply that was written before another instance's add does not include it: the next one shows both, and no total
// ever shows less than this instance has spent itself.
func TestOutdatedTotal(t *testing.T) {
	s := startServer(t, standin.Options{})
	x, y := start(t, options(s.Addr())), start(t, options(s.Addr()))
	x.AddAndWait(t, "a", 1)
	y.AddAndWait(t, "a", 1)
	hold := once(fault.Hold)
	hold.By = 200 * time.Millisecond
	s.Fault(hold)
	call := &store.Call{Name: "a", Amount: 10, TTL: time.Minute}
	x.Add(call)
	storetest.Eventually(t, "the add to be applied", func() bool { return total(t, s, "a") == 12 })
	if r := y.AddAndWait(t, "a", 100); r.Total != 112 {
		t.Fatalf("the later add: %+v", r)
	}
	if a := x.NextAnswer(t); a.Call != call || a.Result.Total != 12 {
		t.Fatalf("the delayed answer: %+v", a.Result)
	}
	if r := x.AddAndWait(t, "a", 0); r.Total != 112 {
		t.Fatalf("the next: %+v", r)
	}
}

// An outage is two lines of the log, however many calls and attempts to connect there were: what holds, and that it
// is over.
func TestOutageIsLoggedOnce(t *testing.T) {
	s := startServer(t, standin.Options{})
	var text strings.Builder
	opt := options(s.Addr())
	opt.Timeout = 50 * time.Millisecond
	instance := storetest.Start(t, func(sink store.Sink) store.Counter {
		c, err := New(opt, logTo(&text), sink)
		if err != nil {
			t.Fatal(err)
		}
		return c
	})
	instance.AddAndWait(t, "a", 1)
	s.Stop()
	for range 20 {
		instance.AddAndWait(t, "a", 1)
		time.Sleep(5 * time.Millisecond)
	}
	listen(t, s)
	storetest.Eventually(t, "the end of the outage", func() bool {
		return instance.AddAndWait(t, "a", 1).Certainty == store.Added
	})
	for _, message := range []string{
		"store connected",
		"store unreachable, using fair shares",
		"store reachable again, sharing quotas",
	} {
		if got := strings.Count(text.String(), message); got != 1 {
			t.Errorf("%q is logged %d times, want 1:\n%s", message, got, text.String())
		}
	}
}
