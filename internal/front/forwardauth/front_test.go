package forwardauth

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
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

// fake is a core that answers as the test says.
type fake struct {
	mu     sync.Mutex
	answer func(r *core.Request, id string, p core.ReplySink)
	report func(name string, o lease.Outcome) core.ReportResult
	asked  []*core.Request
	ids    []string
	prints []uint64
	left   chan string
}

func (f *fake) RequestLease(r *core.Request, id string, print uint64, p core.ReplySink) {
	f.mu.Lock()
	f.asked, f.ids, f.prints = append(f.asked, r), append(f.ids, id), append(f.prints, print)
	do := f.answer
	f.mu.Unlock()
	if do != nil {
		do(r, id, p)
	}
}
func (f *fake) CancelWait(id string, _ core.ReplySink) { f.left <- id }
func (f *fake) ReportOutcome(name string, o lease.Outcome, tell func(core.ReportResult)) {
	tell(f.report(name, o))
}

func (f *fake) Class(name string) (policy.Class, bool) {
	c := map[string]policy.Class{"read": {Name: "read", Deadline: time.Second, Effect: policy.Safe}, "publish": {Name: "publish", Deadline: 5 * time.Second, Effect: policy.Keyed}}[name]
	return c, c.Name != ""
}
func (f *fake) Plan(name string) bool { return name == "storby" }
func (f *fake) Instances() int        { return 3 }
func (f *fake) MaxUnits() float64     { return 6 }
func (f *fake) GiveUpAt(c policy.Class, at time.Time, d time.Duration) time.Duration {
	return min(d, 2*c.Deadline)
}

func grantAll(_ *core.Request, _ string, p core.ReplySink) {
	p.Deliver(core.Answer{Kind: core.Granted, Grant: core.Grant{Lease: "abc", Backend: "node-1", Addr: "10.0.0.1:99", StartWithin: 500 * time.Millisecond, EndsWithin: 5 * time.Second}})
}

// start serves a front on loopback; trusted are those who may call.
func start(t *testing.T, f *fake, change func(*Config), rules ...Rule) (addr string, front *Front) {
	t.Helper()
	table, err := NewTable(rules)
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{
		Header: "X-Hitch", Trusted: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}, MaxCalls: 100, MaxConnections: 200, MaxHeaderBytes: 4096, MaxBodyBytes: 1024,
		HeaderTimeout: 300 * time.Millisecond, IdleTimeout: time.Minute, MaxReports: 3,
	}
	if change != nil {
		change(&cfg)
	}
	front = New(cfg, table, f, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	front.Start(ln)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		http.DefaultClient.CloseIdleConnections()
		front.Drain(ctx)
	})
	return ln.Addr().String(), front
}

// call makes one call and returns its answer with the body.
func call(t *testing.T, method, addr, path string, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(b)
}

var plain = []string{"X-Hitch-Class", "read", "X-Hitch-Plan", "storby", "X-Hitch-Channel", "3e9"}

// Each kind of answer has its status, its headers and a body that says what it is about.
func TestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		a      core.Answer
		status int
		want   string
	}{
		"granted":  {core.Answer{Kind: core.Granted, Grant: core.Grant{Lease: "abc", Addr: "10.0.0.1:99"}}, 200, ""},
		"refused":  {core.Answer{Kind: core.Rejected, RetryAfter: 1200 * time.Millisecond}, 429, `"retry_after_ms":1200`},
		"failed":   {core.Answer{Kind: core.Failed}, 503, `"status":503`},
		"over":     {core.Answer{Kind: core.Concluded, State: lease.Served}, 409, "over: served"},
		"another":  {core.Answer{Kind: core.Mismatched}, 409, "other particulars"},
		"repeated": {core.Answer{Kind: core.Duplicate}, 503, ""},
	} {
		f := &fake{answer: func(_ *core.Request, _ string, p core.ReplySink) { p.Deliver(c.a) }}
		addr, _ := start(t, f, nil)
		for _, method := range []string{"GET", "HEAD", "POST"} {
			resp, body := call(t, method, addr, "/any", "", plain...)
			if resp.StatusCode != c.status || method != "HEAD" && !strings.Contains(body, c.want) || resp.Header.Get("Cache-Control") != "no-store" {
				t.Errorf("%s %s: %d %q %v", name, method, resp.StatusCode, body, resp.Header)
			}
			if c.status == 429 && (resp.Header.Get("Retry-After") != "2" || resp.Header.Get("X-Hitch-Retry-After-Ms") != "1200") {
				t.Errorf("%s: %v", name, resp.Header)
			}
			if c.status == 200 && (resp.Header.Get("X-Hitch-Node") != "10.0.0.1:99" || resp.Header.Get("X-Hitch-Lease") != "abc") {
				t.Errorf("%s: %v", name, resp.Header)
			}
		}
	}
}

