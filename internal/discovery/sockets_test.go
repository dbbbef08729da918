package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	standin "hitchspring/internal/standin/discovery"
)

// 24 callers on real sockets, whose discovery takes a call of everyone in 2 s, are all told within 6 s of the moment it can be
// reached again, however it failed. Real time, about 14 s, the three cases at once.
func TestToldSoonAfterOutageOnSockets(t *testing.T) {
	const n, all = 24, 2 * time.Second
	for name, failure := range map[string]standin.Failure{"silent": standin.Silent, "resetting": standin.Resetting, "turning away": standin.TurningAway} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			r := standin.New(1, func() time.Duration { return time.Since(began) }, 0, time.Millisecond)
			t.Cleanup(r.Close)
			addr, err := r.Agent()
			if err != nil {
				t.Fatal(err)
			}
			r.Limit(0, all/n, patience)
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			defer wg.Wait()
			defer cancel()
			told := make(chan int, n)
			for i := range n {
				var once sync.Once
				d := New(addr, 1, n, true, func(l List) {
					for _, x := range l.Targets {
						if x.UID == "new" {
							once.Do(func() { told <- i })
						}
					}
				}, slog.New(slog.DiscardHandler))
				seeded(d, 1, uint64(i))
				wg.Go(func() { d.Run(ctx) })
			}
			time.Sleep(startSpread + 500*time.Millisecond)
			if watches := len(r.Asked()); watches < n {
				t.Fatalf("%d of %d watch", watches, n)
			}
			r.Fail(0, failure)
			time.Sleep(5 * time.Second)
			r.Set(standin.Target{UID: "new", Endpoint: "127.0.0.1:1", State: "SERVING"}, true)
			back := time.Now()
			r.Fail(0, standin.Answering)
			late := time.After(toldWithin + 2*time.Second) // seen, how late they are
			var last time.Duration
			for got := range n {
				select {
				case <-told:
					last = time.Since(back)
				case <-late:
					t.Fatalf("%d of %d were told within %v", got, n, toldWithin+2*time.Second)
				}
			}
			t.Log(fmt.Sprintf("%s: the last was told %.2f s after; %d calls in the busiest second", name, last.Seconds(), r.Busiest(0)))
			if last > toldWithin {
				t.Errorf("told after %v, want %v at most", last, toldWithin)
			}
		})
	}
}
