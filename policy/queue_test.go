package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestSendsAtOnceWhileTheWindowHasCapacity(t *testing.T) {
	h := newHarness(t, testSettings(), runningBackends("s")...)
	if got := actionsOf[SendAttempt](h.arrive(1, "read", "free")); len(got) != 1 || got[0].Backend != "s" {
		t.Fatalf("got sends %v, want one to s", got)
	}
}

func TestFreedSlotGoesToTheHighestPriority(t *testing.T) {
	h := newHarness(t, testSettings(), runningBackends("s")...)
	h.arrive(1, "read", "free")
	h.arrive(2, "read", "free")
	h.arrive(3, "read", "free")
	h.arrive(4, "read", "dear")
	got := actionsOf[SendAttempt](h.notify(succeeded(1, "s", 20*ms)))
	if len(got) == 0 || got[0].ID != 4 {
		t.Fatalf("got sends %v, want request 4 first", got)
	}
}

func TestQueuedWithLessTimeThanASweepIsRejectedAtOnce(t *testing.T) {
	h := newHarness(t, testSettings()) // no backends, so nothing can be sent
	q := h.request(1, "read", "free")
	q.GiveUpAt = h.now + ms
	if got := h.notify(Arrival{q}); len(actionsOf[Reject](got)) != 1 {
		t.Fatalf("got actions %v, want one rejection", got)
	}
}

// After a stall of the instance, expired requests are ended before free slots of the
// window are used, so that no expired request is sent.
func TestStalledInstanceSweepsBeforeItSends(t *testing.T) {
	h := newHarness(t, testSettings(), runningBackends("s")...)
	for id := RequestID(1); id <= 10; id++ {
		h.arrive(id, "read", "free")
	}
	h.now += 1900 * ms
	if got := actionsOf[SendAttempt](h.notify(TimerFired{})); len(got) > 0 {
		t.Fatalf("got sends %v after the stall, want none", got)
	}
}

// BenchmarkQueued measures one event while no queued request may be sent. The cost
// must not grow with the length of the queue.
func BenchmarkQueued(b *testing.B) {
	for _, queued := range []int{10, 1000, 5000} {
		b.Run(fmt.Sprint(queued), func(b *testing.B) {
			settings := testSettings()
			settings.Classes[0].Deadline = time.Hour
			engine, err := New(settings, 7)
			if err != nil {
				b.Fatal(err)
			}
			now := time.Minute
			var backends []Backend
			for i := range 32 {
				id := BackendID(fmt.Sprint("s", i))
				backends = append(backends, Backend{ID: id, State: Running, Started: now})
			}
			engine.Handle(now, EndpointsChanged{Complete: true, Backends: backends}, nil)
			for id := range RequestID(queued) {
				engine.Handle(now, Arrival{Request{
					ID: id + 1, Class: "read", Plan: "free", Tenant: "c", Units: 1,
					GiveUpAt: now + time.Hour, Spread: 2,
				}}, nil)
			}
			for b.Loop() {
				engine.Handle(now, CounterReply{Name: "x"}, nil)
			}
		})
	}
}
