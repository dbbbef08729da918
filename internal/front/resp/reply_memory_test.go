package resp

import (
	"math/rand/v2"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// memoryModel checks a replyMemory against the number of reservations that there must
// be.
type memoryModel struct {
	memory   *replyMemory
	capacity int // of reservations
	reserved int
	waiting  []*modelWait
}

// modelWait is a wait that is not known to be granted yet.
type modelWait struct {
	wait     *memoryWait
	notified bool
}

func (m *memoryModel) reserve(*rapid.T) {
	if m.memory.reserve() {
		m.reserved++
	}
}

func (m *memoryModel) wait(*rapid.T) {
	w := &modelWait{}
	w.wait = m.memory.wait(func() { w.notified = true })
	m.waiting = append(m.waiting, w)
}

func (m *memoryModel) release(*rapid.T) {
	if m.reserved > 0 {
		m.reserved--
		m.memory.adjust(-maxReplyBytes)
	}
}

func (m *memoryModel) stopWaiting(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "which")
	if m.memory.stopWaiting(m.waiting[i].wait) {
		t.Fatal("a wait that was not granted has a reservation")
	}
	m.waiting = append(m.waiting[:i:i], m.waiting[i+1:]...)
}

// takeGranted counts the waits that were granted as reservations.
func (m *memoryModel) takeGranted(t *rapid.T) {
	for len(m.waiting) > 0 && m.memory.isGranted(m.waiting[0].wait) {
		if !m.waiting[0].notified {
			t.Fatal("a wait was granted and not notified")
		}
		m.waiting = m.waiting[1:]
		m.reserved++
	}
	for _, w := range m.waiting {
		if w.notified || m.memory.isGranted(w.wait) {
			t.Fatal("a wait was granted before an earlier one")
		}
	}
}

func (m *memoryModel) check(t *rapid.T) {
	m.takeGranted(t)
	switch {
	case m.reserved > m.capacity:
		t.Fatalf("there are %d reservations, %d are the limit", m.reserved, m.capacity)
	case len(m.waiting) > 0 && m.reserved < m.capacity:
		t.Fatalf("%d wait with %d of %d reservations", len(m.waiting), m.reserved, m.capacity)
	case int(m.memory.waiting.Load()) != len(m.waiting):
		t.Fatalf("%d are counted as waiting, want %d", m.memory.waiting.Load(), len(m.waiting))
	}
}

// Reservations never exceed the limit, nobody waits while memory is available, and
// those that wait get theirs in their order.
func TestReplyMemoryReservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(0, 4).Draw(t, "capacity")
		model := &memoryModel{
			memory:   newReplyMemory(capacity*maxReplyBytes + maxReplyBytes/2),
			capacity: capacity,
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve":      model.reserve,
			"wait":         model.wait,
			"release":      model.release,
			"stop waiting": model.stopWaiting,
			"":             model.check,
		})
	})
}

// reserveOrLeave takes a reservation at once or after a wait, and sometimes stops
// waiting. It reports whether it has one.
func reserveOrLeave(memory *replyMemory, r *rand.Rand) bool {
	if memory.reserve() {
		return true
	}
	granted := make(chan struct{})
	w := memory.wait(func() { close(granted) })
	if r.IntN(4) > 0 {
		<-granted
	}
	return memory.stopWaiting(w)
}

// Concurrent users of reply memory all get it in turn, and all of it is free at the end.
func TestReplyMemoryConcurrently(t *testing.T) {
	const users, rounds, capacity = 16, 500, 3
	memory := newReplyMemory(capacity * maxReplyBytes)
	use := func(user uint64) {
		r := rand.New(rand.NewPCG(1, user))
		for range rounds {
			if !reserveOrLeave(memory, r) {
				continue
			}
			if used := memory.used.Load(); used > capacity*maxReplyBytes {
				t.Errorf("%d bytes are in use", used)
			}
			memory.adjust(-maxReplyBytes)
		}
	}
	var all sync.WaitGroup
	for user := range uint64(users) {
		all.Go(func() { use(user) })
	}
	all.Wait()
	if memory.used.Load() != 0 || memory.waiting.Load() != 0 {
		t.Errorf("%d bytes are in use and %d wait, want 0 and 0", memory.used.Load(), memory.waiting.Load())
	}
}
