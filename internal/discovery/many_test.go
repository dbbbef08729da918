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

// carrier answers calls without a network.
type carrier func(*http.Request) (*http.Response, error)

func (c carrier) RoundTrip(r *http.Request) (*http.Response, error) { return c(r) }

// Eighty instances whose discovery is overbooked ask so seldom together that it gets out of it: its queue serves whom has not
// waited too long, and what it serves too late is work for nothing. Each alone with the pauses of a few, none ever got a list.
func TestManyInstancesLetDiscoveryRecover(t *testing.T) {
	for _, n := range []int{3, 80} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			const service, patience = 150 * time.Millisecond, 500 * time.Millisecond
			var mu sync.Mutex
			var free time.Time // when discovery is through with what it has
			began, calls, busiest, inSecond, second := time.Now(), 0, 0, 0, -1
			answer := carrier(func(r *http.Request) (*http.Response, error) {
				mu.Lock()
				now := time.Now()
				if s := int(now.Sub(began) / time.Second); s != second {
					second, inSecond = s, 0
				}
				calls++
				inSecond++
				busiest = max(busiest, inSecond)
				if free.Before(now) {
					free = now
				}
				free = free.Add(service)
				wait := free.Sub(now)
				mu.Unlock()
				time.Sleep(min(wait, patience))
				resp := &http.Response{StatusCode: http.StatusServiceUnavailable, Status: "503", Body: http.NoBody, Request: r}
				if wait <= patience {
					pr, pw := io.Pipe() // a watch that stays open
					go func() {
						io.WriteString(pw, `{"rev":9,"all":false,"targets":[]}`+"\n")
						for {
							select {
							case <-r.Context().Done():
								pw.CloseWithError(r.Context().Err())
								return
							case <-time.After(2 * time.Second):
								io.WriteString(pw, "\n")
							}
						}
					}()
					resp.StatusCode, resp.Body = http.StatusOK, pr
				}
				return resp, nil
			})
			told := map[int]bool{}
			var wg sync.WaitGroup
			for i := range n {
				d := New("127.0.0.1:1", 7, n, true, func(List) {
					mu.Lock()
					told[i] = true
					mu.Unlock()
				}, quiet)
				d.client.Transport = answer
				wg.Go(func() { d.Run(ctx) })
				wg.Go(func() {
					select {
					case <-d.Ready():
					case <-time.After(3 * time.Second):
						t.Errorf("%d instances: one with a list does not serve after 3 s", n)
					}
				})
			}
			time.Sleep(60 * time.Second)
			mu.Lock()
			got := len(told)
			mu.Unlock()
			cancel()
			wg.Wait()
			if got < n/2 {
				t.Errorf("%d of %d instances were told in a minute, with %d calls", got, n, calls)
			}
			if n > smallFleet && busiest > 2*n/3 {
				t.Errorf("%d calls of %d instances in one second", busiest, n)
			}
		})
	}
}

// An instance of many that holds no list asks for one at once.
func TestManyWithoutAListAskAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		began, asked := time.Now(), time.Duration(-1)
		d := New("127.0.0.1:1", 0, 80, false, func(List) {}, quiet)
		d.client.Transport = carrier(func(r *http.Request) (*http.Response, error) {
			if asked < 0 {
				asked = time.Since(began)
			}
			return &http.Response{
				StatusCode: http.StatusOK, Status: "200", Request: r,
				Body: io.NopCloser(strings.NewReader(`{"rev":1,"all":true,"targets":[]}`)),
			}, nil
		})
		done := make(chan struct{})
		go func() { defer close(done); d.Run(ctx) }()
		<-d.Ready()
		cancel()
		<-done
		if asked != 0 {
			t.Errorf("asked after %v", asked)
		}
	})
}
