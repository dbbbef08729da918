package resp

import (
	"slices"
	"sync"
	"sync/atomic"

	"hitchspring/internal/resp"
)

// maxReplyBytes is the most memory of a reply until it is written: a value with its
// header and line ends. A longer value is streamed and needs no memory here.
const maxReplyBytes = resp.MaxValueBytes + 16

// replyMemory accounts for the replies of all connections, in bytes. A reply that has
// to wait for an earlier one of its connection must have its memory reserved before
// its request is submitted, so that a reply never has to be thrown away for lack of
// memory. A reply that waits for none is charged when it is there: it goes to the
// client at once, and each connection has one of them at the most.
//
// Reservations are made in FIFO order. The methods may be called from any goroutine
// and never block.
type replyMemory struct {
	limit   int64        // for reservations; charges may exceed it
	used    atomic.Int64 // reserved or charged
	waiting atomic.Int32 // length of queue

	mu    sync.Mutex // guards queue and the field granted of its elements
	queue []*memoryWait
}

// memoryWait is a connection's wait for a reservation of maxReplyBytes.
type memoryWait struct {
	granted bool
	notify  func() // called without locks once granted; must not block
}

func newReplyMemory(limit int) *replyMemory { return &replyMemory{limit: int64(limit)} }

// reserve reserves maxReplyBytes, and reports false if fewer are available or others
// wait for a reservation.
func (m *replyMemory) reserve() bool {
	return m.waiting.Load() == 0 && m.tryReserve()
}

// reserveSpare reserves a number of bytes if no connection waits for a reservation and
// half of the memory is free afterwards.
func (m *replyMemory) reserveSpare(bytes int) bool {
	return m.waiting.Load() == 0 && m.tryReserveWithin(bytes, m.limit/2)
}

func (m *replyMemory) tryReserve() bool { return m.tryReserveWithin(maxReplyBytes, m.limit) }

// tryReserveWithin doesn't change used if it fails, not even for a moment: another call
// could fail for that, and would not be repeated.
func (m *replyMemory) tryReserveWithin(bytes int, limit int64) bool {
	for {
		used := m.used.Load()
		if used+int64(bytes) > limit {
			return false
		}
		if m.used.CompareAndSwap(used, used+int64(bytes)) {
			return true
		}
	}
}

// adjust adds a number of bytes to those in use. If it is negative, waiting
// connections get the memory that becomes available.
func (m *replyMemory) adjust(bytes int) {
	m.used.Add(int64(bytes))
	if bytes < 0 && m.waiting.Load() > 0 {
		m.grantWaiting()
	}
}

// wait begins a wait for a reservation. notify is called once it is granted, possibly
// before wait returns. The caller must call stopWaiting exactly once.
func (m *replyMemory) wait(notify func()) *memoryWait {
	w := &memoryWait{notify: notify}
	m.mu.Lock()
	m.queue = append(m.queue, w)
	m.waiting.Add(1)
	m.mu.Unlock()
	m.grantWaiting() // memory may have become available before w was in the queue
	return w
}

// isGranted reports whether a wait has its reservation.
func (m *replyMemory) isGranted(w *memoryWait) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return w.granted
}

// stopWaiting ends a wait and reports whether the caller has the reservation.
func (m *replyMemory) stopWaiting(w *memoryWait) (granted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i := slices.Index(m.queue, w); i >= 0 {
		m.queue = slices.Delete(m.queue, i, i+1)
		m.waiting.Add(-1)
	}
	return w.granted
}

// grantWaiting gives the available memory to those that have waited longest.
func (m *replyMemory) grantWaiting() {
	m.mu.Lock()
	granted := 0
	for granted < len(m.queue) && m.tryReserve() {
		m.queue[granted].granted = true
		granted++
	}
	notified := slices.Clone(m.queue[:granted])
	m.queue = slices.Delete(m.queue, 0, granted)
	m.waiting.Add(-int32(granted))
	m.mu.Unlock()
	for _, w := range notified {
		w.notify()
	}
}

// shortage returns by how many bytes the memory in use, and that which connections
// wait for, exceed the limit. It is 0 or less if no connection waits and the limit is
// kept.
func (m *replyMemory) shortage() int64 {
	return m.used.Load() + int64(m.waiting.Load())*maxReplyBytes - m.limit
}
