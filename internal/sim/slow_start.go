package sim

import (
	"time"

	"hitchspring/internal/slowstart"
	"hitchspring/policy"
)

const (
	slowStartWindow  = 18 * time.Second
	slowStartShare   = 0.25 // initial share of a backend's full capacity
	overloadMultiple = 4.0  // overload limit, as a multiple of the current capacity
	overloadSpan     = time.Second
)

// slowStartRule holds the slow start settings of all instances.
var slowStartRule = slowstart.Rule{
	InitialShare:     slowStartShare,
	Window:           slowStartWindow,
	OverloadMultiple: overloadMultiple,
	Span:             overloadSpan,
}

// SlowStart reports the load of one slow start of a backend from all instances together,
// at the time when it came closest to the limit.
type SlowStart struct {
	Backend  policy.BackendID
	Attempts int            // attempts that arrived during the slow start
	Mean     slowstart.Peak // peak if each attempt counts as the mean work of its class
	Drawn    slowstart.Peak // peak if each attempt counts as its own random work, which no instance knows
}

// slowStartRecord records the attempts that arrive at a backend after one of its starts.
type slowStartRecord struct {
	id      policy.BackendID
	backend slowstart.Backend
	mean    []slowstart.Arrival // each attempt with the mean work of its class
	drawn   []slowstart.Arrival // each attempt with its own work
}

// beginSlowStart starts a new record for the slow start of a backend.
func (s *simulation) beginSlowStart(b *backend) {
	b.slowStartRecord = &slowStartRecord{id: b.ID, backend: slowstart.Backend{
		Started:  s.now,
		Capacity: float64(b.cores) * b.speed,
		MeanWork: meanWork * s.workFactor(),
	}}
	s.slowStartRecords = append(s.slowStartRecords, b.slowStartRecord)
}

// record records the arrival of an attempt.
func (r *slowStartRecord) record(now time.Duration, a *attempt, meanWork float64) {
	i := a.request.instance
	arrival := slowstart.Arrival{
		At:       now,
		Work:     meanWork,
		Instance: i.index,
		Notified: i.notifiedStart[r.id] == epoch+r.backend.Started,
	}
	r.mean = append(r.mean, arrival)
	arrival.Work = a.work
	r.drawn = append(r.drawn, arrival)
}

// reportSlowStarts adds all slow starts to the report, in the order of their starts.
func (s *simulation) reportSlowStarts() error {
	for _, r := range s.slowStartRecords {
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
