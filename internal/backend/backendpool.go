package backend

import (
	"slices"
	"time"

	"hitchspring/policy"
)

const (
	maxConnectionsPerBackend = 48
	// minDialGain is the shortest wait for an idle connection that justifies dialing an extra one.
	minDialGain = 2 * time.Millisecond
	// dialGainDivisor sets the same minimum as a fraction of the backend's average reply time, since a handshake costs
	// the backend work.
	dialGainDivisor = 4
	// replyTimeWeight is the weight of one reply in the moving average of reply times.
	replyTimeWeight = 0.125
	// extraDialPause is how long no extra connections are dialed after a dial failed or took reuseDelay or longer, or
	// the backend closed a connection before any reply.
	extraDialPause = time.Second
)

// minSpareUnset is the value of minSpare while no idle connection has been taken since the last trim.
const minSpareUnset = maxConnectionsPerBackend + 1

// backendPool holds the connections to one backend and the attempts that wait for one. A connection carries one
// attempt at a time, so that aborting one disturbs no other.
type backendPool struct {
	policy.Backend
	addr          string
	idle          []*conn       // longest idle first; includes those within their reuse delay
	waiting       []*Attempt    // FIFO queue for a connection
	dialing       int           // connections being dialed
	connections   int           // dialing, idle and busy
	lastHeardAt   time.Duration // last reply or accepted connection
	wakeScheduled bool          // a timer calls serveWaiting once an idle connection is reusable

	connectTime       time.Duration // of the last dial; 0: unknown
	replyTime         time.Duration // moving average; 0: unknown
	noExtraDialsUntil time.Duration // no extra connection is dialed before then

	minSpare int           // fewest reusable connections left by takeIdle since the last trim, or minSpareUnset
	trimAt   time.Duration // time of the next trim; 0: not set yet
}

// chooseIdle returns the index of the idle connection for the next attempt, the reusable one that has been idle
// longest, or -1 if none is reusable.
func (b *backendPool) chooseIdle(now time.Duration) int {
	return slices.IndexFunc(b.idle, func(c *conn) bool { return c.reusable(now) })
}

// removeIdle removes a connection from the idle ones, if it is among them.
func (b *backendPool) removeIdle(c *conn) {
	if i := slices.Index(b.idle, c); i >= 0 {
		b.idle = slices.Delete(b.idle, i, i+1)
	}
}

// countReusable returns the number of reusable idle connections.
func (b *backendPool) countReusable(now time.Duration) (count int) {
	for _, c := range b.idle {
		if c.reusable(now) {
			count++
		}
	}
	return count
}

// countReusableSoon returns the number of idle connections that become reusable before a dial could complete, or so
// soon that a dial is not worth its cost.
func (b *backendPool) countReusableSoon(now time.Duration) int {
	if b.replyTime == 0 {
		return len(b.idle)
	}
	return b.countReusable(now + max(minDialGain, b.connectTime, b.replyTime/dialGainDivisor))
}

// recordReplyTime adds a reply to the moving average of reply times.
func (b *backendPool) recordReplyTime(took time.Duration) {
	if b.replyTime == 0 {
		b.replyTime = took
		return
	}
	b.replyTime += time.Duration(replyTimeWeight * float64(took-b.replyTime))
}

// recordConnectTime records how long a dial took. A dial that takes reuseDelay or longer saves no time, so that extra
// dials are paused.
func (b *backendPool) recordConnectTime(now, took time.Duration) {
	b.connectTime = took
	if took >= reuseDelay {
		b.connectTime = 0
		b.pauseExtraDials(now)
	}
}

// pauseExtraDials stops the dialing of extra connections for extraDialPause.
func (b *backendPool) pauseExtraDials(now time.Duration) { b.noExtraDialsUntil = now + extraDialPause }
