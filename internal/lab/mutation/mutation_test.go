package mutation

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Each defect that comes with the program is a good one, and its places are still there. Four at least are kept for each
// rule, one for each front and store.
func TestPlaces(t *testing.T) {
	all, err := Defects()
	if err != nil {
		t.Fatal(err)
	}
	root, err := ModuleRoot(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	of := map[string]int{}
	for _, d := range all {
		of[d.Rule]++
		of[d.Component]++
		if _, err := d.Plant(root, t.TempDir()); err != nil {
			t.Error(err)
		}
	}
	for _, rule := range []string{"lost", "twice", "drains", "cold", "ceilings"} {
		if of[rule] < 4 {
			t.Errorf("%d defects for %s", of[rule], rule)
		}
	}
	for _, part := range []string{"front/resp", "store/tally", "store/redis"} {
		if of[part] < 1 {
			t.Errorf("no defect is planted in %s", part)
		}
	}
}

// The ingress builds with each defect: a name in the text that is put in place may have changed.
func TestDefectsBuild(t *testing.T) {
	if os.Getenv("HITCHSPRING_TRIALS") == "" { // as many builds as defects
		t.Skip("HITCHSPRING_TRIALS is not set")
	}
	all, err := Defects()
	if err != nil {
		t.Fatal(err)
	}
	root, err := ModuleRoot(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range all {
		t.Run(d.Name, func(t *testing.T) {
			overlay, err := d.Plant(root, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			build := exec.CommandContext(t.Context(), "go", "build", "-overlay", overlay, "-o", os.DevNull, "hitchspring/cmd/hitchspring")
			if out, err := build.CombinedOutput(); err != nil {
				t.Errorf("%v\n%s", err, out)
			}
		})
	}
}

// A defect whose place has moved fails loudly, and a file that cannot be read says why.
func TestPlantFails(t *testing.T) {
	root := t.TempDir()
	if err := os.WriteFile(filepath.Join(root, "a.go"), []byte("one\ntwo\ntwo\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for find, want := range map[string]string{"three": "there 0 times", "two": "there 2 times"} {
		_, err := Defect{Name: "x", Edits: []Edit{{File: "a.go", Find: find}}}.Plant(root, root)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", find, err)
		}
	}
	if _, err := (Defect{Name: "x", Edits: []Edit{{File: "b.go", Find: "one"}}}).Plant(root, root); !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
	for text, want := range map[string]string{
		"rule = \"first\"": `rule: "first"`, "role = \"lost\"": "strict mode", "rule = \"lost\"": "are wanted",
		"rule = \"lost\"\nabout = \"x\"\npart = \"x\"\nday = \"doomsday\"\n[[edit]]\nfile = \"a.go\"": `no "doomsday"`,
	} {
		if _, err := parseDefect("x", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// What the runs come to: a miss, an alarm and a run that was not played each fail; a run that can't be judged proves
// nothing either way.
func TestSum(t *testing.T) {
	seen := Result{Defect: "a", Detected: true, DetectedAfterS: 3}
	for name, c := range map[string]struct {
		list []Result
		bad  bool
	}{
		"all well":   {[]Result{seen, {}}, false},
		"missed":     {[]Result{seen, {Defect: "a"}}, true},
		"alarm":      {[]Result{seen, {OtherViolations: []string{"x"}}}, true},
		"no verdict": {[]Result{seen, {Doubts: []string{"x"}}}, false},
		"not played": {[]Result{seen, {Error: "x"}}, true},
	} {
		if text, err := Summarize(c.list); errors.Is(err, ErrMissed) != c.bad {
			t.Errorf("%s: %v, %s", name, err, text)
		}
	}
}