// What cannot be read is 400 with the field and the value, and the core hears nothing of it.
func TestUnreadable(t *testing.T) {
	f := &fake{answer: grantAll}
	addr, _ := start(t, f, nil, Rule{Path: "/channels/{channel}/guide", Class: "read", Plan: "storby"})
	with := func(more ...string) []string { return append(append([]string{}, plain...), more...) }
	for want, h := range map[string][]string{
		"X-Hitch-Class is missing":  {"X-Hitch-Plan", "storby"},
		`class \"write\" is none`:   with("X-Hitch-Class", "write"),
		`plan \"metro\" is none`:    with("X-Hitch-Plan", "metro"),
		`channel \"zz\"`:            with("X-Hitch-Channel", "zz"),
		`channel \"ffffffffffff\"`:  with("X-Hitch-Channel", "ffffffffffff"),
		"units 7 is out of range":   with("X-Hitch-Units", "7"),
		`units \"many\"`:            with("X-Hitch-Units", "many"),
		"units NaN":                 with("X-Hitch-Units", "NaN"),
		`set \"4/0\"`:               with("X-Hitch-Set", "4/0"),
		`deadline \"-5\"`:           with("X-Hitch-Deadline-Ms", "-5"),
		"class publish wants a key": with("X-Hitch-Class", "publish"),
		"longer than 64":            with("X-Hitch-Id", strings.Repeat("x", 65)),
		"read in more than one way": with("X-Forwarded-Uri", "/channels/3e9/../../admin"),
	} {
		resp, body := call(t, "GET", addr, "/x", "", h...)
		if resp.StatusCode != 400 || !strings.Contains(body, want) || resp.Header.Get("Content-Type") != "application/problem+json" {
			t.Errorf("%s: %d %s", want, resp.StatusCode, body)
		}
	}
	if len(f.asked) > 0 {
		t.Fatal("the core was asked")
	}
}

