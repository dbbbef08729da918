package resp

import (
	"cmp"
	"slices"
	"time"

	"hitchspring/internal/metrics"
	"hitchspring/internal/socket"
)

// stalledReaderTimeout is the time without write progress after which a connection is
// closed if others lack memory for replies. A kernel whose receive buffer is full
// announces room again only once a part of it has been read, which takes a slow reader
// some time.
const stalledReaderTimeout = 2 * time.Second

// writeProgress tells whether the client of a connection reads.
type writeProgress struct {
	writing bool // the writer is within a write to the client
	written int  // bytes of all writes that have returned
	unacked int  // bytes that the client's kernel has not acknowledged
}

// stallTracker measures how long a connection has made no write progress. It is used
// by the goroutine that closes idle connections only.
type stallTracker struct {
	last  writeProgress // at the latest call of update
	since time.Time     // when last was first seen
}

// update records the present progress and returns for how long the client has not
// read, although there was something to read for it.
func (s *stallTracker) update(now time.Time, progress writeProgress) time.Duration {
	if !progress.writing || progress != s.last {
		s.last, s.since = progress, now
		return 0
	}
	return now.Sub(s.since)
}

// writeProgress returns the present write progress of the connection, and the reply
// memory that it holds.
func (c *connection) writeProgress() (progress writeProgress, replyBytes int) {
	c.mu.Lock()
	progress = writeProgress{writing: c.writing, written: c.writtenBytes}
	replyBytes = c.replyBytes
	c.mu.Unlock()
	if progress.writing {
		progress.unacked = socket.UnackedBytes(c.conn)
	}
	return progress, replyBytes
}

// closeStalledReaders closes connections whose clients have stopped reading, if
// there is a lack of memory for replies: first those that hold most of it, and no more
// than necessary. A connection whose replies wait for an earlier one, or whose client
// reads, however slowly, is never closed for its memory.
func (f *Front) closeStalledReaders(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	shortage := f.replyMemory.shortage()
	if shortage <= 0 {
		return
	}
	type stalledConnection struct {
		connection *connection
		replyBytes int
	}
	var stalled []stalledConnection
	for c := range f.connections {
		progress, replyBytes := c.writeProgress()
		if c.stall.update(now, progress) >= stalledReaderTimeout {
			stalled = append(stalled, stalledConnection{c, replyBytes})
		}
	}
	slices.SortFunc(stalled, func(a, b stalledConnection) int { return cmp.Compare(b.replyBytes, a.replyBytes) })
	for _, s := range stalled {
		if shortage <= 0 {
			return
		}
		s.connection.abort(metrics.ClosedSlowReader)
		shortage -= int64(s.replyBytes)
	}
}
