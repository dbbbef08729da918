package core

import (
	"time"

	"hitchspring/policy"
)

// answerMargin is how long before the client's deadline a request is given up, so that the answer arrives in time.
const answerMargin = 20 * time.Millisecond

// ClockError is a simulated error of a process's clock, for tests of clock skew and drift.
type ClockError struct {
	Offset time.Duration // difference from the true time when the process starts
	Rate   float64       // seconds of this clock per true second; 0 means 1
}

// elapsed returns how far the clock advances during a span of true time.
func (k ClockError) elapsed(span time.Duration) time.Duration {
	if k.Rate == 0 {
		return span
	}
	return time.Duration(float64(span) * k.Rate)
}

// clock converts a time to the shared clock of all instances, which is Unix time. Its progress follows this process's
// monotonic clock, so that it never jumps.
func (c *Core) clock(t time.Time) time.Duration {
	return c.epoch + c.cfg.ClockError.elapsed(t.Sub(c.startedAt))
}

// Now returns this instance's reading of the shared clock.
func (c *Core) Now() time.Duration { return c.clock(time.Now()) }

// GiveUpAt returns the deadline of a request, on the shared clock, from the time when it was read and how long its
// client waits. The wait is capped at twice the deadline of the class. The result is a little earlier than the client's
// own deadline, so that the answer arrives in time.
func (c *Core) GiveUpAt(class policy.Class, at time.Time, wait time.Duration) time.Duration {
	wait = min(wait, 2*class.Deadline)
	return c.clock(at) + wait - min(answerMargin, wait/4)
}