// A path that could be another one is refused, not mended; a rule meets only what it says.
func TestPaths(t *testing.T) {
	for target, want := range map[string]string{
		"/a/b?x=/../": "a|b", "/": "", "/a/": "a|", "/a%20b": "a b", "/%C3%B8": "ø",
		"": "!", "a/b": "!", "/a/../b": "!", "/a/%2e%2e/b": "!", "/a/%2E./b": "!", "/a//b": "!", "/a%2fb": "!", "/a%5cb": "!", "/a;x=1/b": "!", "/a%3bx": "!",
		"/a%00": "!", "/a%0d%0ab": "!", "/%": "!", "/%zz": "!", "/a/./b": "!", "/a%252e": "!", "//a": "!", "/a\\b": "!",
	} {
		segs, err := Segments(target)
		got := strings.Join(segs, "|")
		if err != nil {
			got = "!"
		}
		if got != want {
			t.Errorf("%q: %q, want %q", target, got, want)
		}
	}
	table, err := NewTable([]Rule{{Method: "GET", Path: "/channels/{channel}/guide", Class: "read"}, {Path: "/channels/{channel}/clips/**", Class: "publish"}, {Path: "/*/x", Class: "star"}})
	if err != nil {
		t.Fatal(err)
	}
	for in, want := range map[string]string{
		"GET /channels/3e9/guide": "read 3e9", "POST /channels/3e9/guide": "", "GET /channels/3e9/guide/": "", "PUT /channels/1/clips/a/b": "publish 1",
		"PUT /channels/1/clips": "publish 1", "GET /CHANNELS/1/guide": "", "GET /any/x": "star ", "GET /channels/3e9": "",
	} {
		method, target, _ := strings.Cut(in, " ")
		segs, err := Segments(target)
		if err != nil {
			t.Fatal(err)
		}
		got := ""
		if r, channel, ok := table.Match(method, segs); ok {
			got = r.Class + " " + channel
		}
		if got != want {
			t.Errorf("%s: %q, want %q", in, got, want)
		}
	}
	for _, bad := range []Rule{{Path: "x", Class: "a"}, {Path: "/a/**/b", Class: "a"}, {Path: "/{id}", Class: "a"}, {Path: "/a"}, {Path: "/a", Class: "a", Units: -1}} {
		if _, err := NewTable([]Rule{{Path: "/ok", Class: "a"}, bad}); err == nil || !strings.Contains(err.Error(), "rule[1]") {
			t.Errorf("%+v: %v", bad, err)
		}
	}
}

// Each gate's way of telling the original request is understood, and the table is stronger than the caller's headers.
func TestConventions(t *testing.T) {
	f := &fake{answer: grantAll}
	addr, _ := start(t, f, func(c *Config) { c.Prefix = "/check" }, Rule{Method: "POST", Path: "/channels/{channel}/guide", Class: "read", Plan: "storby", Units: 2})
	for name, h := range map[string][]string{
		"traefik and caddy": {"/", "X-Forwarded-Method", "POST", "X-Forwarded-Uri", "/channels/3e9/guide?a=b", "X-Hitch-Class", "publish", "X-Hitch-Units", "1"},
		"nginx":             {"/auth", "X-Original-Method", "POST", "X-Original-Uri", "/channels/3e9/guide"},
	} {
		if resp, body := call(t, "GET", addr, h[0], "", h[1:]...); resp.StatusCode != 200 {
			t.Errorf("%s: %d %s", name, resp.StatusCode, body)
		}
	}
	if resp, body := call(t, "POST", addr, "/check/channels/3e9/guide", ""); resp.StatusCode != 200 {
		t.Errorf("envoy: %d %s", resp.StatusCode, body)
	}
	for _, r := range f.asked {
		if r.Class != "read" || r.Units != 2 || r.Tenant != "00000000000003e9" || r.Spread != 3 {
			t.Errorf("%+v", r.Request)
		}
	}
	// Two ids that differ in case are two; the same particulars have the same print, others another.
	call(t, "GET", addr, "/", "", append([]string{"X-Hitch-Id", "Ab"}, plain...)...)
	call(t, "GET", addr, "/", "", append([]string{"X-Hitch-Id", "ab"}, plain...)...)
	call(t, "GET", addr, "/", "", append([]string{"X-Hitch-Id", "ab", "X-Hitch-Units", "3"}, plain...)...)
	n := len(f.ids)
	if f.ids[n-3] == f.ids[n-2] || f.prints[n-3] != f.prints[n-2] || f.prints[n-2] == f.prints[n-1] {
		t.Fatal(f.ids[n-3:], f.prints[n-3:])
	}
}

