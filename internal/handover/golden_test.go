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

const goldenListen = "127.0.0.1:1"

// filledState has a value in every field that Decode accepts.
func filledState() State {
	var s State
	golden.Fill(&s)
	s.Listen, s.Learned.Tenants[0].ID = goldenListen, "customer/1"
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
	read, err := Decode(golden.Read(t, "state"), goldenListen, s.At)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Encode(read)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "state", again)
}

func TestGoldenSuspensions(t *testing.T) {
	golden.RequireTags(t, "json", wordsFile{})
	var f wordsFile
	golden.Fill(&f)
	f.Version, f.Listen = Version, goldenListen
	written, err := encodeWords(f)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "suspensions", written)
	words, err := decodeWords(golden.Read(t, "suspensions"), goldenListen)
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(words, f.Words) {
		t.Errorf("got %+v, want %+v", words, f.Words)
	}
}

// The processes of one ingress may be of different versions: they find each other by these names.
func TestGoldenFileNames(t *testing.T) {
	dir := t.TempDir()
	d := open(t, dir, goldenListen)
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
