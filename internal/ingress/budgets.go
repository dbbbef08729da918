package ingress

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	budgetsWait = time.Second      // for the event loop
	longestSpan = 10 * time.Minute // that statements are for
)

// serveBudgets answers how quotas stand and how far their use may go, for `hitchspring status budgets`; ?for=DURATION says for how long.
func (g *Instance) serveBudgets(w http.ResponseWriter, r *http.Request) {
	span := time.Duration(0)
	if text := r.URL.Query().Get("for"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 || d > longestSpan {
			http.Error(w, fmt.Sprintf("for=%.40q: a duration above 0 and up to %v is wanted", text, longestSpan), http.StatusBadRequest)
			return
		}
		span = d
	}
	ctx, cancel := context.WithTimeout(r.Context(), budgetsWait)
	defer cancel()
	s, err := g.core.QuotaBounds(ctx, span)
	showJSON(w, s, err == nil, "the event loop has no time")
}

// serveRights answers which parts of budgets have moved, for `hitchspring status rights`.
func (g *Instance) serveRights(w http.ResponseWriter, _ *http.Request) {
	s, ok := g.core.EscrowStatus()
	showJSON(w, s, ok, "parts of budgets are even: [rights] is off")
}
