package scenario

import (
	"fmt"

	"hitchspring/internal/rulecheck"
)

// Required is what a run must exercise to prove anything: a minimum for each of the rulecheck.Margins, which say how
// near and how often the run came to a limit. A minimum of 0 requires nothing.
type Required struct {
	Refused        int      `toml:"refused"`
	Tight          int      `toml:"tight"`
	Repeats        int      `toml:"repeats"`
	Withheld       int      `toml:"held_back"`
	Drains         int      `toml:"drains"`
	SlowStartSends int      `toml:"cold_sends"`
	SlowStartPush  float64  `toml:"cold_push"`   // load on a backend warming up, as a fraction of what makes it fail
	Ceiling        *float64 `toml:"ceiling"`     // nearest tenant, as a fraction of its burst: -0.1 is within a tenth
	CeilingFor     int      `toml:"ceiling_for"` // tenants that came within a tenth of their ceiling
}

// Unmet returns a line for each requirement that a run does not meet. A run without such a line proves what its
// scenario is there to prove.
func (r Required) Unmet(margins rulecheck.Margins) (unmet []string) {
	for _, count := range []struct {
		subject   string
		got, want int
	}{
		{"tries refused", margins.Refused, r.Refused},
		{"answers just before the client gave up", margins.Tight, r.Tight},
		{"repeats that were allowed", margins.Repeats, r.Repeats},
		{"attempts that may have run and were not repeated", margins.Withheld, r.Withheld},
		{"drains that outlasted their grace", margins.Drains, r.Drains},
		{"sends to cold nodes", margins.SlowStartSends, r.SlowStartSends},
		{"channels within a tenth of their ceiling", margins.CeilingFor, r.CeilingFor},
	} {
		if count.got < count.want {
			unmet = append(unmet, fmt.Sprintf("%s: %d, the day wants %d", count.subject, count.got, count.want))
		}
	}
	if margins.SlowStartPush < r.SlowStartPush {
		unmet = append(unmet, fmt.Sprintf("the most that a cold node was pushed: %.2f of the edge, the day wants %.2f",
			margins.SlowStartPush, r.SlowStartPush))
	}
	if r.Ceiling != nil && margins.Ceiling < *r.Ceiling {
		unmet = append(unmet, fmt.Sprintf("nearest to a ceiling: %+.0f%%, the day wants %+.0f%%",
			100*margins.Ceiling, 100**r.Ceiling))
	}
	return unmet
}
