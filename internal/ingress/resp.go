package ingress

import (
	"bytes"
	"errors"
	"strconv"
	"sync/atomic"
)

// Bounds on what a peer may send. A whole command or answer is held in memory before it is read, so
// they also bound the buffer of a connection.
const (
	maxValue    = 64 << 10
	maxFrame    = maxValue + 4<<10
	maxLine     = 1 << 10
	maxElements = 16
	maxDepth    = 3
)

var (
	errFraming = errors.New("malformed RESP")
	errTooLong = errors.New("value too long")
	errMemory  = errors.New("no memory for this now")
)

// frame returns the length of the RESP value that b begins with, or 0 while its end has not come. It
// guards the library's parser, which trusts lengths: a huge or negative one makes it panic.
func frame(b []byte, depth int) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	end := bytes.IndexByte(b[:min(len(b), maxLine)], '\n')
	switch {
	case end < 0 && len(b) >= maxLine:
		return 0, errTooLong
	case bytes.IndexByte([]byte("+-:$*"), b[0]) < 0 || depth > maxDepth:
		return 0, errFraming
	case end < 0:
		return 0, nil
	case end < 2 || b[end-1] != '\r':
		return 0, errFraming
	}
	size := end + 1
	if b[0] != '$' && b[0] != '*' {
		return size, nil
	}
	n, err := strconv.Atoi(string(b[1 : end-1]))
	switch {
	case err != nil || n < -1:
		return 0, errFraming
	case b[0] == '$' && n > maxValue || b[0] == '*' && n > maxElements:
		return 0, errTooLong
	case n < 0:
		return size, nil
	case b[0] == '$':
		if size += n + 2; len(b) < size {
			return 0, nil
		}
		if b[size-2] != '\r' || b[size-1] != '\n' {
			return 0, errFraming
		}
		return size, nil
	}
	for range n {
		k, err := frame(b[size:], depth+1)
		if k == 0 || err != nil {
			return 0, err
		}
		if size += k; size > maxFrame {
			return 0, errTooLong
		}
	}
	return size, nil
}

// budget is memory that many connections share; nil is without end.
type budget struct {
	left atomic.Int64
}

func newBudget(bytes int) *budget {
	b := &budget{}
	b.left.Store(int64(bytes))
	return b
}

func (b *budget) take(n int) bool {
	if b == nil || b.left.Add(-int64(n)) >= 0 {
		return true
	}
	b.give(n)
	return false
}

func (b *budget) give(n int) {
	if b != nil {
		b.left.Add(int64(n))
	}
}

// inbox gathers what a connection brings until a frame is whole. What it needs beyond a small buffer comes from the
// budget.
type inbox struct {
	buf         []byte
	start, have int
	budget      *budget
	taken       int
}

// close gives back what was taken from the budget.
func (in *inbox) close() {
	in.budget.give(in.taken)
	in.taken = 0
}

// next returns the next whole frame, or nil when more must be read; it is valid until fill.
func (in *inbox) next() ([]byte, error) {
	n, err := frame(in.buf[in.start:in.have], 0)
	if n == 0 || err != nil {
		return nil, err
	}
	f := in.buf[in.start : in.start+n]
	in.start += n
	return f, nil
}

// partial says whether a frame has begun and not ended.
func (in *inbox) partial() bool { return in.have > in.start }

// fill reads once more; the buffer grows to one frame at most.
func (in *inbox) fill(read func([]byte) (int, error)) error {
	if in.start > 0 {
		in.have = copy(in.buf, in.buf[in.start:in.have])
		in.start = 0
	}
	switch {
	case in.have == 0 && len(in.buf) != smallBuffer: // a large frame's memory does not stay with the connection
		in.buf = make([]byte, smallBuffer)
		in.close()
	case in.have == len(in.buf):
		if in.have >= maxFrame+maxLine {
			return errTooLong
		}
		more := min(len(in.buf), maxFrame+maxLine-in.have)
		if !in.budget.take(more) {
			return errMemory
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

const smallBuffer = 2 << 10
