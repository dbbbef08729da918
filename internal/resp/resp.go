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
	MaxValue    = 64 << 10
	MaxFrame    = MaxValue + 4<<10
	maxLine     = 1 << 10
	maxElements = 16
	maxDepth    = 3
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
	if len(b) == 0 {
		return 0, nil
	}
	end := bytes.IndexByte(b[:min(len(b), maxLine)], '\n')
	switch {
	case end < 0 && len(b) >= maxLine:
		return 0, ErrTooLong
	case bytes.IndexByte([]byte("+-:$*"), b[0]) < 0 || depth > maxDepth:
		return 0, ErrFraming
	case end < 0:
		return 0, nil
	case end < 2 || b[end-1] != '\r':
		return 0, ErrFraming
	}
	size := end + 1
	if b[0] != '$' && b[0] != '*' {
		return size, nil
	}
	n, err := strconv.Atoi(string(b[1 : end-1]))
	switch {
	case err != nil || n < -1:
		return 0, ErrFraming
	case b[0] == '$' && n > MaxValue || b[0] == '*' && n > maxElements:
		return 0, ErrTooLong
	case n < 0:
		return size, nil
	case b[0] == '$':
		if size += n + 2; len(b) < size {
			return 0, nil
		}
		if b[size-2] != '\r' || b[size-1] != '\n' {
			return 0, ErrFraming
		}
		return size, nil
	}
	for range n {
		k, err := Frame(b[size:], depth+1)
		if k == 0 || err != nil {
			return 0, err
		}
		if size += k; size > MaxFrame {
			return 0, ErrTooLong
		}
	}
	return size, nil
}

// Budget is memory that many connections share; nil is without end.
type Budget struct {
	left atomic.Int64
}

// NewBudget returns a budget of so many bytes.
func NewBudget(bytes int) *Budget {
	b := &Budget{}
	b.left.Store(int64(bytes))
	return b
}

// Take reports whether the budget holds n bytes more, which are then taken.
func (b *Budget) Take(n int) bool {
	if b == nil || b.left.Add(-int64(n)) >= 0 {
		return true
	}
	b.Give(n)
	return false
}

// Give brings n bytes back.
func (b *Budget) Give(n int) {
	if b != nil {
		b.left.Add(int64(n))
	}
}

// Inbox gathers what a connection brings until a frame is whole. What it needs beyond a small buffer comes from the
// budget.
type Inbox struct {
	buf         []byte
	start, have int
	Budget      *Budget // where what it needs beyond a small buffer comes from; nil is without end
	taken       int
}

// Close gives back what was taken from the budget.
func (in *Inbox) Close() {
	in.Budget.Give(in.taken)
	in.taken = 0
}

// Next returns the next whole frame, or nil when more must be read; it is valid until Fill.
func (in *Inbox) Next() ([]byte, error) {
	n, err := Frame(in.buf[in.start:in.have], 0)
	if n == 0 || err != nil {
		return nil, err
	}
	f := in.buf[in.start : in.start+n]
	in.start += n
	return f, nil
}

// Partial says whether a frame has begun and not ended.
func (in *Inbox) Partial() bool { return in.have > in.start }

// Fill reads once more; the buffer grows to one frame at most.
func (in *Inbox) Fill(read func([]byte) (int, error)) error {
	if in.start > 0 {
		in.have = copy(in.buf, in.buf[in.start:in.have])
		in.start = 0
	}
	switch {
	case in.have == 0 && len(in.buf) != SmallBuffer: // a large frame's memory does not stay with the connection
		in.buf = make([]byte, SmallBuffer)
		in.Close()
	case in.have == len(in.buf):
		if in.have >= MaxFrame+maxLine {
			return ErrTooLong
		}
		more := min(len(in.buf), MaxFrame+maxLine-in.have)
		if !in.Budget.Take(more) {
			return ErrMemory
		}
		in.taken += more
		in.buf = append(in.buf, make([]byte, more)...)
	}
	n, err := read(in.buf[in.have:])
	in.have += n
	if n > 0 {
		return nil
	}
	return err
}

// SmallBuffer is what a connection keeps between frames, in bytes.
const SmallBuffer = 2 << 10
