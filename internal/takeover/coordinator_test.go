package takeover

import (
	"fmt"
	"testing"
	"time"
)

// If the owner of a covered attempt is lost, exactly one instance takes the work
// over, and a retry at any instance gets the answer.
func TestTakenOverOnce(t *testing.T) {
	for i := range 60 {
		t.Run(fmt.Sprint("key ", i), func(t *testing.T) {
			work := testWork()
			work.Key = fmt.Sprint("customer/", i)
			testTakenOverOnce(t, work)
		})
	}
}

func testTakenOverOnce(t *testing.T, work Work) {
	t.Helper()
	f := newTestFleet(6)
	f.requestSend("n0", work, 1, ownScope("a"), f.now+3*time.Second)
	f.expectCount(t, "n0", ActionSend, 1)
	if !f.actions["n0"][0].Covered {
		t.Fatalf("the attempt is not covered: %+v", f.actions)
	}
	f.coordinators["n0"].AttemptSent(f.now, 1)
	f.disconnect("n0")

	f.now += 100 * ms
	f.requestSend("n3", work, 2, ownScope("b"), f.now+3*time.Second) // before the loss is detected
	f.tickAt("n3", 25)                                               // one of its replicas may be the lost instance
	f.expectCount(t, "n3", ActionJoin, 1)
	f.expectCount(t, "n3", ActionSend, 0)

	f.now += time.Second
	f.reportLeft("n0")
	if got := f.countEverywhere(ActionTakeOver); got != 1 {
		t.Fatalf("taken over: got %d times, want once", got)
	}
	for name, action := range f.takeOvers() {
		if action.Taken.Scope != ownScope("a") || action.Taken.StartedAt > time.Hour {
			t.Fatalf("taken work: got %+v, want scope %v, started by %v", action.Taken, ownScope("a"), time.Hour)
		}
		f.coordinators[name].Complete(f.now, action.Attempt, Answer{Kind: AnswerServed, Value: []byte("value")})
	}
	f.deliverAll()
	f.expectCount(t, "n3", ActionUseAnswer, 1)

	f.requestSend("n5", work, 3, ownScope("c"), f.now+3*time.Second)
	f.expectCount(t, "n5", ActionSend, 0)
	f.expectCount(t, "n5", ActionUseAnswer, 1)
}

// After the idempotency window has ended, neither a successor nor a retry repeats
// the attempt: the work fails.
func TestNoRepeatPastIdempotencyWindow(t *testing.T) {
	f := newTestFleet(4)
	f.requestSend("n0", testWork(), 1, ownScope("a"), f.now+10*time.Second)
	f.coordinators["n0"].AttemptSent(f.now, 1)
	f.disconnect("n0")
	f.now += 2800 * ms
	f.reportLeft("n0")
	if got := f.countEverywhere(ActionTakeOver); got != 0 {
		t.Fatalf("taken over: got %d times, want 0", got)
	}
	f.requestSend("n1", testWork(), 2, ownScope("b"), f.now+3*time.Second)
	f.expectCount(t, "n1", ActionSend, 0)
	f.expectCount(t, "n1", ActionAdopt, 0)
	f.expectCount(t, "n1", ActionUseAnswer, 1)
}

func TestSendWithoutReplicas(t *testing.T) {
	t.Run("no replica replies", func(t *testing.T) {
		f := newTestFleet(4)
		f.isolate("n0")
		f.requestSend("n0", testWork(), 1, ownScope("a"), f.now+800*ms)
		f.tickAt("n0", 9)
		f.expectCount(t, "n0", ActionSend, 0) // it waits for 1/replyTimeoutDivisor of the remaining time
		f.tickAt("n0", 1)
		f.expectCount(t, "n0", ActionSend, 1)
		if f.actions["n0"][0].Covered {
			t.Errorf("the attempt counts as covered: %+v", f.actions["n0"])
		}
		if got := f.coordinators["n0"].Counts().Uncovered; got != 1 {
			t.Errorf("uncovered attempts: got %d, want 1", got)
		}
	})
	t.Run("a stale clock reading is replaced", func(t *testing.T) {
		f := newTestFleet(4)
		stale := f.now - 5*time.Second
		f.coordinators["n0"].replicaClock = func(string) time.Duration { return stale }
		f.requestSend("n0", testWork(), 1, ownScope("a"), f.now+time.Second)
		f.expectCount(t, "n0", ActionSend, 1)
		if !f.actions["n0"][0].Covered {
			t.Errorf("the attempt is not covered: %+v", f.actions["n0"])
		}
	})
	t.Run("a single instance joins its own retries", func(t *testing.T) {
		f := newTestFleet(1)
		f.requestSend("n0", testWork(), 1, ownScope("a"), f.now+time.Second)
		f.requestSend("n0", testWork(), 2, ownScope("a"), f.now+time.Second)
		f.expectCount(t, "n0", ActionSend, 1)
		f.expectCount(t, "n0", ActionJoin, 1)
		if got := f.coordinators["n0"].Counts().NoReplica; got != 1 {
			t.Errorf("attempts without a replica: got %d, want 1", got)
		}
	})
}

// A change of scope needs the consent of every replica. If one doesn't reply, the
// attempt is not sent.
func TestRelocationNeedsEveryReplica(t *testing.T) {
	f := newTestFleet(5)
	c := f.coordinators["n0"]
	f.requestSend("n0", testWork(), 1, ownScope("a"), f.now+2*time.Second)
	c.RelocateAttempt(f.now, 1, ownScope("b"))
	f.deliverAll()
	f.expectCount(t, "n0", ActionSend, 2)

	f.disconnect(c.pending[1].remotes[1])
	c.RelocateAttempt(f.now, 1, ownScope("c"))
	f.deliverAll()
	f.tickAt("n0", 40)
	f.expectCount(t, "n0", ActionSend, 2)
	f.expectCount(t, "n0", ActionAbort, 1)
}

// Queued work is rejected only if no other instance has taken it over. Otherwise an
// owner that was falsely declared dead could reject work that its successor has
// sent.
func TestConfirmBeforeRejection(t *testing.T) {
	tests := map[string]struct {
		before func(t *testing.T, f *testFleet)
		want   ActionKind
	}{
		"it was not taken over": {
			before: func(*testing.T, *testFleet) {},
			want:   ActionSend,
		},
		"it was taken over": {
			before: func(t *testing.T, f *testFleet) {
				t.Helper()
				f.disconnect("n0")
				for name, c := range f.coordinators {
					if name != "n0" {
						c.MemberLeft(f.now, "n0", 1)
					}
				}
				f.tickReachable(30)
				if f.countEverywhere(ActionTakeOver) != 1 {
					t.Fatal("it was not taken over")
				}
				f.unreachable["n0"] = false
			},
			want: ActionJoin,
		},
		"no replica replies": {
			before: func(_ *testing.T, f *testFleet) { f.isolate("n0") },
			want:   ActionAbort,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(4)
			f.requestSend("n0", testWork(), 7, ScopeNone, f.now+4*time.Second)
			f.tickReachable(10)
			test.before(t, f)
			f.actions["n0"] = nil
			f.coordinators["n0"].ConfirmRejection(f.now, 7)
			f.tickReachable(10)
			if got := f.actions["n0"]; len(got) != 1 || got[0].Kind != test.want {
				t.Errorf("got %+v, want one %v", got, test.want)
			}
		})
	}
}
