package outlier

import (
	"slices"
	"testing"
	"time"

	"hitchspring/policy"
)

// newDetectorWithSamples returns a detector with two backends, "n" and "m", that have each answered 20 attempts in 100
// ms, and the present time.
func newDetectorWithSamples() (*LocalDetector, time.Duration) {
	d := NewLocalDetector()
	d.SetBackends(map[policy.BackendID]time.Duration{"n": 1, "m": 1})
	now := time.Minute
	for round := range 20 {
		for i, backend := range []policy.BackendID{"n", "m"} {
			id := AttemptID{policy.RequestID(2*round + i), 0}
			d.AttemptSent(now, backend, id, "read")
			d.AttemptEnded(now+100*ms, id, policy.Succeeded)
		}
		now += 100 * ms
	}
	return d, now
}

// detectorStep applies a step to a detector at the present time, and returns the time after the step.
type detectorStep func(d *LocalDetector, now time.Duration) time.Duration

func send(backend policy.BackendID, id AttemptID) detectorStep {
	return func(d *LocalDetector, now time.Duration) time.Duration {
		d.AttemptSent(now, backend, id, "read")
		return now
	}
}

func wait(span time.Duration) detectorStep {
	return func(_ *LocalDetector, now time.Duration) time.Duration { return now + span }
}

func end(id AttemptID, outcome policy.Outcome) detectorStep {
	return func(d *LocalDetector, now time.Duration) time.Duration {
		d.AttemptEnded(now, id, outcome)
		return now
	}
}

func tick(d *LocalDetector, now time.Duration) time.Duration {
	d.Tick(now)
	return now
}

// restart sets a later start time for backend "n".
func restart(d *LocalDetector, now time.Duration) time.Duration {
	d.SetBackends(map[policy.BackendID]time.Duration{"n": 2, "m": 1})
	return now
}

// Attempts that take too long, superseded attempts and failures are adverse evidence; attempts that were cancelled
// early or never sent are not. One failure makes an observation adverse, and the next success ends that.
func TestLocalDetector(t *testing.T) {
	first, second, next := AttemptID{900, 0}, AttemptID{900, 1}, AttemptID{901, 0}
	for name, c := range map[string]struct {
		steps []detectorStep
		want  Cause // NoCause: not adverse
	}{
		"answers in time": {[]detectorStep{
			send("n", first), wait(150 * ms), end(first, policy.Succeeded),
		}, NoCause},
		"takes long, and has not ended": {[]detectorStep{send("n", first), wait(700 * ms), tick}, Slow},
		"takes long, and is served at last": {[]detectorStep{
			send("n", first), wait(700 * ms), tick, wait(100 * ms), end(first, policy.Succeeded),
		}, Slow},
		"superseded by a later attempt": {[]detectorStep{
			send("n", first), wait(200 * ms), send("m", second), wait(100 * ms),
			end(second, policy.Succeeded), end(first, policy.Canceled),
		}, Slow},
		"the later attempt is superseded": {[]detectorStep{
			send("m", first), wait(200 * ms), send("n", second), wait(100 * ms),
			end(first, policy.Succeeded), end(second, policy.Canceled),
		}, NoCause},
		"cancelled because its client has disconnected": {[]detectorStep{
			send("n", first), wait(300 * ms), end(first, policy.Canceled),
		}, NoCause},
		"unreachable": {[]detectorStep{
			send("n", first), wait(ms), end(first, policy.NoConnect),
		}, Unreachable},
		"rejected for lack of capacity": {[]detectorStep{
			send("n", first), wait(ms), end(first, policy.Rejected),
		}, NoCause},
		"a failure, then a success": {[]detectorStep{
			send("n", first), wait(ms), end(first, policy.Reset),
			send("n", next), wait(99 * ms), end(next, policy.Succeeded),
		}, NoCause},
		"backend has restarted meanwhile": {[]detectorStep{
			send("n", first), restart, wait(ms), end(first, policy.Reset),
		}, NoCause},
	} {
		t.Run(name, func(t *testing.T) {
			d, now := newDetectorWithSamples()
			for _, step := range c.steps {
				now = step(d, now)
			}
			got, _ := d.Observation(now, "n")
			wantAdverse := c.want != NoCause
			if got.IsAdverse() != wantAdverse || wantAdverse && got.Cause != c.want {
				t.Errorf("got %+v, want adverse %v with cause %q", got, wantAdverse, c.want)
			}
			if o, _ := d.Observation(now, "m"); o.IsAdverse() {
				t.Errorf("got %+v of the other backend, want it not adverse", o)
			}
			if len(d.attempts) > 1 {
				t.Errorf("got %d attempts in flight, want at most 1", len(d.attempts))
			}
		})
	}
}

// normalLatency is the latency of healthy backends in a testFleet.
const normalLatency = 50 * ms

