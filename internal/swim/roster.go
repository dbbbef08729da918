package swim

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	syncInterval           = time.Second // min time between two full roster syncs in a small group
	membersPerSyncInterval = 40          // every 40 members add another syncInterval
	rosterPageSize         = 12          // members per page
)

// syncIfDifferent requests the sender's complete roster if its view differs from
// this member's, at a limited rate. Rumors are sent a limited number of times and
// may miss some members; syncing is repeated until the views are equal.
func (m *Machine) syncIfDifferent(msg *Message) {
	if m.syncWith != "" && m.now-m.syncProgressAt > syncInterval {
		m.syncWith = "" // the other member stopped responding
	}
	if msg.ViewHash == m.viewHash || m.now < m.nextSync || m.syncWith != "" || !msg.Self.State.present() {
		return
	}
	m.nextSync = m.now + m.jitter(syncInterval*time.Duration(1+len(m.names)/membersPerSyncInterval))
	m.requestRosterPage(msg.Self, "")
	m.syncProgressAt = m.now
}

// requestRosterPage requests the members whose names follow the given one.
func (m *Machine) requestRosterPage(from Update, after string) {
	m.syncWith = from.Name
	m.send(from.Addr, &Message{Kind: RosterRequest, To: from.Name, After: after}, nil)
}

// handleRoster requests the next page, if there is one. Receive has already
// applied the updates of this page, as for any message.
func (m *Machine) handleRoster(msg *Message) {
	if m.syncWith != msg.Self.Name {
		return
	}
	m.syncProgressAt = m.now
	m.syncWith = ""
	if msg.More && len(msg.Updates) > 0 {
		m.requestRosterPage(msg.Self, msg.Updates[len(msg.Updates)-1].Name)
	}
}

// sendRosterPage sends the members whose names follow the given one.
func (m *Machine) sendRosterPage(to Update, after string) {
	msg := &Message{Kind: Roster, To: to.Name, After: after}
	i, found := slices.BinarySearch(m.names, after)
	if found {
		i++
	}
	for ; i < len(m.names) && len(msg.Updates) < rosterPageSize; i++ {
		msg.Updates = append(msg.Updates, m.members[m.names[i]].Update)
	}
	msg.More = i < len(m.names)
	m.outbox = append(m.outbox, Envelope{to.Addr, m.withSender(msg)})
}

// updateHash returns the contribution of one member to the hash of a view. It
// excludes which member suspects it. Dead members and those that left contribute
// nothing, because the members of the group remove them at different times.
func updateHash(update Update) uint64 {
	if !update.State.present() {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(update.Name))
	var fixed [8 + 4 + 1]byte
	for i := range 8 {
		fixed[i] = byte(update.Incarnation >> (8 * i))
	}
	for i := range 4 {
		fixed[8+i] = byte(update.Refutation >> (8 * i))
	}
	fixed[12] = byte(update.State)
	h.Write(fixed[:])
	return h.Sum64()
}
