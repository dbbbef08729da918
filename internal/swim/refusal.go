package swim

import (
	"slices"
	"time"
)

const (
	refusalQuorum           = 2                      // members that must be refused to shorten a suspicion
	refusalSuspicionTimeout = 60 * time.Millisecond  // for a refutation, once the quorum is reached
	refusalProbeInterval    = 100 * time.Millisecond // between two pings to confirm refusals by one member
	refusalDistrustTime     = 10 * time.Second       // for which refusals are ignored after one was refuted
	refusalFanout           = 8                      // members that are notified at once
)

// HandleRefusal notes that the host of an address refused a message, because no
// process listens there. That may be forged, or be true on one network path
// only, but it arrives within moments of a death. The others are therefore
// notified at once and ping the member themselves. If a quorum was refused and
// the member does not refute it, it is declared dead without the patience that
// mere silence needs.
func (m *Machine) HandleRefusal(now time.Duration, addr string) []Envelope {
	m.beginCall(now)
	if m.stopped() {
		return nil
	}
	for _, name := range m.names {
		x := m.members[name]
		if x.Addr != addr || !x.State.present() {
			continue
		}
		if m.now < x.hintsIgnoredUntil || slices.Contains(x.refusedBy, m.self.Name) {
			continue
		}
		m.counts.Refusals++
		suspicion := m.stateUpdate(x, Suspect)
		suspicion.Refused = true
		m.apply(suspicion)
		m.notifyAtOnce(suspicion)
	}
	return m.outbox
}

// confirmRefusal counts a member that was refused by the suspected x, and pings x
// unless this member was refused itself.
func (m *Machine) confirmRefusal(x *member, update Update) {
	if !update.Refused || !sameSuspicion(x, update) || slices.Contains(x.refusedBy, update.SuspectedBy) {
		return
	}
	if len(x.refusedBy) > refusalFanout {
		return
	}
	x.refusedBy = append(x.refusedBy, update.SuspectedBy)
	if len(x.refusedBy) >= refusalQuorum {
		x.suspicionEnd = min(x.suspicionEnd, m.now+refusalSuspicionTimeout)
	}
	if slices.Contains(x.refusedBy, m.self.Name) {
		return
	}
	if x.refusalProbedAt == 0 || m.now-x.refusalProbedAt >= refusalProbeInterval {
		x.refusalProbedAt = m.now
		m.send(x.Addr, &Message{Kind: Ping, To: x.Name, Nonce: m.newNonce()}, x)
	}
}

// notifyAtOnce sends an update to a few members, without waiting for a message
// that could carry it.
func (m *Machine) notifyAtOnce(update Update) {
	for _, receiver := range m.sampleMembers(refusalFanout, isAlive) {
		msg := &Message{To: receiver.Name, Updates: []Update{update}}
		m.outbox = append(m.outbox, Envelope{receiver.Addr, m.fromSelf(msg)})
	}
}
