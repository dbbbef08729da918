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

// trialSeed is the seed of the outage trials; other seeds than the default explore further cases.
var trialSeed = flag.Uint64("seed", 1, "seed of the outage trials")

var discardLog = slog.New(slog.DiscardHandler)

// blankLineInterval is the interval of the empty lines that discovery sends on a watch.
const blankLineInterval = 2 * time.Second

// seedWatcher gives a watcher its own reproducible random numbers.
func seedWatcher(w *Watcher, seed, caller uint64) {
	w.random = rand.New(rand.NewPCG(seed, caller)).Float64
}

// roundTripper is an http.RoundTripper that responds without a network.
type roundTripper func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripper) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// respond returns a response to a request.
func respond(req *http.Request, status int, body io.ReadCloser) *http.Response {
	return &http.Response{
		StatusCode: status,
		Status:     fmt.Sprint(status),
		Header:     http.Header{},
		Body:       body,
		Request:    req,
	}
}

// isWatch reports whether a request is for a watch rather than for the list.
func isWatch(req *http.Request) bool { return req.URL.Query().Get("follow") != "" }

// sendBlankLines writes an empty line every two seconds until ctx ends, and closes out.
func sendBlankLines(ctx context.Context, out *io.PipeWriter) {
	for {
		select {
		case <-ctx.Done():
			out.CloseWithError(ctx.Err())
			return
		case <-time.After(blankLineInterval):
			io.WriteString(out, "\n")
		}
	}
}

// scriptedWatch describes the response to one watch.
type scriptedWatch struct {
	noResponse bool   // there is no response
	status     int    // 0: 200
	retryAfter string // value of the header
	text       string
	end        error // ends the body after text; nil: the body stays open and silent
}

// watchScript responds to the watches of one watcher in turn. The last watch stays open and receives empty lines.
type watchScript struct {
	watches  []scriptedWatch
	listText string // the response to requests for the list

	mu           sync.Mutex // guards the fields below
	watchCalls   []time.Time
	listRequests int
	posted       []List
}

// run runs one instance of a fleet of that size against the script for a time. An instance without a list starts at
// revision 0, one with a list at 7.
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
	}, discardLog)
	w.client.Transport = roundTripper(s.answer)
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(ctx) })
	time.Sleep(duration)
	cancel()
	wg.Wait()
}

// nextWatch records a call and returns the response to it, and whether that is the last one of the script.
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
	case watch.noResponse:
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

// intervals returns the times between successive calls for a watch.
func (s *watchScript) intervals() []time.Duration {
	var intervals []time.Duration
	for i := 1; i < len(s.watchCalls); i++ {
		intervals = append(intervals, s.watchCalls[i].Sub(s.watchCalls[i-1]))
	}
	return intervals
}
