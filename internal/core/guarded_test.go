package core

import (
	"testing"
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/guard"
	"hitchspring/internal/standin/scripted"
	"hitchspring/policy"
)

// newGuarded is a core with two backends, whose requests are unsafe and may have three attempts.
func newGuarded(t *testing.T) *Core {
	t.Helper()
	cfg := testConfig("", fleetOf(scripted.NewBackend(t, nil).Addr, scripted.NewBackend(t, nil).Addr))
	cfg.Settings.MaxAttempts, cfg.Settings.Hedging = 3, true
	cfg.Settings.Classes[0].Effect = policy.Unsafe
	g, err := New(cfg, quiet)
	if err != nil {
		t.Fatal(err)
	}
	run(t, g)
	return g
}

// counting is a place that counts its answers.
type counting struct {
	place
	answers int
}

func (c *counting) Deliver(a Answer) {
	c.answers++
	c.place.Deliver(a)
}

func wantViolations(t *testing.T, g *Core, what guard.Invariant, want int64) {
	t.Helper()
	for _, i := range guard.Invariants() {
		n := int64(0)
		if i == what {
			n = want
		}
		if got := g.Guard().Count(i); got != n {
			t.Errorf("%s: %d violations, want %d", i, got, n)
		}
	}
}

// A module that wrongly sends again what may have run is not obeyed: nothing is written, and the violation is counted.
func TestWrongRepeatIsHeldBack(t *testing.T) {
	g := newGuarded(t)
	r := arriving(g, 1, &place{})
	up := connected(t, g)
	g.handle(up)
	if !r.attempts[0].Assigned() {
		t.Fatal("the first attempt was not written")
	}
	next := &backend.Attempt{Ref: r, Number: 1, Command: r.Command, StartedAt: g.now, Deadline: r.GiveUpAt}
	r.attempts = append(r.attempts, next)
	r.inFlight++
	g.backends.Start(next, "s0")
	if (poolOwner{g}).AttemptWanted(next) {
		t.Error("it would be written")
	}
	wantViolations(t, g, guard.RepeatOfUnsafe, 1)
}

// connected waits for the connection of an attempt to come up, and returns that event.
func connected(t *testing.T, g *Core) backend.Event {
	t.Helper()
	for {
		select {
		case ev := <-g.events:
			if up, ok := ev.(backend.Event); ok {
				return up
			}
		case <-time.After(10 * time.Second):
			t.Fatal("no connection comes up")
		}
	}
}

// A refusal says that trying again is harmless: after an attempt that may have run it is told as a failure, and counted.
func TestWrongRefusalIsAFailure(t *testing.T) {
	g := newGuarded(t)
	p := &counting{}
	r := arriving(g, 1, p)
	g.handle(connected(t, g))
	g.performAction(policy.Reject{ID: r.ID, Reason: policy.NoRetry})
	if p.answers != 1 || p.got.Kind != Failed {
		t.Errorf("%d answers, the last %v", p.answers, p.got.Kind)
	}
	wantViolations(t, g, guard.RefusedThoughRun, 1)
}

// A second final answer is dropped and counted.
func TestSecondAnswerIsDropped(t *testing.T) {
	g := newGuarded(t)
	p := &counting{}
	r := arriving(g, 1, p)
	g.answerRequest(r, Answer{Kind: Failed})
	g.finishRequest(r, Answer{Kind: Served})
	if p.answers != 1 || p.got.Kind != Failed {
		t.Errorf("%d answers, the last %v", p.answers, p.got.Kind)
	}
	wantViolations(t, g, guard.AnsweredTwice, 1)
}

// A request that comes when the last answers of a shutdown have been given is refused at once: with deadlines shorter than the time for which late
// commands are served it would have had no answer.
func TestNothingIsTakenAfterTheLastAnswers(t *testing.T) {
	g := newGuarded(t)
	first := &counting{}
	arriving(g, 1, first)
	done := make(chan struct{})
	g.handle(answerAllRequested{done})
	select {
	case <-done:
	default:
		t.Error("it is not told that all is answered")
	}
	late := &counting{}
	r := arriving(g, 2, late)
	if first.answers != 1 || late.answers != 1 || late.got.Kind != Rejected || len(r.attempts) != 0 {
		t.Errorf("first %v, late %v after %d attempts", first, late, len(r.attempts))
	}
	wantViolations(t, g, guard.None, 0)
}

// What comes after its time, since it waited behind others on its connection, is refused and takes nothing.
func TestLateArrivalIsRefused(t *testing.T) {
	g := newGuarded(t)
	p := &counting{}
	r := &Request{ClientID: 1, Size: 100, Sink: p, Command: noCommand{}}
	r.Class, r.Plan, r.Units, r.Spread, r.GiveUpAt = "read", "p", 1, 1, g.now-time.Second
	g.handle(requestArrived{r})
	if p.answers != 1 || p.got.Kind != Rejected || len(g.requests) != 0 || g.backends.Dials() != 0 {
		t.Errorf("%v, %d requests, %d dials", p, len(g.requests), g.backends.Dials())
	}
	wantViolations(t, g, guard.None, 0)
}

// A request that is open when the process has ended its work is counted.
func TestOpenAtExitIsCounted(t *testing.T) {
	g := newGuarded(t)
	arriving(g, 1, &place{})
	g.checkUnanswered()
	wantViolations(t, g, guard.OpenAtExit, 1)
}
