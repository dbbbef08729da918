package backend

// capacityShare returns the share of its capacity that the machine has by its age, or by what it has served.
func (m *machine) capacityShare() float64 {
	if !m.cold || m.rules.SlowStartWindow <= 0 {
		return 1
	}
	progress := (m.now - m.startedAt).Seconds() / m.rules.SlowStartWindow.Seconds()
	if m.rules.SlowStartRequests > 0 {
		progress = max(progress, float64(m.served)/float64(m.rules.SlowStartRequests))
	}
	return m.rules.SlowStartShare + (1-m.rules.SlowStartShare)*min(1, progress)
}
