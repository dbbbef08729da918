package mutation

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Each defect that is part of the program is valid and can be planted. There are at least four for each rule, and one
// for each front and store.
func TestPlaces(t *testing.T) {
	defects, err := Defects()
	if err != nil {
		t.Fatal(err)
	}
	root, err := ModuleRoot(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	count := map[string]int{}
	for _, defect := range defects {
		count[defect.Rule]++
		count[defect.Component]++
		if _, err := defect.WriteOverlay(root, t.TempDir()); err != nil {
			t.Error(err)
		}
	}
	for _, rule := range []string{"lost", "twice", "drains", "cold", "ceilings"} {
		if count[rule] < 4 {
			t.Errorf("got %d defects for %s, want 4 at least", count[rule], rule)
		}
	}
	for _, component := range []string{"front/resp", "store/tally", "store/redis"} {
		if count[component] < 1 {
			t.Errorf("no defect is planted in %s", component)
		}
	}
}

// The ingress builds with each defect. The text that an edit inserts may use a name that has been renamed since.
func TestDefectsBuild(t *testing.T) {
	if os.Getenv("HITCHSPRING_TRIALS") == "" { // as many builds as defects
		t.Skip("HITCHSPRING_TRIALS is not set")
	}
	defects, err := Defects()
	if err != nil {
		t.Fatal(err)
	}
	root, err := ModuleRoot(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, defect := range defects {
		t.Run(defect.Name, func(t *testing.T) {
			overlay, err := defect.WriteOverlay(root, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			build := exec.CommandContext(
				t.Context(), "go", "build", "-overlay", overlay, "-o", os.DevNull, "hitchspring/cmd/hitchspring",
			)
			if out, err := build.CombinedOutput(); err != nil {
				t.Errorf("%v\n%s", err, out)
			}
		})
	}
}

// An edit whose text does not occur exactly once, or whose file cannot be read, is an error.
func TestWriteOverlayFails(t *testing.T) {
	root := t.TempDir()
	if err := os.WriteFile(filepath.Join(root, "a.go"), []byte("one\ntwo\ntwo\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	writeOverlay := func(edit Edit) error {
		_, err := Defect{Name: "x", Edits: []Edit{edit}}.WriteOverlay(root, root)
		return err
	}
	for find, want := range map[string]string{"three": "there 0 times", "two": "there 2 times"} {
		if err := writeOverlay(Edit{File: "a.go", Find: find}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("finding %q: got %v, want %q", find, err, want)
		}
	}
	if err := writeOverlay(Edit{File: "b.go", Find: "one"}); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v for a missing file, want %v", err, os.ErrNotExist)
	}
}

// An invalid defect is an error that names the field and the value.
func TestParseDefectFails(t *testing.T) {
	for text, want := range map[string]string{
		"rule = \"first\"": `rule: "first"`,
		"role = \"lost\"":  "strict mode",
		"rule = \"lost\"":  "are wanted",
		"rule = \"lost\"\nabout = \"x\"\npart = \"x\"\nday = \"doomsday\"\n[[edit]]\nfile = \"a.go\"": `no "doomsday"`,
	} {
		if _, err := parseDefect("x", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
}

// A missed defect, a violation of the untouched build and a failed run are errors. An inconclusive run is not.
func TestSummarize(t *testing.T) {
	detected := Result{Defect: "a", Detected: true, DetectedAfterS: 3}
	for name, c := range map[string]struct {
		results []Result
		want    error
	}{
		"all well":   {[]Result{detected, {}}, nil},
		"missed":     {[]Result{detected, {Defect: "a"}}, ErrMissed},
		"alarm":      {[]Result{detected, {OtherViolations: []string{"x"}}}, ErrMissed},
		"no verdict": {[]Result{detected, {Doubts: []string{"x"}}}, nil},
		"not played": {[]Result{detected, {Error: "x"}}, ErrMissed},
	} {
		t.Run(name, func(t *testing.T) {
			if text, err := Summarize(c.results); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v: %s", err, c.want, text)
			}
		})
	}
}
