package gossip

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const horizon = 60 * time.Second

// content is all that a store holds, without ages.
func content(s *Store) string {
	var out []string
	for _, o := range s.byHash {
		for k, f := range o.facts {
			out = append(out, fmt.Sprintf("%s %d %s %s %d %s", o.name, f.Incarnation, k.kind, k.subject, f.Seq, f.Data))
		}
	}
	slices.Sort(out)
	return strings.Join(out, "\n")
}

// pull is one question and its answer, on a network that takes a while each way.
func pull(now time.Duration, from, to *Store, trip time.Duration) {
	d := from.NextDigest()
	shares := to.DeltasFor(now+trip/2, d, 1<<20)
	from.Merge(now+trip, now, shares)
}

// Facts go from owner to all by way of others, each is counted once however it came, and its age is too old by the trips at the
// most, never too young.
func TestAgesThroughHands(t *testing.T) {
	a, b, c := New("a", 1, horizon), New("b", 1, horizon), New("c", 1, horizon)
	a.Put("node", "x", 3*time.Second, []byte("bad"))
	now := 10 * time.Second
	trip := 20 * time.Millisecond
	pull(now, b, a, trip)
	pull(now+time.Second, c, b, trip)
	pull(now+2*time.Second, c, a, trip)
	for _, s := range []*Store{b, c} {
		f := s.Facts(now+3*time.Second, "node")
		if len(f) != 1 || f[0].Owner != "a" || string(f[0].Data) != "bad" {
			t.Fatal(f)
		}
		if late := 3*time.Second - f[0].ObservedAt; late < 0 || late > trip {
			t.Errorf("held to be born %v before it was", late)
		}
	}
	// clocks that have nothing to do with one another change nothing
	d := New("d", 1, horizon)
	q := 5000 * time.Hour
	d.Merge(q+trip, q, a.DeltasFor(now, d.NextDigest(), 1<<20))
	if f := d.Facts(q+trip, "node"); len(f) != 1 || q-f[0].ObservedAt != 7*time.Second {
		t.Fatal(f)
	}
	// an answer that was long on its way is not believed at all
	e := New("e", 1, horizon)
	e.Merge(now+time.Second, now, a.DeltasFor(now, e.NextDigest(), 1<<20))
	if f := e.Facts(now, "node"); len(f) != 0 || e.Counts().Late != 1 {
		t.Fatal(f)
	}
}

// Merging is commutative, associative and idempotent: whatever shares of whichever lives come in whatever order and number, and
// whatever is lost on the way, one round of questions makes all hold the same.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := make([]*Store, 3)
		life := []uint64{1, 1, 1}
		for i := range owners {
			owners[i] = New(fmt.Sprint("o", i), 1, horizon)
		}
		now := time.Second
		var shares [][]Delta
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "owner")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				owners[i].Put("k", rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "subject"), now, []byte{byte(rapid.IntRange(0, 9).Draw(t, "value"))})
			case 2: // a part of what it holds, as an answer to somebody who holds a part
				d := Digest{Hi: hashSpace, Watermarks: []Watermark{{owners[i].self.name, life[i], uint64(rapid.IntRange(0, 3).Draw(t, "have"))}}}
				shares = append(shares, owners[i].DeltasFor(now, d, rapid.SampledFrom([]int{1 << 20, 120, 180}).Draw(t, "bytes")))
			case 3: // it restarts with nothing
				life[i]++
				owners[i] = New(fmt.Sprint("o", i), life[i], horizon)
			case 4: // it pulls from another
				j := rapid.IntRange(0, 2).Draw(t, "from")
				pull(now, owners[i], owners[j], time.Millisecond)
			}
			now += 10 * time.Millisecond
		}
		heard := func(list [][]Delta) *Store {
			s := New("listener", 1, horizon)
			for _, x := range list {
				s.Merge(now, now, x)
			}
			return s
		}
		a := heard(shares)
		b := heard(slices.Concat(rapid.Permutation(shares).Draw(t, "order"), shares[:rapid.IntRange(0, len(shares)).Draw(t, "again")]))
		for range 3 {
			for _, o := range owners {
				pull(now, a, o, 0)
				pull(now, b, o, 0)
				for _, p := range owners {
					pull(now, o, p, 0)
				}
			}
		}
		for i, s := range append(owners, b) {
			if x, y := content(a), content(s); x != y {
				t.Fatalf("the listener holds\n%s\nand %d\n%s", x, i, y)
			}
			if a.Checksum(now) != s.Checksum(now) {
				t.Fatal("the sums differ")
			}
		}
	})
}

// Explored whole: three owners with two facts each, every subset and order of six shares that went out at different times, each
// once or twice. What is held after is the newest of what came, and the same for every order.
func TestEveryOrder(t *testing.T) {
	now := time.Second
	var shares [][]Delta
	for i := range 3 {
		o := New(fmt.Sprint("o", i), 7, horizon)
		o.Put("k", "x", now, []byte("old"))
		shares = append(shares, o.DeltasFor(now, Digest{Hi: hashSpace}, 1<<20))
		o.Put("k", "x", now, []byte("new"))
		shares = append(shares, o.DeltasFor(now, Digest{Hi: hashSpace}, 1<<20))
	}
	orders := 0
	for subset := range 1 << len(shares) {
		var picked []int
		for i := range shares {
			if subset>>i&1 == 1 {
				picked = append(picked, i)
			}
		}
		want := ""
		permute(picked, func(order []int) {
			orders++
			for _, again := range []bool{false, true} {
				s := New("s", 1, horizon)
				for _, i := range order {
					s.Merge(now, now, shares[i])
					if again {
						s.Merge(now, now, shares[i])
					}
				}
				if got := content(s); want == "" {
					want = got
				} else if got != want {
					t.Fatalf("order %v: %q, want %q", order, got, want)
				}
				for i := range 3 {
					if o := s.owners[fmt.Sprint("o", i)]; slices.Contains(picked, 2*i+1) && (len(o.facts) != 1 || string(o.facts[factKey{"k", "x"}].Data) != "new") {
						t.Fatalf("order %v: %q", order, content(s))
					}
				}
			}
		})
	}
	if orders != 1957 { // of all subsets of six
		t.Fatal(orders)
	}
}

