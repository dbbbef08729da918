package resp

import "time"

// receiptGap is the time between two reads that are told apart: what comes sooner after another piece counts as come with that one.
const receiptGap = 25 * time.Millisecond

// receipts remembers when the bytes of a connection came that are not taken yet. A request's time counts from its last byte: a command that
// waits behind others, for room or for the end of a pause, must not be given the time that has passed meanwhile.
type receipts struct {
	total   int64 // bytes that have come
	marks   []receipt
	stopped time.Time // since when nothing was read though more may have come; zero: all that has come was read
}

// receipt says that bytes, up to a count of all that have come, came at a time.
type receipt struct {
	upTo int64
	at   time.Time
}

// stop notes that nothing is read for a while: what comes meanwhile counts as come now.
func (r *receipts) stop(now time.Time) {
	if r.stopped.IsZero() {
		r.stopped = now
	}
}

// resume notes that nothing has come that was not read.
func (r *receipts) resume() { r.stopped = time.Time{} }

// add notes bytes that have been read.
func (r *receipts) add(bytes int, now time.Time) {
	if !r.stopped.IsZero() {
		now = r.stopped
	}
	r.total += int64(bytes)
	if last := len(r.marks) - 1; last >= 0 && now.Sub(r.marks[last].at) < receiptGap {
		r.marks[last].upTo = r.total
		return
	}
	r.marks = append(r.marks, receipt{upTo: r.total, at: now})
}

// take returns when the last byte of a command came, where so many bytes came behind it, and forgets what came before.
func (r *receipts) take(behind int) time.Time {
	end := r.total - int64(behind)
	for len(r.marks) > 1 && r.marks[0].upTo < end {
		r.marks = r.marks[1:]
	}
	return r.marks[0].at
}

// forget forgets all that has come, whose command has not ended, and returns when it began; zero where nothing has come.
func (r *receipts) forget() (began time.Time) {
	if len(r.marks) > 0 {
		began = r.marks[0].at
	}
	r.marks = r.marks[:0]
	return began
}
