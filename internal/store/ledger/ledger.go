// Package ledger is one instance's books on what it has told a shared store, so that an add may be told any number of
// times and counts once. It does no I/O and takes the time as an argument.
//
// A name's total in the store is the sum of one figure for each instance: all that the instance has added so far. An
// add raises the instance's own figure and tells the new figure under a new number; the store takes a figure only if its
// number is higher than the one that it holds. So a write that is repeated, overtaken or late changes nothing, a write
// that was lost is made good by the next one, and a store that lost what it had confirmed shows it by the number that it
// still holds. An add that was refused is taken out of the figure, and the next write makes that true wherever a copy
// of the refused one may have gone.
//
// Figures are integers of a millionth of a unit, exact up to 2^53 of them: nine thousand million units.
package ledger

import (
	"errors"
	"math"
	"time"
)

// grace is the time in which the others find a store that has changed and tell theirs again.
const reportGrace = 3 * time.Second

// early is the part of a name's life by which the ledger ends it before the store does.
const expiryMarginDivisor = 20

// Scale is how many of the ledger's figures make a unit.
const MicrosPerUnit = 1e6

// MaxSum bounds an instance's figure for a name: what a double holds exactly.
const MaxSum = int64(1) << 53

// The errors of Put.
var (
	ErrTooManyNames = errors.New("ledger: too many names")
	ErrAmountRange  = errors.New("ledger: the amount is out of range")
)

// Write is one telling of an instance's figure for a name. The same Write may be sent again as it is.
type Write struct {
	Name     string
	FirstSeq uint64        // number of the first write of this life of the name: it tells two lives apart
	Seq      uint64        // higher than that of every earlier write of the ledger
	Sum      int64         // the instance's figure
	TTL      time.Duration // for a name that the store does not know: what is left of its life
}

// Answer is what a store says to a write.
type Reply struct {
	PreviousSeq uint64        // the highest number that it held from this instance before, 0 for none
	Own         int64         // the figure that it now holds from this instance
	Total       int64         // of all instances, Mine in it
	TTL         time.Duration // of the name's life; 0: not told
}

// Verdict is what an answer comes to.
type Confirmation struct {
	Total          float64 // units: with the write's figure, and never less of the others' than was known
	AlreadyApplied bool    // the write, or a later one, had landed before this copy of it came
	Lost           bool    // the store has lost what it had confirmed
}

type account struct {
	firstSeq     uint64
	sum          int64
	expiresAt    time.Duration
	sent         uint64        // number of the last write
	confirmedSeq uint64        // highest number that the store has confirmed
	confirmedSum int64         // the figure that it then held
	others       int64         // what the others had, at the last answer
	othersFloor  int64         // what they are known to have had in a store that has lost it since
	floorActive  bool          // floor counts: until the others have told theirs again
	floorUntil   time.Duration // or until then, where the store is only doubted; 0: to the end of the name's life
	unconfirmed  bool          // the store may have lost it
	queued       bool          // in dirty
}

// Ledger holds the figures of the names that live. It is for one goroutine at a time.
type Ledger struct {
	maxNames int
	seq      uint64
	accounts map[string]*account
	pending  []string // names whose figure the store may not hold, oldest first
}

// New returns an empty ledger for so many names.
func New(maxNames int) *Ledger { return &Ledger{maxNames: maxNames, accounts: map[string]*account{}} }

// Len is the number of names that it holds.
func (l *Ledger) Len() int { return len(l.accounts) }

// Micro is an amount of units in the ledger's figures; ok is false where they cannot hold it.
func ToMicros(units float64) (n int64, ok bool) {
	f := math.Round(units * MicrosPerUnit)
	return int64(f), math.Abs(f) <= float64(MaxSum) // false for a NaN too
}

// Put adds an amount of units to a name that lives for keep from its first add on, and returns what is to be told.
func (l *Ledger) Add(now time.Duration, name string, units float64, keep time.Duration) (Write, error) {
	n, ok := ToMicros(units)
	if !ok {
		return Write{}, ErrAmountRange
	}
	e := l.accounts[name]
	if e != nil && now >= e.expiresAt {
		l.forget(name, e)
		e = nil
	}
	if e == nil {
		if len(l.accounts) >= l.maxNames {
			return Write{}, ErrTooManyNames
		}
		e = &account{firstSeq: l.seq + 1, expiresAt: now + keep}
		l.accounts[name] = e
	}
	if s := e.sum + n; s > MaxSum || s < -MaxSum {
		return Write{}, ErrAmountRange
	}
	e.sum += n
	return l.nextWrite(now, name, e), nil
}

