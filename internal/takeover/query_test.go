package takeover

import (
	"fmt"
	"testing"
	"time"
)

const queryDeadline = time.Hour + 3*time.Second

// newQueryFleet returns a fleet whose first instance has sent attempt 1 of the
// returned work. The number selects the key.
func newQueryFleet(number int) (*testFleet, Work) {
	f := newTestFleet(6)
	work := testWork()
	work.Key = fmt.Sprint("customer/", number)
	f.requestSend("n0", work, 1, ownScope("a"), queryDeadline)
	f.coordinators["n0"].AttemptSent(f.now, 1)
	return f, work
}

// query makes an instance query the outcome of a key, and delivers all messages.
func (f *testFleet) query(t *testing.T, name string, attempt uint64, key string) {
	t.Helper()
	if !f.coordinators[name].QueryOutcome(f.now, key, attempt, queryDeadline) {
		t.Fatal("no replica can be reached")
	}
	f.deliverAll()
}

// An attempt that is about to be rejected waits for a running attempt of the same
// key, even if its owner is lost and a successor completes it. If the answer is
// already stored, the attempt gets it. No further attempt is sent.
func TestOutcomeQueryBeforeRejection(t *testing.T) {
	served := Answer{Kind: AnswerServed, Value: []byte("v")}
	for i := range 40 {
		ownerIsLost := i%2 == 0
		t.Run(fmt.Sprintf("key %d, owner is lost %v", i, ownerIsLost), func(t *testing.T) {
			f, work := newQueryFleet(i)
			f.query(t, "n3", 2, work.Key)
			f.query(t, "n4", 3, "customer/another")
			f.expectCount(t, "n3", ActionJoin, 1)
			f.expectCount(t, "n4", ActionUnknown, 1)
			if ownerIsLost {
				f.disconnect("n0")
				f.reportLeft("n0")
				for name := range f.takeOvers() {
					f.coordinators[name].Complete(f.now, 1, served)
				}
			} else {
				f.coordinators["n0"].Complete(f.now, 1, served)
			}
			f.deliverAll()
			f.query(t, "n5", 4, work.Key)
			f.expectCount(t, "n3", ActionUseAnswer, 1)
			f.expectCount(t, "n5", ActionUseAnswer, 1)
			sent, adopted := f.countEverywhere(ActionSend), f.countEverywhere(ActionAdopt)
			if sent != 1 || adopted != 0 {
				t.Fatalf("got %d sent and %d adopted, want 1 and 0: %+v", sent, adopted, f.actions)
			}
		})
	}
}

func TestOutcomeQueryOfFailedAttempt(t *testing.T) {
	f, work := newQueryFleet(1)
	f.query(t, "n3", 2, work.Key)
	f.coordinators["n0"].Complete(f.now, 1, Answer{Kind: AnswerFailed})
	f.deliverAll()
	f.query(t, "n4", 3, work.Key)
	f.expectCount(t, "n3", ActionUseAnswer, 1)
	f.expectCount(t, "n4", ActionUnknown, 1)
}

// Without replies a query ends within outcomeQueryTimeout, and the number of
// open queries is bounded.
func TestOutcomeQueryWithoutReplies(t *testing.T) {
	f, work := newQueryFleet(1)
	f.isolate("n3")
	c := f.coordinators["n3"]
	for attempt := uint64(10); attempt < 10+maxOpenQueries; attempt++ {
		if !c.QueryOutcome(f.now, work.Key, attempt, queryDeadline) {
			t.Fatalf("query %d is refused", attempt)
		}
	}
	if c.QueryOutcome(f.now, work.Key, 1000, queryDeadline) {
		t.Error("a query beyond maxOpenQueries was started")
	}
	f.tickReachable(2)
	if got := f.countAt("n3", ActionUnknown); got != 0 {
		t.Errorf("queries ended after 20 ms: got %d, want 0", got)
	}
	f.tickReachable(1)
	if got := f.countAt("n3", ActionUnknown); got != maxOpenQueries {
		t.Errorf("queries ended after 30 ms: got %d, want %d", got, maxOpenQueries)
	}
	if got := len(c.pending); got != 0 {
		t.Errorf("pending work after 30 ms: got %d, want 0", got)
	}
	if !c.QueryOutcome(f.now, work.Key, 2000, queryDeadline) {
		t.Error("no query can be started after the earlier ones have ended")
	}
	if c.QueryOutcome(f.now, work.Key, 2001, f.now+outcomeQueryTimeout) {
		t.Error("a query was started although the deadline is too close")
	}
}

// If more than maxWaiters attempts wait for one answer, the outcome is unknown to
// the excess ones.
func TestOutcomeQueryBeyondMaxWaiters(t *testing.T) {
	f, work := newQueryFleet(1)
	for i := range uint64(2 * maxWaiters) {
		f.coordinators["n3"].QueryOutcome(f.now, work.Key, 100+i, queryDeadline)
	}
	f.deliverAll()
	f.coordinators["n0"].Complete(f.now, 1, Answer{Kind: AnswerServed, Value: []byte("v")})
	f.deliverAll()
	answered, unknown := f.countAt("n3", ActionUseAnswer), f.countAt("n3", ActionUnknown)
	if answered+unknown != 2*maxWaiters || unknown == 0 {
		t.Errorf("got %d answered and %d unknown, want %d together and some unknown", answered, unknown, 2*maxWaiters)
	}
}
