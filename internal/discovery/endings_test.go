package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedWatch is what one call brings.
type scriptedWatch struct {
	status     int // 200 where 0
	retryAfter string
	text       string
	end        error // how the body ends; nil: it stays open, and silent
	never      bool  // never answered
}

// play runs one of 350 instances against calls in turn, the last of which lives on; it returns when each began, counted from
// the one before, and what was posted.
func play(t *testing.T, known bool, script []scriptedWatch, during time.Duration) (gaps []time.Duration, posted []List) {
	ctx, cancel := context.WithCancel(t.Context())
	var mu sync.Mutex
	var before time.Time
	calls := 0
	rev := int64(7)
	if !known {
		rev = 0
	}
	d := New("127.0.0.1:1", rev, 350, known, func(l List) {
		mu.Lock()
		defer mu.Unlock()
		posted = append(posted, l)
	}, quiet)
	d.client.Transport = carrier(func(req *http.Request) (*http.Response, error) {
		mu.Lock()
		w := script[min(calls, len(script)-1)]
		lives := calls >= len(script)-1
		if calls > 0 {
			gaps = append(gaps, time.Since(before))
		}
		before = time.Now()
		calls++
		mu.Unlock()
		if w.never {
			<-req.Context().Done()
			return nil, req.Context().Err()
		}
		if w.status != 0 {
			h := http.Header{}
			if w.retryAfter != "" {
				h.Set("Retry-After", w.retryAfter)
			}
			return &http.Response{StatusCode: w.status, Status: fmt.Sprint(w.status), Header: h, Body: http.NoBody, Request: req}, nil
		}
		in, out := io.Pipe()
		go func() {
			io.WriteString(out, w.text)
			for w.end == nil {
				select {
				case <-req.Context().Done():
					out.CloseWithError(req.Context().Err())
					return
				case <-time.After(blankLine):
					if lives {
						io.WriteString(out, "\n")
					}
				}
			}
			out.CloseWithError(w.end)
		}()
		return &http.Response{StatusCode: http.StatusOK, Status: "200", Body: in, Request: req}, nil
	})
	var wg sync.WaitGroup
	wg.Go(func() { d.Run(ctx) })
	time.Sleep(during)
	cancel()
	wg.Wait()
	return gaps, posted
}

// However a watch of one of many ends, the next is opened in time, and what is told on it arrives; one that lives is kept.
func TestEndsOfAWatchOfMany(t *testing.T) {
	const list, news = `{"rev":7,"all":true,"targets":[]}` + "\n", `{"rev":8,"all":false,"targets":[]}` + "\n"
	reset := errors.New("connection reset")
	last := scriptedWatch{text: news}
	for name, c := range map[string]struct {
		script []scriptedWatch
		least  time.Duration // before each next call
		most   time.Duration
	}{
		"ends instead of telling":          {[]scriptedWatch{{end: io.EOF}, last}, 0, maxCallInterval},
		"is reset instead of telling":      {[]scriptedWatch{{end: reset}, {end: reset}, last}, 0, maxCallInterval},
		"is reset after a list":            {[]scriptedWatch{{text: list, end: reset}, last}, 0, reconnectSpread},
		"is reset within a list":           {[]scriptedWatch{{text: list[:20], end: reset}, last}, 0, reconnectSpread},
		"is reset after lists, over, over": {[]scriptedWatch{{text: list, end: reset}, {text: list, end: reset}, {text: list, end: reset}, last}, 0, maxCallInterval},
		"falls silent":                     {[]scriptedWatch{{text: list}, last}, minSilenceTimeout, maxSilenceTimeout},
		"is never answered":                {[]scriptedWatch{{never: true}, {never: true}, last}, discoveryTimeout, maxCallInterval},
		"is turned away":                   {[]scriptedWatch{{status: 503}, {status: 503}, last}, firstRejectionInterval.min, rejectionInterval.max},
		"is told when to return":           {[]scriptedWatch{{status: 503, retryAfter: "3"}, last}, 3 * time.Second, 3*time.Second + reconnectSpread},
		"can't be read":                    {[]scriptedWatch{{text: `{"rev":"x"}`, end: io.EOF}, last}, 0, maxCallInterval},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gaps, posted := play(t, true, c.script, 40*time.Second)
				if len(gaps) != len(c.script)-1 {
					t.Errorf("%d calls, want %d", len(gaps)+1, len(c.script))
				}
				for _, g := range gaps {
					if g < c.least || g > c.most {
						t.Errorf("%v from one call to the next, want %v to %v", g, c.least, c.most)
					}
				}
				if len(posted) == 0 || posted[len(posted)-1].Rev != 8 {
					t.Errorf("told %+v, want revision 8", posted)
				}
			})
		})
	}
}

