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
		if start := p.start(rapid.Float64Range(0, 0.999999).Draw(t, "start")); start < 0 || start > startWithin {
			t.Fatalf("starts after %v", start)
		}
		refusals, slow := 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			r := result{ending: rapid.SampledFrom([]ending{broken, silent, unreached, refused}).Draw(t, "ending")}
			r.took = time.Duration(rapid.Int64Range(0, int64(callTimeout)).Draw(t, "took"))
			if r.ending == silent {
				r.took += watchSilence
			}
			refusals++
			slow++
			if r.ending != refused {
				refusals = 0
			}
			if r.ending != refused || r.took < slowRefusal {
				slow = 0
			}
			wait := p.wait(r, rapid.Float64Range(0, 0.999999).Draw(t, "chance"))
			if wait < 0 || wait > 27*time.Second {
				t.Fatalf("%+v is followed by a pause of %v", r, wait)
			}
			switch r.ending {
			case broken:
				if wait > longestGap {
					t.Fatalf("a watch that broke is followed by a pause of %v", wait)
				}
			case silent:
				if wait > 0 {
					t.Fatalf("a silent watch is followed by a pause of %v", wait)
				}
			case unreached:
				if r.took+wait > longestGap {
					t.Fatalf("%+v: %v from one call to the next", r, r.took+wait)
				}
			case refused:
				if refusals <= quickRefusals && slow == 0 && r.took+wait > afterReach {
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
		{"at once", 0, quickRefusals, afterRefused.least, afterRefused.most},
		{"at once, for long", 0, quickRefusals + 1, 4400 * time.Millisecond, 13200 * time.Millisecond},
		{"at once, for longer", 0, quickRefusals + 2, 8800 * time.Millisecond, 26400 * time.Millisecond},
		{"after work, once", slowRefusal, 1, 4400 * time.Millisecond, 13200 * time.Millisecond},
		{"after work", slowRefusal, 2, 8800 * time.Millisecond, 26400 * time.Millisecond},
	} {
		for _, chance := range []float64{0, 0.999999} {
			p := newPacer(350)
			r := result{ending: refused, took: c.took}
			var between time.Duration
			for range c.calls {
				between = p.wait(r, chance) + c.took
			}
			if between < c.least || between > c.most {
				t.Errorf("%s: %v from one call to the next, want %v to %v", c.name, between, c.least, c.most)
			}
			p.wait(result{ending: broken, took: time.Minute}, chance)
			if after := p.wait(result{ending: refused}, chance); after > afterFirstRefusal.most {
				t.Errorf("%s: after an answer and a further refusal %v", c.name, after)
			}
		}
	}
}

// A time that a refusal names is kept to, within a bound, and not by all in the same moment.
func TestPacerRetryAfter(t *testing.T) {
	for named, want := range map[time.Duration][2]time.Duration{
		0:               {afterFirstRefusal.least, afterFirstRefusal.most},
		8 * time.Second: {8 * time.Second, 12 * time.Second},
		time.Hour:       {longestNamed, longestNamed + returnWithin},
		time.Second:     {afterFirstRefusal.least, time.Second + returnWithin},
	} {
		for i, chance := range []float64{0, 0.999999} {
			p := newPacer(100)
			wait := p.wait(result{ending: refused, retryAfter: named}, chance)
			if off := wait - want[i]; off < -time.Millisecond || off > time.Millisecond {
				t.Errorf("told to wait for %v: %v, want %v", named, wait, want[i])
			}
		}
	}
}

// A watch that tells and breaks at once, again and again, is opened no more often than one that can't be reached.
func TestPacerOfBriefWatches(t *testing.T) {
	p := newPacer(350)
	brief := result{ending: broken, took: 10 * time.Millisecond}
	if wait := p.wait(brief, 0); wait != 0 {
		t.Errorf("the first is followed by a pause of %v", wait)
	}
	for range 3 {
		if wait := p.wait(brief, 0); wait+brief.took != afterUnreached.least {
			t.Errorf("a further one is followed by a pause of %v", wait)
		}
	}
	p.wait(result{ending: broken, took: time.Minute}, 0)
	if wait := p.wait(brief, 0.5); wait != returnWithin/2 {
		t.Errorf("one after a long watch is followed by a pause of %v", wait)
	}
}
