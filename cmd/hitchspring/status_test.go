package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"hitchspring/internal/core"
	"hitchspring/internal/overrun"
	"hitchspring/policy"
)

// printed runs a status command against a server that answers so, and returns what it prints.
func printed(t *testing.T, answer http.HandlerFunc, args ...string) (string, error) {
	t.Helper()
	s := httptest.NewServer(answer)
	defer s.Close()
	var out strings.Builder
	err := runCommand(append(append([]string{"status"}, args...), "--at", strings.TrimPrefix(s.URL, "http://")), &out, slog.New(slog.DiscardHandler))
	return out.String(), err
}

// What 60 instances say of each of 1,200 nodes, some 6 MB, is shown whole.
func TestStatusOfManyNodes(t *testing.T) {
	var s core.BackendsStatus
	for i := range 1200 {
		n := core.BackendStatus{Backend: policy.BackendID(fmt.Sprintf("node-%04d", i)), PeerSlowness: 1}
		for w := range 60 {
			n.Reports = append(n.Reports, core.PeerReport{Owner: fmt.Sprintf("instance-%03d", w), Zone: "zone-a", Cause: "slow", Bad: 1})
		}
		s.Backends = append(s.Backends, n)
	}
	text, err := json.Marshal(s)
	if err != nil || len(text) < 5<<20 {
		t.Fatal(len(text), err)
	}
	out, err := printed(t, func(w http.ResponseWriter, _ *http.Request) { w.Write(text) }, "nodes")
	if err != nil || strings.Count(out, "instance-059") != 1200 {
		t.Fatal(err, strings.Count(out, "instance-059"))
	}
}

// An answer beyond the bound is one error that says so; a part of it is never printed, as JSON neither.
func TestStatusAnswerTooLarge(t *testing.T) {
	large := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(maxStatusBytes+1))
		io.WriteString(w, "{}")
	}
	for _, args := range [][]string{{"nodes"}, {"nodes", "--json"}} {
		out, err := printed(t, large, args...)
		if out != "" || err == nil || !strings.Contains(err.Error(), "status nodes: 127.0.0.1:") ||
			!strings.Contains(err.Error(), "the answer is larger than 67108864 bytes") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %d bytes, %v", args, len(out), err)
		}
	}
}

// An answer that does not say its size is read up to the bound, whole or not at all.
func TestReadAnswer(t *testing.T) {
	for size, whole := range map[int]bool{0: true, 999: true, 1000: true, 1001: false, 1 << 20: false} {
		body := strings.NewReader(strings.Repeat("x", size))
		text, err := readBody(&http.Response{ContentLength: -1, Body: io.NopCloser(body)}, 1000)
		if whole != (err == nil) || whole && len(text) != size || !whole && text != nil {
			t.Errorf("%d bytes: %d read, %v", size, len(text), err)
		}
		if read := size - body.Len(); read > 1001 {
			t.Errorf("%d bytes: %d were read", size, read)
		}
	}
}

// A list of budgets that is as long as it may be says that there may be more.
func TestStatusBudgetsAtTheBound(t *testing.T) {
	for _, n := range []int{core.MaxBoundsShown - 1, core.MaxBoundsShown} {
		out, err := printed(t, func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(make([]overrun.Bound, n)) }, "budgets")
		if err != nil {
			t.Fatal(err)
		}
		if said := strings.Contains(out, "the 1024 channels with the most demand are shown"); said != (n == core.MaxBoundsShown) {
			t.Errorf("%d budgets: said is %v", n, said)
		}
	}
}
