package ingress

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	quotaBoundsTimeout = time.Second      // for the event loop
	maxDisconnection   = 10 * time.Minute // that quota bounds are computed for
)

// serveQuotaBounds answers how quotas stand and how much may be overspent, for
// `hitchspring status budgets`. The parameter for is how long instances are
// disconnected from one another.
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

// serveEscrow answers which allocations of quotas have moved, for `hitchspring
// status rights`.
func (i *Instance) serveEscrow(w http.ResponseWriter, _ *http.Request) {
	status, ok := i.core.EscrowStatus()
	writeStatus(w, status, ok, "parts of budgets are even: [rights] is off")
}
