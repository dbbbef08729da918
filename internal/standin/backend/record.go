package backend

import (
	"fmt"
	"slices"
	"time"
)

// Fate is what became of a command at its backend.
type Fate string

// The fates of a command.
const (
	Open          Fate = ""               // not ended yet
	Ran           Fate = "ran"            // it took effect, and its reply was written
	Remembered    Fate = "remembered"     // a repeat of a key that the rack dropped; answered as the first
	Busy          Fate = "busy"           // rejected with BUSY, without effect
	Failed        Fate = "failed"         // answered with an error
	DroppedBefore Fate = "dropped before" // the connection was reset before it took effect
	DroppedAfter  Fate = "dropped after"  // it took effect, and the connection was reset
	Unanswered    Fate = "unanswered"     // it never got a reply
	CutOff        Fate = "cut off"        // the network was cut: it reached no program
	Died          Fate = "died"           // the backend ended before its reply
)

// maxRecords limits the records of a fleet.
const maxRecords = 1 << 20

// Record is one command as its backend saw it, whatever became of it. Times are those of the fleet's clock.
type Record struct {
	// ArrivedAt is when the command's last byte was read.
	ArrivedAt time.Duration
	// StartedAt is when the command was queued for a core; 0 if it never was.
	StartedAt time.Duration
	// EndedAt is when the reply was about to be written, or when it was clear that none would be; 0 before.
	EndedAt time.Duration
	// Instance is the sender, known by the address that the command came to.
	Instance int
	// Conn identifies the connection.
	Conn    uint64
	Backend string
	Zone    string
	Tenant  string
	ID      string
	Class   string
	Plan    string
	// Key is the idempotency key; empty if the command has none.
	Key   string
	Rack  int
	Units float64
	// Allowed is how long the instance said that it waits for the reply.
	Allowed time.Duration
	Fate    Fate
	// WarmingUp says whether the backend did not have its complete capacity yet.
	WarmingUp bool
	// Work is the time that the command takes on a core of speed 1; 0 for a remembered key.
	Work time.Duration
}

// Records returns the records so far, from the given one on. Those of commands that have not ended may change yet.
func (f *Fleet) Records(from int) []Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.records[min(from, len(f.records)):])
}

// Lost returns the number of commands that found no space in the records: a run with any proves nothing.
func (f *Fleet) Lost() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// addRecord records a command when it arrives, counts its work against the overload limit, and returns its index. A
// lost record shares the last index.
func (b *Backend) addRecord(rec Record) (at int) {
	b.update(func(now time.Duration) {
		rec.ArrivedAt, rec.Backend, rec.Zone, rec.Rack = now, b.ID, b.Zone, b.Rack
		rec.WarmingUp = b.machine.capacityShare() < 1
		work, known := b.fleet.rules.Work[rec.Class]
		if !known {
			work = defaultWork
		}
		rec.Work = work.Min + time.Duration(b.fleet.rng.Float64()*float64(work.Max-work.Min))
		if at = len(b.fleet.records); at < maxRecords {
			b.fleet.records = append(b.fleet.records, rec)
		} else {
			at = maxRecords - 1
			b.fleet.lost++
		}
		if !b.down && b.machine.addOverload(rec.Work) {
			b.shutDown()
		}
	})
	return at
}

// endRecord records the fate of a command, and counts it as served if it took effect.
func (b *Backend) endRecord(at int, fate Fate) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	rec := &b.fleet.records[at]
	rec.EndedAt, rec.Fate = b.fleet.clock(), fate
	if fate == Ran || fate == DroppedAfter || fate == Remembered || fate == Unanswered {
		b.completions = append(b.completions, rec.EndedAt)
		b.machine.served++
	}
}

// loadReport returns the load report that answers a health check. Its figure changes once in reportInterval.
func (b *Backend) loadReport() string {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	now := b.fleet.clock() / reportInterval * reportInterval
	for len(b.completions) > 0 && now-b.completions[0] > time.Second {
		b.completions = b.completions[1:]
	}
	return fmt.Sprintf("qps=%d", len(b.completions))
}
