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

// silentCounter records its calls and never replies.
type silentCounter struct{ calls []*store.Call }

func (s *silentCounter) Add(call *store.Call)  { s.calls = append(s.calls, call) }
func (*silentCounter) Run(ctx context.Context) { <-ctx.Done() }
func (*silentCounter) SetAddress(string)       {}

// The engine gets exactly one reply to each call. A reply that arrives after the timeout is dropped.
func TestLateCounterReplyIsDropped(t *testing.T) {
	c := newTestCore(t, testConfig(discovery.List{}), discardLogger)
	call := &store.Call{Name: "a"}
	c.handleCounterReply(counterReplied{call, store.Result{}})
	c.handleCounterReply(counterReplied{call, store.Result{Certainty: store.Added, HasTotal: true, Total: 7}})
	if len(c.engineEvents) != 1 || c.engineEvents[0].(policy.CounterReply).Outcome != policy.TimedOut {
		t.Fatalf("got events %v, want one reply that timed out", c.engineEvents)
	}
}

// Each degree of certainty that a store reports reaches the engine as the matching outcome.
func TestCounterCertainty(t *testing.T) {
	for want, result := range map[policy.Outcome]store.Result{
		policy.Succeeded: {Certainty: store.Added, HasTotal: true, Total: 3},
		policy.Failed:    {Certainty: store.Added},
		policy.NoConnect: {Certainty: store.NotAdded},
		policy.TimedOut:  {},
	} {
		t.Run(outcomeNames[want], func(t *testing.T) {
			c := newIdleCore(t, testConfig(endpointsAt("127.0.0.1:1")))
			c.handleCounterReply(counterReplied{&store.Call{Name: "a"}, result})
			got := c.engineEvents[len(c.engineEvents)-1].(policy.CounterReply)
			if got.Outcome != want || got.Total != result.Total {
				t.Errorf("%+v: got %+v, want outcome %v and total %v", result, got, want, result.Total)
			}
		})
	}
}

// A call without a reply times out, or counts as not added if the store never wrote it.
func TestSilentCounterTimesOut(t *testing.T) {
	for name, test := range map[string]struct {
		claimed bool
		want    policy.Outcome
	}{
		"unwritten": {false, policy.NoConnect},
		"written":   {true, policy.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			c := newIdleCore(t, testConfig(endpointsAt("127.0.0.1:1")))
			counter := &silentCounter{}
			c.counter = counter
			c.cfg.Settings.CounterTimeout = 80 * time.Millisecond
			c.addToCounter(policy.AddToCounter{Name: "a", Add: 1})
			call := counter.calls[0]
			if test.claimed {
				call.Claim()
			}
			c.now += c.cfg.Settings.CounterTimeout
			for len(c.engineEvents) == 0 && len(c.timers) > 0 && c.timers[0].at <= c.now {
				heap.Pop(&c.timers).(*timer).fire()
			}
			got, ok := c.engineEvents[len(c.engineEvents)-1].(policy.CounterReply)
			if !ok || got.Outcome != test.want {
				t.Fatalf("got events %v, want a reply with outcome %v", c.engineEvents, test.want)
			}
			if call.Claim() {
				t.Fatal("the call has its reply and may still be written, want it withdrawn")
			}
		})
	}
}
