package forwardauth

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"hitchspring/internal/core"
	"hitchspring/internal/lease"
	"hitchspring/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeCore is a core whose answers are set by the test. It records the calls.
type fakeCore struct {
	answer   func(r *core.Request, id string, sink core.ReplySink) // if nil, calls get no answer
	report   func(name string, outcome lease.Outcome) core.ReportResult
	canceled chan string // ids of the calls whose callers have disconnected

	mu           sync.Mutex // guards the records of calls below
	requests     []*core.Request
	ids          []string
	fingerprints []uint64
}

func (f *fakeCore) RequestLease(r *core.Request, id string, fingerprint uint64, sink core.ReplySink) {
	f.mu.Lock()
	f.requests = append(f.requests, r)
	f.ids = append(f.ids, id)
	f.fingerprints = append(f.fingerprints, fingerprint)
	f.mu.Unlock()
	if f.answer != nil {
		f.answer(r, id, sink)
	}
}

func (f *fakeCore) CancelWait(id string, _ core.ReplySink) { f.canceled <- id }

func (f *fakeCore) ReportOutcome(name string, outcome lease.Outcome, notify func(core.ReportResult)) {
	notify(f.report(name, outcome))
}

func (f *fakeCore) Class(name string) (policy.Class, bool) {
	switch name {
	case "read":
		return policy.Class{Name: name, Deadline: time.Second, Effect: policy.Safe}, true
	case "publish":
		return policy.Class{Name: name, Deadline: 5 * time.Second, Effect: policy.Keyed}, true
	default:
		return policy.Class{}, false
	}
}

func (f *fakeCore) Plan(name string) bool { return name == "storby" }
func (f *fakeCore) Instances() int        { return 3 }
func (f *fakeCore) MaxUnits() float64     { return 6 }

func (f *fakeCore) GiveUpAt(c policy.Class, _ time.Time, d time.Duration) time.Duration {
	return min(d, 2*c.Deadline)
}

func (f *fakeCore) requestCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

func grantAll(_ *core.Request, _ string, sink core.ReplySink) {
	sink.Deliver(core.Answer{Kind: core.Granted, Grant: core.Grant{
		Lease:       "abc",
		Backend:     "node-1",
		Addr:        "10.0.0.1:99",
		StartWithin: 500 * time.Millisecond,
		EndsWithin:  5 * time.Second,
	}})
}

// startFront starts a front on the loopback interface and returns its address. change,
// if not nil, modifies the configuration first.
func startFront(t *testing.T, c *fakeCore, change func(*Config), rules ...Rule) (addr string) {
	t.Helper()
	table, err := NewTable(rules)
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{
		Header:         "X-Hitch",
		Trusted:        []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		MaxCalls:       100,
		MaxConnections: 200,
		MaxHeaderBytes: 4096,
		MaxBodyBytes:   1024,
		HeaderTimeout:  300 * time.Millisecond,
		IdleTimeout:    time.Minute,
		MaxReports:     3,
	}
	if change != nil {
		change(&cfg)
	}
	front := New(cfg, table, c, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	front.Start(listener)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		http.DefaultClient.CloseIdleConnections()
		front.Drain(ctx)
	})
	return listener.Addr().String()
}

// newCall returns an HTTP request. headers alternates names and values.
func newCall(t *testing.T, method, addr, path, body string, headers ...string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return req
}

// doCall sends one HTTP request and returns the response and its body.
func doCall(t *testing.T, method, addr, path, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	resp, err := http.DefaultClient.Do(newCall(t, method, addr, path, body, headers...))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(answer)
}

// validHeaders are the headers of a valid call.
var validHeaders = []string{"X-Hitch-Class", "read", "X-Hitch-Plan", "storby", "X-Hitch-Channel", "3e9"}

// withHeaders returns validHeaders followed by more headers, which override them.
func withHeaders(more ...string) []string {
	return append(append([]string{}, validHeaders...), more...)
}

// An untrusted caller is rejected, even if its X-Forwarded-For names a trusted address.
func TestUntrustedCallersAreRejected(t *testing.T) {
	f := &fakeCore{answer: grantAll}
	addr := startFront(t, f, func(c *Config) {
		c.Trusted = []netip.Prefix{netip.MustParsePrefix("127.9.9.9/32")}
	})
	for _, path := range []string{"/x", "/v1/attempts/abc", "/healthz"} {
		headers := withHeaders("X-Forwarded-For", "127.9.9.9")
		resp, _ := doCall(t, "POST", addr, path, `{"outcome":"served"}`, headers...)
		if resp.StatusCode != http.StatusUnauthorized {
			t.Errorf("%s: got status %d, want 401", path, resp.StatusCode)
		}
	}
	if n := f.requestCount(); n > 0 {
		t.Fatalf("the core got %d requests, want none", n)
	}
}

