package discovery

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// lateSilence responds to each watch with a line every two seconds for a long time, then sends nothing more.
type lateSilence struct {
	lifetime time.Duration // of a watch until it is silent
	line     string
	lastText string // sent right before the silence
	listText string // the response to requests for the list

	mu       sync.Mutex // guards the fields below
	opened   []time.Time
	silences []time.Time
}

func (s *lateSilence) answer(req *http.Request) (*http.Response, error) {
	if !isWatch(req) {
		return respond(req, http.StatusOK, textBody(s.listText)), nil
	}
	s.mu.Lock()
	s.opened = append(s.opened, time.Now())
	s.mu.Unlock()
	in, out := io.Pipe()
	go func() {
		defer out.CloseWithError(context.Canceled)
		s.write(req.Context(), out)
	}()
	return respond(req, http.StatusOK, in), nil
}

// write writes one watch until ctx ends.
func (s *lateSilence) write(ctx context.Context, out *io.PipeWriter) {
	for end := time.Now().Add(s.lifetime); time.Now().Before(end); {
		io.WriteString(out, s.line)
		select {
		case <-ctx.Done():
			return
		case <-time.After(blankLineInterval):
		}
	}
	io.WriteString(out, s.lastText)
	s.mu.Lock()
	s.silences = append(s.silences, time.Now())
	s.mu.Unlock()
	<-ctx.Done()
}

// check fails unless at least so many watches became silent, and another was opened within a bound after each.
func (s *lateSilence) check(t *testing.T, watches int, within time.Duration) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.silences) < watches || len(s.opened) != len(s.silences)+1 {
		t.Errorf("got %d watches opened and %d silent, want at least %d silent and one more opened",
			len(s.opened), len(s.silences), watches)
	}
	for i, at := range s.silences {
		if i+1 < len(s.opened) && s.opened[i+1].Sub(at) > within {
			t.Errorf("silence %d: got a watch opened after %v, want within %v", i, s.opened[i+1].Sub(at), within)
		}
	}
}

// A watch that is silent after minutes of lists or empty lines is replaced as soon as one that was silent from the
// start, each time and even if it stops within a list; until then it stays open. In virtual time.
func TestSilenceAfterLongWatch(t *testing.T) {
	const (
		lifetime = 17*time.Minute + 700*time.Millisecond
		watches  = 3
		list     = `{"rev":9,"all":true,"targets":[]}` + "\n"
	)
	for name, c := range map[string]struct {
		instances int
		line      string
		lastText  string
		within    time.Duration
	}{
		"empty lines":        {1, "\n", "", 4700 * time.Millisecond},
		"lists":              {1, list, "", 4700 * time.Millisecond},
		"an incomplete list": {1, "\n", list[:20], 4700 * time.Millisecond},
		"in a large fleet":   {300, "\n", "", 5600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &lateSilence{lifetime: lifetime, line: c.line, lastText: c.lastText, listText: list}
				w := New("127.0.0.1:1", 7, c.instances, true, func(List) {}, discardLog)
				w.client.Transport = roundTripper(s.answer)
				stop := startWatcher(t, w)
				time.Sleep(watches*(lifetime+2*blankLineInterval+c.within) + time.Minute)
				s.check(t, watches, c.within)
				stop()
			})
		})
	}
}
