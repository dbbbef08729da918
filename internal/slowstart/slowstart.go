// Package slowstart checks what a backend that has just started gets from all instances together against the budget
// that the platform's settings give it during its slow start. In come the settings, the backend's capacity and start,
// and the attempts that arrived at it; out goes the window in which the backend came nearest to its limit. The package
// does no I/O and reads no clock, so that the simulator, the lab and tests share it.
//
// The rule: a backend in slow start is overloaded when it gets more than N + 2 * sqrt(N) + 2 requests of mean work
// within a span that the settings name, where N is what they allow it at that moment.
package slowstart

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// minNotifiedShare is the share of an overload that has to come from instances that knew of the start, for the rule to
// be violated by them.
const minNotifiedShare = 2.0 / 3

// Rule holds the platform's settings of the slow start.
type Rule struct {
	InitialShare     float64       // share of its capacity with which a backend starts (coldFrom)
	Window           time.Duration // age from which it has all of it (warmAfterUs)
	OverloadMultiple float64       // of its present capacity, that it bears (fallMultiple)
	Span             time.Duration // over which arrivals are added up (fallUs)
}

// Check returns an error that names a setting which no budget can be computed from.
func (r Rule) Check() error {
	switch {
	case !(r.InitialShare > 0 && r.InitialShare <= 1):
		return fmt.Errorf("slowstart: cold share %v is not above 0 and up to 1", r.InitialShare)
	case r.Window < 0:
		return fmt.Errorf("slowstart: warm after %v is before the start", r.Window)
	case !(r.OverloadMultiple > 0):
		return fmt.Errorf("slowstart: multiple %v is not above 0", r.OverloadMultiple)
	case r.Span <= 0:
		return fmt.Errorf("slowstart: span %v is not above 0", r.Span)
	}
	return nil
}

// CapacityShare returns the share of its capacity that a backend has at an age. The platform names both ends and not
// what lies between: the share is assumed to grow linearly, as the policy module assumes it.
func (r Rule) CapacityShare(age time.Duration) float64 {
	if age >= r.Window {
		return 1
	}
	return r.InitialShare + (1-r.InitialShare)*max(0, age.Seconds())/r.Window.Seconds()
}

// Backend is one start of a backend. Starts of one machine are backends of their own.
type Backend struct {
	Started  time.Duration // on the clock of the arrivals
	Capacity float64       // seconds of work a second, once it is warm
	MeanWork float64       // seconds of work of a request, on average over all requests
}

// Check returns an error that names the values which no budget can be computed from.
func (b Backend) Check() error {
	if !(b.Capacity > 0) || !(b.MeanWork > 0) {
		return fmt.Errorf("slowstart: capacity %v and mean work %v have to be above 0", b.Capacity, b.MeanWork)
	}
	return nil
}

// Budget returns N: the requests of mean work that a backend bears within a span at a time.
func (r Rule) Budget(b Backend, at time.Duration) float64 {
	return r.OverloadMultiple * b.Capacity * r.CapacityShare(at-b.Started) * r.Span.Seconds() / b.MeanWork
}

// Limit returns the requests of mean work that are within a budget, at most. It allows for chance.
func Limit(budget float64) float64 { return budget + 2*math.Sqrt(budget) + 2 }

// Arrival is one attempt that arrived at a backend, however it ended.
type Arrival struct {
	At       time.Duration
	Work     float64 // seconds
	Instance int     // that sent it
	Notified bool    // the instance knew of this start
}

// Peak is the window in which a backend came nearest to its limit. The zero Peak says that nothing arrived during its
// slow start.
type Peak struct {
	At        time.Duration // end of the window
	Arrivals  float64       // requests of mean work within it
	Notified  float64       // of these, from instances that knew of the start
	Instances int           // that sent them
	Budget    float64       // N, at the end of the window
}

// Limit returns what may have arrived, at most.
func (p Peak) Limit() float64 { return Limit(p.Budget) }

// Ratio returns what arrived, relative to the limit. Above 1 the backend is overloaded.
func (p Peak) Ratio() float64 { return p.Arrivals / p.Limit() }

// IsOverload reports whether more arrived than the limit.
func (p Peak) IsOverload() bool { return p.Arrivals > p.Limit() }

// IsViolation reports whether the backend was overloaded by instances that knew of its start.
func (p Peak) IsViolation() bool { return p.IsOverload() && p.Notified > minNotifiedShare*p.Arrivals }

// String returns the peak as text for reports.
func (p Peak) String() string {
	return fmt.Sprintf("%.1f of %.1f (N %.1f, ratio %.2f) from %d instances",
		p.Arrivals, p.Limit(), p.Budget, p.Ratio(), p.Instances)
}

// Peak slides a window of the rule's span over the arrivals, which may be in any order, from the backend's start until
// it is warm. It returns an error if the rule or the backend fails its check.
func (r Rule) Peak(b Backend, arrivals []Arrival) (Peak, error) {
	if err := cmp.Or(r.Check(), b.Check()); err != nil {
		return Peak{}, err
	}
	arrivals = slices.DeleteFunc(slices.Clone(arrivals), func(a Arrival) bool {
		return a.At < b.Started || r.CapacityShare(a.At-b.Started) >= 1
	})
	slices.SortStableFunc(arrivals, func(x, y Arrival) int { return cmp.Compare(x.At, y.At) })
	var peak Peak
	window := windowSum{byInstance: map[int]int{}}
	oldest := 0
	for _, a := range arrivals {
		window.add(a)
		for ; a.At-arrivals[oldest].At > r.Span; oldest++ {
			window.remove(arrivals[oldest])
		}
		current := Peak{
			At:        a.At,
			Arrivals:  window.work / b.MeanWork,
			Notified:  window.notifiedWork / b.MeanWork,
			Instances: len(window.byInstance),
			Budget:    r.Budget(b, a.At),
		}
		if peak.Budget == 0 || current.Ratio() > peak.Ratio() {
			peak = current
		}
	}
	return peak, nil
}

// windowSum sums up the arrivals within a window.
type windowSum struct {
	work         float64     // seconds
	notifiedWork float64     // of it, from instances that knew of the start
	byInstance   map[int]int // arrivals of each instance that has any
}

func (s *windowSum) add(a Arrival) {
	s.work += a.Work
	if a.Notified {
		s.notifiedWork += a.Work
	}
	s.byInstance[a.Instance]++
}

func (s *windowSum) remove(a Arrival) {
	s.work -= a.Work
	if a.Notified {
		s.notifiedWork -= a.Work
	}
	s.byInstance[a.Instance]--
	if s.byInstance[a.Instance] == 0 {
		delete(s.byInstance, a.Instance)
	}
}
