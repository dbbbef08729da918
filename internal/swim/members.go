package swim

import (
	"slices"
	"time"
)

const (
	deadRetention = 10 * time.Minute // how long a dead member is retained; it is pinged occasionally
	leftRetention = time.Minute      // how long a member that left is retained
	reapInterval  = time.Second
)

// member is this member's record of another member.
type member struct {
	Update
	stateSince    time.Duration
	lastMessageAt time.Duration // when the latest message from the member itself arrived; 0: none

	// The current suspicion, if the state is Suspect.
	suspicionStart time.Duration
	suspicionEnd   time.Duration
	suspectedBy    []string // the members that suspect it
	refusedBy      []string // the members that reported a refusal by its host

	refusalProbedAt      time.Duration // when this machine last pinged the member to confirm a refusal; 0: never
	refusalsIgnoredUntil time.Duration // refusals by its host are ignored until then
}

// Member is a snapshot of what is known about another member.
type Member struct {
	Update
	StateSince    time.Duration // when its state began
	LastMessageAt time.Duration // when the latest message from the member itself arrived; 0: none did
}

// Change is one change in the view of the group.
type Change struct {
	Update
	Previous  State
	New       bool // the member, or this incarnation of it, was unknown before
	Forgotten bool // the member was removed from the member list
	// Confirmed is set on a death if the member's host refused messages from
	// several members, so that the death is not inferred from silence alone.
	Confirmed bool
}

func (x *member) snapshot() Member {
	return Member{Update: x.Update, StateSince: x.stateSince, LastMessageAt: x.lastMessageAt}
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

// Member returns a snapshot of another member, and whether that member is known.
func (m *Machine) Member(name string) (Member, bool) {
	x := m.members[name]
	if x == nil {
		return Member{}, false
	}
	return x.snapshot(), true
}

// Changes returns the changes of the view since the previous call.
func (m *Machine) Changes() []Change {
	changes := m.changes
	m.changes = nil
	return changes
}

func isAlive(x *member) bool   { return x.State == Alive }
func isPresent(x *member) bool { return x.State.present() }
func isDead(x *member) bool    { return x.State == Dead }

// RandomMembers returns up to n randomly chosen members that are alive or
// suspected.
func (m *Machine) RandomMembers(n int) []Update {
	var drawn []Update
	for _, x := range m.sampleMembers(n, isPresent) {
		drawn = append(drawn, x.Update)
	}
	return drawn
}

// sampleMembers returns up to n randomly chosen members that match.
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

// sampleStride returns a step size that visits every member once when taken
// modulo their number: a prime that does not divide it.
func (m *Machine) sampleStride() int {
	for _, prime := range []int{7, 11, 13, 17, 19} {
		if len(m.names)%prime != 0 {
			return prime
		}
	}
	return 1
}

// apply stores an update that overrides the current state of the member.
// Otherwise the update may count as a confirmation of the current suspicion.
func (m *Machine) apply(update Update) {
	if !validUpdate(update) {
		m.counts.Rejected++
		return
	}
	if update.Name == m.self.Name {
		m.applyToSelf(update)
		return
	}
	target := m.members[update.Name]
	if target == nil {
		m.addMember(update)
		return
	}
	if update.Refused && m.now < target.refusalsIgnoredUntil {
		update.Refused = false
	}
	if update.overrides(target.Update) {
		m.setMember(target, update, false)
		m.confirmRefusal(target, update)
		return
	}
	m.confirmRefusal(target, update)
	m.confirmSuspicion(target, update)
}

// addMember adds an unknown member. A member that is dead or has left is not
// added, since an old update must not bring back a member that was removed.
func (m *Machine) addMember(update Update) {
	if !update.State.present() {
		return
	}
	if len(m.members) >= MaxMembers {
		m.counts.Full++
		return
	}
	target := &member{}
	m.members[update.Name] = target
	i, _ := slices.BinarySearch(m.names, update.Name)
	m.names = slices.Insert(m.names, i, update.Name)
	m.probeRound = append(m.probeRound, update.Name)
	m.setMember(target, update, true)
}

// setMember sets a member's state from an update. All state changes go through
// it because it also maintains the data derived from the members: the hash of the
// view, the count of present members and the list of suspects.
func (m *Machine) setMember(target *member, update Update, added bool) {
	previous := target.Update
	sameIncarnation := update.Incarnation == previous.Incarnation
	if !added {
		m.removeFromIndexes(previous)
	}
	switch {
	case target.refusedBy != nil && update.State == Alive && sameIncarnation: // it refuted the refusals
		target.refusalsIgnoredUntil = m.now + refusalIgnoreTime
	case !sameIncarnation:
		target.refusalsIgnoredUntil = 0
	}
	if !added && sameIncarnation && previous.State == Dead && update.State.present() {
		m.counts.RefutedDeaths++
	}
	confirmed := update.State == Dead && len(target.refusedBy) >= refusalQuorum
	target.refusedBy, target.suspectedBy = nil, nil
	if update.Zone == "" && sameIncarnation {
		update.Zone = previous.Zone
	}
	target.Update = update
	m.addToIndexes(update)
	if update.State != previous.State || !sameIncarnation || added {
		target.stateSince = m.now
		m.changes = append(m.changes, Change{
			Update:    update,
			Previous:  previous.State,
			New:       added || !sameIncarnation,
			Confirmed: confirmed,
		})
	}
	if update.State == Suspect {
		m.startSuspicion(target)
	}
	m.version++
	m.queueBroadcast(update)
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

// reapMembers removes members that have been dead for longer than deadRetention, or
// that left longer than leftRetention ago.
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