func permute(list []int, do func([]int)) {
	var step func(int)
	step = func(i int) {
		if i >= len(list) {
			do(list)
			return
		}
		for j := i; j < len(list); j++ {
			list[i], list[j] = list[j], list[i]
			step(i + 1)
			list[i], list[j] = list[j], list[i]
		}
	}
	step(0)
}

// A life that has ended tells nothing any more, and nobody tells an owner what it has seen itself.
func TestLives(t *testing.T) {
	now := time.Second
	first, second, s := New("o", 1, horizon), New("o", 2, horizon), New("s", 1, horizon)
	first.Put("k", "x", now, []byte("first"))
	second.Put("k", "y", now, []byte("second"))
	old := first.DeltasFor(now, s.NextDigest(), 1<<20)
	s.Merge(now, now, old)
	s.Merge(now, now, second.DeltasFor(now, s.NextDigest(), 1<<20))
	s.Merge(now, now, old)
	if got := content(s); got != "o 2 k y 1 second" || s.Counts().EndedIncarnation != 1 {
		t.Fatal(got, s.Counts())
	}
	second.Merge(now, now, []Delta{{Owner: "o", Incarnation: 9, To: 1, Facts: []DeltaFact{{"k", "y", 1, 0, []byte("forged")}}}})
	if got := content(second); got != "o 2 k y 1 second" || second.Counts().Own != 1 {
		t.Fatal(got)
	}
}

// What is too old goes by itself, everywhere, and comes back by no way; memory comes back with it.
func TestHorizon(t *testing.T) {
	a, b := New("a", 1, horizon), New("b", 1, horizon)
	now := time.Second
	for i := range 100 {
		a.Put("k", fmt.Sprint(i), now, bytes.Repeat([]byte("x"), 100))
	}
	pull(now, b, a, 0)
	if b.Len() != 100 || b.Bytes() < 10000 {
		t.Fatal(b.Len(), b.Bytes())
	}
	late := now + horizon + time.Second
	b.Sweep(late, func(string) bool { return false })
	if b.Len() != 0 || b.Bytes() != 0 || len(b.owners) != 1 {
		t.Fatal(b.Len(), b.Bytes(), len(b.owners))
	}
	pull(late, b, a, 0)
	if b.Len() != 0 || len(a.Facts(late, "k")) != 0 {
		t.Fatal("it came back")
	}
}

// Answers keep to their bytes and lose nothing: one who asks again and again has all, also of many owners.
func TestInPieces(t *testing.T) {
	hub := New("hub", 1, horizon)
	now := time.Second
	for o := range 200 {
		s := New(fmt.Sprintf("owner-%03d", o), 1, horizon)
		for i := range 3 {
			s.Put("k", fmt.Sprint(i), now, []byte("data"))
		}
		hub.Merge(now, now, s.DeltasFor(now, Digest{Hi: hashSpace}, 1<<20))
	}
	late, asked := New("late", 1, horizon), 0
	for late.Len() < hub.Len() && asked < 400 {
		asked++
		now += time.Millisecond
		d := late.NextDigest()
		shares := hub.DeltasFor(now, d, 1000)
		if len(d.Watermarks) > maxDigestWatermarks+4 || len(shares) > 1000/deltaHeaderBytes+1 {
			t.Fatal(len(d.Watermarks), len(shares))
		}
		late.Merge(now, now, shares)
	}
	if content(late) != content(hub) {
		t.Fatalf("%d of %d facts after %d questions", late.Len(), hub.Len(), asked)
	}
}

// Nonsense is counted, and a bound holds whatever comes.
func TestNonsense(t *testing.T) {
	s := New("s", 1, horizon)
	now := time.Second
	long := strings.Repeat("x", 1000)
	s.Merge(now, now, []Delta{{}, {Owner: long, Incarnation: 1}, {Owner: "o", Incarnation: 1, From: 5, To: 4}, {Owner: "o", Incarnation: 1, To: 9, Facts: []DeltaFact{
		{"", "x", 1, 0, nil},
		{"k", long, 2, 0, nil},
		{"k", "x", 3, -5, nil},
		{"k", "x", 30, 0, nil},
		{"k", "x", 4, 0, make([]byte, maxDataBytes+1)},
		{"k", "x", 5, 1 << 62, nil},
	}}})
	if s.Len() != 0 || s.Counts().Malformed != 9 {
		t.Fatal(s.Len(), s.Counts())
	}
	if s.Put("", "x", now, nil) || s.Put("k", long, now, nil) || s.Put("k", "x", now, make([]byte, maxDataBytes+1)) {
		t.Fatal("taken")
	}
	for o := range 50 {
		sh := Delta{Owner: fmt.Sprint("flood", o), Incarnation: 1, To: 1000}
		for i := range 1000 {
			sh.Facts = append(sh.Facts, DeltaFact{"k", fmt.Sprint(i), uint64(i + 1), 0, make([]byte, maxDataBytes)})
		}
		s.Merge(now, now, []Delta{sh})
	}
	if s.Bytes() > MaxBytes || len(s.owners["flood0"].facts) > MaxFactsPerOwner {
		t.Fatal(s.Bytes(), len(s.owners["flood0"].facts))
	}
}
