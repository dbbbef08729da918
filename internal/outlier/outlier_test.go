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

var cfg = Config{Zone: "a", HalfLife: 12 * time.Second}

const now = time.Hour

// accuses is the opinion of an instance in a hall, with so much evidence, whose trouble began some time ago.
func accuses(owner, hall string, bad float64, onset time.Duration) PeerObservation {
	return PeerObservation{owner, hall, Observation{Backend: "n", Bad: bad, Onset: now - onset, LastBad: now - onset/4, Cause: Slow}}
}

func defends(owner, hall string, good float64, ago time.Duration) PeerObservation {
	return PeerObservation{owner, hall, Observation{Backend: "n", Good: good, LastGood: now - ago}}
}

func mine(good, bad float64, lastGood, lastBad time.Duration) Observation {
	o := Observation{Backend: "n", Good: good, Bad: bad}
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
	quiet := Observation{Backend: "n"}
	for name, c := range map[string]struct {
		mine  Observation
		heard []PeerObservation
		least float64
		most  float64
	}{
		"nobody speaks":                          {quiet, nil, 1, 1},
		"one word, however strong":               {quiet, []PeerObservation{accuses("x", "a", 8, time.Second)}, 1, 1},
		"two of this hall":                       {quiet, []PeerObservation{accuses("x", "a", 3, time.Second), accuses("y", "a", 3, time.Second)}, 6, 8},
		"one word and this instance's own":       {mine(0, 3, 0, 200*ms), []PeerObservation{accuses("x", "a", 3, time.Second)}, 6, 8},
		"two of another hall":                    {quiet, []PeerObservation{accuses("x", "b", 3, time.Second), accuses("y", "b", 3, time.Second)}, 1, 1},
		"one each of two other halls":            {quiet, []PeerObservation{accuses("x", "b", 3, time.Second), accuses("y", "c", 3, time.Second)}, 6, 8},
		"a whole hall, and it serves here":       {mine(4, 0, 100*ms, 0), []PeerObservation{accuses("x", "b", 8, time.Second), accuses("y", "b", 8, time.Second), accuses("z", "c", 8, time.Second)}, 1, 1},
		"it served here, before the trouble":     {mine(4, 0, 2*time.Second, 0), []PeerObservation{accuses("x", "a", 3, time.Second), accuses("y", "a", 3, time.Second)}, 6, 8},
		"two words, and two that it serves":      {quiet, []PeerObservation{accuses("x", "a", 3, time.Second), accuses("y", "a", 3, time.Second), defends("v", "a", 4, 100*ms), defends("w", "a", 4, 100*ms)}, 1, 1},
		"two words, and one that it served once": {quiet, []PeerObservation{accuses("x", "a", 3, time.Second), accuses("y", "a", 3, time.Second), defends("v", "a", 4, 2*time.Second)}, 6, 8},
		"a queue that one was served after":      {quiet, []PeerObservation{accuses("x", "a", 3, time.Second), accuses("y", "a", 3, 300*ms), defends("v", "a", 8, 500*ms)}, 1, 1},
		"trouble that began just now":            {quiet, []PeerObservation{accuses("x", "a", 3, 100*ms), accuses("y", "a", 3, 100*ms)}, 1, 1},
		"two weak words":                         {quiet, []PeerObservation{accuses("x", "a", 1, time.Second), accuses("y", "a", 1, time.Second)}, 1, 1},
		"six weak words":                         {quiet, []PeerObservation{accuses("1", "a", 1, time.Second), accuses("2", "a", 1, time.Second), accuses("3", "a", 1, time.Second), accuses("4", "a", 1, time.Second), accuses("5", "a", 1, time.Second), accuses("6", "a", 1, time.Second)}, 6, 8},
		"old words":                              {quiet, []PeerObservation{accuses("x", "a", 3, 4*20*time.Second), accuses("y", "a", 3, 4*20*time.Second)}, 1.5, 4},
		"words beyond the horizon":               {quiet, []PeerObservation{accuses("x", "a", 8, 4*31*time.Second), accuses("y", "a", 8, 4*31*time.Second)}, 1, 1},
	} {
		if v := Assess(now, cfg, c.mine, c.heard); v.Slowness < c.least || v.Slowness > c.most {
			t.Errorf("%s: %+v, want %v to %v", name, v, c.least, c.most)
		}
	}
}

