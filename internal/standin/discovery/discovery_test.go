package discovery

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"
)

// getList requests the list or a watch from an agent and returns a scanner over the lines of the response.
func getList(t *testing.T, url string) *bufio.Scanner {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return bufio.NewScanner(resp.Body)
}

// nextList reads the next list, skipping empty lines.
func nextList(t *testing.T, lines *bufio.Scanner) (l list) {
	t.Helper()
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			t.Fatal(err)
		}
		return l
	}
	t.Fatal("watch ended unexpectedly")
	return l
}

// checkList reads the next list and checks its revision and the state of its only endpoint. An empty state means that
// no endpoint is expected.
func checkList(t *testing.T, lines *bufio.Scanner, revision int64, state string) {
	t.Helper()
	got := nextList(t, lines)
	ok := got.Rev == revision
	if state == "" {
		ok = ok && len(got.Targets) == 0
	} else {
		ok = ok && len(got.Targets) == 1 && got.Targets[0].State == state
	}
	if !ok {
		t.Fatalf("list: got %+v, want revision %d, state %q", got, revision, state)
	}
}

// A change is written to an open watch after the delay and recorded with its time. A list request and a new watch
// return the current list.
func TestWatch(t *testing.T) {
	began := time.Now()
	r := New(1, func() time.Duration { return time.Since(began) }, 50*time.Millisecond, 60*time.Millisecond)
	t.Cleanup(r.Close)
	addr, err := r.AddAgent()
	if err != nil {
		t.Fatal(err)
	}
	r.Set(Target{UID: "a", Endpoint: "127.0.0.1:1", State: "SERVING"}, true)
	url := "http://" + addr + "/registry/instances"
	checkList(t, getList(t, url), 2, "SERVING")
	watch := getList(t, url+"?follow=1&since=0")
	checkList(t, watch, 2, "SERVING")
	set := time.Since(began)
	r.Set(Target{UID: "a", Endpoint: "127.0.0.1:1", State: "DRAINING"}, false)
	checkList(t, watch, 3, "DRAINING")
	r.Set(Target{UID: "a", State: "DELETED"}, true)
	checkList(t, watch, 4, "")
	for end := time.Now().Add(10 * time.Second); len(r.Notifications()) < 4 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	got := r.Notifications() // from the list request, the watch's first list, and the two changes
	if len(got) != 4 {
		t.Fatalf("notifications: got %+v, want 4", got)
	}
	if got[2].State != "DRAINING" || got[2].At < set+50*time.Millisecond {
		t.Errorf("third notification: got %+v, want DRAINING 50 ms after %v at the earliest", got[2], set)
	}
	if got[3].State != "DELETED" {
		t.Errorf("fourth notification: got %+v, want DELETED", got[3])
	}
}

// A failing agent aborts its watches and answers requests according to its failure mode. A limited agent rejects calls
// that would wait too long.
func TestFailAndLimit(t *testing.T) {
	r := New(1, func() time.Duration { return 0 }, 0, time.Millisecond)
	t.Cleanup(r.Close)
	addr, err := r.AddAgent()
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + addr + "/registry/instances"
	status := func() int {
		resp, err := http.Get(url)
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	watch, err := http.Get(url + "?follow=1&since=0")
	if err != nil {
		t.Fatal(err)
	}
	defer watch.Body.Close()
	for failure, want := range map[Failure]int{Rejecting: 503, Resetting: 0, Answering: 200} {
		r.Fail(0, failure)
		if got := status(); got != want {
			t.Errorf("agent %v: got status %d, want %d", failure, got, want)
		}
	}
	if _, err := io.Copy(io.Discard, watch.Body); err == nil {
		t.Error("the watch ended without an error, want a reset")
	}
	r.Fail(0, Answering)
	r.Limit(0, time.Minute, time.Second)
	if got := status(); got != 503 {
		t.Errorf("call that would wait for a minute: got status %d, want 503", got)
	}
	if r.MaxCallsPerSecond(0) == 0 {
		t.Error("calls within a second: got 0, want more")
	}
}
