package resp

import "time"

// maxInFlightBytes is more than two kernels hold for a connection: bytes that are
// read beyond it were sent after reading had stopped.
const maxInFlightBytes = 8 << 20

// receiptGap is the shortest time between two receipts: bytes that come sooner
// after others count as arrived with these.
const receiptGap = 25 * time.Millisecond

// receiptLog remembers when the bytes of a connection arrived that no command has
// been taken from yet. A request's time counts from the arrival of its last byte,
// also if it waits behind other commands, for the pipeline window or for the end
// of a pause.
type receiptLog struct {
	totalBytes     int64     // that have arrived
	entries        []receipt // in the order of arrival
	stoppedAt      time.Time // when reading stopped while more may have arrived; zero: all that arrived was read
	bytesSinceStop int64     // read since stoppedAt
}

// receipt is the arrival of the bytes up to an offset in the connection's stream.
type receipt struct {
	endOffset int64
	arrivedAt time.Time
}

// noteStop notes that nothing is read for a while: bytes that are sent meanwhile
// count as arrived now.
func (log *receiptLog) noteStop(now time.Time) {
	if log.stoppedAt.IsZero() {
		log.stoppedAt, log.bytesSinceStop = now, 0
	}
}

// noteRead notes bytes that a read has brought which began at a time. If the read
// had to wait, they were sent just now.
func (log *receiptLog) noteRead(bytes int, began, now time.Time) {
	log.bytesSinceStop += int64(bytes)
	if now.Sub(began) >= receiptGap || log.bytesSinceStop > maxInFlightBytes {
		log.stoppedAt = time.Time{}
	}
	if !log.stoppedAt.IsZero() {
		now = log.stoppedAt
	}
	log.totalBytes += int64(bytes)
	if last := len(log.entries) - 1; last >= 0 && now.Sub(log.entries[last].arrivedAt) < receiptGap {
		log.entries[last].endOffset = log.totalBytes
		return
	}
	log.entries = append(log.entries, receipt{endOffset: log.totalBytes, arrivedAt: now})
}

// takeCommand returns when the last byte of a command arrived, behind which
// further bytes have arrived, and forgets the receipts before it.
func (log *receiptLog) takeCommand(behind int) time.Time {
	end := log.totalBytes - int64(behind)
	for len(log.entries) > 1 && log.entries[0].endOffset < end {
		log.entries = log.entries[1:]
	}
	return log.entries[0].arrivedAt
}

// forgetPartial forgets the receipts of a partial command, and returns when its
// first bytes arrived, or zero if there is none.
func (log *receiptLog) forgetPartial() (beganAt time.Time) {
	if len(log.entries) > 0 {
		beganAt = log.entries[0].arrivedAt
	}
	log.entries = log.entries[:0]
	return beganAt
}
