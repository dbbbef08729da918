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
		var l policy.Learned
		for range rapid.IntRange(0, 20).Draw(t, "customers") {
			unit := rapid.Float64Range(-50, 500)
			l.Customers = append(l.Customers, policy.LearnedCustomer{Block: unit.Draw(t, "block"), Owed: unit.Draw(t, "owed"),
				Ceiling: unit.Draw(t, "ceiling"), Demand: rapid.Float64Range(0, 1000).Draw(t, "demand")})
		}
		kept, given := Split(l)
		for i, c := range l.Customers {
			k, g := kept[i], given.Customers[i]
			near := func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
			if !near(k.Block+g.Block, c.Block) || !near(k.Ceiling+g.Ceiling, c.Ceiling) || !near(k.Owed+g.Owed, c.Owed) || k.Owed != 0 {
				t.Fatalf("%+v was split into %+v and %+v", c, k, g)
			}
			if k.Block < 0 || k.Block > max(0, c.Block)*keepMost || k.Ceiling < 0 || k.Ceiling > max(0, c.Ceiling)*keepMost {
				t.Fatalf("the old process keeps %+v of %+v", k, c)
			}
		}
	})
}

func example(now time.Duration) State {
	return State{Listen: "127.0.0.1:1", At: now, List: discovery.List{Rev: 7, All: true, Targets: []discovery.Target{{UID: "s0"}}},
		Learned: policy.Learned{Window: 3, Customers: []policy.LearnedCustomer{{ID: "c", Plan: "p", Spread: 2, Block: -1, At: now}}}}
}

// What cannot be the file of this ingress's last process is left aside whole.
func TestDecode(t *testing.T) {
	const now = 100 * time.Hour
	good, err := Encode(example(now))
	if err != nil {
		t.Fatal(err)
	}
	if s, err := Decode(good, "127.0.0.1:1", now+time.Second); err != nil || s.Learned.Customers[0].Block != -1 || s.List.Rev != 7 {
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
		"forged":   {change(func(s *State) { s.Learned.Busy = 1 << 40 }), "busy"},
		"open":     {change(func(s *State) { s.Learned.Customers[0].Open = -1 }), "open -1"},
		"figure":   {change(func(s *State) { s.Learned.Customers[0].Level = 1e300 }), "Level"},
		"time":     {change(func(s *State) { s.Learned.Customers[0].Looked = -5 }), "Looked"},
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
	if a.Others() != 1 || b.Others() != 1 || stranger.Others() != 0 {
		t.Fatalf("others: %d, %d, %d", a.Others(), b.Others(), stranger.Others())
	}
	if err := a.Take(t.Context()); err != nil {
		t.Fatal(err)
	}
	got := make(chan error, 1)
	go func() { got <- b.Take(t.Context()) }()
	select {
	case err := <-got:
		t.Fatal("two hold the baton: ", err)
	case <-time.After(50 * time.Millisecond):
	}
	a.Close() // as the kernel does for one that was killed
	if err := <-got; err != nil {
		t.Fatal(err)
	}
	if b.Others() != 0 {
		t.Fatal("the one that has gone is still there")
	}
}

// A word is on file before Save returns, beside what the other has put there, and a state is read once.
func TestFiles(t *testing.T) {
	dir := t.TempDir()
	a, b := open(t, dir, "127.0.0.1:1"), open(t, dir, "127.0.0.1:1")
	for d, w := range map[*Dir]override.Word{a: {ID: "s1", Out: true, At: 1}, b: {ID: "s2", Out: true, At: 2}} {
		if err := d.Save([]override.Word{w}); err != nil {
			t.Fatal(err)
		}
	}
	if w := a.Words(); len(w) != 2 || w[0].ID != "s1" || w[1].ID != "s2" {
		t.Fatalf("on file: %v", w)
	}
	now := time.Duration(time.Now().UnixNano())
	if _, ok := b.Left(now); ok {
		t.Fatal("a state that nobody has left")
	}
	s := example(now)
	if err := a.Leave(s); err != nil {
		t.Fatal(err)
	}
	if s, ok := b.Left(now); !ok || s.List.Rev != 7 {
		t.Fatalf("%v %+v", ok, s)
	}
	if _, ok := b.Left(now); ok {
		t.Fatal("a state was read twice")
	}
	// Neither file can stop a start, and a bad one does not stop words from being kept.
	for _, ending := range []string{".state", ".words"} {
		if err := os.WriteFile(filepath.Join(dir, "hitchspring-127.0.0.1_1"+ending), []byte("{torn"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if _, ok := b.Left(now); ok || len(b.Words()) > 0 {
		t.Fatal("torn files were believed")
	}
	if err := b.Save([]override.Word{{ID: "s3", Out: true, At: 3}}); err != nil || len(b.Words()) != 1 {
		t.Fatal(err, b.Words())
	}
}
