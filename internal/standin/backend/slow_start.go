package backend

// capacityShare returns the share of full capacity that slow start allows now, by time or by the number of served
// requests, whichever is larger.
func (m *machine) capacityShare() float64 {
	if !m.slowStart || m.rules.SlowStartWindow <= 0 {
		return 1
	}
	progress := (m.now - m.startedAt).Seconds() / m.rules.SlowStartWindow.Seconds()
	if m.rules.SlowStartRequests > 0 {
		progress = max(progress, float64(m.served)/float64(m.rules.SlowStartRequests))
	}
	return m.rules.SlowStartShare + (1-m.rules.SlowStartShare)*min(1, progress)
}
