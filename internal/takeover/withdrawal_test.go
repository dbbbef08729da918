package takeover

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// acceptedAttempt is the attempt number that newAcceptedWork uses.
const acceptedAttempt = 2

// workStoredBy returns work with a key of which the named instance is a replica.
func workStoredBy(name string, members []Member, keyPrefix string) Work {
	work := testWork()
	for n := 0; !slices.Contains(Replicas(work.Key, members), name); n++ {
		work.Key = fmt.Sprint(keyPrefix, n)
	}
	return work
}

// completionsOf drains a coordinator and returns the answer kinds of the
// completions of an attempt, by receiver.
func completionsOf(c *Coordinator, attempt uint64) map[string]AnswerKind {
	sent := map[string]AnswerKind{}
	outbox, _ := c.Drain()
	for _, envelope := range outbox {
		if completion := envelope.Message.Completion; completion != nil && completion.Attempt == attempt {
			sent[envelope.To] = completion.Answer.Kind
		}
	}
	return sent
}

// newAcceptedWork returns a coordinator with accepted work that all its remotes
// have granted, and the names of the remotes. Two of the replicas left before the
// request and have returned since.
func newAcceptedWork(t *testing.T, now time.Duration, members []Member, work Work) (*Coordinator, []string) {
	t.Helper()
	self := members[0]
	c := NewCoordinator(self, 1, func(string) time.Duration { return now })
	c.SetMembers(members)
	replicas := Replicas(work.Key, members)
	others := slices.DeleteFunc(replicas, func(name string) bool { return name == self.Name })
	for _, name := range others[:2] {
		c.MemberLeft(now, name, 1)
	}
	c.RequestSend(now, work, acceptedAttempt, ScopeNone, now+10*time.Second)
	replyFromAll(c, now, acceptedAttempt, Reply{Kind: ReplyGranted, Epoch: 1})
	remotes := slices.Clone(c.pending[acceptedAttempt].remotes)
	for _, name := range others[:2] {
		c.MemberReturned(name, 2)
	}
	c.SetMembers(members)
	c.Drain()
	return c, remotes
}

// Guards against a withdrawal that is addressed by positions in a list of remotes
// that has changed since. It was sent to an empty name, or not sent to a replica
// that had granted the intent.
func TestWithdrawalReachesWhoeverGranted(t *testing.T) {
	for i := range 60 {
		members := numberedMembers(4 + i%9)
		work := workStoredBy(members[0].Name, members, fmt.Sprint("customer/", i, "/"))
		for leaver := range 3 {
			t.Run(fmt.Sprintf("%d members, key %d, remote %d leaves", len(members), i, leaver), func(t *testing.T) {
				testWithdrawalReachesWhoeverGranted(t, members, work, leaver)
			})
		}
	}
}

func testWithdrawalReachesWhoeverGranted(t *testing.T, members []Member, work Work, leaver int) {
	t.Helper()
	const now = time.Hour
	c, remotes := newAcceptedWork(t, now, members, work)
	leaves, takesOver := remotes[leaver%len(remotes)], remotes[(leaver+1)%len(remotes)]
	c.Receive(now, takesOver, 1, Message{Intent: &Intent{
		Work:       work,
		Attempt:    acceptedAttempt,
		Epoch:      2,
		Relocation: 1,
		Scope:      Scope{Rack: 5},
		Remaining:  5 * time.Second,
		Clock:      now,
		Replicas:   Replicas(work.Key, members),
	}})
	c.Drain()
	c.MemberLeft(now, leaves, 1)
	withdrawn := completionsOf(c, acceptedAttempt)
	for name := range withdrawn {
		if !slices.ContainsFunc(members, func(m Member) bool { return m.Name == name }) {
			t.Errorf("a withdrawal is sent to %q, which is not a member", name)
		}
	}
	for _, name := range remotes {
		if got := withdrawn[name]; got != AnswerNeverRan {
			t.Errorf("%s has granted the intent and is notified of %v, want %v", name, got, AnswerNeverRan)
		}
	}
}

// Guards against an answer that is not reported to a replica that has granted the
// intent but is no longer a replica of the key. Attempts that wait there would get
// a failure.
func TestCompletionReachesFormerReplicas(t *testing.T) {
	const now = time.Hour
	members := numberedMembers(9)
	work := workStoredBy(members[0].Name, members, "customer/")
	c, remotes := newAcceptedWork(t, now, members, work)
	c.MemberLeft(now, remotes[0], 1)
	if slices.Equal(c.pending[acceptedAttempt].remotes, remotes) {
		t.Fatalf("the remotes are %v as before", remotes)
	}
	c.Drain()
	c.Complete(now, acceptedAttempt, Answer{Kind: AnswerServed})
	reported := completionsOf(c, acceptedAttempt)
	for _, name := range remotes {
		if reported[name] != AnswerServed {
			t.Errorf("%s has granted the intent and is notified of %v, want %v", name, reported[name], AnswerServed)
		}
	}
}