// Who is not trusted is turned away, whatever it claims to forward.
func TestUntrusted(t *testing.T) {
	f := &fake{answer: grantAll}
	addr, _ := start(t, f, func(c *Config) { c.Trusted = []netip.Prefix{netip.MustParsePrefix("127.9.9.9/32")} })
	for _, path := range []string{"/x", "/v1/attempts/abc", "/healthz"} {
		if resp, _ := call(t, "POST", addr, path, `{"outcome":"served"}`, append([]string{"X-Forwarded-For", "127.9.9.9"}, plain...)...); resp.StatusCode != 401 {
			t.Errorf("%s: %d", path, resp.StatusCode)
		}
	}
	if len(f.asked) > 0 {
		t.Fatal("the core was asked")
	}
}

func TestReports(t *testing.T) {
	f := &fake{report: func(name string, o lease.Outcome) core.ReportResult {
		switch name {
		case "gone":
			return core.ReportResult{Err: lease.ErrUnknown}
		case "late":
			return core.ReportResult{Err: lease.ErrLate, State: lease.Expired}
		case "other":
			return core.ReportResult{Err: lease.ErrConflict, State: lease.Served}
		case "again":
			return core.ReportResult{First: true, State: lease.Granted, Next: core.Answer{Kind: core.Granted, Grant: core.Grant{Lease: "next", Addr: "10.0.0.2:99"}}}
		}
		return core.ReportResult{First: true, State: lease.Served}
	}}
	addr, _ := start(t, f, nil)
	for _, c := range []struct {
		path, body string
		status     int
		want       string
	}{
		{"/v1/attempts/abc", `{"outcome":"served","took_ms":12}`, 200, `"state":"served"`},
		{"/v1/attempts/again", `{"outcome":"failed"}`, 200, `"X-Hitch-Lease":"next"`},
		{"/v1/attempts/gone", `{"outcome":"served"}`, 404, "no such lease"},
		{"/v1/attempts/late", `{"outcome":"served"}`, 410, "run out"},
		{"/v1/attempts/other", `{"outcome":"failed"}`, 409, "stands"},
		{"/v1/attempts/abc", `{"outcome":"fine"}`, 400, `outcome \"fine\"`},
		{"/v1/attempts/abc", `{"result":"served"}`, 400, "unknown field"},
		{"/v1/attempts/abc", `{`, 400, "cannot be read"},
		{"/v1/attempts/abc", `{"outcome":"` + strings.Repeat("x", 2000) + `"}`, 413, "too large"},
		{"/v1/attempts", `[{"lease":"abc","outcome":"served"},{"lease":"gone","outcome":"served"}]`, 200, `"status":404`},
		{"/v1/attempts", `[{"lease":"a","outcome":"served"},{"lease":"a","outcome":"served"},{"lease":"a","outcome":"served"},{"lease":"a","outcome":"served"}]`, 413, "4 reports"},
	} {
		if resp, body := call(t, "POST", addr, c.path, c.body); resp.StatusCode != c.status || !strings.Contains(body, c.want) {
			t.Errorf("%s %.60s: %d %s", c.path, c.body, resp.StatusCode, body)
		}
	}
}

// Headers without end, headers that dribble in, idle connections by the thousand, calls beyond the most: each is bounded, and
// 10,000 bad requests leave nothing behind.
func TestHostile(t *testing.T) {
	f := &fake{answer: grantAll, left: make(chan string, 300)}
	addr, _ := start(t, f, nil)
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	fmt.Fprintf(nc, "GET / HTTP/1.1\r\nHost: x\r\nX-Big: ")
	go func() {
		chunk := bytes.Repeat([]byte("a"), 64<<10)
		for range 160 { // 10 MB
			if _, err := nc.Write(chunk); err != nil {
				return
			}
		}
	}()
	if line, err := bufio.NewReader(nc).ReadString('\n'); err == nil && !strings.Contains(line, "431") {
		t.Errorf("10 MB of headers: %q", line)
	}
	slow, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	began := time.Now()
	fmt.Fprintf(slow, "GET / HTTP/1.1\r\n")
	slow.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.ReadAll(slow); err != nil || time.Since(began) > 15*time.Second {
		t.Errorf("a client that dribbles is kept: %v", err)
	}
	var idle []net.Conn
	for range 5000 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		idle = append(idle, c)
		if len(idle) == 250 { // beyond the most they are closed at once: the oldest places stay theirs until their time is up
			for _, c := range idle {
				c.Close()
			}
			idle = nil
		}
	}
	ended := func() bool {
		resp, err := http.Get("http://" + addr + "/healthz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	}
	for end := time.Now().Add(20 * time.Second); !ended(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no room again after the idle connections")
		}
	}
	bad := func(n int) {
		for i := range n {
			resp, _ := call(t, "GET", addr, "/x", "", "X-Hitch-Class", fmt.Sprint("c", i), "X-Hitch-Plan", "storby", "X-Hitch-Channel", "3e9")
			if resp.StatusCode != 400 {
				t.Fatal(resp.StatusCode)
			}
		}
	}
	heap := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	bad(500)
	before := heap()
	bad(10000)
	if after := heap(); after > before+4<<20 {
		t.Errorf("10,000 bad requests leave %d bytes", after-before)
	}
}

