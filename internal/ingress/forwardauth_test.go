package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"hitchspring/internal/core"
	"hitchspring/internal/discovery"
	"hitchspring/internal/front/forwardauth"
	"hitchspring/internal/standin/scripted"
	"hitchspring/policy"
)

// authConfig returns the configuration of an instance with a front for reverse
// proxies. Its backends have unused addresses, since only proxies connect to them.
func authConfig(t testing.TB, backends int, change func(*Config)) Config {
	t.Helper()
	var list discovery.List
	for i := range backends {
		list.Targets = append(list.Targets, discovery.Target{
			UID:      fmt.Sprint("s", i),
			Endpoint: fmt.Sprintf("127.0.0.1:%d", 1+i),
			Zone:     "a",
			State:    "SERVING",
		})
	}
	list.Rev, list.Complete = 1, true
	cfg := testConfig(scripted.Registry(t, list, nil), list)
	cfg.Settings.MaxAttempts, cfg.Settings.Hedging, cfg.Settings.MaxRetryAfter = 3, true, time.Second
	fourUnits := policy.Plan{Name: "four", Price: 1, Rate: 0.001, Burst: 4, ExcessCost: 1}
	cfg.Settings.Plans = append(cfg.Settings.Plans, fourUnits)
	cfg.Sockets = 2048
	table, err := forwardauth.NewTable(nil)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Auth = &ForwardAuth{Listen: "127.0.0.1:0", Table: table, Config: forwardauth.Config{
		Header:         "X-Hitch",
		Trusted:        []netip.Prefix{netip.MustParsePrefix("127.0.0.1/32")},
		MaxCalls:       1000,
		MaxConnections: 600,
		MaxHeaderBytes: 8 << 10,
		MaxBodyBytes:   8 << 10,
		HeaderTimeout:  5 * time.Second,
		IdleTimeout:    time.Minute,
		MaxReports:     10,
	}}
	cfg.Leases = &core.LeaseConfig{
		Timeout:     10 * time.Second,
		StartWithin: 500 * time.Millisecond,
		Retention:   3 * time.Second,
		MaxRequests: 50000,
	}
	if change != nil {
		change(&cfg)
	}
	return cfg
}

// A grant names a listed backend. Calls with the same id get the same lease until
// the outcome is reported; afterwards they get 409.
func TestAuthGrantsAndReports(t *testing.T) {
	instance, _ := runIngress(t, authConfig(t, 2, nil))
	c := newProxyClient(t, instance)
	a := c.requireStatus("one", 200)
	if !strings.HasPrefix(a.backend, "s") || len(a.lease) != 32 || a.startWithin > 500*time.Millisecond ||
		a.endsWithin > 10*time.Second || a.endsWithin < 9*time.Second {
		t.Fatalf("%+v", a)
	}
	if b := c.requireStatus("one", 200); b.lease != a.lease || b.backend != a.backend {
		t.Fatalf("%+v, then %+v", a, b)
	}
	c.requireStatus("one", 409, "Units", "2")
	if b := c.requireStatus("One", 200); b.lease == a.lease {
		t.Fatal("two ids that differ in case are one")
	}
	if r := c.report(a.lease, "served"); r.Status != 200 || r.State != "served" {
		t.Fatalf("%+v", r)
	}
	if r := c.report(a.lease, "served"); r.Status != 200 {
		t.Fatalf("the same report again: %+v", r)
	}
	if r := c.report(a.lease, "failed"); r.Status != 409 {
		t.Fatalf("a report of another outcome: %+v", r)
	}
	if r := c.report("nonsense", "served"); r.Status != 404 {
		t.Fatalf("a report for an unknown lease: %+v", r)
	}
	c.requireStatus("one", 409)
}

