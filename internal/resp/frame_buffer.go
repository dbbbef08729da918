package resp

// FrameBuffer buffers the bytes of a connection until a frame is complete. The zero
// value is ready to use; Close must be called after use. It is not safe for
// concurrent use.
type FrameBuffer struct {
	// Budget provides the memory beyond SmallBufferBytes; nil: unlimited.
	Budget *Budget
	// MaxBytes bounds the bytes of one string; 0: MaxBytes.
	MaxBytes int

	buf           []byte
	start         int         // start of the unconsumed bytes in buf
	end           int         // end of the bytes that were read into buf
	reserved      int         // bytes reserved from Budget
	pendingLength lengthBound // length of the incomplete frame, as of the last call of Next
}

// Close releases the memory that was reserved from the budget.
func (in *FrameBuffer) Close() {
	in.Budget.Release(in.reserved)
	in.reserved = 0
}

func (in *FrameBuffer) maxValue() int {
	if in.MaxBytes > 0 {
		return in.MaxBytes
	}
	return MaxValueBytes
}

// Next consumes and returns the next complete frame, or nil if more must be read.
// The frame is valid until Fill is called.
func (in *FrameBuffer) Next() ([]byte, error) {
	size, bound, err := scanFrame(in.buf[in.start:in.end], 0, in.maxValue())
	in.pendingLength = bound
	if size == 0 || err != nil {
		return nil, err
	}
	frame := in.buf[in.start : in.start+size]
	in.start += size
	return frame, nil
}

// Partial reports whether there are unconsumed bytes, of a frame that Next has not
// returned.
func (in *FrameBuffer) Partial() bool { return in.end > in.start }

// BufferedBytes returns the number of unconsumed bytes.
func (in *FrameBuffer) BufferedBytes() int { return in.end - in.start }

// Buffered returns the unconsumed bytes. They are valid until Fill is called.
func (in *FrameBuffer) Buffered() []byte { return in.buf[in.start:in.end] }

// Discard consumes n bytes.
func (in *FrameBuffer) Discard(n int) { in.start += n }

// Fill calls read once. If the buffer is full, it grows it first, up to the size of
// one frame. It returns ErrTooLong if the frame does not fit, ErrBudgetExhausted if the
// budget is exhausted, and the error of read if no bytes were read.
func (in *FrameBuffer) Fill(read func([]byte) (int, error)) error {
	if in.start == in.end {
		in.start, in.end = 0, 0
	}
	switch {
	case in.end == 0 && len(in.buf) != SmallBufferBytes: // the memory of a large frame is not retained
		in.buf = make([]byte, SmallBufferBytes)
		in.Close()
	case in.end == len(in.buf):
		if err := in.makeRoom(); err != nil {
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

// makeRoom makes room at the end of a full buffer: it moves the unconsumed bytes to
// the start if they take half of it at most, so that each byte is moved a bounded
// number of times, or if the buffer can't grow. Else it grows the buffer.
func (in *FrameBuffer) makeRoom() error {
	if in.start < len(in.buf)/2 {
		err := in.grow()
		if err == nil || in.start == 0 {
			return err
		}
	}
	in.end = copy(in.buf, in.buf[in.start:in.end])
	in.start = 0
	return nil
}

// grow doubles the buffer, up to the size of the largest frame. If the length of
// the pending frame is known, it grows the buffer at most to that length plus a
// small buffer for the bytes that may follow.
func (in *FrameBuffer) grow() error {
	maxBytes := in.maxValue() + frameOverheadBytes + maxHeaderBytes
	if in.end >= maxBytes {
		return ErrTooLong
	}
	growth := min(len(in.buf), maxBytes-in.end)
	if missing := in.pendingLength.bytes - in.BufferedBytes(); in.pendingLength.exact && missing > 0 {
		growth = min(growth, missing+SmallBufferBytes)
	}
	if !in.Budget.Reserve(growth) {
		return ErrBudgetExhausted
	}
	in.reserved += growth
	in.buf = append(in.buf, make([]byte, growth)...)
	return nil
}

// SkipFrame reads and discards the rest of the pending frame, so that the next one
// can be read. It reports false if the length of the frame is unknown, or if read
// failed before its end.
func (in *FrameBuffer) SkipFrame(read func([]byte) (int, error)) (bool, error) {
	if !in.pendingLength.exact {
		return false, nil
	}
	remaining := in.pendingLength.bytes - in.BufferedBytes()
	in.buf, in.start, in.end = nil, 0, 0
	in.Close()
	discarded := make([]byte, min(remaining, skipBufferBytes))
	for remaining > 0 {
		n, err := read(discarded[:min(remaining, len(discarded))])
		remaining -= n
		if n == 0 && err != nil {
			return false, err
		}
	}
	return true, nil
}