func (l *Ledger) nextWrite(now time.Duration, name string, e *account) Write {
	l.seq++
	e.sent = l.seq
	return Write{Name: name, FirstSeq: e.firstSeq, Seq: l.seq, Sum: e.sum, TTL: max(e.expiresAt-now, time.Millisecond)}
}

// of is the entry that a write belongs to, or nil where that life of the name is over.
func (l *Ledger) accountOf(w Write) *account {
	if e := l.accounts[w.Name]; e != nil && e.firstSeq == w.FirstSeq {
		return e
	}
	return nil
}

// Answered books the store's answer to a write.
func (l *Ledger) Confirm(now time.Duration, w Write, a Reply) Confirmation {
	v := Confirmation{AlreadyApplied: a.PreviousSeq >= w.Seq}
	others := a.Total - a.Own
	e := l.accountOf(w)
	if e == nil {
		v.Total = float64(others+w.Sum) / MicrosPerUnit
		return v
	}
	if a.PreviousSeq < e.confirmedSeq { // it held more from us once: it is another, or has gone back
		v.Lost = true
		e.keepFloor(0)
	}
	if e.floorActive && (others >= e.othersFloor || e.floorUntil > 0 && now >= e.floorUntil) {
		e.floorActive = false
	}
	e.others = others
	if a.TTL > 0 { // a little early: a figure told after the store's name has ended would begin the next one's life with it
		e.expiresAt = now + a.TTL - a.TTL/expiryMarginDivisor
	}
	e.confirmedSeq, e.confirmedSum, e.unconfirmed = max(w.Seq, a.PreviousSeq), a.Own, false
	if e.confirmedSum != e.sum {
		l.markPending(w.Name, e)
	}
	if e.floorActive {
		others = e.othersFloor
	}
	v.Total = float64(others+w.Sum) / MicrosPerUnit
	return v
}

// hold keeps what the others are known to have had.
func (a *account) keepFloor(until time.Duration) {
	if !a.floorActive || a.others > a.othersFloor {
		a.othersFloor = a.others
	}
	if !a.floorActive || until == 0 {
		a.floorUntil = until
	}
	a.floorActive = true
}

// Refused takes out of its name an amount of units that the store has refused. Unless nothing of the write was sent, the
// figure is told again, so that the refusal becomes true wherever a copy has gone.
func (l *Ledger) Reject(w Write, units float64, sent bool) {
	e := l.accountOf(w)
	if e == nil {
		return
	}
	n, _ := ToMicros(units)
	e.sum -= n
	e.unconfirmed = e.unconfirmed || sent
	if e.unconfirmed || e.confirmedSum != e.sum {
		l.markPending(w.Name, e)
	}
}

// Unsure says that a write may or may not have landed: it is told again in time.
func (l *Ledger) MarkUnconfirmed(w Write) {
	if e := l.accountOf(w); e != nil {
		e.unconfirmed = true
		l.markPending(w.Name, e)
	}
}

// Doubt says that the store may have lost anything, or be another one: all is told again in time. Until the others have
// told theirs again, for which they have the grace, totals show what they are known to have had.
func (l *Ledger) MarkAllUnconfirmed(now time.Duration) {
	for name, e := range l.accounts {
		if now >= e.expiresAt {
			l.forget(name, e)
			continue
		}
		if e.confirmedSeq != 0 {
			e.keepFloor(now + reportGrace)
		}
		if e.sum != 0 || e.confirmedSeq != 0 {
			e.unconfirmed = true
			l.markPending(name, e)
		}
	}
}

func (l *Ledger) markPending(name string, e *account) {
	if !e.queued {
		e.queued = true
		l.pending = append(l.pending, name)
	}
}

func (l *Ledger) forget(name string, e *account) {
	e.queued = false
	delete(l.accounts, name)
}

// Dirty says whether there is something to tell again.
func (l *Ledger) HasPending() bool { return len(l.pending) > 0 }

// Again returns up to n writes that tell again what the store may not hold.
func (l *Ledger) TakePending(now time.Duration, n int) []Write {
	var out []Write
	for len(l.pending) > 0 && len(out) < n {
		name := l.pending[0]
		l.pending = l.pending[1:]
		e := l.accounts[name]
		if e == nil || !e.queued {
			continue
		}
		e.queued = false
		if now >= e.expiresAt {
			delete(l.accounts, name)
			continue
		}
		if e.unconfirmed || e.confirmedSum != e.sum {
			out = append(out, l.nextWrite(now, name, e))
		}
	}
	return out
}

// Expire forgets the names whose life is over.
func (l *Ledger) Expire(now time.Duration) {
	for name, e := range l.accounts {
		if now >= e.expiresAt {
			l.forget(name, e)
		}
	}
	if len(l.accounts) == 0 {
		l.pending = nil
	}
}
