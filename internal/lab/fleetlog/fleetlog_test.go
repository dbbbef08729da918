package fleetlog

import (
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// logs holds the content of log files by name. The lines of both instances for the same second must be summed up; lines
// with other messages and truncated lines must be skipped.
var logs = map[string][]string{
	"a.log": {
		"0.1 time=2026-01-01T00:00:00.100Z level=INFO msg=serving listen=x",
		"1.0 time=2026-01-01T00:00:01.000Z level=INFO msg=second arrived=5 refused.quota=2",
		"2.0 time=2026-01-01T00:00:01.995Z level=INFO msg=second arrived=7",
		"2.5 time=2026-01-01T00:00:02.500Z level=WARN msg=\"no answer in time\" arrived=100",
		"3.0 time=2026-01-01T00:0",
	},
	"b.log": {
		"time=2026-01-01T00:00:01.001Z level=INFO msg=second arrived=3 window=1.5",
		"time=nonsense msg=second arrived=9",
	},
	"other.txt": {
		"time=2026-01-01T00:00:01.000Z level=INFO msg=second arrived=1000",
	},
}

// readLogs writes logs to a directory and reads it.
func readLogs(t *testing.T) *Table {
	t.Helper()
	dir := t.TempDir()
	for name, lines := range logs {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(strings.Join(lines, "\n")), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	table, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestRead(t *testing.T) {
	table := readLogs(t)
	want := []map[string]float64{
		{"starts": 1},
		{"lines": 2, "arrived": 8, "refused.quota": 2, "window": 1.5},
		{"lines": 1, "arrived": 7},
	}
	if len(table.Seconds) != len(want) {
		t.Fatalf("got the seconds %v, want %d", table.Seconds, len(want))
	}
	for i, second := range table.Seconds {
		if got := table.Sums[second]; !maps.Equal(got, want[i]) {
			t.Errorf("second %d: got %v, want %v", i, got, want[i])
		}
	}
}

// Write prints only the metrics that match a prefix, in the order of their first appearance.
func TestWrite(t *testing.T) {
	var out strings.Builder
	if err := readLogs(t).Write(&out, "refused,arr"); err != nil {
		t.Fatal(err)
	}
	got := strings.Join(strings.Fields(out.String()), " ")
	if want := "second 0 1 2 all arrived 0 8 7 15 refused.quota 0 2 0 2"; got != want {
		t.Errorf("got the table %q, want %q", got, want)
	}
}
