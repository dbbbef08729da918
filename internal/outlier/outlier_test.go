package outlier

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hitchspring/policy"
)

const ms = time.Millisecond

var cfg = Config{Hall: "a", Memory: 12 * time.Second}

const now = time.Hour

// accuses is the opinion of an instance in a hall, with so much evidence, whose trouble began some time ago.
func accuses(owner, hall string, bad float64, onset time.Duration) Heard {
	return Heard{owner, hall, Opinion{Node: "n", Bad: bad, Onset: now - onset, LastBad: now - onset/4, Cause: Slow}}
}

func defends(owner, hall string, good float64, ago time.Duration) Heard {
	return Heard{owner, hall, Opinion{Node: "n", Good: good, LastGood: now - ago}}
}

func mine(good, bad float64, lastGood, lastBad time.Duration) Opinion {
	o := Opinion{Node: "n", Good: good, Bad: bad}
	if good > 0 {
		o.LastGood = now - lastGood
	}
	if bad > 0 {
		o.LastBad, o.Onset = now-lastBad, now-lastBad
	}
	return o
}

// Whose word counts, and for how much.
func TestJudge(t *testing.T) {
	quiet := Opinion{Node: "n"}
	for name, c := range map[string]struct {
		mine  Opinion
		heard []Heard
		least float64
		most  float64
	}{
		"nobody speaks":                          {quiet, nil, 1, 1},
		"one word, however strong":               {quiet, []Heard{accuses("x", "a", 8, time.Second)}, 1, 1},
		"two of this hall":                       {quiet, []Heard{accuses("x", "a", 3, time.Second), accuses("y", "a", 3, time.Second)}, 6, 8},
		"one word and this instance's own":       {mine(0, 3, 0, 200*ms), []Heard{accuses("x", "a", 3, time.Second)}, 6, 8},
		"two of another hall":                    {quiet, []Heard{accuses("x", "b", 3, time.Second), accuses("y", "b", 3, time.Second)}, 1, 1},
		"one each of two other halls":            {quiet, []Heard{accuses("x", "b", 3, time.Second), accuses("y", "c", 3, time.Second)}, 6, 8},
		"a whole hall, and it serves here":       {mine(4, 0, 100*ms, 0), []Heard{accuses("x", "b", 8, time.Second), accuses("y", "b", 8, time.Second), accuses("z", "c", 8, time.Second)}, 1, 1},
		"it served here, before the trouble":     {mine(4, 0, 2*time.Second, 0), []Heard{accuses("x", "a", 3, time.Second), accuses("y", "a", 3, time.Second)}, 6, 8},
		"two words, and two that it serves":      {quiet, []Heard{accuses("x", "a", 3, time.Second), accuses("y", "a", 3, time.Second), defends("v", "a", 4, 100*ms), defends("w", "a", 4, 100*ms)}, 1, 1},
		"two words, and one that it served once": {quiet, []Heard{accuses("x", "a", 3, time.Second), accuses("y", "a", 3, time.Second), defends("v", "a", 4, 2*time.Second)}, 6, 8},
		"a queue that one was served after":      {quiet, []Heard{accuses("x", "a", 3, time.Second), accuses("y", "a", 3, 300*ms), defends("v", "a", 8, 500*ms)}, 1, 1},
		"trouble that began just now":            {quiet, []Heard{accuses("x", "a", 3, 100*ms), accuses("y", "a", 3, 100*ms)}, 1, 1},
		"two weak words":                         {quiet, []Heard{accuses("x", "a", 1, time.Second), accuses("y", "a", 1, time.Second)}, 1, 1},
		"six weak words":                         {quiet, []Heard{accuses("1", "a", 1, time.Second), accuses("2", "a", 1, time.Second), accuses("3", "a", 1, time.Second), accuses("4", "a", 1, time.Second), accuses("5", "a", 1, time.Second), accuses("6", "a", 1, time.Second)}, 6, 8},
		"old words":                              {quiet, []Heard{accuses("x", "a", 3, 4*20*time.Second), accuses("y", "a", 3, 4*20*time.Second)}, 1.5, 4},
		"words beyond the horizon":               {quiet, []Heard{accuses("x", "a", 8, 4*31*time.Second), accuses("y", "a", 8, 4*31*time.Second)}, 1, 1},
	} {
		if v := Judge(now, cfg, c.mine, c.heard); v.Slow < c.least || v.Slow > c.most {
			t.Errorf("%s: %+v, want %v to %v", name, v, c.least, c.most)
		}
	}
}

