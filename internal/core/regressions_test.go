package core

import (
	"testing"
	"time"

	"hitchspring/internal/takeover"
	"hitchspring/policy"
)

// Regression tests for faults that KNOWN-RED.txt listed until they were fixed.

// unreachableTransport delivers no message.
type unreachableTransport struct{}

func (unreachableTransport) Send(string, []byte) {}

func (unreachableTransport) ClockReading(string) time.Duration { return 0 }

// Guards against a leak of a request that waits for another instance's attempt. The attempt never ran, so the request
// is restarted, and its client disconnects before it is replicated again.
func TestDisconnectReleasesRestartedWork(t *testing.T) {
	cfg := testConfig(endpointsAt()) // no backend: the request is queued
	cfg.Takeover = &TakeoverConfig{
		Self:        takeover.Member{Name: "n0"},
		Incarnation: 1,
		Transport:   unreachableTransport{},
	}
	c := newIdleCore(t, cfg)
	r := &Request{
		Request: policy.Request{
			Class:    "read",
			Plan:     "p",
			Tenant:   "tenant",
			GiveUpAt: c.now + time.Minute,
			Units:    1,
		},
		ClientID:       7,
		Sink:           &recordingSink{},
		Command:        testCommand{},
		IdempotencyKey: "key",
	}
	c.handle(requestArrived{r})
	r.pending = &pendingWork{phase: workJoined}
	c.takeover.byAttempt[r.ClientID] = r
	c.performTakeoverAction(r, takeover.Action{Kind: takeover.ActionRestart, Attempt: r.ClientID})
	c.handle(clientsDisconnected{[]*Request{r}})
	if len(c.requests) != 0 || len(c.takeover.byAttempt) != 0 {
		t.Errorf("got %d requests and %d with pending work, want none", len(c.requests), len(c.takeover.byAttempt))
	}
}
