package slowstart

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

var (
	rule    = Rule{InitialShare: 0.25, Window: 18 * time.Second, OverloadMultiple: 4, Span: time.Second}
	backend = Backend{Started: time.Minute, Capacity: 2, MeanWork: 0.125} // N is 16 at the start, and the limit 26
)

// arrivalsAt returns a number of requests of mean work that arrive at an age of the backend, each from a different
// instance.
func arrivalsAt(age time.Duration, requests int) []Arrival {
	var arrivals []Arrival
	for i := range requests {
		arrivals = append(arrivals, Arrival{
			At: backend.Started + age, Work: backend.MeanWork, Instance: i, Notified: true,
		})
	}
	return arrivals
}

func mustPeak(t *testing.T, arrivals []Arrival) Peak {
	t.Helper()
	p, err := rule.Peak(backend, arrivals)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// The budget N grows with the share of its full capacity that the backend has at its age.
func TestLimit(t *testing.T) {
	if got := Limit(16); got != 26 {
		t.Errorf("got limit %v of a budget of 16, want 26", got)
	}
	for age, want := range map[time.Duration]float64{0: 16, 9 * time.Second: 40, 18 * time.Second: 64, time.Hour: 64} {
		if got := rule.Budget(backend, backend.Started+age); math.Abs(got-want) > 1e-9 {
			t.Errorf("got budget %v at age %v, want %v", got, age, want)
		}
	}
}

// At the limit the backend isn't overloaded; with one more request it is.
func TestOverload(t *testing.T) {
	if p := mustPeak(t, arrivalsAt(0, 26)); p.IsOverload() || p.Ratio() != 1 || p.Instances != 26 {
		t.Errorf("got %v at the limit, want ratio 1 and no overload", p)
	}
	if p := mustPeak(t, arrivalsAt(0, 27)); !p.IsOverload() || !p.IsViolation() {
		t.Errorf("got %v above the limit, want an overload that violates the rule", p)
	}
	twoThirds := arrivalsAt(0, 27)
	for i := range twoThirds {
		twoThirds[i].Notified = i < 18
	}
	if p := mustPeak(t, twoThirds); !p.IsOverload() || p.IsViolation() {
		t.Errorf("got %v, want an overload and no violation: too few instances knew of the start", p)
	}
}

// Only arrivals within one span are summed. Arrivals before the start or after the slow start are ignored.
func TestWindows(t *testing.T) {
	for name, arrivals := range map[string][]Arrival{
		"one span apart": append(arrivalsAt(0, 20), arrivalsAt(time.Second+1, 20)...),
		"before":         append(arrivalsAt(-1, 100), arrivalsAt(0, 20)...),
		"warm":           append(arrivalsAt(0, 20), arrivalsAt(18*time.Second, 100)...),
		"out of order":   append(arrivalsAt(2*time.Second, 20), arrivalsAt(0, 20)...),
	} {
		t.Run(name, func(t *testing.T) {
			if p := mustPeak(t, arrivals); math.Abs(p.Arrivals-20) > 1e-9 || p.IsOverload() {
				t.Errorf("got %v, want 20 arrivals and no overload", p)
			}
		})
	}
	withinSpan := append(arrivalsAt(0, 20), arrivalsAt(time.Second, 20)...)
	if p := mustPeak(t, withinSpan); math.Abs(p.Arrivals-40) > 1e-9 || !p.IsOverload() {
		t.Errorf("got %v within a span, want 40 arrivals and an overload", p)
	}
	if p := mustPeak(t, nil); p != (Peak{}) || p.IsOverload() || p.Ratio() != 0 {
		t.Errorf("got %v of no arrivals, want the zero peak", p)
	}
}

// maxWindowRatio returns the highest ratio over all windows, with the sum of each window computed directly.
func maxWindowRatio(arrivals []Arrival) float64 {
	maxRatio := 0.0
	for _, last := range arrivals {
		if last.At-backend.Started >= rule.Window {
			continue
		}
		work := 0.0
		for _, a := range arrivals {
			if a.At <= last.At && a.At >= last.At-rule.Span {
				work += a.Work
			}
		}
		maxRatio = max(maxRatio, work/backend.MeanWork/Limit(rule.Budget(backend, last.At)))
	}
	return maxRatio
}

// The sliding window gives the same result as a direct sum over each window.
func TestPeakMatchesDirectSums(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		var arrivals []Arrival
		for range rng.IntN(60) {
			arrivals = append(arrivals, Arrival{
				At:   backend.Started + time.Duration(rng.IntN(20000))*time.Millisecond,
				Work: rng.ExpFloat64() / 8, Instance: rng.IntN(5),
			})
		}
		want := maxWindowRatio(arrivals)
		if p := mustPeak(t, arrivals); math.Abs(p.Ratio()-want) > 1e-6 {
			t.Fatalf("got %v, want ratio %v", p, want)
		}
	}
}

// A value from which no budget can be computed causes an error that names it.
func TestCheckRejects(t *testing.T) {
	for want, change := range map[string]func(*Rule, *Backend){
		"initial share 0":     func(r *Rule, _ *Backend) { r.InitialShare = 0 },
		"initial share NaN":   func(r *Rule, _ *Backend) { r.InitialShare = math.NaN() },
		"window -1s":          func(r *Rule, _ *Backend) { r.Window = -time.Second },
		"overload multiple 0": func(r *Rule, _ *Backend) { r.OverloadMultiple = 0 },
		"span 0s":             func(r *Rule, _ *Backend) { r.Span = 0 },
		"capacity 0":          func(_ *Rule, b *Backend) { b.Capacity = 0 },
		"mean work -1":        func(_ *Rule, b *Backend) { b.MeanWork = -1 },
	} {
		t.Run(want, func(t *testing.T) {
			r, b := rule, backend
			change(&r, &b)
			if _, err := r.Peak(b, nil); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("got error %v, want %q", err, want)
			}
		})
	}
}
