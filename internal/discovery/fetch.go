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

// Errors of a watch that this instance has ended by a timeout.
var (
	errWatchSilent = errors.New("watch: no data before the silence timeout")
	errNoResponse  = errors.New("watch: no response before the timeout")
)

// statusError is a response with a status other than 200.
type statusError struct {
	status     string
	retryAfter time.Duration // from the Retry-After header; 0: none
}

// Error implements error.
func (e *statusError) Error() string { return "discovery responded with status " + e.status }

// fetchList requests the complete list and accepts it.
func (w *Watcher) fetchList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.responseTimeout())
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

// decodeList decodes and accepts the response to a request for the list.
func (w *Watcher) decodeList(text []byte) error {
	var list List
	if err := json.Unmarshal(text, &list); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	w.accept(list)
	return nil
}

// watch opens a watch and accepts the changes that arrive on it. It always returns an error, and reports whether it
// received anything readable. It gives up if no response arrives in time, or if the open watch brings no bytes for the
// silence timeout, between two changes or within one.
func (w *Watcher) watch(ctx context.Context) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer func() {
		if cause := context.Cause(ctx); errors.Is(cause, errWatchSilent) || errors.Is(cause, errNoResponse) {
			err = cause
		}
	}()
	responseTimer := time.AfterFunc(w.responseTimeout(), func() { cancel(errNoResponse) })
	defer responseTimer.Stop()
	body, err := w.openWatch(ctx)
	if err != nil {
		return false, err
	}
	defer body.Close()
	responseTimer.Stop()
	timeout := w.pickSilenceTimeout()
	silenceTimer := time.AfterFunc(timeout, func() { cancel(errWatchSilent) })
	defer silenceTimer.Stop()
	stream := &boundedReader{Reader: body, onData: func() {
		received = true
		silenceTimer.Reset(timeout)
	}}
	err = w.decodeStream(stream)
	return received && !isUnreadable(err), fmt.Errorf("watch: %w", err)
}

// decodeStream accepts the lists of a watch as they arrive, until one can't be decoded. A list may be on one line or
// indented over several.
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

// get returns the body of a response with status 200; any other status is a statusError.
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

// retryAfter returns the delay of the Retry-After header, or 0 if there is none. A date instead of a delay is ignored,
// since it requires synchronized clocks.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseUint(header.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
