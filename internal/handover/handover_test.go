package handover

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"hitchspring/internal/discovery"
	"hitchspring/internal/override"
	"hitchspring/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var quiet = slog.New(slog.DiscardHandler)

// No unit is doubled or lost in a split, and only one of the two tells the counter.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l policy.LearnedState
		for range rapid.IntRange(0, 20).Draw(t, "customers") {
			unit := rapid.Float64Range(-50, 500)
			l.Tenants = append(l.Tenants, policy.LearnedTenant{
				LeasedUnits: unit.Draw(t, "block"), UnreportedUnits: unit.Draw(t, "owed"),
				CeilingLevel: unit.Draw(t, "ceiling"), Demand: rapid.Float64Range(0, 1000).Draw(t, "demand"),
			})
		}
		kept, given := Split(l)
		for i, c := range l.Tenants {
			k, g := kept[i], given.Tenants[i]
			near := func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
			if !near(k.LeasedUnits+g.LeasedUnits, c.LeasedUnits) || !near(k.CeilingLevel+g.CeilingLevel, c.CeilingLevel) || !near(k.UnreportedUnits+g.UnreportedUnits, c.UnreportedUnits) || k.UnreportedUnits != 0 {
				t.Fatalf("%+v was split into %+v and %+v", c, k, g)
			}
			if k.LeasedUnits < 0 || k.LeasedUnits > max(0, c.LeasedUnits)*keepMost || k.CeilingLevel < 0 || k.CeilingLevel > max(0, c.CeilingLevel)*keepMost {
				t.Fatalf("the old process keeps %+v of %+v", k, c)
			}
		}
	})
}

func example(now time.Duration) State {
	return State{
		Listen: "127.0.0.1:1", At: now, List: discovery.List{Rev: 7, Complete: true, Targets: []discovery.Target{{UID: "s0"}}},
		Learned: policy.LearnedState{Window: 3, Tenants: []policy.LearnedTenant{{ID: "c", Plan: "p", Spread: 2, LeasedUnits: -1, LevelAt: now}}},
	}
}

// What cannot be the file of this ingress's last process is left aside whole.
func TestDecode(t *testing.T) {
	const now = 100 * time.Hour
	good, err := Encode(example(now))
	if err != nil {
		t.Fatal(err)
	}
	if s, err := Decode(good, "127.0.0.1:1", now+time.Second); err != nil || s.Learned.Tenants[0].LeasedUnits != -1 || s.List.Rev != 7 {
		t.Fatalf("%+v, %v", s, err)
	}
	change := func(do func(*State)) []byte {
		s := example(now)
		do(&s)
		s.Version = max(s.Version, Version)
		b, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	for name, c := range map[string]struct {
		text []byte
		want string
	}{
		"empty":    {nil, "EOF"},
		"torn":     {good[:len(good)/2], "unexpected EOF"},
		"two":      {append(bytes.Clone(good), good...), "behind its end"},
		"newer":    {change(func(s *State) { s.Version = Version + 1 }), "version"},
		"foreign":  {change(func(s *State) { s.Listen = "127.0.0.1:2" }), "127.0.0.1:2"},
		"old":      {change(func(s *State) { s.At = now - time.Hour }), "old"},
		"to come":  {change(func(s *State) { s.At = now + time.Hour }), "old"},
		"forged":   {change(func(s *State) { s.Learned.InFlight = 1 << 40 }), "busy"},
		"open":     {change(func(s *State) { s.Learned.Tenants[0].InFlight = -1 }), "open -1"},
		"figure":   {change(func(s *State) { s.Learned.Tenants[0].Level = 1e300 }), "Level"},
		"time":     {change(func(s *State) { s.Learned.Tenants[0].TotalAt = -5 }), "Looked"},
		"key":      {[]byte(`{"version":1,"more":2}`), "more"},
		"too long": {bytes.Repeat([]byte(" "), mostBytes+1), "at most"},
	} {
		if _, err := Decode(c.text, "127.0.0.1:1", now); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want an error with %q", name, err, c.want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	good, _ := Encode(example(time.Hour))
	f.Add(good)
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Decode(b, "127.0.0.1:1", time.Hour)
		if err == nil && (s.Version != Version || s.Listen != "127.0.0.1:1") {
			t.Fatalf("taken: %+v", s)
		}
		decodeWords(b, "127.0.0.1:1")
	})
}

func open(t *testing.T, dir, listen string) *Dir {
	t.Helper()
	d, err := Open(dir, listen, quiet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// The baton has one holder, and the next gets it when that lets go or dies; each sees the others by their locks alone.
func TestBatonAndOthers(t *testing.T) {
	dir := t.TempDir()
	a, b := open(t, dir, "127.0.0.1:1"), open(t, dir, "127.0.0.1:1")
	stranger := open(t, dir, "127.0.0.1:2")
	if a.SiblingCount() != 1 || b.SiblingCount() != 1 || stranger.SiblingCount() != 0 {
		t.Fatalf("others: %d, %d, %d", a.SiblingCount(), b.SiblingCount(), stranger.SiblingCount())
	}
	if err := a.Lock(t.Context()); err != nil {
		t.Fatal(err)
	}
	got := make(chan error, 1)
	go func() { got <- b.Lock(t.Context()) }()
	select {
	case err := <-got:
		t.Fatal("two hold the baton: ", err)
	case <-time.After(50 * time.Millisecond):
	}
	a.Close() // as the kernel does for one that was killed
	if err := <-got; err != nil {
		t.Fatal(err)
	}
	if b.SiblingCount() != 0 {
		t.Fatal("the one that has gone is still there")
	}
}

// A word is on file before Save returns, beside what the other has put there, and a state is read once.
func TestFiles(t *testing.T) {
	dir := t.TempDir()
	a, b := open(t, dir, "127.0.0.1:1"), open(t, dir, "127.0.0.1:1")
	for d, w := range map[*Dir]override.Override{a: {ID: "s1", Suspended: true, At: 1}, b: {ID: "s2", Suspended: true, At: 2}} {
		if err := d.Save([]override.Override{w}); err != nil {
			t.Fatal(err)
		}
	}
	if w := a.Overrides(); len(w) != 2 || w[0].ID != "s1" || w[1].ID != "s2" {
		t.Fatalf("on file: %v", w)
	}
	now := time.Duration(time.Now().UnixNano())
	if _, ok := b.ReadState(now); ok {
		t.Fatal("a state that nobody has left")
	}
	s := example(now)
	if err := a.WriteState(s); err != nil {
		t.Fatal(err)
	}
	if s, ok := b.ReadState(now); !ok || s.List.Rev != 7 {
		t.Fatalf("%v %+v", ok, s)
	}
	if _, ok := b.ReadState(now); ok {
		t.Fatal("a state was read twice")
	}
	// Neither file can stop a start, and a bad one does not stop words from being kept.
	for _, ending := range []string{".state", ".words"} {
		if err := os.WriteFile(filepath.Join(dir, "hitchspring-127.0.0.1_1"+ending), []byte("{torn"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if _, ok := b.ReadState(now); ok || len(b.Overrides()) > 0 {
		t.Fatal("torn files were believed")
	}
	if err := b.Save([]override.Override{{ID: "s3", Suspended: true, At: 3}}); err != nil || len(b.Overrides()) != 1 {
		t.Fatal(err, b.Overrides())
	}
}
