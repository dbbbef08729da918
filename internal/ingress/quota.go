package ingress

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	quotaBoundsTimeout = time.Second      // for the event loop to compute the bounds
	maxDisconnection   = 10 * time.Minute // longest disconnection that a caller may ask about
)

// serveQuotaBounds answers with the state of the quotas and their overrun bounds,
// for `hitchspring status budgets`. The query parameter "for" is how long the
// instances are assumed to be disconnected from one another.
func (i *Instance) serveQuotaBounds(w http.ResponseWriter, r *http.Request) {
	disconnection := time.Duration(0)
	if text := r.URL.Query().Get("for"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 || d > maxDisconnection {
			http.Error(w,
				fmt.Sprintf("for=%.40q: a duration above 0 and up to %v is wanted", text, maxDisconnection),
				http.StatusBadRequest)
			return
		}
		disconnection = d
	}
	ctx, cancel := context.WithTimeout(r.Context(), quotaBoundsTimeout)
	defer cancel()
	bounds, err := i.core.QuotaBounds(ctx, disconnection)
	writeStatus(w, bounds, err == nil, "the event loop has no time")
}

// serveEscrow answers with the quota allocations that instances have transferred,
// for `hitchspring status rights`.
func (i *Instance) serveEscrow(w http.ResponseWriter, _ *http.Request) {
	status, ok := i.core.EscrowStatus()
	writeStatus(w, status, ok, "parts of budgets are even: [rights] is off")
}
