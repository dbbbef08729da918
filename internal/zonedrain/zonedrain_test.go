package zonedrain

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var noon = time.Date(2026, 5, 17, 12, 0, 0, 0, time.UTC)

// startDrains loads a list from a path without a file and starts a drain of each zone in turn. The first drain ends one
// minute after noon, the second two minutes after noon, and so on.
func startDrains(t *testing.T, path string, zones ...string) List {
	t.Helper()
	list, err := Load(path, noon)
	if err != nil || len(list.Drains) != 0 {
		t.Fatalf("got %v, %v where there is no file, want an empty list", list, err)
	}
	for i, zone := range zones {
		until := noon.Add(time.Duration(i+1) * time.Minute)
		list, err = list.Start(Drain{Zone: zone, Until: until, By: "kari", Reason: "fire drill"}, noon)
		if err != nil {
			t.Fatal(err)
		}
	}
	return list
}

// A drain is active until its end or until a call of End, and is unchanged after Save and Load.
func TestStartSaveEnd(t *testing.T) {
	path := filepath.Join(t.TempDir(), "drills.toml")
	list := startDrains(t, path, "hall-a", "hall-b", "hall-a") // the later drain of a zone replaces the earlier one
	if err := list.Save(path); err != nil {
		t.Fatal(err)
	}
	list, err := Load(path, noon)
	if err != nil {
		t.Fatal(err)
	}
	for after, want := range map[time.Duration]int{0: 2, 119 * time.Second: 2, 2 * time.Minute: 1, 3 * time.Minute: 0} {
		if active := list.Active(noon.Add(after)); len(active) != want {
			t.Errorf("after %v: got %v active, want %d", after, active, want)
		}
	}
	if active := list.End("hall-a", noon).Active(noon); len(active) != 1 || active["hall-b"].IsZero() {
		t.Errorf("got %v active after the end of hall-a, want hall-b alone", active)
	}
	if left, _ := filepath.Glob(filepath.Join(filepath.Dir(path), ".drills-*")); len(left) > 0 {
		t.Errorf("got temporary files %v left, want none", left)
	}
}

// An invalid drain is rejected with an error that names the field.
func TestStartRejects(t *testing.T) {
	for drain, want := range map[Drain]string{
		{Zone: "x", Until: noon.Add(5 * time.Hour)}: "more than 4h",
		{Zone: "x", Until: noon}:                    "is over",
		{Until: noon.Add(time.Minute)}:              "hall: missing",
	} {
		if _, err := (List{}).Start(drain, noon); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: got error %v, want %q", drain, err, want)
		}
	}
}
