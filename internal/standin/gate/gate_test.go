package gate

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"hitchspring/internal/standin/fault"
	"hitchspring/internal/standin/scripted"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// ingress is what a gate asks: it grants the nodes in turn, and keeps what it was asked and told.
type ingress struct {
	mu      sync.Mutex
	nodes   []string
	asks    []http.Header
	reports []string
	within  time.Duration
	status  int // in place of a grant
}

func (s *ingress) grant(n int) map[string]string {
	return map[string]string{"X-Hitch-Node": s.nodes[n%len(s.nodes)], "X-Hitch-Lease": fmt.Sprint("lease", n), "X-Hitch-Start-Within-Ms": fmt.Sprint(s.within.Milliseconds()), "X-Hitch-Ends-Within-Ms": "5000"}
}

func (s *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lease, ok := strings.CutPrefix(r.URL.Path, "/v1/attempts/"); ok {
		b, _ := io.ReadAll(r.Body)
		var in struct{ Outcome string }
		json.Unmarshal(b, &in)
		s.reports = append(s.reports, lease+" "+in.Outcome)
		out := map[string]any{"status": 200}
		if in.Outcome == "failed" || in.Outcome == "refused" {
			out["next"] = s.grant(len(s.reports))
		}
		json.NewEncoder(w).Encode(out)
		return
	}
	s.asks = append(s.asks, r.Header.Clone())
	if s.status != 0 {
		w.Header().Set("X-Hitch-Retry-After-Ms", "70")
		w.WriteHeader(s.status)
		return
	}
	for k, v := range s.grant(0) {
		w.Header().Set(k, v)
	}
}

// By each fault the gate sends, reports and answers as the script says, and as it ought to without one.
func TestFaults(t *testing.T) {
	const value = "*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
	good := scripted.NewBackend(t, func(int, []string, net.Conn) string { return value })
	full := scripted.NewBackend(t, func(int, []string, net.Conn) string { return "-BUSY\r\n" })
	for name, c := range map[string]struct {
		rule    string
		nodes   []string
		within  time.Duration
		status  int
		kind    string
		reports string
		sent    int
	}{
		"none":            {"", []string{good.Addr}, time.Second, 0, "served", "lease0 served", 1},
		"refused":         {"", []string{good.Addr}, time.Second, 429, "refused", "", 0},
		"failed":          {"", []string{good.Addr}, time.Second, 503, "failed", "", 0},
		"another node":    {"", []string{full.Addr, good.Addr}, time.Second, 0, "served", "lease0 refused,lease1 served", 1},
		"no such node":    {"", []string{"127.0.0.1:1", good.Addr}, time.Second, 0, "served", "lease0 refused,lease1 served", 1},
		"dies":            {"drop-after", []string{good.Addr}, time.Second, 0, "failed", "", 0},
		"ignores":         {"ignore", []string{good.Addr}, time.Second, 0, "refused", "", 0},
		"sends too late":  {"delay 100ms", []string{good.Addr}, 50 * time.Millisecond, 0, "refused", "lease0 unsent", 0},
		"sends later":     {"delay 100ms", []string{good.Addr}, time.Second, 0, "served", "lease0 served", 1},
		"never reports":   {"swallow", []string{good.Addr}, time.Second, 0, "served", "", 1},
		"reports twice":   {"repeat", []string{good.Addr}, time.Second, 0, "served", "lease0 served,lease0 served", 1},
		"hangs up, again": {"drop-before", []string{good.Addr}, time.Second, 0, "served", "lease0 served", 1},
	} {
		s := &ingress{nodes: c.nodes, within: c.within, status: c.status}
		srv := httptest.NewServer(s)
		g := New(strings.TrimPrefix(srv.URL, "http://"), 1)
		if c.rule != "" {
			r, err := fault.Parse(c.rule)
			if err != nil {
				t.Fatal(err)
			}
			g.Fault(r)
		}
		before := len(good.Seen())
		res := g.Do(context.Background(), Request{ID: "00000000000000aa", Channel: "00000000000003e9", Class: "publish", Plan: "storby", Key: "k", Units: 2, Spread: 1, Wait: 3 * time.Second})
		if res.Kind != c.kind || c.kind == "served" && res.Value != "value" || c.status == 429 && res.After != 70*time.Millisecond {
			t.Errorf("%s: %+v", name, res)
		}
		if got := strings.Join(s.reports, ","); got != c.reports {
			t.Errorf("%s: reported %q, want %q", name, got, c.reports)
		}
		if got := len(good.Seen()) - before; got != c.sent {
			t.Errorf("%s: %d sent, want %d", name, got, c.sent)
		}
		if h := s.asks[len(s.asks)-1]; h.Get("X-Hitch-Id") != "00000000000000aa" || h.Get("X-Hitch-Units") != "2" || h.Get("X-Hitch-Key") != "k" || h.Get("X-Forwarded-Uri") == "" {
			t.Errorf("%s: asked %v", name, h)
		}
		g.Close()
		srv.Close()
	}
}

// A client's plain request goes through, and what cannot be read is said.
func TestPlainHTTP(t *testing.T) {
	node := scripted.NewBackend(t, func(int, []string, net.Conn) string { return "*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n" })
	srv := httptest.NewServer(&ingress{nodes: []string{node.Addr}, within: time.Second})
	defer srv.Close()
	g := New(strings.TrimPrefix(srv.URL, "http://"), 1)
	defer g.Close()
	for path, want := range map[string]int{"/3e9/read?plan=p": 200, "/zz/read": 400, "/3e9": 400, "/3e9/read?id=x": 400} {
		w := httptest.NewRecorder()
		g.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
		if w.Code != want {
			t.Errorf("%s: %d, want %d", path, w.Code, want)
		}
	}
}
