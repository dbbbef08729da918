package takeover

import (
	"slices"
	"time"
)

const (
	// outcomeQueryTimeout is the longest that a client waits for a rejection
	// while the replicas are queried.
	outcomeQueryTimeout = 25 * time.Millisecond
	// maxOpenQueries is the number of outcome queries at a time; further
	// attempts are rejected at once.
	maxOpenQueries = 64
)

// QueryOutcome queries the replicas of an idempotency key whether another attempt
// has completed or is still running. The caller is about to reject attempt and
// must not do so if one has.
//
// It reports false if no replica can be reached. Otherwise the next calls of
// Drain return one ActionJoin, ActionUseAnswer or ActionUnknown for attempt,
// within outcomeQueryTimeout.
func (c *Coordinator) QueryOutcome(
	now time.Duration, key string, attempt uint64, deadline time.Duration,
) bool {
	c.advance(now)
	replicas := Replicas(key, c.members)
	remotes := c.remotesOf(now, replicas, key)
	if c.openQueries >= maxOpenQueries || len(remotes) == 0 || c.pending[attempt] != nil ||
		deadline-now < 2*outcomeQueryTimeout {
		return false
	}
	work := &pendingWork{
		Work:        Work{Key: key},
		attempt:     attempt,
		state:       stateQuerying,
		deadline:    deadline,
		replicas:    replicas,
		remotes:     remotes,
		replies:     map[string]*Reply{},
		requestedAt: now,
		lastSentAt:  now,
		timeout:     outcomeQueryTimeout,
	}
	c.counts.Queried++
	c.openQueries++
	c.pending[attempt] = work
	if slices.Contains(replicas, c.self.Name) {
		query := c.intentFor(now, work, c.self.Name)
		reply := c.store.handleIntent(now, c.self.Name, c.store.incarnation, query)
		if reply.Kind == ReplyOtherAttempt {
			c.endQueryKnown(work, &reply)
			return true
		}
	}
	c.sendIntent(now, work)
	return true
}

// receiveQueryReply takes in a replica's reply to an outcome query. The first
// that knows of another attempt decides; the outcome is unknown once all have
// replied that they know of none.
func (c *Coordinator) receiveQueryReply(work *pendingWork, from string, reply *Reply) {
	work.replies[from] = reply
	if reply.Kind == ReplyOtherAttempt {
		c.endQueryKnown(work, reply)
		return
	}
	if work.allReplied() {
		c.endQueryUnknown(work)
	}
}

// endQueryKnown ends an outcome query: another attempt has an answer, or will
// have one.
func (c *Coordinator) endQueryKnown(work *pendingWork, reply *Reply) {
	c.openQueries--
	work.join()
	if reply.Answer != nil {
		c.useJoinedAnswer(work, *reply.Answer)
		return
	}
	c.counts.Joined++
	c.emit(Action{Kind: ActionJoin, Attempt: work.attempt})
}

// endQueryUnknown ends an outcome query: no other attempt is known.
func (c *Coordinator) endQueryUnknown(work *pendingWork) {
	c.openQueries--
	delete(c.pending, work.attempt)
	c.emit(Action{Kind: ActionUnknown, Attempt: work.attempt})
}
