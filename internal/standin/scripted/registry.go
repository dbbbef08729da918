package scripted

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Registry starts a discovery agent and returns its host and port. It answers each poll with list, and sends to watches
// the lists that it receives from changes.
func Registry[T any](t testing.TB, list T, changes <-chan T) (addr string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("follow") == "" {
			_ = json.NewEncoder(w).Encode(list) // fails only if the client has disconnected
			return
		}
		for {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case change := <-changes:
				_ = json.NewEncoder(w).Encode(change) // fails only if the client has disconnected
			}
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}
