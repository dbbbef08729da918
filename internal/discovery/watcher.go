// Package discovery follows the platform's endpoint list: it requests the list, watches for changes, resumes a watch
// that has ended, and drops invalid entries. Watcher takes the address of the local discovery agent, or of discovery
// itself, and the revision of the list that the instance has; it posts lists and changes as they arrive. The pacer
// spaces the calls so that a large fleet doesn't overload discovery. The package depends neither on the policy module's
// state nor on connections to backends.
package discovery

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"hitchspring/internal/store"
)

const (
	// silenceTimeout ends a watch on which nothing arrives. Discovery sends an empty line every 2 s, so the timeout
	// covers two of them, and leaves time for a new watch within the 6 s in which a change must be known.
	silenceTimeout = 4500 * time.Millisecond
	// The instances of a large fleet pick a random silence timeout in this range, so that they don't reconnect at the
	// same time if their watches became silent at the same time.
	minSilenceTimeout = 3400 * time.Millisecond
	maxSilenceTimeout = 5500 * time.Millisecond

	agentTimeout = 1 * time.Second // an agent responds at once, unless discovery is down
	// discoveryTimeout exceeds the 2 s for which discovery queues calls; it rejects those that would wait longer.
	discoveryTimeout = 2500 * time.Millisecond
)

// Watcher keeps an instance's endpoint list up to date. Run does the work; SetAddress and Ready may be called from any
// goroutine. Run starts one goroutine for each address, which ends before Run switches to another address or returns.
// Run owns all fields except addressChanges and ready.
type Watcher struct {
	url            string
	rev            int64 // revision of the last posted list, or of the list that the instance started with
	instances      int   // that share discovery's capacity; 1: a local agent responds
	client         *http.Client
	addressChanges store.Latest[string]
	post           func(List)
	ready          chan struct{} // closed when the first list has arrived or failed to
	markReady      func()        // closes ready, once
	log            *slog.Logger
	random         func() float64 // in [0, 1)
	hasList        bool           // the instance had a list at start, or has received one
	lastTimedOut   bool           // the last watch got no response in time
}

// New returns a watcher of discovery at an address, for an instance that has the list of revision rev already. It calls
// post with every further list and change, from its own goroutine. instances is the number of instances that share
// discovery's capacity; 1 means that a local agent responds, at no cost to discovery.
//
// In a large fleet, an instance that has a list (hasList) opens a watch within 2 s and doesn't request the list; one
// that has none opens its watch at once, and receives the list on it.
func New(addr string, rev int64, instances int, hasList bool, post func(List), log *slog.Logger) *Watcher {
	ready := make(chan struct{})
	return &Watcher{
		url:            listURL(addr),
		rev:            rev,
		instances:      instances,
		hasList:        hasList,
		client:         &http.Client{Transport: &http.Transport{DisableCompression: true}},
		addressChanges: store.NewLatest[string](),
		post:           post,
		log:            log,
		random:         rand.Float64,
		ready:          ready,
		markReady:      sync.OnceFunc(func() { close(ready) }),
	}
}

func listURL(addr string) string { return "http://" + addr + "/registry/instances" }

// Ready returns a channel that is closed when the first list has arrived or failed to arrive. In a large fleet, it is
// closed at once if the instance has a list.
func (w *Watcher) Ready() <-chan struct{} { return w.ready }

// SetAddress makes Run switch to another address; the last call wins. It doesn't block.
func (w *Watcher) SetAddress(addr string) { w.addressChanges.Set(addr) }

// Run follows the endpoint list until ctx ends. It switches to each address set by SetAddress.
func (w *Watcher) Run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	for ctx.Err() == nil {
		followCtx, cancel := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			w.follow(followCtx)
		}()
		select {
		case <-ctx.Done():
		case addr := <-w.addressChanges:
			w.log.Info("discovery address changed", "to", addr)
			cancel()
			<-ended
			w.client.CloseIdleConnections()
			w.url = listURL(addr)
		}
		cancel()
		<-ended
	}
}

// follow requests the list at one address, then watches it until ctx ends. Each watch resumes from the last revision.
func (w *Watcher) follow(ctx context.Context) {
	pace := newPacer(w.instances)
	w.start(ctx, &pace)
	for ctx.Err() == nil {
		began := time.Now()
		received, err := w.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		w.markReady()
		w.lastTimedOut = errors.Is(err, errNoResponse)
		delay := pace.nextDelay(classify(received, err, time.Since(began)), w.random())
		w.log.Warn("discovery watch ended", "err", err, "retry_after", delay)
		sleep(ctx, delay)
	}
}

// start requests the list, or delays the first watch, as the size of the fleet requires.
func (w *Watcher) start(ctx context.Context, pace *pacer) {
	switch {
	case pace.isLargeFleet() && w.hasList: // the watch delivers the changes to that list
		w.markReady()
		sleep(ctx, pace.startDelay(w.random()))
	case pace.isLargeFleet(): // the watch delivers the list, so a separate request is not needed
	default:
		err := w.fetchList(ctx)
		if err != nil && ctx.Err() == nil {
			w.log.Warn("endpoint list request failed", "err", err)
		}
		w.markReady()
	}
}

// sleep waits for delay, or until ctx ends.
func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// classify converts the result of a watch for the pacer. received says whether the watch received data.
func classify(received bool, err error, took time.Duration) callResult {
	var status *statusError
	switch {
	case errors.As(err, &status):
		return callResult{outcome: rejected, took: took, retryAfter: status.retryAfter}
	case errors.Is(err, errWatchSilent):
		return callResult{outcome: watchSilent, took: took}
	case received:
		return callResult{outcome: watchBroken, took: took}
	}
	return callResult{outcome: unreachable, took: took}
}

// responseTimeout returns how long to wait for the response to a call. After a call to discovery without a response the
// timeout is maxCallInterval: otherwise discovery that is a little slower than discoveryTimeout would never be heard.
func (w *Watcher) responseTimeout() time.Duration {
	switch {
	case w.instances == 1:
		return agentTimeout
	case w.lastTimedOut:
		return maxCallInterval
	}
	return discoveryTimeout
}

// pickSilenceTimeout returns how long a watch may receive nothing.
func (w *Watcher) pickSilenceTimeout() time.Duration {
	if w.instances > smallFleet {
		return interval{minSilenceTimeout, maxSilenceTimeout}.pick(w.random())
	}
	return silenceTimeout
}

// accept posts a list or a change, unless a later one was posted: an older list would restore removed backends.
func (w *Watcher) accept(list List) {
	if list.Rev < w.rev {
		w.log.Warn("outdated endpoint list ignored", "rev", list.Rev, "current", w.rev)
		return
	}
	w.rev = list.Rev
	w.hasList = true
	w.post(list.Usable(w.log))
	w.markReady()
}
