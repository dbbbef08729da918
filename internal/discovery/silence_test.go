package discovery

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"hitchspring/internal/standin/scripted"
)

// durations returns n equal durations.
func durations(n int, d time.Duration) []time.Duration {
	all := make([]time.Duration, n)
	for i := range all {
		all[i] = d
	}
	return all
}

// A silent watch is replaced in time. The platform assumes that an instance knows what its agent knows: it allows 6 s
// from the beginning of the silence, and a drain's grace period begins then. In virtual time.
func TestSilentWatchIsReplaced(t *testing.T) {
	const list = `{"rev":9,"all":true,"targets":[]}`
	noResponse := scriptedWatch{noResponse: true}
	reset := scriptedWatch{end: net.ErrClosed}
	listThenReset := scriptedWatch{text: list, end: net.ErrClosed}
	last := scriptedWatch{text: list}
	for name, c := range map[string]struct {
		instances int
		watches   []scriptedWatch
		within    []time.Duration // from each call to the next
	}{
		"never answered": {
			1,
			[]scriptedWatch{noResponse, noResponse, last},
			[]time.Duration{1200 * time.Millisecond, 1400 * time.Millisecond},
		},
		"silent from the start": {1, []scriptedWatch{{text: ""}, last}, durations(1, 4700*time.Millisecond)},
		"silent after a list":   {1, []scriptedWatch{{text: list + "\n"}, last}, durations(1, 4700*time.Millisecond)},
		"silent within a list":  {1, []scriptedWatch{{text: list[:20]}, last}, durations(1, 4700*time.Millisecond)},
		"silent in a large fleet": {
			300, []scriptedWatch{{text: list + "\n"}, last}, durations(1, 5600*time.Millisecond),
		},
		"reset after a list, repeatedly": {
			1,
			[]scriptedWatch{listThenReset, listThenReset, listThenReset, listThenReset, last},
			durations(4, 150*time.Millisecond),
		},
		"reset without data, repeatedly": {
			1, []scriptedWatch{reset, reset, reset, reset, reset, last}, durations(5, time.Second),
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &watchScript{watches: c.watches, listText: list}
				s.run(t, c.instances, true, 40*time.Second)
				if got := len(s.watchCalls); got != len(c.watches) {
					t.Errorf("got %d watches, want %d: a silent one is replaced, one with blank lines stays open",
						got, len(c.watches))
				}
				for i, got := range s.intervals() {
					if i < len(c.within) && got > c.within[i] {
						t.Errorf("got %v from call %d to the next, want at most %v", got, i, c.within[i])
					}
				}
			})
		})
	}
}

// serveIndentedLists responds to a watch with indented lists of revisions 8 to 11, with empty lines around them. It
// sends each list after the previous one was posted.
func serveIndentedLists(t *testing.T, conn net.Conn, posted <-chan List) {
	t.Helper()
	io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
	for rev := int64(8); rev < 12; rev++ {
		list := List{Rev: rev, Targets: []Target{{UID: "s-1", Endpoint: "127.0.0.1:1", State: "DRAINING"}}}
		text, err := json.MarshalIndent(list, "", "  ")
		if err != nil {
			t.Error(err)
			return
		}
		half := len(text) / 2
		io.WriteString(conn, "\n"+string(text[:half]))
		io.WriteString(conn, string(text[half:])+"\n\n")
		select {
		case got := <-posted:
			if got.Rev != rev || len(got.Targets) != 1 {
				t.Errorf("got %+v posted, want revision %d with one entry", got, rev)
			}
		case <-time.After(5 * time.Second):
			return
		}
	}
	_, _ = conn.Read(make([]byte, 1)) // until the watcher closes the connection
}

// The lists on a watch may be indented over several lines, with empty lines between and around them. On real sockets.
func TestIndentedListsOnAWatch(t *testing.T) {
	posted := make(chan List, 16)
	watches := make(chan struct{}, 16)
	addr := scripted.Listen(t, func(conn net.Conn) {
		buf := make([]byte, 4096)
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		if !strings.Contains(string(buf[:n]), "follow=1") {
			io.WriteString(conn, "HTTP/1.1 503 none\r\nContent-Length: 0\r\n\r\n")
			return
		}
		watches <- struct{}{}
		serveIndentedLists(t, conn, posted)
	})
	last := make(chan struct{})
	w := New(addr, 7, 1, true, func(l List) {
		posted <- l
		if l.Rev == 11 {
			close(last)
		}
	}, discardLog)
	stop := startWatcher(t, w)
	select {
	case <-last:
	case <-time.After(10 * time.Second):
		t.Error("got no list of revision 11 within 10 s")
	}
	stop()
	if got := len(watches); got != 1 {
		t.Errorf("got %d watches for four indented lists, want 1", got)
	}
}

// A list that can't be decoded ends its watch, which counts as a failure and not as a watch that received data.
func TestUnreadableListCountsAsFailure(t *testing.T) {
	for _, text := range []string{`{"rev":"x"}`, `{"rev":8,]`} {
		w := New("127.0.0.1:1", 7, 1, true, func(List) { t.Error("got a list posted, want none") }, discardLog)
		w.client.Transport = roundTripper(func(req *http.Request) (*http.Response, error) {
			return respond(req, http.StatusOK, textBody(text)), nil
		})
		if received, err := w.watch(t.Context()); received || err == nil {
			t.Errorf("%s: got %v, %v, want false and an error", text, received, err)
		}
	}
}
