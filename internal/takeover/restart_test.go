package takeover

import (
	"testing"
	"time"
)

// deliverRound delivers all messages that the instances have sent, before any of
// them reacts. It reports whether there were messages or actions.
func (f *testFleet) deliverRound() bool {
	var round []packet
	acted := false
	for name, c := range f.coordinators {
		outbox, actions := c.Drain()
		f.actions[name] = append(f.actions[name], actions...)
		acted = acted || len(actions) > 0
		for _, envelope := range outbox {
			round = append(round, packet{name, envelope.To, envelope.Message})
		}
	}
	for _, p := range round {
		f.coordinators[p.to].Receive(f.now, p.from, 1, p.message)
	}
	return acted || len(round) > 0
}

// Guards against two retries of one key that restart each other in a tight loop
// while the first attempt is open at a replica of both.
func TestRetriesDoNotRestartEachOther(t *testing.T) {
	const (
		span        = 500 * ms
		maxRestarts = int(2 * span / minRestartInterval)
	)
	f := newTestFleet(3)
	work := workStoredBy("n1", numberedMembers(3), "customer/")
	for Replicas(work.Key, numberedMembers(3))[0] != "n1" {
		work.Key += "x"
	}
	f.isolate("n1")
	f.requestSend("n1", work, 1, ownScope("a"), f.now+4*time.Second) // only n1 has its record
	f.tickAt("n1", 45)
	f.expectCount(t, "n1", ActionSend, 1)
	clear(f.unreachable)

	retries := map[string]uint64{"n0": 10, "n2": 9}
	request := func(name string) {
		f.coordinators[name].RequestSend(f.now, work, retries[name], ownScope(name[1:]), f.now+4*time.Second)
	}
	for name := range retries {
		request(name)
	}
	restarts := 0
	completeAt, end := f.now+span, f.now+2*span
	for f.now < end && restarts <= maxRestarts {
		if f.deliverRound() {
			for name := range retries {
				if f.countAt(name, ActionRestart) > 0 {
					f.actions[name] = nil
					restarts++
					request(name)
				}
			}
			continue
		}
		f.now += 10 * ms
		for _, c := range f.coordinators {
			c.Tick(f.now)
		}
		if f.now == completeAt {
			f.coordinators["n1"].Complete(f.now, 1, Answer{Kind: AnswerServed})
		}
	}
	if restarts > maxRestarts {
		t.Fatalf("got %d restarts of two retries, want %d in %v at the most", restarts, maxRestarts, span)
	}
	for name := range retries {
		f.expectCount(t, name, ActionUseAnswer, 1)
	}
}
