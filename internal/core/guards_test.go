package core

import (
	"testing"
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/guard"
	"hitchspring/policy"
)

// newUnsafeCore returns a core with two backends, whose requests are not idempotent and may have up to three attempts.
func newUnsafeCore(t *testing.T) *Core {
	t.Helper()
	cfg := testConfig(newBackends(t, 2))
	cfg.Settings.MaxAttempts = 3
	cfg.Settings.Hedging = true
	cfg.Settings.Classes[0].Effect = policy.Unsafe
	return newIdleCore(t, cfg)
}

// checkViolations checks the number of violations of one invariant, and that no other invariant is violated.
func checkViolations(t *testing.T, c *Core, broken guard.Invariant, want int64) {
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

// checkAnswer checks that a sink has exactly one answer, and its kind.
func checkAnswer(t *testing.T, sink *recordingSink, want AnswerKind) {
	t.Helper()
	if sink.answers != 1 || sink.answer.Kind != want {
		t.Errorf("got %d answers, the last %v, want one, %v", sink.answers, sink.answer.Kind, want)
	}
}

// If the engine wrongly retries after an attempt that may have run, the retry is not written and the violation counted.
func TestForbiddenRetryIsWithheld(t *testing.T) {
	c := newUnsafeCore(t)
	r := submitRequest(c, 1, &recordingSink{})
	c.handle(awaitConnection(t, c))
	if !r.attempts[0].Assigned() {
		t.Fatal("the first attempt was not written")
	}
	retry := &backend.Attempt{Ref: r, Number: 1, Command: r.Command, StartedAt: c.now, Deadline: r.GiveUpAt}
	r.attempts = append(r.attempts, retry)
	r.inFlight++
	c.backends.Start(retry, "s0")
	if (poolOwner{c}).AttemptWanted(retry) {
		t.Error("the retry would be written, want it withheld")
	}
	checkViolations(t, c, guard.RetryOfNonIdempotent, 1)
}

// awaitConnection waits until the connection of an attempt is established, and returns that event.
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

// A rejection promises that a retry is safe. After an attempt that may have run it becomes a failure, and the violation
// is counted.
func TestForbiddenRejectionBecomesFailure(t *testing.T) {
	c := newUnsafeCore(t)
	sink := &recordingSink{}
	r := submitRequest(c, 1, sink)
	c.handle(awaitConnection(t, c))
	c.performAction(policy.Reject{ID: r.ID, Reason: policy.NoRetry})
	checkAnswer(t, sink, Failed)
	checkViolations(t, c, guard.RejectedAfterPossibleRun, 1)
}

// A second final answer is dropped, and the violation is counted.
func TestSecondAnswerIsDropped(t *testing.T) {
	c := newUnsafeCore(t)
	sink := &recordingSink{}
	r := submitRequest(c, 1, sink)
	c.answerRequest(r, Answer{Kind: Failed})
	c.finishRequest(r, Answer{Kind: Served})
	checkAnswer(t, sink, Failed)
	checkViolations(t, c, guard.AnsweredTwice, 1)
}

// A request that arrives after AnswerAll, during a shutdown, is rejected immediately. With deadlines shorter than the
// time for which fronts still read late commands, nothing else would answer it.
func TestArrivalAfterAnswerAllIsRejected(t *testing.T) {
	c := newUnsafeCore(t)
	first := &recordingSink{}
	submitRequest(c, 1, first)
	done := make(chan struct{})
	c.handle(answerAllRequested{done})
	select {
	case <-done:
	default:
		t.Error("done is not closed after all requests were answered")
	}
	if first.answers != 1 {
		t.Errorf("first request: got %d answers, want one", first.answers)
	}
	late := &recordingSink{}
	r := submitRequest(c, 2, late)
	checkAnswer(t, late, Rejected)
	if len(r.attempts) != 0 {
		t.Errorf("late request: got %d attempts, want none", len(r.attempts))
	}
	checkViolations(t, c, guard.None, 0)
}

// A request that arrives after its deadline, because it waited behind others on its connection, is rejected and takes
// up no connection or table entry.
func TestLateArrivalIsRejected(t *testing.T) {
	c := newUnsafeCore(t)
	sink := &recordingSink{}
	r := newRequest(c, 1, sink)
	r.GiveUpAt = c.now - time.Second
	c.handle(requestArrived{r})
	checkAnswer(t, sink, Rejected)
	if len(c.requests) != 0 || c.backends.Dials() != 0 {
		t.Errorf("got %d requests and %d dials, want none", len(c.requests), c.backends.Dials())
	}
	checkViolations(t, c, guard.None, 0)
}

// A request that is still open when the core has stopped is counted as a violation.
func TestUnansweredAtExitIsCounted(t *testing.T) {
	c := newUnsafeCore(t)
	submitRequest(c, 1, &recordingSink{})
	c.checkUnanswered()
	checkViolations(t, c, guard.UnansweredAtExit, 1)
}
