package resp

import "sync/atomic"

// Budget bounds the total memory of many connections. It is safe for
// concurrent use. A nil Budget is unlimited.
type Budget struct {
	size      int64
	available atomic.Int64 // bytes; below 0 only during a call of Reserve
}

// NewBudget returns a budget of so many bytes.
func NewBudget(bytes int) *Budget {
	b := &Budget{size: int64(bytes)}
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

// Release returns n reserved bytes to the budget.
func (b *Budget) Release(n int) {
	if b != nil {
		b.available.Add(int64(n))
	}
}

// HalfFree reports whether at most half of the budget is reserved.
func (b *Budget) HalfFree() bool { return b == nil || b.available.Load() >= b.size/2 }
