package gate

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"hitchspring/internal/standin/fault"
	"hitchspring/internal/standin/scripted"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeIngress is a fake ingress that grants its backends in turn, and records calls and reports.
type fakeIngress struct {
	mu          sync.Mutex // guards calls and reports
	backends    []string
	startWithin time.Duration // time within which an attempt must start
	status      int           // status of the response to a call, in place of a grant; 0: grant
	calls       []http.Header
	reports     []string
}

// grant returns the headers of the nth grant.
func (s *fakeIngress) grant(n int) map[string]string {
	return map[string]string{
		"X-Hitch-Node":            s.backends[n%len(s.backends)],
		"X-Hitch-Lease":           fmt.Sprint("lease", n),
		"X-Hitch-Start-Within-Ms": strconv.FormatInt(s.startWithin.Milliseconds(), 10),
		"X-Hitch-Ends-Within-Ms":  "5000",
	}
}

func (s *fakeIngress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lease, ok := strings.CutPrefix(r.URL.Path, "/v1/attempts/"); ok {
		s.serveReport(w, r, lease)
		return
	}
	s.calls = append(s.calls, r.Header.Clone())
	if s.status != 0 {
		w.Header().Set("X-Hitch-Retry-After-Ms", "70")
		w.WriteHeader(s.status)
		return
	}
	for name, value := range s.grant(0) {
		w.Header().Set(name, value)
	}
}

// serveReport records a report, and grants another attempt if the reported one failed or was refused.
func (s *fakeIngress) serveReport(w http.ResponseWriter, r *http.Request, lease string) {
	var report struct{ Outcome string }
	if err := json.NewDecoder(r.Body).Decode(&report); err != nil {
		report.Outcome = err.Error()
	}
	s.reports = append(s.reports, lease+" "+report.Outcome)
	answer := map[string]any{"status": 200}
	if report.Outcome == "failed" || report.Outcome == "refused" {
		answer["next"] = s.grant(len(s.reports))
	}
	json.NewEncoder(w).Encode(answer)
}

// faultCase is a request under a fault, and the expected result.
type faultCase struct {
	rule        string // empty: no fault
	backends    []string
	startWithin time.Duration // time within which an attempt must start
	status      int           // status that the ingress returns in place of a grant; 0: grant

	kind         string // expected Result.Kind
	reports      string // expected reports
	sentCommands int    // expected number of commands at the working backend
}

// With each fault, and without one, the gate sends, reports and answers as documented.
func TestFaults(t *testing.T) {
	const second = time.Second
	good := scripted.NewBackend(t, func(int, []string, net.Conn) string { return scripted.Served })
	full := scripted.NewBackend(t, func(int, []string, net.Conn) string { return "-BUSY\r\n" })
	alone := []string{good.Addr}
	afterFull := []string{full.Addr, good.Addr}
	afterNone := []string{"127.0.0.1:1", good.Addr}
	for name, c := range map[string]faultCase{
		"none":            {"", alone, second, 0, "served", "lease0 served", 1},
		"rejected":        {"", alone, second, 429, "refused", "", 0},
		"failed":          {"", alone, second, 503, "failed", "", 0},
		"another backend": {"", afterFull, second, 0, "served", "lease0 refused,lease1 served", 1},
		"no such backend": {"", afterNone, second, 0, "served", "lease0 refused,lease1 served", 1},
		"dies":            {"drop-after", alone, second, 0, "failed", "", 0},
		"ignores":         {"ignore", alone, second, 0, "refused", "", 0},
		"sends too late":  {"delay 100ms", alone, 50 * time.Millisecond, 0, "refused", "lease0 unsent", 0},
		"sends later":     {"delay 100ms", alone, second, 0, "served", "lease0 served", 1},
		"never reports":   {"swallow", alone, second, 0, "served", "", 1},
		"reports twice":   {"repeat", alone, second, 0, "served", "lease0 served,lease0 served", 1},
		"hangs up, again": {"drop-before", alone, second, 0, "served", "lease0 served", 1},
	} {
		t.Run(name, func(t *testing.T) {
			before := len(good.Commands())
			checkFault(t, c)
			if got := len(good.Commands()) - before; got != c.sentCommands {
				t.Errorf("commands sent: got %d, want %d", got, c.sentCommands)
			}
		})
	}
}

// checkFault makes one request and checks its result, the reports, and the last call to the ingress.
func checkFault(t *testing.T, c faultCase) {
	t.Helper()
	s := &fakeIngress{backends: c.backends, startWithin: c.startWithin, status: c.status}
	server := httptest.NewServer(s)
	defer server.Close()
	g := New(strings.TrimPrefix(server.URL, "http://"), 1)
	defer g.Close()
	if c.rule != "" {
		rule, err := fault.Parse(c.rule)
		if err != nil {
			t.Fatal(err)
		}
		g.Fault(rule)
	}
	result := g.Do(t.Context(), Request{
		ID: "00000000000000aa", Channel: "00000000000003e9", Class: "publish", Plan: "storby", Key: "k",
		Units: 2, Spread: 1, Wait: 3 * time.Second,
	})
	if result.Kind != c.kind || c.kind == "served" && result.Value != "value" {
		t.Errorf("result: got %+v, want %s", result, c.kind)
	}
	if c.status == 429 && result.RetryAfter != 70*time.Millisecond {
		t.Errorf("retry after: got %v, want 70ms", result.RetryAfter)
	}
	if got := strings.Join(s.reports, ","); got != c.reports {
		t.Errorf("reports: got %q, want %q", got, c.reports)
	}
	checkCall(t, s.calls[len(s.calls)-1])
}

// checkCall checks the headers that describe a request to the ingress.
func checkCall(t *testing.T, header http.Header) {
	t.Helper()
	for name, want := range map[string]string{
		"X-Hitch-Id":      "00000000000000aa",
		"X-Hitch-Units":   "2",
		"X-Hitch-Key":     "k",
		"X-Forwarded-Uri": "/channels/00000000000003e9/publish",
	} {
		if got := header.Get(name); got != want {
			t.Errorf("header %s: got %q, want %q", name, got, want)
		}
	}
}

// A valid client request over HTTP is served, and an invalid one is answered with 400.
func TestPlainHTTP(t *testing.T) {
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string { return scripted.Served })
	server := httptest.NewServer(&fakeIngress{backends: []string{backend.Addr}, startWithin: time.Second})
	defer server.Close()
	g := New(strings.TrimPrefix(server.URL, "http://"), 1)
	defer g.Close()
	for path, want := range map[string]int{
		"/3e9/read?plan=p": 200,
		"/zz/read":         400,
		"/3e9":             400,
		"/3e9/read?id=x":   400,
	} {
		w := httptest.NewRecorder()
		g.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
		if w.Code != want {
			t.Errorf("%s: got status %d, want %d", path, w.Code, want)
		}
	}
}
