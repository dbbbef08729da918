package resp

import "time"

// mostInFlight is more than two kernels hold for a connection: what is read beyond it was sent after reading had stopped.
const mostInFlight = 8 << 20

// receiptGap is the time between two reads that are told apart: what comes sooner after another piece counts as come with that one.
const receiptGap = 25 * time.Millisecond

// receipts remembers when the bytes of a connection came that are not taken yet. A request's time counts from its last byte: a command that
// waits behind others, for room or for the end of a pause, must not be given the time that has passed meanwhile.
type receipts struct {
	total   int64 // bytes that have come
	marks   []receipt
	stopped time.Time // when reading stopped though more may have come, also to the client's kernel; zero: all that has come was read
	behind  int64     // bytes read since
}

// receipt says that bytes, up to a count of all that have come, came at a time.
type receipt struct {
	upTo int64
	at   time.Time
}

// stop notes that nothing is read for a while: what is sent meanwhile counts as come now.
func (r *receipts) stop(now time.Time) {
	if r.stopped.IsZero() {
		r.stopped, r.behind = now, 0
	}
}

// add notes bytes that have been read, by a read that began at a time. One that had to wait brings what was sent just now.
func (r *receipts) add(bytes int, began, now time.Time) {
	r.behind += int64(bytes)
	if now.Sub(began) >= receiptGap || r.behind > mostInFlight {
		r.stopped = time.Time{}
	}
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
