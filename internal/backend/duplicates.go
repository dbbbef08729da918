package backend

import "time"

const (
	// reuseDelay is how long a connection that has brought a reply is left idle, so that a duplicate of the reply
	// arrives while no other command is out on it.
	reuseDelay = 15 * time.Millisecond
	// cleanReusesToTrust is after how many delays without a duplicate a backend is trusted to send none. Of
	// backends that duplicate one reply in 100, 1 in 23,000 is trusted by mistake.
	cleanReusesToTrust = 1000
	// duplicateMemory is for how long a backend that has sent a duplicate is not trusted.
	duplicateMemory = 5 * time.Minute
)

// reusable reports whether a duplicate of any earlier reply would have arrived on the connection by now.
func (c *conn) reusable(now time.Duration) bool { return !c.used || now-c.idleSince >= reuseDelay }

// duplicateReplies is what is known of whether a backend answers commands twice.
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

// unlikely reports whether the backend is trusted to send no duplicates. A backend that is not known well is not.
func (d *duplicateReplies) unlikely(now time.Duration) bool {
	return d.cleanReuses >= cleanReusesToTrust && (!d.seen || now-d.lastSeenAt >= duplicateMemory)
}
