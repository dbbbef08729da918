package discovery

import (
	"errors"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

const (
	emptyList   = `{"rev":7,"all":true,"targets":[]}` + "\n"
	emptyChange = `{"rev":8,"all":false,"targets":[]}` + "\n"
)

// checkCalls fails unless there were exactly so many watches and no request for the list.
func (s *watchScript) checkCalls(t *testing.T, watches int) {
	t.Helper()
	if got := len(s.watchCalls); got != watches || s.listRequests != 0 {
		t.Errorf("got %d watches and %d list requests, want %d and 0", got, s.listRequests, watches)
	}
}

// However a watch ends in a large fleet, the next is opened in time and its change is posted. A watch that receives
// blank lines stays open.
func TestWatchEndsInLargeFleet(t *testing.T) {
	errReset := errors.New("connection reset")
	afterListReset := scriptedWatch{text: emptyList, end: errReset}
	last := scriptedWatch{text: emptyChange}
	for name, c := range map[string]struct {
		watches  []scriptedWatch
		min, max time.Duration // from each call to the next
	}{
		"ends without data": {[]scriptedWatch{{end: io.EOF}, last}, 0, maxCallInterval},
		"is reset without data": {
			[]scriptedWatch{{end: errReset}, {end: errReset}, last}, 0, maxCallInterval,
		},
		"is reset after a list":  {[]scriptedWatch{afterListReset, last}, 0, reconnectSpread},
		"is reset within a list": {[]scriptedWatch{{text: emptyList[:20], end: errReset}, last}, 0, reconnectSpread},
		"is reset after lists, repeatedly": {
			[]scriptedWatch{afterListReset, afterListReset, afterListReset, last}, 0, maxCallInterval,
		},
		"falls silent": {[]scriptedWatch{{text: emptyList}, last}, minSilenceTimeout, maxSilenceTimeout},
		"is never answered": {
			[]scriptedWatch{{noResponse: true}, {noResponse: true}, last}, discoveryTimeout, maxCallInterval,
		},
		"is rejected": {
			[]scriptedWatch{{status: 503}, {status: 503}, last}, firstRejectionInterval.min, rejectionInterval.max,
		},
		"is rejected with a Retry-After": {
			[]scriptedWatch{{status: 503, retryAfter: "3"}, last}, 3 * time.Second, 3*time.Second + reconnectSpread,
		},
		"can't be read": {[]scriptedWatch{{text: `{"rev":"x"}`, end: io.EOF}, last}, 0, maxCallInterval},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &watchScript{watches: c.watches}
				s.run(t, 350, true, 40*time.Second)
				s.checkCalls(t, len(c.watches))
				for _, got := range s.intervals() {
					if got < c.min || got > c.max {
						t.Errorf("got %v from one call to the next, want %v to %v", got, c.min, c.max)
					}
				}
				if len(s.posted) == 0 || s.posted[len(s.posted)-1].Rev != 8 {
					t.Errorf("got %+v posted, want revision 8 at last", s.posted)
				}
			})
		})
	}
}

// An instance of a large fleet that has no list gets the complete list from its watch, without a second call. A later
// complete list is posted as complete too, so that a backend that it lacks counts as removed.
func TestCompleteListsOnAWatch(t *testing.T) {
	const (
		entryA = `{"uid":"a","endpoint":"127.0.0.1:1","state":"SERVING"}`
		entryB = `{"uid":"b","endpoint":"127.0.0.1:2","state":"SERVING"}`
		first  = `{"rev":8,"all":true,"targets":[` + entryA + `,` + entryB + `]}` + "\n"
		second = `{"rev":9,"all":true,"targets":[` + entryB + `]}` + "\n"
	)
	synctest.Test(t, func(t *testing.T) {
		s := &watchScript{watches: []scriptedWatch{{text: first + second}}}
		s.run(t, 350, false, 20*time.Second)
		s.checkCalls(t, 1)
		if len(s.posted) != 2 || !s.posted[0].Complete || !s.posted[1].Complete {
			t.Fatalf("got %+v posted, want two complete lists", s.posted)
		}
		if got, want := uids(s.posted[0]), []string{"a", "b"}; !slices.Equal(got, want) {
			t.Errorf("got %v in the first list, want %v", got, want)
		}
		if got, want := uids(s.posted[1]), []string{"b"}; !slices.Equal(got, want) {
			t.Errorf("got %v in the second list, want %v", got, want)
		}
	})
}

func uids(list List) []string {
	var uids []string
	for _, target := range list.Targets {
		uids = append(uids, target.UID)
	}
	return uids
}
