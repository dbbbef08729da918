package nodes

import (
	"slices"
	"time"

	"hitchspring/logic"
)

const (
	mostPerNode = 48                   // connections to one node
	dialWorth   = 2 * time.Millisecond // a wait for a rested connection that is not worth a dial
	growPause   = time.Second          // without dials beyond need, after a dial that was refused or slower than a rest
)

// node is what is kept of a node: its entry, its connections, and the attempts that wait for one. A connection carries one
// attempt at a time, so that giving one up hurts no other.
type node struct {
	logic.Server
	addr     string
	idle     []*conn // with nothing to do, rested or not; the one that has been idle longest is first
	waiting  []*Attempt
	dialing  int
	conns    int           // all: dialing, idle and busy
	heard    time.Duration // last time that it answered or took a connection
	waking   bool          // a timer serves those that wait once a connection has rested
	connect  time.Duration // what the last connection took to come up; 0: not known
	noGrowth time.Duration // until when no connection is dialled that only saves a rest
	second   secondAnswers
	spare    int           // the fewest rested connections that an attempt left idle since spareFrom; noTake: there was none
	spareAt  time.Duration // when spare is next acted on
}

// noTake is the spare of a node where no connection was taken.
const noTake = mostPerNode + 1

// choose returns the idle connection for the next attempt: the one that has rested longest; where none has rested and unrested
// ones may be used, the one that has been idle longest. -1: none.
func (n *node) choose(now time.Duration, unrested bool) int {
	if i := slices.IndexFunc(n.idle, func(c *conn) bool { return c.rested(now) }); i >= 0 {
		return i
	}
	if unrested && len(n.idle) > 0 {
		return 0
	}
	return -1
}

// rested is how many idle connections have rested.
func (n *node) rested(now time.Duration) (count int) {
	for _, c := range n.idle {
		if c.rested(now) {
			count++
		}
	}
	return count
}

// soon is how many idle connections will have rested before another could be dialled, or nearly so.
func (n *node) soon(now time.Duration) int {
	return n.rested(now + max(dialWorth, n.connect))
}

// connected takes in how long a connection took to come up. Where that is longer than a rest, dialling saves nothing.
func (n *node) connected(now, took time.Duration) {
	n.connect = took
	if took >= restTime {
		n.connect = 0
		n.refused(now)
	}
}

// refused takes in that the node did not take a connection, or took it and ended it at once.
func (n *node) refused(now time.Duration) { n.noGrowth = now + growPause }
