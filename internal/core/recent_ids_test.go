package core

import (
	"testing"
	"time"

	"hitchspring/policy"
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

// idExchange records what a core tells the other process of its instance, and tells it of ids.
type idExchange struct{ appended, others []uint64 }

// Append implements SharedIDs.
func (e *idExchange) Append(ids ...uint64) error {
	e.appended = append(e.appended, ids...)
	return nil
}

// ReadOthers implements SharedIDs.
func (e *idExchange) ReadOthers(add func(uint64)) error {
	for _, id := range e.others {
		add(id)
	}
	return nil
}

// Guards against requests of callers that send by themselves which are taken for others: their numbers begin anew with
// each process.
func TestIDsOfDelegatedRequestsAreNotShared(t *testing.T) {
	cfg := testConfig(newBackends(t, 1))
	cfg.Settings.Classes[0].Effect = policy.Unsafe
	exchange := &idExchange{others: []uint64{1}}
	cfg.SharedIDs = exchange
	c := newIdleCore(t, cfg)
	c.setSiblings(1)
	delegated := newRequest(c, 1, &recordingSink{})
	delegated.Delegated = true
	if c.isKnownID(delegated) {
		t.Error("a delegated request is known by the number of another process's")
	}
	if own := newRequest(c, 1, &recordingSink{}); !c.isKnownID(own) {
		t.Error("a request that the other process has sent is not known")
	}
	c.clientIDs[7] = true
	c.expireClientID(&Request{Request: policy.Request{Delegated: true}, ClientID: 7, mayHaveRun: true})
	c.shareID(delegated)
	if len(exchange.appended) != 0 || !c.clientIDs[7] {
		t.Errorf("the end of a delegated request touched ids of others; %v were shared", exchange.appended)
	}
}
