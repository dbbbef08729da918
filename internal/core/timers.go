package core

import (
	"container/heap"
	"time"
)

// timer is a function that the loop calls at a given time.
type timer struct {
	at   time.Duration // on the shared clock
	fire func()
}

// timerHeap is a min-heap of timers by time; it implements heap.Interface.
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

// scheduleAt schedules a function to be called by the loop at a time, or as soon as possible if the time has passed.
func (c *Core) scheduleAt(t time.Duration, fire func()) { heap.Push(&c.timers, timer{t, fire}) }

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
		heap.Pop(&c.timers).(timer).fire()
		c.flushEvents()
	}
}
