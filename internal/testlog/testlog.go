// Package testlog holds what processes and loggers write while a test reads it.
// It is for tests alone.
package testlog

import (
	"bytes"
	"sync"
)

// Buffer collects what is written to it. Its methods are safe for many goroutines; the zero value is empty.
type Buffer struct {
	mu     sync.Mutex // guards buffer
	buffer bytes.Buffer
}

// Write appends p and never fails.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// String returns what has been written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
