package backend

import (
	"slices"
	"time"

	"hitchspring/policy"
)

const (
	maxConnectionsPerBackend = 48
	// minDialGain is the shortest wait for an idle connection that is worth a dial.
	minDialGain = 2 * time.Millisecond
	// dialGainDivisor gives the same as a part of the backend's usual reply time: a handshake costs the backend work.
	dialGainDivisor = 4
	// replyTimeWeight is that of one reply in the usual reply time.
	replyTimeWeight = 0.125
	// growthPause is for how long no connection beyond need is dialed after a dial that failed or took longer than
	// reuseDelay.
	growthPause = time.Second
)

// noneTaken is the minSpare of a backend of which no idle connection was taken.
const noneTaken = maxConnectionsPerBackend + 1

// backendPool holds the connections to one backend and the attempts that wait for one. A connection carries one
// attempt at a time, so that aborting one disturbs no other.
type backendPool struct {
	policy.Backend
	addr          string
	idle          []*conn       // reusable or not yet; the one that has been idle longest is first
	waiting       []*Attempt    // for a connection, first come first
	dialing       int           // connections being dialed
	connections   int           // dialing, idle and busy
	lastHeardAt   time.Duration // when it last replied or accepted a connection
	wakeScheduled bool          // a timer calls serveWaiting once an idle connection is reusable

	connectTime   time.Duration // of the last dial; 0: unknown
	replyTime     time.Duration // moving average; 0: unknown
	noGrowthUntil time.Duration // no connection beyond need is dialed before
	duplicates    duplicateReplies

	minSpare int           // the fewest reusable ones left when one was taken since the last trim, or noneTaken
	trimAt   time.Duration // when minSpare is next acted on; 0: not set yet
}

// chooseIdle returns the index of the idle connection for the next attempt: the one that has been reusable longest. If
// none is reusable and early is set, it is the one that has been idle longest. -1 means none.
func (b *backendPool) chooseIdle(now time.Duration, early bool) int {
	if i := slices.IndexFunc(b.idle, func(c *conn) bool { return c.reusable(now) }); i >= 0 {
		return i
	}
	if early && len(b.idle) > 0 {
		return 0
	}
	return -1
}

// removeIdle removes a connection from the idle ones, if it is among them.
func (b *backendPool) removeIdle(c *conn) {
	if i := slices.Index(b.idle, c); i >= 0 {
		b.idle = slices.Delete(b.idle, i, i+1)
	}
}

// countReusable is how many idle connections are reusable.
func (b *backendPool) countReusable(now time.Duration) (count int) {
	for _, c := range b.idle {
		if c.reusable(now) {
			count++
		}
	}
	return count
}

// countReusableSoon is how many idle connections will be reusable before another could be dialed, or so soon that a
// dial is not worth its cost.
func (b *backendPool) countReusableSoon(now time.Duration) int {
	if b.replyTime == 0 {
		return len(b.idle)
	}
	return b.countReusable(now + max(minDialGain, b.connectTime, b.replyTime/dialGainDivisor))
}

// recordReplyTime records how long a reply took.
func (b *backendPool) recordReplyTime(took time.Duration) {
	if b.replyTime == 0 {
		b.replyTime = took
		return
	}
	b.replyTime += time.Duration(replyTimeWeight * float64(took-b.replyTime))
}

// recordConnectTime records how long a dial took. If that is longer than reuseDelay, dialing saves nothing.
func (b *backendPool) recordConnectTime(now, took time.Duration) {
	b.connectTime = took
	if took >= reuseDelay {
		b.connectTime = 0
		b.pauseGrowth(now)
	}
}

// pauseGrowth records that a dial has failed, or that the backend closed a connection before any reply.
func (b *backendPool) pauseGrowth(now time.Duration) { b.noGrowthUntil = now + growthPause }
