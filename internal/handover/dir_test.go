package handover

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"hitchspring/internal/override"
)

func open(t *testing.T, dir, listen string) *Dir {
	t.Helper()
	d, err := Open(dir, listen, discardLogger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func wantSiblings(t *testing.T, name string, d *Dir, want int) {
	t.Helper()
	if got := d.SiblingCount(); got != want {
		t.Errorf("%s: got %d siblings, want %d", name, got, want)
	}
}

// Only one process holds the handover lock, and the next one acquires it when the holder releases it or dies. Processes
// of the same instance are counted as siblings by their locks, those of another instance are not.
func TestLockAndSiblings(t *testing.T) {
	dir := t.TempDir()
	first, second := open(t, dir, testListen), open(t, dir, testListen)
	otherInstance := open(t, dir, "127.0.0.1:2")
	wantSiblings(t, "first", first, 1)
	wantSiblings(t, "second", second, 1)
	wantSiblings(t, "stranger", otherInstance, 0)
	if err := first.Lock(t.Context()); err != nil {
		t.Fatal(err)
	}
	locked := make(chan error, 1)
	go func() { locked <- second.Lock(t.Context()) }()
	select {
	case err := <-locked:
		t.Fatal("Lock returned while another process holds the lock: ", err)
	case <-time.After(50 * time.Millisecond):
	}
	first.Close() // releases the lock, as the kernel does when a process is killed
	if err := <-locked; err != nil {
		t.Fatal(err)
	}
	wantSiblings(t, "second, after the first has ended", second, 0)
}

// wantSharedOverrides checks that overrides saved by two processes are merged.
func wantSharedOverrides(t *testing.T, first, second *Dir) {
	t.Helper()
	for d, o := range map[*Dir]override.Override{
		first:  {ID: "s1", Suspended: true, At: 1},
		second: {ID: "s2", Suspended: true, At: 2},
	} {
		if err := d.Save([]override.Override{o}); err != nil {
			t.Fatal(err)
		}
	}
	if got := first.Overrides(); len(got) != 2 || got[0].ID != "s1" || got[1].ID != "s2" {
		t.Fatalf("got overrides %v, want those of s1 and s2", got)
	}
}

// Save merges overrides with those of the other process, and a state can be read only once. Torn files are ignored.
func TestFiles(t *testing.T) {
	dir := t.TempDir()
	first, second := open(t, dir, testListen), open(t, dir, testListen)
	wantSharedOverrides(t, first, second)
	now := time.Duration(time.Now().UnixNano())
	if s, ok := second.ReadState(now); ok {
		t.Fatalf("got state %+v, want none, since none was written", s)
	}
	if err := first.WriteState(exampleState(now)); err != nil {
		t.Fatal(err)
	}
	if s, ok := second.ReadState(now); !ok || s.List.Rev != 7 {
		t.Fatalf("got %+v, %v, want a state of revision 7", s, ok)
	}
	if s, ok := second.ReadState(now); ok {
		t.Fatalf("got state %+v a second time, want none", s)
	}
	// Torn files must not prevent a start, and a torn override file must not prevent saving overrides.
	for _, suffix := range []string{stateSuffix, overridesSuffix} {
		path := filepath.Join(dir, "hitchspring-127.0.0.1_1"+suffix)
		if err := os.WriteFile(path, []byte("{torn"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if s, ok := second.ReadState(now); ok {
		t.Fatalf("got state %+v from a torn file, want none", s)
	}
	if got := second.Overrides(); len(got) > 0 {
		t.Fatalf("got overrides %v from a torn file, want none", got)
	}
	if err := second.Save([]override.Override{{ID: "s3", Suspended: true, At: 3}}); err != nil {
		t.Fatal(err)
	}
	if got := second.Overrides(); len(got) != 1 {
		t.Fatalf("got overrides %v, want one", got)
	}
}

// Guards against a Save that reports success although the directory was not synced, so that a crash could lose the
// overrides.
func TestSaveReportsUnsyncedDirectory(t *testing.T) {
	d := open(t, t.TempDir(), "127.0.0.1:1")
	d.syncDirectory = func(string) error { return syscall.EIO }
	err := d.Save([]override.Override{{ID: "s1", Suspended: true, At: 1}})
	if !errors.Is(err, syscall.EIO) {
		t.Errorf("got %v, want %v", err, syscall.EIO)
	}
	d.syncDirectory = syncDirectory
	if err := d.Save([]override.Override{{ID: "s2", Suspended: true, At: 2}}); err != nil {
		t.Fatal(err)
	}
	if got := d.Overrides(); len(got) != 2 {
		t.Errorf("got overrides %v, want both", got)
	}
}
