package takeover

import (
	"slices"
	"time"
)

const (
	// outcomeQueryTimeout is the maximum time by which querying the replicas
	// delays a rejection.
	outcomeQueryTimeout = 25 * time.Millisecond
	// maxOpenQueries limits the concurrent outcome queries; beyond it attempts
	// are rejected without a query.
	maxOpenQueries = 64
)

// QueryOutcome asks the replicas of an idempotency key whether another attempt
// has completed or is still running. It is called before attempt is rejected,
// because a key that has run or may run must not be rejected.
//
// It returns false if no query was started: there is no other replica, too many
// queries are open, the deadline is too close or the attempt is already pending.
// Otherwise Drain returns one ActionJoin, ActionUseAnswer or ActionUnknown for
// attempt within outcomeQueryTimeout.
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
			c.endQueryWithOutcome(work, &reply)
			return true
		}
	}
	c.sendIntent(now, work)
	return true
}

// receiveQueryReply handles a replica's reply to an outcome query. The first reply
// that names another attempt decides. If no reply does, the outcome is unknown.
func (c *Coordinator) receiveQueryReply(work *pendingWork, from string, reply *Reply) {
	work.replies[from] = reply
	if reply.Kind == ReplyOtherAttempt {
		c.endQueryWithOutcome(work, reply)
		return
	}
	if work.allReplied() {
		c.endQueryWithoutOutcome(work)
	}
}

// endQueryWithOutcome ends an outcome query because another attempt has an answer
// or will have one.
func (c *Coordinator) endQueryWithOutcome(work *pendingWork, reply *Reply) {
	c.openQueries--
	work.join()
	if reply.Answer != nil {
		c.useJoinedAnswer(work, *reply.Answer)
		return
	}
	c.counts.Joined++
	c.emit(Action{Kind: ActionJoin, Attempt: work.attempt})
}

// endQueryWithoutOutcome ends an outcome query that found no other attempt.
func (c *Coordinator) endQueryWithoutOutcome(work *pendingWork) {
	c.openQueries--
	delete(c.pending, work.attempt)
	c.emit(Action{Kind: ActionUnknown, Attempt: work.attempt})
}
