package discovery

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"hitchspring/policy"
)

var quiet = slog.New(slog.DiscardHandler)

// A watch that breaks is resumed: a change told on the next one still arrives.
func TestWatchResumes(t *testing.T) {
	since := make(chan string, 8)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("follow") == "" {
			io.WriteString(w, `{"rev":5,"all":true,"targets":[]}`)
			return
		}
		since <- r.URL.Query().Get("since")
		if len(since) == 1 {
			io.WriteString(w, "\n{\"rev\":6,\"all\":false,\"targets\":[]}\n") // then it breaks
		}
	}))
	defer s.Close()
	events := make(chan List, 64)
	d := New(strings.TrimPrefix(s.URL, "http://"), 1, 1, false, func(l List) { events <- l }, quiet)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Run(ctx)
	}()
	if a, b := <-events, <-events; a.Rev != 5 || b.Rev != 6 {
		t.Fatalf("told %d, %d", a.Rev, b.Rev)
	}
	if a, b := <-since, <-since; a != "5" || b != "6" {
		t.Fatalf("watched since %s, then %s; want 5, 6", a, b)
	}
	cancel()
	<-done
}

// What discovery says is believed only where it can be: an older list would revive what is gone.
func TestOddLists(t *testing.T) {
	var told []List
	d := New("127.0.0.1:1", 7, 1, false, func(l List) { told = append(told, l) }, quiet)
	for _, c := range []struct {
		in    string
		ok    bool
		known int // entries told
	}{
		{`{"rev":8`, false, -1},
		{`[]`, false, -1},
		{`{"rev":"x","all":true,"targets":[]}`, false, -1},
		{`{"rev":6,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"SERVING"}]}`, true, -1},
		{`{"rev":7,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"SERVING"},
			{"endpoint":"127.0.0.1:1","state":"SERVING"},{"uid":"b","state":"SERVING"},{"uid":"c","state":"DELETED"},
			{"uid":"d","endpoint":"127.0.0.1","state":"SERVING"},{"uid":"e","endpoint":"127.0.0.1:1","state":"SERVING","boot_ms":-5}]}`, true, 2},
		// of one that can't be used but for its state, the state is: what drains is sent nothing more
		{`{"rev":7,"all":false,"targets":[{"uid":"a","state":"DRAINING"},{"uid":"b","endpoint":"127.0.0.1","boot_ms":-5,"state":"ODD"},
			{"uid":"","state":"DRAINING"}]}`, true, 2},
	} {
		told = nil
		if err := d.decodeList([]byte(c.in)); (err == nil) != c.ok {
			t.Errorf("%s: %v", c.in, err)
		}
		if c.known < 0 && len(told) > 0 || c.known >= 0 && (len(told) != 1 || len(told[0].Targets) != c.known) {
			t.Errorf("%s: told %v, want %d entries", c.in, told, c.known)
		}
		for _, l := range told {
			for _, x := range l.Targets {
				if s := x.Server(); s.State == policy.Running && x.check() != nil || s.Started < 0 {
					t.Errorf("%s: told %+v", c.in, x)
				}
			}
		}
	}
	if s := (Target{UID: "a", Endpoint: "127.0.0.1:1", State: "ODD"}).Server(); s.State != policy.Draining {
		t.Errorf("an unknown state is %v, want draining", s.State)
	}
}

// Whatever a list says, it is read or an error, and what is passed on can be used.
func FuzzTell(f *testing.F) {
	f.Add(`{"rev":8,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"SERVING","boot_ms":3}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		d := New("127.0.0.1:1", 7, 1, false, func(l List) {
			for _, x := range l.Targets {
				if s := x.Server(); s.ID == "" || s.Started < 0 {
					t.Fatalf("%q: %+v", text, x)
				}
			}
		}, quiet)
		_ = d.decodeList([]byte(text))
	})
}
