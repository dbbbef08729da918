package guard

import (
	"strings"
	"testing"

	"hitchspring/internal/golden"
)

// Metrics, logs and alerts use these names for the invariants.
func TestGoldenNames(t *testing.T) {
	var names []string
	for _, i := range Invariants() {
		names = append(names, i.String())
	}
	golden.Compare(t, "invariants", []byte(strings.Join(names, "\n")+"\n"))
}
