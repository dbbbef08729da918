// Package resp splits the bytes of a connection into RESP2 frames within bounds,
// before a parser reads them. It yields complete frames, the length of large
// values that are forwarded as they arrive, and typed errors if a bound is
// exceeded. A Budget bounds the total memory of many connections. The package
// does not interpret values and knows no commands.
package resp

import "errors"

// Bounds on what a peer may send, in bytes. A frame is buffered completely before
// it is parsed, so they also bound the buffer of a connection.
const (
	MaxValueBytes      = 64 << 10 // of one string
	MaxLargeValueBytes = 4 << 20  // of a string that is forwarded as it arrives, or of a request body
	MaxFrameBytes      = MaxValueBytes + frameOverheadBytes

	// SmallBufferBytes is the size of the buffer that a connection retains between frames.
	SmallBufferBytes = 2 << 10

	skipBufferBytes    = 8 << 10 // of the buffer for a frame that is skipped
	frameOverheadBytes = 4 << 10 // of a frame in addition to its largest string
	maxHeaderBytes     = 1 << 10 // of a line with a type and a length, or of a simple string
)

// Bounds on the structure of a value.
const (
	maxElements = 16 // of an array
	maxDepth    = 3  // of nested arrays
)

// Errors for input from a peer. After any of them the framing of the connection is
// lost, unless Inbox.SkipFrame can skip the rest of the frame.
var (
	ErrFraming         = errors.New("malformed RESP")
	ErrTooLong         = errors.New("value too long")
	ErrBudgetExhausted = errors.New("no memory for this now")
)
