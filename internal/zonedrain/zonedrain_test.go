package zonedrain

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var noon = time.Date(2026, 5, 17, 12, 0, 0, 0, time.UTC)

// A drill that is begun is out until its time and no longer; ending one ends it; saving keeps all of it.
func TestBeginSaveEnd(t *testing.T) {
	path := filepath.Join(t.TempDir(), "drills.toml")
	l, err := Load(path, noon) // none yet
	if err != nil || len(l.Drains) != 0 {
		t.Fatal(l, err)
	}
	for i, hall := range []string{"hall-a", "hall-b", "hall-a"} { // the later one of a hall counts
		if l, err = l.Start(Drain{Zone: hall, Until: noon.Add(time.Duration(i+1) * time.Minute), By: "kari", Reason: "fire drill"}, noon); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.Save(path); err != nil {
		t.Fatal(err)
	}
	if l, err = Load(path, noon); err != nil {
		t.Fatal(err)
	}
	for at, want := range map[time.Duration]int{0: 2, 119 * time.Second: 2, 2 * time.Minute: 1, 3 * time.Minute: 0} {
		if out := l.Active(noon.Add(at)); len(out) != want {
			t.Errorf("after %v %v are out, want %d", at, out, want)
		}
	}
	if out := l.End("hall-a", noon).Active(noon); len(out) != 1 || out["hall-b"].IsZero() {
		t.Error(out)
	}
	if left, _ := filepath.Glob(filepath.Join(filepath.Dir(path), ".drills-*")); len(left) > 0 {
		t.Error(left)
	}
}

// What cannot be meant is one line that names the field and the value.
func TestBad(t *testing.T) {
	for text, want := range map[string]string{
		"[[drill]]\nhall = \"\"\nuntil = 2026-05-17T12:01:00Z":  "drill[0].hall: missing",
		"[[drill]]\nhall = \"x\"":                               "until: missing for hall \"x\"",
		"[[drill]]\nhall = \"x\"\nuntil = 2026-05-18T12:00:00Z": "2026-05-18T12:00:00Z is more than 4h",
		"[[drill]]\nhal = \"x\"":                                "line 2: drill.hal: no such key",
		"[[drill]]\nhall = \"x\"\nuntil = \"soon\"":             "drills:",
		"nonsense":                      "drills:",
		strings.Repeat("#", mostFile+1): "larger than",
		strings.Repeat("[[drill]]\nhall = \"x\"\nuntil = 2026-05-17T12:01:00Z\n", mostList+1): "are too many",
	} {
		l, err := Parse([]byte(text), noon)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") || len(l.Drains) > 0 {
			t.Errorf("%.40q: %v", text, err)
		}
	}
	for d, want := range map[Drain]string{
		{Zone: "x", Until: noon.Add(5 * time.Hour)}: "more than 4h",
		{Zone: "x", Until: noon}:                    "is over",
		{Until: noon.Add(time.Minute)}:              "hall: missing",
	} {
		if _, err := (List{}).Start(d, noon); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v", d, err)
		}
	}
	if err := (List{}).Save(filepath.Join(t.TempDir(), "none", "x")); err == nil {
		t.Error("saved where there is no folder")
	}
}

// The watch tells of each change once, of a drill's own end too; a bad file is logged once and changes nothing.
func TestWatch(t *testing.T) {
	path := filepath.Join(t.TempDir(), "drills.toml")
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		var told []string
		var logged bytes.Buffer
		done := make(chan struct{})
		go func() {
			defer close(done)
			Watch(ctx, path, 500*time.Millisecond, func(out map[string]time.Time) {
				mu.Lock()
				defer mu.Unlock()
				told = append(told, fmt.Sprint(len(out)))
			}, slog.New(slog.NewTextHandler(&logged, nil)))
		}()
		write := func(text string) {
			if err := errors.Join(os.WriteFile(path+".new", []byte(text), 0o600), os.Rename(path+".new", path)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
		}
		time.Sleep(time.Second)
		good := "[[drill]]\nhall = \"hall-a\"\nuntil = " + time.Now().Add(10*time.Second).UTC().Format(time.RFC3339)
		write(good)
		write("") // an editor that writes in two steps
		write("")
		write(good)
		time.Sleep(10 * time.Second) // its own end
		os.Remove(path)
		time.Sleep(time.Second)
		cancel()
		<-done
		if got := strings.Join(told, " "); got != "1 0" {
			t.Errorf("told %q", got)
		}
		if n := strings.Count(logged.String(), "the old drills are kept"); n != 1 {
			t.Errorf("logged %d times: %s", n, logged.String())
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[[drill]]\nhall = \"x\"\nuntil = 2026-05-17T12:01:00Z\n"))
	f.Add([]byte("drill = 3"))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := Parse(text, noon)
		if err != nil && (len(l.Drains) > 0 || strings.Contains(err.Error(), "\n")) {
			t.Fatalf("%v %v", l, err)
		}
		for _, until := range l.Active(noon) {
			if until.After(noon.Add(MaxDuration + time.Minute)) {
				t.Fatal(until)
			}
		}
	})
}
