package core

import (
	"container/heap"
	"time"
)

// timer is a function that the loop calls at a given time.
type timer struct {
	at    time.Duration // on the shared clock
	fire  func()
	index int // in the heap; notScheduled once fired or canceled
}

// notScheduled is the index of a timer that is not in the heap.
const notScheduled = -1

// timerHeap is a min-heap of timers by time; it implements heap.Interface.
type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	added := x.(*timer)
	added.index = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	last.index = notScheduled
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// scheduleAt schedules a function to be called by the loop at a time, or as soon as possible if the time has passed.
func (c *Core) scheduleAt(t time.Duration, fire func()) *timer {
	added := &timer{at: t, fire: fire}
	heap.Push(&c.timers, added)
	return added
}

// cancelTimer removes a timer, with all that its function refers to. It does nothing if the timer has fired or was
// canceled, or is nil.
func (c *Core) cancelTimer(t *timer) {
	if t != nil && t.index != notScheduled {
		heap.Remove(&c.timers, t.index)
	}
}

// scheduleAfter schedules a function to be called by the loop after a duration.
func (c *Core) scheduleAfter(d time.Duration, fire func()) { c.scheduleAt(c.now+d, fire) }

// repeat calls a function now and then once per interval, until the core stops.
func (c *Core) repeat(interval time.Duration, run func()) {
	var tick func()
	tick = func() {
		c.scheduleAfter(interval, tick)
		run()
	}
	tick()
}

// fireTimers fires the due timers. The engine handles the events of each before the next one fires.
func (c *Core) fireTimers() {
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		due := heap.Pop(&c.timers).(*timer)
		c.metrics.TimerFired(c.now - due.at)
		due.fire()
		c.flushEvents()
	}
}
