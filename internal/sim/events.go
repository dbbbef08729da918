package sim

import (
	"container/heap"
	"time"
)

// event is a function that is scheduled to run at a virtual time.
type event struct {
	at       time.Duration
	sequence int // orders events with the same time as they were scheduled
	run      func()
}

// eventQueue is a heap of events, ordered by time. It implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event; only container/heap calls it.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event; only container/heap calls it.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// at schedules a function to run at a virtual time, or now if that time has passed.
func (s *simulation) at(t time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{max(t, s.now), s.sequence, run})
}

// after schedules a function to run after a delay.
func (s *simulation) after(span time.Duration, run func()) { s.at(s.now+span, run) }
