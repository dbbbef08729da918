package discovery

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// updateBound is the bound on the time from the moment discovery can be reached until a change has arrived, whatever
// came before.
const updateBound = 6 * time.Second

var failingStates = []registryState{refusing, muted, rejecting}

// After an outage, of whatever length and kind, what has changed meanwhile reaches every caller within 6 s of the
// moment discovery can be reached, if it can take a call of each within 4 s. Nobody's next call begins later than that.
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
	time.Sleep(30 * time.Second) // all watches are open by then
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
		// All have called once by then. From then on the calls of 4 s fit what 4 s can take.
		settledAt := failedAt.Add(reconnectSpread + 6*time.Second)
		if got := r.maxCalls(settledAt, reachableAt, 4*time.Second); got > n {
			t.Errorf("got %d calls of %d callers in 4 s of rejections, want at most one each", got, n)
		}
	}
	cancel()
	c.wg.Wait()
}

// Where a call of each takes 8 s, 6 s for all can't be had. Whether rejections come at once and cost discovery nothing
// or half of a call, or come late and cost it a complete one, it gets out of the rush, and each caller is updated.
func TestRushAtSlowDiscoveryEnds(t *testing.T) {
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