// testFleet is a detector with twelve backends and one request class.
type testFleet struct {
	*LocalDetector
	now      time.Duration
	requests policy.RequestID
}

const fleetSize = 12

func fleetBackend(number int) policy.BackendID { return policy.BackendID(string(rune('a' + number))) }

// newTestFleet returns a fleet that has answered for a while with the normal latency.
func newTestFleet() *testFleet {
	f := &testFleet{LocalDetector: NewLocalDetector(), now: time.Hour}
	starts := map[policy.BackendID]time.Duration{}
	for number := range fleetSize {
		starts[fleetBackend(number)] = 1
	}
	f.SetBackends(starts)
	for range 20 {
		for number := range fleetSize {
			id, endsAt := f.send(number, 1)
			f.AttemptEnded(endsAt, id, policy.Succeeded)
		}
		f.now += normalLatency
	}
	return f
}

// send sends an attempt to a backend. It returns the id of the attempt and when it ends: after slowness times the
// normal latency.
func (f *testFleet) send(number int, slowness float64) (AttemptID, time.Duration) {
	f.requests++
	id := AttemptID{f.requests, 0}
	f.AttemptSent(f.now, fleetBackend(number), id, "c")
	return id, f.now + time.Duration(slowness*float64(normalLatency))
}

// end ticks until endsAt and ends an attempt.
func (f *testFleet) end(id AttemptID, endsAt time.Duration, outcome policy.Outcome) {
	for ; f.now < endsAt; f.now += 5 * ms {
		f.Tick(f.now)
	}
	if outcome == policy.Canceled { // a later attempt was served first
		f.AttemptSent(endsAt-normalLatency, "z", AttemptID{id.Request, 1}, "c")
		f.lastServed = AttemptID{id.Request, 1}
	}
	f.AttemptEnded(endsAt, id, outcome)
}

// sendToAll sends an attempt to each backend and ends the attempts in the order of their end times. Those that take
// more than three times the normal latency end with slowOutcome, the others succeed.
func (f *testFleet) sendToAll(slowness func(number int) float64, slowOutcome policy.Outcome) {
	type attemptEnd struct {
		id      AttemptID
		at      time.Duration
		outcome policy.Outcome
	}
	var ends []attemptEnd
	for number := range fleetSize {
		outcome := policy.Succeeded
		if slowness(number) > 3 {
			outcome = slowOutcome
		}
		id, endsAt := f.send(number, slowness(number))
		ends = append(ends, attemptEnd{id, endsAt, outcome})
	}
	slices.SortStableFunc(ends, func(a, b attemptEnd) int { return int(a.at - b.at) })
	for _, e := range ends {
		f.end(e.id, e.at, e.outcome)
	}
}

func (f *testFleet) adverseBackends() []policy.BackendID {
	var adverse []policy.BackendID
	for _, o := range f.Observations(f.now, nil) {
		if o.IsAdverse() {
			adverse = append(adverse, o.Backend)
		}
	}
	return adverse
}

// A backend is compared with the others: if all are slow at once, none is adverse, whether they answer late, time out,
// are superseded or have not answered yet. One that is much slower than the others is adverse, even if those are a
// little slow.
func TestFleetLatency(t *testing.T) {
	all := func(slowness float64) func(int) float64 { return func(int) float64 { return slowness } }
	oneBeside := func(slowness, others float64) func(int) float64 {
		return func(number int) float64 {
			if number == 0 {
				return slowness
			}
			return others
		}
	}
	quarter := func(number int) float64 { return []float64{10, 1, 1, 1}[number%4] }
	uneven := func(number int) float64 { return 8 + float64(number%3) }
	for name, c := range map[string]struct {
		slowness    func(number int) float64
		slowOutcome policy.Outcome // of slow attempts
		wantAdverse int            // backends
	}{
		"all are healthy":             {all(1), policy.Succeeded, 0},
		"one is slow":                 {oneBeside(10, 1), policy.Succeeded, 1},
		"one is unreachable":          {oneBeside(20, 1), policy.TimedOut, 1},
		"one is superseded":           {oneBeside(5, 1), policy.Canceled, 1},
		"all are slow":                {all(10), policy.Succeeded, 0},
		"all are slow, unevenly":      {uneven, policy.Succeeded, 0},
		"all are slow and time out":   {all(10), policy.TimedOut, 0},
		"all are slow and superseded": {all(10), policy.Canceled, 0},
		"all are slower, one is slow": {oneBeside(30, 3), policy.Succeeded, 1},
		"a quarter is slow":           {quarter, policy.Succeeded, 3},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet()
			f.sendToAll(c.slowness, c.slowOutcome)
			adverse := f.adverseBackends()
			if len(adverse) != c.wantAdverse {
				t.Errorf("got %v adverse, want %d backends", adverse, c.wantAdverse)
			}
		})
	}
}
