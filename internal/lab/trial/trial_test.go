package trial

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"
)

// One of three real processes is cut off from the counter while a tenant requests five times its quota. It must
// report that it is disconnected, and must neither forward more units nor cause a larger overrun than it stated
// before the cut, both with fixed shares of the quota and with escrow. Violations of other rules are not checked
// here: they have tests of their own, which are less sensitive to a busy machine.
func TestDisconnectedInstanceStaysWithinStatedBound(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	var out bytes.Buffer
	cfg := Config{Name: "budgets", Seed: 1, Seeds: 1, Cases: []string{"one does not hear"}, Jobs: 2}
	results, err := Run(ctx, cfg, &out)
	if err != nil && len(results) == 0 {
		t.Fatal(err)
	}
	t.Log(out.String())
	for _, r := range results {
		if r.Metrics["stated"] == 0 || r.Metrics["passed"] == 0 {
			t.Errorf("got no stated or no forwarded units in %v", r.Metrics)
		}
		for _, violation := range r.Violations {
			for _, phrase := range []string{"had stated", "were stated", "was alone"} {
				if strings.Contains(violation, phrase) {
					t.Error(violation)
				}
			}
		}
	}
}

// An unknown trial, an unknown case or a number of instances out of range is an error that names the value.
func TestRunRejectsInvalidConfig(t *testing.T) {
	for _, test := range []struct {
		name string
		cfg  Config
		want string
	}{
		{"trial", Config{Name: "nonsense"}, "nonsense"},
		{"case", Config{Name: "budgets", Cases: []string{"nonsense"}}, "nonsense"},
		{"size", Config{Name: "budgets", Instances: []int{1}}, "instances: 1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Run(t.Context(), test.cfg, &bytes.Buffer{})
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want an error with %q", err, test.want)
			}
		})
	}
}
