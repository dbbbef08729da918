package discovery

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"hitchspring/policy"
)

// textBody returns a response body.
func textBody(text string) io.ReadCloser { return io.NopCloser(strings.NewReader(text)) }

// startWatcher runs a watcher, and returns a function that stops it and waits for its end.
func startWatcher(t *testing.T, w *Watcher) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// A watch that breaks is resumed from the last revision: a change on the next watch still arrives.
func TestWatchResumes(t *testing.T) {
	since := make(chan string, 8)
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if !isWatch(req) {
			io.WriteString(rw, `{"rev":5,"all":true,"targets":[]}`)
			return
		}
		since <- req.URL.Query().Get("since")
		if len(since) == 1 {
			io.WriteString(rw, "\n{\"rev\":6,\"all\":false,\"targets\":[]}\n") // then the watch ends
		}
	}))
	defer server.Close()
	posted := make(chan List, 64)
	w := New(strings.TrimPrefix(server.URL, "http://"), 1, 1, false, func(l List) { posted <- l }, discardLog)
	stop := startWatcher(t, w)
	if first, second := <-posted, <-posted; first.Rev != 5 || second.Rev != 6 {
		t.Fatalf("got revisions %d, %d, want 5, 6", first.Rev, second.Rev)
	}
	if first, second := <-since, <-since; first != "5" || second != "6" {
		t.Fatalf("got watches since %s, %s, want 5, 6", first, second)
	}
	stop()
}

// Only the valid entries of a list are used. An outdated list is ignored, since it would restore removed backends.
func TestInvalidLists(t *testing.T) {
	const ignored = -1
	for name, c := range map[string]struct {
		text      string
		wantError bool
		want      int // entries posted, or ignored
	}{
		"incomplete text": {`{"rev":8`, true, ignored},
		"not an object":   {`[]`, true, ignored},
		"of another type": {`{"rev":"x","all":true,"targets":[]}`, true, ignored},
		"outdated revision": {`{"rev":6,"all":true,"targets":[
			{"uid":"a","endpoint":"127.0.0.1:1","state":"SERVING"}]}`, false, ignored},
		"with invalid entries": {`{"rev":7,"all":true,"targets":[
			{"uid":"a","endpoint":"127.0.0.1:1","state":"SERVING"},
			{"endpoint":"127.0.0.1:1","state":"SERVING"},
			{"uid":"b","state":"SERVING"},
			{"uid":"c","state":"DELETED"},
			{"uid":"d","endpoint":"127.0.0.1","state":"SERVING"},
			{"uid":"e","endpoint":"127.0.0.1:1","state":"SERVING","boot_ms":-5}]}`, false, 2},
		// Only the state of an invalid entry that doesn't serve is used: a draining backend gets no further requests.
		"with invalid entries that don't serve": {`{"rev":7,"all":false,"targets":[
			{"uid":"a","state":"DRAINING"},
			{"uid":"b","endpoint":"127.0.0.1","boot_ms":-5,"state":"ODD"},
			{"uid":"","state":"DRAINING"}]}`, false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var posted []List
			w := New("127.0.0.1:1", 7, 1, false, func(l List) { posted = append(posted, l) }, discardLog)
			if err := w.decodeList([]byte(c.text)); (err != nil) != c.wantError {
				t.Errorf("got error %v, want one: %v", err, c.wantError)
			}
			if c.want == ignored {
				if len(posted) > 0 {
					t.Errorf("got %v posted, want nothing", posted)
				}
				return
			}
			if len(posted) != 1 || len(posted[0].Targets) != c.want {
				t.Fatalf("got %v posted, want one list of %d entries", posted, c.want)
			}
			for _, target := range posted[0].Targets {
				checkTarget(t, target)
			}
		})
	}
}

// checkTarget fails if a posted entry is invalid and serving.
func checkTarget(t *testing.T, target Target) {
	t.Helper()
	backend := target.Backend()
	if backend.State == policy.Running && target.check() != nil {
		t.Errorf("got %+v posted, which serves and is invalid", target)
	}
	if backend.Started < 0 {
		t.Errorf("got %+v posted with start %v, want it at least 0", target, backend.Started)
	}
}

func TestUnknownState(t *testing.T) {
	target := Target{UID: "a", Endpoint: "127.0.0.1:1", State: "ODD"}
	if got := target.Backend().State; got != policy.Draining {
		t.Errorf("got state %v, want %v", got, policy.Draining)
	}
}

// Any text is either decoded or rejected with an error, and all posted entries have an id and a valid start time.
func FuzzDecodeList(f *testing.F) {
	f.Add(`{"rev":8,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"SERVING","boot_ms":3}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		w := New("127.0.0.1:1", 7, 1, false, func(l List) {
			for _, target := range l.Targets {
				if backend := target.Backend(); backend.ID == "" || backend.Started < 0 {
					t.Fatalf("got %+v posted of %q, want an id and a start of at least 0", target, text)
				}
			}
		}, discardLog)
		_ = w.decodeList([]byte(text))
	})
}
