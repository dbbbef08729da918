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

// ingress grants its backends in turn, and records calls and reports.
type ingress struct {
	mu       sync.Mutex // guards calls and reports
	backends []string
	within   time.Duration
	status   int // in place of a grant
	calls    []http.Header
	reports  []string
}

// grant returns the headers of the nth grant.
func (s *ingress) grant(n int) map[string]string {
	return map[string]string{
		"X-Hitch-Node":            s.backends[n%len(s.backends)],
		"X-Hitch-Lease":           fmt.Sprint("lease", n),
		"X-Hitch-Start-Within-Ms": strconv.FormatInt(s.within.Milliseconds(), 10),
		"X-Hitch-Ends-Within-Ms":  "5000",
	}
}

func (s *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// serveReport records a report and grants another attempt after one that was not served.
func (s *ingress) serveReport(w http.ResponseWriter, r *http.Request, lease string) {
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

// faultCase is a request under a fault, and what becomes of it.
type faultCase struct {
	rule     string // empty: no fault
	backends []string
	within   time.Duration // the ingress's limit for the start of an attempt
	status   int           // the ingress's answer in place of a grant

	kind    string
	reports string
	sent    int // commands that reached the good backend
}

// By each fault the gate sends, reports and answers as the script says, and as it ought to without one.
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
			before := len(good.Seen())
			checkFault(t, c)
			if got := len(good.Seen()) - before; got != c.sent {
				t.Errorf("commands sent: got %d, want %d", got, c.sent)
			}
		})
	}
}

// checkFault carries a request through, and checks the result, the reports and the last call.
func checkFault(t *testing.T, c faultCase) {
	t.Helper()
	s := &ingress{backends: c.backends, within: c.within, status: c.status}
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
	if c.status == 429 && result.After != 70*time.Millisecond {
		t.Errorf("retry after: got %v, want 70ms", result.After)
	}
	if got := strings.Join(s.reports, ","); got != c.reports {
		t.Errorf("reports: got %q, want %q", got, c.reports)
	}
	checkCall(t, s.calls[len(s.calls)-1])
}

// checkCall checks what the gate tells the ingress of a request.
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

// A client's request over HTTP goes through, and one that cannot be read is answered with 400.
func TestPlainHTTP(t *testing.T) {
	backend := scripted.NewBackend(t, func(int, []string, net.Conn) string { return scripted.Served })
	server := httptest.NewServer(&ingress{backends: []string{backend.Addr}, within: time.Second})
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
