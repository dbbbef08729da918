package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"

	"hitchspring/internal/override"
)

const maxBackendIDBytes = 128

// connectionKey is the context key of a call's connection.
type connectionKey struct{}

func withConnection(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, nc)
}

// markCalled sets hasCalled on the connection of each call and passes the call on to
// next.
func markCalled(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connectionKey{}).(*boundedConn); ok {
			c.hasCalled.Store(true)
		}
		next.ServeHTTP(w, r)
	})
}

// newHandler returns the HTTP handler of the admin server.
func newHandler(s Service, log *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !s.Ready() {
			http.Error(w, "not serving", http.StatusServiceUnavailable)
			return
		}
		writeOK(w)
	})
	mux.HandleFunc("GET /v1/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write(s.Metrics()) // fails only if the caller has disconnected
	})
	mux.HandleFunc("PUT /v1/backends/{id}/suspend", handleBackend("suspend", s.Suspend, log))
	mux.HandleFunc("PUT /v1/backends/{id}/resume", handleBackend("resume", s.Resume, log))
	mux.HandleFunc("PUT /v1/ingress/drain", handleIngress("drain", s.Drain, log))
	mux.HandleFunc("PUT /v1/ingress/activate", handleIngress("activate", s.Activate, log))
	return mux
}

// handleBackend returns the handler of the named call, which acts on one backend.
func handleBackend(name string, call func(id string) error, log *slog.Logger) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		if !isBackendID(id) {
			http.Error(w, fmt.Sprintf("backend id: 1 to %d letters, digits and .-_: are wanted", maxBackendIDBytes),
				http.StatusBadRequest)
			return
		}
		switch err := call(id); {
		case errors.Is(err, override.ErrUnknown):
			http.Error(w, fmt.Sprintf("backend %s: %v", id, err), http.StatusNotFound)
		case err != nil:
			log.Error("admin call failed", "call", name, "backend", id, "err", err)
			http.Error(w, fmt.Sprintf("backend %s: %v", id, err), http.StatusServiceUnavailable)
		default:
			log.Info("admin call", "call", name, "backend", id)
			writeOK(w)
		}
	}
}

// handleIngress returns the handler of the named call, which acts on the ingress.
func handleIngress(name string, call func() error, log *slog.Logger) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := call(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		log.Info("admin call", "call", name)
		writeOK(w)
	}
}

// writeOK writes the answer to a successful call. It ignores errors: they occur only
// if the caller has disconnected.
func writeOK(w http.ResponseWriter) { _, _ = io.WriteString(w, "ok\n") }

// isBackendID reports whether id is valid for a backend in the endpoint list.
func isBackendID(id string) bool {
	if id == "" || len(id) > maxBackendIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		case c == '.', c == '-', c == '_', c == ':':
		default:
			return false
		}
	}
	return true
}
