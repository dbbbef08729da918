package handover

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/internal/golden"
	"hitchspring/internal/override"
	"hitchspring/policy"
)

// filledState returns a state with a valid value in every field.
func filledState() State {
	var s State
	golden.Fill(&s)
	s.Listen, s.Learned.Tenants[0].Account = testListen, "customer/1"
	return s
}

func TestGoldenState(t *testing.T) {
	golden.RequireTags(t, "json", State{})
	s := filledState()
	written, err := Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "state", written)
	read, err := Decode(golden.Read(t, "state"), testListen, s.At)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Encode(read)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "state", again)
}

func TestGoldenOverrides(t *testing.T) {
	golden.RequireTags(t, "json", overridesFile{})
	var f overridesFile
	golden.Fill(&f)
	f.Version, f.Listen = Version, testListen
	written, err := encodeOverrides(f)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "suspensions", written)
	overrides, err := decodeOverrides(golden.Read(t, "suspensions"), testListen)
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(overrides, f.Overrides) {
		t.Errorf("got %+v, want %+v", overrides, f.Overrides)
	}
}

// The file names must not change, since processes of different versions of one instance find each other by them.
func TestGoldenFileNames(t *testing.T) {
	dir := t.TempDir()
	d := open(t, dir, testListen)
	if err := d.Lock(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := d.WriteState(State{At: time.Second, List: discovery.List{}, Learned: policy.LearnedState{}}); err != nil {
		t.Fatal(err)
	}
	if err := d.Save([]override.Override{{ID: "s0", Suspended: true, At: 1}}); err != nil {
		t.Fatal(err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, e := range entries {
		names = append(names, filepath.Base(e.Name()))
	}
	golden.Compare(t, "file-names", []byte(strings.Join(names, "\n")+"\n"))
}
