package swim

import "time"

const (
	// maxHealthScore bounds the local health score. Timeouts are multiplied by up
	// to maxHealthScore+1.
	maxHealthScore = 8

	// stallIntervals is how late a tick must be, in probe intervals, for this
	// process to count as having been stalled.
	stallIntervals = 1.5
)

// The local health score follows Lifeguard: a member whose own probes fail, or
// that is suspected itself, is probably slow, so it gives the others more time.

func (m *Machine) degradeHealth() { m.healthScore = min(maxHealthScore, m.healthScore+1) }
func (m *Machine) improveHealth() { m.healthScore = max(0, m.healthScore-1) }

// scaleByHealth lengthens a duration in proportion to the local health score.
func (m *Machine) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+m.healthScore)
}

// detectStall detects that this process was not scheduled for a while. The other
// members must not be blamed for messages that this one could not receive during
// that time, so the running probe is dropped and all suspicions are extended.
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
