package policy

import (
	"slices"
	"testing"
	"time"
)

// A request with an attempt of another instance (Prior) is not charged here. It is sent
// at once, only in the cell of that attempt, and fails if the repeat window is over.
func TestPrior(t *testing.T) {
	const ran = 9
	for name, c := range map[string]struct {
		ago    time.Duration
		cell   int
		sent   bool
		failed bool
	}{
		"in its cell":            {500 * ms, 2, true, false},
		"no backend in its cell": {500 * ms, 7, false, false},
		"repeat window is over":  {5 * time.Second, 2, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			engine, now := newPriorEngine(t)
			q := publishRequest(ran, now)
			q.Charged = true
			q.Prior = &Prior{Cell: c.cell, SentAt: now - c.ago}
			actions := engine.Handle(now, Arrival{q}, nil)
			for range 20 {
				now += 20 * ms
				actions = engine.Handle(now, TimerFired{}, actions)
			}
			sends := actionsFor(actions, func(a SendAttempt) bool { return a.ID == ran })
			fails := actionsFor(actions, func(a Fail) bool { return a.ID == ran })
			rejects := actionsFor(actions, func(a Reject) bool { return a.ID == ran })
			if sent, failed := len(sends) > 0, len(fails) > 0; sent != c.sent || failed != c.failed {
				t.Errorf("got sent %v, failed %v; want %v, %v", sent, failed, c.sent, c.failed)
			}
			for _, s := range sends {
				if s.Backend != "two" {
					t.Errorf("got a send to %s, want two", s.Backend)
				}
			}
			if len(rejects) > 0 {
				t.Errorf("got rejections %v, want none: the request may have run", rejects)
			}
		})
	}
}

// actionsFor returns the actions of type A for which match returns true.
func actionsFor[A Action](actions []Action, match func(A) bool) []A {
	return slices.DeleteFunc(actionsOf[A](actions), func(a A) bool { return !match(a) })
}

// newPriorEngine returns an engine with two backends in two cells and a plan whose
// quota is spent.
func newPriorEngine(t *testing.T) (*Engine, time.Duration) {
	t.Helper()
	engine, err := New(Settings{
		Instances: 1, MaxAttempts: 4, MayCancel: true, Hedging: true,
		Classes: []Class{{
			Name: "publish", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 2 * time.Second,
			Effect: Keyed, Group: GroupCell, RepeatWindow: 3 * time.Second,
		}},
		Plans: []Plan{{Name: "p", Price: 1, Rate: 1, Burst: 1}},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	engine.Handle(now, EndpointsChanged{Complete: true, Backends: []Backend{
		{ID: "one", Cell: 1, State: Running},
		{ID: "two", Cell: 2, State: Running},
	}}, nil)
	for id := range RequestID(3) {
		engine.Handle(now, Arrival{publishRequest(id+1, now)}, nil)
	}
	return engine, now
}

func publishRequest(id RequestID, now time.Duration) Request {
	return Request{ID: id, Class: "publish", Plan: "p", Tenant: "c", GiveUpAt: now + time.Second, Units: 1}
}

// A request that another instance has charged but not sent is not charged here. Like
// a new request, it may be sent to any backend and counts toward the ceiling.
func TestCharged(t *testing.T) {
	for _, charged := range []bool{false, true} {
		engine, err := New(Settings{
			Instances: 1, MaxAttempts: 4,
			Classes: []Class{{
				Name: "publish", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 2 * time.Second,
				Effect: Keyed, RepeatWindow: 3 * time.Second,
			}},
			Plans: []Plan{{Name: "p", Price: 1, Rate: 1, Burst: 1, CeilingRate: 2, CeilingBurst: 2}},
		}, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		engine.Handle(now, EndpointsChanged{Complete: true, Backends: runningBackends("one")}, nil)
		arrive := func(id RequestID, charged bool) (sent, queued bool) {
			q := publishRequest(id, now)
			q.Charged = charged
			for _, a := range actionsOf[SendAttempt](engine.Handle(now, Arrival{q}, nil)) {
				sent = sent || a.ID == id
			}
			return sent, engine.IsQueued(id)
		}
		arrive(1, false)
		now += time.Second // the ceiling now holds two units; the quota is still spent
		arrive(2, false)
		arrive(3, false)
		if sent, _ := arrive(9, charged); sent != charged {
			t.Errorf("charged %v: got sent %v with the quota spent", charged, sent)
		}
		if charged {
			if sent, queued := arrive(10, true); sent || !queued {
				t.Errorf("got sent %v, queued %v with the ceiling spent; want it queued", sent, queued)
			}
		}
	}
}

// Guards against a keyed request that runs twice because another process has taken the
// address of the backend where its first attempt may have run: after a lost connection
// it is repeated at other backends of the group only.
func TestKeyedRetryAvoidsBackendWhoseConnectionWasLost(t *testing.T) {
	for _, c := range []struct {
		effect  string
		outcome Outcome
		want    int // attempts at the only backend
	}{{"book", Reset, 1}, {"book", TimedOut, 2}, {"book", NoConnect, 2}, {"read", Reset, 2}} {
		h := newHarness(t, testSettings(), runningBackends("s")...)
		attempts := len(actionsOf[SendAttempt](h.arrive(1, c.effect, "free")))
		end := AttemptEnded{ID: 1, Backend: "s", Outcome: c.outcome, Elapsed: 10 * ms, Unsent: c.outcome.NeverRan()}
		attempts += len(actionsOf[SendAttempt](h.notify(end)))
		attempts += len(actionsOf[SendAttempt](h.advance(300 * ms)))
		if attempts != c.want {
			t.Errorf("%s, %v: %d attempts at the only backend, want %d", c.effect, c.outcome, attempts, c.want)
		}
	}
	h := newHarness(t, testSettings(), runningBackends("s", "u")...)
	first := actionsOf[SendAttempt](h.arrive(1, "book", "free"))[0].Backend
	end := AttemptEnded{ID: 1, Backend: first, Outcome: Reset, Elapsed: 10 * ms}
	again := append(actionsOf[SendAttempt](h.notify(end)), actionsOf[SendAttempt](h.advance(300*ms))...)
	if len(again) != 1 || again[0].Backend == first {
		t.Errorf("after a lost connection at %s: %v, want one attempt at the other backend", first, again)
	}
}
