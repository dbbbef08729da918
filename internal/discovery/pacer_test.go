package discovery

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// nextCallBound is when the next call has to begin at the latest, from the moment discovery can be reached.
const nextCallBound = 6 * time.Second

// almostOne is the largest random number that the tests use.
const almostOne = 0.999999

// drawCall draws a call that has ended.
func drawCall(t *rapid.T) callResult {
	call := callResult{
		outcome: rapid.SampledFrom([]callOutcome{watchBroken, watchSilent, unreachable, rejected}).Draw(t, "outcome"),
		took:    time.Duration(rapid.Int64Range(0, int64(discoveryTimeout)).Draw(t, "took")),
	}
	if call.outcome == watchSilent {
		call.took += silenceTimeout
	}
	return call
}

// checkDelay fails if a delay after a call is out of its bounds. overloaded says whether the rejections so far may put
// off the next call further.
func checkDelay(t *rapid.T, call callResult, delay time.Duration, overloaded bool) {
	if delay < 0 || delay > 27*time.Second {
		t.Fatalf("got delay %v after %+v, want 0 to 27s", delay, call)
	}
	callInterval := call.took + delay
	switch call.outcome {
	case watchBroken:
		if delay > maxCallInterval {
			t.Fatalf("got delay %v after a broken watch, want at most %v", delay, maxCallInterval)
		}
	case watchSilent:
		if delay > 0 {
			t.Fatalf("got delay %v after a silent watch, want none", delay)
		}
	case unreachable:
		if callInterval > maxCallInterval {
			t.Fatalf("%+v: got %v from one call to the next, want at most %v", call, callInterval, maxCallInterval)
		}
	case rejected:
		if !overloaded && callInterval > nextCallBound {
			t.Fatalf("%+v: got %v from one call to the next, want at most %v", call, callInterval, nextCallBound)
		}
	}
}

// Whatever came before, the next call begins within the bound, counted from the beginning of a call that wasn't
// answered, and from the end of a watch that broke; only rejections that go on, or name a time, may put it off.
func TestPacerBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPacer(rapid.SampledFrom([]int{1, 2, 20, 21, 24, 100, 350, 580, 5000}).Draw(t, "instances"))
		start := p.startDelay(rapid.Float64Range(0, almostOne).Draw(t, "start"))
		if start < 0 || start > startSpread {
			t.Fatalf("got start delay %v, want 0 to %v", start, startSpread)
		}
		rejections, slowRejections := 0, 0 // in a row
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			call := drawCall(t)
			rejections++
			slowRejections++
			if call.outcome != rejected {
				rejections = 0
			}
			if call.outcome != rejected || call.took < slowRejection {
				slowRejections = 0
			}
			delay := p.nextDelay(call, rapid.Float64Range(0, almostOne).Draw(t, "random"))
			checkDelay(t, call, delay, rejections > toleratedRejections || slowRejections > 0)
		}
	})
}

// An overloaded discovery gets a call of each instance in 4.2 s at the least after the first two, and far fewer calls
// where rejections go on or cost it work; an answer ends that.
func TestPacerUnderOverload(t *testing.T) {
	for name, c := range map[string]struct {
		took     time.Duration // of each rejection
		calls    int
		min, max time.Duration // from the last call to the next
	}{
		"at once":             {0, toleratedRejections, rejectionInterval.min, rejectionInterval.max},
		"at once, for long":   {0, toleratedRejections + 1, 4400 * time.Millisecond, 13200 * time.Millisecond},
		"at once, for longer": {0, toleratedRejections + 2, 8800 * time.Millisecond, 26400 * time.Millisecond},
		"after work, once":    {slowRejection, 1, 4400 * time.Millisecond, 13200 * time.Millisecond},
		"after work":          {slowRejection, 2, 8800 * time.Millisecond, 26400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			for _, random := range []float64{0, almostOne} {
				p := newPacer(350)
				var callInterval time.Duration
				for range c.calls {
					callInterval = c.took + p.nextDelay(callResult{outcome: rejected, took: c.took}, random)
				}
				if callInterval < c.min || callInterval > c.max {
					t.Errorf("got %v from one call to the next, want %v to %v", callInterval, c.min, c.max)
				}
				p.nextDelay(callResult{outcome: watchBroken, took: time.Minute}, random)
				after := p.nextDelay(callResult{outcome: rejected}, random)
				if after > firstRejectionInterval.max {
					t.Errorf("got delay %v after an answer and a rejection, want at most %v",
						after, firstRejectionInterval.max)
				}
			}
		})
	}
}

// A time that a rejection names is honored, within a bound, and not by all instances at one moment.
func TestPacerRetryAfter(t *testing.T) {
	for retryAfter, want := range map[time.Duration]interval{
		0:               firstRejectionInterval,
		8 * time.Second: {8 * time.Second, 12 * time.Second},
		time.Hour:       {maxRetryAfter, maxRetryAfter + reconnectSpread},
		time.Second:     {firstRejectionInterval.min, time.Second + reconnectSpread},
	} {
		for random, want := range map[float64]time.Duration{0: want.min, almostOne: want.max} {
			p := newPacer(100)
			got := p.nextDelay(callResult{outcome: rejected, retryAfter: retryAfter}, random)
			if off := got - want; off < -time.Millisecond || off > time.Millisecond {
				t.Errorf("Retry-After %v: got delay %v, want %v", retryAfter, got, want)
			}
		}
	}
}

// A watch that brings something and breaks at once, repeatedly, is opened no more often than one that can't be reached.
func TestPacerOfBriefWatches(t *testing.T) {
	p := newPacer(350)
	brief := callResult{outcome: watchBroken, took: 10 * time.Millisecond}
	if got := p.nextDelay(brief, 0); got != 0 {
		t.Errorf("got delay %v after the first, want none", got)
	}
	for range 3 {
		if got := p.nextDelay(brief, 0); got+brief.took != unreachableInterval.min {
			t.Errorf("got %v from a further one to the next, want %v", got+brief.took, unreachableInterval.min)
		}
	}
	p.nextDelay(callResult{outcome: watchBroken, took: time.Minute}, 0)
	if got := p.nextDelay(brief, 0.5); got != reconnectSpread/2 {
		t.Errorf("got delay %v after one that follows a long watch, want %v", got, reconnectSpread/2)
	}
}
