// Package ledger is the record of what one instance has added to a shared store, so that an add may be sent any
// number of times and counts once. It takes in adds and the store's replies, and yields the writes to send, or to
// send again. It does no I/O, starts no goroutine and takes the time as an argument.
//
// A name's total in the store is the sum of one number for each instance: the sum of all that the instance has
// added. An add raises the instance's own sum and writes the new sum under a new sequence number; the store takes a
// sum only if its sequence number is higher than the one that it holds. So a write that is repeated, overtaken or
// late changes nothing, a write that was lost is made good by the next one, and a store that has lost what it had
// confirmed shows that by the sequence number that it still holds. An add that was rejected is taken out of the
// sum, and the next write makes that true wherever a copy of the rejected one may arrive.
//
// Sums are integers of a millionth of a unit, exact up to 2^53 of them: nine thousand million units.
package ledger

import (
	"errors"
	"math"
	"time"
)

// reportGrace is the time in which the other instances find a store that has changed and write their sums again.
const reportGrace = 3 * time.Second

// expiryMarginDivisor gives the part of a name's time to live by which the ledger forgets it before the store does.
const expiryMarginDivisor = 20

// MicrosPerUnit is how many of the ledger's integers make a unit.
const MicrosPerUnit = 1e6

// MaxSum bounds an instance's sum for a name, in millionths of a unit: what a double holds exactly.
const MaxSum = int64(1) << 53

// The errors of Ledger.Add.
var (
	ErrTooManyNames = errors.New("ledger: too many names")
	ErrAmountRange  = errors.New("ledger: the amount is out of range")
)

// Write is an instance's sum for a name on its way to the store. The same Write may be sent again as it is.
type Write struct {
	Name     string
	FirstSeq uint64        // Seq of the name's first write: it tells a name from an earlier one of the same text
	Seq      uint64        // sequence number, higher than that of every earlier write of the ledger
	Sum      int64         // of this instance, in millionths of a unit
	TTL      time.Duration // time to live that is left, for a store that does not know the name
}

// Reply is what a store replies to a write. Sums are in millionths of a unit.
type Reply struct {
	PreviousSeq uint64        // the highest sequence number that it had from this instance before; 0: none
	Own         int64         // the sum that it now has from this instance
	Total       int64         // the sum over all instances, with Own
	TTL         time.Duration // time to live that is left of the name; 0: not known
}

// Confirmation is what follows from the reply to a write.
type Confirmation struct {
	Total          float64 // in units, with the write's sum; of the other instances never less than was known
	AlreadyApplied bool    // the write, or a later one, had been applied before this copy of it arrived
	Lost           bool    // the store has lost what it had confirmed
}

// account is what the ledger knows of one name.
type account struct {
	firstSeq     uint64
	sum          int64 // of this instance
	expiresAt    time.Duration
	confirmedSeq uint64 // highest sequence number that the store has confirmed; 0: none
	confirmedSum int64  // what it then had of this instance
	others       int64  // what it then had of the other instances
	unconfirmed  bool   // the store may not hold confirmedSum any more
	queued       bool   // in Ledger.pending

	// After the store may have lost data, othersFloor counts instead of a lower others, until the other instances have
	// written theirs again.
	floorActive bool
	othersFloor int64
	floorUntil  time.Duration // when it ends at the latest; 0: with the name, as the store has surely lost data
}

// Ledger holds the sums of all names that have not expired. It is not safe for concurrent use.
type Ledger struct {
	maxNames int
	seq      uint64 // of the last write
	accounts map[string]*account
	pending  []string // names whose sum the store may not hold, oldest first; some may be forgotten
}

// New returns an empty ledger for up to maxNames names.
func New(maxNames int) *Ledger { return &Ledger{maxNames: maxNames, accounts: map[string]*account{}} }

// Len is the number of names that it holds.
func (l *Ledger) Len() int { return len(l.accounts) }

// ToMicros converts units to millionths of a unit. It reports false for an amount beyond MaxSum.
func ToMicros(units float64) (micros int64, ok bool) {
	rounded := math.Round(units * MicrosPerUnit)
	return int64(rounded), math.Abs(rounded) <= float64(MaxSum) // false for a NaN too
}

// Add adds an amount of units to a name that expires ttl after its first add, and returns what is to be written. It
// returns ErrAmountRange or ErrTooManyNames, and changes nothing then.
func (l *Ledger) Add(now time.Duration, name string, units float64, ttl time.Duration) (Write, error) {
	micros, ok := ToMicros(units)
	if !ok {
		return Write{}, ErrAmountRange
	}
	a := l.accounts[name]
	if a != nil && now >= a.expiresAt {
		l.forget(name, a)
		a = nil
	}
	if a == nil {
		if len(l.accounts) >= l.maxNames {
			return Write{}, ErrTooManyNames
		}
		a = &account{firstSeq: l.seq + 1, expiresAt: now + ttl}
		l.accounts[name] = a
	}
	if sum := a.sum + micros; sum > MaxSum || sum < -MaxSum {
		return Write{}, ErrAmountRange
	}
	a.sum += micros
	return l.nextWrite(now, name, a), nil
}

