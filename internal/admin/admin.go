// Package admin is the operators' door: HTTP/1.1 on an address of its own, one call to a connection. In: calls. Out: a yes (2xx) or
// a no (4xx, 5xx) at once, whatever the ingress is busy with, and however many callers never finish a call. It decides nothing about
// requests, and its service must never wait for the event loop.
package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hitchspring/internal/override"
)

const (
	// MostConns is how many descriptors the door may hold, the listener among them.
	MaxConnections = 14
	mostOpen       = MaxConnections - 2     // one more for a moment, when a newcomer takes another's place
	leastStay      = 50 * time.Millisecond  // a connection may stay so long before a newcomer takes its place
	mostUnread     = 500 * time.Millisecond // the same of one that waits for this process
	callTime       = 900 * time.Millisecond // a caller waits one second
	mostHeader     = 2 << 10
	mostID         = 128
)

// Service is what the door opens on. None of its methods may wait for the event loop; each is called by many goroutines.
type Service interface {
	// Serving says whether this process is ready to serve.
	Ready() bool
	// Figures are lines NAME=NUMBER.
	Metrics() []byte
	// Suspend takes a node out, and is in force when it returns; suspend.ErrUnknown where it was never listed.
	Suspend(id string) error
	// Resume puts a node back.
	Resume(id string) error
	// Leave drains the ingress; an error where there is nothing to drain yet, or any more.
	Drain() error
	// Return ends the drain.
	Activate() error
}

// Server is a door that is open.
type Server struct {
	srv  *http.Server
	done chan struct{}
}

// Open serves calls on ln until Close.
func Open(ln net.Listener, s Service, log *slog.Logger) *Server {
	d := &Server{done: make(chan struct{}), srv: &http.Server{
		Handler: called(Handler(s, log)), ConnContext: of, ReadTimeout: callTime, ReadHeaderTimeout: callTime,
		WriteTimeout: callTime, MaxHeaderBytes: mostHeader, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelInfo),
	}}
	d.srv.SetKeepAlivesEnabled(false)
	go func() {
		defer close(d.done)
		d.srv.Serve(&bounded{Listener: ln, open: map[*caller]time.Time{}})
	}()
	return d
}

type callerKey struct{}

// of keeps the connection with the calls that come on it.
func of(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, nc)
}

// called notes that a connection has brought a whole call.
func called(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(callerKey{}).(*caller); ok {
			c.call.Store(true)
		}
		next.ServeHTTP(w, r)
	})
}

// Close ends the door, and the calls on it after a moment.
func (d *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), leastStay)
	defer cancel()
	if d.srv.Shutdown(ctx) != nil {
		d.srv.Close()
	}
	<-d.done
}

// Handler is the calls.
func Handler(s Service, log *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !s.Ready() {
			http.Error(w, "not serving", http.StatusServiceUnavailable)
			return
		}
		yes(w)
	})
	mux.HandleFunc("GET /v1/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Write(s.Metrics())
	})
	onNode := func(verb string, do func(id string) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			id := r.PathValue("id")
			if !usable(id) {
				http.Error(w, fmt.Sprintf("backend id: 1 to %d letters, digits and .-_: are wanted", mostID), http.StatusBadRequest)
				return
			}
			switch err := do(id); {
			case errors.Is(err, override.ErrUnknown):
				http.Error(w, fmt.Sprintf("backend %s: %v", id, err), http.StatusNotFound)
			case err != nil:
				log.Error("an operator's call failed", "call", verb, "node", id, "err", err)
				http.Error(w, fmt.Sprintf("backend %s: %v", id, err), http.StatusServiceUnavailable)
			default:
				log.Info("an operator's call", "call", verb, "node", id)
				yes(w)
			}
		}
	}
	onAll := func(verb string, do func() error) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if err := do(); err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
			log.Info("an operator's call", "call", verb)
			yes(w)
		}
	}
	mux.HandleFunc("PUT /v1/backends/{id}/suspend", onNode("suspend", s.Suspend))
	mux.HandleFunc("PUT /v1/backends/{id}/resume", onNode("resume", s.Resume))
	mux.HandleFunc("PUT /v1/ingress/drain", onAll("drain", s.Drain))
	mux.HandleFunc("PUT /v1/ingress/activate", onAll("activate", s.Activate))
	return mux
}

func yes(w http.ResponseWriter) { io.WriteString(w, "ok\n") }

// usable says whether an id can be one of discovery's.
func usable(id string) bool {
	if id == "" || len(id) > mostID {
		return false
	}
	for _, c := range []byte(id) {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', c == '.', c == '-', c == '_', c == ':':
		default:
			return false
		}
	}
	return true
}

// bounded is a listener that holds few connections. Where all places are taken, a newcomer has that of the one who has been
// there longest, as soon as that has had the time that a call needs. Whoever has said something that nobody has read yet has not
// had it: on a busy machine this process is the one that is late. Neither has whoever made a whole call, which is answered at once.
type bounded struct {
	net.Listener
	mu   sync.Mutex
	open map[*caller]time.Time // since when
}

// caller is a connection of a bounded listener.
type caller struct {
	net.Conn
	from *bounded
	once sync.Once
	read atomic.Bool // some of what it has said was read
	call atomic.Bool // a whole call was
}

// Accept is net.Listener's.
func (b *bounded) Accept() (net.Conn, error) {
	nc, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for {
		oldest, stayed, free := b.longest(time.Now())
		switch {
		case free:
			c := &caller{Conn: nc, from: b}
			b.mu.Lock()
			b.open[c] = time.Now()
			b.mu.Unlock()
			return c, nil
		case stayed >= leastStay:
			oldest.Close()
		default:
			time.Sleep(min(leastStay-stayed, 5*time.Millisecond)) // a place may come free before
		}
	}
}

// longest is who has been there longest, but for those who wait for this process, up to mostUnread; and whether there is a place anyway.
func (b *bounded) longest(now time.Time) (oldest *caller, stayed time.Duration, free bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c, since := range b.open {
		been := now.Sub(since)
		if oldest != nil && been <= stayed || been >= leastStay && been < mostUnread && (c.call.Load() || c.unread()) {
			continue
		}
		oldest, stayed = c, been
	}
	return oldest, stayed, len(b.open) < mostOpen
}

// unread says whether something has come and nothing of it was read.
func (c *caller) unread() bool {
	if c.read.Load() {
		return false
	}
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// Read is net.Conn's.
func (c *caller) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.read.Store(true)
	}
	return n, err
}

// Close is net.Conn's.
func (c *caller) Close() error {
	c.once.Do(func() {
		c.from.mu.Lock()
		delete(c.from.open, c)
		c.from.mu.Unlock()
	})
	return c.Conn.Close()
}
