package sim

import (
	"container/heap"
	"time"
)

// event is something that is to happen.
type event struct {
	at       time.Duration
	sequence int // orders events of one time as they were scheduled
	run      func()
}

// eventQueue is a heap of events, the next one first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for container/heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop is for container/heap.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// at schedules a function; a time that is past counts as now.
func (s *simulation) at(t time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{max(t, s.now), s.sequence, run})
}

func (s *simulation) after(span time.Duration, run func()) { s.at(s.now+span, run) }