// Beyond the most calls at once further ones are told to come back; a caller that leaves is told of.
func TestBounds(t *testing.T) {
	f := &fake{left: make(chan string, 10)}
	addr, _ := start(t, f, func(c *Config) { c.MaxCalls = 1 })
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(plain); i += 2 {
		req.Header.Set(plain[i], plain[i+1])
	}
	req.Header.Set("X-Hitch-Id", "first")
	done := make(chan struct{})
	go func() {
		defer close(done)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	for {
		f.mu.Lock()
		n := len(f.asked)
		f.mu.Unlock()
		if n > 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if resp, _ := call(t, "GET", addr, "/x", "", plain...); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Fatal(resp.StatusCode, resp.Header)
	}
	cancel()
	<-done
	if id := <-f.left; id != "first" {
		t.Fatal(id)
	}
}

// HTTP/2 without TLS is spoken as well.
func TestH2C(t *testing.T) {
	f := &fake{answer: grantAll}
	addr, _ := start(t, f, nil)
	tr := &http.Transport{Protocols: new(http.Protocols)}
	tr.Protocols.SetUnencryptedHTTP2(true)
	defer tr.CloseIdleConnections()
	req, err := http.NewRequest("GET", "http://"+addr+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(plain); i += 2 {
		req.Header.Set(plain[i], plain[i+1])
	}
	resp, err := (&http.Client{Transport: tr}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.ProtoMajor != 2 || resp.StatusCode != 200 {
		t.Fatal(resp.Proto, resp.StatusCode)
	}
}

// Whatever the target, what comes out can be read in one way only.
func FuzzSegments(f *testing.F) {
	for _, s := range []string{"/a/b", "/a/%2e%2e/b", "//", "/a;b", "/%", "/a?b#c"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, target string) {
		segs, err := Segments(target)
		if err != nil {
			return
		}
		for i, s := range segs {
			if s == "." || s == ".." || strings.ContainsAny(s, "/\\;%\x00\r\n") || s == "" && i != len(segs)-1 {
				t.Fatalf("%q: %q", target, segs)
			}
		}
	})
}

// Whatever a report's body, the answer is one of the known statuses.
func FuzzReport(f *testing.F) {
	f.Add(`{"outcome":"served"}`)
	front := New(Config{Header: "X-Hitch", MaxCalls: 1, MaxConnections: 1, MaxBodyBytes: 1024, MaxReports: 3}, &Table{}, &fake{report: func(string, lease.Outcome) core.ReportResult { return core.ReportResult{First: true} }},
		slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	f.Fuzz(func(t *testing.T, body string) {
		var in reportBody
		if json.Unmarshal([]byte(body), &in) != nil {
			return
		}
		out, ok := front.reportOutcome(context.Background(), in)
		if !ok || out.Status != 200 && out.Status != 400 {
			t.Fatalf("%q: %+v", body, out)
		}
	})
}
