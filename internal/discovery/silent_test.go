package discovery

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hitchspring/internal/standin/scripted"
)

// What an agent has counts as told however its watch came to an end, so a watch that says nothing is opened again in time: the platform
// counts 6 s from the moment it fell silent, and a drain's grace from then on. Virtual time; the agent is a carrier that answers calls by
// their number and keeps silent after that.
func TestSilenceEndsAWatch(t *testing.T) {
	const list = `{"rev":9,"all":true,"targets":[]}`
	for name, c := range map[string]struct {
		instances int
		say       []string // on the watches, in turn, before they fall silent; "-" never answers the call at all, "x" at an end is a reset
		within    []time.Duration
	}{
		"never answered":             {1, []string{"-", "-", list}, []time.Duration{1200 * time.Millisecond, 1400 * time.Millisecond}},
		"silent from the start":      {1, []string{"", list}, []time.Duration{4700 * time.Millisecond}},
		"silent after a list":        {1, []string{list + "\n", list}, []time.Duration{4700 * time.Millisecond}},
		"silent within a list":       {1, []string{list[:20], list}, []time.Duration{4700 * time.Millisecond}},
		"silent at many":             {300, []string{list + "\n", list}, []time.Duration{5600 * time.Millisecond}},
		"reset again and again":      {1, []string{list + "x", list + "x", list + "x", list + "x", list}, []time.Duration{150 * time.Millisecond, 150 * time.Millisecond, 150 * time.Millisecond, 150 * time.Millisecond}},
		"refused, and refused again": {1, []string{"x", "x", "x", "x", "x", list}, []time.Duration{time.Second, time.Second, time.Second, time.Second, time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var mu sync.Mutex
				var calls []time.Time
				d := New("127.0.0.1:1", 7, c.instances, true, func(List) {}, quiet)
				d.client.Transport = carrier(func(r *http.Request) (*http.Response, error) {
					resp := &http.Response{StatusCode: http.StatusOK, Status: "200", Request: r, Body: io.NopCloser(strings.NewReader(list))}
					if r.URL.Query().Get("follow") == "" {
						return resp, nil
					}
					mu.Lock()
					n := len(calls)
					calls = append(calls, time.Now())
					mu.Unlock()
					say := c.say[min(n, len(c.say)-1)]
					if say == "-" {
						<-r.Context().Done()
						return nil, r.Context().Err()
					}
					text, reset := strings.CutSuffix(say, "x")
					pr, pw := io.Pipe()
					go func() {
						io.WriteString(pw, text)
						for !reset {
							select {
							case <-r.Context().Done():
								pw.CloseWithError(r.Context().Err())
								return
							case <-time.After(2 * time.Second):
								if n == len(c.say)-1 { // the last one lives
									io.WriteString(pw, "\n")
								}
							}
						}
						pw.CloseWithError(net.ErrClosed)
					}()
					resp.Body = pr
					return resp, nil
				})
				var wg sync.WaitGroup
				wg.Go(func() { d.Run(ctx) })
				time.Sleep(40 * time.Second)
				mu.Lock()
				defer mu.Unlock()
				if len(calls) != len(c.say) {
					t.Errorf("%d watches were opened, want %d: one that is given up is opened again, one that lives is kept", len(calls), len(c.say))
				}
				for i, most := range c.within {
					if i+1 < len(calls) && calls[i+1].Sub(calls[i]) > most {
						t.Errorf("watch %d was opened %v after the one before, want %v at most", i+1, calls[i+1].Sub(calls[i]), most)
					}
				}
				cancel()
				wg.Wait()
			})
		})
	}
}

// A watch may bring lists that are indented over many lines, with the empty lines of a quiet time between and around them. On real
// sockets; the agent holds each piece back until the one before has been told.
func TestIndentedListsOnAWatch(t *testing.T) {
	told := make(chan List, 16)
	watches := make(chan struct{}, 16)
	addr := scripted.Listen(t, func(nc net.Conn) {
		buf := make([]byte, 4096)
		n, _ := nc.Read(buf)
		if !strings.Contains(string(buf[:n]), "follow=1") {
			io.WriteString(nc, "HTTP/1.1 503 none\r\nContent-Length: 0\r\n\r\n")
			return
		}
		watches <- struct{}{}
		io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\n")
		for rev := int64(8); rev < 12; rev++ {
			b, _ := json.MarshalIndent(List{Rev: rev, Targets: []Target{{UID: "s-1", Endpoint: "127.0.0.1:1", State: "DRAINING"}}}, "", "  ")
			half := len(b) / 2
			io.WriteString(nc, "\n"+string(b[:half]))
			io.WriteString(nc, string(b[half:])+"\n\n")
			select {
			case l := <-told:
				if l.Rev != rev || len(l.Targets) != 1 {
					t.Errorf("told %+v, want revision %d", l, rev)
				}
			case <-time.After(5 * time.Second):
				return
			}
		}
		nc.Read(buf)
	})
	ctx, cancel := context.WithCancel(context.Background())
	last := make(chan struct{})
	d := New(addr, 7, 1, true, func(l List) {
		told <- l
		if l.Rev == 11 {
			close(last)
		}
	}, quiet)
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Run(ctx)
	}()
	select {
	case <-last:
	case <-time.After(10 * time.Second):
		t.Error("the lists did not come")
	}
	cancel()
	<-done
	if n := len(watches); n != 1 {
		t.Errorf("%d watches for four indented lists, want 1", n)
	}
}

// A list that can't be read ends its watch, and is not asked for again and again as fast as a watch that has lived.
func TestBadListIsNoSignOfLife(t *testing.T) {
	for _, text := range []string{`{"rev":"x"}`, `{"rev":8,]`} {
		d := New("127.0.0.1:1", 7, 1, true, func(List) { t.Error("told") }, quiet)
		d.client.Transport = carrier(func(r *http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: http.StatusOK, Status: "200", Request: r, Body: io.NopCloser(strings.NewReader(text))}, nil
		})
		if heard, err := d.watch(t.Context()); heard || err == nil {
			t.Errorf("%s: %v, %v", text, heard, err)
		}
	}
}
