// Package ledger records what one instance has added to a shared store, so that adds are idempotent: an add can be
// sent any number of times and counts once. It receives adds and the store's replies, and returns the writes to send
// or to resend. It does no I/O, starts no goroutine and takes the time as an argument.
//
// A name's total in the store is the total of one sum per instance, which covers all adds of that instance. An add
// changes the instance's sum and writes the new sum with a new sequence number; the store accepts a sum only if its
// sequence number is higher than the stored one. So a write that is repeated, reordered or late changes nothing, a
// lost write is corrected by the next one, and a store that has lost confirmed data is detected by the lower sequence
// number in its reply. A rejected add is subtracted from the sum; the next write corrects the store even if a copy of
// the rejected write still arrives.
//
// Sums are integers in millionths of a unit, exact up to 2^53, which is about nine billion units.
package ledger

import (
	"errors"
	"math"
	"time"
)

// resyncTimeout is how long the other instances may take to detect that the store was replaced or has lost data, and
// to rewrite their sums.
const resyncTimeout = 3 * time.Second

// expiryMarginDivisor defines how early the ledger drops a name: by its time to live divided by this number before the
// store does.
const expiryMarginDivisor = 20

// MicrosPerUnit is the factor between units and the ledger's integers, which are millionths of a unit.
const MicrosPerUnit = 1e6

// MaxSum is the highest absolute sum of an instance for a name, in millionths of a unit: the largest range of integers
// that a float64 represents exactly.
const MaxSum = int64(1) << 53

// Errors returned by Ledger.Add.
var (
	ErrTooManyNames = errors.New("ledger: too many names")
	ErrAmountRange  = errors.New("ledger: amount out of range")
)

// Write sets an instance's sum for a name in the store. It is idempotent: the same Write may be sent several times.
type Write struct {
	Name     string
	FirstSeq uint64        // Seq of the name's first write; distinguishes a name from an expired one with the same text
	Seq      uint64        // sequence number, higher than those of all earlier writes of the ledger
	Sum      int64         // sum of this instance, in millionths of a unit
	TTL      time.Duration // remaining time to live; used if the name is new to the store
}

// Reply is the store's reply to a write. Sums are in millionths of a unit.
type Reply struct {
	PreviousSeq uint64        // sequence number stored for this instance before the write; 0: none
	Own         int64         // sum now stored for this instance
	Total       int64         // sum over all instances, including Own
	TTL         time.Duration // remaining time to live of the name; 0: unknown
}

// Confirmation is what the ledger concludes from the reply to a write.
type Confirmation struct {
	Total          float64 // in units, including the write's sum and no less than the known sum of the other instances
	AlreadyApplied bool    // this write or a later one had been applied before this copy arrived
	Lost           bool    // the store has lost confirmed writes
}

// account is the ledger's state of one name.
type account struct {
	firstSeq     uint64
	sum          int64 // sum of this instance
	expiresAt    time.Duration
	confirmedSeq uint64 // highest sequence number confirmed by the store; 0: none
	confirmedSum int64  // this instance's sum in the last reply
	others       int64  // sum of the other instances in the last reply
	unconfirmed  bool   // the store may no longer hold confirmedSum
	isPending    bool   // the name is in Ledger.pending

	// While floorActive is set, othersFloor is used in place of a lower value of others: the store may have lost data
	// that the other instances have not rewritten yet.
	floorActive bool
	othersFloor int64
	floorUntil  time.Duration // latest end of the floor; 0: at the name's expiry, since a loss of data was detected
}

// Ledger holds the sums of all names that have not expired. It is not safe for concurrent use.
type Ledger struct {
	maxNames int
	seq      uint64 // sequence number of the last write
	accounts map[string]*account
	pending  []string // names whose sum the store may not hold, oldest first; may include removed names
}

// New returns an empty ledger for up to maxNames names.
func New(maxNames int) *Ledger { return &Ledger{maxNames: maxNames, accounts: map[string]*account{}} }

// Len returns the number of names in the ledger.
func (l *Ledger) Len() int { return len(l.accounts) }

