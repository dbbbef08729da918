package metrics

import "sync/atomic"

// group is counters of one kind, by name.
type group struct {
	name   string
	names  []string
	counts []atomic.Int64
}

// The groups.
const (
	refusedGroup = iota
	failedGroup
	attemptsGroup
	stoppedGroup
	closedGroup
	groupCount
)

// Stop is why an attempt was held back right before it would have been written.
type WithheldReason uint8

// The reasons to hold an attempt back.
const (
	TimeOver WithheldReason = iota // its client waits no longer
	stops
)

// Close is why a client's connection ended.
type CloseReason uint8

// The reasons of an end.
const (
	ClosedByClient      CloseReason = iota // the client closed it, or it broke
	ClosedByProtocol                       // the client broke the protocol
	ClosedByServer                         // between two requests: idle, for want of a place, or in a drain
	ClosedSlowReader                       // the client took nothing of what it was owed
	ClosedShutdownLimit                    // at the end of a shutdown
	closes
)

var (
	stopNames  = [stops]string{"time_over"}
	closeNames = [closes]string{"by_client", "by_protocol", "by_server", "slow_reader", "shutdown_limit"}
)

// String is the reason's name.
func (c CloseReason) String() string { return closeNames[min(c, closes-1)] }

func newGroups(reasons, outcomes []string) (all [groupCount]group) {
	for i, g := range []group{
		{name: "refused", names: reasons},
		{name: "failed", names: reasons},
		{name: "attempts", names: outcomes},
		{name: "attempts_held_back", names: stopNames[:]},
		{name: "connections_closed", names: closeNames[:]},
	} {
		g.counts = make([]atomic.Int64, len(g.names))
		all[i] = g
	}
	return all
}

func (s *Set) count(group, i int) {
	if counts := s.groups[group].counts; i < len(counts) {
		counts[i].Add(1)
	}
}

// Refused counts a refusal of the module's, by its reason.
func (s *Set) Rejected(reason int) { s.count(refusedGroup, reason) }

// Failed counts a failure of the module's, by its reason.
func (s *Set) Failed(reason int) { s.count(failedGroup, reason) }

// AttemptEnded counts the end of an attempt, by its outcome.
func (s *Set) AttemptEnded(outcome int) { s.count(attemptsGroup, outcome) }

// Stopped counts an attempt that was held back right before it would have been written.
func (s *Set) AttemptWithheld(why WithheldReason) { s.count(stoppedGroup, int(why)) }

// Closed counts the end of a client's connection.
func (s *Set) ConnectionClosed(why CloseReason) { s.count(closedGroup, int(why)) }

// Each tells every counter that has a reason.
func (s *Set) Each(tell func(group, name string, n int64)) {
	for i := range s.groups {
		g := &s.groups[i]
		for k, name := range g.names {
			tell(g.name, name, g.counts[k].Load())
		}
	}
}