// Each id spends its quota units once, however many calls have that id, even if the
// first caller disconnected before its answer. Units of an attempt that is reported
// as unsent are returned. Both fronts share the quota.
func TestAuthUnitsAreCountedOnce(t *testing.T) {
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string { return servedReply })
	cfg := authConfig(t, 4, nil)
	for i := range cfg.InitialEndpoints.Targets {
		cfg.InitialEndpoints.Targets[i].Endpoint = backend.Addr
	}
	cfg.Discovery = scripted.Registry(t, cfg.InitialEndpoints, nil)
	instance, _ := runIngress(t, cfg)
	c := newProxyClient(t, instance)
	nc, err := net.Dial("tcp", instance.AuthAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(nc, "GET /x HTTP/1.1\r\nHost: x\r\nX-Hitch-Class: read\r\nX-Hitch-Plan: four\r\n"+
		"X-Hitch-Channel: 3e9\r\nX-Hitch-Id: a\r\nX-Hitch-Key: k\r\n\r\n")
	nc.Close() // without reading the answer
	four := []string{"Plan", "four"}
	first := c.requireStatus("a", 200, four...)
	for range 3 {
		if b := c.requireStatus("a", 200, four...); b.lease != first.lease {
			t.Fatal("another lease")
		}
	}
	c.requireStatus("b", 200, four...)
	last := c.requireStatus("c", 200, four...)
	// A RESP2 client of the same channel spends the fourth unit.
	conn, in := dial(t, instance.Addr().String())
	io.WriteString(conn, encodeCommand("Q.ASK", "00000000000003e9", "00000000000000aa",
		"c=read,t=four,d=3000,units=1,spread=1,first=0"))
	requireValue(t, in)
	if a := c.requireStatus("d", 429, four...); !strings.Contains(a.body, "retry_after_ms") {
		t.Fatal(a.body)
	}
	if r := c.report(last.lease, "unsent"); r.State != "unsent" {
		t.Fatalf("%+v", r)
	}
	c.requireStatus("e", 200, four...)
	c.requireStatus("f", 429, four...)
}

// The class decides whether a failed attempt is retried. A safe request gets another
// backend, in the answer to the report and to the proxy's next call. An unsafe one
// gets one only if the backend rejected it; if it may have run, it has failed.
func TestAuthAttemptsAfterFailure(t *testing.T) {
	for name, c := range map[string]struct {
		class, outcome, state string
		again                 bool
	}{
		"safe, failed":        {"read", "failed", "granted", true},
		"safe, turned away":   {"read", "refused", "granted", true},
		"unsafe, failed":      {"write", "failed", "failed", false},
		"unsafe, turned away": {"write", "refused", "granted", true},
		"unsafe, never sent":  {"write", "unsent", "unsent", false},
	} {
		instance, _ := runIngress(t, authConfig(t, 4, nil))
		x := newProxyClient(t, instance)
		a := x.requireStatus("one", 200, "Class", c.class)
		r := x.report(a.lease, c.outcome)
		if r.Status != 200 || r.State != c.state || (len(r.Next) > 0) != c.again {
			t.Errorf("%s: %+v", name, r)
		}
		if c.again {
			if r.Next["X-Hitch-Node-Id"] == a.backend || r.Next["X-Hitch-Lease"] == a.lease {
				t.Errorf("%s: the same backend or lease again: %+v", name, r)
			}
			if b := x.requireStatus("one", 200, "Class", c.class); b.lease != r.Next["X-Hitch-Lease"] {
				t.Errorf("%s: the next call gives another lease", name)
			}
		}
	}
}

// A proxy dies with 200 open leases. They count against the window and the tenant's
// limit of attempts in flight until they expire.
func TestAuthProxyDiesWithOpenGrants(t *testing.T) {
	instance, _ := runIngress(t, authConfig(t, 60, func(c *Config) {
		c.Leases.Timeout = time.Second
		c.Settings.Plans = append(c.Settings.Plans, policy.Plan{Name: "capped", Price: 1, MaxInFlight: 200})
	}))
	c := newProxyClient(t, instance)
	capped := []string{"Plan", "capped"}
	began := time.Now()
	var leases []string
	for i := range 200 {
		leases = append(leases, c.requireStatus(fmt.Sprint("dead", i), 200, capped...).lease)
	}
	if time.Since(began) > 900*time.Millisecond {
		t.Skip("the machine is too slow to have 200 open at once")
	}
	c.requireStatus("waits", 200, capped...)
	if took := time.Since(began); took < 900*time.Millisecond {
		t.Fatalf("an attempt beyond the limit was granted after %v", took)
	}
	for i := range 150 {
		c.requireStatus(fmt.Sprint("later", i), 200, capped...)
	}
	if r := c.report(leases[0], "served"); r.Status != 410 {
		t.Fatalf("a late report: %+v", r)
	}
	c.requireStatus("dead0", 409, capped...)
}

