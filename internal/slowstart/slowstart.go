// Package slowstart checks the load that a backend in slow start gets from all instances together against the budget of
// the platform's settings. Its inputs are the settings, the backend's capacity and start, and the attempts that arrived
// at it. Its output is the window in which the backend came closest to its limit. The package does no I/O and reads no
// clock, so that the simulator, the lab and tests can share it.
//
// The rule: a backend in slow start is overloaded if more than N + 2 * sqrt(N) + 2 requests of mean work arrive within
// the span of the settings, where N is its budget at the end of that span.
package slowstart

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// minNotifiedShare is a threshold: an overload violates the rule only if a larger share of its arrivals came from
// instances that knew of the start.
const minNotifiedShare = 2.0 / 3

// Rule holds the platform's settings for the slow start.
type Rule struct {
	InitialShare     float64       // share of its capacity with which a backend starts (coldFrom)
	Window           time.Duration // age at which it has its full capacity (warmAfterUs)
	OverloadMultiple float64       // multiple of its present capacity that it can bear (fallMultiple)
	Span             time.Duration // length of the window over which arrivals are summed (fallUs)
}

// Check returns an error that names the first setting from which no budget can be computed.
func (r Rule) Check() error {
	switch {
	case !(r.InitialShare > 0 && r.InitialShare <= 1):
		return fmt.Errorf("slowstart: initial share %v is not above 0 and at most 1", r.InitialShare)
	case r.Window < 0:
		return fmt.Errorf("slowstart: window %v is negative", r.Window)
	case !(r.OverloadMultiple > 0):
		return fmt.Errorf("slowstart: overload multiple %v is not above 0", r.OverloadMultiple)
	case r.Span <= 0:
		return fmt.Errorf("slowstart: span %v is not above 0", r.Span)
	}
	return nil
}

// CapacityShare returns the share of its full capacity that a backend has at an age. The platform specifies only the
// initial share and the window; the share is assumed to grow linearly in between, as in the policy module.
func (r Rule) CapacityShare(age time.Duration) float64 {
	if age >= r.Window {
		return 1
	}
	return r.InitialShare + (1-r.InitialShare)*max(0, age.Seconds())/r.Window.Seconds()
}

// Backend is one start of a backend. Each start on the same machine is a separate Backend.
type Backend struct {
	Started  time.Duration // on the clock of the arrivals
	Capacity float64       // seconds of work per second, after slow start
	MeanWork float64       // mean work per request in seconds, over all requests
}

// Check returns an error that names the values if no budget can be computed from them.
func (b Backend) Check() error {
	if !(b.Capacity > 0) || !(b.MeanWork > 0) {
		return fmt.Errorf("slowstart: capacity %v and mean work %v must be above 0", b.Capacity, b.MeanWork)
	}
	return nil
}

// Budget returns N: the number of requests of mean work that a backend can bear within one span, given its capacity at
// the time at.
func (r Rule) Budget(b Backend, at time.Duration) float64 {
	return r.OverloadMultiple * b.Capacity * r.CapacityShare(at-b.Started) * r.Span.Seconds() / b.MeanWork
}

// Limit returns the maximum number of requests of mean work for a budget, with an allowance for random variation.
func Limit(budget float64) float64 { return budget + 2*math.Sqrt(budget) + 2 }

// Arrival is one attempt that arrived at a backend, whatever its outcome.
type Arrival struct {
	At       time.Duration
	Work     float64 // seconds
	Instance int     // sender of the attempt
	Notified bool    // the sender knew of this start of the backend
}

// Peak is the window in which a backend came closest to its limit. The zero Peak means that nothing arrived during its
// slow start.
type Peak struct {
	At        time.Duration // end of the window
	Arrivals  float64       // in the window, in requests of mean work
	Notified  float64       // the part of Arrivals from instances that knew of the start
	Instances int           // number of instances that sent the arrivals
	Budget    float64       // N, at the end of the window
}

// Limit returns the maximum of Arrivals without an overload.
func (p Peak) Limit() float64 { return Limit(p.Budget) }

// Ratio returns the arrivals relative to the limit. Above 1 the backend is overloaded.
func (p Peak) Ratio() float64 { return p.Arrivals / p.Limit() }

// IsOverload reports whether more arrived than the limit.
func (p Peak) IsOverload() bool { return p.Arrivals > p.Limit() }

// IsViolation reports whether the backend was overloaded mainly by instances that knew of its start.
func (p Peak) IsViolation() bool { return p.IsOverload() && p.Notified > minNotifiedShare*p.Arrivals }

// String returns the peak as text for reports.
func (p Peak) String() string {
	return fmt.Sprintf("%.1f of %.1f (N %.1f, ratio %.2f) from %d instances",
		p.Arrivals, p.Limit(), p.Budget, p.Ratio(), p.Instances)
}

// Peak slides a window of the rule's span over the arrivals during the backend's slow start. The arrivals may be in any
// order. It returns an error if the rule or the backend fails its check.
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
	notifiedWork float64     // the part of work from instances that knew of the start
	byInstance   map[int]int // number of arrivals by instance, without zeros
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
