package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"hitchspring/internal/core"
	"hitchspring/internal/overrun"
	"hitchspring/policy"
)

// runStatus runs a status command against a server with the given handler and returns its output.
func runStatus(t *testing.T, answer http.HandlerFunc, args ...string) (string, error) {
	t.Helper()
	server := httptest.NewServer(answer)
	defer server.Close()
	all := append([]string{"status"}, args...)
	return runWithoutLog(append(all, "--at", strings.TrimPrefix(server.URL, "http://"))...)
}

// respond returns a handler that sends the same response to every request.
func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

// requireContains marks the test as failed unless text contains all of wants.
func requireContains(t *testing.T, text string, wants ...string) {
	t.Helper()
	for _, want := range wants {
		if !strings.Contains(text, want) {
			t.Errorf("got\n%s\nwant it with %q", text, want)
		}
	}
}

// The status of zones is printed as a table with reasons, or unchanged as JSON with --json.
func TestStatusZones(t *testing.T) {
	const answer = `{"own":"hall-a","reach":0.66,"planned":1,"spilled":0.97,
		"why":"the own hall is lost: 4 of 4 nodes failed for 30ms","halls":[
		{"name":"hall-a","tier":0,"state":"lost","why":"4 of 4 nodes failed for 30ms","nodes":4,"nominal":4,"price":1},
		{"name":"hall-b","tier":1,"state":"up","rate":-1,"price":1,"grey":true}]}`
	table, err := runStatus(t, respond(http.StatusOK, answer), "halls")
	if err != nil {
		t.Fatal(err)
	}
	requireContains(t, table, "hall-a   own       lost", "up (grey)",
		"3% kept, 97% spilled (planned at least 100%): the own hall is lost", "hall-a is lost: 4 of 4")
	text, err := runStatus(t, respond(http.StatusOK, answer), "halls", "--json")
	if err != nil {
		t.Fatal(err)
	}
	if text != answer {
		t.Errorf("got JSON %s, want the response unchanged: %s", text, answer)
	}
}

// A listener whose instance lacks the section, a server that does not send JSON, and a refused connection are one-line
// errors.
func TestStatusErrors(t *testing.T) {
	_, err := runStatus(t, respond(http.StatusServiceUnavailable, "[halls] is off"), "halls")
	requireOneLine(t, err, "503 Service Unavailable: [halls] is off")
	_, err = runStatus(t, respond(http.StatusOK, "hello"), "halls")
	requireOneLine(t, err, "something else")
	_, err = runWithoutLog("status", "halls", "--at", "127.0.0.1:1")
	requireOneLine(t, err, "status halls: ")
}

// The status of quotas is printed as a table; the flag --for is passed on as a query parameter.
func TestStatusQuotas(t *testing.T) {
	const answer = `[{"Customer":"c1","Plan":"storby","Mode":"alone","Ways":3,"Demand":40,"Age":1500000000,
		"Held":4.5,"Untold":2,"Room":-3,"For":10000000000,"Spend":91.2,"Uncounted":88.7}]`
	path := ""
	table, err := runStatus(t, func(w http.ResponseWriter, r *http.Request) {
		path = r.URL.String()
		io.WriteString(w, answer)
	}, "budgets", "--for", "10s")
	if err != nil {
		t.Fatal(err)
	}
	requireContains(t, table, "c1", "alone", "1.5s ago", "91.2", "88.7", "10s")
	if want := "/budgets?for=10s"; path != want {
		t.Errorf("got a request of %s, want %s", path, want)
	}
}

// A response of about 6 MB, with reports of 60 instances on each of 1,200 backends, is printed completely.
func TestStatusOfManyBackends(t *testing.T) {
	const backends, reporters, minBytes = 1200, 60, 5 << 20
	var status core.BackendsStatus
	for n := range backends {
		backend := core.BackendStatus{Backend: policy.BackendID(fmt.Sprintf("node-%04d", n)), PeerSlowness: 1}
		for r := range reporters {
			report := core.PeerReport{
				Owner: fmt.Sprintf("instance-%03d", r), Zone: "zone-a", Cause: "slow",
				FailureEvidence: 1,
			}
			backend.Reports = append(backend.Reports, report)
		}
		status.Backends = append(status.Backends, backend)
	}
	text, err := json.Marshal(status)
	if err != nil {
		t.Fatal(err)
	}
	if len(text) < minBytes {
		t.Fatalf("got an answer of %d bytes, want %d at least", len(text), minBytes)
	}
	out, err := runStatus(t, respond(http.StatusOK, string(text)), "nodes")
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(out, "instance-059"); got != backends {
		t.Fatalf("got %d reports of the last instance, want %d", got, backends)
	}
}

// A response larger than the maximum is an error that names the maximum. No part of it is printed, even with --json.
func TestStatusAnswerTooLarge(t *testing.T) {
	tooLarge := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(maxStatusBytes+1))
		io.WriteString(w, "{}")
	}
	for _, args := range [][]string{{"nodes"}, {"nodes", "--json"}} {
		out, err := runStatus(t, tooLarge, args...)
		if out != "" {
			t.Errorf("%q: got %d bytes printed, want none", args, len(out))
		}
		requireOneLine(t, err, "status nodes: 127.0.0.1:")
		requireOneLine(t, err, "the answer is larger than 67108864 bytes")
	}
}

// A body without a Content-Length is returned completely if it is at most as large as the maximum. Of a larger one
// nothing is returned, and reading stops one byte after the maximum.
func TestReadBody(t *testing.T) {
	const bound = 1000
	for _, test := range []struct {
		size     int
		complete bool
	}{{0, true}, {bound - 1, true}, {bound, true}, {bound + 1, false}, {1 << 20, false}} {
		t.Run(fmt.Sprint(test.size), func(t *testing.T) {
			content := strings.NewReader(strings.Repeat("x", test.size))
			body, err := readBody(&http.Response{ContentLength: -1, Body: io.NopCloser(content)}, bound)
			if test.complete {
				if err != nil || len(body) != test.size {
					t.Errorf("got %d bytes, %v, want %d and no error", len(body), err, test.size)
				}
			} else if want := bodyTooLargeError(bound); !errors.Is(err, want) || body != nil {
				t.Errorf("got %d bytes, %v, want none and %v", len(body), err, want)
			}
			if read := test.size - content.Len(); read > bound+1 {
				t.Errorf("got %d bytes read, want %d at most", read, bound+1)
			}
		})
	}
}

// The table of quotas has a note that there may be more only if the response has the maximum number of quotas.
func TestStatusQuotasAtTheBound(t *testing.T) {
	for _, count := range []int{core.MaxBoundsShown - 1, core.MaxBoundsShown} {
		out, err := runStatus(t, func(w http.ResponseWriter, _ *http.Request) {
			json.NewEncoder(w).Encode(make([]overrun.Bound, count))
		}, "budgets")
		if err != nil {
			t.Fatal(err)
		}
		got := strings.Contains(out, "the 1024 channels with the most demand are shown")
		if want := count == core.MaxBoundsShown; got != want {
			t.Errorf("%d quotas: got a note of more %v, want %v", count, got, want)
		}
	}
}
