package core

import (
	"context"
	"time"

	"hitchspring/internal/overrun"
)

const (
	// MaxBoundsShown is the maximum number of quotas that QuotaBounds returns: those with the highest demand.
	MaxBoundsShown = 1024

	defaultBoundSpan = time.Minute
)

// quotaBoundsRequested is the event of QuotaBounds.
type quotaBoundsRequested struct {
	span  time.Duration
	reply chan<- []overrun.Bound // must have a free buffer slot
}

// QuotaBounds returns the state of the quotas with the highest demand, with the overrun bound of each: what this
// instance would forward within a span without any further reply from the counter. A span of 0 means a minute. It waits
// for the loop, or returns the error of ctx when that is done. It is safe for concurrent use.
func (c *Core) QuotaBounds(ctx context.Context, span time.Duration) ([]overrun.Bound, error) {
	reply := make(chan []overrun.Bound, 1)
	c.post(quotaBoundsRequested{span, reply})
	select {
	case bounds := <-reply:
		return bounds, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Core) replyQuotaBounds(ev quotaBoundsRequested) {
	if ev.span <= 0 {
		ev.span = defaultBoundSpan
	}
	quotas := overrun.QuotaStates(c.engine.ExportState(), c.engine.QuotaStatuses(), c.cfg.Settings)
	ev.reply <- overrun.TopBounds(c.now, quotas, ev.span, MaxBoundsShown)
}
