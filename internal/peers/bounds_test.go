package peers

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"hitchspring/internal/gossip"
	"hitchspring/internal/swim"
)

// 350 processes find one another, and what two of them have seen of hundreds of backends is known to all.
func TestManyProcesses(t *testing.T) {
	const processes, backends = 350, 600
	n := newNetwork(t, 21)
	for i := range processes {
		n.startInstance(fmt.Sprintf("i%04d", i), uint64(100+i))
	}
	joined, ok := n.runUntil(2*time.Minute, func() bool {
		for _, a := range n.addrs {
			if n.engines[a].Membership().AliveCount() != processes-1 {
				return false
			}
		}
		return true
	})
	if !ok {
		t.Fatal("they have not found one another")
	}
	for _, owner := range n.addrs[:2] {
		for i := range backends {
			if !n.engines[owner].Publish("node", fmt.Sprintf("backend-%05d", i), n.now, make([]byte, 32)) {
				t.Fatalf("%s: no room for fact %d", owner, i)
			}
		}
	}
	told, ok := n.runUntil(30*time.Second, func() bool {
		for _, a := range n.addrs {
			if n.engines[a].Store().Len() != 2*backends {
				return false
			}
		}
		return true
	})
	if !ok {
		t.Fatal("not all of them know all facts")
	}
	t.Logf("joined after %v, all facts at all after %v", joined, told)
	for _, a := range n.addrs {
		if c := n.engines[a]; c.Store().Counts().Full > 0 || c.Membership().Counts().Full > 0 {
			t.Fatal(a, c.Store().Counts(), c.Membership().Counts())
		}
	}
}

// unstarted is an instance without a socket, on a clock of the test's.
func newUnstarted(t *testing.T, log *logBuffer, now *time.Duration) *Peers {
	n := newNetwork(t, 1)
	return &Peers{
		engine: n.startInstance("self", 1), log: slog.New(slog.NewTextHandler(log, nil)), sendQueue: make(chan outgoingMessage, maxQueuedSends),
		cfg: Config{Name: "self", Clock: func() time.Duration { return *now }},
	}
}

// A bound that is met again and again is one line at once and one in ten seconds after that, with how often; one that is met no
// more is none.
func TestFullFactsAreOneLine(t *testing.T) {
	const line = "no room for further facts"
	log, now := &logBuffer{}, time.Hour
	p := newUnstarted(t, log, &now)
	for i := range gossip.MaxFactsPerOwner {
		p.engine.Publish("node", fmt.Sprint(i), now, nil)
	}
	p.reportBounds(now)
	if log.count(line) != 0 {
		t.Fatal("a line before the bound was passed")
	}
	for i := range 500 {
		p.engine.Publish("node", fmt.Sprint("more", i), now, nil)
		p.reportBounds(now)
	}
	if log.count(line) != 1 || log.count("refused=1 held=8192") != 1 {
		t.Fatal(log.b.String())
	}
	now += summaryInterval
	p.reportBounds(now)
	if log.count(line) != 2 || log.count("refused=499 ") != 1 {
		t.Fatal(log.b.String())
	}
	now += summaryInterval
	p.reportBounds(now)
	if log.count(line) != 2 || p.engine.facts.Len() != gossip.MaxFactsPerOwner {
		t.Fatal(log.b.String())
	}
}

// A message to each of 1,024 members finds a place in the queue; further ones are counted, and are one line.
func TestFullQueueIsOneLine(t *testing.T) {
	const line = "the queue is full"
	log, now := &logBuffer{}, time.Hour
	p := newUnstarted(t, log, &now)
	for i := range 1024 {
		p.Send(fmt.Sprint("member", i), nil)
	}
	p.reportBounds(now)
	if log.count(line) != 0 {
		t.Fatal(log.b.String())
	}
	for i := range 30 {
		p.Send(fmt.Sprint("member", i), nil)
	}
	p.reportBounds(now)
	p.reportBounds(now)
	if log.count(line) != 1 || log.count("dropped=30 ") != 1 || len(p.sendQueue) != 1024 || p.unqueued.Load() != 30 {
		t.Fatal(log.b.String())
	}
}

// Bytes for a member that no datagram may hold are counted, and are one line.
func TestOversizedMessageIsOneLine(t *testing.T) {
	log, now := &logBuffer{}, 3*time.Second
	n := newNetwork(t, 5)
	n.startInstance("i0000", 100)
	n.startInstance("i0001", 101)
	n.run(now)
	p := newUnstarted(t, log, &now)
	p.engine = n.engines["at-i0000"]
	if out := p.engine.SendMessage(now, "i0001", make([]byte, MaxMessage)); len(out) != 1 {
		t.Fatal("the largest message is not sent")
	}
	if out := p.engine.SendMessage(now, "i0001", make([]byte, MaxMessage+1)); len(out) != 0 {
		t.Fatal("a larger message is sent")
	}
	p.reportBounds(now)
	p.reportBounds(now)
	if log.count("they are too large") != 1 || log.count("dropped=1 ") != 1 {
		t.Fatal(log.b.String())
	}
}

// Hundreds of members that come at once are a few lines, and one that says how many are left out.
func TestOmittedLinesAreCounted(t *testing.T) {
	log, now := &logBuffer{}, time.Hour
	p := newUnstarted(t, log, &now)
	p.logLimit.since, p.logLimit.counts = time.Now().Add(time.Hour), map[string]int{} // one second that does not end
	for i := range 350 {
		p.reportChanges([]swim.Change{{Update: swim.Update{Name: fmt.Sprint("member", i)}, New: true}})
		p.reportBounds(now)
	}
	now += summaryInterval
	p.reportBounds(now)
	p.reportBounds(now)
	if log.count("a member is there") != maxLinesPerSecond || log.count("lines on members are left out") != 2 || log.count("omitted=1 ") != 1 || log.count("omitted=329 ") != 1 {
		t.Fatal(log.b.String())
	}
}
