package backend

import (
	"fmt"
	"time"
)

// arrivedWork is the work of a command that arrived during slow start.
type arrivedWork struct {
	at   time.Duration
	work float64 // in seconds on a core of speed 1
}

// addSlowStartLoad counts the work that a backend is sent during slow start, including work that it rejects. It reports
// whether this work makes the backend fail: its sum over the overload span exceeds the limit.
func (m *machine) addSlowStartLoad(work time.Duration) bool {
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
	m.peakLoad = max(m.peakLoad, sum/limit)
	if sum <= limit || m.failure != "" {
		return false
	}
	m.failedAt = m.now
	m.failure = fmt.Sprintf(
		"received %.2f s of work in %v; the limit is %.2f s, %g times its capacity (%.0f%% of full), %v after start",
		sum, rules.OverloadSpan, limit, rules.OverloadMultiple, 100*m.capacityShare(),
		(m.now - m.startedAt).Round(time.Millisecond))
	return true
}
