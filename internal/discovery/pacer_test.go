package discovery

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// nextCallBound bounds the time from the moment discovery is reachable until the next call begins.
const nextCallBound = 6 * time.Second

// almostOne is the largest random number that the tests use.
const almostOne = 0.999999

// drawCall draws the result of a call.
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

// checkDelay fails if the delay after a call is out of bounds. overloaded says whether the rejections so far allow a
// longer delay.
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

// After any sequence of calls, the next call begins within its bound, counted from the beginning of a call without a
// response or from the end of a broken watch. Only continued or slow rejections may delay it further.
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

// After the first two rejections, an instance calls an overloaded discovery at most once in 4.2 s, and far less often
// if the rejections continue or cost discovery work. A successful call resets that.
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
					t.Errorf("got delay %v after a successful watch and a rejection, want at most %v",
						after, firstRejectionInterval.max)
				}
			}
		})
	}
}

// The Retry-After of a rejection is honored up to a bound, with a spread so that the instances don't call at one time.
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

// Watches that receive data and break at once, repeatedly, are opened no more often than if discovery was unreachable.
func TestPacerOfBriefWatches(t *testing.T) {
	p := newPacer(350)
	brief := callResult{outcome: watchBroken, took: 10 * time.Millisecond}
	if got := p.nextDelay(brief, 0); got != 0 {
		t.Errorf("got delay %v after the first brief watch, want none", got)
	}
	for range 3 {
		if got := p.nextDelay(brief, 0); got+brief.took != unreachableInterval.min {
			t.Errorf("got %v from a further brief watch to the next, want %v", got+brief.took, unreachableInterval.min)
		}
	}
	p.nextDelay(callResult{outcome: watchBroken, took: time.Minute}, 0)
	if got := p.nextDelay(brief, 0.5); got != reconnectSpread/2 {
		t.Errorf("got delay %v after a brief watch that follows a long one, want %v", got, reconnectSpread/2)
	}
}
