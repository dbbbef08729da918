package resp

import "time"

// maxKernelBufferedBytes exceeds what the send buffer of the client's kernel and the
// receive buffer of ours hold for one connection. Bytes beyond it were written by the
// client after reading had resumed.
const maxKernelBufferedBytes = 8 << 20

// minReceiptInterval is the shortest time between two entries of a receiptLog. Bytes
// that arrive sooner after the previous entry are merged into it. It is also for how long
// reads must have blocked until nothing is left that arrived while reading was suspended.
const minReceiptInterval = 25 * time.Millisecond

// minBlockedRead is the duration from which a read counts as blocked.
const minBlockedRead = 5 * time.Millisecond

// receiptLog records when the unconsumed bytes of a connection arrived. The deadline
// of a request counts from the arrival of its last byte, even if the request waits
// behind other commands, for the pipeline window or for the end of a pause.
type receiptLog struct {
	totalBytes       int64         // read from the connection so far
	entries          []receipt     // in the order of arrival
	stoppedAt        time.Time     // when reading was suspended; zero once all bytes that arrived before are read
	bytesSinceStop   int64         // read since stoppedAt
	blockedSinceStop time.Duration // for which reads have blocked since stoppedAt
	delayedAt        time.Time     // when the first of the delays began that delay is the sum of
	delay            time.Duration // sum of the delays of reads since the last read that blocked
}

// receipt is the arrival of the bytes up to an offset in the connection's stream.
type receipt struct {
	endOffset int64
	arrivedAt time.Time
}

// recordStop records that reading is suspended from now on. The bytes that wait in
// the kernel when it resumes count as arrived now.
func (log *receiptLog) recordStop(now time.Time) {
	if log.stoppedAt.IsZero() {
		log.stoppedAt, log.bytesSinceStop, log.blockedSinceStop = now, 0, 0
	}
}

// recordDelay records that the next read was delayed from began to now. Unless a read
// blocks in between, such delays add up: bytes may have waited in the kernel since the
// first of them.
func (log *receiptLog) recordDelay(began, now time.Time) {
	if log.delay == 0 {
		log.delayedAt = began
	}
	log.delay += now.Sub(began)
	if log.delay >= minReceiptInterval {
		log.recordStop(log.delayedAt)
	}
}

// recordRead records the bytes of a read that lasted from began to now. If the read
// blocked, the kernel's buffer was empty and the bytes have only just arrived.
func (log *receiptLog) recordRead(bytes int, began, now time.Time) {
	log.bytesSinceStop += int64(bytes)
	if blocked := now.Sub(began); blocked >= minBlockedRead {
		log.blockedSinceStop += blocked
		log.delay = 0
	}
	if log.blockedSinceStop >= minReceiptInterval || log.bytesSinceStop > maxKernelBufferedBytes {
		log.stoppedAt = time.Time{}
	}
	if !log.stoppedAt.IsZero() {
		now = log.stoppedAt
	}
	log.totalBytes += int64(bytes)
	if last := len(log.entries) - 1; last >= 0 && now.Sub(log.entries[last].arrivedAt) < minReceiptInterval {
		log.entries[last].endOffset = log.totalBytes
		return
	}
	log.entries = append(log.entries, receipt{endOffset: log.totalBytes, arrivedAt: now})
}

// consumeCommand returns when the last byte of the next command arrived, and drops
// the entries before it. bytesAfter is the number of bytes received after the command.
func (log *receiptLog) consumeCommand(bytesAfter int) time.Time {
	end := log.totalBytes - int64(bytesAfter)
	for len(log.entries) > 1 && log.entries[0].endOffset < end {
		log.entries = log.entries[1:]
	}
	return log.entries[0].arrivedAt
}

// discardPartial drops all entries, which belong to a partial command, and returns
// the time of the earliest, or zero if there is none.
func (log *receiptLog) discardPartial() (beganAt time.Time) {
	if len(log.entries) > 0 {
		beganAt = log.entries[0].arrivedAt
	}
	log.entries = log.entries[:0]
	return beganAt
}
