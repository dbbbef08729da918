package takeover

import (
	"maps"
	"slices"
	"time"
)

// Times of the wait for the replicas' consent.
const (
	intentResendInterval = 15 * time.Millisecond
	// departedReplyTimeout is how long the reply of a replica is awaited that
	// has left: its departure may be false.
	departedReplyTimeout = 40 * time.Millisecond
	// An intent waits for 1/replyTimeoutDivisor of its client's remaining time,
	// within the bounds; then the attempt goes out uncovered.
	replyTimeoutDivisor = 8
	minReplyTimeout     = 60 * time.Millisecond
	maxReplyTimeout     = 400 * time.Millisecond
	// After half of the timeout the replicas that have replied decide alone.
	partialDecisionDivisor = 2
	// departedReplicaSpan is how long after a departure the replicas from
	// before it receive its intents too.
	departedReplicaSpan = 8 * time.Second
	// minRestartInterval is the least time between the request of an attempt and
	// its restart. Two attempts that know of each other at different replicas
	// would else restart each other without a pause.
	minRestartInterval = 50 * time.Millisecond
	// remoteReplicas is the number of a key's present replicas that receive its intents.
	remoteReplicas = 2
)

// requestConsent chooses the replicas of new work by the present members, has it
// recorded here if this instance is one, and requests the consent of the others.
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

// replaceReplicas has the present replicas of work store it, since one has left.
// A wait for consent goes on, and ends when it would have ended without that.
// Work that waits unsent awaits the consent of the new replicas. An attempt that
// may be on the wire waits for nothing, and is not withdrawn.
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

// recordLocally has work recorded here if this instance is one of its replicas.
// It returns the local replica's reply if that refuses the intent, else nil.
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

// chooseReplicas sets the replicas of work by the present members.
func (c *Coordinator) chooseReplicas(now time.Duration, work *pendingWork) {
	work.replicas = Replicas(work.Key, c.members)
	work.setRemotes(slices.DeleteFunc(
		c.remotesOf(now, work.replicas, work.Key),
		func(name string) bool { return name == work.previousOwner },
	))
}

// remotesOf returns the other instances that receive the intents of a key: the first
// two of its replicas, and the first two that it had before the recent
// departures, since a departure may be false.
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

// awaitConsent sends the intent in its present form to all remotes and begins
// to wait for their consent.
func (c *Coordinator) awaitConsent(now time.Duration, work *pendingWork, timeout time.Duration) {
	work.timeout = timeout
	work.awaitReplicas()
	c.sendNewIntent(now, work)
}

// sendNewIntent sends the intent in its present form to all remotes.
func (c *Coordinator) sendNewIntent(now time.Duration, work *pendingWork) {
	work.requestedAt = now
	work.replies = map[string]*Reply{}
	c.sendIntent(now, work)
}

// resendIntent sends the intent again if the last was sent long enough ago.
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

// intentFor returns the intent of work as replica is to receive it.
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

// receiveReply takes in a replica's reply, unless it is to an earlier intent.
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
		// The other one withdraws. Until then the replica is asked again.
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

// prevailsOver reports whether a reply names another instance that takes the same
// unsent work over in the same epoch and is outranked by this one.
func (c *Coordinator) prevailsOver(work *pendingWork, reply *Reply) bool {
	return work.previousOwner != "" && reply.Kind == ReplyTakenOver && reply.Owner != "" &&
		reply.Owner != c.self.Name && reply.Epoch == work.epoch && outranks(work.Key, c.self.Name, reply.Owner)
}