// ToMicros converts units to millionths of a unit. It reports false for an amount beyond MaxSum.
func ToMicros(units float64) (micros int64, ok bool) {
	rounded := math.Round(units * MicrosPerUnit)
	return int64(rounded), math.Abs(rounded) <= float64(MaxSum) // also false for NaN
}

// Add adds an amount in units to a name that expires ttl after its first add, and returns the write to send. It fails
// with ErrAmountRange or ErrTooManyNames, in which case the sum stays as it was.
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

// accountFor returns the account that a write belongs to, or nil if the account has expired.
func (l *Ledger) accountFor(write Write) *account {
	if a := l.accounts[write.Name]; a != nil && a.firstSeq == write.FirstSeq {
		return a
	}
	return nil
}

// Confirm records the store's reply to a write.
func (l *Ledger) Confirm(now time.Duration, write Write, reply Reply) Confirmation {
	result := Confirmation{AlreadyApplied: reply.PreviousSeq >= write.Seq}
	others := reply.Total - reply.Own
	a := l.accountFor(write)
	if a == nil {
		result.Total = float64(others+write.Sum) / MicrosPerUnit
		return result
	}
	if reply.PreviousSeq < a.confirmedSeq { // the store once confirmed a later write, so it was replaced or rolled back
		result.Lost = true
		a.raiseFloor(0)
	}
	if a.floorActive && (others >= a.othersFloor || a.floorUntil > 0 && now >= a.floorUntil) {
		a.floorActive = false
	}
	a.others = others
	// Expires a little before the store's name does: a sum written after that would create the name anew.
	if reply.TTL > 0 {
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

// raiseFloor activates the floor and raises it to the known sum of the other instances; until becomes floorUntil.
func (a *account) raiseFloor(until time.Duration) {
	if !a.floorActive || a.others > a.othersFloor {
		a.othersFloor = a.others
	}
	if !a.floorActive || until == 0 {
		a.floorUntil = until
	}
	a.floorActive = true
}

// Reject subtracts an amount in units that the store has rejected. If the write may have been sent, the sum is written
// again, so that the store ends up without the amount even if a copy of the write is applied later.
func (l *Ledger) Reject(write Write, units float64, sent bool) {
	a := l.accountFor(write)
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

// MarkUnconfirmed records that a write may or may not have been applied, so that its sum is written again.
func (l *Ledger) MarkUnconfirmed(write Write) {
	if a := l.accountFor(write); a != nil {
		a.unconfirmed = true
		l.markPending(write.Name, a)
	}
}

// MarkAllUnconfirmed records that the store may have lost data or been replaced, so that all sums are written again.
// Until the other instances have rewritten their sums, for resyncTimeout at most, totals include at least what these
// instances are known to have added.
func (l *Ledger) MarkAllUnconfirmed(now time.Duration) {
	for name, a := range l.accounts {
		if now >= a.expiresAt {
			l.forget(name, a)
			continue
		}
		if a.confirmedSeq != 0 {
			a.raiseFloor(now + resyncTimeout)
		}
		if a.sum != 0 || a.confirmedSeq != 0 {
			a.unconfirmed = true
			l.markPending(name, a)
		}
	}
}

func (l *Ledger) markPending(name string, a *account) {
	if !a.isPending {
		a.isPending = true
		l.pending = append(l.pending, name)
	}
}

func (l *Ledger) forget(name string, a *account) {
	a.isPending = false
	delete(l.accounts, name)
}

// HasPending reports whether there may be sums to write again.
func (l *Ledger) HasPending() bool { return len(l.pending) > 0 }

// TakePending removes up to limit pending names and returns the writes of their sums.
func (l *Ledger) TakePending(now time.Duration, limit int) []Write {
	var writes []Write
	for len(l.pending) > 0 && len(writes) < limit {
		name := l.pending[0]
		l.pending = l.pending[1:]
		a := l.accounts[name]
		if a == nil || !a.isPending {
			continue
		}
		a.isPending = false
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

// Expire removes the names that have expired.
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
