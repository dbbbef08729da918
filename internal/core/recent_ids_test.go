package core

import (
	"testing"
	"time"
)

// Ids are remembered for recentIDPeriod at least and twice that at most, and no more of them than the limit.
func TestRecentIDs(t *testing.T) {
	s := newRecentIDs(100)
	now := time.Hour
	s.add(now, 1)
	s.add(now+recentIDPeriod-1, 2)
	for _, c := range []struct {
		at   time.Duration
		id   uint64
		want bool
	}{
		{0, 1, true},
		{0, 3, false},
		{recentIDPeriod, 1, true},
		{2*recentIDPeriod - 2, 2, true},
		{2 * recentIDPeriod, 1, false},
		{3 * recentIDPeriod, 2, false},
	} {
		if got := s.contains(now+c.at, c.id); got != c.want {
			t.Errorf("id %d after %v: remembered %v, want %v", c.id, c.at, got, c.want)
		}
	}
	for id := range uint64(1000) {
		s.add(now+time.Minute, id)
		if n := len(s.current) + len(s.previous); n > 100 {
			t.Fatalf("%d ids are remembered, want 100 at most", n)
		}
	}
	if !s.contains(now+time.Minute, 999) || !s.contains(now+time.Minute, 960) || s.contains(now+time.Minute, 800) {
		t.Error("the latest ids are to be remembered, not the earliest")
	}
}
