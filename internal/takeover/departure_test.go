package takeover

import (
	"slices"
	"testing"
	"time"
)

// newWaitingWork returns the coordinator of an instance that has the consent of
// all remotes to attempt 1 in ownScope("a"). The instance itself is not a replica
// of the key.
func newWaitingWork(t *testing.T, now time.Duration) *Coordinator {
	t.Helper()
	members := numberedMembers(9)
	work := testWork()
	for slices.Contains(Replicas(work.Key, members), members[0].Name) {
		work.Key += "x"
	}
	c := NewCoordinator(members[0], 1, func(string) time.Duration { return now })
	c.SetMembers(members)
	c.RequestSend(now, work, 1, ownScope("a"), now+4*time.Second)
	replyFromAll(c, now, 1, Reply{Kind: ReplyGranted, Epoch: 1})
	if _, actions := c.Drain(); len(actions) != 1 || actions[0].Kind != ActionSend {
		t.Fatalf("got %+v, want one %v", actions, ActionSend)
	}
	return c
}

// actionsWithin calls Tick every 10 ms for a span. It returns the actions and when
// each was emitted, relative to start.
func actionsWithin(c *Coordinator, start, span time.Duration) (actions []Action, at []time.Duration) {
	for now := start; now <= start+span; now += 10 * ms {
		c.Tick(now)
		_, emitted := c.Drain()
		for _, action := range emitted {
			actions, at = append(actions, action), append(at, now-start)
		}
	}
	return actions, at
}

// Guards against a rejection that is never confirmed because a replica leaves
// while the confirmation is awaited.
func TestRejectionIsConfirmedWhenRemoteLeaves(t *testing.T) {
	const now = time.Hour
	c := newWaitingWork(t, now)
	c.AttemptSent(now, 1)
	c.ConfirmRejection(now, 1)
	c.MemberLeft(now, c.pending[1].remotes[1], 1)
	actions, at := actionsWithin(c, now, time.Second)
	if len(actions) != 1 || actions[0].Kind != ActionAbort || at[0] > outcomeQueryTimeout+10*ms {
		t.Errorf("got %+v at %v, want one %v within %v", actions, at, ActionAbort, outcomeQueryTimeout)
	}
}

// Guards against a wait for consent that starts again with each departure.
func TestDeparturesDoNotProlongTheWait(t *testing.T) {
	now := time.Hour
	c := newWaitingWork(t, now)
	c.RelocateAttempt(now, 1, ownScope("b"))
	for range 5 {
		now += 70 * ms
		c.MemberLeft(now, c.pending[1].remotes[0], 1)
	}
	actions, at := actionsWithin(c, now, time.Second)
	if len(actions) != 1 || actions[0].Kind != ActionAbort || at[0] > maxReplyTimeout-5*70*ms+10*ms {
		t.Errorf("got %+v at %v, want one %v within %v of its request", actions, at, ActionAbort, maxReplyTimeout)
	}
}

// Guards against the withdrawal of an attempt that may be on the wire. It was
// reported as never having run when a replica left while the instance's own record
// named another owner.
func TestAttemptOnWireIsNotWithdrawn(t *testing.T) {
	const now = time.Hour
	members := numberedMembers(9)
	work := workStoredBy(members[0].Name, members, "customer/")
	c := NewCoordinator(members[0], 1, func(string) time.Duration { return now })
	c.SetMembers(members)
	c.RequestSend(now, work, 1, ScopeNone, now+4*time.Second)
	replyFromAll(c, now, 1, Reply{Kind: ReplyGranted, Epoch: 1})
	remotes := c.pending[1].remotes
	c.RelocateAttempt(now, 1, ownScope("a"))
	replyFromAll(c, now, 1, Reply{Kind: ReplyGranted, Epoch: 1})
	c.AttemptSent(now, 1)
	c.Receive(now, remotes[0], 1, Message{Intent: &Intent{
		Work:       work,
		Attempt:    1,
		Epoch:      2,
		Relocation: 1,
		Scope:      ownScope("b"),
		Remaining:  4 * time.Second,
		Clock:      now,
		Replicas:   Replicas(work.Key, members),
	}})
	c.Drain()
	c.MemberLeft(now, remotes[1], 1)
	outbox, actions := c.Drain()
	if len(actions) != 0 {
		t.Errorf("got %+v, want no action: the attempt goes on", actions)
	}
	for _, envelope := range outbox {
		if completion := envelope.Message.Completion; completion != nil {
			t.Errorf("%s is notified of %v for an attempt that is on the wire", envelope.To, completion.Answer.Kind)
		}
	}
}
