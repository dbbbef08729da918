package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hitchspring/internal/rulecheck"
)

// Each scenario that is part of the program is valid with any seed and describes itself.
func TestOwnScenarios(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			s, err := Load(name)
			if err != nil {
				t.Fatal(err)
			}
			if s.About == "" || s.Name != name {
				t.Errorf("got about %q and name %q, want some text and %q", s.About, s.Name, name)
			}
			for seed := range uint64(200) {
				if _, err := s.Steps(seed); err != nil {
					t.Error(err)
				}
			}
		})
	}
}

// An invalid file is an error of one line that names the field and the value.
func TestParseFails(t *testing.T) {
	for text, want := range map[string]string{
		"lenght = \"3s\"":                               `line 1: unknown key "lenght"`,
		"load = 0.5\n[must]\nrefusals = 3":              `line 3: unknown key "must.refusals"`,
		"load = -1":                                     "load: -1 is out of range",
		"load = nan":                                    "load: NaN is out of range",
		"load = \"much\"":                               "line 1",
		"length = \"3 seconds\"":                        `"3 seconds" is no duration`,
		"length = \"3h\"":                               "length: 3h0m0s is out of range",
		"nodes = 2":                                     "nodes: 2 is out of range",
		"ingresses = 25":                                "ingresses: 25 is out of range",
		"store = \"etcd\"":                              `store: "etcd" is none`,
		"[[hot]]\nplan = \"by\"\ntimes = 99":            "hot[0]",
		"faults = [\"node/3:drain\"]":                   "want TARGET:WHAT at TIME",
		"faults = [\"node/12:drain at 1s\"]":            "there is no node/12: the day has 12, from 0",
		"faults = [\"ingress/3:kill at 1s\"]":           "there is no ingress/3",
		"faults = [\"node/3:drain at 11s\"]":            "after the day's end at 10s",
		"faults = [\"node/3:drain at -1s\"]":            `"-1s" is no time`,
		"faults = [\"nod/3:drain at 1s\"]":              `target "nod/3" is none of`,
		"faults = [\"node/x:drain at 1s\"]":             `"x" is no number`,
		"faults = [\"hall/d:out 1s at 1s\"]":            `hall "d" is none`,
		"faults = [\"node/1:slow 3 at 1s\"]":            "slow wants 2 words behind it, there are 1",
		"faults = [\"node/1:slow 0 1s at 1s\"]":         `slow: "0" is no factor`,
		"faults = [\"node/1:explode at 1s\"]":           `there is no kind "explode"`,
		"faults = [\"ingress/1:slow 2 1s at 1s\"]":      `"slow" is nothing that can be done to ingress`,
		"faults = [\"node/1:cut 7 1s at 1s\"]":          "there is no ingress 7",
		"faults = [\"store:delay soon at 1s\"]":         "delay soon",
		"faults = [\"link/0>3:cut 1s at 1s\"]":          "there is no ingress 3",
		"faults = [\"link/0-1:cut 1s at 1s\"]":          "want link/A>B or link/A|B",
		"faults = [\"link/0>x:cut 1s at 1s\"]":          `"x" is no instance`,
		"faults = [\"link/0>1:explode at 1s\"]":         `"explode" is nothing that can be done to a link`,
		"faults = [\"link/0>1:drop 2 1s at 1s\"]":       `drop: "2" is out of range`,
		"faults = [\"link/0>1:cut at 1s\"]":             "cut wants 1 words behind it, there are 0",
		"faults = [\"store:explode at 1s\"]":            `there is no kind "explode"`,
		"faults = [\"node/1: at 1s\"]":                  "nothing to do",
		"faults = [\"store:drop-after share 2 at 1s\"]": "out of range",

		"faults = [\"store:failover at 1s\"]": `"failover" is nothing that can be done to a store of kind tally`,
	} {
		_, err := Parse("x", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
}

// Load finds a scenario by its name or as a file. The error for a name that is neither lists the names.
func TestLoad(t *testing.T) {
	file := filepath.Join(t.TempDir(), "mine.toml")
	if err := os.WriteFile(file, []byte("load = 0.7"), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Load(file)
	if err != nil {
		t.Fatal(err)
	}
	if s.Name != "mine" || s.Load != 0.7 || s.Backends != 12 {
		t.Fatalf("got %+v, want the name mine, a load of 0.7 and 12 backends", s)
	}
	if _, err := Load("evning"); err == nil || !strings.Contains(err.Error(), "evening") {
		t.Fatalf("got %v, want the names of all scenarios", err)
	}
}

// Unmet lists what a run did not exercise, and nothing else.
func TestUnmet(t *testing.T) {
	near := -0.1
	required := Required{Refused: 5, Repeats: 2, SlowStartPush: 0.5, Ceiling: &near}
	if unmet := required.Unmet(rulecheck.Margins{Ceiling: -0.5}); len(unmet) != 4 {
		t.Fatalf("got %q, want 4 lines", unmet)
	}
	met := rulecheck.Margins{Refused: 5, Repeats: 2, SlowStartPush: 0.5, Ceiling: -0.05}
	if unmet := required.Unmet(met); unmet != nil {
		t.Fatalf("got %q, want none", unmet)
	}
}

// ParseStep returns a valid step or an error for any text.
func FuzzParseStep(f *testing.F) {
	for _, text := range []string{
		"node/1:slow 3 2s at 1s",
		"hall/a:out 1s at 2s",
		"store:hold 70ms for 1s on EVALSHA at 4s",
		"lab:pause 200ms at 1s",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		step, err := ParseStep(text)
		if err != nil {
			return
		}
		if step.At < 0 || step.Index < 0 || targets[step.Kind].actions == nil || len(step.ActionFields()) == 0 {
			t.Fatalf("%q: got %+v, want a valid step", text, step)
		}
	})
}
