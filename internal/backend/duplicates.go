package backend

import "time"

const (
	// restTime is how long a connection that has answered is left alone, so that a second answer to the same command comes
	// while no other command is out on it. Seen: second answers 1.2 to 8.4 ms late.
	reuseDelay = 15 * time.Millisecond
	// cleanRests is after how many rests without a second answer a node counts as one that sends none: of a node that answers
	// one command in 100 twice, 1 in 23,000 would pass.
	cleanReusesToTrust = 1000
	// secondMemory is for how long a node that has sent a second answer counts as one that does.
	duplicateMemory = 5 * time.Minute
)

// rested says whether a second answer to what the connection has carried would have come by now.
func (c *conn) reusable(now time.Duration) bool { return !c.used || now-c.idleSince >= reuseDelay }

// secondAnswers is what is known of whether a node answers commands twice.
type duplicateReplies struct {
	seen        bool
	lastSeenAt  time.Duration // when one was seen last
	cleanReuses int           // rests since then after which nothing had come
}

// saw takes in a second answer.
func (d *duplicateReplies) recordDuplicate(now time.Duration) {
	*d = duplicateReplies{seen: true, lastSeenAt: now}
}

// passed takes in a rest after which nothing had come.
func (d *duplicateReplies) recordCleanReuse() {
	d.cleanReuses = min(d.cleanReuses+1, cleanReusesToTrust)
}

// none says whether the node counts as one that sends no second answers. Of one that is not known well it doesn't.
func (d *duplicateReplies) unlikely(now time.Duration) bool {
	return d.cleanReuses >= cleanReusesToTrust && (!d.seen || now-d.lastSeenAt >= duplicateMemory)
}
