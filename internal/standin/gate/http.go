package gate

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	clientWait   = 5 * time.Second // of a request over HTTP
	idLength     = 16
	defaultUnits = 1
)

// ServeHTTP takes a request of a client, /CHANNEL/CLASS?plan=...&id=...&key=...&units=..., and answers it with the
// backend's value, 429 or 503.
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
		Wait:    clientWait,
	})
	switch result.Kind {
	case served:
		fmt.Fprintln(w, result.Value)
	case refused:
		w.Header().Set("Retry-After", strconv.Itoa(int(result.After.Seconds())+1))
		http.Error(w, "refused", http.StatusTooManyRequests)
	default:
		http.Error(w, "failed", http.StatusServiceUnavailable)
	}
}