// No attempt is granted at a draining backend, and one granted earlier must be sent
// within 0.5 s. So the backend gets nothing new later than 2 s after discovery has
// the drain.
func TestAuthAndBackendDrain(t *testing.T) {
	changes := make(chan discovery.List, 1)
	cfg := authConfig(t, 2, nil)
	cfg.Discovery = scripted.Registry(t, cfg.InitialEndpoints, changes)
	instance, _ := runIngress(t, cfg)
	c := newProxyClient(t, instance)
	list := cfg.InitialEndpoints
	list.Complete, list.Rev = false, 2
	list.Targets = []discovery.Target{list.Targets[0]}
	list.Targets[0].State = "DRAINING"
	changedAt := time.Now()
	changes <- list
	var lastUse time.Time
	for i := 0; time.Since(changedAt) < 1500*time.Millisecond; i++ {
		a := c.requireStatus(fmt.Sprint("n", i), 200)
		if a.backend == "s0" {
			lastUse = time.Now().Add(a.startWithin)
		}
		c.report(a.lease, "served")
	}
	if lastUse.Sub(changedAt) > 1500*time.Millisecond {
		t.Fatalf("an attempt at the draining backend may be sent until %v after the drain", lastUse.Sub(changedAt))
	}
}

// A call with a very short deadline is answered without delay. The lease of a call
// with a deadline of an hour is still limited.
func TestAuthDeadlines(t *testing.T) {
	instance, _ := runIngress(t, authConfig(t, 1, func(c *Config) { c.Leases.Timeout = 59 * time.Minute }))
	c := newProxyClient(t, instance)
	began := time.Now()
	a, err := c.authorize("short", "Deadline-Ms", "1")
	if err != nil || a.status != 200 && a.status != 429 || time.Since(began) > 5*time.Second {
		t.Fatal(a, err)
	}
	if a := c.requireStatus("hour", 200, "Deadline-Ms", "3600000"); a.endsWithin > 2*time.Minute {
		t.Fatalf("a lease of %v", a.endsWithin)
	}
}

// At a shutdown with 300 waiting calls, each call is answered and the instance stops
// in time.
func TestAuthShutdown(t *testing.T) {
	instance, stop := runIngress(t, authConfig(t, 1, nil)) // one backend has a window of 4 attempts
	c := newProxyClient(t, instance)
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i := range 300 {
		wg.Go(func() {
			a, err := c.authorize(fmt.Sprint("w", i))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.Errorf("call %d has no answer: %v", i, err)
			}
			statuses[a.status]++
		})
	}
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	if err := stop(); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Fatalf("the shutdown took %v", took)
	}
	wg.Wait()
	if statuses[200] < 4 || statuses[200]+statuses[429]+statuses[503] != 300 {
		t.Fatal(statuses)
	}
}

