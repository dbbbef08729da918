// Package admin is the admin server for operators. It serves HTTP/1.1 on its own
// address, with one HTTP request, named a call, per connection. Each call is answered
// promptly with a success (2xx) or an error (4xx, 5xx), even if the ingress is
// overloaded or many callers never complete their calls. For this, the Service must
// never wait for the core's event loop.
package admin

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"
)

const (
	callTimeout     = 900 * time.Millisecond // less than the one second that callers wait
	shutdownTimeout = 50 * time.Millisecond  // time that Close leaves to open calls
	maxHeaderBytes  = 2 << 10
)

// Service is the part of the ingress that the admin server reads and controls. Its
// methods may be called from any goroutine, and must not wait for the core's event loop.
type Service interface {
	// Ready reports whether this process is ready to serve.
	Ready() bool
	// Metrics returns the metrics as lines of the form NAME=NUMBER.
	Metrics() []byte
	// Suspend excludes a backend from new attempts. The suspension is in effect when
	// it returns. It returns override.ErrUnknown if the backend was never listed.
	Suspend(id string) error
	// Resume ends the suspension of a backend.
	Resume(id string) error
	// Drain drains the ingress. It returns an error before the ingress accepts clients
	// and during a shutdown.
	Drain() error
	// Activate ends a drain.
	Activate() error
}

// Server is a running admin server. Serve starts its goroutine; Close ends it.
type Server struct {
	server *http.Server
	done   chan struct{} // closed when the goroutine has ended
}

// Serve starts a server that answers calls on listener until Close is called.
func Serve(listener net.Listener, service Service, log *slog.Logger) *Server {
	s := &Server{
		done: make(chan struct{}),
		server: &http.Server{
			Handler:           markCalled(newHandler(service, log)),
			ConnContext:       withConnection,
			ReadTimeout:       callTimeout,
			ReadHeaderTimeout: callTimeout,
			WriteTimeout:      callTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo),
		},
	}
	s.server.SetKeepAlivesEnabled(false)
	bounded := &boundedListener{Listener: listener, openedAt: map[*boundedConn]time.Time{}}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(bounded) // returns when the server or its listener is closed
	}()
	return s
}

// Close stops the server. Calls still open after shutdownTimeout are aborted.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.server.Shutdown(ctx) != nil {
		s.server.Close()
	}
	<-s.done
}
