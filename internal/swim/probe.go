package swim

import (
	"slices"
	"time"
)

const (
	indirectProbes = 3 // members that are requested to ping a target that did not answer directly
	maxRelays      = 4 * indirectProbes
)

// probePhase is the phase of the running probe.
type probePhase uint8

const (
	probeIdle     probePhase = iota // no probe is running
	probeDirect                     // the target was pinged
	probeIndirect                   // other members were requested to ping it too
	probeAcked                      // the target has answered, directly or through another member
)

// probe checks whether one member responds. At most one probe runs at a time.
type probe struct {
	phase      probePhase
	target     string
	nonce      uint64        // of the ping; the ack carries it too, whether direct or relayed
	indirectAt time.Duration // when indirect pings are requested, unless the target has answered
	endsAt     time.Duration // when the target is suspected, unless it has answered
}

// nextDeadline returns when advanceProbe is next due, and whether a probe is
// running.
func (p *probe) nextDeadline() (time.Duration, bool) {
	switch p.phase {
	case probeDirect:
		return p.indirectAt, true
	case probeIndirect, probeAcked:
		return p.endsAt, true
	default:
		return 0, false
	}
}

// relay is an indirect probe that this member runs on behalf of another member.
type relay struct {
	nonce       uint64 // of the ping to the target
	originNonce uint64 // of the requesting member's probe
	originAddr  string
	expiresAt   time.Duration
}

// startProbe pings the next member of the probe round.
func (m *Machine) startProbe() {
	target := m.nextProbeTarget()
	m.nextProbe = m.now + m.scaleByHealth(m.cfg.ProbeInterval)
	if target == "" {
		return
	}
	x := m.members[target]
	m.probe = probe{
		phase:      probeDirect,
		target:     target,
		nonce:      m.newNonce(),
		indirectAt: m.now + m.scaleByHealth(m.cfg.ProbeTimeout),
		endsAt:     m.nextProbe,
	}
	m.send(x.Addr, &Message{Kind: Ping, To: target, Nonce: m.probe.nonce}, x)
}

// nextProbeTarget returns the next present member of the round. Each round visits
// all members in a new random order. It returns "" if no member is present.
func (m *Machine) nextProbeTarget() string {
	for range 2 {
		for len(m.probeRound) > 0 {
			last := len(m.probeRound) - 1
			name := m.probeRound[last]
			m.probeRound = m.probeRound[:last]
			if x := m.members[name]; x != nil && x.State.present() {
				return name
			}
		}
		m.probeRound = slices.Clone(m.names)
		m.rng.Shuffle(len(m.probeRound), func(i, j int) {
			m.probeRound[i], m.probeRound[j] = m.probeRound[j], m.probeRound[i]
		})
	}
	return ""
}

// advanceProbe moves the running probe to its next phase when that is due: it
// requests indirect pings of a target that has not answered, and later suspects
// the target if it has answered neither the direct nor the indirect pings.
func (m *Machine) advanceProbe() {
	if m.probe.phase == probeIdle {
		return
	}
	target := m.members[m.probe.target]
	if target == nil || !target.State.present() {
		m.probe = probe{}
		return
	}
	deadline, _ := m.probe.nextDeadline()
	if m.now < deadline {
		return
	}
	switch m.probe.phase {
	case probeIdle:
	case probeDirect:
		m.probe.phase = probeIndirect
		m.requestIndirectPings(target)
	case probeIndirect:
		m.degradeHealth()
		m.probe = probe{}
		m.apply(m.stateUpdate(target, Suspect))
	case probeAcked:
		m.improveHealth()
		m.probe = probe{}
	}
}

func (m *Machine) requestIndirectPings(target *member) {
	helpers := m.sampleMembers(indirectProbes, func(x *member) bool {
		return x.State == Alive && x.Name != target.Name
	})
	for _, helper := range helpers {
		request := &Message{Kind: PingReq, To: helper.Name, Nonce: m.probe.nonce, Target: target.Name}
		m.send(helper.Addr, request, target)
	}
}

// handleAck marks the probe with the given nonce as answered, or forwards the ack
// of a relay to the member that requested it.
func (m *Machine) handleAck(nonce uint64) {
	if m.probe.phase != probeIdle && nonce == m.probe.nonce {
		m.probe.phase = probeAcked
	}
	for i, r := range m.relays {
		if r.nonce == nonce {
			m.send(r.originAddr, &Message{Kind: Ack, Nonce: r.originNonce}, nil)
			m.relays = slices.Delete(m.relays, i, i+1)
			return
		}
	}
}

// handlePingReq pings a target on behalf of another member, unless maxRelays such
// pings are already unanswered.
func (m *Machine) handlePingReq(msg *Message) {
	target := m.members[msg.Target]
	if target == nil || len(m.relays) >= maxRelays {
		return
	}
	r := relay{
		nonce:       m.newNonce(),
		originNonce: msg.Nonce,
		originAddr:  msg.Self.Addr,
		expiresAt:   m.now + m.cfg.ProbeInterval,
	}
	m.relays = append(m.relays, r)
	m.send(target.Addr, &Message{Kind: Ping, To: target.Name, Nonce: r.nonce}, target)
}

func (m *Machine) expireRelays() {
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool { return m.now > r.expiresAt })
}
