package backend

import (
	"slices"
	"time"

	"hitchspring/policy"
)

const (
	mostPerNode = 48                   // connections to one node
	dialWorth   = 2 * time.Millisecond // a wait for a rested connection that is not worth a dial
	dialShare   = 4                    // nor is one below such a part of the node's usual time for an answer: a handshake costs the node work
	answerGain  = 0.125                // of one answer's time in the usual one
	growPause   = time.Second          // without dials beyond need, after a dial that was refused or slower than a rest
)

// node is what is kept of a node: its entry, its connections, and the attempts that wait for one. A connection carries one
// attempt at a time, so that giving one up hurts no other.
type node struct {
	policy.Backend
	addr     string
	idle     []*conn // with nothing to do, rested or not; the one that has been idle longest is first
	waiting  []*Attempt
	dialing  int
	conns    int           // all: dialing, idle and busy
	heard    time.Duration // last time that it answered or took a connection
	waking   bool          // a timer serves those that wait once a connection has rested
	connect  time.Duration // what the last connection took to come up; 0: not known
	answers  time.Duration // its usual time for an answer; 0: not known
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

// soon is how many idle connections will have rested before another could be dialled, or soon enough for a dial not to be worth its cost.
func (n *node) soon(now time.Duration) int {
	if n.answers == 0 {
		return len(n.idle)
	}
	return n.rested(now + max(dialWorth, n.connect, n.answers/dialShare))
}

// answered takes in how long an answer took.
func (n *node) answered(took time.Duration) {
	if n.answers == 0 {
		n.answers = took
		return
	}
	n.answers += time.Duration(answerGain * float64(took-n.answers))
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
