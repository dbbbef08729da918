package discovery

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// drainNotice is by when after discovery's return a drain must be known: an
// instance may send to a draining backend for 2 s from then on.
const drainNotice = 2 * time.Second

// Guards against a drain that is missed between two silences of an instance's
// own agent: the agent had it when it came back, so it counts as told then.
func TestChangeArrivesBetweenTwoSilences(t *testing.T) {
	const (
		silence = 7400 * time.Millisecond
		between = 900 * time.Millisecond
	)
	missed := 0
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			r := newRegistry(1, 10*time.Millisecond, 0)
			c := startCallers(ctx, r, 1, seed)
			time.Sleep(30 * time.Second)
			r.setState(muted, false)
			time.Sleep(silence)
			reachableAt := time.Now()
			r.setState(reachable, true)
			time.Sleep(between)
			r.setState(muted, false)
			time.Sleep(time.Minute)
			if updates := c.updatesSince(reachableAt); len(updates) == 0 || updates[0] > drainNotice {
				missed++
			}
			cancel()
			c.wg.Wait()
		})
	}
	if missed > 0 {
		t.Errorf("%d of 20 instances had not heard of a change %v after their agent had it", missed, drainNotice)
	}
}
