package outlier

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawObservation draws an observation whose last success is an hour after the epoch.
func drawObservation(t *rapid.T) Observation {
	t.Helper()
	o := Observation{
		Backend:         "n",
		Started:         ms * time.Duration(rapid.Int64Range(0, 1<<40).Draw(t, "started")),
		SuccessEvidence: rapid.Float64Range(0, maxEvidence).Draw(t, "good"),
		FailureEvidence: rapid.Float64Range(0, maxEvidence).Draw(t, "bad"),
		Cause:           Failing,
		LastSuccess:     time.Hour,
		LastFailure:     time.Hour + ms*time.Duration(rapid.Int64Range(-1000, 1000).Draw(t, "last bad")),
	}
	o.Onset = o.LastFailure - ms*time.Duration(rapid.Int64Range(0, 10000).Draw(t, "onset"))
	return o
}

// Decode restores the times and the start of any encoded observation.
func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawObservation(t)
		got, err := Decode("n", want.ObservedAt(), want.Encode())
		if err != nil {
			t.Fatalf("decoding %+v: %v", want, err)
		}
		same := got.IsAdverse() == want.IsAdverse() && got.Started == want.Started
		if want.IsAdverse() {
			same = same && got.Onset == want.Onset && got.LastFailure == want.LastFailure
		} else {
			same = same && got.LastSuccess == want.LastSuccess
		}
		if !same {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

func TestDecodeRejects(t *testing.T) {
	for name, data := range map[string][]byte{
		"nothing":                   nil,
		"a lone break":              {0xff},
		"text":                      []byte("nonsense"),
		"infinite good":             {0xa1, 2, 0xfb, 0x7f, 0xf0, 0, 0, 0, 0, 0, 0},
		"adverse without evidence":  {0xa1, 4, 0xf5},
		"an onset after the report": {0xa1, 5, 0x20},
	} {
		t.Run(name, func(t *testing.T) {
			if o, err := Decode("n", now, data); err == nil {
				t.Errorf("got %+v from %x, want an error", o, data)
			}
		})
	}
}
