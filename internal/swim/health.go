package swim

import "time"

const (
	// maxHealthScore bounds the local health score. Timeouts grow up to
	// maxHealthScore+1 times.
	maxHealthScore = 8

	// stallIntervals is the lateness of a tick, in probe intervals, from which on
	// this process counts as having been stopped.
	stallIntervals = 1.5
)

// The local health score is Lifeguard's: a member whose own probes fail, or that
// is suspected itself, is likely to be slow and waits longer for the others.

func (m *Machine) degradeHealth() { m.healthScore = min(maxHealthScore, m.healthScore+1) }
func (m *Machine) improveHealth() { m.healthScore = max(0, m.healthScore-1) }

// scaleByHealth lengthens a duration while this member's own health is poor.
func (m *Machine) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+m.healthScore)
}

// detectStall notices that this process was not scheduled. What it did not
// receive meanwhile must not count against the others, so the running probe is
// dropped and suspicions are extended.
func (m *Machine) detectStall() {
	late := m.now - max(m.lastTick, min(m.nextProbe, m.nextReconnect))
	if late < time.Duration(stallIntervals*float64(m.cfg.ProbeInterval)) {
		return
	}
	m.counts.Stalls++
	m.degradeHealth()
	m.probe = probe{}
	m.nextProbe = m.now + m.jitter(m.cfg.ProbeInterval)
	for _, name := range m.suspects {
		m.members[name].suspicionEnd += late
	}
}
