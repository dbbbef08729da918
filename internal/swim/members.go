package swim

import (
	"slices"
	"time"
)

const (
	deadRetention = 10 * time.Minute // for which a dead member is known, and contacted now and then
	leftRetention = time.Minute      // for which a member that left is known
	reapInterval  = time.Second
)

// member is what is known of another member.
type member struct {
	Update
	stateSince time.Duration
	heardAt    time.Duration // of the latest message from the member itself; 0: none

	// The present suspicion, if the state is Suspect.
	suspicionStart time.Duration
	suspicionEnd   time.Duration
	suspectedBy    []string // the members that suspect it
	refusedBy      []string // those of them whose messages its host refused

	refusalProbedAt   time.Duration // when this machine last pinged the member to confirm a refusal; 0: never
	hintsIgnoredUntil time.Duration // refusals are ignored until then
}

// Member is a member as others see it.
type Member struct {
	Update
	Since   time.Duration // when its state began
	HeardAt time.Duration // when the latest message from the member itself arrived; 0: none did
}

// Change is one change of the view.
type Change struct {
	Update
	Previous  State
	New       bool // the member or this incarnation of it was not known
	Forgotten bool // the member is known no longer
	// Confirmed says of a death that hosts refused the messages of several
	// members: it does not rest on mere silence.
	Confirmed bool
}

func (x *member) snapshot() Member {
	return Member{Update: x.Update, Since: x.stateSince, HeardAt: x.heardAt}
}

// AliveCount returns the number of other members that are alive or suspected.
func (m *Machine) AliveCount() int { return m.aliveCount }

// Members returns all known other members, ordered by name.
func (m *Machine) Members() []Member {
	all := make([]Member, 0, len(m.names))
	for _, name := range m.names {
		all = append(all, m.members[name].snapshot())
	}
	return all
}

// Member returns what is known of another member, and whether it is known.
func (m *Machine) Member(name string) (Member, bool) {
	x := m.members[name]
	if x == nil {
		return Member{}, false
	}
	return x.snapshot(), true
}

// Changes returns what has changed since it was last called.
func (m *Machine) Changes() []Change {
	changes := m.changes
	m.changes = nil
	return changes
}

func isAlive(x *member) bool   { return x.State == Alive }
func isPresent(x *member) bool { return x.State.present() }
func isDead(x *member) bool    { return x.State == Dead }

// RandomMembers returns up to n members that are alive or suspected, drawn by
// chance.
func (m *Machine) RandomMembers(n int) []Update {
	var drawn []Update
	for _, x := range m.sampleMembers(n, isPresent) {
		drawn = append(drawn, x.Update)
	}
	return drawn
}

// sampleMembers draws up to n members that match.
func (m *Machine) sampleMembers(n int, matches func(*member) bool) []*member {
	if len(m.names) == 0 {
		return nil
	}
	var drawn []*member
	start, stride := m.rng.IntN(len(m.names)), m.sampleStride()
	for i := 0; i < len(m.names) && len(drawn) < n; i++ {
		x := m.members[m.names[(start+i*stride)%len(m.names)]]
		if matches(x) {
			drawn = append(drawn, x)
		}
	}
	return drawn
}

// sampleStride returns a stride through the members that visits each of them:
// a prime that does not divide their number.
func (m *Machine) sampleStride() int {
	for _, prime := range []int{7, 11, 13, 17, 19} {
		if len(m.names)%prime != 0 {
			return prime
		}
	}
	return 1
}

// apply takes over an update if it overrides what is believed, or counts it as
// the confirmation of a suspicion.
func (m *Machine) apply(update Update) {
	if !validUpdate(update) {
		m.counts.Stray++
		return
	}
	if update.Name == m.self.Name {
		m.applyToSelf(update)
		return
	}
	x := m.members[update.Name]
	if x == nil {
		m.addMember(update)
		return
	}
	if update.Refused && m.now < x.hintsIgnoredUntil {
		update.Refused = false
	}
	if update.overrides(x.Update) {
		m.setMember(x, update, false)
		m.confirmRefusal(x, update)
		return
	}
	m.confirmRefusal(x, update)
	m.confirmSuspicion(x, update)
}

// addMember adds a member that was unknown. One that is dead or has left is not
// added: a member that was forgotten must not come back by an old update.
func (m *Machine) addMember(update Update) {
	if !update.State.present() {
		return
	}
	if len(m.members) >= MaxMembers {
		m.counts.Full++
		return
	}
	x := &member{}
	m.members[update.Name] = x
	i, _ := slices.BinarySearch(m.names, update.Name)
	m.names = slices.Insert(m.names, i, update.Name)
	m.probeRound = append(m.probeRound, update.Name)
	m.setMember(x, update, true)
}

// setMember gives a member the state of an update. It alone maintains what is
// derived from the members: the view's hash, the count of present members and
// the list of suspects.
func (m *Machine) setMember(x *member, update Update, added bool) {
	previous := x.Update
	sameIncarnation := update.Incarnation == previous.Incarnation
	if !added {
		m.removeFromIndexes(previous)
	}
	switch {
	case x.refusedBy != nil && update.State == Alive && sameIncarnation: // it was alive in spite of the refusals
		x.hintsIgnoredUntil = m.now + refusalDistrustTime
	case !sameIncarnation:
		x.hintsIgnoredUntil = 0
	}
	if !added && sameIncarnation && previous.State == Dead && update.State.present() {
		m.counts.RefutedDeaths++
	}
	confirmed := update.State == Dead && len(x.refusedBy) >= refusalQuorum
	x.refusedBy, x.suspectedBy = nil, nil
	if update.Zone == "" && sameIncarnation {
		update.Zone = previous.Zone
	}
	x.Update = update
	m.addToIndexes(update)
	if update.State != previous.State || !sameIncarnation || added {
		x.stateSince = m.now
		m.changes = append(m.changes, Change{
			Update:    update,
			Previous:  previous.State,
			New:       added || !sameIncarnation,
			Confirmed: confirmed,
		})
	}
	if update.State == Suspect {
		m.startSuspicion(x)
	}
	m.version++
	m.broadcast(update)
}

func (m *Machine) removeFromIndexes(update Update) {
	m.viewHash ^= updateHash(update)
	if update.State.present() {
		m.aliveCount--
	}
	if update.State == Suspect {
		i, _ := slices.BinarySearch(m.suspects, update.Name)
		m.suspects = slices.Delete(m.suspects, i, i+1)
	}
}

func (m *Machine) addToIndexes(update Update) {
	m.viewHash ^= updateHash(update)
	if update.State.present() {
		m.aliveCount++
	}
	if update.State == Suspect {
		i, _ := slices.BinarySearch(m.suspects, update.Name)
		m.suspects = slices.Insert(m.suspects, i, update.Name)
	}
}

// reapMembers forgets members that are dead or have left for long enough.
func (m *Machine) reapMembers() {
	if m.now-m.lastReap < reapInterval {
		return
	}
	m.lastReap = m.now
	m.names = slices.DeleteFunc(m.names, func(name string) bool {
		x := m.members[name]
		age := m.now - x.stateSince
		expired := x.State == Left && age > leftRetention || x.State == Dead && age > deadRetention
		if !expired {
			return false
		}
		m.viewHash ^= updateHash(x.Update)
		m.version++
		m.changes = append(m.changes, Change{Update: x.Update, Previous: x.State, Forgotten: true})
		delete(m.members, name)
		return true
	})
}
