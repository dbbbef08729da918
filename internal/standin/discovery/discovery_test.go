package discovery

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"
)

// A change is written to each watch late, and the record says when it was; a list and a new watch show what holds.
func TestWatch(t *testing.T) {
	began := time.Now()
	r := New(1, func() time.Duration { return time.Since(began) }, 50*time.Millisecond, 60*time.Millisecond)
	t.Cleanup(r.Close)
	addr, err := r.Agent()
	if err != nil {
		t.Fatal(err)
	}
	r.Set(Target{UID: "a", Endpoint: "127.0.0.1:1", State: "SERVING"}, true)
	url := "http://" + addr + "/registry/instances"
	get := func(url string) *bufio.Scanner {
		t.Helper()
		resp, err := http.Get(url)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { resp.Body.Close() })
		return bufio.NewScanner(resp.Body)
	}
	next := func(s *bufio.Scanner) (l list) {
		t.Helper()
		for s.Scan() {
			if len(s.Bytes()) > 0 {
				if err := json.Unmarshal(s.Bytes(), &l); err != nil {
					t.Fatal(err)
				}
				return l
			}
		}
		t.Fatal("the watch has ended")
		return l
	}
	if l := next(get(url)); l.Rev != 2 || len(l.Targets) != 1 {
		t.Fatalf("%+v", l)
	}
	watch := get(url + "?follow=1&since=0")
	if l := next(watch); l.Rev != 2 || l.Targets[0].State != "SERVING" {
		t.Fatalf("%+v", l)
	}
	set := time.Since(began)
	r.Set(Target{UID: "a", Endpoint: "127.0.0.1:1", State: "DRAINING"}, false)
	if l := next(watch); l.Rev != 3 || l.Targets[0].State != "DRAINING" {
		t.Fatalf("%+v", l)
	}
	r.Set(Target{UID: "a", State: "DELETED"}, true)
	if l := next(watch); l.Rev != 4 || len(l.Targets) != 0 {
		t.Fatalf("%+v", l)
	}
	for end := time.Now().Add(10 * time.Second); len(r.Notifications()) < 4 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	told := r.Notifications() // by the list, by the watch's first line, then the changes
	if len(told) != 4 || told[2].State != "DRAINING" || told[2].At < set+50*time.Millisecond || told[3].State != "DELETED" {
		t.Fatalf("%+v", told)
	}
}

// A failing agent breaks its watches and answers as it is told to; a limited one turns away what would wait for too long.
func TestFailAndLimit(t *testing.T) {
	r := New(1, func() time.Duration { return 0 }, 0, time.Millisecond)
	t.Cleanup(r.Close)
	addr, err := r.Agent()
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
	for failure, want := range map[Failure]int{TurningAway: 503, Resetting: 0, Answering: 200} {
		r.Fail(0, failure)
		if got := status(); got != want {
			t.Errorf("failure %d: status %d, want %d", failure, got, want)
		}
	}
	if _, err := io.Copy(io.Discard, watch.Body); err == nil {
		t.Error("the watch ended as if it were whole")
	}
	r.Fail(0, Answering)
	r.Limit(0, time.Minute, time.Second)
	if got := status(); got != 503 {
		t.Errorf("a call that would wait for a minute: status %d, want 503", got)
	}
	if r.Busiest(0) == 0 {
		t.Error("no calls were counted")
	}
}
