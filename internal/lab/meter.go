package lab

import (
	"sync"
	"time"

	"hitchspring/internal/audit"
)

const (
	meterEvery = 2 * ms
	meterFrom  = 20 * ms // of lateness that is kept
	mostLate   = 1000
)

// meter watches how late the lab itself is run: its observers can be no better than that.
type meter struct {
	clock func() time.Duration
	stop  chan struct{}
	wg    sync.WaitGroup
	mu    sync.Mutex
	list  []audit.Late
}

func newMeter(clock func() time.Duration) *meter {
	m := &meter{clock: clock, stop: make(chan struct{})}
	m.wg.Go(m.run)
	return m
}

func (m *meter) run() {
	t := time.NewTicker(meterEvery)
	defer t.Stop()
	for last := m.clock(); ; {
		select {
		case <-m.stop:
			return
		case <-t.C:
		}
		now := m.clock()
		if by := now - last - meterEvery; by > meterFrom {
			m.mu.Lock()
			if len(m.list) < mostLate {
				m.list = append(m.list, audit.Late{At: now - by, By: by})
			}
			m.mu.Unlock()
		}
		last = now
	}
}

func (m *meter) late() []audit.Late {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]audit.Late(nil), m.list...)
}

func (m *meter) close() {
	close(m.stop)
	m.wg.Wait()
}
