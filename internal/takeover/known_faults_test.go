package takeover

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Tests of faults that were listed in KNOWN-RED.txt until they were fixed.

// replyFromAll delivers the same reply from all remotes of a pending attempt.
func replyFromAll(c *Coordinator, now time.Duration, attempt uint64, reply Reply) {
	work := c.pending[attempt]
	reply.Key, reply.Attempt, reply.Relocation, reply.Clock = work.Key, attempt, work.relocation, now
	for _, remote := range work.remotes {
		c.Receive(now, remote, 1, Message{Reply: &reply})
	}
}

// Guards against a panic when an intent is withdrawn after its remotes have
// changed. Accepted work has four remotes because two of its replicas have left.
// These return, another instance takes the work over, and a remote leaves.
func TestIntentIsWithdrawnAfterReplicasChanged(t *testing.T) {
	const now = time.Hour
	members := numberedMembers(12)
	self := members[0].Name
	work := testWork()
	for i := 0; !slices.Contains(Replicas(work.Key, members), self); i++ {
		work.Key = fmt.Sprint("customer/", i)
	}
	replicas := Replicas(work.Key, members)
	c := NewCoordinator(members[0], 1, func(string) time.Duration { return now })
	c.SetMembers(members)
	others := slices.DeleteFunc(slices.Clone(replicas), func(name string) bool { return name == self })
	for _, name := range others {
		c.MemberLeft(now, name, 1)
	}
	c.RequestSend(now, work, 1, ScopeNone, now+10*time.Second)
	replyFromAll(c, now, 1, Reply{Kind: ReplyGranted, Epoch: 1})
	remotes := slices.Clone(c.pending[1].remotes)
	if len(remotes) != 4 {
		t.Fatalf("got the remotes %v, want four of them", remotes)
	}
	for _, name := range others {
		c.MemberReturned(name, 2)
	}
	c.SetMembers(members)
	c.Receive(now, remotes[1], 1, Message{Intent: &Intent{
		Work:       work,
		Attempt:    1,
		Epoch:      2,
		Relocation: 1,
		Scope:      Scope{Rack: 5},
		Remaining:  5 * time.Second,
		Clock:      now,
		Replicas:   replicas,
	}})
	c.Drain()
	defer func() {
		if failure := recover(); failure != nil {
			t.Errorf("got the panic %v, want a withdrawn intent", failure)
		}
	}()
	c.MemberLeft(now, remotes[0], 1)
}

// An attempt that adopts another awaits the consent to the other's scope. It must
// still get ActionAdopt if a remote leaves meanwhile.
func TestAdoptionGoesOnWhenRemoteLeaves(t *testing.T) {
	members := numberedMembers(6)
	work := testWork()
	for slices.Contains(Replicas(work.Key, members), members[0].Name) {
		work.Key += "x"
	}
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprint("a remote leaves ", leaves), func(t *testing.T) {
			now := time.Hour
			c := NewCoordinator(members[0], 1, func(string) time.Duration { return now })
			c.SetMembers(members)
			c.RequestSend(now, work, 1, ScopeNone, now+4*time.Second)
			replyFromAll(c, now, 1, Reply{Kind: ReplyGranted, Epoch: 1})
			c.RelocateAttempt(now, 1, ownScope("a"))
			replyFromAll(c, now, 1, Reply{Kind: ReplyAdopt, Epoch: 3, Scope: ownScope("b")})
			c.Drain()
			if leaves {
				c.MemberLeft(now, c.pending[1].remotes[1], 1)
			}
			var actions []Action
			for range 350 {
				now += 10 * ms
				c.Tick(now)
				_, emitted := c.Drain()
				actions = append(actions, emitted...)
			}
			if len(actions) != 1 || actions[0].Kind != ActionAdopt {
				t.Errorf("got %+v within 3.5 s, want one %v", actions, ActionAdopt)
			}
		})
	}
}
