package core

import (
	"testing"
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/guard"
	"hitchspring/policy"
)

// newUnsafeCore returns a core with two backends, whose requests are not idempotent and may have three attempts.
func newUnsafeCore(t *testing.T) *Core {
	t.Helper()
	cfg := testConfig(newBackends(t, 2))
	cfg.Settings.MaxAttempts = 3
	cfg.Settings.Hedging = true
	cfg.Settings.Classes[0].Effect = policy.Unsafe
	return newIdleCore(t, cfg)
}

// wantViolations checks the count of one invariant, and that no other is violated.
func wantViolations(t *testing.T, c *Core, broken guard.Invariant, want int64) {
	t.Helper()
	for _, invariant := range guard.Invariants() {
		expected := int64(0)
		if invariant == broken {
			expected = want
		}
		if got := c.Guard().Count(invariant); got != expected {
			t.Errorf("%s: got %d violations, want %d", invariant, got, expected)
		}
	}
}

// wantAnswer checks that a sink has one answer, of a kind.
func wantAnswer(t *testing.T, sink *recordingSink, want AnswerKind) {
	t.Helper()
	if sink.answers != 1 || sink.answer.Kind != want {
		t.Errorf("got %d answers, the last %v, want one, %v", sink.answers, sink.answer.Kind, want)
	}
}

// A retry that the engine wrongly decides on, after an attempt that may have run, is not written and is counted.
func TestForbiddenRetryIsWithheld(t *testing.T) {
	c := newUnsafeCore(t)
	r := arrive(c, 1, &recordingSink{})
	c.handle(awaitConnection(t, c))
	if !r.attempts[0].Assigned() {
		t.Fatal("got a first attempt that was not written, want it written")
	}
	retry := &backend.Attempt{Ref: r, Number: 1, Command: r.Command, StartedAt: c.now, Deadline: r.GiveUpAt}
	r.attempts = append(r.attempts, retry)
	r.inFlight++
	c.backends.Start(retry, "s0")
	if (poolOwner{c}).AttemptWanted(retry) {
		t.Error("got a retry that would be written, want it withheld")
	}
	wantViolations(t, c, guard.RepeatOfUnsafe, 1)
}

// awaitConnection waits for the connection of an attempt to come up, and returns that event.
func awaitConnection(t *testing.T, c *Core) backend.Event {
	t.Helper()
	for {
		select {
		case ev := <-c.events:
			if connected, ok := ev.(backend.Event); ok {
				return connected
			}
		case <-time.After(10 * time.Second):
			t.Fatal("got no connection within 10 s")
		}
	}
}

// A rejection says that a retry is harmless: after an attempt that may have run it becomes a failure, and is counted.
func TestForbiddenRejectionBecomesFailure(t *testing.T) {
	c := newUnsafeCore(t)
	sink := &recordingSink{}
	r := arrive(c, 1, sink)
	c.handle(awaitConnection(t, c))
	c.performAction(policy.Reject{ID: r.ID, Reason: policy.NoRetry})
	wantAnswer(t, sink, Failed)
	wantViolations(t, c, guard.RejectedThoughRun, 1)
}

// A second final answer is dropped and counted.
func TestSecondAnswerIsDropped(t *testing.T) {
	c := newUnsafeCore(t)
	sink := &recordingSink{}
	r := arrive(c, 1, sink)
	c.answerRequest(r, Answer{Kind: Failed})
	c.finishRequest(r, Answer{Kind: Served})
	wantAnswer(t, sink, Failed)
	wantViolations(t, c, guard.AnsweredTwice, 1)
}

// A request that arrives after the last answers of a shutdown is rejected at once. With deadlines shorter than the time
// for which late commands are read, nothing else would answer it.
func TestArrivalAfterAnswerAllIsRejected(t *testing.T) {
	c := newUnsafeCore(t)
	first := &recordingSink{}
	arrive(c, 1, first)
	done := make(chan struct{})
	c.handle(answerAllRequested{done})
	select {
	case <-done:
	default:
		t.Error("got no report that all is answered, want one")
	}
	if first.answers != 1 {
		t.Errorf("first request: got %d answers, want one", first.answers)
	}
	late := &recordingSink{}
	r := arrive(c, 2, late)
	wantAnswer(t, late, Rejected)
	if len(r.attempts) != 0 {
		t.Errorf("late request: got %d attempts, want none", len(r.attempts))
	}
	wantViolations(t, c, guard.None, 0)
}

// A request that arrives after its deadline, since it waited behind others on its connection, is rejected and uses
// nothing.
func TestLateArrivalIsRejected(t *testing.T) {
	c := newUnsafeCore(t)
	sink := &recordingSink{}
	r := newRequest(c, 1, sink)
	r.GiveUpAt = c.now - time.Second
	c.handle(requestArrived{r})
	wantAnswer(t, sink, Rejected)
	if len(c.requests) != 0 || c.backends.Dials() != 0 {
		t.Errorf("got %d requests and %d dials, want none", len(c.requests), c.backends.Dials())
	}
	wantViolations(t, c, guard.None, 0)
}

// A request that is open when the core has ended is counted.
func TestUnansweredAtExitIsCounted(t *testing.T) {
	c := newUnsafeCore(t)
	arrive(c, 1, &recordingSink{})
	c.checkUnanswered()
	wantViolations(t, c, guard.OpenAtExit, 1)
}
