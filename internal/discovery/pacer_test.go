package discovery

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// afterReach is when the next call has to begin at the latest, from the moment discovery can be reached.
const afterReach = 6 * time.Second

// Whatever came before, the next call begins within the bound, counted from the beginning of a call that wasn't answered, and
// from the end of a watch that broke; only refusals that go on, or name a time, may put it off.
func TestPacerBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPacer(rapid.SampledFrom([]int{1, 2, 20, 21, 24, 100, 350, 580, 5000}).Draw(t, "instances"))
		if start := p.startDelay(rapid.Float64Range(0, 0.999999).Draw(t, "start")); start < 0 || start > startSpread {
			t.Fatalf("starts after %v", start)
		}
		refusals, slow := 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			r := callResult{outcome: rapid.SampledFrom([]callOutcome{watchBroken, watchSilent, unreachable, rejected}).Draw(t, "ending")}
			r.took = time.Duration(rapid.Int64Range(0, int64(discoveryTimeout)).Draw(t, "took"))
			if r.outcome == watchSilent {
				r.took += silenceTimeout
			}
			refusals++
			slow++
			if r.outcome != rejected {
				refusals = 0
			}
			if r.outcome != rejected || r.took < slowRejection {
				slow = 0
			}
			wait := p.nextDelay(r, rapid.Float64Range(0, 0.999999).Draw(t, "chance"))
			if wait < 0 || wait > 27*time.Second {
				t.Fatalf("%+v is followed by a pause of %v", r, wait)
			}
			switch r.outcome {
			case watchBroken:
				if wait > maxCallInterval {
					t.Fatalf("a watch that broke is followed by a pause of %v", wait)
				}
			case watchSilent:
				if wait > 0 {
					t.Fatalf("a silent watch is followed by a pause of %v", wait)
				}
			case unreachable:
				if r.took+wait > maxCallInterval {
					t.Fatalf("%+v: %v from one call to the next", r, r.took+wait)
				}
			case rejected:
				if refusals <= toleratedRejections && slow == 0 && r.took+wait > afterReach {
					t.Fatalf("%+v: %v from one call to the next after %d refusals", r, r.took+wait, refusals)
				}
			}
		}
	})
}

// An overloaded discovery gets a call of each in 4.2 s at the least after the first two, and far fewer calls where refusals
// go on or cost it work; an answer ends that.
func TestPacerUnderOverload(t *testing.T) {
	for _, c := range []struct {
		name  string
		took  time.Duration
		calls int
		least time.Duration // from one call to the next, in the end
		most  time.Duration
	}{
		{"at once", 0, toleratedRejections, rejectionInterval.min, rejectionInterval.max},
		{"at once, for long", 0, toleratedRejections + 1, 4400 * time.Millisecond, 13200 * time.Millisecond},
		{"at once, for longer", 0, toleratedRejections + 2, 8800 * time.Millisecond, 26400 * time.Millisecond},
		{"after work, once", slowRejection, 1, 4400 * time.Millisecond, 13200 * time.Millisecond},
		{"after work", slowRejection, 2, 8800 * time.Millisecond, 26400 * time.Millisecond},
	} {
		for _, chance := range []float64{0, 0.999999} {
			p := newPacer(350)
			r := callResult{outcome: rejected, took: c.took}
			var between time.Duration
			for range c.calls {
				between = p.nextDelay(r, chance) + c.took
			}
			if between < c.least || between > c.most {
				t.Errorf("%s: %v from one call to the next, want %v to %v", c.name, between, c.least, c.most)
			}
			p.nextDelay(callResult{outcome: watchBroken, took: time.Minute}, chance)
			if after := p.nextDelay(callResult{outcome: rejected}, chance); after > firstRejectionInterval.max {
				t.Errorf("%s: after an answer and a further refusal %v", c.name, after)
			}
		}
	}
}

// A time that a refusal names is kept to, within a bound, and not by all in the same moment.
func TestPacerRetryAfter(t *testing.T) {
	for named, want := range map[time.Duration][2]time.Duration{
		0:               {firstRejectionInterval.min, firstRejectionInterval.max},
		8 * time.Second: {8 * time.Second, 12 * time.Second},
		time.Hour:       {maxRetryAfter, maxRetryAfter + reconnectSpread},
		time.Second:     {firstRejectionInterval.min, time.Second + reconnectSpread},
	} {
		for i, chance := range []float64{0, 0.999999} {
			p := newPacer(100)
			wait := p.nextDelay(callResult{outcome: rejected, retryAfter: named}, chance)
			if off := wait - want[i]; off < -time.Millisecond || off > time.Millisecond {
				t.Errorf("told to wait for %v: %v, want %v", named, wait, want[i])
			}
		}
	}
}

// A watch that tells and breaks at once, again and again, is opened no more often than one that can't be reached.
func TestPacerOfBriefWatches(t *testing.T) {
	p := newPacer(350)
	brief := callResult{outcome: watchBroken, took: 10 * time.Millisecond}
	if wait := p.nextDelay(brief, 0); wait != 0 {
		t.Errorf("the first is followed by a pause of %v", wait)
	}
	for range 3 {
		if wait := p.nextDelay(brief, 0); wait+brief.took != unreachableInterval.min {
			t.Errorf("a further one is followed by a pause of %v", wait)
		}
	}
	p.nextDelay(callResult{outcome: watchBroken, took: time.Minute}, 0)
	if wait := p.nextDelay(brief, 0.5); wait != reconnectSpread/2 {
		t.Errorf("one after a long watch is followed by a pause of %v", wait)
	}
}
