package handover

import (
	"os"
	"slices"
	"testing"
)

func openIDLog(t *testing.T, d *Dir) *IDLog {
	t.Helper()
	log, err := d.OpenIDLog()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(log.Close)
	return log
}

// requireRead checks which ids a process reads that the others have appended.
func requireRead(t *testing.T, log *IDLog, want ...uint64) {
	t.Helper()
	var got []uint64
	if err := log.ReadOthers(func(id uint64) { got = append(got, id) }); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(got, want) {
		t.Errorf("got ids %v, want %v", got, want)
	}
}

// Each process reads what the others have appended once, also after they have ended, and not its own ids.
func TestIDLog(t *testing.T) {
	dir := t.TempDir()
	first, second := open(t, dir, testListen), open(t, dir, testListen)
	a, b := openIDLog(t, first), openIDLog(t, second)
	requireRead(t, a)
	if err := a.Append(1, 2, 1<<63); err != nil {
		t.Fatal(err)
	}
	if err := b.Append(3); err != nil {
		t.Fatal(err)
	}
	requireRead(t, a, 3)
	requireRead(t, b, 1, 2, 1<<63)
	requireRead(t, b)
	if err := a.Append(4); err != nil {
		t.Fatal(err)
	}
	a.Close()
	first.Close()
	requireRead(t, b, 4)
	third := open(t, dir, testListen) // takes the slot of the first
	c := openIDLog(t, third)
	requireRead(t, b)
	if err := c.Append(5); err != nil {
		t.Fatal(err)
	}
	requireRead(t, b, 5)
	requireRead(t, c, 3)
}

// An id of which only a part has been written is read when it is complete. A file that can't be written is an error.
func TestIDLogIncomplete(t *testing.T) {
	dir := t.TempDir()
	first, second := open(t, dir, testListen), open(t, dir, testListen)
	a, b := openIDLog(t, first), openIDLog(t, second)
	for i, part := range [][]byte{{7, 0, 0}, {0, 0, 0, 0, 0}} {
		file, err := os.OpenFile(first.idLogPath(first.slotNumber), os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := file.Write(part); err != nil {
			t.Fatal(err)
		}
		file.Close()
		if i == 0 {
			requireRead(t, b)
		}
	}
	requireRead(t, b, 7)
	a.Close()
	if err := a.Append(8); err == nil {
		t.Error("an id that could not be written was reported as appended")
	}
}
