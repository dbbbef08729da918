package fault

import (
	"strings"
	"testing"
	"time"
)

func TestParse(t *testing.T) {
	for line, want := range map[string]Rule{
		"stall 2s": {Kind: Stall, ActiveFor: 2 * time.Second},
		"delay 50ms for 3s caller a share 0.25": {
			Kind: Delay, DelayTime: 50 * time.Millisecond, ActiveFor: 3 * time.Second, Caller: "a", Probability: 0.25,
		},
		"drop-after on EVALSHA after 37 times 1": {Kind: DropAfter, CallName: "EVALSHA", SkipFirst: 37, MaxHits: 1},
		"fail 1s text OOM command not allowed":   {Kind: Fail, ActiveFor: time.Second, Text: "OOM command not allowed"},
	} {
		if got, err := Parse(line); err != nil || got != want {
			t.Errorf("Parse(%q): got %+v, %v, want %+v", line, got, err, want)
		}
	}
	for _, line := range []string{"", "stall 2s at", "delay 1s odd 3", "cut after x", "cut share 2", "delay -1s"} {
		if got, err := Parse(line); err == nil || !strings.Contains(err.Error(), "fault ") {
			t.Errorf("Parse(%q): got %+v, error %v, want an error that begins with fault", line, got, err)
		}
	}
}

// A rule hits only the calls that it matches, up to its maximum number, and only until it expires.
func TestScript(t *testing.T) {
	s := New(1)
	s.Add(0, Rule{Kind: Cut, CallName: "get", SkipFirst: 1, MaxHits: 2})
	s.Add(0, Rule{Kind: Stall, Caller: "b", ActiveFor: time.Second})
	got := ""
	for _, c := range []struct {
		at           time.Duration
		name, caller string
	}{
		{0, "GET", "a"},
		{0, "SET", "a"},
		{0, "GET", "a"},
		{0, "GET", "b"},
		{0, "GET", "a"},
		{700 * time.Millisecond, "SET", "b"},
		{time.Second, "SET", "b"},
	} {
		r, left, hit := s.Next(c.at, c.name, c.caller)
		if hit {
			got += string(r.Kind) + " "
		} else {
			got += "- "
		}
		if r.Kind == Stall && left != 300*time.Millisecond {
			t.Errorf("time until the rule expires: got %v, want 300ms", left)
		}
	}
	if want := "- - cut cut - stall - "; got != want {
		t.Fatalf("hits: got %q, want %q", got, want)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("delay 50ms for 3s caller a share 0.25")
	f.Fuzz(func(t *testing.T, line string) {
		if r, err := Parse(line); err == nil &&
			(r.DelayTime < 0 || r.ActiveFor < 0 || r.MaxHits < 0 || r.SkipFirst < 0) {
			t.Fatalf("%q: %+v", line, r)
		}
	})
}
