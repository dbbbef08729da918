package peers

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"hitchspring/internal/gossip"
	"hitchspring/internal/swim"
)

// 350 instances join one group, and the facts of two of them about 600 backends
// each reach all instances.
func TestManyInstances(t *testing.T) {
	const instances, backends = 350, 600
	n := newNetwork(t, 21)
	n.startMany(instances)
	joined, ok := n.runUntil(2*time.Minute, func() bool { return n.allSee(instances - 1) })
	if !ok {
		t.Fatal("the instances have not joined one group")
	}
	for _, owner := range n.addrs[:2] {
		for i := range backends {
			subject := fmt.Sprintf("backend-%05d", i)
			if !n.engines[owner].Publish("node", subject, n.now, make([]byte, 32)) {
				t.Fatalf("%s: fact %d rejected as full", owner, i)
			}
		}
	}
	spread, ok := n.runUntil(30*time.Second, func() bool {
		for _, addr := range n.addrs {
			if n.engines[addr].Store().Len() != 2*backends {
				return false
			}
		}
		return true
	})
	if !ok {
		t.Fatal("the facts have not reached all instances")
	}
	t.Logf("joined after %v, all facts at all instances after %v", joined, spread)
	for _, addr := range n.addrs {
		facts, members := n.engines[addr].Store().Counts(), n.engines[addr].Membership().Counts()
		if facts.Full > 0 || members.Full > 0 {
			t.Fatalf("%s: got %+v and %+v, want nothing rejected as full", addr, facts, members)
		}
	}
}

// newUnstarted returns an instance without a socket that reads its clock from now.
func newUnstarted(t *testing.T, log *logBuffer, now *time.Duration) *Peers {
	t.Helper()
	n := newNetwork(t, 1)
	return &Peers{
		engine:    n.startInstance("self", 1),
		log:       slog.New(slog.NewTextHandler(log, nil)),
		sendQueue: make(chan outgoingMessage, maxQueuedSends),
		cfg:       Config{Name: "self", Clock: func() time.Duration { return *now }},
	}
}

// requireCounts checks how often each text was logged.
func requireCounts(t *testing.T, log *logBuffer, want map[string]int) {
	t.Helper()
	for text, n := range want {
		if got := log.count(text); got != n {
			t.Fatalf("%q: got %d lines, want %d; log:\n%s", text, got, n, log.String())
		}
	}
}

// A bound that is reached repeatedly is logged immediately, then once per
// summaryInterval with the number of times. When it is no longer reached, nothing
// more is logged.
func TestFullStoreLogsOneLine(t *testing.T) {
	const line = "facts rejected, store is full"
	log, now := &logBuffer{}, time.Hour
	p := newUnstarted(t, log, &now)
	for i := range gossip.MaxFactsPerOwner {
		p.engine.Publish("node", fmt.Sprint(i), now, nil)
	}
	p.reportBounds(now)
	requireCounts(t, log, map[string]int{line: 0})
	for i := range 500 {
		p.engine.Publish("node", fmt.Sprint("more", i), now, nil)
		p.reportBounds(now)
	}
	requireCounts(t, log, map[string]int{line: 1, "rejected=1 stored=8192": 1})
	now += summaryInterval
	p.reportBounds(now)
	requireCounts(t, log, map[string]int{line: 2, "rejected=499 ": 1})
	now += summaryInterval
	p.reportBounds(now)
	requireCounts(t, log, map[string]int{line: 2})
	if got := p.engine.facts.Len(); got != gossip.MaxFactsPerOwner {
		t.Fatalf("got %d facts, want %d", got, gossip.MaxFactsPerOwner)
	}
}

// The send queue has capacity for one message to each of 1,024 members. Further
// messages are dropped, counted and logged in one line.
func TestFullSendQueueLogsOneLine(t *testing.T) {
	const line = "outgoing messages dropped, send queue is full"
	log, now := &logBuffer{}, time.Hour
	p := newUnstarted(t, log, &now)
	for i := range 1024 {
		p.Send(fmt.Sprint("member", i), nil)
	}
	p.reportBounds(now)
	requireCounts(t, log, map[string]int{line: 0})
	for i := range 30 {
		p.Send(fmt.Sprint("member", i), nil)
	}
	p.reportBounds(now)
	p.reportBounds(now)
	requireCounts(t, log, map[string]int{line: 1, "dropped=30 ": 1})
	if len(p.sendQueue) != 1024 || p.droppedSends.Load() != 30 {
		t.Fatalf("got %d queued and %d dropped, want 1024 and 30", len(p.sendQueue), p.droppedSends.Load())
	}
}

// A message that is too large for a datagram is counted and logged in one line.
func TestOversizedMessageLogsOneLine(t *testing.T) {
	log, now := &logBuffer{}, 3*time.Second
	n := newNetwork(t, 5)
	n.startMany(2)
	n.run(now)
	p := newUnstarted(t, log, &now)
	p.engine = n.engines["at-i0000"]
	if out := p.engine.SendMessage(now, "i0001", make([]byte, MaxMessage)); len(out) != 1 {
		t.Fatalf("got %d packets of the largest message, want 1", len(out))
	}
	if out := p.engine.SendMessage(now, "i0001", make([]byte, MaxMessage+1)); len(out) != 0 {
		t.Fatalf("got %d packets of a larger message, want none", len(out))
	}
	p.reportBounds(now)
	p.reportBounds(now)
	requireCounts(t, log, map[string]int{"outgoing messages dropped, too large": 1, "dropped=1 ": 1})
}

// When hundreds of members join at the same time, only maxLinesPerSecond lines are
// logged, and further lines say how many were omitted.
func TestOmittedLinesAreCounted(t *testing.T) {
	log, now := &logBuffer{}, time.Hour
	p := newUnstarted(t, log, &now)
	p.logLimit.since = time.Now().Add(time.Hour) // keeps the limiter in the same second
	for i := range 350 {
		p.reportChanges([]swim.Change{{Update: swim.Update{Name: fmt.Sprint("member", i)}, New: true}})
		p.reportBounds(now)
	}
	now += summaryInterval
	p.reportBounds(now)
	p.reportBounds(now)
	requireCounts(t, log, map[string]int{
		"member joined":                maxLinesPerSecond,
		"log lines on members omitted": 2,
		"omitted=1 ":                   1,
		"omitted=329 ":                 1,
	})
}