// Endless headers, slow headers, thousands of idle connections and invalid calls are
// each bounded and don't leak memory, connections or goroutines.
func TestHostileClients(t *testing.T) {
	f := &fakeCore{answer: grantAll, canceled: make(chan string, 300)}
	addr := startFront(t, f, nil)
	t.Run("endless headers", func(t *testing.T) { testEndlessHeaders(t, addr) })
	t.Run("slow headers", func(t *testing.T) { testSlowHeaders(t, addr) })
	t.Run("idle connections", func(t *testing.T) { testIdleConnections(t, addr) })
	t.Run("unreadable calls", func(t *testing.T) { testUnreadableCallsLeaveNothing(t, addr) })
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

func testEndlessHeaders(t *testing.T, addr string) {
	conn := dial(t, addr)
	defer conn.Close()
	fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: x\r\nX-Big: ")
	go func() {
		chunk := bytes.Repeat([]byte("a"), 64<<10)
		for range 160 { // 10 MB
			if _, err := conn.Write(chunk); err != nil {
				return
			}
		}
	}()
	if line, err := bufio.NewReader(conn).ReadString('\n'); err == nil && !strings.Contains(line, "431") {
		t.Errorf("10 MB of headers: got %q, want status 431 or the end of the connection", line)
	}
}

func testSlowHeaders(t *testing.T, addr string) {
	conn := dial(t, addr)
	defer conn.Close()
	began := time.Now()
	fmt.Fprintf(conn, "GET / HTTP/1.1\r\n")
	conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.ReadAll(conn); err != nil || time.Since(began) > 15*time.Second {
		t.Errorf("the connection was not closed within %v: %v", time.Since(began), err)
	}
}

func testIdleConnections(t *testing.T, addr string) {
	var idle []net.Conn
	for range 5000 {
		idle = append(idle, dial(t, addr))
		if len(idle) < 250 { // exceeds MaxConnections, so the front closes the last ones at once
			continue
		}
		for _, conn := range idle {
			conn.Close()
		}
		idle = nil
	}
	isServing := func() bool {
		resp, err := http.Get("http://" + addr + "/healthz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
	for deadline := time.Now().Add(20 * time.Second); !isServing(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the front serves no connection after the idle ones were closed")
		}
	}
}

func testUnreadableCallsLeaveNothing(t *testing.T, addr string) {
	const maxGrowth = 4 << 20 // bytes
	sendUnreadable := func(count int) {
		for i := range count {
			resp, _ := doCall(t, "GET", addr, "/x", "", withHeaders("X-Hitch-Class", fmt.Sprint("c", i))...)
			if resp.StatusCode != http.StatusBadRequest {
				t.Fatalf("got status %d, want 400", resp.StatusCode)
			}
		}
	}
	heapBytes := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	sendUnreadable(500)
	before := heapBytes()
	sendUnreadable(10000)
	if after := heapBytes(); after > before+maxGrowth {
		t.Errorf("10,000 invalid calls leak %d bytes", after-before)
	}
}

// Calls beyond MaxCalls are answered with a Retry-After. The core is notified when a
// caller disconnects.
func TestCallsAreBounded(t *testing.T) {
	f := &fakeCore{canceled: make(chan string, 10)}
	addr := startFront(t, f, func(c *Config) { c.MaxCalls = 1 })
	ctx, cancel := context.WithCancel(t.Context())
	first := newCall(t, "GET", addr, "/x", "", withHeaders("X-Hitch-Id", "first")...).WithContext(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if resp, err := http.DefaultClient.Do(first); err == nil {
			resp.Body.Close()
		}
	}()
	for f.requestCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	resp, _ := doCall(t, "GET", addr, "/x", "", validHeaders...)
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Fatalf("got status %d, headers %v, want 503 with Retry-After", resp.StatusCode, resp.Header)
	}
	cancel()
	<-done
	if id := <-f.canceled; id != "first" {
		t.Fatalf("got canceled call %q, want first", id)
	}
}

// The front also supports HTTP/2 without TLS.
func TestUnencryptedHTTP2(t *testing.T) {
	addr := startFront(t, &fakeCore{answer: grantAll}, nil)
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	resp, err := client.Do(newCall(t, "GET", addr, "/x", "", validHeaders...))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.ProtoMajor != 2 || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %s %d, want HTTP/2 200", resp.Proto, resp.StatusCode)
	}
}
