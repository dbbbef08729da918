package discovery

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// drainNotice bounds the time from the moment discovery is reachable again until
// an instance knows of a drain: it may send to a draining backend for 2 s.
const drainNotice = 2 * time.Second

// Guards against a drain that an instance misses because its agent is reachable
// only briefly between two silences: the instance counts as notified of the
// drain from the moment the agent, which knows of it, is reachable.
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
			r.setState(silent, false)
			time.Sleep(silence)
			reachableAt := time.Now()
			r.setState(reachable, true)
			time.Sleep(between)
			r.setState(silent, false)
			time.Sleep(time.Minute)
			if updates := c.updatesSince(reachableAt); len(updates) == 0 || updates[0] > drainNotice {
				missed++
			}
			cancel()
			c.wg.Wait()
		})
	}
	if missed > 0 {
		t.Errorf("%d of 20 instances had not received a change %v after their agent had it", missed, drainNotice)
	}
}
