package gate

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	clientTimeout = 5 * time.Second // time limit of a request over HTTP
	idLength      = 16
	defaultUnits  = 1
)

// ServeHTTP handles a client request of the form /CHANNEL/CLASS?plan=...&id=...&key=...&units=... and responds with the
// backend's value, or with 429 if the request was rejected, or 503 if it failed.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	channelText, class, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	query := r.URL.Query()
	units, err := strconv.ParseFloat(query.Get("units"), 64)
	if err != nil {
		units = defaultUnits
	}
	channel, err := strconv.ParseUint(channelText, 16, 64)
	id := query.Get("id")
	if id == "" {
		id = fmt.Sprintf("%016x", time.Since(g.start).Nanoseconds())
	}
	if err != nil || class == "" || len(id) != idLength {
		http.Error(w, "want /CHANNEL/CLASS?plan=PLAN, the channel in hex, and an id of 16 characters if any",
			http.StatusBadRequest)
		return
	}
	result := g.Do(r.Context(), Request{
		ID:      id,
		Channel: fmt.Sprintf("%016x", channel),
		Class:   class,
		Plan:    query.Get("plan"),
		Key:     query.Get("key"),
		Units:   units,
		Spread:  1,
		Wait:    clientTimeout,
	})
	switch result.Kind {
	case outcomeServed:
		fmt.Fprintln(w, result.Value)
	case outcomeRefused:
		w.Header().Set("Retry-After", strconv.Itoa(int(result.RetryAfter.Seconds())+1))
		http.Error(w, "refused", http.StatusTooManyRequests)
	default:
		http.Error(w, "failed", http.StatusServiceUnavailable)
	}
}
