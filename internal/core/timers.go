package core

import (
	"container/heap"
	"time"
)

// timer is a function that the loop calls at a time.
type timer struct {
	at   time.Duration
	fire func()
}

// timerHeap is a heap of timers with the earliest first; it implements heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}

// scheduleAt has the loop call a function at a time, at once if it has passed.
func (c *Core) scheduleAt(t time.Duration, fire func()) { heap.Push(&c.timers, timer{t, fire}) }

// scheduleAfter has the loop call a function when a span has passed.
func (c *Core) scheduleAfter(d time.Duration, fire func()) { c.scheduleAt(c.now+d, fire) }

// repeat calls a function now and then again in each interval, until the core ends.
func (c *Core) repeat(interval time.Duration, run func()) {
	var tick func()
	tick = func() {
		c.scheduleAfter(interval, tick)
		run()
	}
	tick()
}

// fireTimers calls the timers that are due, with the engine's reaction to each before the next.
func (c *Core) fireTimers() {
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		heap.Pop(&c.timers).(timer).fire()
		c.flushEvents()
	}
}
