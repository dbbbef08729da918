package backend

import (
	"fmt"
	"time"
)

// arrivedWork is the work of a command that arrived at a cold backend.
type arrivedWork struct {
	at   time.Duration
	work float64 // seconds of a core of speed 1
}

// addOverload counts the work that a cold backend is sent, also work that it rejects: within any span it must stay
// under the multiple of the current capacity. It reports whether the backend has fallen over.
func (m *machine) addOverload(work time.Duration) bool {
	rules := m.rules
	if rules.OverloadMultiple <= 0 || m.capacityShare() >= 1 {
		m.recentWork = nil
		return false
	}
	m.recentWork = append(m.recentWork, arrivedWork{m.now, work.Seconds()})
	for len(m.recentWork) > 0 && m.now-m.recentWork[0].at > rules.OverloadSpan {
		m.recentWork = m.recentWork[1:]
	}
	sum := 0.0
	for _, s := range m.recentWork {
		sum += s.work
	}
	limit := rules.OverloadMultiple*m.capacity()*rules.OverloadSpan.Seconds() + rules.OverloadSlack.Seconds()
	m.peakOverload = max(m.peakOverload, sum/limit)
	if sum <= limit || m.failure != "" {
		return false
	}
	m.failedAt = m.now
	m.failure = fmt.Sprintf(
		"%.2f s of work came within %v, %.2f is %g times what it can do at %.0f%% of its warmth, %v after its start",
		sum, rules.OverloadSpan, limit, rules.OverloadMultiple, 100*m.capacityShare(),
		(m.now - m.startedAt).Round(time.Millisecond))
	return true
}
