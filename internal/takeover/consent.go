package takeover

import (
	"maps"
	"slices"
	"time"
)

// Timing and fan-out of the requests for the replicas' consent.
const (
	intentResendInterval = 15 * time.Millisecond
	// departedReplyTimeout is how long to wait for the reply of a replica that
	// has been reported as departed: the report may be false.
	departedReplyTimeout = 40 * time.Millisecond
	// The replies to an intent are awaited for 1/replyTimeoutDivisor of the
	// client's remaining time, clamped to these bounds. Then the attempt is sent
	// uncovered.
	replyTimeoutDivisor = 8
	minReplyTimeout     = 60 * time.Millisecond
	maxReplyTimeout     = 400 * time.Millisecond
	// After 1/partialDecisionDivisor of the timeout, the replies received so far
	// decide.
	partialDecisionDivisor = 2
	// departedReplicaSpan is how long after a departure intents are also sent to
	// the replicas of the key as they were before it.
	departedReplicaSpan = 8 * time.Second
	// minRestartInterval is the minimum time between the request for an attempt
	// and its restart. Without it, two attempts that are recorded at different
	// replicas would restart each other in a tight loop.
	minRestartInterval = 50 * time.Millisecond
	// remoteReplicas is the number of other instances among a key's current
	// replicas that receive its intents.
	remoteReplicas = 2
)

// requestConsent chooses the replicas of new work among the current members,
// records the work here if this instance is a replica, and requests the consent
// of the others.
func (c *Coordinator) requestConsent(now time.Duration, work *pendingWork) {
	c.chooseReplicas(now, work)
	refusal := c.recordLocally(now, work)
	switch {
	case refusal != nil:
		c.applyDecision(now, work, *refusal, true)
	case len(work.remotes) == 0:
		c.decideAlone(work)
	default:
		c.awaitConsent(now, work, work.consentTimeout(now))
	}
}

// replaceReplicas chooses the replicas of work again after one of them has left,
// and sends them the intent. A wait for consent continues with its original
// timeout. Queued work awaits the consent of the new replicas. An attempt that
// may be on the wire needs no further consent and is not withdrawn.
func (c *Coordinator) replaceReplicas(now time.Duration, work *pendingWork) {
	previous := work.replies
	c.chooseReplicas(now, work)
	refusal := c.recordLocally(now, work)
	if work.mayBeOnWire() {
		c.sendNewIntent(now, work)
		return
	}
	if refusal != nil {
		c.applyDecision(now, work, *refusal, true)
		return
	}
	if len(work.remotes) == 0 {
		if work.state == stateAwaitingReplicas {
			c.decideAlone(work)
		}
		return
	}
	timeout := work.consentTimeout(now)
	if work.state == stateAwaitingReplicas {
		timeout = max(0, work.requestedAt+work.timeout-now)
	}
	c.awaitConsent(now, work, timeout)
	for _, remote := range work.remotes {
		if reply := previous[remote]; reply != nil {
			work.replies[remote] = reply
		}
	}
}

// recordLocally records work in the local store if this instance is one of its
// replicas. It returns the store's reply if it refuses the intent, else nil.
func (c *Coordinator) recordLocally(now time.Duration, work *pendingWork) (refusal *Reply) {
	if !slices.Contains(work.replicas, c.self.Name) {
		return nil
	}
	intent := c.intentFor(now, work, c.self.Name)
	reply := c.store.handleIntent(now, c.self.Name, c.store.incarnation, intent)
	c.collectFromStore()
	if reply.Kind != ReplyGranted && reply.Kind != ReplyFull {
		return &reply
	}
	work.epoch = max(work.epoch, reply.Epoch)
	work.localEpoch = reply.Epoch
	return nil
}

// chooseReplicas sets the replicas of work according to the current members.
func (c *Coordinator) chooseReplicas(now time.Duration, work *pendingWork) {
	work.replicas = Replicas(work.Key, c.members)
	work.setRemotes(slices.DeleteFunc(
		c.remotesOf(now, work.replicas, work.Key),
		func(name string) bool { return name == work.previousOwner },
	))
}

