package cputime

import "time"

// waitingTurn is a turn that waits for processor time.
type waitingTurn struct {
	order time.Duration // turns with lower values go first
	ready chan struct{} // closed when the turn may begin
}

// turnQueue is a min-heap of turns by their order; it implements heap.Interface.
type turnQueue []*waitingTurn

// Len implements heap.Interface.
func (q turnQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q turnQueue) Less(i, j int) bool { return q[i].order < q[j].order }

// Swap implements heap.Interface.
func (q turnQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *turnQueue) Push(x any) { *q = append(*q, x.(*waitingTurn)) }

// Pop implements heap.Interface.
func (q *turnQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
