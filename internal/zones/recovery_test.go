package zones

import (
	"slices"
	"testing"
	"time"
)

// loseAndReturn lets zone "a" be lost and return, and returns the share with which its ramp begins, and its length.
func (f *testFleet) loseAndReturn() (firstShare float64, took time.Duration) {
	f.t.Helper()
	f.refusing["a"] = true
	f.run(5*time.Second, f.ownIs(Lost))
	f.run(5*time.Second, nil) // a loss that is shorter than the ramp shortens it
	f.refusing["a"] = false
	if f.run(3*time.Second, f.ownIs(Returning)) > 1500*ms {
		f.t.Fatal("the zone answers, and is not found returning within 1.5s")
	}
	firstShare = f.zoneStatus("a").Ramp
	if rate := f.fact("a").Rate; rate <= 0 {
		f.t.Fatalf("got rate %v of a returning zone, want it above 0", rate)
	}
	last := 0.0
	took = f.run(2*time.Minute, func() bool {
		s := f.zoneStatus("a")
		if s.Ramp < last {
			f.t.Fatalf("the ramp falls from %v to %v", last, s.Ramp)
		}
		last = s.Ramp
		return s.State == "up"
	})
	return firstShare, took
}

// A return begins low, grows, and ends; a failure within it begins the next one lower and makes it longer, and calm
// forgets that.
func TestReturnAndAgain(t *testing.T) {
	f := newTestFleet(t, Config{Forget: 5 * time.Second})
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
		t.Fatalf("got caution %d after calm, want 0", caution)
	}
}

// Where the list says that a zone's backends have just started, its ramp runs from that time, at each instance alike,
// and whether or not it saw the loss.
func TestRampByList(t *testing.T) {
	const started = 100*time.Second - 500*ms
	var shares []float64
	for _, delay := range []time.Duration{0, 700 * ms} { // the second instance starts, or gets the list, later
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
			f.facts = f.tracker.Tick(f.now)
		}
		s := f.zoneStatus("b")
		if s.State != "returning" {
			t.Fatalf("got %+v, want it returning", s)
		}
		shares = append(shares, s.Ramp)
	}
	if d := shares[0] - shares[1]; d > 0.01 || d < -0.01 {
		t.Fatalf("got ramp shares %v at two instances, want them equal within 0.01", shares)
	}
}

// A backend that has not answered since the loss gets no request, though its zone is returning.
func TestProofByBackend(t *testing.T) {
	f := newTestFleet(t, Config{})
	f.run(2*time.Second, nil)
	f.refusing["a"] = true
	f.run(2*time.Second, f.ownIs(Lost))
	for range 3 {
		for _, id := range f.tracker.DueProbes(f.now) {
			f.tracker.ProbeEnded(f.now, id, id == "a2")
		}
		f.now += 200 * ms
		f.facts = f.tracker.Tick(f.now)
	}
	if s := f.zoneStatus("a"); s.State != "returning" {
		t.Fatalf("got %+v, want it returning", s)
	}
	if fact := f.fact("a"); slices.Contains(fact.Unproven, "a2") || len(fact.Unproven) != 3 {
		t.Fatalf("got unproven %v, want all but a2", fact.Unproven)
	}
}

// A drain takes a zone out, ends by itself, and is not honored where it would leave too little.
func TestDrain(t *testing.T) {
	f := newTestFleet(t, Config{})
	f.run(2*time.Second, nil)
	f.tracker.SetDrains(f.now, map[string]time.Duration{"a": f.now + 3*time.Second})
	f.run(100*ms, nil)
	if fact := f.fact("a"); fact.Rate != 0 || fact.Lost || f.zoneStatus("a").State != "drained" {
		t.Fatalf("got fact %+v in state %s, want it drained", fact, f.zoneStatus("a").State)
	}
	f.refusing["b"], f.refusing["c"] = true, true
	f.run(2*time.Second, nil)
	if fact := f.fact("a"); fact.Rate >= 0 {
		t.Fatalf("got %+v, want the drain lifted where all other zones are lost", f.status())
	}
	f.refusing = map[string]bool{}
	f.run(2*time.Second, nil)
	if got := f.zoneStatus("a").State; got != "returning" {
		t.Fatalf("got state %s after the drain, want returning", got)
	}
}
