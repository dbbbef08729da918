package zones

import (
	"slices"
	"testing"
	"time"
)

// loseAndReturn makes zone "a" fail and recover. It returns the share with which the recovery ramp starts, and its
// length.
func (f *testFleet) loseAndReturn() (firstShare float64, took time.Duration) {
	f.t.Helper()
	f.refusing["a"] = true
	f.run(5*time.Second, f.ownZoneIs(Lost))
	f.run(5*time.Second, nil) // a loss shorter than the ramp would shorten the ramp
	f.refusing["a"] = false
	if f.run(3*time.Second, f.ownZoneIs(Returning)) > 1500*ms {
		f.t.Fatal("the zone answers but is not returning within 1.5s")
	}
	firstShare = f.zoneStatus("a").RampShare
	if rate := f.entry("a").Rate; rate <= 0 {
		f.t.Fatalf("got rate %v of a returning zone, want it above 0", rate)
	}
	last := 0.0
	took = f.run(2*time.Minute, func() bool {
		s := f.zoneStatus("a")
		if s.RampShare < last {
			f.t.Fatalf("the ramp falls from %v to %v", last, s.RampShare)
		}
		last = s.RampShare
		return s.State == "up"
	})
	return firstShare, took
}

// A recovery ramp starts low, grows and ends. A loss soon after it makes the next ramp start lower and last longer,
// until the zone has been up for a while.
func TestFailureDuringRecoveryLengthensNextRamp(t *testing.T) {
	f := newTestFleet(t, Config{CautionDecayInterval: 5 * time.Second})
	f.run(3*time.Second, nil)
	share, took := f.loseAndReturn()
	if share > 0.35 || took < 3*time.Second || took > 6*time.Second {
		t.Fatalf("first return: got from %v for %v, want from at most 0.35 for 3s to 6s", share, took)
	}
	f.run(time.Second, nil)
	secondShare, secondTook := f.loseAndReturn()
	if secondShare > 0.6*share || secondTook < 3*took/2 || f.zoneStatus("a").Caution != 1 {
		t.Fatalf("second return: got from %v for %v, %+v; want more caution than the first, from %v for %v",
			secondShare, secondTook, f.zoneStatus("a"), share, took)
	}
	f.run(12*time.Second, nil)
	if caution := f.zoneStatus("a").Caution; caution != 0 {
		t.Fatalf("got caution %d after a stable period, want 0", caution)
	}
}

// If the endpoint list says that a zone's backends have just started, the ramp runs from that time at every instance,
// even at one that has not seen the loss.
func TestRampStartsAtRestartInEndpointList(t *testing.T) {
	const started = 100*time.Second - 500*ms
	var shares []float64
	for _, delay := range []time.Duration{0, 700 * ms} { // the second instance starts or receives the list later
		f := newTestFleet(t, Config{})
		f.now += delay
		for i := range f.list {
			if f.list[i].Zone == "b" {
				f.list[i].Started = started
			}
		}
		f.tracker.UpdateBackends(f.now, f.list, true)
		for f.now < 102*time.Second {
			f.now += 50 * ms
			f.event = f.tracker.Tick(f.now)
		}
		s := f.zoneStatus("b")
		if s.State != "returning" {
			t.Fatalf("got %+v, want it returning", s)
		}
		shares = append(shares, s.RampShare)
	}
	if d := shares[0] - shares[1]; d > 0.01 || d < -0.01 {
		t.Fatalf("got ramp shares %v at two instances, want them equal within 0.01", shares)
	}
}

// In a returning zone, a backend that has not answered since the loss gets no requests.
func TestUnprovenBackendGetsNoRequest(t *testing.T) {
	f := newTestFleet(t, Config{})
	f.run(2*time.Second, nil)
	f.refusing["a"] = true
	f.run(2*time.Second, f.ownZoneIs(Lost))
	for range 3 {
		for _, id := range f.tracker.DueProbes(f.now) {
			f.tracker.ProbeEnded(f.now, id, id == "a2")
		}
		f.now += 200 * ms
		f.event = f.tracker.Tick(f.now)
	}
	if s := f.zoneStatus("a"); s.State != "returning" {
		t.Fatalf("got %+v, want it returning", s)
	}
	if entry := f.entry("a"); slices.Contains(entry.Unproven, "a2") || len(entry.Unproven) != 3 {
		t.Fatalf("got unproven %v, want all but a2", entry.Unproven)
	}
}

// A zone drain takes a zone out of service and ends by itself. It is ignored while too little capacity would be left.
func TestDrain(t *testing.T) {
	f := newTestFleet(t, Config{})
	f.run(2*time.Second, nil)
	f.tracker.SetDrains(f.now, map[string]time.Duration{"a": f.now + 3*time.Second})
	f.run(100*ms, nil)
	if entry := f.entry("a"); entry.Rate != 0 || entry.Lost || f.zoneStatus("a").State != "drained" {
		t.Fatalf("got zone %+v in state %s, want it drained", entry, f.zoneStatus("a").State)
	}
	f.refusing["b"], f.refusing["c"] = true, true
	f.run(2*time.Second, nil)
	if entry := f.entry("a"); entry.Rate >= 0 {
		t.Fatalf("got %+v, want the drain lifted where all other zones are lost", f.status())
	}
	f.refusing = map[string]bool{}
	f.run(2*time.Second, nil)
	if got := f.zoneStatus("a").State; got != "returning" {
		t.Fatalf("got state %s after the drain, want returning", got)
	}
}