// Whatever one owner says, in whatever strength, and whatever the order of words: alone it never makes a node slow, and it never
// counts for more than one.
func TestOneWordNeverCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voice := rapid.Custom(func(t *rapid.T) Heard {
			h := accuses(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "owner"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "hall"), rapid.Float64Range(0, 8).Draw(t, "bad"),
				time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "onset")))
			if rapid.Bool().Draw(t, "for") {
				h = defends(h.Owner, h.Hall, h.Bad, time.Second)
			}
			return h
		})
		words := rapid.SliceOfNDistinct(voice, 0, 3, func(h Heard) string { return h.Owner }).Draw(t, "words")
		v := Judge(now, cfg, Opinion{Node: "n"}, words)
		w := Judge(now, cfg, Opinion{Node: "n"}, rapid.Permutation(words).Draw(t, "order"))
		if v.Slow-w.Slow > 1e-9 || w.Slow-v.Slow > 1e-9 {
			t.Fatalf("%v by one order, %v by another", v.Slow, w.Slow)
		}
		accusers := 0
		for _, h := range words {
			if h.Accuses() {
				accusers++
			}
		}
		if accusers < 2 && v.Slow > 1 || v.Slow > mostSlow || v.Slow < 1 {
			t.Fatalf("%+v", v)
		}
		strong := slices.Clone(words)
		for i := range strong {
			if strong[i].Accuses() && strong[i].Bad >= fullWeight {
				strong[i].Bad *= 1000 // it can't shout louder
			}
		}
		if x := Judge(now, cfg, Opinion{Node: "n"}, strong); x.Slow > v.Slow+1e-9 {
			t.Fatalf("%v where one shouts, %v where not", x.Slow, v.Slow)
		}
	})
}

// All nodes slow at once make no blame.
func TestRestrain(t *testing.T) {
	for bad, want := range map[int]bool{0: false, 1: false, 3: false, 4: true, 12: true} {
		list := make([]Verdict, 12)
		for i := range list {
			if list[i] = (Verdict{Slow: 1}); i < bad {
				list[i].Slow, list[i].Voices = 6, 2
			}
		}
		if got := Restrain(list, 12); got != want {
			t.Errorf("%d of 12: %v", bad, got)
		}
		for _, v := range list {
			if want && v.Slow > 1 {
				t.Errorf("%d of 12: %v stays", bad, v.Slow)
			}
		}
	}
}

// A blame goes by each instance's own chance, and not with a step; where the node serves this instance it goes at once.
func TestFader(t *testing.T) {
	var at []time.Duration
	for i := range 40 {
		f := NewFader(rand.New(rand.NewPCG(uint64(i), 1)))
		f.Hold(0, []Verdict{{Node: "n", Slow: 8}})
		last := 8.0
		for now := 50 * ms; ; now += 50 * ms {
			slow := f.Hold(now, []Verdict{{Node: "n", Slow: 1}})["n"]
			if slow > last || last-slow > 0.12*last+0.06 && slow > 0 {
				t.Fatalf("from %v to %v", last, slow)
			}
			if last = slow; slow < 2 {
				at = append(at, now)
				break
			}
		}
	}
	slices.Sort(at)
	if spread := at[36] - at[4]; at[0] < 500*ms || at[39] > 6*time.Second || spread < time.Second {
		t.Fatalf("they come back from %v to %v", at[0], at[39])
	}
	f := NewFader(rand.New(rand.NewPCG(1, 1)))
	f.Hold(0, []Verdict{{Node: "n", Slow: 8}})
	if got := f.Hold(50*ms, []Verdict{{Node: "n", Slow: 1, Defence: []string{""}}}); len(got) != 0 {
		t.Fatal(got)
	}
}

// warm is a sight of two nodes that both have answered in 100 ms for a while.
func warm() (*Sight, time.Duration) {
	s := NewSight()
	s.Listed(map[policy.ServerID]time.Duration{"n": 1, "m": 1})
	at := time.Minute
	for i := range 20 {
		for k, id := range []policy.ServerID{"n", "m"} {
			try := Try{policy.RequestID(2*i + k), 0}
			s.Sent(at, id, try, "read")
			s.Ended(at+100*ms, try, policy.Done)
		}
		at += 100 * ms
	}
	return s, at
}

