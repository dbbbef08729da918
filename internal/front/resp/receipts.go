package resp

import "time"

// mostInFlight is more than two kernels hold for a connection: what is read beyond it was sent after reading had stopped.
const maxInFlightBytes = 8 << 20

// receiptGap is the time between two reads that are told apart: what comes sooner after another piece counts as come with that one.
const receiptGap = 25 * time.Millisecond

// receipts remembers when the bytes of a connection came that are not taken yet. A request's time counts from its last byte: a command that
// waits behind others, for room or for the end of a pause, must not be given the time that has passed meanwhile.
type receiptLog struct {
	totalBytes     int64 // bytes that have come
	entries        []receipt
	stoppedAt      time.Time // when reading stopped though more may have come, also to the client's kernel; zero: all that has come was read
	bytesSinceStop int64     // bytes read since
}

// receipt says that bytes, up to a count of all that have come, came at a time.
type receipt struct {
	endOffset int64
	arrivedAt time.Time
}

// stop notes that nothing is read for a while: what is sent meanwhile counts as come now.
func (log *receiptLog) noteStop(now time.Time) {
	if log.stoppedAt.IsZero() {
		log.stoppedAt, log.bytesSinceStop = now, 0
	}
}

// add notes bytes that have been read, by a read that began at a time. One that had to wait brings what was sent just now.
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

// take returns when the last byte of a command came, where so many bytes came behind it, and forgets what came before.
func (log *receiptLog) takeCommand(behind int) time.Time {
	end := log.totalBytes - int64(behind)
	for len(log.entries) > 1 && log.entries[0].endOffset < end {
		log.entries = log.entries[1:]
	}
	return log.entries[0].arrivedAt
}

// forget forgets all that has come, whose command has not ended, and returns when it began; zero where nothing has come.
func (log *receiptLog) forgetPartial() (beganAt time.Time) {
	if len(log.entries) > 0 {
		beganAt = log.entries[0].arrivedAt
	}
	log.entries = log.entries[:0]
	return beganAt
}
