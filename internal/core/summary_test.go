package core

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/policy"
)

// A line a second says what came and how it ended, and why; the next one begins from nothing.
func TestSummary(t *testing.T) {
	var out bytes.Buffer
	cfg := testConfig("", discovery.List{})
	cfg.Summary = time.Second
	g, err := New(cfg, slog.New(slog.NewTextHandler(&out, nil)))
	if err != nil {
		t.Fatal(err)
	}
	run(t, g)
	g.startSummary()
	p := &place{}
	g.handle(requestArrived{&Request{Request: policy.Request{Class: "read", Plan: "p", Units: 1, GiveUpAt: g.now + 200*time.Millisecond}, Sink: p, ClientID: 1, Command: noCommand{}}})
	for range 220 { // the module's sweeps are timers too
		g.now += 10 * time.Millisecond
		g.fireTimers()
	}
	if p.got.Kind != Rejected {
		t.Fatalf("answer %+v, want a refusal: there is no node", p.got)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) < 2 || len(lines) > 3 {
		t.Fatalf("%d lines in 2.2 s:\n%s", len(lines), out.String())
	}
	all := strings.Join(lines, "\n")
	if strings.Count(all, "arrived=1") != 1 || strings.Count(all, "refused.no-server=1") != 1 || strings.Contains(all, "held=") {
		t.Errorf("lines:\n%s\nwant one arrival and one refusal for want of a node, each once", all)
	}
}

// Without the option nothing is counted and nothing written.
func TestNoSummary(t *testing.T) {
	g := idleGateway(t, "127.0.0.1:1")
	g.startSummary()
	if g.summary != nil {
		t.Error("it sums up though nobody asked")
	}
	g.summary.add(summaryArrived, 1)
	g.summary.addRejection(policy.Quota)
	g.summary.addFailure(policy.Quota)
	g.summary.addAttempt(0, time.Second)
	g.summary.addAttemptEnd(policy.Succeeded)
	g.summary.addServed(1, 2)
	g.summary.addCounterReply(policy.Succeeded, 1)
}
