package ledger

import (
	"errors"
	"maps"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// field is what a store holds of one instance for a name, from its first add to its expiry.
type field struct {
	seq uint64
	sum int64
}

// modelStore is the store as the package comment describes it, with a field for each FirstSeq.
type modelStore map[uint64]field

func (m modelStore) total() (total int64) {
	for _, f := range m {
		total += f.sum
	}
	return total
}

func (m modelStore) apply(write Write) Reply {
	f := m[write.FirstSeq]
	reply := Reply{PreviousSeq: f.seq}
	if write.Seq > f.seq {
		f = field{write.Seq, write.Sum}
		m[write.FirstSeq] = f
	}
	reply.Own = f.sum
	reply.Total = m.total()
	return reply
}

// otherInstance is the field of another instance.
const otherInstance = math.MaxUint64

// unansweredAdd is an add whose write has not been answered.
type unansweredAdd struct {
	write Write
	units float64
}

// ledgerModel is a ledger and its store, with what may have happened between them.
type ledgerModel struct {
	ledger      *Ledger
	store       modelStore
	backup      modelStore // what a rollback restores
	unanswered  []unansweredAdd
	inFlight    []Write // sent on a connection that broke: may be applied at any time, any number of times
	spent       int64   // by this instance: all that was not rejected
	knownOthers int64   // the highest sum of the others that any reply has shown
}

func (m *ledgerModel) confirm(t *rapid.T, write Write, reply Reply) {
	got := m.ledger.Confirm(0, write, reply)
	m.knownOthers = max(m.knownOthers, reply.Total-reply.Own)
	if known := float64(m.knownOthers+write.Sum) / MicrosPerUnit; got.Total < known-1e-9 {
		t.Fatalf("got total %v, yet %v is known to be spent", got.Total, known)
	}
}

func (m *ledgerModel) add(t *rapid.T) {
	units := float64(rapid.IntRange(-300, 1000).Draw(t, "units")) / 100
	write, err := m.ledger.Add(0, "a", units, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	micros, _ := ToMicros(units)
	m.spent += micros
	m.unanswered = append(m.unanswered, unansweredAdd{write, units})
}

func (m *ledgerModel) applyAndReply(t *rapid.T) {
	if len(m.unanswered) == 0 {
		return
	}
	add := m.unanswered[0]
	m.unanswered = m.unanswered[1:]
	m.confirm(t, add.write, m.store.apply(add.write))
}

func (m *ledgerModel) breakConnection(*rapid.T) {
	if len(m.unanswered) == 0 {
		return
	}
	add := m.unanswered[0]
	m.unanswered = m.unanswered[1:]
	m.ledger.MarkUnconfirmed(add.write)
	m.inFlight = append(m.inFlight, add.write)
}

func (m *ledgerModel) applyLate(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "i")
	m.store.apply(m.inFlight[i]) // it stays in flight: it may be applied once more
}

func (m *ledgerModel) reject(t *rapid.T) {
	if len(m.unanswered) == 0 {
		return
	}
	last := len(m.unanswered) - 1
	add := m.unanswered[last]
	m.unanswered = m.unanswered[:last]
	sent := rapid.Bool().Draw(t, "sent")
	if sent && rapid.Bool().Draw(t, "applied") {
		m.store.apply(add.write) // the rejection was another's, or that of a copy
	}
	m.ledger.Reject(add.write, add.units, sent)
	micros, _ := ToMicros(add.units)
	m.spent -= micros
}

func (m *ledgerModel) othersAdd(t *rapid.T) {
	f := m.store[otherInstance]
	f.sum += int64(rapid.IntRange(0, 5e6).Draw(t, "n"))
	m.store[otherInstance] = f
}

// rollBack restores the backup; the other instances write theirs again sooner or later.
func (m *ledgerModel) rollBack(*rapid.T) {
	m.store = maps.Clone(m.backup)
	m.ledger.MarkAllUnconfirmed(0)
}

func (m *ledgerModel) empty(*rapid.T) {
	m.store = modelStore{}
	m.ledger.MarkAllUnconfirmed(0)
}

func (m *ledgerModel) writeAgain(t *rapid.T, limit int) {
	for _, write := range m.ledger.TakePending(0, limit) {
		m.confirm(t, write, m.store.apply(write))
	}
}

// Whatever is repeated, lost, late, rejected or rolled back: once all has been written again, the store holds
// exactly what was added and not rejected, and no confirmation ever shows less than this instance's own sum and
// what it knew of others.
func TestOnceWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ledgerModel{ledger: New(10), store: modelStore{}, backup: modelStore{}}
		t.Repeat(map[string]func(*rapid.T){
			"add":              m.add,
			"apply and reply":  m.applyAndReply,
			"break connection": m.breakConnection,
			"apply late":       m.applyLate,
			"reject":           m.reject,
			"others add":       m.othersAdd,
			"backup":           func(*rapid.T) { m.backup = maps.Clone(m.store) },
			"roll back":        m.rollBack,
			"empty":            m.empty,
			"write again":      func(t *rapid.T) { m.writeAgain(t, 3) },
			"":                 func(*rapid.T) {},
		})
		for len(m.unanswered) > 0 {
			m.applyAndReply(t)
		}
		for m.ledger.HasPending() {
			m.writeAgain(t, 10)
		}
		for _, write := range m.inFlight { // whatever is applied now is old
			m.store.apply(write)
		}
		if got := m.store.total() - m.store[otherInstance].sum; got != m.spent {
			t.Fatalf("the store holds %d of this instance, want %d", got, m.spent)
		}
	})
}

