package sim

import (
	"time"

	"hitchspring/internal/slowstart"
	"hitchspring/policy"
)

const (
	slowStartWindow  = 18 * time.Second
	slowStartShare   = 0.25 // of its capacity, that a backend starts with
	overloadMultiple = 4.0  // times what it can do
	overloadSpan     = time.Second
)

// slowStartRule is the slow start as all instances are given it.
var slowStartRule = slowstart.Rule{
	InitialShare:     slowStartShare,
	Window:           slowStartWindow,
	OverloadMultiple: overloadMultiple,
	Span:             overloadSpan,
}

// SlowStart is what one slow start of a backend got from all instances together,
// at its nearest to the limit.
type SlowStart struct {
	Backend  policy.BackendID
	Attempts int            // that came during it
	Mean     slowstart.Peak // each attempt as the mean work of its class
	Drawn    slowstart.Peak // each attempt as its own work, which no instance knows
}

// slowStart records what comes to a backend from a start on.
type slowStart struct {
	id      policy.BackendID
	backend slowstart.Backend
	mean    []slowstart.Arrival // each as the mean work of its class
	drawn   []slowstart.Arrival // each as its own work
}

// beginSlowStart begins the record of a slow start.
func (s *simulation) beginSlowStart(b *backend) {
	b.slowStart = &slowStart{id: b.ID, backend: slowstart.Backend{
		Started:  s.now,
		Capacity: float64(b.cores) * b.speed,
		MeanWork: meanWork * s.workFactor(),
	}}
	s.slowStarts = append(s.slowStarts, b.slowStart)
}

// record records an attempt that has come.
func (r *slowStart) record(now time.Duration, a *attempt, meanWork float64) {
	i := a.request.instance
	arrival := slowstart.Arrival{
		At:       now,
		Work:     meanWork,
		Instance: i.index,
		Notified: i.knownStart[r.id] == epoch+r.backend.Started,
	}
	r.mean = append(r.mean, arrival)
	arrival.Work = a.work
	r.drawn = append(r.drawn, arrival)
}

// reportSlowStarts reports all slow starts, in the order in which they began.
func (s *simulation) reportSlowStarts() error {
	for _, r := range s.slowStarts {
		mean, err := slowStartRule.Peak(r.backend, r.mean)
		if err != nil {
			return err
		}
		drawn, err := slowStartRule.Peak(r.backend, r.drawn)
		if err != nil {
			return err
		}
		s.report.SlowStarts = append(s.report.SlowStarts, SlowStart{
			Backend:  r.id,
			Attempts: len(r.mean),
			Mean:     mean,
			Drawn:    drawn,
		})
	}
	return nil
}