// What counts as evidence: an attempt that takes long before it ends, one that a later copy has beaten, failures; not one that was
// called off early or never sent. One bad end makes an opinion, the next good one ends it.
func TestSight(t *testing.T) {
	for name, c := range map[string]struct {
		do      func(s *Sight, at time.Duration) time.Duration
		accuses bool
		cause   Cause
	}{
		"answers in time": {func(s *Sight, at time.Duration) time.Duration {
			s.Sent(at, "n", Try{900, 0}, "read")
			s.Ended(at+150*ms, Try{900, 0}, policy.Done)
			return at + 150*ms
		}, false, NoCause},
		"takes long, and has not ended": {func(s *Sight, at time.Duration) time.Duration {
			s.Sent(at, "n", Try{900, 0}, "read")
			s.Tick(at + 700*ms)
			return at + 700*ms
		}, true, Slow},
		"takes long, and is served at last": {func(s *Sight, at time.Duration) time.Duration {
			s.Sent(at, "n", Try{900, 0}, "read")
			s.Tick(at + 700*ms)
			s.Ended(at+800*ms, Try{900, 0}, policy.Done)
			return at + 800*ms
		}, true, Slow},
		"beaten by a later copy": {func(s *Sight, at time.Duration) time.Duration {
			s.Sent(at, "n", Try{900, 0}, "read")
			s.Sent(at+200*ms, "m", Try{900, 1}, "read")
			s.Ended(at+300*ms, Try{900, 1}, policy.Done)
			s.Ended(at+300*ms, Try{900, 0}, policy.Cancelled)
			return at + 300*ms
		}, true, Slow},
		"the later copy is beaten": {func(s *Sight, at time.Duration) time.Duration {
			s.Sent(at, "m", Try{900, 0}, "read")
			s.Sent(at+200*ms, "n", Try{900, 1}, "read")
			s.Ended(at+300*ms, Try{900, 0}, policy.Done)
			s.Ended(at+300*ms, Try{900, 1}, policy.Cancelled)
			return at + 300*ms
		}, false, NoCause},
		"called off, for its client has left": {func(s *Sight, at time.Duration) time.Duration {
			s.Sent(at, "n", Try{900, 0}, "read")
			s.Ended(at+300*ms, Try{900, 0}, policy.Cancelled)
			return at + 300*ms
		}, false, NoCause},
		"can't be reached": {func(s *Sight, at time.Duration) time.Duration {
			s.Sent(at, "n", Try{900, 0}, "read")
			s.Ended(at+ms, Try{900, 0}, policy.NoConnect)
			return at + ms
		}, true, Unreachable},
		"turned away for it was full": {func(s *Sight, at time.Duration) time.Duration {
			s.Sent(at, "n", Try{900, 0}, "read")
			s.Ended(at+ms, Try{900, 0}, policy.Full)
			return at + ms
		}, false, NoCause},
		"bad, then good": {func(s *Sight, at time.Duration) time.Duration {
			s.Sent(at, "n", Try{900, 0}, "read")
			s.Ended(at+ms, Try{900, 0}, policy.Reset)
			s.Sent(at+ms, "n", Try{901, 0}, "read")
			s.Ended(at+100*ms, Try{901, 0}, policy.Done)
			return at + 100*ms
		}, false, Failing},
		"another start": {func(s *Sight, at time.Duration) time.Duration {
			s.Sent(at, "n", Try{900, 0}, "read")
			s.Listed(map[policy.ServerID]time.Duration{"n": 2, "m": 1})
			s.Ended(at+ms, Try{900, 0}, policy.Reset)
			return at + ms
		}, false, NoCause},
	} {
		s, at := warm()
		at = c.do(s, at)
		if o, _ := s.Opinion(at, "n"); o.Accuses() != c.accuses || o.Accuses() && o.Cause != c.cause {
			t.Errorf("%s: %+v", name, o)
		}
		if o, _ := s.Opinion(at, "m"); o.Accuses() {
			t.Errorf("%s: the other: %+v", name, o)
		}
		if len(s.tries) > 1 {
			t.Errorf("%s: %d tries are kept", name, len(s.tries))
		}
	}
}

// An opinion told is the opinion heard, whatever was seen; nonsense is an error.
func TestWords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Opinion{Node: "n", Started: time.Duration(rapid.Int64Range(0, 1<<40).Draw(t, "started")) * ms, Good: rapid.Float64Range(0, mostBad).Draw(t, "good"),
			Bad: rapid.Float64Range(0, mostBad).Draw(t, "bad"), Cause: Failing, LastGood: time.Hour, LastBad: time.Hour + ms*time.Duration(rapid.Int64Range(-1000, 1000).Draw(t, "bad at"))}
		o.Onset = o.LastBad - ms*time.Duration(rapid.Int64Range(0, 10000).Draw(t, "onset"))
		got, err := Decode("n", o.Born(), o.Encode())
		if err != nil || got.Accuses() != o.Accuses() || got.Started != o.Started || got.Accuses() && (got.Onset != o.Onset || got.LastBad != o.LastBad) || !got.Accuses() && got.LastGood != o.LastGood {
			t.Fatalf("%+v is heard as %+v, %v", o, got, err)
		}
	})
	for _, data := range [][]byte{nil, {0xff}, []byte("nonsense"), {0xa1, 2, 0xfb, 0x7f, 0xf0, 0, 0, 0, 0, 0, 0}, {0xa1, 4, 0xf5}, {0xa1, 5, 0x20}} {
		if o, err := Decode("n", now, data); err == nil {
			t.Errorf("%x: %+v", data, o)
		}
	}
}

