package discovery

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

// trialSeed is a further seed of the trials of outages, to look at more of them than the standing ones.
var trialSeed = flag.Uint64("seed", 1, "seed of the trials of outages")

var quiet = slog.New(slog.DiscardHandler)

// blankLine is the time between the empty lines that discovery sends on a watch.
const blankLine = 2 * time.Second

// seedWatcher gives a watcher random numbers of its own, the same in each run.
func seedWatcher(w *Watcher, seed, caller uint64) {
	w.random = rand.New(rand.NewPCG(seed, caller)).Float64
}

// roundTripper answers calls without a network.
type roundTripper func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripper) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// respond returns an answer to a call.
func respond(req *http.Request, status int, body io.ReadCloser) *http.Response {
	return &http.Response{
		StatusCode: status,
		Status:     fmt.Sprint(status),
		Header:     http.Header{},
		Body:       body,
		Request:    req,
	}
}

// isWatch reports whether a call is for a watch, and not for the list.
func isWatch(req *http.Request) bool { return req.URL.Query().Get("follow") != "" }

// sendBlankLines writes an empty line every two seconds until ctx ends, and closes out.
func sendBlankLines(ctx context.Context, out *io.PipeWriter) {
	for {
		select {
		case <-ctx.Done():
			out.CloseWithError(ctx.Err())
			return
		case <-time.After(blankLine):
			io.WriteString(out, "\n")
		}
	}
}

// scriptedWatch is what one watch brings.
type scriptedWatch struct {
	unanswered bool   // the call is never answered
	status     int    // 0: 200
	retryAfter string // header
	text       string
	end        error // with which the body ends after text; nil: it stays open, and silent
}

// watchScript answers the watches of one watcher in turn. The last one stays open and brings empty lines.
type watchScript struct {
	watches  []scriptedWatch
	listText string // answers requests for the list

	mu           sync.Mutex // guards the fields below
	watchCalls   []time.Time
	listRequests int
	posted       []List
}

// run runs one of so many instances against the script for a time. An instance without a list begins at revision 0, one
// with a list at 7.
func (s *watchScript) run(t *testing.T, instances int, hasList bool, duration time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	rev := int64(0)
	if hasList {
		rev = 7
	}
	w := New("127.0.0.1:1", rev, instances, hasList, func(l List) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.posted = append(s.posted, l)
	}, quiet)
	w.client.Transport = roundTripper(s.answer)
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(ctx) })
	time.Sleep(duration)
	cancel()
	wg.Wait()
}

// nextWatch notes a call and returns what it brings, and whether that is the last one of the script.
func (s *watchScript) nextWatch() (watch scriptedWatch, isLast bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := len(s.watchCalls)
	s.watchCalls = append(s.watchCalls, time.Now())
	lastNumber := len(s.watches) - 1
	return s.watches[min(number, lastNumber)], number >= lastNumber
}

func (s *watchScript) answer(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	if !isWatch(req) {
		s.mu.Lock()
		s.listRequests++
		s.mu.Unlock()
		return respond(req, http.StatusOK, textBody(s.listText)), nil
	}
	watch, isLast := s.nextWatch()
	switch {
	case watch.unanswered:
		<-ctx.Done()
		return nil, ctx.Err()
	case watch.status != 0:
		resp := respond(req, watch.status, http.NoBody)
		if watch.retryAfter != "" {
			resp.Header.Set("Retry-After", watch.retryAfter)
		}
		return resp, nil
	}
	in, out := io.Pipe()
	go func() {
		io.WriteString(out, watch.text)
		switch {
		case watch.end != nil:
			out.CloseWithError(watch.end)
		case isLast:
			sendBlankLines(ctx, out)
		default:
			<-ctx.Done()
			out.CloseWithError(ctx.Err())
		}
	}()
	return respond(req, http.StatusOK, in), nil
}

// intervals returns the times from each call for a watch to the next.
func (s *watchScript) intervals() []time.Duration {
	var intervals []time.Duration
	for i := 1; i < len(s.watchCalls); i++ {
		intervals = append(intervals, s.watchCalls[i].Sub(s.watchCalls[i-1]))
	}
	return intervals
}
