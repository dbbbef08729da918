package swim

import (
	"math"
	"slices"
	"time"
)

const (
	minSuspicionIntervals = 2.5 // shortest suspicion, in probe intervals
	suspicionMaxFactor    = 3   // longest suspicion, as a multiple of the shortest
)

// stateUpdate returns an update in which this member declares another one
// suspected or dead.
func (m *Machine) stateUpdate(target *member, state State) Update {
	update := target.Update
	update.State = state
	update.SuspectedBy = m.self.Name
	update.Refused = false
	return update
}

// startSuspicion starts the suspicion timer of a member that has just become Suspect.
func (m *Machine) startSuspicion(target *member) {
	target.suspectedBy = []string{target.SuspectedBy}
	target.suspicionStart = m.now
	target.suspicionEnd = m.now + m.suspicionTimeout(0)
}

// sameSuspicion reports whether an update states the suspicion that target is already under.
func sameSuspicion(target *member, update Update) bool {
	return update.State == Suspect && target.State == Suspect && update.SuspectedBy != "" &&
		update.Incarnation == target.Incarnation && update.Refutation == target.Refutation
}

// confirmSuspicion records another member that suspects target and shortens the
// suspicion timeout.
func (m *Machine) confirmSuspicion(target *member, update Update) {
	if !sameSuspicion(target, update) || slices.Contains(target.suspectedBy, update.SuspectedBy) {
		return
	}
	if len(target.suspectedBy) > indirectProbes {
		return
	}
	target.suspectedBy = append(target.suspectedBy, update.SuspectedBy)
	target.suspicionEnd = min(target.suspicionEnd, target.suspicionStart+m.suspicionTimeout(len(target.suspectedBy)-1))
	m.queueBroadcast(update)
}

// suspicionTimeout returns how long a suspicion lasts after the given number of
// confirmations by other members. As in Lifeguard, it decreases logarithmically
// from the longest to the shortest timeout.
func (m *Machine) suspicionTimeout(confirmations int) time.Duration {
	groupSize := float64(m.aliveCount + 1)
	shortest := minSuspicionIntervals * float64(m.cfg.ProbeInterval) * max(1, math.Log10(groupSize))
	longest := shortest * suspicionMaxFactor
	possible := min(indirectProbes, m.aliveCount-2) // confirmations, since the suspect and its first accuser give none
	if possible < 1 {
		return time.Duration(shortest)
	}
	fraction := math.Log(float64(confirmations)+1) / math.Log(float64(possible)+1)
	return time.Duration(max(shortest, longest-(longest-shortest)*fraction))
}

// expireSuspicions declares suspects dead that have not refuted the suspicion in
// time.
func (m *Machine) expireSuspicions() {
	for i := 0; i < len(m.suspects); {
		target := m.members[m.suspects[i]]
		if m.now < target.suspicionEnd {
			i++
			continue
		}
		dead := m.stateUpdate(target, Dead)
		refused := len(target.refusedBy) >= refusalQuorum
		m.apply(dead) // removes target from m.suspects, so i stays
		if refused {  // others began to suspect it only moments ago and would wait much longer
			m.notifyImmediately(dead)
		}
	}
}

// applyToSelf handles an update about this member's name. It refutes a claim that
// this member is suspected, dead or has left.
func (m *Machine) applyToSelf(update Update) {
	if update.Incarnation > m.self.Incarnation {
		m.resolveNameConflict(update)
		return
	}
	if update.Incarnation < m.self.Incarnation || update.State == Alive || update.Refutation < m.self.Refutation {
		return
	}
	m.counts.Refuted++
	m.degradeHealth()
	m.updateSelf(m.self.Incarnation, update.Refutation+1)
	if update.Refused { // only refusalSuspicionTimeout is left before this member is declared dead
		m.notifyImmediately(m.self)
	}
}

// updateSelf changes this member's incarnation and refutation, and queues the
// update for the others.
func (m *Machine) updateSelf(incarnation uint64, refutation uint32) {
	m.viewHash ^= updateHash(m.self)
	m.self.Incarnation = incarnation
	m.self.Refutation = refutation
	m.viewHash ^= updateHash(m.self)
	m.version++
	m.queueBroadcast(m.self)
}
