package lab

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Checks which histories of a key CheckHistory accepts.
func TestCheckHistory(t *testing.T) {
	const s = time.Second
	attempt := func(from, until time.Duration, value string) Step {
		return Step{Key: "k", From: from, Until: until, Served: value != "", Value: value}
	}
	effect := func(from, until time.Duration) Step {
		return Step{Key: "k", From: from, Until: until, Effect: true}
	}
	for name, c := range map[string]struct {
		steps []Step
		fine  bool
	}{
		"one attempt, one effect":               {[]Step{attempt(s, 3*s, "v"), effect(2*s, 3*s)}, true},
		"no answer, and a retry that has it":    {[]Step{attempt(s, 0, ""), effect(2*s, 3*s), attempt(4*s, 5*s, "v")}, true},
		"both attempts get the same answer":     {[]Step{attempt(s, 5*s, "v"), effect(2*s, 3*s), attempt(3*s, 4*s, "v")}, true},
		"two effects":                           {[]Step{attempt(s, 3*s, "v"), effect(2*s, 3*s), effect(4*s, 5*s)}, false},
		"two effects, one of which never ended": {[]Step{effect(2*s, 0), effect(4*s, 5*s)}, false},
		"two answers":                           {[]Step{attempt(s, 5*s, "v"), effect(2*s, 3*s), attempt(3*s, 4*s, "w")}, false},
		"an answer before the effect":           {[]Step{attempt(s, 2*s, "v"), effect(3*s, 4*s)}, false},
		"an answer without an effect":           {[]Step{attempt(s, 2*s, "v")}, false},
		"a refusal, and an effect of a retry":   {[]Step{attempt(s, 2*s, ""), attempt(3*s, 5*s, "v"), effect(4*s, 5*s)}, true},
		"keys are independent":                  {[]Step{attempt(s, 3*s, "v"), effect(2*s, 3*s), {Key: "l", From: s, Until: 3 * s, Effect: true}}, true},
	} {
		if violations := CheckHistory(c.steps); len(violations) == 0 != c.fine {
			t.Errorf("%s: %v", name, violations)
		}
	}
}

// CheckHistory accepts random histories with a single effect, however the attempts overlap, and always finds a second
// effect.
func TestCheckHistoryRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := time.Duration(rapid.IntRange(1, 50).Draw(t, "effect"))
		steps := []Step{{Key: "k", From: at, Until: at + 1, Effect: true}}
		for i := range rapid.IntRange(0, 6).Draw(t, "tries") {
			from := time.Duration(rapid.IntRange(1, 60).Draw(t, "from"))
			x := Step{Key: "k", From: from, Until: from + time.Duration(rapid.IntRange(1, 60).Draw(t, "for")), ClientID: i}
			if x.Until > at+1 && rapid.Bool().Draw(t, "served") {
				x.Served, x.Value = true, "v"
			}
			steps = append(steps, x)
		}
		if violations := CheckHistory(steps); len(violations) > 0 {
			t.Fatal(violations, steps)
		}
		again := time.Duration(rapid.IntRange(1, 60).Draw(t, "again"))
		if violations := CheckHistory(append(steps, Step{Key: "k", From: again, Until: again + 5, Effect: true})); len(violations) == 0 {
			t.Fatal("the second effect was not found")
		}
	})
}
