package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hitchspring/internal/zonedrain"
)

// The zone commands start, list and end drains in the zone drain file that the options name, and report invalid
// arguments as one-line errors.
func TestZoneDrain(t *testing.T) {
	const none = "no hall is taken out\n"
	drainFile := filepath.Join(t.TempDir(), "drills.toml")
	options := fmt.Sprintf("[halls]\nnear = [\"hall-b\"]\ndrills = %q\n", drainFile)
	t.Setenv(optionsVariable, writeTemp(t, "options.toml", options))
	run := func(args ...string) string {
		t.Helper()
		out, err := runWithoutLog(args...)
		if err != nil {
			t.Fatalf("%q: got error %v", args, err)
		}
		return out
	}
	if got := run("hall", "list"); got != none {
		t.Fatalf("without a drain: got %q, want %q", got, none)
	}
	got := run("hall", "drain", "hall-a", "--for", "10m", "--by", "kari")
	if !strings.HasPrefix(got, "hall-a is out until ") || !strings.Contains(got, "kari") {
		t.Fatalf("got %q, want the zone, the end and the operator", got)
	}
	drains, err := zonedrain.Load(drainFile, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if active := drains.Active(time.Now()); len(active) != 1 {
		t.Fatalf("got drains %v, want one", active)
	}
	if got := run("hall", "return", "hall-a"); got != none {
		t.Fatalf("after the return: got %q, want %q", got, none)
	}
	for _, test := range []struct {
		want string
		args []string
	}{
		{"--for: 5h0m0s is out of range", []string{"hall", "drain", "hall-a", "--for", "5h"}},
		{"is in no drill", []string{"hall", "return", "hall-z"}},
		{"expected \"<hall>\"", []string{"hall", "drain"}},
		{"--at names no address", []string{"status", "halls"}},
	} {
		t.Run(test.want, func(t *testing.T) {
			_, err := runWithoutLog(test.args...)
			requireOneLine(t, err, test.want)
		})
	}
	t.Setenv(optionsVariable, "")
	_, err = runWithoutLog("hall", "list")
	requireOneLine(t, err, "halls.drills")
}
