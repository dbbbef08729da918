// Package discovery follows the platform's list of backends: it lists, watches, resumes, and leaves aside what can't be used.
// In: the address of the agent, or of discovery itself, and the list last held. Out: lists and changes, each posted as it
// comes. It knows neither the decision module's books nor a connection to a backend.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hitchspring/internal/store"
)

const (
	silenceTimeout    = 4500 * time.Millisecond // two of the empty lines that come every 2 s: what a silent watch misses counts as told after 6 s
	minSilenceTimeout = 3400 * time.Millisecond // of many, so that those whose watches fell silent together don't return together: between these
	maxSilenceTimeout = 5500 * time.Millisecond
	agentTimeout      = 1 * time.Second         // an agent answers at once, unless discovery is down
	discoveryTimeout  = 2500 * time.Millisecond // discovery itself lets calls wait for 2 s, and refuses what would wait longer
)

// Watcher keeps an instance's list of backends up to date.
type Watcher struct {
	url            string
	rev            int64
	instances      int // that share what discovery can take; 1: its agent answers by itself
	client         *http.Client
	addressChanges store.Latest[string]
	post           func(List)
	ready          chan struct{} // closed after the first list, or when that failed
	markReady      func()        // closes first, once
	log            *slog.Logger
	random         func() float64 // in [0, 1)
	hasList        bool           // a list came, with the configuration or since
	lastUnanswered bool           // the last watch was not answered in time
}

// New returns a watcher of discovery at an address, which holds the list of a revision already. It posts every further list
// and change from its own goroutine. Instances is how many share what discovery can take (1: its agent answers by itself, at
// no cost); the pacer says how they do. Beyond a few, those that hold a list (known) begin to watch within 2 s
// and ask for no whole list besides; those that hold none begin to watch at once, and the watch brings it.
func New(addr string, rev int64, instances int, known bool, post func(List), log *slog.Logger) *Watcher {
	first := make(chan struct{})
	return &Watcher{
		url: listURL(addr), rev: rev, instances: instances, hasList: known,
		client:         &http.Client{Transport: &http.Transport{DisableCompression: true}},
		addressChanges: store.NewLatest[string](), post: post, log: log,
		random: rand.Float64, ready: first, markReady: sync.OnceFunc(func() { close(first) }),
	}
}

func listURL(addr string) string { return "http://" + addr + "/registry/instances" }

// Listed closes when a first list has come, or that has failed.
func (w *Watcher) Ready() <-chan struct{} { return w.ready }

// Move goes over to another address; of several the last counts. It waits for nothing.
func (w *Watcher) SetAddress(addr string) { w.addressChanges.Set(addr) }

// Run lists and watches until ctx ends, at each address that it is moved to in turn.
func (w *Watcher) Run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	for ctx.Err() == nil {
		here, leave := context.WithCancel(ctx)
		left := make(chan struct{})
		go func() {
			defer close(left)
			w.follow(here)
		}()
		select {
		case <-ctx.Done():
		case addr := <-w.addressChanges:
			w.log.Info("discovery moves", "to", addr)
			leave()
			<-left
			w.client.CloseIdleConnections()
			w.url = listURL(addr)
		}
		leave()
		<-left
	}
}

// follow lists, then watches, at one address. Whatever breaks the watch, it resumes from the version held.
func (w *Watcher) follow(ctx context.Context) {
	pace := newPacer(w.instances)
	w.start(ctx, &pace)
	for ctx.Err() == nil {
		began := time.Now()
		heard, err := w.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		w.markReady()
		w.lastUnanswered = errors.Is(err, errUnanswered)
		wait := pace.nextDelay(classify(heard, err, time.Since(began)), w.random())
		w.log.Warn("discovery: the watch ended", "err", err, "again_after", wait)
		sleep(ctx, wait)
	}
}

// begin does what comes before the first watch.
func (w *Watcher) start(ctx context.Context, pace *pacer) {
	switch {
	case pace.isLargeFleet() && w.hasList: // serves with what it has; the watch brings the rest
		w.markReady()
		sleep(ctx, pace.startDelay(w.random()))
	case pace.isLargeFleet(): // the watch brings the whole list; a call for it would be a second one
	default:
		err := w.fetchList(ctx)
		if err != nil && ctx.Err() == nil {
			w.log.Warn("discovery: no list yet", "err", err)
		}
		w.markReady()
	}
}

