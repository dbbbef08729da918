// Package admin is the operators' admin server: HTTP/1.1 on its own address, one
// call to a connection. Each call is answered at once, whatever the ingress is busy
// with and however many callers never finish a call, by a success (2xx) or an error
// (4xx, 5xx). The package makes no decisions about requests; what it calls must
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
	callTimeout     = 900 * time.Millisecond // a caller waits one second
	shutdownTimeout = 50 * time.Millisecond  // for open calls, on Close
	maxHeaderBytes  = 2 << 10
)

// Service is what the admin server controls. Its methods may be called from any
// goroutine, and none may wait for the event loop.
type Service interface {
	// Ready reports whether this process is ready to serve.
	Ready() bool
	// Metrics returns lines NAME=NUMBER.
	Metrics() []byte
	// Suspend takes a backend out, and is in force when it returns. It returns
	// override.ErrUnknown if the backend was never listed.
	Suspend(id string) error
	// Resume puts a backend back.
	Resume(id string) error
	// Drain drains the ingress. It is an error while there is nothing to drain:
	// before the first client and during a shutdown.
	Drain() error
	// Activate ends the drain.
	Activate() error
}

// Server is an admin server that is running. Serve starts its goroutine, which
// Close ends.
type Server struct {
	server *http.Server
	done   chan struct{} // closed when the goroutine has ended
}

// Serve answers calls on listener until Close.
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

// Close ends the server, and open calls after shutdownTimeout.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.server.Shutdown(ctx) != nil {
		s.server.Close()
	}
	<-s.done
}
