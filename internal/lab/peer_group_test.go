package lab

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hitchspring/internal/testlog"
)

// logCapture collects the logs of the instances.
type logCapture struct{ testlog.Buffer }

func (l *logCapture) count(texts ...string) (n int) {
	for line := range strings.Lines(l.String()) {
		all := true
		for _, t := range texts {
			all = all && strings.Contains(line, t)
		}
		if all {
			n++
		}
	}
	return n
}

// Checks instances that start while no peer has state to share, or while the peers that share it stall or die: each
// serves after its usual time, all find each other in the end, and no rule is violated.
func TestInstanceStartsWithoutDonor(t *testing.T) {
	if os.Getenv("HITCHSPRING_TRIALS") == "" { // runs 18 processes beside all other tests
		t.Skip("HITCHSPRING_TRIALS is not set")
	}
	for name, faults := range map[string][]string{
		"the only donor is blind":       {"ingress/0:restart 1500ms at 2s", "ingress/1:restart 1500ms at 2s", "ingress/2:restart 300ms at 2500ms"},
		"new ones learn from new ones":  {"ingress/0:restart 1s at 2s", "ingress/1:restart 1s at 2s", "ingress/2:kill at 2s"},
		"the donors stall":              {"ingress/0:restart 200ms at 2s", "ingress/1:pause 2s at 2250ms", "ingress/2:pause 2s at 2250ms"},
		"a donor dies while it answers": {"ingress/0:restart 200ms at 2s", "ingress/1:restart 1s at 2260ms"},
		"nobody hears the starter":      {"ingress/0:restart 200ms at 2s", "link/0|1,2:cut 3s at 1900ms"},
		"three restarts in a second":    {"ingress/0:restart 100ms at 2s", "ingress/0:restart 100ms at 2400ms", "ingress/0:restart 100ms at 2800ms"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cfg := peersConfig(t, 3, append(faults, "node/4:slow 8 5s at 1s")...)
			cfg.For, cfg.Rate = 8*time.Second, 0.6
			want := completeViews([]int{0, 1, 2})
			if strings.HasPrefix(name, "new") {
				want = []string{"n1", "n0", ""}
			}
			r := viewsAt(t, cfg, map[time.Duration][]string{7800 * ms: want})
			requireRules(t, r)
			first := map[int]float64{} // time of the first command of each instance after its restart
			for _, c := range r.Commands {
				if at := c.ArrivedAt.Seconds() - r.LoadStartS; at > 2.3 && (first[c.Instance] == 0 || at < first[c.Instance]) {
					first[c.Instance] = at
				}
			}
			if first[0] == 0 || first[0] > 4.5 {
				t.Errorf("seed %d: the started instance sends nothing until %.1f s", r.Seed, first[0])
			}
		})
	}
}

// An instance with a different peer key does not join the group and logs this at a limited rate. It serves without
// peers, and the others are not affected.
func TestWrongKey(t *testing.T) {
	t.Parallel()
	log := &logCapture{}
	cfg := peersConfig(t, 3)
	cfg.For, cfg.WrongKeyInstances, cfg.Log = 4*time.Second, []int{2}, log
	r := viewsAt(t, cfg, map[time.Duration][]string{3 * time.Second: {"n1", "n0", ""}, 3500 * time.Millisecond: {"n1", "n0", ""}})
	requireRules(t, r)
	if n := log.count("datagram rejected", "the key in its peers.key_file is another"); n < 2 || n > 6 {
		t.Errorf("seed %d: got %d log lines on the wrong key, want 2 to 6", r.Seed, n)
	}
}

// sourceEdit replaces a text in a source file, whose path is relative to the module root.
type sourceEdit struct{ file, find, replace string }

// buildEdited builds the ingress with edits of its source, and returns the path of the program.
func buildEdited(t *testing.T, edits ...sourceEdit) string {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	dir, texts, replace := t.TempDir(), map[string]string{}, map[string]string{}
	for _, e := range edits {
		path := filepath.Join(root, filepath.FromSlash(e.file))
		text, known := texts[path]
		if !known {
			b, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			text = string(b)
		}
		if strings.Count(text, e.find) != 1 {
			t.Fatalf("%s: text %q does not occur exactly once", e.file, e.find)
		}
		texts[path] = strings.Replace(text, e.find, e.replace, 1)
	}
	write := func(name string, b []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	for path, text := range texts {
		replace[path] = write(fmt.Sprintf("%d.go", len(replace)), []byte(text))
	}
	o, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		t.Fatal(err)
	}
	program := filepath.Join(dir, "hitchspring")
	if err := Build(t.Context(), program, false, write("overlay.json", o)); err != nil {
		t.Fatal(err)
	}
	return program
}

