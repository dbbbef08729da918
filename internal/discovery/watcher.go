// Package discovery follows the platform's endpoint list: it requests the list, watches for changes, resumes a watch
// that has ended, and drops what can't be used. Watcher takes the address of the agent, or of discovery itself, and the
// revision of the list that the instance has; it posts lists and changes as they arrive. The pacer spaces the calls so
// that a large fleet doesn't overload discovery. The package knows neither the policy module's state nor a connection
// to a backend.
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
	// silenceTimeout ends a watch that brings nothing. It takes two of the empty lines that come every 2 s, and leaves
	// time for a new watch within the 6 s in which a change is to be known.
	silenceTimeout = 4500 * time.Millisecond
	// A large fleet draws the timeout between these, so that instances whose watches fell silent at one moment don't
	// return at one moment.
	minSilenceTimeout = 3400 * time.Millisecond
	maxSilenceTimeout = 5500 * time.Millisecond

	agentTimeout = 1 * time.Second // an agent answers at once, unless discovery is down
	// discoveryTimeout exceeds the 2 s for which discovery lets calls wait; it rejects what would wait longer.
	discoveryTimeout = 2500 * time.Millisecond
)

// Watcher keeps an instance's endpoint list up to date. Run is the only method that does work; SetAddress and Ready may
// be called from any goroutine. Run starts one goroutine for each address, which ends before Run moves on or returns,
// and owns all fields except addressChanges and ready.
type Watcher struct {
	url            string
	rev            int64 // of the last list that was posted, or that the instance began with
	instances      int   // that share what discovery can take; 1: an agent answers by itself
	client         *http.Client
	addressChanges store.Latest[string]
	post           func(List)
	ready          chan struct{} // closed after the first list, or when that has failed
	markReady      func()        // closes ready, once
	log            *slog.Logger
	random         func() float64 // in [0, 1)
	hasList        bool           // a list came with the configuration, or since
	lastUnanswered bool           // the last watch was not answered in time
}

// New returns a watcher of discovery at an address, for an instance that has the list of revision rev already. It calls
// post with every further list and change, from its own goroutine. instances is the number of instances that share what
// discovery can take; 1 means that an agent answers by itself, at no cost to discovery.
//
// In a large fleet, an instance that has a list (hasList) begins to watch within 2 s and requests no list besides; one
// that has none begins at once, and the watch brings the list.
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

// Ready returns a channel that is closed when a first list has come, or that has failed.
func (w *Watcher) Ready() <-chan struct{} { return w.ready }

// SetAddress lets Run move to another address; of several the last counts. It doesn't block.
func (w *Watcher) SetAddress(addr string) { w.addressChanges.Set(addr) }

// Run requests the list and watches it until ctx ends, at each address that is set in turn.
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

// follow requests the list, then watches it, at one address. Whatever ends a watch, the next resumes from the last
// revision.
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
		w.lastUnanswered = errors.Is(err, errUnanswered)
		delay := pace.nextDelay(classify(received, err, time.Since(began)), w.random())
		w.log.Warn("discovery watch ended", "err", err, "retry_after", delay)
		sleep(ctx, delay)
	}
}

// start does what comes before the first watch.
func (w *Watcher) start(ctx context.Context, pace *pacer) {
	switch {
	case pace.isLargeFleet() && w.hasList: // serves with that list; the watch brings what has changed
		w.markReady()
		sleep(ctx, pace.startDelay(w.random()))
	case pace.isLargeFleet(): // the watch brings the list, so that a request for it would be a second call
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

// classify returns the result of a watch for the pacer. received says whether the watch brought anything.
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

// answerTimeout returns how long a call may stay unanswered. A call to discovery that follows an unanswered one may
// take as long as calls are apart: else nothing would ever come from discovery that is a little slower than
// discoveryTimeout.
func (w *Watcher) answerTimeout() time.Duration {
	switch {
	case w.instances == 1:
		return agentTimeout
	case w.lastUnanswered:
		return maxCallInterval
	}
	return discoveryTimeout
}

// drawSilenceTimeout returns how long a watch may bring nothing.
func (w *Watcher) drawSilenceTimeout() time.Duration {
	if w.instances > smallFleet {
		return interval{minSilenceTimeout, maxSilenceTimeout}.pick(w.random())
	}
	return silenceTimeout
}

// accept posts a list or a change, unless a later one was posted: an older one would revive what is gone.
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
