package outlier

import (
	"testing"
	"time"

	"hitchspring/internal/golden"
)

func TestGoldenObservation(t *testing.T) {
	golden.RequireTags(t, "cbor", message{})
	for name, o := range map[string]Observation{
		"good": {
			Backend: "n", Started: 3 * time.Second,
			SuccessEvidence: 7.5, FailureEvidence: 0.25, LastSuccess: 9 * time.Second, Cause: 1,
		},
		"bad": {
			Backend: "n", Started: 3 * time.Second,
			SuccessEvidence: 0.5, FailureEvidence: 8, LastFailure: 9 * time.Second, Onset: 8 * time.Second, Cause: 2,
		},
	} {
		golden.Compare(t, "opinion-"+name, o.Encode())
		read, err := Decode("n", 9*time.Second, golden.Read(t, "opinion-"+name))
		if err != nil {
			t.Fatal(err)
		}
		if string(read.Encode()) != string(o.Encode()) {
			t.Errorf("%s: got %+v, want %+v", name, read, o)
		}
	}
	if FactKind != "node" {
		t.Errorf("got kind %q, want %q", FactKind, "node")
	}
}
