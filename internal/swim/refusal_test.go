package swim

import (
	"strings"
	"testing"
	"time"
)

// When a host refuses messages for a terminated process, a quorum of refused
// members declares it dead long before silence would. Refusals seen by a single
// member do not suffice, and a member that is alive is not declared dead.
func TestRefusals(t *testing.T) {
	for _, n := range []int{3, 6, 30} {
		c := startCluster(uint64(n), n)
		c.refuse(func(string, string) bool { return true })
		c.run(8 * time.Second)
		delete(c.members, "at-m001")
		took, err := c.runUntilAgreed(3*time.Second, 5*time.Millisecond, without(memberNames(n), "m001")...)
		if err != nil || took > 600*time.Millisecond { // until a member sends it a message, plus the refutation time
			t.Errorf("%d members: got %v after %v, want agreement in 0.6s", n, err, took)
		}
		c.startMember("m001", 5000, "at-m000")
		c.run(c.now + 3*time.Second)
		if err := c.agreeOn(memberNames(n)...); err != nil {
			t.Errorf("%d members, after a restart: %v", n, err)
		}
	}
	t.Run("below the quorum", func(t *testing.T) {
		c := startCluster(7, 6)
		c.refuse(func(from, _ string) bool { return from == "at-m003" })
		c.run(8 * time.Second)
		delete(c.members, "at-m001")
		took, _ := c.runUntilAgreed(5*time.Second, 5*time.Millisecond, without(memberNames(6), "m001")...)
		if took < 400*time.Millisecond {
			t.Errorf("declared dead after %v by refusals of one member, want 0.4s at least", took)
		}
	})
	t.Run("refuted", func(t *testing.T) {
		c := startCluster(8, 6)
		c.run(8 * time.Second)
		refused := c.members["at-m004"]
		for _, addr := range []string{"at-m000", "at-m001", "at-m002"} { // forged or transient refusals
			c.deliver(addr, c.members[addr].HandleRefusal(c.now, "at-m004"))
		}
		dead := false
		for end := c.now + 3*time.Second; c.now < end; {
			c.run(c.now + 5*time.Millisecond)
			dead = dead || !strings.Contains(c.view("at-m005"), "m004")
		}
		if dead || refused.Counts().Refuted == 0 {
			t.Errorf("got dead %v, %d refutations, want false and one or more", dead, refused.Counts().Refuted)
		}
		if out := c.members["at-m000"].HandleRefusal(c.now, "at-m004"); len(out) > 0 {
			t.Errorf("got %d messages for a refusal after a refutation, want none", len(out))
		}
	})
}
