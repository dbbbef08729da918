package zonedrain

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"hitchspring/internal/golden"
)

func TestGoldenFile(t *testing.T) {
	golden.RequireTags(t, "toml", List{})
	until := time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)
	list := List{[]Drain{
		{Zone: "hall-a", Until: until, By: "operator", Reason: "maintenance"},
		{Zone: "hall-b", Until: until},
	}}
	path := filepath.Join(t.TempDir(), "drills.toml")
	if err := list.Save(path); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "drills", written)
	read, err := Parse(golden.Read(t, "drills"), until.Add(-time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, list) {
		t.Errorf("got %+v, want %+v", read, list)
	}
}
