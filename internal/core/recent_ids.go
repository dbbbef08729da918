package core

import (
	"time"

	"hitchspring/policy"
)

// recentIDPeriod is the shortest time for which the id of a request with effects is remembered after its deadline.
const recentIDPeriod = 30 * time.Second

// recentIDBytes is the memory for one remembered id, with what the runtime adds.
const recentIDBytes = 64

// recentIDs is the set of client ids of requests that may have run and whose deadlines have passed. Each is remembered
// for recentIDPeriod to twice as long, or until so many have followed that the limit is reached.
type recentIDs struct {
	limit     int // of each of the two sets
	current   map[uint64]struct{}
	previous  map[uint64]struct{}
	rotatedAt time.Duration
}

func newRecentIDs(limit int) *recentIDs {
	return &recentIDs{limit: max(1, limit/2), current: map[uint64]struct{}{}}
}

// add remembers an id.
func (s *recentIDs) add(now time.Duration, id uint64) {
	s.rotate(now)
	s.current[id] = struct{}{}
	if len(s.current) >= s.limit {
		s.startSet(now)
	}
}

// contains reports whether an id is remembered.
func (s *recentIDs) contains(now time.Duration, id uint64) bool {
	s.rotate(now)
	_, found := s.current[id]
	if !found {
		_, found = s.previous[id]
	}
	return found
}

// rotate drops the ids that have been remembered for long enough.
func (s *recentIDs) rotate(now time.Duration) {
	for i := 0; i < 2 && now-s.rotatedAt >= recentIDPeriod; i++ {
		s.startSet(max(s.rotatedAt+recentIDPeriod, now-recentIDPeriod))
	}
}

func (s *recentIDs) startSet(now time.Duration) {
	s.previous, s.current, s.rotatedAt = s.current, map[uint64]struct{}{}, now
}

// isKnownID reports whether a request with the same client id is open, or may have run with effects.
func (c *Core) isKnownID(r *Request) bool {
	if r.Delegated { // its id is a number of this process: the lease table knows it by its caller's id
		return false
	}
	if c.clientIDs[r.ClientID] || !c.hasEffects(r) {
		return c.clientIDs[r.ClientID]
	}
	if c.sharedIDs.active {
		c.readSharedIDs()
	}
	return c.recentIDs.contains(c.now, r.ClientID)
}

// hasEffects reports whether running a request twice could do harm.
func (c *Core) hasEffects(r *Request) bool { return c.classOf(r).Effect != policy.Safe }

// expireClientID is called at the deadline of a request. Its id may be used again only if the request surely had no
// effects: a client that has left may send it once more, on another connection.
func (c *Core) expireClientID(r *Request) {
	if r.Delegated {
		return
	}
	delete(c.clientIDs, r.ClientID)
	if c.hasEffects(r) && (r.mayHaveRun || !r.neverRan()) {
		c.recentIDs.add(c.now, r.ClientID)
	}
}
