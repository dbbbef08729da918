package swim

import (
	"cmp"
	"math"
	"slices"
)

const (
	updatesPerMessage = 6    // that are piggybacked
	retransmitFactor  = 3.0  // times log2 of the members: how often an update is sent
	maxRumors         = 1024 // the oldest is dropped
)

// rumor is an update that is being disseminated.
type rumor struct {
	update    Update
	transmits int // how often it was sent
}

// broadcast queues an update to be piggybacked on messages, in place of earlier
// ones of the same member. Suspicions by different members stand side by side,
// since each confirms the other.
func (m *Machine) broadcast(update Update) {
	m.rumors = slices.DeleteFunc(m.rumors, func(r *rumor) bool {
		otherSuspicion := r.update.SuspectedBy != update.SuspectedBy && r.update.State == update.State
		return r.update.Name == update.Name && !otherSuspicion
	})
	if len(m.rumors) >= maxRumors {
		m.rumors = m.rumors[1:]
	}
	m.rumors = append(m.rumors, &rumor{update: update})
}

// send completes a message with the updates that were sent least, and with what
// is believed of a member (nil: none) who should hear of it or who it is about.
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
	m.outbox = append(m.outbox, Envelope{addr, m.fromSelf(msg)})
}

// retransmitLimit returns how often an update is sent, by the size of the group.
func (m *Machine) retransmitLimit() int {
	return int(math.Ceil(retransmitFactor * math.Log2(float64(len(m.names)+2))))
}

// fromSelf enters the sender and its view into a message.
func (m *Machine) fromSelf(msg *Message) *Message {
	msg.Self = m.self
	msg.ViewHash = m.viewHash
	return msg
}
