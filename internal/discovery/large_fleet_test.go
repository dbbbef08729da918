package discovery

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// overloadedDiscovery serves one call at a time. A call that would wait longer than maxWait is rejected after maxWait,
// and uses its service time nevertheless.
type overloadedDiscovery struct {
	serviceTime time.Duration // of one call
	maxWait     time.Duration
	began       time.Time

	mu      sync.Mutex   // guards the fields below
	freeAt  time.Time    // when all calls received so far are served
	calls   map[int]int  // count of calls by the second in which they arrived
	updated map[int]bool // instances that have received a list
}

// admit records a call, and returns the time until it is served.
func (d *overloadedDiscovery) admit() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.calls[int(now.Sub(d.began)/time.Second)]++
	if d.freeAt.Before(now) {
		d.freeAt = now
	}
	d.freeAt = d.freeAt.Add(d.serviceTime)
	return d.freeAt.Sub(now)
}

func (d *overloadedDiscovery) answer(req *http.Request) (*http.Response, error) {
	wait := d.admit()
	time.Sleep(min(wait, d.maxWait))
	if wait > d.maxWait {
		return respond(req, http.StatusServiceUnavailable, http.NoBody), nil
	}
	in, out := io.Pipe()
	go func() {
		io.WriteString(out, `{"rev":9,"all":false,"targets":[]}`+"\n")
		sendBlankLines(req.Context(), out)
	}()
	return respond(req, http.StatusOK, in), nil
}

// startInstance runs a watcher that has a list already, and fails if it doesn't become ready within 3 s.
func (d *overloadedDiscovery) startInstance(ctx context.Context, t *testing.T, wg *sync.WaitGroup, i, instances int) {
	t.Helper()
	w := New("127.0.0.1:1", 7, instances, true, func(List) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.updated[i] = true
	}, discardLog)
	w.client.Transport = roundTripper(d.answer)
	wg.Go(func() { w.Run(ctx) })
	wg.Go(func() {
		select {
		case <-w.Ready():
		case <-time.After(3 * time.Second):
			t.Errorf("%d instances: got one with a list not ready after 3 s", instances)
		}
	})
}

// A fleet of 80 instances calls an overloaded discovery so rarely that it recovers. Discovery wastes its capacity on
// calls that waited too long, so with the backoff of a small fleet no instance would ever get a list.
func TestManyInstancesLetDiscoveryRecover(t *testing.T) {
	for _, instances := range []int{3, 80} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &overloadedDiscovery{
					serviceTime: 150 * time.Millisecond,
					maxWait:     500 * time.Millisecond,
					began:       time.Now(),
					calls:       map[int]int{},
					updated:     map[int]bool{},
				}
				ctx, cancel := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				for i := range instances {
					d.startInstance(ctx, t, &wg, i, instances)
				}
				time.Sleep(60 * time.Second)
				d.mu.Lock()
				updated := len(d.updated)
				d.mu.Unlock()
				cancel()
				wg.Wait()
				total, busiest := 0, 0
				for _, calls := range d.calls {
					total += calls
					busiest = max(busiest, calls)
				}
				if updated < instances/2 {
					t.Errorf("got %d of %d instances updated in a minute, with %d calls, want at least half",
						updated, instances, total)
				}
				if instances > smallFleet && busiest > 2*instances/3 {
					t.Errorf("got %d calls of %d instances in one second, want at most two thirds", busiest, instances)
				}
			})
		})
	}
}

// An instance of a large fleet that has no list calls at once.
func TestLargeFleetWithoutListCallsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, calledAfter := time.Now(), time.Duration(-1)
		w := New("127.0.0.1:1", 0, 80, false, func(List) {}, discardLog)
		w.client.Transport = roundTripper(func(req *http.Request) (*http.Response, error) {
			if calledAfter < 0 {
				calledAfter = time.Since(began)
			}
			return respond(req, http.StatusOK, textBody(`{"rev":1,"all":true,"targets":[]}`)), nil
		})
		stop := startWatcher(t, w)
		<-w.Ready()
		stop()
		if calledAfter != 0 {
			t.Errorf("got the first call after %v, want it at once", calledAfter)
		}
	})
}
