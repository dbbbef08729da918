package trial

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"
)

// One of three real processes is cut off from the counter while a tenant requests five times its quota. It
// states that it is disconnected, forwards no more than it stated before, and overdraws the tenant by no more,
// with fixed shares of the quota and with shares that are transferred. The other rules have tests of their own,
// which a busy machine disturbs less.
func TestStatedBeforeTheCut(t *testing.T) {
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
			t.Errorf("nothing was stated or passed on: %v", r.Metrics)
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

// An unknown trial or case, or a size out of range, is an error that names it.
func TestUnknown(t *testing.T) {
	for _, x := range []struct {
		name string
		cfg  Config
		want string
	}{
		{"trial", Config{Name: "nonsense"}, "nonsense"},
		{"case", Config{Name: "budgets", Cases: []string{"nonsense"}}, "nonsense"},
		{"size", Config{Name: "budgets", Instances: []int{1}}, "instances: 1"},
	} {
		t.Run(x.name, func(t *testing.T) {
			_, err := Run(t.Context(), x.cfg, &bytes.Buffer{})
			if err == nil || !strings.Contains(err.Error(), x.want) {
				t.Errorf("got %v, want an error with %q", err, x.want)
			}
		})
	}
}
