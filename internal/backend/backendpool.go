package backend

import (
	"slices"
	"time"

	"hitchspring/policy"
)

const (
	maxConnectionsPerBackend = 48                   // connections to one node
	minDialGain              = 2 * time.Millisecond // a wait for a rested connection that is not worth a dial
	dialGainDivisor          = 4                    // nor is one below such a part of the node's usual time for an answer: a handshake costs the node work
	replyTimeWeight          = 0.125                // of one answer's time in the usual one
	growthPause              = time.Second          // without dials beyond need, after a dial that was refused or slower than a rest
)

// node is what is kept of a node: its entry, its connections, and the attempts that wait for one. A connection carries one
// attempt at a time, so that giving one up hurts no other.
type backendPool struct {
	policy.Backend
	addr          string
	idle          []*conn // with nothing to do, rested or not; the one that has been idle longest is first
	waiting       []*Attempt
	dialing       int
	connections   int           // all: dialing, idle and busy
	lastHeardAt   time.Duration // last time that it answered or took a connection
	wakeScheduled bool          // a timer serves those that wait once a connection has rested
	connectTime   time.Duration // what the last connection took to come up; 0: not known
	replyTime     time.Duration // its usual time for an answer; 0: not known
	noGrowthUntil time.Duration // until when no connection is dialled that only saves a rest
	duplicates    duplicateReplies
	minSpare      int           // the fewest rested connections that an attempt left idle since spareFrom; noTake: there was none
	trimAt        time.Duration // when spare is next acted on
}

// noTake is the spare of a node where no connection was taken.
const noneTaken = maxConnectionsPerBackend + 1

// choose returns the idle connection for the next attempt: the one that has rested longest; where none has rested and unrested
// ones may be used, the one that has been idle longest. -1: none.
func (b *backendPool) chooseIdle(now time.Duration, unrested bool) int {
	if i := slices.IndexFunc(b.idle, func(c *conn) bool { return c.reusable(now) }); i >= 0 {
		return i
	}
	if unrested && len(b.idle) > 0 {
		return 0
	}
	return -1
}

// rested is how many idle connections have rested.
func (b *backendPool) countReusable(now time.Duration) (count int) {
	for _, c := range b.idle {
		if c.reusable(now) {
			count++
		}
	}
	return count
}

// soon is how many idle connections will have rested before another could be dialled, or soon enough for a dial not to be worth its cost.
func (b *backendPool) countReusableSoon(now time.Duration) int {
	if b.replyTime == 0 {
		return len(b.idle)
	}
	return b.countReusable(now + max(minDialGain, b.connectTime, b.replyTime/dialGainDivisor))
}

// answered takes in how long an answer took.
func (b *backendPool) recordReplyTime(took time.Duration) {
	if b.replyTime == 0 {
		b.replyTime = took
		return
	}
	b.replyTime += time.Duration(replyTimeWeight * float64(took-b.replyTime))
}

// connected takes in how long a connection took to come up. Where that is longer than a rest, dialling saves nothing.
func (b *backendPool) recordConnectTime(now, took time.Duration) {
	b.connectTime = took
	if took >= reuseDelay {
		b.connectTime = 0
		b.pauseGrowth(now)
	}
}

// refused takes in that the node did not take a connection, or took it and ended it at once.
func (b *backendPool) pauseGrowth(now time.Duration) { b.noGrowthUntil = now + growthPause }