// The rules change under load. Each call is answered according to one of the tables.
func TestAuthRulesChange(t *testing.T) {
	cfg := authConfig(t, 40, nil)
	yes, err := forwardauth.NewTable([]forwardauth.Rule{{Path: "/channels/{channel}/guide", Class: "read", Plan: "p"}})
	if err != nil {
		t.Fatal(err)
	}
	no := cfg.Auth.Table
	instance, _ := runIngress(t, cfg)
	c := newProxyClient(t, instance)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for range 4 {
		wg.Go(func() {
			for ctx.Err() == nil {
				req, _ := http.NewRequest("GET", c.baseURL+"/check", nil)
				req.Header.Set("X-Forwarded-Method", "GET")
				req.Header.Set("X-Forwarded-Uri", "/channels/3e9/guide")
				a, err := c.do(req)
				if err != nil {
					t.Error(err)
					return
				}
				if a.lease != "" {
					c.report(a.lease, "served")
				}
				mu.Lock()
				statuses[a.status]++
				mu.Unlock()
			}
		})
	}
	for i := 0; ctx.Err() == nil; i++ {
		instance.SetRules([]*forwardauth.Table{yes, no}[i%2])
		time.Sleep(2 * time.Millisecond)
	}
	wg.Wait()
	if statuses[200] == 0 || statuses[400] == 0 || len(statuses) != 2 {
		t.Fatal(statuses)
	}
}

// Priorities hold across both fronts. Proxies make low-priority calls until the
// window is full and about a hundred are queued. A RESP2 request of higher priority
// is the first to be sent when the window has capacity again.
func TestPriorityHoldsAcrossFronts(t *testing.T) {
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string { return servedReply })
	cfg := authConfig(t, 1, nil)
	cfg.InitialEndpoints.Targets[0].Endpoint = backend.Addr
	cfg.Discovery = scripted.Registry(t, cfg.InitialEndpoints, nil)
	cfg.Settings.Classes[2].PriorityWeight, cfg.Settings.Classes[2].RepeatWindow = 5, 3*time.Second
	instance, stop := runIngress(t, cfg)
	c := newProxyClient(t, instance)
	granted := make(chan proxyAnswer, 200)
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			if a, err := c.authorize(fmt.Sprint("flood", i)); err == nil && a.status == 200 {
				granted <- a
			}
		})
	}
	var inFlight []proxyAnswer
	for range 4 { // the window of one backend
		inFlight = append(inFlight, <-granted)
	}
	conn, in := dial(t, instance.Addr().String())
	io.WriteString(conn, encodeCommand("Q.DO", "00000000000003e9", "00000000000000aa",
		"c=keyed,t=p,d=20000,k=x,units=1,spread=1,first=0"))
	time.Sleep(100 * time.Millisecond) // the request is queued, since the window is full
	if n := len(backend.Commands()); n > 0 || len(granted) > 0 {
		t.Fatalf("%d sent and %d granted beyond the window", n, len(granted))
	}
	c.report(inFlight[0].lease, "served")
	requireValue(t, in)
	if n := len(backend.Commands()); n != 1 {
		t.Fatalf("the backend got %d commands, want 1", n)
	}
	requireStop(t, stop)
	wg.Wait()
}

// If too many calls wait for the same id, a further one is answered at once. Once an
// attempt has been granted for the id, that answer is 503 and not a rejection, since
// a rejection would mean that nothing has run.
func TestAuthTooManyWaitingCalls(t *testing.T) {
	cfg := authConfig(t, 1, func(c *Config) { c.Settings.Classes[2].RepeatWindow = time.Minute })
	instance, stop := runIngress(t, cfg)
	c := newProxyClient(t, instance)
	var wg sync.WaitGroup
	statuses := make(chan int, 100)
	authorize := func(id string, more ...string) {
		wg.Go(func() {
			if a, err := c.authorize(id, more...); err == nil {
				statuses <- a.status
			}
		})
	}
	first := c.requireStatus("a", 200, "Class", "keyed")
	for i := range 20 { // they fill the window, and also take the slot that the first attempt frees
		authorize(fmt.Sprint("other", i))
	}
	for range 3 {
		if s := <-statuses; s != 200 {
			t.Fatal(s)
		}
	}
	time.Sleep(100 * time.Millisecond)
	if r := c.report(first.lease, "failed"); r.State != "open" {
		t.Fatalf("%+v", r)
	}
	<-statuses // of the call that got the slot of the first attempt
	for range 5 {
		authorize("a", "Class", "keyed")
	}
	if s := <-statuses; s != 503 {
		t.Fatalf("the fifth call was answered %d", s)
	}
	requireStop(t, stop)
	wg.Wait()
}
