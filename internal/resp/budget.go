package resp

import "sync/atomic"

// Budget bounds the memory that many connections use together. It is safe for
// concurrent use. A nil Budget is unlimited.
type Budget struct {
	available atomic.Int64 // bytes; below 0 only while Take is running
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(bytes int) *Budget {
	b := &Budget{}
	b.available.Store(int64(bytes))
	return b
}

// Reserve reserves n bytes. It reports false, and reserves nothing, if fewer are
// available.
func (b *Budget) Reserve(n int) bool {
	if b == nil || b.available.Add(-int64(n)) >= 0 {
		return true
	}
	b.Release(n)
	return false
}

// Release releases n bytes.
func (b *Budget) Release(n int) {
	if b != nil {
		b.available.Add(int64(n))
	}
}
