package outlier

import (
	"testing"
	"time"

	"hitchspring/policy"
)

// Only observations that peers need are published, and none repeatedly.
func TestPublisher(t *testing.T) {
	d, now := newDetectorWithSamples()
	p := NewPublisher()
	type onsets = map[policy.BackendID]time.Duration
	noReports := onsets{}
	oldFault := onsets{"n": now - time.Minute}
	if got := p.Select(now, d.Observations(now, nil), noReports); len(got) != 0 {
		t.Fatalf("got %v of healthy backends, want none", got)
	}
	got := p.Select(now, d.Observations(now, nil), oldFault)
	if len(got) != 1 || got[0].Backend != "n" || got[0].IsAdverse() {
		t.Fatalf("got %v, want a defence of the reported backend", got)
	}
	if got := p.Select(now+ms, d.Observations(now, nil), oldFault); len(got) != 0 {
		t.Fatalf("got the same defence %v again, want none", got)
	}
	if got := p.Select(now+ms, d.Observations(now, nil), onsets{"m": now + ms}); len(got) != 0 {
		t.Fatalf("got %v, want none: successes from before the fault are no defence", got)
	}
	for i := range 5 {
		id := AttemptID{policy.RequestID(900 + i), 0}
		d.AttemptSent(now, "m", id, "read")
		d.AttemptEnded(now+time.Duration(i)*ms, id, policy.Reset)
	}
	published := 0
	for i := range 100 {
		published += len(p.Select(now+time.Duration(i)*50*ms, d.Observations(now+5*ms, nil), noReports))
	}
	if published != 1 {
		t.Fatalf("got %d publications of a failing backend, want 1", published)
	}
}
