package resp

import "time"

// receiptGap is the time between two reads that are told apart: what comes sooner after another piece counts as come with that one.
const receiptGap = 25 * time.Millisecond

// receipts remembers when the bytes of a connection came that are not taken yet. A request's time counts from its last byte: a command that
// waits behind others, for room or for the end of a pause, must not be given the time that has passed meanwhile.
type receipts struct {
	total int64 // bytes that have come
	marks []receipt
}

// receipt says that bytes, up to a count of all that have come, came at a time.
type receipt struct {
	upTo int64
	at   time.Time
}

// add notes bytes that have come.
func (r *receipts) add(bytes int, now time.Time) {
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

// forget forgets all that has come: its command has not ended.
func (r *receipts) forget() { r.marks = r.marks[:0] }
