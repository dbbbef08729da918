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
	watchSilence = 4500 * time.Millisecond // two of the empty lines that come every 2 s: what a silent watch misses counts as told after 6 s
	leastSilence = 3400 * time.Millisecond // of many, so that those whose watches fell silent together don't return together: between these
	mostSilence  = 5500 * time.Millisecond
	agentTimeout = 1 * time.Second         // an agent answers at once, unless discovery is down
	callTimeout  = 2500 * time.Millisecond // discovery itself lets calls wait for 2 s, and refuses what would wait longer
)

// Watcher keeps an instance's list of backends up to date.
type Watcher struct {
	url       string
	rev       int64
	instances int // that share what discovery can take; 1: its agent answers by itself
	client    *http.Client
	moves     store.Latest[string]
	post      func(List)
	first     chan struct{} // closed after the first list, or when that failed
	listed    func()        // closes first, once
	log       *slog.Logger
	chance    func() float64 // in [0, 1)
	known     bool           // a list came, with the configuration or since
	waited    bool           // the last watch was not answered in time
}

// New returns a watcher of discovery at an address, which holds the list of a revision already. It posts every further list
// and change from its own goroutine. Instances is how many share what discovery can take (1: its agent answers by itself, at
// no cost); the pacer says how they do. Beyond a few, those that hold a list (known) begin to watch within 2 s
// and ask for no whole list besides; those that hold none begin to watch at once, and the watch brings it.
func New(addr string, rev int64, instances int, known bool, post func(List), log *slog.Logger) *Watcher {
	first := make(chan struct{})
	return &Watcher{
		url: listURL(addr), rev: rev, instances: instances, known: known,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true}},
		moves:  store.NewLatest[string](), post: post, log: log,
		chance: rand.Float64, first: first, listed: sync.OnceFunc(func() { close(first) }),
	}
}

func listURL(addr string) string { return "http://" + addr + "/registry/instances" }

// Listed closes when a first list has come, or that has failed.
func (d *Watcher) Ready() <-chan struct{} { return d.first }

// Move goes over to another address; of several the last counts. It waits for nothing.
func (d *Watcher) SetAddress(addr string) { d.moves.Set(addr) }

// Run lists and watches until ctx ends, at each address that it is moved to in turn.
func (d *Watcher) Run(ctx context.Context) {
	defer d.client.CloseIdleConnections()
	for ctx.Err() == nil {
		here, leave := context.WithCancel(ctx)
		left := make(chan struct{})
		go func() {
			defer close(left)
			d.follow(here)
		}()
		select {
		case <-ctx.Done():
		case addr := <-d.moves:
			d.log.Info("discovery moves", "to", addr)
			leave()
			<-left
			d.client.CloseIdleConnections()
			d.url = listURL(addr)
		}
		leave()
		<-left
	}
}

// follow lists, then watches, at one address. Whatever breaks the watch, it resumes from the version held.
func (d *Watcher) follow(ctx context.Context) {
	pace := newPacer(d.instances)
	d.begin(ctx, &pace)
	for ctx.Err() == nil {
		began := time.Now()
		heard, err := d.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		d.listed()
		d.waited = errors.Is(err, errUnanswered)
		wait := pace.wait(resultOf(heard, err, time.Since(began)), d.chance())
		d.log.Warn("discovery: the watch ended", "err", err, "again_after", wait)
		pause(ctx, wait)
	}
}

// begin does what comes before the first watch.
func (d *Watcher) begin(ctx context.Context, pace *pacer) {
	switch {
	case pace.many() && d.known: // serves with what it has; the watch brings the rest
		d.listed()
		pause(ctx, pace.start(d.chance()))
	case pace.many(): // the watch brings the whole list; a call for it would be a second one
	default:
		err := d.list(ctx)
		if err != nil && ctx.Err() == nil {
			d.log.Warn("discovery: no list yet", "err", err)
		}
		d.listed()
	}
}

// pause waits, unless ctx ends before.
func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// resultOf sorts the end of a watch for the pacer.
func resultOf(heard bool, err error, took time.Duration) result {
	var status *statusError
	switch {
	case errors.As(err, &status):
		return result{ending: refused, took: took, retryAfter: status.retryAfter}
	case errors.Is(err, errSilent):
		return result{ending: silent, took: took}
	case heard:
		return result{ending: broken, took: took}
	}
	return result{ending: unreached, took: took}
}

// timeout is how long a call may stay without an answer. Of discovery itself a call that follows an unanswered one may take as long as
// calls are apart: else nothing would ever be heard from one that is a little slower than callTimeout.
func (d *Watcher) timeout() time.Duration {
	switch {
	case d.instances == 1:
		return agentTimeout
	case d.waited:
		return longestGap
	}
	return callTimeout
}

// patience is how long a watch may bring nothing.
func (d *Watcher) patience() time.Duration {
	if d.instances > few {
		return gap{leastSilence, mostSilence}.at(d.chance())
	}
	return watchSilence
}

// list brings the whole list once.
func (d *Watcher) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.timeout())
	defer cancel()
	body, err := d.get(ctx, d.url)
	if err != nil {
		return err
	}
	defer body.Close()
	text, err := io.ReadAll(&bounded{Reader: body, left: maxList, came: func() {}})
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	return d.tell(text)
}

// The errors of a watch that was given up on.
var (
	errSilent     = errors.New("watch: silent")
	errUnanswered = errors.New("watch: not answered")
)

// watch follows the changes; it always ends with an error, and says whether anything came on it. Nothing may keep it waiting for
// good: neither a peer that takes the call and doesn't answer, nor a watch that falls silent, between two changes or within one.
func (d *Watcher) watch(ctx context.Context) (heard bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer func() {
		if cause := context.Cause(ctx); errors.Is(cause, errSilent) || errors.Is(cause, errUnanswered) {
			err = cause
		}
	}()
	unanswered := time.AfterFunc(d.timeout(), func() { cancel(errUnanswered) })
	defer unanswered.Stop()
	body, err := d.get(ctx, fmt.Sprintf("%s?follow=1&since=%d", d.url, d.rev))
	if err != nil {
		return false, err
	}
	defer body.Close()
	unanswered.Stop()
	patience := d.patience()
	silence := time.AfterFunc(patience, func() { cancel(errSilent) })
	defer silence.Stop()
	in := &bounded{Reader: body, came: func() {
		heard = true
		silence.Reset(patience)
	}}
	err = d.decode(in)
	return heard && !unreadable(err), fmt.Errorf("watch: %w", err)
}

// decode takes the lists of a watch as they come, until one can't be had. A list may stand on one line or be indented over many.
func (d *Watcher) decode(in *bounded) error {
	for lists := json.NewDecoder(in); ; {
		in.left = maxList
		var f List
		if err := lists.Decode(&f); err != nil {
			return err
		}
		d.take(f)
	}
}

// statusError is an answer other than 200.
type statusError struct {
	status     string
	retryAfter time.Duration // 0 where none was named
}

// Error is error's.
func (e *statusError) Error() string { return "discovery answers " + e.status }

func (d *Watcher) get(ctx context.Context, url string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
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
func (d *Watcher) tell(text []byte) error {
	var f List
	if err := json.Unmarshal(text, &f); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	d.take(f)
	return nil
}

// take passes a list or a change on, unless a later one has been.
func (d *Watcher) take(f List) {
	if f.Rev < d.rev { // it would revive what is gone
		d.log.Warn("discovery: an older list is left aside", "rev", f.Rev, "held", d.rev)
		return
	}
	d.rev, d.known = f.Rev, true
	d.post(f.Usable(d.log))
	d.listed()
}
