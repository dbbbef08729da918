package backend

import (
	"fmt"
	"slices"
	"time"
)

// Outcome is the outcome of a command at its backend.
type Outcome string

// The fates of a command.
const (
	Open          Outcome = ""               // in progress
	Ran           Outcome = "ran"            // took effect, and the reply was written
	Remembered    Outcome = "remembered"     // repeated a key that the rack had seen; answered like the first command
	Busy          Outcome = "busy"           // rejected with BUSY, without effect
	Failed        Outcome = "failed"         // answered with an error by a fault, without effect
	DroppedBefore Outcome = "dropped before" // the connection was reset before the command took effect
	DroppedAfter  Outcome = "dropped after"  // the connection was reset after the command took effect
	Unanswered    Outcome = "unanswered"     // got no reply
	CutOff        Outcome = "cut off"        // arrived during a network partition, without effect
	Died          Outcome = "died"           // the backend stopped before the reply
)

// maxRecords is the maximum number of records of a fleet.
const maxRecords = 1 << 20

// Record describes one command that a backend received, whatever its fate. Times are those of the fleet's clock.
type Record struct {
	// ArrivedAt is when the command had been read completely.
	ArrivedAt time.Duration
	// StartedAt is when the command's work was queued; 0 if it was not.
	StartedAt time.Duration
	// EndedAt is the time just before the reply was written, or when it was certain that there would be no reply; 0
	// while the command is in progress.
	EndedAt time.Duration
	// Instance is the index of the sender, identified by the listen address.
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
	// Allowed is how long the sender waits for the reply, according to the command.
	Allowed time.Duration
	Outcome Outcome
	// WarmingUp reports whether the backend was in slow start when the command arrived.
	WarmingUp bool
	// Work is the command's service time on a core of speed 1; 0 if its key was a repeat.
	Work time.Duration
}

// Records returns the records from the index from on. Records of commands in progress may still change.
func (f *Fleet) Records(from int) []Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.records[min(from, len(f.records)):])
}

// DroppedRecords returns the number of commands that were not recorded because the records were full. If there are any,
// checks based on the records are not conclusive.
func (f *Fleet) DroppedRecords() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.droppedRecords
}

// addRecord records a command on arrival, counts its work against the overload limit, and returns the record's index.
// If the records are full, the command is not recorded and gets the last index.
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
			b.fleet.droppedRecords++
		}
		if !b.stopped && b.machine.addSlowStartLoad(rec.Work) {
			b.shutDown()
		}
	})
	return at
}

// endRecord records the fate of a command, and counts it as served if it took effect or repeated one that did.
func (b *Backend) endRecord(at int, fate Outcome) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	rec := &b.fleet.records[at]
	rec.EndedAt, rec.Outcome = b.fleet.clock(), fate
	if fate == Ran || fate == DroppedAfter || fate == Remembered || fate == Unanswered {
		b.completions = append(b.completions, rec.EndedAt)
		b.machine.served++
	}
}

// loadReport returns the load report with which the backend answers a health check: the number of commands completed in
// the last second, with the time rounded down to reportInterval.
func (b *Backend) loadReport() string {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	now := b.fleet.clock() / reportInterval * reportInterval
	for len(b.completions) > 0 && now-b.completions[0] > time.Second {
		b.completions = b.completions[1:]
	}
	return fmt.Sprintf("qps=%d", len(b.completions))
}
