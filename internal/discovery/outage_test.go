package discovery

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// updateBound bounds the time from the moment discovery is reachable until a change has arrived, after any outage.
const updateBound = 6 * time.Second

var failingStates = []registryState{refusing, silent, rejecting}

// After an outage of any length and kind, every caller receives the changes within 6 s after discovery is reachable
// again, if discovery can serve one call of each caller within 4 s. Each caller's next call begins within 6 s, too.
func TestChangeArrivesSoonAfterOutage(t *testing.T) {
	for _, n := range []int{24, 100, 350} {
		for _, callAll := range []time.Duration{2 * time.Second, 4 * time.Second} {
			for _, state := range failingStates {
				for _, outage := range []time.Duration{1 * time.Second, 8 * time.Second, 30 * time.Second} {
					name := fmt.Sprintf("%d callers, all in %v, %s for %v", n, callAll, state, outage)
					t.Run(name, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { outageTrial(t, n, callAll, state, outage) })
					})
				}
			}
		}
	}
}

func outageTrial(t *testing.T, n int, callAll time.Duration, state registryState, outage time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := newRegistry(n, callAll, 0)
	c := startCallers(ctx, r, n, *trialSeed)
	time.Sleep(30 * time.Second) // until all watches are open
	failedAt := time.Now()
	r.setState(state, false)
	time.Sleep(outage)
	reachableAt := time.Now()
	r.setState(reachable, true)
	time.Sleep(time.Minute)
	logTrial(t, r, c, reachableAt, n)
	updates, next := c.updatesSince(reachableAt), r.nextCalls(reachableAt)
	if len(updates) < n {
		t.Errorf("got %d of %d callers updated, want all", len(updates), n)
	}
	if longest(updates) > updateBound {
		t.Errorf("got the last update after %v, want at most %v", longest(updates), updateBound)
	}
	if longest(next) > nextCallBound {
		t.Errorf("got a next call after %v, want at most %v", longest(next), nextCallBound)
	}
	if state == rejecting && outage > 10*time.Second {
		// All callers have called once by then. From then on discovery can serve the calls of any 4 s within 4 s.
		settledAt := failedAt.Add(reconnectSpread + 6*time.Second)
		if got := r.maxCalls(settledAt, reachableAt, 4*time.Second); got > n {
			t.Errorf("got %d calls of %d callers in 4 s of rejections, want at most one each", got, n)
		}
	}
	cancel()
	c.wg.Wait()
}

// Discovery that needs 8 s for one call of each caller can't update all of them within 6 s. It still recovers from the
// rush of calls after an outage, and updates each caller, whether a rejection is immediate and costs nothing or half a
// call, or is delayed and costs a complete call.
func TestSlowDiscoveryRecoversFromRush(t *testing.T) {
	for _, n := range []int{24, 350} {
		for cost, delay := range map[float64]time.Duration{0: 0, 0.5: 0, 1: 500 * time.Millisecond} {
			for _, state := range failingStates {
				t.Run(fmt.Sprintf("%d callers, a rejection costs %.1f calls, %s", n, cost, state), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { rushTrial(t, n, cost, delay, state) })
				})
			}
		}
	}
}

func rushTrial(t *testing.T, n int, rejectionCost float64, rejectionDelay time.Duration, state registryState) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := newRegistry(n, 8*time.Second, rejectionCost)
	r.rejectionDelay = rejectionDelay
	c := startCallers(ctx, r, n, *trialSeed)
	time.Sleep(2 * time.Minute)
	r.setState(state, false)
	time.Sleep(8 * time.Second)
	reachableAt := time.Now()
	r.setState(reachable, true)
	time.Sleep(time.Minute)
	logTrial(t, r, c, reachableAt, n)
	if updates := c.updatesSince(reachableAt); len(updates) < n {
		t.Errorf("got %d of %d callers updated within a minute, want all", len(updates), n)
	}
	if got := r.maxCalls(reachableAt, reachableAt.Add(time.Minute), 4*time.Second); got > n*3/2 {
		t.Errorf("got %d calls of %d callers in 4 s, want at most %d", got, n, n*3/2)
	}
	bound := nextCallBound
	if rejectionDelay >= slowRejection {
		bound = sustainedOverloadInterval.max
	}
	if next := r.nextCalls(reachableAt); longest(next) > bound {
		t.Errorf("got a next call after %v, want at most %v", longest(next), bound)
	}
	cancel()
	c.wg.Wait()
}
