package trial

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"
)

// Three real processes, one of them cut off from the counter while a channel asks for five times its quota: it says that it is alone, and passes on no more than
// it had stated before, and overdraws the channel by no more, with even parts and with parts that move. The other rules have tests of their own, which a full machine disturbs less.
func TestStatedBeforeTheCut(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	var out bytes.Buffer
	results, err := Run(ctx, Config{Name: "budgets", Seed: 1, Seeds: 1, Cases: []string{"one does not hear"}, Jobs: 2}, &out)
	if err != nil && len(results) == 0 {
		t.Fatal(err)
	}
	t.Log(out.String())
	for _, r := range results {
		if r.Metrics["stated"] == 0 || r.Metrics["passed"] == 0 {
			t.Errorf("nothing was stated or passed on: %v", r.Metrics)
		}
		for _, b := range r.Violations {
			if strings.Contains(b, "had stated") || strings.Contains(b, "were stated") || strings.Contains(b, "was alone") {
				t.Error(b)
			}
		}
	}
}

// A trial or a case that there is none of is one line.
func TestUnknown(t *testing.T) {
	for _, c := range []Config{{Name: "nonsense"}, {Name: "budgets", Cases: []string{"nonsense"}}, {Name: "budgets", Instances: []int{1}}} {
		if _, err := Run(t.Context(), c, &bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), "nonsense") && !strings.Contains(err.Error(), "instances: 1") {
			t.Errorf("%+v: %v", c, err)
		}
	}
}
