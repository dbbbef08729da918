// Package resp bounds and frames what a peer sends in RESP2 before a parser reads
// it. It takes the bytes of a connection and yields complete values, the length
// of large ones that are forwarded as they arrive, and typed errors once a bound
// is exceeded. A Budget bounds the memory of many connections together. The
// package does not interpret values and knows no commands.
package resp

import "errors"

// Bounds on what a peer may send, in bytes. A whole value is in memory before it
// is parsed, so they also bound the buffer of a connection.
const (
	MaxValue      = 64 << 10 // of one string
	MaxLargeValue = 4 << 20  // of a string that is forwarded as it arrives, or of a request's body
	MaxFrameBytes = MaxValue + frameOverheadBytes

	// SmallBuffer is the buffer that a connection retains between frames.
	SmallBufferBytes = 2 << 10

	frameOverheadBytes = 4 << 10 // of a frame besides its largest string
	maxHeaderBytes     = 1 << 10 // of a type, a length and a line end, or of a simple string
)

// Bounds on the structure of a value.
const (
	maxElements = 16 // of an array
	maxDepth    = 3  // of nested arrays
)

// Errors of what a peer sends. After any of them the framing of the connection is
// lost, unless Inbox.Skip finds the end of the frame.
var (
	ErrFraming = errors.New("malformed RESP")
	ErrTooLong = errors.New("value too long")
	ErrMemory  = errors.New("no memory for this now")
)
