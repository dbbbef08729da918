package experiment

import (
	"encoding/json"
	"testing"

	"hitchspring/internal/golden"
	"hitchspring/internal/lab/cost"
	"hitchspring/internal/lab/mutation"
	"hitchspring/internal/lab/trial"
)

// The encoding of results must not change, because stored results are read by other versions of the program.
func TestGoldenResults(t *testing.T) {
	for name, v := range map[string]any{
		"line": &RunResult{}, "cost": &cost.Report{}, "mutation": &mutation.Result{}, "trial": &trial.Result{},
	} {
		golden.RequireTags(t, "json", v)
		golden.Fill(v)
		written, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, "results-"+name, written)
	}
}
