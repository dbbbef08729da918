package ledger

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// field is what a store holds for one life of a name at one instance.
type field struct {
	seq uint64
	sum int64
}

// modelStore is the store as the package comment describes it.
type modelStore map[uint64]field

func (m modelStore) total() (t int64) {
	for _, f := range m {
		t += f.sum
	}
	return t
}

func (m modelStore) apply(w Write) Reply {
	f := m[w.FirstSeq]
	a := Reply{PreviousSeq: f.seq}
	if w.Seq > f.seq {
		f = field{w.Seq, w.Sum}
		m[w.FirstSeq] = f
	}
	a.Own, a.Total = f.sum, m.total()
	return a
}

func (m modelStore) clone() modelStore {
	out := modelStore{}
	for k, v := range m {
		out[k] = v
	}
	return out
}

// Whatever is repeated, lost, late, refused or rolled back: once all has been told again, the store holds exactly what
// was added and not refused, and no verdict ever shows less than this instance's own figure and what it knew of others.
func TestOnceWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, m := New(10), modelStore{}
		const other = math.MaxUint64 // another instance's field
		now := time.Duration(0)
		var flying []Write // sent, fate unknown
		type open struct {
			w     Write
			units float64
		}
		var outs []open
		spent := int64(0)       // by this instance, all that was not refused
		knownOthers := int64(0) // what any answer has shown of them
		backup := m.clone()
		answer := func(w Write, a Reply) {
			v := l.Confirm(now, w, a)
			knownOthers = max(knownOthers, a.Total-a.Own)
			if least := float64(knownOthers+w.Sum) / MicrosPerUnit; v.Total < least-1e-9 {
				t.Fatalf("total %v, yet %v is known to be spent", v.Total, least)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				units := float64(rapid.IntRange(-300, 1000).Draw(t, "units")) / 100
				w, err := l.Add(now, "a", units, time.Hour)
				if err != nil {
					t.Fatal(err)
				}
				n, _ := ToMicros(units)
				spent += n
				outs = append(outs, open{w, units})
			},
			"land and answer": func(t *rapid.T) {
				if len(outs) == 0 {
					return
				}
				o := outs[0]
				outs = outs[1:]
				answer(o.w, m.apply(o.w))
			},
			"fly": func(t *rapid.T) { // it was sent, and the connection broke
				if len(outs) == 0 {
					return
				}
				l.MarkUnconfirmed(outs[0].w)
				flying = append(flying, outs[0].w)
				outs = outs[1:]
			},
			"land late": func(t *rapid.T) {
				if len(flying) == 0 {
					return
				}
				i := rapid.IntRange(0, len(flying)-1).Draw(t, "i")
				m.apply(flying[i]) // it stays in flight: it may land once more
			},
			"refuse": func(t *rapid.T) {
				if len(outs) == 0 {
					return
				}
				o := outs[len(outs)-1]
				outs = outs[:len(outs)-1]
				sent := rapid.Bool().Draw(t, "sent")
				if sent && rapid.Bool().Draw(t, "lied") {
					m.apply(o.w) // the refusal was another's, or a copy's
				}
				l.Reject(o.w, o.units, sent)
				n, _ := ToMicros(o.units)
				spent -= n
			},
			"others add": func(t *rapid.T) {
				f := m[other]
				f.sum += int64(rapid.IntRange(0, 5e6).Draw(t, "n"))
				m[other] = f
			},
			"backup": func(t *rapid.T) { backup = m.clone() },
			"rollback": func(t *rapid.T) { // the others tell theirs again sooner or later
				m = backup.clone()
				l.MarkAllUnconfirmed(now)
			},
			"empty": func(t *rapid.T) {
				m = modelStore{}
				l.MarkAllUnconfirmed(now)
			},
			"tell again": func(t *rapid.T) {
				for _, w := range l.TakePending(now, 3) {
					answer(w, m.apply(w))
				}
			},
			"": func(t *rapid.T) {},
		})
		for _, o := range outs {
			answer(o.w, m.apply(o.w))
		}
		for l.HasPending() {
			for _, w := range l.TakePending(now, 10) {
				answer(w, m.apply(w))
			}
		}
		for _, w := range flying { // whatever lands now is old
			m.apply(w)
		}
		if got := m.total() - m[other].sum; got != spent {
			t.Fatalf("the store holds %d of this instance, which spent %d", got, spent)
		}
	})
}

// A verdict tells of a write that had landed before, and of a store that lost what it had confirmed.
func TestVerdicts(t *testing.T) {
	l, m := New(2), modelStore{7: {9, 40 * MicrosPerUnit}}
	w, _ := l.Add(0, "a", 1.5, time.Minute)
	if v := l.Confirm(0, w, m.apply(w)); v != (Confirmation{Total: 41.5}) {
		t.Fatalf("first: %+v", v)
	}
	if v := l.Confirm(0, w, m.apply(w)); v != (Confirmation{Total: 41.5, AlreadyApplied: true}) {
		t.Fatalf("told again: %+v", v)
	}
	w, _ = l.Add(0, "a", 1, time.Minute)
	if v := l.Confirm(0, w, modelStore{}.apply(w)); v != (Confirmation{Total: 42.5, Lost: true}) {
		t.Fatalf("an empty store: %+v, want the others' 40 to be remembered", v)
	}
	m = modelStore{7: {9, 41 * MicrosPerUnit}}
	w, _ = l.Add(0, "a", 0, time.Minute)
	if v := l.Confirm(0, w, m.apply(w)); v.Total != 43.5 {
		t.Fatalf("the others are back with 41: %+v", v)
	}
}

// A name's life ends; what comes after is a new one, and an answer to the old one moves nothing.
func TestLives(t *testing.T) {
	l := New(2)
	w, _ := l.Add(0, "a", 1, time.Second)
	v, _ := l.Add(time.Second, "a", 2, time.Second)
	if v.FirstSeq == w.FirstSeq || v.Sum != 2*MicrosPerUnit {
		t.Fatalf("second life %+v after %+v", v, w)
	}
	l.Confirm(time.Second, w, Reply{Own: MicrosPerUnit, Total: MicrosPerUnit})
	l.MarkUnconfirmed(w)
	if l.HasPending() {
		t.Fatal("an answer to the old life left something to tell again")
	}
	if _, err := l.Add(time.Second, "b", 1, time.Second); err != nil {
		t.Fatal(err)
	}
	if _, err := l.Add(time.Second, "c", 1, time.Second); err != ErrTooManyNames {
		t.Fatalf("a third name: %v", err)
	}
	if l.Expire(time.Minute); l.Len() != 0 {
		t.Fatalf("%d names left", l.Len())
	}
	for _, units := range []float64{math.NaN(), math.Inf(1), 1e11} {
		if _, err := l.Add(0, "a", units, time.Second); err != ErrAmountRange {
			t.Fatalf("%v units: %v", units, err)
		}
	}
}

func BenchmarkPutAnswered(b *testing.B) {
	l := New(10)
	b.ReportAllocs()
	for i := range b.N {
		w, _ := l.Add(0, "a", 0.5, time.Hour)
		l.Confirm(0, w, Reply{PreviousSeq: uint64(i), Own: w.Sum, Total: w.Sum})
	}
}
