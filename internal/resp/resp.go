// Package resp bounds what a peer may send in RESP2 and gathers it frame by frame, before a parser reads it.
package resp

import (
	"bytes"
	"errors"
	"strconv"
	"sync/atomic"
)

// Bounds in bytes on what a peer may send. A whole command or answer is held in memory before it is read, so
// they also bound the buffer of a connection.
const (
	MaxValue           = 64 << 10
	MaxLarge           = 4 << 20 // of a value that is passed on as it comes, or of a request's body
	MaxFrame           = MaxValue + frameOverheadBytes
	frameOverheadBytes = 4 << 10
	maxHeaderBytes     = 1 << 10
	maxElements        = 16
	maxDepth           = 3
)

// What is wrong with what a peer sends; after any of them the framing is lost.
var (
	ErrFraming = errors.New("malformed RESP")
	ErrTooLong = errors.New("value too long")
	ErrMemory  = errors.New("no memory for this now")
)

// Frame returns the length of the RESP value that b begins with, or 0 while its end has not come. It
// guards the library's parser, which trusts lengths: a huge or negative one makes it panic.
func Frame(b []byte, depth int) (int, error) {
	size, _, err := scanFrame(b, depth, MaxValue)
	return size, err
}

// need is what is known of a value that has not come whole.
type lengthBound struct {
	bytes int  // it has so many at least
	exact bool // and no more
}

// frame is Frame for values of so many bytes at most.
func scanFrame(b []byte, depth, most int) (int, lengthBound, error) {
	fail := func(err error) (int, lengthBound, error) { return 0, lengthBound{}, err }
	if len(b) == 0 {
		return 0, lengthBound{}, nil
	}
	end := bytes.IndexByte(b[:min(len(b), maxHeaderBytes)], '\n')
	switch {
	case end < 0 && len(b) >= maxHeaderBytes:
		return fail(ErrTooLong)
	case bytes.IndexByte([]byte("+-:$*"), b[0]) < 0 || depth > maxDepth:
		return fail(ErrFraming)
	case end < 0:
		return 0, lengthBound{}, nil
	case end < 2 || b[end-1] != '\r':
		return fail(ErrFraming)
	}
	size := end + 1
	if b[0] != '$' && b[0] != '*' {
		return size, lengthBound{}, nil
	}
	n, err := strconv.Atoi(string(b[1 : end-1]))
	switch {
	case err != nil || n < -1:
		return fail(ErrFraming)
	case b[0] == '$' && n > most || b[0] == '*' && n > maxElements:
		return fail(ErrTooLong)
	case n < 0:
		return size, lengthBound{}, nil
	case b[0] == '$':
		if size += n + 2; len(b) < size {
			return 0, lengthBound{size, true}, nil
		}
		if b[size-2] != '\r' || b[size-1] != '\n' {
			return fail(ErrFraming)
		}
		return size, lengthBound{}, nil
	}
	for i := range n {
		k, more, err := scanFrame(b[size:], depth+1, most)
		if err != nil {
			return fail(err)
		}
		if k == 0 && more.bytes > 0 {
			more.bytes += size
			more.exact = more.exact && i == n-1
		}
		if max(size+k, more.bytes) > most+frameOverheadBytes {
			return fail(ErrTooLong)
		}
		if k == 0 {
			return 0, more, nil
		}
		size += k
	}
	return size, lengthBound{}, nil
}

// Large says whether b begins with an array of three whose first element is a value beyond MaxValue, which is passed on
// as it comes: how long its head is, and the value. A value beyond MaxLarge is ErrTooLong.
func Large(b []byte) (head, value int, err error) {
	const start = "*3\r\n$"
	if len(b) <= len(start) || string(b[:len(start)]) != start {
		return 0, 0, nil
	}
	rest := b[len(start):]
	end := bytes.IndexByte(rest[:min(len(rest), maxHeaderBytes)], '\n')
	if end < 2 || rest[end-1] != '\r' {
		return 0, 0, nil
	}
	n, err := strconv.Atoi(string(rest[:end-1]))
	switch {
	case err != nil || n <= MaxValue:
		return 0, 0, nil // Frame has the word
	case n > MaxLarge:
		return 0, 0, ErrTooLong
	}
	return len(start) + end + 1, n, nil
}

