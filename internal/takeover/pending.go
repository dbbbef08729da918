package takeover

import (
	"slices"
	"time"
)

// workState is the state of one piece of pending work.
type workState uint8

const (
	// stateSettled: no reply is awaited. An attempt may be on the wire, or the
	// caller was told not to send one.
	stateSettled workState = iota
	// stateAwaitingReplicas: the intent was sent. No attempt may be sent until
	// the replicas have decided or the wait has timed out.
	stateAwaitingReplicas
	// stateQuerying: no attempt will be sent. The replicas are asked whether
	// another attempt has an outcome.
	stateQuerying
	// stateJoined: another attempt decides the outcome, and the notification of
	// its answer is awaited.
	stateJoined
	// stateCompleted: the attempt has ended, and its completion is being sent to
	// the replicas.
	stateCompleted
)

// String returns the state's name.
func (s workState) String() string {
	switch s {
	case stateSettled:
		return "settled"
	case stateAwaitingReplicas:
		return "awaiting replicas"
	case stateQuerying:
		return "querying"
	case stateJoined:
		return "joined"
	case stateCompleted:
		return "completed"
	}
	return "unknown"
}

// pendingWork is an attempt of this instance whose replicas have been sent an
// intent or an outcome query.
type pendingWork struct {
	Work
	attempt uint64
	state   workState
	// epoch is the latest epoch granted by a replica, 0 if none has granted one.
	epoch uint64
	// localEpoch is the epoch of the record in this instance's own store, 0 if
	// there is none.
	localEpoch uint64
	// relocation counts the changes of scope; replies for an earlier count are dropped.
	relocation int
	scope      Scope
	// startedAt is when the first attempt was sent, 0 if none was.
	startedAt time.Duration
	// deadline is when the client gives up.
	deadline time.Duration

	// replicas are the key's replicas, which may include this instance.
	replicas []string
	// remotes are the other instances that receive the intent: the first two of
	// replicas, and those of before a recent departure.
	remotes []string
	// recipients are all instances that have ever been remotes. They may hold a
	// record of the attempt, so they receive its completion.
	recipients []string
	// replies holds the latest reply to the current intent, by replica.
	replies map[string]*Reply
	// requestedAt is when the current intent was first sent, lastSentAt when it
	// was last sent.
	requestedAt time.Duration
	lastSentAt  time.Duration
	// timeout is how long after requestedAt to wait for the replicas.
	timeout time.Duration

	// covered is set if a replica has granted the intent, or if the work may
	// change its scope only with a replica's consent.
	covered bool
	// adopted is set if the work continues another attempt in that attempt's scope.
	adopted bool
	// leavingScopeNone is set if the current intent moves the work from ScopeNone
	// to a scope. Only the primary's consent is needed then, since a successor
	// needs the consent of all replicas.
	leavingScopeNone bool
	// unsentEverywhere is set if all replicas had recorded the work with ScopeNone.
	unsentEverywhere bool
	// previousOwner is the instance from which the work was taken over with
	// ScopeNone. Its consent isn't needed, because it can't send an attempt
	// without the consent of this instance.
	previousOwner string

	// restartAt is when the work restarts in stateJoined because the joined
	// attempt never ran, 0 if it doesn't.
	restartAt time.Duration

	// completion is sent to the recipients in stateCompleted; acknowledged holds
	// those that have acknowledged it.
	completion       *Completion
	acknowledged     map[string]bool
	completionSends  int
	completionSentAt time.Duration
}

// setRemotes replaces the remotes and adds them to the recipients.
func (w *pendingWork) setRemotes(remotes []string) {
	w.remotes = remotes
	for _, remote := range remotes {
		if !slices.Contains(w.recipients, remote) {
			w.recipients = append(w.recipients, remote)
		}
	}
}

// awaitReplicas starts the wait for the replies to a new intent. It has no effect
// on work that is querying, has joined another attempt or has completed.
func (w *pendingWork) awaitReplicas() {
	if w.state == stateSettled {
		w.state = stateAwaitingReplicas
	}
}

// settle ends the wait for the replicas' decision.
func (w *pendingWork) settle() {
	if w.state == stateAwaitingReplicas {
		w.state = stateSettled
	}
}

// join leaves the outcome to another attempt. It is allowed only if this attempt
// was not sent, or after a takeover.
func (w *pendingWork) join() { w.state = stateJoined }

// complete records the outcome of the attempt.
func (w *pendingWork) complete(completion *Completion) {
	w.state = stateCompleted
	w.completion = completion
	w.acknowledged = map[string]bool{}
}

// sendsNothing reports whether the work sends no attempt of its own because it
// waits for another attempt's outcome.
func (w *pendingWork) sendsNothing() bool {
	return w.state == stateJoined || w.state == stateQuerying
}

// consentTimeout returns how long to wait for the consent to a new intent.
func (w *pendingWork) consentTimeout(now time.Duration) time.Duration {
	return min(maxReplyTimeout, max(minReplyTimeout, (w.deadline-now)/replyTimeoutDivisor))
}

// mayBeOnWire reports whether an attempt was sent, by this instance or by the
// previous owner, and no consent to a further attempt is awaited.
func (w *pendingWork) mayBeOnWire() bool {
	return w.state == stateSettled && w.startedAt > 0
}

// timedOut reports whether the wait for the replicas has timed out.
func (w *pendingWork) timedOut(now time.Duration) bool {
	return now-w.requestedAt >= w.timeout
}

// allReplied reports whether all remotes have replied to the current intent.
func (w *pendingWork) allReplied() bool {
	return !slices.ContainsFunc(w.remotes, func(remote string) bool { return w.replies[remote] == nil })
}

// isPrimary reports whether instance is the key's primary.
func (w *pendingWork) isPrimary(instance string) bool { return w.replicas[0] == instance }

// remotePrimaryGranted reports whether the key's primary is another instance
// and has granted the current intent.
func (w *pendingWork) remotePrimaryGranted() bool {
	reply := w.replies[w.replicas[0]]
	return reply != nil && reply.Kind == ReplyGranted
}

// primaryConsents reports whether the key's primary has consented to the current
// intent. If this instance is the primary, it did so before the intent was sent.
func (w *pendingWork) primaryConsents(self string) bool {
	return w.isPrimary(self) || w.remotePrimaryGranted()
}

// primaryRecorded reports whether the key's primary has recorded the current
// intent. If this instance is the primary, its store may have been full.
func (w *pendingWork) primaryRecorded(self string) bool {
	if w.isPrimary(self) {
		return w.localEpoch > 0
	}
	return w.remotePrimaryGranted()
}

// relocate moves the work to another scope. The caller knows that no earlier
// attempt ran.
func (w *pendingWork) relocate(scope Scope) {
	w.relocation++
	w.leavingScopeNone = w.acceptedAndUnsent()
	if w.scope == ScopeNone {
		w.covered = true // from now on it is sent only with a replica's consent
	}
	w.scope = scope
	w.startedAt = 0
}

// acceptedAndUnsent reports whether this instance accepted the work and no attempt
// of it was sent.
func (w *pendingWork) acceptedAndUnsent() bool {
	return w.scope == ScopeNone && w.previousOwner == ""
}