// A confirmation shows that a write had been applied before, and that a store has lost what it had confirmed.
func TestConfirmations(t *testing.T) {
	l := New(2)
	store := modelStore{7: {9, 40 * MicrosPerUnit}}
	write, _ := l.Add(0, "a", 1.5, time.Minute)
	if got, want := l.Confirm(0, write, store.apply(write)), (Confirmation{Total: 41.5}); got != want {
		t.Fatalf("first: got %+v, want %+v", got, want)
	}
	want := Confirmation{Total: 41.5, AlreadyApplied: true}
	if got := l.Confirm(0, write, store.apply(write)); got != want {
		t.Fatalf("sent again: got %+v, want %+v", got, want)
	}
	write, _ = l.Add(0, "a", 1, time.Minute)
	want = Confirmation{Total: 42.5, Lost: true}
	if got := l.Confirm(0, write, modelStore{}.apply(write)); got != want {
		t.Fatalf("an empty store: got %+v, want %+v with the others' 40", got, want)
	}
	store = modelStore{7: {9, 41 * MicrosPerUnit}}
	write, _ = l.Add(0, "a", 0, time.Minute)
	if got := l.Confirm(0, write, store.apply(write)); got.Total != 43.5 {
		t.Fatalf("the others are back with 41: got total %v, want 43.5", got.Total)
	}
}

// A name expires; what is added after that is a new name, and a reply to a write of the old one changes nothing.
func TestExpiry(t *testing.T) {
	l := New(2)
	first, _ := l.Add(0, "a", 1, time.Second)
	second, _ := l.Add(time.Second, "a", 2, time.Second)
	if second.FirstSeq == first.FirstSeq || second.Sum != 2*MicrosPerUnit {
		t.Fatalf("got %+v after %+v, want a new name", second, first)
	}
	l.Confirm(time.Second, first, Reply{Own: MicrosPerUnit, Total: MicrosPerUnit})
	l.MarkUnconfirmed(first)
	if l.HasPending() {
		t.Fatal("a reply to the old name's write left something to write again")
	}
	if _, err := l.Add(time.Second, "b", 1, time.Second); err != nil {
		t.Fatal(err)
	}
	if _, err := l.Add(time.Second, "c", 1, time.Second); !errors.Is(err, ErrTooManyNames) {
		t.Fatalf("a third name: got %v, want %v", err, ErrTooManyNames)
	}
	if l.Expire(time.Minute); l.Len() != 0 {
		t.Fatalf("got %d names after expiry, want 0", l.Len())
	}
	for _, units := range []float64{math.NaN(), math.Inf(1), 1e11} {
		if _, err := l.Add(0, "a", units, time.Second); !errors.Is(err, ErrAmountRange) {
			t.Fatalf("%v units: got %v, want %v", units, err, ErrAmountRange)
		}
	}
}

func BenchmarkAddConfirm(b *testing.B) {
	l := New(10)
	b.ReportAllocs()
	for i := range b.N {
		write, _ := l.Add(0, "a", 0.5, time.Hour)
		l.Confirm(0, write, Reply{PreviousSeq: uint64(i), Own: write.Sum, Total: write.Sum})
	}
}
