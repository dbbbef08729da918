package swim

import (
	"cmp"
	"math"
	"slices"
)

const (
	updatesPerMessage = 6    // queued updates that are piggybacked on one message
	retransmitFactor  = 3.0  // an update is sent retransmitFactor * log2(members) times
	maxRumors         = 1024 // beyond this the oldest is dropped
)

// rumor is an update that is being disseminated.
type rumor struct {
	update    Update
	transmits int // number of messages that carried it
}

// queueBroadcast queues an update to be piggybacked on messages. It replaces
// queued updates about the same member, except suspicions by other members: these
// stay queued because each one confirms the others.
func (m *Machine) queueBroadcast(update Update) {
	m.rumors = slices.DeleteFunc(m.rumors, func(r *rumor) bool {
		otherSuspicion := r.update.SuspectedBy != update.SuspectedBy && r.update.State == update.State
		return r.update.Name == update.Name && !otherSuspicion
	})
	if len(m.rumors) >= maxRumors {
		m.rumors = m.rumors[1:]
	}
	m.rumors = append(m.rumors, &rumor{update: update})
}

// send piggybacks the least often sent updates on a message and puts it into the
// outbox. If about is not nil and not alive, the message also carries what this
// member believes about it, so that a suspected receiver can refute the suspicion.
func (m *Machine) send(addr string, msg *Message, about *member) {
	if about != nil && about.State != Alive {
		msg.Updates = append(msg.Updates, about.Update)
	}
	slices.SortStableFunc(m.rumors, func(a, b *rumor) int { return cmp.Compare(a.transmits, b.transmits) })
	for _, r := range m.rumors[:min(len(m.rumors), updatesPerMessage)] {
		msg.Updates = append(msg.Updates, r.update)
		r.transmits++
	}
	limit := m.retransmitLimit()
	m.rumors = slices.DeleteFunc(m.rumors, func(r *rumor) bool { return r.transmits >= limit })
	m.outbox = append(m.outbox, Envelope{addr, m.withSender(msg)})
}

// retransmitLimit returns how often an update is sent. It grows with the
// logarithm of the group size.
func (m *Machine) retransmitLimit() int {
	return int(math.Ceil(retransmitFactor * math.Log2(float64(len(m.names)+2))))
}

// withSender sets this member as the sender of a message and adds the hash of its view.
func (m *Machine) withSender(msg *Message) *Message {
	msg.Self = m.self
	msg.ViewHash = m.viewHash
	return msg
}
