package discovery

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// toldWithin is the bound on the time from the moment discovery can be reached to a change being told, whatever came before.
const toldWithin = 6 * time.Second

// After an outage, of whatever length and kind, every caller has what changed meanwhile within 6 s of the moment discovery can
// be reached, where it can take a call of everyone within 4 s; and nobody's next call begins later than that.
func TestToldSoonAfterOutage(t *testing.T) {
	for _, n := range []int{24, 100, 350} {
		for _, all := range []time.Duration{2 * time.Second, 4 * time.Second} {
			for _, kind := range []outage{refusing, muted, turnedAway} {
				for _, down := range []time.Duration{1 * time.Second, 8 * time.Second, 30 * time.Second} {
					t.Run(fmt.Sprintf("%d callers, all in %v, %s for %v", n, all, kind, down), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { outageTrial(t, n, all, kind, down) })
					})
				}
			}
		}
	}
}

func outageTrial(t *testing.T, n int, all time.Duration, kind outage, down time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := newRegistry(n, all, 0)
	c := startCallers(ctx, r, n, *seedOf)
	time.Sleep(30 * time.Second) // all watches are open by then
	fell := time.Now()
	r.become(kind, false)
	time.Sleep(down)
	back := time.Now()
	r.become(reachable, true)
	time.Sleep(time.Minute)
	describe(t, r, c, back, n)
	told, next := c.since(back), r.nextCalls(back)
	if len(told) < n {
		t.Errorf("%d of %d were told at all", len(told), n)
	}
	if last(told) > toldWithin {
		t.Errorf("told after %v, want %v at most", last(told), toldWithin)
	}
	if last(next) > afterReach {
		t.Errorf("a next call began after %v, want %v at most", last(next), afterReach)
	}
	if kind == turnedAway && down > 10*time.Second { // all have called once; from then on the calls of 4 s fit what 4 s can take
		settled := fell.Add(reconnectSpread + 6*time.Second)
		if most := r.busiest(settled, back, 4*time.Second); most > n {
			t.Errorf("%d calls of %d callers in 4 s of refusals", most, n)
		}
	}
	cancel()
	c.wg.Wait()
}

// Where a call of everyone takes 8 s, 6 s for all can't be had. Whether refusals come at once and cost discovery nothing or half
// of a call, or come late and cost it a whole one, it gets out of the rush, and each caller is told.
func TestRushAtSlowDiscoveryEnds(t *testing.T) {
	const all = 8 * time.Second
	for _, n := range []int{24, 350} {
		for charge, late := range map[float64]time.Duration{0: 0, 0.5: 0, 1: 500 * time.Millisecond} {
			for _, kind := range []outage{refusing, muted, turnedAway} {
				t.Run(fmt.Sprintf("%d callers, a refusal costs %.1f calls, %s", n, charge, kind), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						ctx, cancel := context.WithCancel(t.Context())
						defer cancel()
						r := newRegistry(n, all, charge)
						r.late = late
						c := startCallers(ctx, r, n, *seedOf)
						time.Sleep(2 * time.Minute)
						r.become(kind, false)
						time.Sleep(8 * time.Second)
						back := time.Now()
						r.become(reachable, true)
						time.Sleep(time.Minute)
						describe(t, r, c, back, n)
						told := c.since(back)
						if len(told) < n {
							t.Errorf("%d of %d were told within a minute", len(told), n)
						}
						if most := r.busiest(back, back.Add(time.Minute), 4*time.Second); most > n*3/2 {
							t.Errorf("%d calls of %d callers in 4 s", most, n)
						}
						most := afterReach
						if late >= slowRejection {
							most = sustainedOverloadInterval.max
						}
						if first := r.nextCalls(back); last(first) > most {
							t.Errorf("a next call began after %v", last(first))
						}
						cancel()
						c.wg.Wait()
					})
				})
			}
		}
	}
}
