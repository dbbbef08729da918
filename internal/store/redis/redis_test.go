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

const keyNamespace = "t" // prefix of all keys

func startServer(t testing.TB, opt standin.Options) *standin.Server {
	t.Helper()
	s, err := standin.Start(opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func testOptions(addr string) Options {
	return Options{Address: addr, Prefix: keyNamespace, ConnectTimeout: 2 * time.Second, Timeout: 2 * time.Second}
}

func counterFactory(t testing.TB, opt Options) func(store.Sink) store.Counter {
	return func(sink store.Sink) store.Counter {
		c, err := New(opt, storetest.DiscardLogger, sink)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
}

func startCounter(t testing.TB, opt Options) *storetest.Instance {
	return storetest.Start(t, counterFactory(t, opt))
}

func stats(instance *storetest.Instance) Stats { return instance.Counter.(*Counter).Stats() }

// units converts a sum stored on the server to units; "" is 0.
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

// total returns the server's total for a name of shard 0, in units.
func total(t testing.TB, s *standin.Server, name string) float64 {
	t.Helper()
	sum, _ := s.HashField(0, keyNamespace+":{0}:"+name, "t")
	return units(t, sum)
}

// resumeListening makes a stopped server accept connections again.
func resumeListening(t testing.TB, s *standin.Server) {
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
			New:    counterFactory(t, testOptions(s.Addr())),
		}
	})
}

// appliedAdds returns how many times the server has run the script.
func appliedAdds(s *standin.Server) (n int) {
	for _, r := range s.Records() {
		if r.Applied && strings.HasPrefix(r.Args[0], "EVAL") {
			n++
		}
	}
	return n
}

// With TLS and a password required, both options must be read for each connection, and no password may be logged.
func TestSecrets(t *testing.T) {
	cert, pool := testCertificate(t)
	s := startServer(t, standin.Options{
		User: "ingress", Password: "s3cret",
		WrapListener: func(ln net.Listener) net.Listener {
			return tls.NewListener(ln, &tls.Config{Certificates: []tls.Certificate{cert}})
		},
	})
	var log strings.Builder
	opt := testOptions(s.Addr())
	opt.Username = "ingress"
	password := "wrong-one"
	opt.Password = func() (string, error) { return password, nil }
	opt.TLS = func() (*tls.Config, error) { return &tls.Config{RootCAs: pool}, nil }
	instance := storetest.Start(t, func(sink store.Sink) store.Counter {
		c, err := New(opt, newLogger(&log), sink)
		if err != nil {
			t.Fatal(err)
		}
		return c
	})
	if r := instance.AddAndWait(t, "a", 1); r.Certainty != store.NotAdded {
		t.Fatalf("with a wrong password: got %+v, want it not added", r)
	}
	password = "s3cret"
	storetest.Eventually(
		t,
		"the connection with the correct password",
		func() bool { return instance.AddAndWait(t, "a", 1).Certainty == store.Added },
	)
	if text := log.String(); !strings.Contains(text, "WRONGPASS") || strings.Contains(text, "s3cret") ||
		strings.Contains(text, "wrong-one") {
		t.Fatal(text)
	}
}

// A server certificate from an unknown authority must be rejected.
func TestWrongCertificate(t *testing.T) {
	cert, _ := testCertificate(t)
	_, other := testCertificate(t)
	s := startServer(t, standin.Options{WrapListener: func(ln net.Listener) net.Listener {
		return tls.NewListener(ln, &tls.Config{Certificates: []tls.Certificate{cert}})
	}})
	opt := testOptions(s.Addr())
	opt.TLS = func() (*tls.Config, error) { return &tls.Config{RootCAs: other}, nil }
	instance := startCounter(t, opt)
	if r := instance.AddAndWait(t, "a", 1); r.Certainty != store.NotAdded || appliedAdds(s) != 0 {
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

// Run must return at once when its context ends, even with calls pending.
func TestRunReturnsAtOnce(t *testing.T) {
	s := startServer(t, standin.Options{})
	s.SetSilent(true)
	c, err := New(testOptions(s.Addr()), storetest.DiscardLogger, func(*store.Call, store.Result) {})
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
		t.Fatal("Run did not return")
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
			t.Fatalf("%q was parsed as %q", b, text)
		}
	})
}

// A delayed reply does not include an add that another instance made in the meantime. The next reply must include both,
// and no total may be less than what this instance has spent itself.
func TestOutdatedTotal(t *testing.T) {
	s := startServer(t, standin.Options{})
	x, y := startCounter(t, testOptions(s.Addr())), startCounter(t, testOptions(s.Addr()))
	x.AddAndWait(t, "a", 1)
	y.AddAndWait(t, "a", 1)
	holdReply := faultOnce(fault.Hold)
	holdReply.DelayTime = 200 * time.Millisecond
	s.Fault(holdReply)
	call := &store.Call{Name: "a", Amount: 10, TTL: time.Minute}
	x.Add(call)
	storetest.Eventually(t, "the add to be applied", func() bool { return total(t, s, "a") == 12 })
	if r := y.AddAndWait(t, "a", 100); r.Total != 112 {
		t.Fatalf("add during the delay: got %+v, want total 112", r)
	}
	if a := x.NextAnswer(t); a.Call != call || a.Result.Total != 12 {
		t.Fatalf("delayed add: got %+v, want total 12", a.Result)
	}
	if r := x.AddAndWait(t, "a", 0); r.Total != 112 {
		t.Fatalf("add after the delay: got %+v, want total 112", r)
	}
}

// An outage must log one line at its beginning and one at its end, however many calls and connection attempts fail
// meanwhile.
func TestOutageIsLoggedOnce(t *testing.T) {
	s := startServer(t, standin.Options{})
	var text strings.Builder
	opt := testOptions(s.Addr())
	opt.Timeout = 50 * time.Millisecond
	instance := storetest.Start(t, func(sink store.Sink) store.Counter {
		c, err := New(opt, newLogger(&text), sink)
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
	resumeListening(t, s)
	storetest.Eventually(t, "the end of the outage", func() bool {
		return instance.AddAndWait(t, "a", 1).Certainty == store.Added
	})
	for _, message := range []string{
		"store connected",
		"store unreachable, using fair shares",
		"store reachable again, sharing quotas",
	} {
		if got := strings.Count(text.String(), message); got != 1 {
			t.Errorf("%q was logged %d times, want 1:\n%s", message, got, text.String())
		}
	}
}
