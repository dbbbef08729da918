package discovery

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	standin "hitchspring/internal/standin/discovery"
)

// startNamedWatchers runs n watchers of an agent. Each watcher's index is sent on the channel when the watcher has
// received a backend named "new".
func startNamedWatchers(ctx context.Context, wg *sync.WaitGroup, addr string, n int) <-chan int {
	updated := make(chan int, n)
	for i := range n {
		var once sync.Once
		w := New(addr, 1, n, true, func(l List) {
			for _, target := range l.Targets {
				if target.UID == "new" {
					once.Do(func() { updated <- i })
				}
			}
		}, slog.New(slog.DiscardHandler))
		seedWatcher(w, 1, uint64(i))
		wg.Go(func() { w.Run(ctx) })
	}
	return updated
}

// awaitUpdates waits for n updates and returns the time from since to the last one. It waits 2 s longer than
// updateBound, so that late updates are reported with their delay.
func awaitUpdates(t *testing.T, updated <-chan int, n int, since time.Time) time.Duration {
	t.Helper()
	const deadline = updateBound + 2*time.Second
	timeout := time.After(deadline)
	var last time.Duration
	for got := range n {
		select {
		case <-updated:
			last = time.Since(since)
		case <-timeout:
			t.Fatalf("got %d of %d callers updated within %v, want all", got, n, deadline)
		}
	}
	return last
}

// On real sockets, a change reaches 24 callers within 6 s after discovery is reachable again, however it failed, if
// discovery serves one call of each caller in 2 s. In real time, about 14 s, the three cases in parallel.
func TestChangeArrivesSoonAfterOutageOnSockets(t *testing.T) {
	const n, callAll = 24, 2 * time.Second
	for name, failure := range map[string]standin.Failure{
		"silent":    standin.Silent,
		"resetting": standin.Resetting,
		"rejecting": standin.Rejecting,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			r := standin.New(1, func() time.Duration { return time.Since(began) }, 0, time.Millisecond)
			t.Cleanup(r.Close)
			addr, err := r.AddAgent()
			if err != nil {
				t.Fatal(err)
			}
			r.Limit(0, callAll/n, maxQueueTime)
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			defer wg.Wait()
			defer cancel()
			updated := startNamedWatchers(ctx, &wg, addr, n)
			time.Sleep(startSpread + 500*time.Millisecond)
			if watches := len(r.Polls()); watches < n {
				t.Fatalf("got %d watches of %d callers, want one each", watches, n)
			}
			r.Fail(0, failure)
			time.Sleep(5 * time.Second)
			r.Set(standin.Target{UID: "new", Endpoint: "127.0.0.1:1", State: "SERVING"}, true)
			reachableAt := time.Now()
			r.Fail(0, standin.Answering)
			last := awaitUpdates(t, updated, n, reachableAt)
			t.Logf("last update after %.2f s; %d calls in the busiest second", last.Seconds(), r.MaxCallsPerSecond(0))
			if last > updateBound {
				t.Errorf("got the last update after %v, want at most %v", last, updateBound)
			}
		})
	}
}
