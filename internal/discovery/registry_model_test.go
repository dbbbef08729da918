package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// registryState is how a registry responds to calls.
type registryState string

const (
	reachable registryState = "reachable"
	refusing  registryState = "refusing"  // open watches are reset, new connections are refused
	silent    registryState = "silent"    // open watches send nothing more, new calls get no response
	rejecting registryState = "rejecting" // open watches are reset, new calls are rejected with status 503
)

const (
	firstRev     = 7 // the revision that all callers start with
	maxQueueTime = 2 * time.Second
)

// registry is a model of discovery in virtual time: a single server with a FIFO queue for all callers. A call that
// would take longer than maxQueueTime is rejected.
type registry struct {
	serviceTime    time.Duration // of one call
	rejectionCost  float64       // fraction of serviceTime that a rejected call uses
	rejectionDelay time.Duration // delay of a rejection

	mu      sync.Mutex // guards the fields below
	state   registryState
	rev     int64
	freeAt  time.Time     // when all calls received so far are served
	changed chan struct{} // closed and replaced at each change of state
	calls   []registryCall
}

// registryCall is a call that arrived, whatever the response.
type registryCall struct {
	at     time.Time
	caller int
}

// newRegistry returns a registry that serves one call of each caller within callAll.
func newRegistry(callers int, callAll time.Duration, rejectionCost float64) *registry {
	return &registry{
		serviceTime:   callAll / time.Duration(callers),
		rejectionCost: rejectionCost,
		state:         reachable,
		rev:           firstRev,
		changed:       make(chan struct{}),
	}
}

// setState changes the state. With listChanges it also increments the revision.
func (r *registry) setState(state registryState, listChanges bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	if listChanges {
		r.rev++
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// transport returns the HTTP transport of one caller.
func (r *registry) transport(caller int) roundTripper {
	return func(req *http.Request) (*http.Response, error) {
		ctx := req.Context()
		state, wait, admitted := r.admit(caller)
		switch {
		case state == refusing:
			return nil, errors.New("connection refused")
		case state == silent:
			<-ctx.Done()
			return nil, ctx.Err()
		case !admitted:
			time.Sleep(r.rejectionDelay)
			return respond(req, http.StatusServiceUnavailable, http.NoBody), nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(wait):
		}
		in, out := io.Pipe()
		go r.writeWatch(ctx, out)
		return respond(req, http.StatusOK, in), nil
	}
}

// admit records a call. If the call is admitted, it returns the delay of its response.
func (r *registry) admit(caller int) (state registryState, wait time.Duration, admitted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.calls = append(r.calls, registryCall{now, caller})
	if r.state != reachable {
		return r.state, 0, false
	}
	if r.freeAt.Before(now) {
		r.freeAt = now
	}
	wait = r.freeAt.Sub(now) + r.serviceTime
	if wait > maxQueueTime {
		r.freeAt = r.freeAt.Add(time.Duration(r.rejectionCost * float64(r.serviceTime)))
		return r.state, 0, false
	}
	r.freeAt = r.freeAt.Add(r.serviceTime)
	return r.state, wait, true
}

// writeWatch writes the body of a watch until the watch ends: each change at once, and empty lines.
func (r *registry) writeWatch(ctx context.Context, out *io.PipeWriter) {
	written := int64(firstRev)
	for ctx.Err() == nil {
		r.mu.Lock()
		state, rev, changed := r.state, r.rev, r.changed
		r.mu.Unlock()
		switch {
		case state == silent:
			<-ctx.Done()
			out.CloseWithError(ctx.Err())
			return
		case state != reachable:
			out.CloseWithError(errors.New("connection reset"))
			return
		case rev > written:
			fmt.Fprintf(out, `{"rev":%d,"all":false,"targets":[]}`+"\n", rev)
			written = rev
		default:
			io.WriteString(out, "\n")
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(blankLineInterval):
		}
	}
	out.CloseWithError(ctx.Err())
}

// callers is a fleet of watchers of one registry.
type callers struct {
	wg        sync.WaitGroup
	mu        sync.Mutex        // guards updatedAt
	updatedAt map[int]time.Time // when a list later than firstRev first reached each caller
}

func startCallers(ctx context.Context, r *registry, n int, seed uint64) *callers {
	c := &callers{updatedAt: map[int]time.Time{}}
	for i := range n {
		w := New("127.0.0.1:1", firstRev, n, true, func(l List) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if _, updated := c.updatedAt[i]; !updated && l.Rev > firstRev {
				c.updatedAt[i] = time.Now()
			}
		}, discardLog)
		seedWatcher(w, seed, uint64(i))
		w.client.Transport = r.transport(i)
		c.wg.Go(func() { w.Run(ctx) })
	}
	return c
}

// updatesSince returns the time from a moment until each caller was updated, sorted.
func (c *callers) updatesSince(moment time.Time) []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var delays []time.Duration
	for _, at := range c.updatedAt {
		delays = append(delays, at.Sub(moment))
	}
	slices.Sort(delays)
	return delays
}

// nextCalls returns the time from a moment until each caller's next call, sorted.
func (r *registry) nextCalls(moment time.Time) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := map[int]time.Duration{}
	for _, call := range r.calls {
		if _, known := next[call.caller]; !known && !call.at.Before(moment) {
			next[call.caller] = call.at.Sub(moment)
		}
	}
	var delays []time.Duration
	for _, delay := range next {
		delays = append(delays, delay)
	}
	slices.Sort(delays)
	return delays
}

// maxCalls returns the max number of calls within any window of length span that lies between from and to.
func (r *registry) maxCalls(from, to time.Time, span time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	maxCount, first := 0, 0
	for i, call := range r.calls {
		if call.at.Before(from) || !call.at.Before(to) {
			first = i + 1
			continue
		}
		for call.at.Sub(r.calls[first].at) >= span {
			first++
		}
		maxCount = max(maxCount, i-first+1)
	}
	return maxCount
}

// percentile returns a percentile of sorted durations; 0 if there are none.
func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

func longest(sorted []time.Duration) time.Duration { return percentile(sorted, 1) }

// logTrial logs the results of a trial in which the registry was reachable again at reachableAt.
func logTrial(t *testing.T, r *registry, c *callers, reachableAt time.Time, n int) {
	t.Helper()
	updates := c.updatesSince(reachableAt)
	t.Logf("updated %d of %d: p50 %.2f s, p99 %.2f s, last %.2f s; last next call %.2f s; max %d calls in a second",
		len(updates), n,
		percentile(updates, 0.5).Seconds(), percentile(updates, 0.99).Seconds(), longest(updates).Seconds(),
		longest(r.nextCalls(reachableAt)).Seconds(),
		r.maxCalls(reachableAt, reachableAt.Add(time.Minute), time.Second))
}
