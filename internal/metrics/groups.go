package metrics

import "sync/atomic"

// counterGroup is counters of one kind, by name.
type counterGroup struct {
	name   string
	names  []string
	counts []atomic.Int64 // one for each of names
}

// The groups, as indexes into Set.groups.
const (
	rejectedGroup = iota
	failedGroup
	attemptsGroup
	withheldGroup
	closedGroup
	groupCount
)

// newGroups returns the groups with the names that metrics have.
func newGroups(reasons, outcomes []string) [groupCount]counterGroup {
	groups := [groupCount]counterGroup{
		rejectedGroup: {name: "refused", names: reasons},
		failedGroup:   {name: "failed", names: reasons},
		attemptsGroup: {name: "attempts", names: outcomes},
		withheldGroup: {name: "attempts_held_back", names: withheldReasonNames[:]},
		closedGroup:   {name: "connections_closed", names: closeReasonNames[:]},
	}
	for i := range groups {
		groups[i].counts = make([]atomic.Int64, len(groups[i].names))
	}
	return groups
}

// count adds one to a counter of a group. An index beyond the group's names is ignored.
func (s *Set) count(group, index int) {
	if counts := s.groups[group].counts; index < len(counts) {
		counts[index].Add(1)
	}
}

// Rejected counts a rejection by the policy module, by its reason.
func (s *Set) Rejected(reason int) { s.count(rejectedGroup, reason) }

// Failed counts a failure of a request, by the policy module's reason.
func (s *Set) Failed(reason int) { s.count(failedGroup, reason) }

// AttemptEnded counts the end of an attempt, by its outcome.
func (s *Set) AttemptEnded(outcome int) { s.count(attemptsGroup, outcome) }

// AttemptWithheld counts an attempt that was withheld right before it would have been written.
func (s *Set) AttemptWithheld(reason WithheldReason) { s.count(withheldGroup, int(reason)) }

// ConnectionClosed counts the end of a client's connection.
func (s *Set) ConnectionClosed(reason CloseReason) { s.count(closedGroup, int(reason)) }

// Each calls visit with each counter of the groups: those that have a reason or an outcome.
func (s *Set) Each(visit func(group, name string, value int64)) {
	for i := range s.groups {
		group := &s.groups[i]
		for k, name := range group.names {
			visit(group.name, name, group.counts[k].Load())
		}
	}
}
