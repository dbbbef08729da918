package swim

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	syncInterval           = time.Second // between two reads of a whole roster, for a group of few members
	membersPerSyncInterval = 40          // each so many members lengthen it by once its length
	rosterPageSize         = 12          // members
)

// syncIfDifferent requests the sender's whole roster if its view differs from
// this one, but not too often. Rumors end after some messages, and may have
// reached not everybody; this does not end before the views are equal.
func (m *Machine) syncIfDifferent(msg *Message) {
	if m.syncWith != "" && m.now-m.syncProgressAt > syncInterval {
		m.syncWith = "" // the other side went silent
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

// handleRoster requests the page that follows, if there is one. The updates of
// the page were applied already, as those of any message.
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
	m.outbox = append(m.outbox, Envelope{to.Addr, m.fromSelf(msg)})
}

// updateHash returns the contribution of one member to the hash of a view. Who
// suspects it is not part of that. Dead members and those that left contribute
// nothing, because each member forgets them at another time.
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
