package takeover

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// reportFalseDeath reports to all other instances that an instance has ended,
// although it is alive.
func (f *testFleet) reportFalseDeath(name string) {
	for other, c := range f.coordinators {
		if other != name {
			c.MemberLeft(f.now, name, 1)
		}
	}
	f.deliverAll()
}

// reportRefutationAt reports to instance at that name, which was believed to have
// ended, is alive.
func (f *testFleet) reportRefutationAt(at, name string) {
	c := f.coordinators[at]
	present := slices.DeleteFunc(numberedMembers(len(f.coordinators)), func(m Member) bool {
		known := slices.ContainsFunc(c.members, func(other Member) bool { return other.Name == m.Name })
		return m.Name != name && !known
	})
	c.MemberReturned(name, 1)
	c.SetMembers(present)
}

// reportRefutation reports to all other instances that name is alive.
func (f *testFleet) reportRefutation(name string) {
	for other := range f.coordinators {
		if other != name {
			f.reportRefutationAt(other, name)
		}
	}
	f.deliverAll()
}

// Guards against an instance being treated as dead after its death was refuted. A
// retry at a wrongly suspected instance must get the answer before and after the
// refutation, whether the answer is stored already or arrives later.
func TestRetryAtInstanceOnceBelievedDead(t *testing.T) {
	for i := range 40 {
		for _, refuted := range []bool{true, false} {
			for _, stored := range []bool{true, false} {
				t.Run(fmt.Sprintf("key %d, refuted %v, answer is stored %v", i, refuted, stored), func(t *testing.T) {
					work := testWork()
					work.Key = fmt.Sprint("customer/", i)
					testRetryAtInstanceOnceBelievedDead(t, work, refuted, stored)
				})
			}
		}
	}
}

func testRetryAtInstanceOnceBelievedDead(t *testing.T, work Work, refuted, stored bool) {
	t.Helper()
	f := newTestFleet(6)
	complete := func() {
		f.coordinators["n0"].Complete(f.now, 1, Answer{Kind: AnswerServed, Value: []byte("v")})
		f.deliverAll()
	}
	f.requestSend("n0", work, 1, ownScope("a"), f.now+4*time.Second)
	f.coordinators["n0"].AttemptSent(f.now, 1)
	f.reportFalseDeath("n3")
	if refuted {
		f.reportRefutation("n3")
	}
	if stored {
		complete()
	}
	f.requestSend("n3", work, 2, ownScope("b"), f.now+3*time.Second)
	f.tickReachable(20)
	if !stored {
		f.expectCount(t, "n3", ActionJoin, 1)
		complete()
	}
	f.expectCount(t, "n3", ActionUseAnswer, 1)
	if sent := f.countEverywhere(ActionSend); sent != 1 {
		t.Errorf("got %d attempts sent, want 1: %+v", sent, f.actions)
	}
}

// Guards against two successors if a replica was wrongly suspected earlier.
func TestOneSuccessorAfterRefutedDeaths(t *testing.T) {
	for i := range 60 {
		for falseDeaths := range 3 {
			t.Run(fmt.Sprintf("key %d, %d false deaths", i, falseDeaths), func(t *testing.T) {
				f := newTestFleet(6)
				work := testWork()
				work.Key = fmt.Sprint("customer/", i)
				for n := range falseDeaths {
					name := fmt.Sprint("n", 1+(i+n)%5)
					f.reportFalseDeath(name)
					f.reportRefutation(name)
				}
				f.requestSend("n0", work, 1, ownScope("a"), f.now+4*time.Second)
				f.coordinators["n0"].AttemptSent(f.now, 1)
				f.disconnect("n0")
				f.reportLeft("n0")
				if taken := f.takeOvers(); len(taken) != 1 {
					t.Errorf("got %d successors, want 1: %v", len(taken), taken)
				}
			})
		}
	}
}

// Guards against a record that stays orphaned after its owner has refuted its
// death, and is then taken over at the next departure.
func TestRecordOfRefutedOwnerIsNotTakenOver(t *testing.T) {
	for i := range 40 {
		t.Run(fmt.Sprint("key ", i), func(t *testing.T) {
			f := newTestFleet(6)
			work := testWork()
			work.Key = fmt.Sprint("customer/", i)
			f.requestSend("n0", work, 1, ownScope("a"), f.now+4*time.Second)
			f.coordinators["n0"].AttemptSent(f.now, 1)
			remotes := f.coordinators["n0"].pending[1].remotes
			second := f.coordinators[remotes[1]]
			second.MemberLeft(f.now, "n0", 1)
			f.reportRefutationAt(remotes[1], "n0")
			f.deliverAll()
			f.disconnect(remotes[0])
			f.reportLeft(remotes[0])
			if got := f.countEverywhere(ActionTakeOver); got != 0 {
				t.Errorf("got %d takeovers of a live owner's work, want none", got)
			}
		})
	}
}

// sendTaken makes all instances that have taken unsent work over request consent
// to send it, as the core does, and advances the time by span.
func (f *testFleet) sendTaken(span time.Duration) {
	requested := map[string]bool{}
	for end := f.now + span; f.now < end; {
		for name, action := range f.takeOvers() {
			if !requested[name] {
				requested[name] = true
				f.coordinators[name].RelocateAttempt(f.now, action.Attempt, ownScope(name))
			}
		}
		f.deliverAll()
		f.tickReachable(1)
	}
}

// Guards against two successors of queued work that wait for each other or both
// send it. There are two if one replica believes the other dead when the owner
// ends.
func TestOneSuccessorSendsQueuedWork(t *testing.T) {
	for i := range 60 {
		t.Run(fmt.Sprint("key ", i), func(t *testing.T) {
			f := newTestFleet(6)
			work := testWork()
			work.Key = fmt.Sprint("customer/", i)
			f.requestSend("n0", work, 1, ScopeNone, f.now+4*time.Second)
			remotes := f.coordinators["n0"].pending[1].remotes
			f.coordinators[remotes[1]].MemberLeft(f.now, remotes[0], 1) // a false report
			f.deliverAll()
			f.disconnect("n0")
			f.reportLeft("n0")
			sent := f.countEverywhere(ActionSend)
			if got := len(f.takeOvers()); got != 2 {
				t.Fatalf("got %d successors, want 2 that differ in their view", got)
			}
			f.sendTaken(maxReplyTimeout + 100*ms)
			if got := f.countEverywhere(ActionSend) - sent; got != 1 {
				t.Errorf("got %d senders, want 1: %+v", got, f.actions)
			}
		})
	}
}
