package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// The errors of a watch that this instance has ended.
var (
	errWatchSilent = errors.New("watch: silent")
	errUnanswered  = errors.New("watch: not answered")
)

// statusError is an answer with a status other than 200.
type statusError struct {
	status     string
	retryAfter time.Duration // 0: none was named
}

// Error implements error.
func (e *statusError) Error() string { return "discovery answers " + e.status }

// fetchList requests the complete list once.
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

// decodeList decodes and accepts the answer to a request for the list.
func (w *Watcher) decodeList(text []byte) error {
	var list List
	if err := json.Unmarshal(text, &list); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	w.accept(list)
	return nil
}

// watch follows the changes. It always ends with an error, and reports whether it received anything. It ends as well if
// the peer accepts the call and doesn't answer it, or falls silent, between two changes or within one.
func (w *Watcher) watch(ctx context.Context) (received bool, err error) {
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
	timeout := w.drawSilenceTimeout()
	silence := time.AfterFunc(timeout, func() { cancel(errWatchSilent) })
	defer silence.Stop()
	stream := &boundedReader{Reader: body, onData: func() {
		received = true
		silence.Reset(timeout)
	}}
	err = w.decodeStream(stream)
	return received && !isUnreadable(err), fmt.Errorf("watch: %w", err)
}

// decodeStream accepts the lists of a watch as they arrive, until one can't be read. A list may be on one line or
// indented over many.
func (w *Watcher) decodeStream(stream *boundedReader) error {
	decoder := json.NewDecoder(stream)
	for {
		stream.remaining = maxListSize
		var list List
		if err := decoder.Decode(&list); err != nil {
			return err
		}
		w.accept(list)
	}
}

// get returns the body of an answer with status 200; any other one is a statusError.
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

// retryAfter returns the header's delay; 0 if there is none. The header's other form, a date, is ignored, since it
// needs two clocks that agree.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseUint(header.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
