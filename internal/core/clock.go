package core

import (
	"time"

	"hitchspring/policy"
)

// answerMargin is how long before the client's deadline an answer goes out, to leave time for the way back.
const answerMargin = 20 * time.Millisecond

// Clock is an error of a process's clock, for tests of what depends on clocks.
type Clock struct {
	Offset time.Duration // of the true time, at the start
	Rate   float64       // seconds that pass on it in each true second; 0: one
}

// elapsed returns how much time passes on the clock while a span passes in truth.
func (k Clock) elapsed(span time.Duration) time.Duration {
	if k.Rate == 0 {
		return span
	}
	return time.Duration(float64(span) * k.Rate)
}

// clock converts a time to the clock that all instances share. Spans on it follow the monotonic clock.
func (c *Core) clock(t time.Time) time.Duration {
	return c.epoch + c.cfg.Clock.elapsed(t.Sub(c.startedAt))
}

// Now returns the time on the clock that all instances share, as this instance reads it.
func (c *Core) Now() time.Duration { return c.clock(time.Now()) }

// GiveUpAt returns the deadline of a request that was read at a time and whose client will wait for so long, of which
// at most twice the class's deadline counts. The deadline lies a little before the client gives up.
func (c *Core) GiveUpAt(class policy.Class, at time.Time, wait time.Duration) time.Duration {
	wait = min(wait, 2*class.Deadline)
	return c.clock(at) + wait - min(answerMargin, wait/4)
}
