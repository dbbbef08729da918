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
const grace = 3 * time.Second

// early is the part of a name's life by which the ledger ends it before the store does.
const early = 20

// Scale is how many of the ledger's figures make a unit.
const Scale = 1e6

// MaxSum bounds an instance's figure for a name: what a double holds exactly.
const MaxSum = int64(1) << 53

// The errors of Put.
var (
	ErrFull   = errors.New("ledger: too many names")
	ErrAmount = errors.New("ledger: the amount is out of range")
)

// Write is one telling of an instance's figure for a name. The same Write may be sent again as it is.
type Write struct {
	Name  string
	Since uint64        // number of the first write of this life of the name: it tells two lives apart
	Seq   uint64        // higher than that of every earlier write of the ledger
	Sum   int64         // the instance's figure
	Keep  time.Duration // for a name that the store does not know: what is left of its life
}

// Answer is what a store says to a write.
type Answer struct {
	Had   uint64        // the highest number that it held from this instance before, 0 for none
	Mine  int64         // the figure that it now holds from this instance
	Total int64         // of all instances, Mine in it
	Left  time.Duration // of the name's life; 0: not told
}

// Verdict is what an answer comes to.
type Verdict struct {
	Total  float64 // units: with the write's figure, and never less of the others' than was known
	Landed bool    // the write, or a later one, had landed before this copy of it came
	Lost   bool    // the store has lost what it had confirmed
}

type entry struct {
	since   uint64
	sum     int64
	expires time.Duration
	sent    uint64        // number of the last write
	acked   uint64        // highest number that the store has confirmed
	held    int64         // the figure that it then held
	others  int64         // what the others had, at the last answer
	floor   int64         // what they are known to have had in a store that has lost it since
	rolled  bool          // floor counts: until the others have told theirs again
	until   time.Duration // or until then, where the store is only doubted; 0: to the end of the name's life
	doubted bool          // the store may have lost it
	listed  bool          // in dirty
}

// Ledger holds the figures of the names that live. It is for one goroutine at a time.
type Ledger struct {
	most  int
	seq   uint64
	names map[string]*entry
	dirty []string // names whose figure the store may not hold, oldest first
}

// New returns an empty ledger for so many names.
func New(most int) *Ledger { return &Ledger{most: most, names: map[string]*entry{}} }

// Len is the number of names that it holds.
func (l *Ledger) Len() int { return len(l.names) }

// Micro is an amount of units in the ledger's figures; ok is false where they cannot hold it.
func Micro(units float64) (n int64, ok bool) {
	f := math.Round(units * Scale)
	return int64(f), math.Abs(f) <= float64(MaxSum) // false for a NaN too
}

// Put adds an amount of units to a name that lives for keep from its first add on, and returns what is to be told.
func (l *Ledger) Put(now time.Duration, name string, units float64, keep time.Duration) (Write, error) {
	n, ok := Micro(units)
	if !ok {
		return Write{}, ErrAmount
	}
	e := l.names[name]
	if e != nil && now >= e.expires {
		l.forget(name, e)
		e = nil
	}
	if e == nil {
		if len(l.names) >= l.most {
			return Write{}, ErrFull
		}
		e = &entry{since: l.seq + 1, expires: now + keep}
		l.names[name] = e
	}
	if s := e.sum + n; s > MaxSum || s < -MaxSum {
		return Write{}, ErrAmount
	}
	e.sum += n
	return l.tell(now, name, e), nil
}

func (l *Ledger) tell(now time.Duration, name string, e *entry) Write {
	l.seq++
	e.sent = l.seq
	return Write{Name: name, Since: e.since, Seq: l.seq, Sum: e.sum, Keep: max(e.expires-now, time.Millisecond)}
}

// of is the entry that a write belongs to, or nil where that life of the name is over.
func (l *Ledger) of(w Write) *entry {
	if e := l.names[w.Name]; e != nil && e.since == w.Since {
		return e
	}
	return nil
}

// Answered books the store's answer to a write.
func (l *Ledger) Answered(now time.Duration, w Write, a Answer) Verdict {
	v := Verdict{Landed: a.Had >= w.Seq}
	others := a.Total - a.Mine
	e := l.of(w)
	if e == nil {
		v.Total = float64(others+w.Sum) / Scale
		return v
	}
	if a.Had < e.acked { // it held more from us once: it is another, or has gone back
		v.Lost = true
		e.hold(0)
	}
	if e.rolled && (others >= e.floor || e.until > 0 && now >= e.until) {
		e.rolled = false
	}
	e.others = others
	if a.Left > 0 { // a little early: a figure told after the store's name has ended would begin the next one's life with it
		e.expires = now + a.Left - a.Left/early
	}
	e.acked, e.held, e.doubted = max(w.Seq, a.Had), a.Mine, false
	if e.held != e.sum {
		l.list(w.Name, e)
	}
	if e.rolled {
		others = e.floor
	}
	v.Total = float64(others+w.Sum) / Scale
	return v
}

// hold keeps what the others are known to have had.
func (e *entry) hold(until time.Duration) {
	if !e.rolled || e.others > e.floor {
		e.floor = e.others
	}
	if !e.rolled || until == 0 {
		e.until = until
	}
	e.rolled = true
}

// Refused takes out of its name an amount of units that the store has refused. Unless nothing of the write was sent, the
// figure is told again, so that the refusal becomes true wherever a copy has gone.
func (l *Ledger) Refused(w Write, units float64, sent bool) {
	e := l.of(w)
	if e == nil {
		return
	}
	n, _ := Micro(units)
	e.sum -= n
	e.doubted = e.doubted || sent
	if e.doubted || e.held != e.sum {
		l.list(w.Name, e)
	}
}

// Unsure says that a write may or may not have landed: it is told again in time.
func (l *Ledger) Unsure(w Write) {
	if e := l.of(w); e != nil {
		e.doubted = true
		l.list(w.Name, e)
	}
}

// Doubt says that the store may have lost anything, or be another one: all is told again in time. Until the others have
// told theirs again, for which they have the grace, totals show what they are known to have had.
func (l *Ledger) Doubt(now time.Duration) {
	for name, e := range l.names {
		if now >= e.expires {
			l.forget(name, e)
			continue
		}
		if e.acked != 0 {
			e.hold(now + grace)
		}
		if e.sum != 0 || e.acked != 0 {
			e.doubted = true
			l.list(name, e)
		}
	}
}

func (l *Ledger) list(name string, e *entry) {
	if !e.listed {
		e.listed = true
		l.dirty = append(l.dirty, name)
	}
}

func (l *Ledger) forget(name string, e *entry) {
	e.listed = false
	delete(l.names, name)
}

// Dirty says whether there is something to tell again.
func (l *Ledger) Dirty() bool { return len(l.dirty) > 0 }

// Again returns up to n writes that tell again what the store may not hold.
func (l *Ledger) Again(now time.Duration, n int) []Write {
	var out []Write
	for len(l.dirty) > 0 && len(out) < n {
		name := l.dirty[0]
		l.dirty = l.dirty[1:]
		e := l.names[name]
		if e == nil || !e.listed {
			continue
		}
		e.listed = false
		if now >= e.expires {
			delete(l.names, name)
			continue
		}
		if e.doubted || e.held != e.sum {
			out = append(out, l.tell(now, name, e))
		}
	}
	return out
}

// Expire forgets the names whose life is over.
func (l *Ledger) Expire(now time.Duration) {
	for name, e := range l.names {
		if now >= e.expires {
			l.forget(name, e)
		}
	}
	if len(l.names) == 0 {
		l.dirty = nil
	}
}
