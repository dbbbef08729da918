package swim

import (
	"slices"
	"time"
)

const (
	refusalQuorum           = 2                      // members that must report a refusal to shorten a suspicion
	refusalSuspicionTimeout = 60 * time.Millisecond  // time left to refute once the quorum is reached
	refusalProbeInterval    = 100 * time.Millisecond // min time between pings to one member to confirm refusals
	refusalIgnoreTime       = 10 * time.Second       // how long refusals are ignored after the member refuted one
	refusalFanout           = 8                      // members that are notified immediately
)

// HandleRefusal handles a report that the host at an address refused a message
// because no process listens there (ICMP port unreachable). A refusal arrives
// within moments of a death, but it may be forged or apply to one network path
// only. Other members are therefore notified immediately and ping the member
// themselves. If refusalQuorum members were refused and the member does not
// refute the suspicion, it is declared dead much sooner than after silence alone.
func (m *Machine) HandleRefusal(now time.Duration, addr string) []Envelope {
	m.beginCall(now)
	if m.stopped() {
		return nil
	}
	for _, name := range m.names {
		target := m.members[name]
		if target.Addr != addr || !target.State.present() {
			continue
		}
		if m.now < target.refusalsIgnoredUntil || slices.Contains(target.refusedBy, m.self.Name) {
			continue
		}
		m.counts.Refusals++
		suspicion := m.stateUpdate(target, Suspect)
		suspicion.Refused = true
		m.apply(suspicion)
		m.notifyImmediately(suspicion)
	}
	return m.outbox
}

// confirmRefusal records which member reported a refusal by the host of target, and
// shortens the suspicion once refusalQuorum members did. It pings target for
// confirmation unless this member itself was refused.
func (m *Machine) confirmRefusal(target *member, update Update) {
	if !update.Refused || !sameSuspicion(target, update) || slices.Contains(target.refusedBy, update.SuspectedBy) {
		return
	}
	if len(target.refusedBy) > refusalFanout {
		return
	}
	target.refusedBy = append(target.refusedBy, update.SuspectedBy)
	if len(target.refusedBy) >= refusalQuorum {
		target.suspicionEnd = min(target.suspicionEnd, m.now+refusalSuspicionTimeout)
	}
	if slices.Contains(target.refusedBy, m.self.Name) {
		return
	}
	if target.refusalProbedAt == 0 || m.now-target.refusalProbedAt >= refusalProbeInterval {
		target.refusalProbedAt = m.now
		m.send(target.Addr, &Message{Kind: Ping, To: target.Name, Nonce: m.newNonce()}, target)
	}
}

// notifyImmediately sends an update to a few members in messages of its own instead
// of piggybacking it on the next messages.
func (m *Machine) notifyImmediately(update Update) {
	for _, receiver := range m.sampleMembers(refusalFanout, isAlive) {
		msg := &Message{To: receiver.Name, Updates: []Update{update}}
		m.outbox = append(m.outbox, Envelope{receiver.Addr, m.withSender(msg)})
	}
}
