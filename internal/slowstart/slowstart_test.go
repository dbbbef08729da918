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

// at is so many requests of mean work, each from another instance.
func at(age time.Duration, requests int) (out []Arrival) {
	for i := range requests {
		out = append(out, Arrival{At: backend.Started + age, Work: backend.MeanWork, Instance: i, Notified: true})
	}
	return out
}

func peak(t *testing.T, came []Arrival) Peak {
	t.Helper()
	p, err := rule.Peak(backend, came)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// The limit is the standing test's, and N grows with the backend's warmth.
func TestLimit(t *testing.T) {
	if got := Limit(16); got != 26 {
		t.Errorf("limit of 16: %v", got)
	}
	for age, want := range map[time.Duration]float64{0: 16, 9 * time.Second: 40, 18 * time.Second: 64, time.Hour: 64} {
		if got := rule.Budget(backend, backend.Started+age); math.Abs(got-want) > 1e-9 {
			t.Errorf("N at %v: %v, want %v", age, got, want)
		}
	}
}

// At the limit it stands, with one more it falls.
func TestEdge(t *testing.T) {
	if p := peak(t, at(0, 26)); p.IsOverload() || p.Ratio() != 1 || p.Instances != 26 {
		t.Error(p)
	}
	if p := peak(t, at(0, 27)); !p.IsOverload() || !p.IsViolation() {
		t.Error(p)
	}
	half := at(0, 27)
	for i := range half {
		half[i].Notified = i < 18 // two thirds, and not over it
	}
	if p := peak(t, half); !p.IsOverload() || p.IsViolation() {
		t.Errorf("%v: too few were told of the start", p)
	}
}

// What does not lie within one span is not added up, nor what came before the start or to a warm backend.
func TestWindows(t *testing.T) {
	for name, came := range map[string][]Arrival{
		"one span apart": append(at(0, 20), at(time.Second+1, 20)...),
		"before":         append(at(-1, 100), at(0, 20)...),
		"warm":           append(at(0, 20), at(18*time.Second, 100)...),
		"out of order":   append(at(2*time.Second, 20), at(0, 20)...),
	} {
		if p := peak(t, came); math.Abs(p.Arrivals-20) > 1e-9 || p.IsOverload() {
			t.Errorf("%s: %v", name, p)
		}
	}
	if p := peak(t, append(at(0, 20), at(time.Second, 20)...)); math.Abs(p.Arrivals-40) > 1e-9 || !p.IsOverload() {
		t.Errorf("within a span: %v", p)
	}
	if p := peak(t, nil); p != (Peak{}) || p.IsOverload() || p.Ratio() != 0 {
		t.Errorf("nothing came: %v", p)
	}
}

// The sliding sum is the plain one over each window.
func TestAgainstPlainSums(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		var came []Arrival
		for range rng.IntN(60) {
			came = append(came, Arrival{
				At:   backend.Started + time.Duration(rng.IntN(20000))*time.Millisecond,
				Work: rng.ExpFloat64() / 8, Instance: rng.IntN(5),
			})
		}
		most := 0.0
		for _, last := range came {
			if last.At-backend.Started >= rule.Window {
				continue
			}
			work := 0.0
			for _, a := range came {
				if a.At <= last.At && a.At >= last.At-rule.Span {
					work += a.Work
				}
			}
			most = max(most, work/backend.MeanWork/Limit(rule.Budget(backend, last.At)))
		}
		if p := peak(t, came); math.Abs(p.Ratio()-most) > 1e-6 {
			t.Fatalf("%v, the plain sums come to %v", p, most)
		}
	}
}

// A figure that no budget can be reckoned with is an error that names it.
func TestBadFigures(t *testing.T) {
	for want, change := range map[string]func(*Rule, *Backend){
		"cold share 0":   func(r *Rule, _ *Backend) { r.InitialShare = 0 },
		"cold share NaN": func(r *Rule, _ *Backend) { r.InitialShare = math.NaN() },
		"warm after -1s": func(r *Rule, _ *Backend) { r.Window = -time.Second },
		"multiple 0":     func(r *Rule, _ *Backend) { r.OverloadMultiple = 0 },
		"span 0s":        func(r *Rule, _ *Backend) { r.Span = 0 },
		"capacity 0":     func(_ *Rule, b *Backend) { b.Capacity = 0 },
		"mean work -1":   func(_ *Rule, b *Backend) { b.MeanWork = -1 },
	} {
		r, b := rule, backend
		change(&r, &b)
		if _, err := r.Peak(b, nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}
