package ingress

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	quotaBoundsTimeout = time.Second      // for the event loop
	maxDisconnection = 10 * time.Minute // that statements are for
)

// serveBudgets answers how quotas stand and how far their use may go, for `hitchspring status budgets`; ?for=DURATION says for how long.
func (i *Instance) serveQuotaBounds(w http.ResponseWriter, r *http.Request) {
	span := time.Duration(0)
	if text := r.URL.Query().Get("for"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 || d > maxDisconnection {
			http.Error(w, fmt.Sprintf("for=%.40q: a duration above 0 and up to %v is wanted", text, maxDisconnection), http.StatusBadRequest)
			return
		}
		span = d
	}
	ctx, cancel := context.WithTimeout(r.Context(), quotaBoundsTimeout)
	defer cancel()
	s, err := i.core.QuotaBounds(ctx, span)
	writeStatus(w, s, err == nil, "the event loop has no time")
}

// serveRights answers which parts of budgets have moved, for `hitchspring status rights`.
func (i *Instance) serveEscrow(w http.ResponseWriter, _ *http.Request) {
	s, ok := i.core.EscrowStatus()
	writeStatus(w, s, ok, "parts of budgets are even: [rights] is off")
}
