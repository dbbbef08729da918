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

// stateUpdate returns the update by which this member claims that another is
// suspected or dead.
func (m *Machine) stateUpdate(x *member, state State) Update {
	update := x.Update
	update.State = state
	update.SuspectedBy = m.self.Name
	update.Refused = false
	return update
}

// startSuspicion begins the suspicion of a member that has just become Suspect.
func (m *Machine) startSuspicion(x *member) {
	x.suspectedBy = []string{x.SuspectedBy}
	x.suspicionStart = m.now
	x.suspicionEnd = m.now + m.suspicionTimeout(0)
}

// sameSuspicion reports whether an update claims the suspicion that x is under.
func sameSuspicion(x *member, update Update) bool {
	return update.State == Suspect && x.State == Suspect && update.SuspectedBy != "" &&
		update.Incarnation == x.Incarnation && update.Refutation == x.Refutation
}

// confirmSuspicion counts a further member that suspects x, which shortens the
// suspicion.
func (m *Machine) confirmSuspicion(x *member, update Update) {
	if !sameSuspicion(x, update) || slices.Contains(x.suspectedBy, update.SuspectedBy) {
		return
	}
	if len(x.suspectedBy) > indirectProbes {
		return
	}
	x.suspectedBy = append(x.suspectedBy, update.SuspectedBy)
	x.suspicionEnd = min(x.suspicionEnd, x.suspicionStart+m.suspicionTimeout(len(x.suspectedBy)-1))
	m.broadcast(update)
}

// suspicionTimeout returns the length of a suspicion with a number of confirmations
// by other members: Lifeguard's logarithmic decrease from the longest to the
// shortest one.
func (m *Machine) suspicionTimeout(confirmations int) time.Duration {
	groupSize := float64(m.aliveCount + 1)
	shortest := minSuspicionIntervals * float64(m.cfg.ProbeInterval) * max(1, math.Log10(groupSize))
	longest := shortest * suspicionMaxFactor
	possible := min(indirectProbes, m.aliveCount-2) // confirmations; neither the suspect nor its accuser gives one
	if possible < 1 {
		return time.Duration(shortest)
	}
	fraction := math.Log(float64(confirmations)+1) / math.Log(float64(possible)+1)
	return time.Duration(max(shortest, longest-(longest-shortest)*fraction))
}

// expireSuspicions declares those suspects dead that have not refuted the
// suspicion in time.
func (m *Machine) expireSuspicions() {
	for i := 0; i < len(m.suspects); {
		x := m.members[m.suspects[i]]
		if m.now < x.suspicionEnd {
			i++
			continue
		}
		dead := m.stateUpdate(x, Dead)
		refused := len(x.refusedBy) >= refusalQuorum
		m.apply(dead) // removes x from the suspects
		if refused {  // the others suspect it since a moment only, and would wait for long
			m.notifyAtOnce(dead)
		}
	}
}

// applyToSelf refutes what is wrongly believed of this member.
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
	m.renewSelf(m.self.Incarnation, update.Refutation+1)
	if update.Refused { // a refusal leaves a moment only before the member is declared dead
		m.notifyAtOnce(m.self)
	}
}

// renewSelf gives this member another incarnation and refutation, and notifies the
// others.
func (m *Machine) renewSelf(incarnation uint64, refutation uint32) {
	m.viewHash ^= updateHash(m.self)
	m.self.Incarnation = incarnation
	m.self.Refutation = refutation
	m.viewHash ^= updateHash(m.self)
	m.version++
	m.broadcast(m.self)
}
