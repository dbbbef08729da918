package ledger

import (
	"errors"
	"maps"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// storedSum is one instance's sum for a name, as the store holds it from the name's first add to its expiry.
type storedSum struct {
	seq uint64
	sum int64
}

// modelStore models the store that the package comment describes. The key is Write.FirstSeq.
type modelStore map[uint64]storedSum

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
		f = storedSum{write.Seq, write.Sum}
		m[write.FirstSeq] = f
	}
	reply.Own = f.sum
	reply.Total = m.total()
	return reply
}

// otherInstanceKey is the modelStore key for the sum of all other instances.
const otherInstanceKey = math.MaxUint64

// unansweredAdd is an add whose write has not been replied to.
type unansweredAdd struct {
	write Write
	units float64
}

// ledgerModel is a ledger and its store, with the writes that are between them.
type ledgerModel struct {
	ledger      *Ledger
	store       modelStore
	backup      modelStore // restored by rollBack
	unanswered  []unansweredAdd
	inFlight    []Write // sent on a broken connection: may be applied at any time, any number of times
	spent       int64   // total of this instance's adds that were not rejected
	knownOthers int64   // highest sum of the other instances in any reply
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
	m.store.apply(m.inFlight[i]) // stays in inFlight, since it may be applied again
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
		m.store.apply(add.write) // the rejection belonged to another write or to a copy of this one
	}
	m.ledger.Reject(add.write, add.units, sent)
	micros, _ := ToMicros(add.units)
	m.spent -= micros
}

func (m *ledgerModel) othersAdd(t *rapid.T) {
	f := m.store[otherInstanceKey]
	f.sum += int64(rapid.IntRange(0, 5e6).Draw(t, "n"))
	m.store[otherInstanceKey] = f
}

// rollBack restores the backup. The other instances may rewrite their sums at any later step.
func (m *ledgerModel) rollBack(*rapid.T) {
	m.store = maps.Clone(m.backup)
	m.ledger.MarkAllUnconfirmed(0)
}

func (m *ledgerModel) clearStore(*rapid.T) {
	m.store = modelStore{}
	m.ledger.MarkAllUnconfirmed(0)
}

func (m *ledgerModel) resendPending(t *rapid.T, limit int) {
	for _, write := range m.ledger.TakePending(0, limit) {
		m.confirm(t, write, m.store.apply(write))
	}
}

// Guards against adds that count twice or not at all when writes are repeated, lost, late or rejected, or when the
// store is rolled back. Once all pending sums are rewritten, the store must hold exactly what was added and not
// rejected. No confirmed total may be below this instance's sum plus the known sum of the others.
func TestEachAddCountsOnce(t *testing.T) {
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
			"empty":            m.clearStore,
			"write again":      func(t *rapid.T) { m.resendPending(t, 3) },
			"":                 func(*rapid.T) {},
		})
		for len(m.unanswered) > 0 {
			m.applyAndReply(t)
		}
		for m.ledger.HasPending() {
			m.resendPending(t, 10)
		}
		for _, write := range m.inFlight { // outdated writes must change nothing
			m.store.apply(write)
		}
		if got := m.store.total() - m.store[otherInstanceKey].sum; got != m.spent {
			t.Fatalf("the store holds %d of this instance, want %d", got, m.spent)
		}
	})
}

// A confirmation reports a write that had been applied before, and a store that has lost confirmed writes.
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

// An add after a name's expiry creates a new name, and a reply to a write of the expired name changes nothing.
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
