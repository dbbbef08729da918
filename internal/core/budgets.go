package core

import (
	"context"
	"time"

	"hitchspring/internal/overrun"
)

// budgetsFor is the time that statements are for where none is named.
const defaultBoundSpan = time.Minute

// MaxBudgetsShown bounds the channels that Budgets states: those with the most demand. Others hold their quotas just as well.
const MaxBoundsShown = 1024

// budgetsAsked asks for statements on the channels with the most demand.
type quotaBoundsRequested struct {
	span  time.Duration
	reply chan<- []overrun.Bound // has room for one
}

// Budgets states how the quotas of the channels with the most demand stand, and what this instance would pass on in so long if it heard nothing more from the
// counter; 0: a minute. It waits for the loop, or for ctx's end, and may be called by many goroutines.
func (c *Core) QuotaBounds(ctx context.Context, span time.Duration) ([]overrun.Bound, error) {
	reply := make(chan []overrun.Bound, 1)
	c.post(quotaBoundsRequested{span, reply})
	select {
	case s := <-reply:
		return s, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Core) replyQuotaBounds(ev quotaBoundsRequested) {
	if ev.span <= 0 {
		ev.span = defaultBoundSpan
	}
	ev.reply <- overrun.TopBounds(c.now, overrun.QuotaStates(c.engine.ExportState(), c.engine.QuotaStandings(), c.cfg.Settings), ev.span, MaxBoundsShown)
}
