package resp

// Inbox gathers the bytes of a connection until a frame is complete. The zero
// value is ready to use; Close must be called in the end. Only one goroutine may
// use it at a time.
type Inbox struct {
	// Budget provides the memory that is needed beyond SmallBuffer; nil: unlimited.
	Budget *Budget
	// Max bounds the bytes of one string; 0: MaxValue.
	Max int

	buf      []byte
	start    int         // of the unconsumed bytes in buf
	end      int         // of the bytes that were read into buf
	reserved int         // bytes of Budget
	pending  lengthBound // of the frame that has begun, by the latest Next
}

// Close releases what was reserved of the budget.
func (in *Inbox) Close() {
	in.Budget.Release(in.reserved)
	in.reserved = 0
}

func (in *Inbox) maxValue() int {
	if in.Max > 0 {
		return in.Max
	}
	return MaxValue
}

// Next consumes and returns the next complete frame, or nil if more must be read.
// The frame is valid until Fill is called.
func (in *Inbox) Next() ([]byte, error) {
	size, bound, err := scanFrame(in.buf[in.start:in.end], 0, in.maxValue())
	in.pending = bound
	if size == 0 || err != nil {
		return nil, err
	}
	frame := in.buf[in.start : in.start+size]
	in.start += size
	return frame, nil
}

// Partial reports whether a frame has begun that is not complete.
func (in *Inbox) Partial() bool { return in.end > in.start }

// BufferedBytes returns how many unconsumed bytes there are.
func (in *Inbox) BufferedBytes() int { return in.end - in.start }

// Buffered returns the unconsumed bytes. They are valid until Fill is called.
func (in *Inbox) Buffered() []byte { return in.buf[in.start:in.end] }

// Discard consumes n bytes.
func (in *Inbox) Discard(n int) { in.start += n }

// Fill calls read once, and grows the buffer before if it is full, to one frame
// at most. It returns ErrTooLong if the frame does not fit, ErrMemory if the
// budget is exhausted, and the error of read unless that has read something.
func (in *Inbox) Fill(read func([]byte) (int, error)) error {
	if in.start > 0 {
		in.end = copy(in.buf, in.buf[in.start:in.end])
		in.start = 0
	}
	switch {
	case in.end == 0 && len(in.buf) != SmallBufferBytes: // the memory of a large frame is not retained
		in.buf = make([]byte, SmallBufferBytes)
		in.Close()
	case in.end == len(in.buf):
		if err := in.grow(); err != nil {
			return err
		}
	}
	n, err := read(in.buf[in.end:])
	in.end += n
	if n > 0 {
		return nil
	}
	return err
}

// grow doubles the buffer, but not beyond the largest frame. If the end of the
// pending frame is known it grows no further than that end and a small buffer for
// what may follow.
func (in *Inbox) grow() error {
	maxBytes := in.maxValue() + frameOverheadBytes + maxHeaderBytes
	if in.end >= maxBytes {
		return ErrTooLong
	}
	growth := min(len(in.buf), maxBytes-in.end)
	if in.pending.exact && in.pending.bytes > in.end {
		growth = min(growth, in.pending.bytes-in.end+SmallBufferBytes)
	}
	if !in.Budget.Reserve(growth) {
		return ErrMemory
	}
	in.reserved += growth
	in.buf = append(in.buf, make([]byte, growth)...)
	return nil
}

// SkipFrame reads and discards the rest of the pending frame, so that the next one can
// be read. It reports false if the end of the frame is unknown or could not be
// read.
func (in *Inbox) SkipFrame(read func([]byte) (int, error)) (bool, error) {
	if !in.pending.exact {
		return false, nil
	}
	remaining := in.pending.bytes - in.BufferedBytes()
	in.buf, in.start, in.end = make([]byte, SmallBufferBytes), 0, 0
	in.Close()
	for remaining > 0 {
		n, err := read(in.buf[:min(remaining, len(in.buf))])
		remaining -= n
		if n == 0 && err != nil {
			return false, err
		}
	}
	return true, nil
}