// versionEdits returns the source edits for a program with the next version of the peer messages, one with a previous
// version, and one with a later version that this version cannot read.
func versionEdits() (next, before, later []sourceEdit) {
	const datagram = "internal/peers/datagram.go"
	field := "	Clock int64 `cbor:\"8,keyasint,omitempty\"`\n"
	second := sourceEdit{datagram, "	Version          = 1\n", "	Version          = 2\n"}
	clock := "	p.Clock = e.now.Microseconds()\n"
	next = []sourceEdit{
		second,
		{datagram, field, field + "	Fresh string `cbor:\"99,keyasint\"`\n"},
		{datagram, clock, clock + "	p.Fresh = \"what is new\"\n"},
	}
	before = []sourceEdit{{datagram, field, "	Clock int64 `cbor:\"-\"`\n"}}
	later = []sourceEdit{second, {datagram, "	minReaderVersion = 1\n", "	minReaderVersion = 2\n"}}
	return next, before, later
}

// Checks a fleet with three versions of the peer messages: one adds a field that the others do not know, one lacks a
// field. All find each other, all avoid a slow backend, and no rule is violated. An instance whose version the others
// cannot read does not join.
func TestMixedMessageVersions(t *testing.T) {
	if os.Getenv("HITCHSPRING_TRIALS") == "" { // builds three programs
		t.Skip("HITCHSPRING_TRIALS is not set")
	}
	now, err := program()
	if err != nil {
		t.Fatal(err)
	}
	nextEdits, beforeEdits, laterEdits := versionEdits()
	next, before, later := buildEdited(t, nextEdits...), buildEdited(t, beforeEdits...), buildEdited(t, laterEdits...)
	t.Run("they understand one another", func(t *testing.T) {
		t.Parallel()
		cfg := peersConfig(t, 3, "node/4:slow 8 5s at 2s")
		cfg.Ingress, cfg.Programs, cfg.For, cfg.Rate = "", []string{now, next, before}, 7*time.Second, 0.7
		r := viewsAt(t, cfg, map[time.Duration][]string{2 * time.Second: completeViews([]int{0, 1, 2}), 6 * time.Second: completeViews([]int{0, 1, 2})})
		requireRules(t, r)
		late := map[int]int{}
		for _, c := range r.Commands {
			if at := c.ArrivedAt.Seconds() - r.LoadStartS; c.Backend == "node-04" && at > 4 && at < 7 {
				late[c.Instance]++
			}
		}
		for i := range 3 {
			if late[i] > 8 {
				t.Errorf("seed %d: n%d still sends to the slow backend: %v", r.Seed, i, late)
			}
		}
	})
	t.Run("one cannot be read", func(t *testing.T) {
		t.Parallel()
		log := &logCapture{}
		cfg := peersConfig(t, 3)
		cfg.Ingress, cfg.Programs, cfg.For, cfg.Log = "", []string{now, now, later}, 4*time.Second, log
		r := viewsAt(t, cfg, map[time.Duration][]string{3 * time.Second: {"n1", "n0", ""}})
		requireRules(t, r)
		if log.count("datagram rejected", "later version") == 0 {
			t.Error("got no log line on a later version", fmt.Sprint(log.count("datagram rejected")))
		}
	})
}

// Checks a fleet of processes of the previous release and of this one: no rule is violated, work and quota move between
// them, and neither gets a message that it cannot read.
func TestMixedWithPreviousVersion(t *testing.T) {
	previous := os.Getenv("HITCHSPRING_PREVIOUS")
	if previous == "" { // path of a program built from the previous release
		t.Skip("HITCHSPRING_PREVIOUS is not set")
	}
	now, err := program()
	if err != nil {
		t.Fatal(err)
	}
	for name, mixed := range map[string][]string{
		"previous ones are killed": {previous, now, previous, now, previous, now},
		"present ones are killed":  {now, previous, now, previous, now, previous},
	} {
		t.Run(name, func(t *testing.T) {
			log := &logCapture{}
			cfg := peersConfig(t, 6, "fleet:slow 5 2s at 3s", "ingress/0:kill at 4s", "ingress/2:kill at 4500ms")
			cfg.Ingress, cfg.Programs, cfg.Log = "", mixed, log
			cfg.Takeover, cfg.Escrow, cfg.For, cfg.Rate = true, true, 9*time.Second, 1
			r := runUntilOnTime(t, cfg)
			requireRules(t, r)
			for _, line := range []string{"cannot be read", "messages are left aside", "unreadable message", "datagram rejected"} {
				if n := log.count(line, ""); n > 0 {
					t.Errorf("got %d lines with %q, want none", n, line)
				}
			}
			takenOver := 0
			for _, request := range r.KeyedRequests {
				if request.Effects > 1 {
					t.Errorf("got two effects of %+v", request)
				}
				if request.FirstUnanswered && request.OtherInstanceAt > 0 {
					takenOver++
				}
			}
			if violations := CheckHistory(r.History); len(violations) > 0 {
				t.Errorf("got %v, want no violations", violations)
			}
			if takenOver == 0 {
				t.Error("got no work that was taken over between the versions, want some")
			}
		})
	}
}