// pause waits, unless ctx ends before.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// resultOf sorts the end of a watch for the pacer.
func classify(heard bool, err error, took time.Duration) callResult {
	var status *statusError
	switch {
	case errors.As(err, &status):
		return callResult{outcome: rejected, took: took, retryAfter: status.retryAfter}
	case errors.Is(err, errWatchSilent):
		return callResult{outcome: watchSilent, took: took}
	case heard:
		return callResult{outcome: watchBroken, took: took}
	}
	return callResult{outcome: unreachable, took: took}
}

// timeout is how long a call may stay without an answer. Of discovery itself a call that follows an unanswered one may take as long as
// calls are apart: else nothing would ever be heard from one that is a little slower than callTimeout.
func (w *Watcher) answerTimeout() time.Duration {
	switch {
	case w.instances == 1:
		return agentTimeout
	case w.lastUnanswered:
		return maxCallInterval
	}
	return discoveryTimeout
}

// patience is how long a watch may bring nothing.
func (w *Watcher) drawSilenceTimeout() time.Duration {
	if w.instances > smallFleet {
		return interval{minSilenceTimeout, maxSilenceTimeout}.pick(w.random())
	}
	return silenceTimeout
}

// list brings the whole list once.
func (w *Watcher) fetchList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.answerTimeout())
	defer cancel()
	body, err := w.get(ctx, w.url)
	if err != nil {
		return err
	}
	defer body.Close()
	text, err := io.ReadAll(&boundedReader{Reader: body, remaining: maxListSize, onData: func() {}})
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	return w.decodeList(text)
}

// The errors of a watch that was given up on.
var (
	errWatchSilent = errors.New("watch: silent")
	errUnanswered  = errors.New("watch: not answered")
)

// watch follows the changes; it always ends with an error, and says whether anything came on it. Nothing may keep it waiting for
// good: neither a peer that takes the call and doesn't answer, nor a watch that falls silent, between two changes or within one.
func (w *Watcher) watch(ctx context.Context) (heard bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer func() {
		if cause := context.Cause(ctx); errors.Is(cause, errWatchSilent) || errors.Is(cause, errUnanswered) {
			err = cause
		}
	}()
	unanswered := time.AfterFunc(w.answerTimeout(), func() { cancel(errUnanswered) })
	defer unanswered.Stop()
	body, err := w.get(ctx, fmt.Sprintf("%s?follow=1&since=%d", w.url, w.rev))
	if err != nil {
		return false, err
	}
	defer body.Close()
	unanswered.Stop()
	patience := w.drawSilenceTimeout()
	silence := time.AfterFunc(patience, func() { cancel(errWatchSilent) })
	defer silence.Stop()
	in := &boundedReader{Reader: body, onData: func() {
		heard = true
		silence.Reset(patience)
	}}
	err = w.decodeStream(in)
	return heard && !isUnreadable(err), fmt.Errorf("watch: %w", err)
}

// decode takes the lists of a watch as they come, until one can't be had. A list may stand on one line or be indented over many.
func (w *Watcher) decodeStream(in *boundedReader) error {
	for lists := json.NewDecoder(in); ; {
		in.remaining = maxListSize
		var f List
		if err := lists.Decode(&f); err != nil {
			return err
		}
		w.accept(f)
	}
}

// statusError is an answer other than 200.
type statusError struct {
	status     string
	retryAfter time.Duration // 0 where none was named
}

// Error is error's.
func (e *statusError) Error() string { return "discovery answers " + e.status }

func (w *Watcher) get(ctx context.Context, url string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, &statusError{resp.Status, retryAfter(resp.Header)}
	}
	return resp.Body, nil
}

// retryAfter reads the header of that name; the form that is a date is not believed, since it takes two clocks that agree.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// tell passes a list or a change on.
func (w *Watcher) decodeList(text []byte) error {
	var f List
	if err := json.Unmarshal(text, &f); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	w.accept(f)
	return nil
}

// take passes a list or a change on, unless a later one has been.
func (w *Watcher) accept(f List) {
	if f.Rev < w.rev { // it would revive what is gone
		w.log.Warn("discovery: an older list is left aside", "rev", f.Rev, "held", w.rev)
		return
	}
	w.rev, w.hasList = f.Rev, true
	w.post(f.Usable(w.log))
	w.markReady()
}
