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

// Each interval has one line, with the counts of requests, outcomes and reasons; the counts are reset after it.
func TestSummary(t *testing.T) {
	var out bytes.Buffer
	cfg := testConfig(discovery.List{})
	cfg.Summary = time.Second
	c := newTestCore(t, cfg, slog.New(slog.NewTextHandler(&out, nil)))
	loadEndpoints(t, c)
	c.startSummary()
	sink := &recordingSink{}
	r := newRequest(c, 1, sink)
	r.Spread, r.Size = 0, 0
	r.GiveUpAt = c.now + 200*time.Millisecond
	c.handle(requestArrived{r})
	for range 220 { // 2.2 s in short steps, since the engine's sweeps are timers too
		c.now += 10 * time.Millisecond
		c.fireTimers()
	}
	if sink.answer.Kind != Rejected {
		t.Fatalf("got answer %+v, want a rejection, since there is no backend", sink.answer)
	}
	text := strings.TrimSpace(out.String())
	if n := len(strings.Split(text, "\n")); n < 2 || n > 3 {
		t.Fatalf("got %d lines in 2.2 s, want 2 or 3:\n%s", n, text)
	}
	for _, count := range []string{"arrived=1", "refused.no-server=1"} {
		if n := strings.Count(text, count); n != 1 {
			t.Errorf("got %s %d times, want once:\n%s", count, n, text)
		}
	}
	if strings.Contains(text, "held=") {
		t.Errorf("got a count of queued requests, want none:\n%s", text)
	}
}

// Without an interval there is no summary, and all methods that count do nothing.
func TestNoSummary(t *testing.T) {
	c := newIdleCore(t, testConfig(endpointsAt("127.0.0.1:1")))
	c.startSummary()
	if c.summary != nil {
		t.Error("got a summary, want none")
	}
	c.summary.add(summaryArrived, 1)
	c.summary.addRejection(policy.Quota)
	c.summary.addFailure(policy.Quota)
	c.summary.addAttempt(0, time.Second)
	c.summary.addAttemptEnd(policy.Succeeded)
	c.summary.addServed(1, 2)
	c.summary.addCounterReply(policy.Succeeded, 1)
}
