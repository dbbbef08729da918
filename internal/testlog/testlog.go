// Package testlog provides a buffer for the output of processes and loggers that a test reads while they write to it.
// The package is only for tests.
package testlog

import (
	"bytes"
	"sync"
)

// Buffer collects the data that is written to it. It is safe for concurrent use. The zero value is an empty buffer.
type Buffer struct {
	mu     sync.Mutex // guards buffer
	buffer bytes.Buffer
}

// Write implements io.Writer. It never fails.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// String returns the data written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
