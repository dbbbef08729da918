package core

import (
	"container/heap"
	"context"
	"testing"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/internal/store"
	"hitchspring/policy"
)

// heldStore keeps the calls that it is given and answers none.
type heldStore struct{ calls []*store.Call }

func (h *heldStore) Add(k *store.Call)     { h.calls = append(h.calls, k) }
func (*heldStore) Run(ctx context.Context) { <-ctx.Done() }
func (*heldStore) SetAddress(string)       {}

// The module hears of each call once: an answer after the time-out is dropped.
func TestCounterLateAnswerIsDropped(t *testing.T) {
	g, err := New(testConfig("", discovery.List{}), quiet)
	if err != nil {
		t.Fatal(err)
	}
	k := &store.Call{Name: "a"}
	g.handleCounterReply(counterReplied{k, store.Result{}})
	g.handleCounterReply(counterReplied{k, store.Result{Certainty: store.Added, Seen: true, Total: 7}})
	if len(g.engineEvents) != 1 || g.engineEvents[0].(policy.CounterReply).Outcome != policy.TimedOut {
		t.Fatalf("told: %v", g.engineEvents)
	}
}

// What a store is sure of reaches the module as just that.
func TestCounterCertainty(t *testing.T) {
	for want, r := range map[policy.Outcome]store.Result{
		policy.Succeeded: {Certainty: store.Added, Seen: true, Total: 3},
		policy.Failed:    {Certainty: store.Added},
		policy.NoConnect: {Certainty: store.NotAdded},
		policy.TimedOut:  {},
	} {
		g := idleGateway(t, "127.0.0.1:1")
		g.handleCounterReply(counterReplied{&store.Call{Name: "a"}, r})
		if ev := g.engineEvents[len(g.engineEvents)-1].(policy.CounterReply); ev.Outcome != want || ev.Total != r.Total {
			t.Errorf("%+v: told %+v, want outcome %v", r, ev, want)
		}
	}
}

// A counter that says nothing is given up in time; a call that was never written has added nothing.
func TestSilentCounterTimesOut(t *testing.T) {
	for name, c := range map[string]struct {
		taken bool
		want  policy.Outcome
	}{"unwritten": {false, policy.NoConnect}, "written": {true, policy.TimedOut}} {
		t.Run(name, func(t *testing.T) {
			g := idleGateway(t, "127.0.0.1:1")
			held := &heldStore{}
			g.counter = held
			g.cfg.Settings.CounterTimeout = 80 * time.Millisecond
			g.addToCounter(policy.AddToCounter{Name: "a", Add: 1})
			if c.taken {
				held.calls[0].Claim()
			}
			g.now += g.cfg.Settings.CounterTimeout
			for len(g.engineEvents) == 0 && len(g.timers) > 0 && g.timers[0].at <= g.now {
				heap.Pop(&g.timers).(timer).fire()
			}
			if ev, ok := g.engineEvents[len(g.engineEvents)-1].(policy.CounterReply); !ok || ev.Outcome != c.want {
				t.Fatalf("told %v, want outcome %v", g.engineEvents, c.want)
			}
			if held.calls[0].Claim() {
				t.Fatal("a call that was answered may still be sent")
			}
		})
	}
}