// Only what is worth telling is told, and not again and again.
func TestTeller(t *testing.T) {
	s, at := warm()
	tell := NewTeller()
	none := map[policy.ServerID]time.Duration{}
	if out := tell.Tell(at, s.Opinions(at, nil), none); len(out) != 0 {
		t.Fatal("healthy nodes are told of", out)
	}
	if out := tell.Tell(at, s.Opinions(at, nil), map[policy.ServerID]time.Duration{"n": at - time.Minute}); len(out) != 1 || out[0].Node != "n" || out[0].Accuses() {
		t.Fatal("an accused node is not defended", out)
	}
	if out := tell.Tell(at+ms, s.Opinions(at, nil), map[policy.ServerID]time.Duration{"n": at - time.Minute}); len(out) != 0 {
		t.Fatal("twice", out)
	}
	if out := tell.Tell(at+ms, s.Opinions(at, nil), map[policy.ServerID]time.Duration{"m": at + ms}); len(out) != 0 {
		t.Fatal("it served before the trouble began, which says nothing", out)
	}
	for i := range 5 {
		try := Try{policy.RequestID(900 + i), 0}
		s.Sent(at, "m", try, "read")
		s.Ended(at+time.Duration(i)*ms, try, policy.Reset)
	}
	told := 0
	for i := range 100 {
		told += len(tell.Tell(at+time.Duration(i)*50*ms, s.Opinions(at+5*ms, nil), none))
	}
	if told != 1 {
		t.Fatalf("told %d times", told)
	}
}

// A node is judged beside the others: where all are slow at once nobody is to blame, whether they answer late, run into their time, are
// beaten by later copies or have not answered yet; one that is slow beside others that are a little slow is.
func TestAllAreSlow(t *testing.T) {
	usual := 50 * ms
	for name, c := range map[string]struct {
		slow   func(node int) float64
		ends   policy.Outcome
		accuse int // nodes
	}{
		"all are fine":                  {func(int) float64 { return 1 }, policy.Done, 0},
		"one crawls":                    {func(n int) float64 { return []float64{10, 1}[min(n, 1)] }, policy.Done, 1},
		"one is cut off":                {func(n int) float64 { return []float64{20, 1}[min(n, 1)] }, policy.TimedOut, 1},
		"one of them is beaten":         {func(n int) float64 { return []float64{5, 1}[min(n, 1)] }, policy.Cancelled, 1},
		"all crawl":                     {func(int) float64 { return 10 }, policy.Done, 0},
		"all crawl, unevenly":           {func(n int) float64 { return 8 + float64(n%3) }, policy.Done, 0},
		"all crawl and run out of time": {func(int) float64 { return 10 }, policy.TimedOut, 0},
		"all crawl, and are beaten":     {func(int) float64 { return 10 }, policy.Cancelled, 0},
		"all are slower, one crawls":    {func(n int) float64 { return []float64{30, 3}[min(n, 1)] }, policy.Done, 1},
		"a quarter crawls":              {func(n int) float64 { return []float64{10, 1, 1, 1}[n%4] }, policy.Done, 3},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewSight()
			const nodes = 12
			starts := map[policy.ServerID]time.Duration{}
			id := func(n int) policy.ServerID { return policy.ServerID(string(rune('a' + n))) }
			for n := range nodes {
				starts[id(n)] = 1
			}
			s.Listed(starts)
			at, request := time.Hour, policy.RequestID(0)
			try := func(n int, slow float64) (Try, time.Duration) {
				request++
				s.Sent(at, id(n), Try{request, 0}, "c")
				return Try{request, 0}, at + time.Duration(slow*float64(usual))
			}
			for range 20 {
				for n := range nodes {
					x, end := try(n, 1)
					s.Ended(end, x, policy.Done)
				}
				at += usual
			}
			type end struct {
				try Try
				at  time.Duration
				how policy.Outcome
			}
			var ends []end
			for n := range nodes {
				slow, how := c.slow(n), policy.Done
				if slow > 3 {
					how = c.ends
				}
				x, when := try(n, slow)
				ends = append(ends, end{x, when, how})
			}
			slices.SortStableFunc(ends, func(a, b end) int { return int(a.at - b.at) })
			for _, e := range ends {
				for ; at < e.at; at += 5 * ms {
					s.Tick(at)
				}
				if e.how == policy.Cancelled { // a later copy was served first
					s.Sent(e.at-usual, "z", Try{e.try.Request, 1}, "c")
					s.won = Try{e.try.Request, 1}
				}
				s.Ended(e.at, e.try, e.how)
			}
			var accused []policy.ServerID
			for _, o := range s.Opinions(at, nil) {
				if o.Accuses() {
					accused = append(accused, o.Node)
				}
			}
			if len(accused) != c.accuse {
				t.Errorf("%v are accused, want %d", accused, c.accuse)
			}
		})
	}
}
