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

// outage is how a modelled registry fails.
type outage string

const (
	reachable  outage = "reachable"
	refusing   outage = "refusing"     // open watches are reset, new connections refused
	muted      outage = "silent"       // open watches say nothing more, calls are never answered
	turnedAway outage = "turning away" // open watches are reset, calls answered 503 at once
)

// registry is a model of discovery on virtual time, with one service of fixed capacity for all callers. Calls wait in turn; one
// that would be answered later than patience is refused at once.
type registry struct {
	service time.Duration // of one call
	charge  float64       // share of it that a refused call costs
	late    time.Duration // when it refuses

	mu      sync.Mutex
	state   outage
	rev     int64
	free    time.Time     // when it is through with what it has taken
	changed chan struct{} // closed and made anew with each change of state
	calls   []call
}

// call is one that came, whatever became of it.
type call struct {
	at     time.Time
	caller int
}

const (
	patience  = 2 * time.Second
	blankLine = 2 * time.Second // between empty lines of a watch
)

func newRegistry(callers int, all time.Duration, charge float64) *registry {
	return &registry{service: all / time.Duration(callers), charge: charge, state: reachable, rev: 7, changed: make(chan struct{})}
}

// become changes the state, and the revision if there is news.
func (r *registry) become(s outage, news bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = s
	if news {
		r.rev++
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// carrier answers the calls of one caller.
func (r *registry) carrier(caller int) carrier {
	return func(req *http.Request) (*http.Response, error) {
		state, wait, taken := r.admit(caller)
		switch {
		case state == refusing:
			return nil, errors.New("connection refused")
		case state == muted:
			<-req.Context().Done()
			return nil, req.Context().Err()
		case !taken:
			time.Sleep(r.late)
			return &http.Response{StatusCode: http.StatusServiceUnavailable, Status: "503", Body: http.NoBody, Request: req}, nil
		}
		select {
		case <-req.Context().Done():
			return nil, req.Context().Err()
		case <-time.After(wait):
		}
		in, out := io.Pipe()
		go r.tell(req.Context(), out)
		return &http.Response{StatusCode: http.StatusOK, Status: "200", Body: in, Request: req}, nil
	}
}

// admit records a call and says how long its answer takes, if it is taken at all.
func (r *registry) admit(caller int) (state outage, wait time.Duration, taken bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.calls = append(r.calls, call{now, caller})
	if r.state != reachable {
		return r.state, 0, false
	}
	if r.free.Before(now) {
		r.free = now
	}
	wait = r.free.Sub(now) + r.service
	if wait > patience {
		r.free = r.free.Add(time.Duration(r.charge * float64(r.service)))
		return r.state, 0, false
	}
	r.free = r.free.Add(r.service)
	return r.state, wait, true
}

// tell writes a watch until it ends: a change as soon as there is one, and an empty line every 2 s.
func (r *registry) tell(ctx context.Context, out *io.PipeWriter) {
	told := int64(7)
	for ctx.Err() == nil {
		r.mu.Lock()
		state, rev, changed := r.state, r.rev, r.changed
		r.mu.Unlock()
		switch {
		case state == muted:
			<-ctx.Done()
			out.CloseWithError(ctx.Err())
			return
		case state != reachable:
			out.CloseWithError(errors.New("connection reset"))
			return
		case rev > told:
			fmt.Fprintf(out, `{"rev":%d,"all":false,"targets":[]}`+"\n", rev)
			told = rev
		default:
			io.WriteString(out, "\n")
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(blankLine):
		}
	}
	out.CloseWithError(ctx.Err())
}

// callers are watchers of one registry, and when each was first told of revision 8 or later.
type callers struct {
	mu   sync.Mutex
	told map[int]time.Time
	wg   sync.WaitGroup
}

func startCallers(ctx context.Context, r *registry, n int, seed uint64) *callers {
	c := &callers{told: map[int]time.Time{}}
	for i := range n {
		d := New("127.0.0.1:1", 7, n, true, func(l List) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if _, had := c.told[i]; !had && l.Rev > 7 {
				c.told[i] = time.Now()
			}
		}, quiet)
		seeded(d, seed, uint64(i))
		d.client.Transport = r.carrier(i)
		c.wg.Go(func() { d.Run(ctx) })
	}
	return c
}

// since returns how long after a moment each was told, sorted.
func (c *callers) since(t time.Time) []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var d []time.Duration
	for _, at := range c.told {
		d = append(d, at.Sub(t))
	}
	slices.Sort(d)
	return d
}

// nextCalls returns how long after a moment each caller's first call from then on began, sorted.
func (r *registry) nextCalls(t time.Time) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := map[int]time.Duration{}
	for _, c := range r.calls {
		if _, had := next[c.caller]; !had && !c.at.Before(t) {
			next[c.caller] = c.at.Sub(t)
		}
	}
	var d []time.Duration
	for _, n := range next {
		d = append(d, n)
	}
	slices.Sort(d)
	return d
}

// busiest returns the most calls within any span of a length that begins with a call between two moments.
func (r *registry) busiest(from, to time.Time, span time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	most, first := 0, 0
	for i, c := range r.calls {
		if c.at.Before(from) || !c.at.Before(to) {
			first = i + 1
			continue
		}
		for c.at.Sub(r.calls[first].at) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// percentile of sorted durations; 0 of none.
func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

func last(sorted []time.Duration) time.Duration { return percentile(sorted, 1) }

// describe is one line of figures of a trial.
func describe(t *testing.T, r *registry, c *callers, back time.Time, n int) {
	t.Helper()
	told := c.since(back)
	t.Logf("told %d of %d: p50 %.2f s, p99 %.2f s, last %.2f s; next call %.2f s at the latest; %d calls in the busiest second from then on", len(told), n,
		percentile(told, 0.5).Seconds(), percentile(told, 0.99).Seconds(), last(told).Seconds(), last(r.nextCalls(back)).Seconds(),
		r.busiest(back, back.Add(time.Minute), time.Second))
}
