package core

import (
	"testing"
	"time"

	"hitchspring/internal/takeover"
	"hitchspring/policy"
)

// Tests of faults that were listed in KNOWN-RED.txt until they were mended.

// unreachableTransport delivers nothing.
type unreachableTransport struct{}

func (unreachableTransport) Send(string, []byte) {}

func (unreachableTransport) ClockReading(string) time.Duration { return 0 }

// A request whose awaited attempt never ran starts anew, and its client leaves
// before it is replicated again: nothing of it is kept.
func TestRestartedWorkIsForgotten(t *testing.T) {
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