// Budget is memory that many connections share; nil is without end.
type Budget struct {
	available atomic.Int64
}

// NewBudget returns a budget of so many bytes.
func NewBudget(bytes int) *Budget {
	b := &Budget{}
	b.available.Store(int64(bytes))
	return b
}

// Take reports whether the budget holds n bytes more, which are then taken.
func (b *Budget) Take(n int) bool {
	if b == nil || b.available.Add(-int64(n)) >= 0 {
		return true
	}
	b.Give(n)
	return false
}

// Give brings n bytes back.
func (b *Budget) Give(n int) {
	if b != nil {
		b.available.Add(int64(n))
	}
}

// Inbox gathers what a connection brings until a frame is whole. What it needs beyond a small buffer comes from the
// budget.
type Inbox struct {
	buf        []byte
	start, end int
	Budget     *Budget // where what it needs beyond a small buffer comes from; nil is without end
	Max        int     // bytes of a value; 0: MaxValue
	reserved   int
	pending    lengthBound // of the frame that has begun
}

// Close gives back what was taken from the budget.
func (in *Inbox) Close() {
	in.Budget.Give(in.reserved)
	in.reserved = 0
}

func (in *Inbox) maxValue() int {
	if in.Max > 0 {
		return in.Max
	}
	return MaxValue
}

// Next returns the next whole frame, or nil when more must be read; it is valid until Fill.
func (in *Inbox) Next() ([]byte, error) {
	n, more, err := scanFrame(in.buf[in.start:in.end], 0, in.maxValue())
	in.pending = more
	if n == 0 || err != nil {
		return nil, err
	}
	f := in.buf[in.start : in.start+n]
	in.start += n
	return f, nil
}

// Partial says whether a frame has begun and not ended.
func (in *Inbox) Partial() bool { return in.end > in.start }

// Came is how much of the frame that has begun is there.
func (in *Inbox) ArrivedAt() int { return in.end - in.start }

// Begun is what has come of the frame that has begun; it is valid until Fill.
func (in *Inbox) Begun() []byte { return in.buf[in.start:in.end] }

// Drop takes so many bytes off what has come.
func (in *Inbox) Drop(n int) { in.start += n }

// Fill reads once more; the buffer grows to one frame at most.
func (in *Inbox) Fill(read func([]byte) (int, error)) error {
	if in.start > 0 {
		in.end = copy(in.buf, in.buf[in.start:in.end])
		in.start = 0
	}
	switch {
	case in.end == 0 && len(in.buf) != SmallBuffer: // a large frame's memory does not stay with the connection
		in.buf = make([]byte, SmallBuffer)
		in.Close()
	case in.end == len(in.buf):
		most := in.maxValue() + frameOverheadBytes + maxHeaderBytes
		if in.end >= most {
			return ErrTooLong
		}
		more := min(len(in.buf), most-in.end)
		if in.pending.exact && in.pending.bytes > in.end { // no further than its end, and what may stand behind it
			more = min(more, in.pending.bytes-in.end+SmallBuffer)
		}
		if !in.Budget.Take(more) {
			return ErrMemory
		}
		in.reserved += more
		in.buf = append(in.buf, make([]byte, more)...)
	}
	n, err := read(in.buf[in.end:])
	in.end += n
	if n > 0 {
		return nil
	}
	return err
}

// Skip reads and throws away the rest of the frame that has begun, where it is known how long that is; the next frame can
// be read after it.
func (in *Inbox) Skip(read func([]byte) (int, error)) (skipped bool, err error) {
	if !in.pending.exact {
		return false, nil
	}
	left := in.pending.bytes - in.ArrivedAt()
	in.buf, in.start, in.end = make([]byte, SmallBuffer), 0, 0
	in.Close()
	for left > 0 {
		n, err := read(in.buf[:min(left, len(in.buf))])
		if left -= n; n == 0 && err != nil {
			return false, err
		}
	}
	return true, nil
}

// SmallBuffer is what a connection keeps between frames, in bytes.
const SmallBuffer = 2 << 10
