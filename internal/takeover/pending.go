package takeover

import (
	"slices"
	"time"
)

// workState is the phase of one piece of pending work.
type workState uint8

const (
	// stateSettled: no reply is awaited. An attempt may be on the wire, or the
	// caller may not send any.
	stateSettled workState = iota
	// stateAwaitingReplicas: the intent was sent, and nothing may go out
	// before the replicas have decided or the wait has timed out.
	stateAwaitingReplicas
	// stateQuerying: nothing will be sent; the replicas are queried whether
	// another attempt has an outcome.
	stateQuerying
	// stateJoined: another attempt decides the outcome, and a notification of
	// it is awaited.
	stateJoined
	// stateCompleted: the attempt has ended, and the replicas are being notified.
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

// pendingWork is one attempt of this instance that replicas have recorded, or
// are queried about.
type pendingWork struct {
	Work
	attempt uint64
	state   workState
	// epoch is the newest epoch that a replica has granted; 0: none has.
	epoch uint64
	// localEpoch is the epoch of this instance's own record; 0: it has none.
	localEpoch uint64
	// relocation counts the changes of scope; replies to earlier ones are dropped.
	relocation int
	scope      Scope
	// startedAt is when its first attempt went out; 0: none has.
	startedAt time.Duration
	// deadline is when its client gives up.
	deadline time.Duration

	// replicas are the key's replicas, this instance among them if it is one.
	replicas []string
	// remotes are the other instances that receive the intent: the first two of
	// replicas, and those from before a recent departure.
	remotes []string
	// recipients are all instances that have been remotes. They may hold a
	// record of the attempt, so they are notified of how it ends.
	recipients []string
	// replies holds the latest reply to the current intent, by replica.
	replies map[string]*Reply
	// requestedAt is when the current intent was first sent, lastSentAt when last.
	requestedAt time.Duration
	lastSentAt  time.Duration
	// timeout is how long after requestedAt the replicas are waited for.
	timeout time.Duration

	// covered says that a replica has granted the intent, or that the work may
	// change its scope only with a replica's consent.
	covered bool
	// adopted says that it continues another attempt in that one's scope.
	adopted bool
	// leavingScopeNone says that the current intent moves it from ScopeNone.
	// The primary's consent is enough then, since a successor needs that of all.
	leavingScopeNone bool
	// unsentEverywhere says that all replicas had recorded it with ScopeNone.
	unsentEverywhere bool
	// previousOwner is the instance that it was taken over from with
	// ScopeNone. Its consent isn't needed: it sends nothing without this one's.
	previousOwner string

	// restartAt is when it begins again in stateJoined, since the joined attempt
	// never ran; 0: it doesn't.
	restartAt time.Duration

	// completion is what the recipients are sent in stateCompleted, and
	// acknowledged which of them have confirmed it.
	completion       *Completion
	acknowledged     map[string]bool
	completionSends  int
	completionSentAt time.Duration
}

// setRemotes replaces the instances that receive the intent.
func (w *pendingWork) setRemotes(remotes []string) {
	w.remotes = remotes
	for _, remote := range remotes {
		if !slices.Contains(w.recipients, remote) {
			w.recipients = append(w.recipients, remote)
		}
	}
}

// awaitReplicas begins the wait for the replies to a new intent. Work that has
// joined another attempt, is queried for or has completed awaits no consent.
func (w *pendingWork) awaitReplicas() {
	if w.state == stateSettled {
		w.state = stateAwaitingReplicas
	}
}

// settle ends the wait for the replicas: they have decided or have timed out, or
// the attempt needs no consent.
func (w *pendingWork) settle() {
	if w.state == stateAwaitingReplicas {
		w.state = stateSettled
	}
}

// join makes another attempt decide the outcome. It is legal while nothing of
// this attempt was sent, or after a takeover.
func (w *pendingWork) join() { w.state = stateJoined }

// complete records how the attempt ended.
func (w *pendingWork) complete(completion *Completion) {
	w.state = stateCompleted
	w.completion = completion
	w.acknowledged = map[string]bool{}
}

// sendsNothing reports whether another attempt's owner completes the key.
func (w *pendingWork) sendsNothing() bool {
	return w.state == stateJoined || w.state == stateQuerying
}

// consentTimeout returns how long the consent to a new intent is awaited.
func (w *pendingWork) consentTimeout(now time.Duration) time.Duration {
	return min(maxReplyTimeout, max(minReplyTimeout, (w.deadline-now)/replyTimeoutDivisor))
}

// mayBeOnWire reports whether an attempt was sent, here or by the instance that
// the work was taken over from, and nothing is awaited before a further one.
func (w *pendingWork) mayBeOnWire() bool {
	return w.state == stateSettled && w.startedAt > 0
}

// timedOut reports whether the replicas were waited for long enough.
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

// primaryConsents reports whether the key's primary has not objected to the
// current intent. This instance, if it is the primary, had no objection when
// the intent was sent.
func (w *pendingWork) primaryConsents(self string) bool {
	return w.isPrimary(self) || w.remotePrimaryGranted()
}

// primaryRecorded reports whether the key's primary has a record of the
// current intent; this instance may have had no capacity for one.
func (w *pendingWork) primaryRecorded(self string) bool {
	if w.isPrimary(self) {
		return w.localEpoch > 0
	}
	return w.remotePrimaryGranted()
}

// relocate moves the work to a further scope. What went out before surely
// never ran.
func (w *pendingWork) relocate(scope Scope) {
	w.relocation++
	w.leavingScopeNone = w.ownsUnsent()
	if w.scope == ScopeNone {
		w.covered = true // it goes with a replica's consent, or not at all
	}
	w.scope = scope
	w.startedAt = 0
}

// ownsUnsent reports whether this instance accepted the work and nothing of it
// was sent.
func (w *pendingWork) ownsUnsent() bool {
	return w.scope == ScopeNone && w.previousOwner == ""
}
