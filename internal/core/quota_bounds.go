package core

import (
	"context"
	"time"

	"hitchspring/internal/overrun"
)

const (
	// MaxBoundsShown bounds the quotas that QuotaBounds states: those with the most demand.
	MaxBoundsShown = 1024

	defaultBoundSpan = time.Minute
)

// quotaBoundsRequested is the event of QuotaBounds.
type quotaBoundsRequested struct {
	span  time.Duration
	reply chan<- []overrun.Bound // has room for one
}

// QuotaBounds states how the quotas with the most demand stand, and what this instance would forward within a span if
// it heard nothing more from the counter; a span of 0 is a minute. It waits for the loop or for ctx's end, whose error
// it returns. Any goroutine may call it.
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
	quotas := overrun.QuotaStates(c.engine.ExportState(), c.engine.QuotaStandings(), c.cfg.Settings)
	ev.reply <- overrun.TopBounds(c.now, quotas, ev.span, MaxBoundsShown)
}