// Whatever one owner says, in whatever strength, and whatever the order of words: alone it never makes a node slow, and it never
// counts for more than one.
func TestOneWordNeverCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voice := rapid.Custom(func(t *rapid.T) PeerObservation {
			h := accuses(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "owner"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "hall"), rapid.Float64Range(0, 8).Draw(t, "bad"),
				time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "onset")))
			if rapid.Bool().Draw(t, "for") {
				h = defends(h.Owner, h.Zone, h.Bad, time.Second)
			}
			return h
		})
		words := rapid.SliceOfNDistinct(voice, 0, 3, func(h PeerObservation) string { return h.Owner }).Draw(t, "words")
		v := Assess(now, cfg, Observation{Backend: "n"}, words)
		w := Assess(now, cfg, Observation{Backend: "n"}, rapid.Permutation(words).Draw(t, "order"))
		if v.Slowness-w.Slowness > 1e-9 || w.Slowness-v.Slowness > 1e-9 {
			t.Fatalf("%v by one order, %v by another", v.Slowness, w.Slowness)
		}
		accusers := 0
		for _, h := range words {
			if h.IsAdverse() {
				accusers++
			}
		}
		if accusers < 2 && v.Slowness > 1 || v.Slowness > mostSlow || v.Slowness < 1 {
			t.Fatalf("%+v", v)
		}
		strong := slices.Clone(words)
		for i := range strong {
			if strong[i].IsAdverse() && strong[i].Bad >= fullWeight {
				strong[i].Bad *= 1000 // it can't shout louder
			}
		}
		if x := Assess(now, cfg, Observation{Backend: "n"}, strong); x.Slowness > v.Slowness+1e-9 {
			t.Fatalf("%v where one shouts, %v where not", x.Slowness, v.Slowness)
		}
	})
}

// All nodes slow at once make no blame.
func TestRestrain(t *testing.T) {
	for bad, want := range map[int]bool{0: false, 1: false, 3: false, 4: true, 12: true} {
		list := make([]Assessment, 12)
		for i := range list {
			if list[i] = (Assessment{Slowness: 1}); i < bad {
				list[i].Slowness, list[i].AdverseCount = 6, 2
			}
		}
		if got := LimitEjections(list, 12); got != want {
			t.Errorf("%d of 12: %v", bad, got)
		}
		for _, v := range list {
			if want && v.Slowness > 1 {
				t.Errorf("%d of 12: %v stays", bad, v.Slowness)
			}
		}
	}
}