// The first answer may be the whole list: one of many that holds none takes it from its watch, and needs no second call. What a
// later whole list doesn't name is told as such, and so is gone.
func TestWholeListsOnAWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := `{"rev":8,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"SERVING"},{"uid":"b","endpoint":"127.0.0.1:2","state":"SERVING"}]}`
		then := `{"rev":9,"all":true,"targets":[{"uid":"b","endpoint":"127.0.0.1:2","state":"SERVING"}]}`
		gaps, posted := play(t, false, []scriptedWatch{{text: first + "\n" + then + "\n"}}, 20*time.Second)
		if len(gaps) != 0 {
			t.Errorf("%d calls, want one", len(gaps)+1)
		}
		if len(posted) != 2 || !posted[0].Complete || !posted[1].Complete {
			t.Fatalf("told %+v, want two whole lists", posted)
		}
		if names := uids(posted[0]); !slices.Equal(names, []string{"a", "b"}) {
			t.Errorf("first %v", names)
		}
		if names := uids(posted[1]); !slices.Equal(names, []string{"b"}) {
			t.Errorf("then %v: what a whole list doesn't name is gone", names)
		}
	})
}

func uids(l List) (names []string) {
	for _, t := range l.Targets {
		names = append(names, t.UID)
	}
	return names
}

// longList is the whole list of so many backends with names of 200 bytes.
func longList(backends int) []byte {
	l := List{Rev: 9, Complete: true}
	for i := range backends {
		l.Targets = append(l.Targets, Target{
			UID: fmt.Sprintf("%s-%05d", strings.Repeat("s", 194), i), Endpoint: "10.200.100.18:6379",
			Zone: "europe-north-1a", Model: "model-2", Group: 1000 + i, State: serving, Capacity: 1.25, BootMS: 1_795_000_000_000,
		})
	}
	text, _ := json.MarshalIndent(l, "", "    ")
	return text
}

// A list of 7,700 backends with long names, indented, is taken whole, by a call for it and on a watch.
func TestLongList(t *testing.T) {
	text := longList(7700)
	t.Logf("%d bytes", len(text))
	answer := carrier(func(r *http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Status: "200", Request: r, Body: io.NopCloser(bytes.NewReader(text))}, nil
	})
	var told []List
	d := New("127.0.0.1:1", 7, 1, false, func(l List) { told = append(told, l) }, quiet)
	d.client.Transport = answer
	if err := d.fetchList(t.Context()); err != nil {
		t.Errorf("list: %v", err)
	}
	if _, err := d.watch(t.Context()); !errors.Is(err, io.EOF) {
		t.Errorf("watch: %v", err)
	}
	if len(told) != 2 || len(told[0].Targets) != 7700 || len(told[1].Targets) != 7700 {
		t.Errorf("%d lists were told, want two of 7700", len(told))
	}
}

// A list without an end is given up with an error that says so, and nothing of it is told.
func TestListWithoutEnd(t *testing.T) {
	d := New("127.0.0.1:1", 7, 350, false, func(List) { t.Error("told") }, quiet)
	d.client.Transport = carrier(func(r *http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Status: "200", Request: r, Body: io.NopCloser(endless{new(bool)})}, nil
	})
	if err := d.fetchList(t.Context()); !errors.Is(err, errListTooLong) {
		t.Errorf("list: %v", err)
	}
	if heard, err := d.watch(t.Context()); heard || !errors.Is(err, errListTooLong) {
		t.Errorf("watch: %v, %v", heard, err)
	}
}

// endless is a list whose first name goes on for ever.
type endless struct{ begun *bool }

// Read is io.Reader's.
func (e endless) Read(p []byte) (int, error) {
	if !*e.begun {
		*e.begun = true
		return copy(p, `{"rev":8,"targets":[{"uid":"`), nil
	}
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}
