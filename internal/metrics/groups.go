package metrics

import (
	"sync/atomic"
	"time"
)

// counterGroup is a set of named counters of one kind.
type counterGroup struct {
	name   string
	names  []string
	counts []atomic.Int64 // parallel to names
}

// Indexes of the counter groups in Set.groups.
const (
	rejectedGroup = iota
	failedGroup
	attemptsGroup
	withheldGroup
	closedGroup
	delayedGroup
	timerDelayGroup
	arrivalDelayGroup
	turnDelayGroup
	groupCount
)

// newGroups returns the counter groups. Their names are part of the names of metrics.
func newGroups(reasons, outcomes []string) [groupCount]counterGroup {
	groups := [groupCount]counterGroup{
		rejectedGroup: {name: "refused", names: reasons},
		failedGroup:   {name: "failed", names: reasons},
		attemptsGroup: {name: "attempts", names: outcomes},
		withheldGroup: {name: "attempts_held_back", names: withheldReasonNames[:]},
		closedGroup:   {name: "connections_closed", names: closeReasonNames[:]},
		delayedGroup:  {name: "commands_delayed", names: delayReasonNames[:]},

		timerDelayGroup:   {name: "timer_delay", names: delayBucketNames[:]},
		arrivalDelayGroup: {name: "arrival_delay", names: delayBucketNames[:]},
		turnDelayGroup:    {name: "turn_delay", names: delayBucketNames[:]},
	}
	for i := range groups {
		groups[i].counts = make([]atomic.Int64, len(groups[i].names))
	}
	return groups
}

// count increments a counter of a group. It ignores an index that is out of range.
func (s *Set) count(group, index int) {
	if counts := s.groups[group].counts; index < len(counts) {
		counts[index].Add(1)
	}
}

// Rejected counts a rejected request by the policy module's reason.
func (s *Set) Rejected(reason int) { s.count(rejectedGroup, reason) }

// Failed counts a failed request by the policy module's reason.
func (s *Set) Failed(reason int) { s.count(failedGroup, reason) }

// AttemptEnded counts an attempt that has ended, by its outcome.
func (s *Set) AttemptEnded(outcome int) { s.count(attemptsGroup, outcome) }

// AttemptWithheld counts an attempt that was not sent, by the reason that was found right before the write.
func (s *Set) AttemptWithheld(reason WithheldReason) { s.count(withheldGroup, int(reason)) }

// ConnectionClosed counts a client connection that has ended, by the reason.
func (s *Set) ConnectionClosed(reason CloseReason) { s.count(closedGroup, int(reason)) }

// CommandDelayed counts a command that a client's connection holds back for a while before it submits it.
func (s *Set) CommandDelayed(reason DelayReason) { s.count(delayedGroup, int(reason)) }

// TimerFired counts a timer of the event loop by how late it fired.
func (s *Set) TimerFired(late time.Duration) { s.count(timerDelayGroup, delayBucket(late)) }

// ArrivalHandled counts a request by how long it waited for the event loop.
func (s *Set) ArrivalHandled(waited time.Duration) { s.count(arrivalDelayGroup, delayBucket(waited)) }

// TurnWaited counts a turn of a client's connection that had to wait for processor time, by how long it waited.
func (s *Set) TurnWaited(waited time.Duration) { s.count(turnDelayGroup, delayBucket(waited)) }

// Each calls visit for each counter that has a reason or an outcome.
func (s *Set) Each(visit func(group, name string, value int64)) {
	for i := range s.groups {
		group := &s.groups[i]
		for k, name := range group.names {
			visit(group.name, name, group.counts[k].Load())
		}
	}
}
