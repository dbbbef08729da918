package core

import (
	"testing"
	"time"

	"hitchspring/internal/takeover"
	"hitchspring/policy"
)

// keyedCommand is a command from which another instance could rebuild the request.
type keyedCommand struct{ testCommand }

func (keyedCommand) Args() [][]byte { return [][]byte{[]byte("READ")} }

// takeoverConfig returns a configuration with takeover and a class with idempotency keys. No other instance is
// reachable.
func takeoverConfig(name string) Config {
	cfg := testConfig(endpointsAt()) // no backend: requests are queued
	cfg.Settings.Classes[0].Effect = policy.Keyed
	cfg.Settings.Classes[0].RepeatWindow = 3 * time.Second
	cfg.Takeover = &TakeoverConfig{
		Self:        takeover.Member{Name: name},
		Incarnation: 1,
		Transport:   unreachableTransport{},
	}
	return cfg
}

// submitKeyedRequest lets the core handle the arrival of a new request with an idempotency key.
func submitKeyedRequest(c *Core, clientID uint64, key string) (*Request, *recordingSink) {
	sink := &recordingSink{}
	r := newRequest(c, clientID, sink)
	r.Tenant = "tenant"
	r.Command = keyedCommand{}
	r.IdempotencyKey = key
	c.handle(requestArrived{r})
	return r, sink
}

// advanceTo advances the time in steps of takeoverTickInterval, and fires the loop's timers at each step.
func (c *Core) advanceTo(end time.Duration) {
	for c.now < end {
		c.now += takeoverTickInterval
		c.fireTimers()
		c.tickTakeover()
		c.flushEvents()
	}
}

// Guards against a restarted request that waits without being replicated, and is lost if its instance ends.
func TestRestartedWorkIsReplicatedAgain(t *testing.T) {
	c := newIdleCore(t, takeoverConfig("n0"))
	r, _ := submitKeyedRequest(c, 7, "key")
	c.advanceTo(c.now + 2*replicateQueuedAfter)
	if c.takeover.byAttempt[r.ClientID] != r {
		t.Fatal("the queued request has no pending work, want it replicated")
	}
	c.performTakeoverAction(r, takeover.Action{Kind: takeover.ActionRestart, Attempt: r.ClientID})
	c.advanceTo(c.now + 2*replicateQueuedAfter)
	if c.takeover.byAttempt[r.ClientID] != r {
		t.Error("the restarted request has no pending work, want it replicated again")
	}
}

// Guards against a wrong rejection by a process that was paused past a client's deadline: another instance may have
// taken the queued work over and sent it in the meantime. Work that no replica holds is still rejected.
func TestOverdueWorkIsRejectedOnlyIfNoReplicaHoldsIt(t *testing.T) {
	tests := map[string]struct {
		waits time.Duration // before the process is paused
		want  AnswerKind
	}{
		"replicas may hold it": {2 * replicateQueuedAfter, Failed},
		"no replica holds it":  {0, Rejected},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newIdleCore(t, takeoverConfig("n0"))
			r, sink := submitKeyedRequest(c, 7, "key")
			c.advanceTo(c.now + test.waits)
			c.now = r.GiveUpAt + time.Second // the process was paused
			c.answerOverdue(r)
			if sink.answers != 1 || sink.answer.Kind != test.want {
				t.Errorf("got %d answers, the last %v, want one %v", sink.answers, sink.answer.Kind, test.want)
			}
		})
	}
}

// Guards against a rejection of work whose replicas did not reply in time: another instance may have taken it over.
func TestAbortedWorkHasFailed(t *testing.T) {
	c := newIdleCore(t, takeoverConfig("n0"))
	r, sink := submitKeyedRequest(c, 7, "key")
	c.advanceTo(c.now + 2*replicateQueuedAfter)
	c.performTakeoverAction(r, takeover.Action{Kind: takeover.ActionAbort, Attempt: r.ClientID})
	if sink.answers != 1 || sink.answer.Kind != Failed {
		t.Errorf("got %d answers, the last %v, want one %v", sink.answers, sink.answer.Kind, Failed)
	}
}