// remotesOf returns the other instances that receive the intents of a key: the
// first two of its replicas, and the first two that it had before the recent
// departures, because a reported departure may be false.
func (c *Coordinator) remotesOf(now time.Duration, replicas []string, key string) []string {
	isSelf := func(name string) bool { return name == c.self.Name }
	remotes := slices.DeleteFunc(slices.Clone(replicas), isSelf)
	remotes = remotes[:min(remoteReplicas, len(remotes))]
	if len(c.departed) == 0 {
		return remotes
	}
	earlier := slices.Clone(c.members)
	for _, name := range slices.Sorted(maps.Keys(c.departed)) {
		if now-c.departed[name].at <= departedReplicaSpan {
			earlier = append(earlier, c.departed[name].Member)
		}
	}
	previous := slices.DeleteFunc(Replicas(key, earlier), isSelf)
	for _, name := range previous[:min(remoteReplicas, len(previous))] {
		if !slices.Contains(remotes, name) {
			remotes = append(remotes, name)
		}
	}
	return remotes
}

// awaitConsent sends the current intent to all remotes and starts the wait for
// their consent.
func (c *Coordinator) awaitConsent(now time.Duration, work *pendingWork, timeout time.Duration) {
	work.timeout = timeout
	work.awaitReplicas()
	c.sendNewIntent(now, work)
}

// sendNewIntent sends the current intent to all remotes and discards the replies
// to earlier ones.
func (c *Coordinator) sendNewIntent(now time.Duration, work *pendingWork) {
	work.requestedAt = now
	work.replies = map[string]*Reply{}
	c.sendIntent(now, work)
}

// resendIntent sends the intent again if intentResendInterval has passed.
func (c *Coordinator) resendIntent(now time.Duration, work *pendingWork) {
	if now-work.lastSentAt >= intentResendInterval {
		c.sendIntent(now, work)
	}
}

// sendIntent sends the intent to the remotes that have not replied to it.
func (c *Coordinator) sendIntent(now time.Duration, work *pendingWork) {
	work.lastSentAt = now
	for _, remote := range work.remotes {
		if work.replies[remote] == nil {
			c.send(remote, Message{Intent: c.intentFor(now, work, remote)})
		}
	}
}

// intentFor returns the current intent of work, addressed to replica.
func (c *Coordinator) intentFor(now time.Duration, work *pendingWork, replica string) *Intent {
	if work.state == stateQuerying {
		return &Intent{Work: work.Work, Attempt: work.attempt, QueryOnly: true}
	}
	intent := &Intent{
		Work:       work.Work,
		Attempt:    work.attempt,
		Epoch:      work.epoch,
		Relocation: work.relocation,
		Scope:      work.scope,
		Remaining:  max(0, work.deadline-now),
		Replicas:   work.replicas,
	}
	if work.startedAt > 0 {
		intent.Age = now - work.startedAt
	}
	if replica != c.self.Name {
		intent.Clock = c.replicaClock(replica)
	}
	return intent
}

// receiveReply handles a replica's reply. Replies to intents with another
// relocation count are ignored.
func (c *Coordinator) receiveReply(now time.Duration, from string, reply *Reply) {
	work := c.pending[reply.Attempt]
	if work == nil || work.Key != reply.Key || work.relocation != reply.Relocation {
		return
	}
	if !slices.Contains(work.remotes, from) {
		return
	}
	switch {
	case work.state == stateQuerying:
		c.receiveQueryReply(work, from, reply)
	case reply.Kind == ReplyStaleClock:
		if work.state == stateAwaitingReplicas && !work.timedOut(now) {
			intent := c.intentFor(now, work, from)
			intent.Clock = max(intent.Clock, reply.Clock)
			c.send(from, Message{Intent: intent})
		}
	case c.prevailsOver(work, reply):
		// The other successor withdraws. Until then the intent is sent again.
	default:
		if reply.Kind == ReplyGranted {
			work.epoch = max(work.epoch, reply.Epoch)
		}
		if work.state == stateAwaitingReplicas {
			work.replies[from] = reply
			c.decide(now, work)
		}
	}
}

// prevailsOver reports whether a reply names another instance that has taken the
// same unsent work over in the same epoch and that this instance outranks.
func (c *Coordinator) prevailsOver(work *pendingWork, reply *Reply) bool {
	return work.previousOwner != "" && reply.Kind == ReplyTakenOver && reply.Owner != "" &&
		reply.Owner != c.self.Name && reply.Epoch == work.epoch && outranks(work.Key, c.self.Name, reply.Owner)
}
