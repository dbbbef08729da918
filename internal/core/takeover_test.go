package core

import (
	"testing"
	"time"

	"hitchspring/internal/takeover"
	"hitchspring/policy"
)

// keyedCommand is a command that another instance could rebuild a request from.
type keyedCommand struct{ testCommand }

func (keyedCommand) Args() [][]byte { return [][]byte{[]byte("READ")} }

// takeoverConfig returns a configuration with takeover whose class has idempotency keys; no other instance is reached.
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

// arriveKeyed submits a request with an idempotency key.
func arriveKeyed(c *Core, clientID uint64, key string) (*Request, *recordingSink) {
	sink := &recordingSink{}
	r := newRequest(c, clientID, sink)
	r.Tenant = "tenant"
	r.Command = keyedCommand{}
	r.IdempotencyKey = key
	c.handle(requestArrived{r})
	return r, sink
}

// advanceTo lets the loop's timers fire up to a time, every takeoverTickInterval.
func (c *Core) advanceTo(end time.Duration) {
	for c.now < end {
		c.now += takeoverTickInterval
		c.fireTimers()
		c.tickTakeover()
		c.flushEvents()
	}
}

// Guards against a request that waits unrecorded after a restart, and ends with its instance.
func TestRestartedWorkIsReplicatedAgain(t *testing.T) {
	c := newIdleCore(t, takeoverConfig("n0"))
	r, _ := arriveKeyed(c, 7, "key")
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

// Guards against a rejection by a process that was stopped past its client's deadline: meanwhile another instance may
// have taken the queued work over and sent it. What no replica holds is still rejected.
func TestOverdueWorkIsRejectedOnlyIfNoReplicaHoldsIt(t *testing.T) {
	tests := map[string]struct {
		waits time.Duration // before the process is stopped
		want  AnswerKind
	}{
		"replicas may hold it": {2 * replicateQueuedAfter, Failed},
		"no replica holds it":  {0, Rejected},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newIdleCore(t, takeoverConfig("n0"))
			r, sink := arriveKeyed(c, 7, "key")
			c.advanceTo(c.now + test.waits)
			c.now = r.GiveUpAt + time.Second // the process was stopped
			c.answerOverdue(r)
			if sink.answers != 1 || sink.answer.Kind != test.want {
				t.Errorf("got %d answers, the last %v, want one %v", sink.answers, sink.answer.Kind, test.want)
			}
		})
	}
}

// Guards against a rejection of work whose replicas did not answer in time: another instance may have taken it over.
func TestAbortedWorkHasFailed(t *testing.T) {
	c := newIdleCore(t, takeoverConfig("n0"))
	r, sink := arriveKeyed(c, 7, "key")
	c.advanceTo(c.now + 2*replicateQueuedAfter)
	c.performTakeoverAction(r, takeover.Action{Kind: takeover.ActionAbort, Attempt: r.ClientID})
	if sink.answers != 1 || sink.answer.Kind != Failed {
		t.Errorf("got %d answers, the last %v, want one %v", sink.answers, sink.answer.Kind, Failed)
	}
}
