package discovery

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// A watch that lived for minutes, by lists or by empty lines alone, and then falls silent, between two of them or within one, is opened anew
// like one that never spoke, each time; while it lives it is left alone. Virtual time.
func TestWatchFallsSilentLate(t *testing.T) {
	const (
		lives     = 17*time.Minute + 700*time.Millisecond // of each watch
		watches   = 3
		emptyLine = 2 * time.Second
		list      = `{"rev":9,"all":true,"targets":[]}` + "\n"
	)
	for name, c := range map[string]struct {
		instances int
		line      string // what it says every two seconds
		last      string // before it falls silent
		within    time.Duration
	}{
		"empty lines":               {1, "\n", "", 4700 * time.Millisecond},
		"lists":                     {1, list, "", 4700 * time.Millisecond},
		"a list that is broken off": {1, "\n", list[:20], 4700 * time.Millisecond},
		"at many instances":         {300, "\n", "", 5600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var mu sync.Mutex
				var opened, silent []time.Time
				d := New("127.0.0.1:1", 7, c.instances, true, func(List) {}, quiet)
				d.client.Transport = carrier(func(r *http.Request) (*http.Response, error) {
					resp := &http.Response{StatusCode: http.StatusOK, Status: "200", Request: r, Body: io.NopCloser(strings.NewReader(list))}
					if r.URL.Query().Get("follow") == "" {
						return resp, nil
					}
					mu.Lock()
					opened = append(opened, time.Now())
					mu.Unlock()
					pr, pw := io.Pipe()
					resp.Body = pr
					go func() {
						defer pw.CloseWithError(context.Canceled)
						for end := time.Now().Add(lives); time.Now().Before(end); {
							io.WriteString(pw, c.line)
							select {
							case <-r.Context().Done():
								return
							case <-time.After(emptyLine):
							}
						}
						io.WriteString(pw, c.last)
						mu.Lock()
						silent = append(silent, time.Now())
						mu.Unlock()
						<-r.Context().Done()
					}()
					return resp, nil
				})
				var wg sync.WaitGroup
				wg.Go(func() { d.Run(ctx) })
				time.Sleep(watches*(lives+2*emptyLine+c.within) + time.Minute)
				mu.Lock()
				if len(silent) < watches || len(opened) != len(silent)+1 {
					t.Errorf("%d watches were opened and %d fell silent, want %d at least, and one more opened", len(opened), len(silent), watches)
				}
				for i, at := range silent {
					if i+1 < len(opened) && opened[i+1].Sub(at) > c.within {
						t.Errorf("silence %d: opened anew after %v, want %v at the most", i, opened[i+1].Sub(at), c.within)
					}
				}
				mu.Unlock()
				cancel()
				wg.Wait()
			})
		})
	}
}