// A blame goes by each instance's own chance, and not with a step; where the node serves this instance it goes at once.
func TestFader(t *testing.T) {
	var at []time.Duration
	for i := range 40 {
		f := NewDecay(rand.New(rand.NewPCG(uint64(i), 1)))
		f.Apply(0, []Assessment{{Backend: "n", Slowness: 8}})
		last := 8.0
		for now := 50 * ms; ; now += 50 * ms {
			slow := f.Apply(now, []Assessment{{Backend: "n", Slowness: 1}})["n"]
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
	f := NewDecay(rand.New(rand.NewPCG(1, 1)))
	f.Apply(0, []Assessment{{Backend: "n", Slowness: 8}})
	if got := f.Apply(50*ms, []Assessment{{Backend: "n", Slowness: 1, Defenders: []string{""}}}); len(got) != 0 {
		t.Fatal(got)
	}
}

// warm is a sight of two nodes that both have answered in 100 ms for a while.
func warm() (*LocalDetector, time.Duration) {
	s := NewLocalDetector()
	s.SetBackends(map[policy.BackendID]time.Duration{"n": 1, "m": 1})
	at := time.Minute
	for i := range 20 {
		for k, id := range []policy.BackendID{"n", "m"} {
			try := AttemptID{policy.RequestID(2*i + k), 0}
			s.AttemptSent(at, id, try, "read")
			s.AttemptEnded(at+100*ms, try, policy.Succeeded)
		}
		at += 100 * ms
	}
	return s, at
}

// What counts as evidence: an attempt that takes long before it ends, one that a later copy has beaten, failures; not one that was
// called off early or never sent. One bad end makes an opinion, the next good one ends it.
func TestSight(t *testing.T) {
	for name, c := range map[string]struct {
		do      func(s *LocalDetector, at time.Duration) time.Duration
		accuses bool
		cause   Cause
	}{
		"answers in time": {func(s *LocalDetector, at time.Duration) time.Duration {
			s.AttemptSent(at, "n", AttemptID{900, 0}, "read")
			s.AttemptEnded(at+150*ms, AttemptID{900, 0}, policy.Succeeded)
			return at + 150*ms
		}, false, NoCause},
		"takes long, and has not ended": {func(s *LocalDetector, at time.Duration) time.Duration {
			s.AttemptSent(at, "n", AttemptID{900, 0}, "read")
			s.Tick(at + 700*ms)
			return at + 700*ms
		}, true, Slow},
		"takes long, and is served at last": {func(s *LocalDetector, at time.Duration) time.Duration {
			s.AttemptSent(at, "n", AttemptID{900, 0}, "read")
			s.Tick(at + 700*ms)
			s.AttemptEnded(at+800*ms, AttemptID{900, 0}, policy.Succeeded)
			return at + 800*ms
		}, true, Slow},
		"beaten by a later copy": {func(s *LocalDetector, at time.Duration) time.Duration {
			s.AttemptSent(at, "n", AttemptID{900, 0}, "read")
			s.AttemptSent(at+200*ms, "m", AttemptID{900, 1}, "read")
			s.AttemptEnded(at+300*ms, AttemptID{900, 1}, policy.Succeeded)
			s.AttemptEnded(at+300*ms, AttemptID{900, 0}, policy.Cancelled)
			return at + 300*ms
		}, true, Slow},
		"the later copy is beaten": {func(s *LocalDetector, at time.Duration) time.Duration {
			s.AttemptSent(at, "m", AttemptID{900, 0}, "read")
			s.AttemptSent(at+200*ms, "n", AttemptID{900, 1}, "read")
			s.AttemptEnded(at+300*ms, AttemptID{900, 0}, policy.Succeeded)
			s.AttemptEnded(at+300*ms, AttemptID{900, 1}, policy.Cancelled)
			return at + 300*ms
		}, false, NoCause},
		"called off, for its client has left": {func(s *LocalDetector, at time.Duration) time.Duration {
			s.AttemptSent(at, "n", AttemptID{900, 0}, "read")
			s.AttemptEnded(at+300*ms, AttemptID{900, 0}, policy.Cancelled)
			return at + 300*ms
		}, false, NoCause},
		"can't be reached": {func(s *LocalDetector, at time.Duration) time.Duration {
			s.AttemptSent(at, "n", AttemptID{900, 0}, "read")
			s.AttemptEnded(at+ms, AttemptID{900, 0}, policy.NoConnect)
			return at + ms
		}, true, Unreachable},
		"turned away for it was full": {func(s *LocalDetector, at time.Duration) time.Duration {
			s.AttemptSent(at, "n", AttemptID{900, 0}, "read")
			s.AttemptEnded(at+ms, AttemptID{900, 0}, policy.Rejected)
			return at + ms
		}, false, NoCause},
		"bad, then good": {func(s *LocalDetector, at time.Duration) time.Duration {
			s.AttemptSent(at, "n", AttemptID{900, 0}, "read")
			s.AttemptEnded(at+ms, AttemptID{900, 0}, policy.Reset)
			s.AttemptSent(at+ms, "n", AttemptID{901, 0}, "read")
			s.AttemptEnded(at+100*ms, AttemptID{901, 0}, policy.Succeeded)
			return at + 100*ms
		}, false, Failing},
		"another start": {func(s *LocalDetector, at time.Duration) time.Duration {
			s.AttemptSent(at, "n", AttemptID{900, 0}, "read")
			s.SetBackends(map[policy.BackendID]time.Duration{"n": 2, "m": 1})
			s.AttemptEnded(at+ms, AttemptID{900, 0}, policy.Reset)
			return at + ms
		}, false, NoCause},
	} {
		s, at := warm()
		at = c.do(s, at)
		if o, _ := s.Observation(at, "n"); o.IsAdverse() != c.accuses || o.IsAdverse() && o.Cause != c.cause {
			t.Errorf("%s: %+v", name, o)
		}
		if o, _ := s.Observation(at, "m"); o.IsAdverse() {
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
		o := Observation{
			Backend: "n", Started: time.Duration(rapid.Int64Range(0, 1<<40).Draw(t, "started")) * ms, Good: rapid.Float64Range(0, mostBad).Draw(t, "good"),
			Bad: rapid.Float64Range(0, mostBad).Draw(t, "bad"), Cause: Failing, LastGood: time.Hour, LastBad: time.Hour + ms*time.Duration(rapid.Int64Range(-1000, 1000).Draw(t, "bad at")),
		}
		o.Onset = o.LastBad - ms*time.Duration(rapid.Int64Range(0, 10000).Draw(t, "onset"))
		got, err := Decode("n", o.ObservedAt(), o.Encode())
		if err != nil || got.IsAdverse() != o.IsAdverse() || got.Started != o.Started || got.IsAdverse() && (got.Onset != o.Onset || got.LastBad != o.LastBad) || !got.IsAdverse() && got.LastGood != o.LastGood {
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
	tell := NewPublisher()
	none := map[policy.BackendID]time.Duration{}
	if out := tell.Select(at, s.Observations(at, nil), none); len(out) != 0 {
		t.Fatal("healthy nodes are told of", out)
	}
	if out := tell.Select(at, s.Observations(at, nil), map[policy.BackendID]time.Duration{"n": at - time.Minute}); len(out) != 1 || out[0].Backend != "n" || out[0].IsAdverse() {
		t.Fatal("an accused node is not defended", out)
	}
	if out := tell.Select(at+ms, s.Observations(at, nil), map[policy.BackendID]time.Duration{"n": at - time.Minute}); len(out) != 0 {
		t.Fatal("twice", out)
	}
	if out := tell.Select(at+ms, s.Observations(at, nil), map[policy.BackendID]time.Duration{"m": at + ms}); len(out) != 0 {
		t.Fatal("it served before the trouble began, which says nothing", out)
	}
	for i := range 5 {
		try := AttemptID{policy.RequestID(900 + i), 0}
		s.AttemptSent(at, "m", try, "read")
		s.AttemptEnded(at+time.Duration(i)*ms, try, policy.Reset)
	}
	told := 0
	for i := range 100 {
		told += len(tell.Select(at+time.Duration(i)*50*ms, s.Observations(at+5*ms, nil), none))
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
		"all are fine":                  {func(int) float64 { return 1 }, policy.Succeeded, 0},
		"one crawls":                    {func(n int) float64 { return []float64{10, 1}[min(n, 1)] }, policy.Succeeded, 1},
		"one is cut off":                {func(n int) float64 { return []float64{20, 1}[min(n, 1)] }, policy.TimedOut, 1},
		"one of them is beaten":         {func(n int) float64 { return []float64{5, 1}[min(n, 1)] }, policy.Cancelled, 1},
		"all crawl":                     {func(int) float64 { return 10 }, policy.Succeeded, 0},
		"all crawl, unevenly":           {func(n int) float64 { return 8 + float64(n%3) }, policy.Succeeded, 0},
		"all crawl and run out of time": {func(int) float64 { return 10 }, policy.TimedOut, 0},
		"all crawl, and are beaten":     {func(int) float64 { return 10 }, policy.Cancelled, 0},
		"all are slower, one crawls":    {func(n int) float64 { return []float64{30, 3}[min(n, 1)] }, policy.Succeeded, 1},
		"a quarter crawls":              {func(n int) float64 { return []float64{10, 1, 1, 1}[n%4] }, policy.Succeeded, 3},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewLocalDetector()
			const nodes = 12
			starts := map[policy.BackendID]time.Duration{}
			id := func(n int) policy.BackendID { return policy.BackendID(string(rune('a' + n))) }
			for n := range nodes {
				starts[id(n)] = 1
			}
			s.SetBackends(starts)
			at, request := time.Hour, policy.RequestID(0)
			try := func(n int, slow float64) (AttemptID, time.Duration) {
				request++
				s.AttemptSent(at, id(n), AttemptID{request, 0}, "c")
				return AttemptID{request, 0}, at + time.Duration(slow*float64(usual))
			}
			for range 20 {
				for n := range nodes {
					x, end := try(n, 1)
					s.AttemptEnded(end, x, policy.Succeeded)
				}
				at += usual
			}
			type end struct {
				try AttemptID
				at  time.Duration
				how policy.Outcome
			}
			var ends []end
			for n := range nodes {
				slow, how := c.slow(n), policy.Succeeded
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
					s.AttemptSent(e.at-usual, "z", AttemptID{e.try.Request, 1}, "c")
					s.won = AttemptID{e.try.Request, 1}
				}
				s.AttemptEnded(e.at, e.try, e.how)
			}
			var accused []policy.BackendID
			for _, o := range s.Observations(at, nil) {
				if o.IsAdverse() {
					accused = append(accused, o.Backend)
				}
			}
			if len(accused) != c.accuse {
				t.Errorf("%v are accused, want %d", accused, c.accuse)
			}
		})
	}
}
