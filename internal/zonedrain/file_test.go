package zonedrain

import (
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// An invalid file is rejected with a one-line error that names the field and the value.
func TestParseRejects(t *testing.T) {
	const validDrain = "[[drill]]\nhall = \"x\"\nuntil = 2026-05-17T12:01:00Z\n"
	for text, want := range map[string]string{
		"[[drill]]\nhall = \"\"\nuntil = 2026-05-17T12:01:00Z":  "drill[0].hall: missing",
		"[[drill]]\nhall = \"x\"":                               "until: missing for hall \"x\"",
		"[[drill]]\nhall = \"x\"\nuntil = 2026-05-18T12:00:00Z": "2026-05-18T12:00:00Z is more than 4h",
		"[[drill]]\nhal = \"x\"":                                "line 2: drill.hal: no such key",
		"[[drill]]\nhall = \"x\"\nuntil = \"soon\"":             "drills:",
		"nonsense":                              "drills:",
		strings.Repeat("#", maxFileSize+1):      "larger than",
		strings.Repeat(validDrain, maxDrains+1): "are too many",
	} {
		list, err := Parse([]byte(text), noon)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.40q: got error %v, want one line with %q", text, err, want)
		}
		if len(list.Drains) > 0 {
			t.Errorf("%.40q: got %v with an error, want no drain", text, list)
		}
	}
}

func TestSaveWithoutDirectory(t *testing.T) {
	if err := (List{}).Save(filepath.Join(t.TempDir(), "none", "x")); err == nil {
		t.Error("got no error from a save to a directory that doesn't exist, want one")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[[drill]]\nhall = \"x\"\nuntil = 2026-05-17T12:01:00Z\n"))
	f.Add([]byte("drill = 3"))
	f.Fuzz(func(t *testing.T, text []byte) {
		list, err := Parse(text, noon)
		if err != nil && (len(list.Drains) > 0 || strings.Contains(err.Error(), "\n")) {
			t.Fatalf("got %v, %v; want one line and no drain", list, err)
		}
		for _, until := range list.Active(noon) {
			if until.After(noon.Add(MaxDuration + time.Minute)) {
				t.Fatalf("got a drain until %v, want its end within %v", until, MaxDuration)
			}
		}
	})
}
