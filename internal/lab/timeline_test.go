package lab

import "testing"

// Whatever stands in a timeline, it is steps in order with a target and a time, or an error.
func FuzzTimeline(f *testing.F) {
	f.Add("store:stall 2s at 5s")
	f.Add("node/3:fail text a at b at 1s")
	f.Fuzz(func(t *testing.T, entry string) {
		steps, err := parseTimeline([]string{entry, "store:kick at 1ms"})
		if err != nil {
			return
		}
		if len(steps) != 2 || steps[0].at > steps[1].at || steps[0].at < 0 {
			t.Fatalf("%q: %+v", entry, steps)
		}
		for _, s := range steps {
			if kind, n, err := splitTarget(s.target); err == nil && (kind == "" || n < 0) {
				t.Fatalf("%q: target %q, %d", entry, kind, n)
			}
		}
	})
}
