package core

import (
	"testing"
	"time"

	"hitchspring/internal/takeover"
)

// memberNamed returns a member without a zone.
func memberNamed(name string) takeover.Member { return takeover.Member{Name: name} }

// receiveIntent lets a core receive an intent from another instance, in its incarnation 1.
func receiveIntent(c *Core, from string, intent takeover.Intent) {
	c.handle(messageReceived{from, 1, encodePeerMessage(peerMessage{Message: takeover.Message{Intent: &intent}})})
}

// Guards against member changes that are handled grouped by kind instead of in order. A member that returns and then
// ends in one batch has ended, and can't be the successor of another.
func TestLatestMemberChangeWins(t *testing.T) {
	returned := MemberChange{Incarnation: Incarnation{"n1", 1}}
	ended := MemberChange{Incarnation: Incarnation{"n1", 1}, Ended: true}
	tests := map[string]struct {
		changes  []MemberChange
		takeOver int
	}{
		"it returns and ends": {[]MemberChange{ended, returned, ended}, 1},
		"it ends and returns": {[]MemberChange{ended, returned, ended, returned}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newIdleCore(t, takeoverConfig("n2"))
			members := []takeover.Member{memberNamed("n0"), memberNamed("n1")}
			c.handle(membersChanged{members, nil})
			receiveIntent(c, "n0", takeover.Intent{
				Work:      takeover.Work{Key: "key", IdempotencyWindow: 3 * time.Second},
				Attempt:   1,
				Remaining: 2 * time.Second,
				Clock:     c.now,
				Replicas:  []string{"n1", "n2"},
			})
			c.handle(membersChanged{members[:1], test.changes})
			owner := MemberChange{Incarnation: Incarnation{"n0", 1}, Ended: true}
			c.handle(membersChanged{nil, []MemberChange{owner}})
			if got := c.takeover.coordinator.Counts().Replica.TookOver; got != test.takeOver {
				t.Errorf("got %d records taken over, want %d", got, test.takeOver)
			}
		})
	}
}