func (l *Ledger) nextWrite(now time.Duration, name string, a *account) Write {
	l.seq++
	ttl := max(a.expiresAt-now, time.Millisecond)
	return Write{Name: name, FirstSeq: a.firstSeq, Seq: l.seq, Sum: a.sum, TTL: ttl}
}

// accountOf is the account that a write belongs to, or nil if that has expired.
func (l *Ledger) accountOf(write Write) *account {
	if a := l.accounts[write.Name]; a != nil && a.firstSeq == write.FirstSeq {
		return a
	}
	return nil
}

// Confirm records the store's reply to a write.
func (l *Ledger) Confirm(now time.Duration, write Write, reply Reply) Confirmation {
	result := Confirmation{AlreadyApplied: reply.PreviousSeq >= write.Seq}
	others := reply.Total - reply.Own
	a := l.accountOf(write)
	if a == nil {
		result.Total = float64(others+write.Sum) / MicrosPerUnit
		return result
	}
	if reply.PreviousSeq < a.confirmedSeq { // it had a later write once: it is another store, or was rolled back
		result.Lost = true
		a.keepFloor(0)
	}
	if a.floorActive && (others >= a.othersFloor || a.floorUntil > 0 && now >= a.floorUntil) {
		a.floorActive = false
	}
	a.others = others
	if reply.TTL > 0 { // ends a little early: a sum written after the store's name has expired would start a new one
		a.expiresAt = now + reply.TTL - reply.TTL/expiryMarginDivisor
	}
	a.confirmedSeq = max(write.Seq, reply.PreviousSeq)
	a.confirmedSum = reply.Own
	a.unconfirmed = false
	if a.confirmedSum != a.sum {
		l.markPending(write.Name, a)
	}
	if a.floorActive {
		others = a.othersFloor
	}
	result.Total = float64(others+write.Sum) / MicrosPerUnit
	return result
}

// keepFloor keeps what the other instances are known to have added; until is as in floorUntil.
func (a *account) keepFloor(until time.Duration) {
	if !a.floorActive || a.others > a.othersFloor {
		a.othersFloor = a.others
	}
	if !a.floorActive || until == 0 {
		a.floorUntil = until
	}
	a.floorActive = true
}

// Reject takes out of its name an amount of units that the store has rejected. If anything of the write was sent,
// the sum is written again, so that the rejection becomes true wherever a copy arrives.
func (l *Ledger) Reject(write Write, units float64, sent bool) {
	a := l.accountOf(write)
	if a == nil {
		return
	}
	micros, _ := ToMicros(units)
	a.sum -= micros
	a.unconfirmed = a.unconfirmed || sent
	if a.unconfirmed || a.confirmedSum != a.sum {
		l.markPending(write.Name, a)
	}
}

// MarkUnconfirmed records that a write may or may not have been applied: its sum is written again.
func (l *Ledger) MarkUnconfirmed(write Write) {
	if a := l.accountOf(write); a != nil {
		a.unconfirmed = true
		l.markPending(write.Name, a)
	}
}

// MarkAllUnconfirmed records that the store may have lost anything, or may be another one: all sums are written
// again. Until the other instances have written theirs again, within reportGrace, totals include what they are
// known to have had.
func (l *Ledger) MarkAllUnconfirmed(now time.Duration) {
	for name, a := range l.accounts {
		if now >= a.expiresAt {
			l.forget(name, a)
			continue
		}
		if a.confirmedSeq != 0 {
			a.keepFloor(now + reportGrace)
		}
		if a.sum != 0 || a.confirmedSeq != 0 {
			a.unconfirmed = true
			l.markPending(name, a)
		}
	}
}

func (l *Ledger) markPending(name string, a *account) {
	if !a.queued {
		a.queued = true
		l.pending = append(l.pending, name)
	}
}

func (l *Ledger) forget(name string, a *account) {
	a.queued = false
	delete(l.accounts, name)
}

// HasPending reports whether there may be something to write again.
func (l *Ledger) HasPending() bool { return len(l.pending) > 0 }

// TakePending returns up to limit writes of sums that the store may not hold.
func (l *Ledger) TakePending(now time.Duration, limit int) []Write {
	var writes []Write
	for len(l.pending) > 0 && len(writes) < limit {
		name := l.pending[0]
		l.pending = l.pending[1:]
		a := l.accounts[name]
		if a == nil || !a.queued {
			continue
		}
		a.queued = false
		if now >= a.expiresAt {
			delete(l.accounts, name)
			continue
		}
		if a.unconfirmed || a.confirmedSum != a.sum {
			writes = append(writes, l.nextWrite(now, name, a))
		}
	}
	return writes
}

// Expire forgets the names that have expired.
func (l *Ledger) Expire(now time.Duration) {
	for name, a := range l.accounts {
		if now >= a.expiresAt {
			l.forget(name, a)
		}
	}
	if len(l.accounts) == 0 {
		l.pending = nil
	}
}
