package backend

import "time"

const (
	// reuseDelay is how long a connection stays idle after a reply, so that a duplicate of the reply arrives while no
	// other command is in flight on it.
	reuseDelay = 15 * time.Millisecond
	// cleanReusesToTrust is the number of reuse delays without a duplicate after which a backend is trusted to send
	// none. Of the backends that duplicate 1 reply in 100, 1 in 23,000 is trusted by mistake.
	cleanReusesToTrust = 1000
	// distrustPeriod is how long a backend is not trusted after it has sent a duplicate.
	distrustPeriod = 5 * time.Minute
)

// reusable reports whether the reuse delay is over: a duplicate of an earlier reply would have arrived by now.
func (c *conn) reusable(now time.Duration) bool { return !c.used || now-c.idleSince >= reuseDelay }

// duplicateReplies tracks whether a backend sends duplicate replies.
type duplicateReplies struct {
	seen        bool
	lastSeenAt  time.Duration // when a duplicate was last seen
	cleanReuses int           // reuse delays since then in which nothing arrived
}

// recordDuplicate records a duplicate reply.
func (d *duplicateReplies) recordDuplicate(now time.Duration) {
	*d = duplicateReplies{seen: true, lastSeenAt: now}
}

// recordCleanReuse records a reuse delay in which nothing arrived.
func (d *duplicateReplies) recordCleanReuse() {
	d.cleanReuses = min(d.cleanReuses+1, cleanReusesToTrust)
}

// trusted reports whether the backend is trusted to send no duplicates. A backend with too few clean reuses is not.
func (d *duplicateReplies) trusted(now time.Duration) bool {
	return d.cleanReuses >= cleanReusesToTrust && (!d.seen || now-d.lastSeenAt >= distrustPeriod)
}
