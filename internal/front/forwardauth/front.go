// Package forwardauth is the front for reverse proxies that forward requests
// themselves. For each request a proxy calls to learn whether it may go and to which
// backend, by the conventions of Traefik, nginx, Caddy or Envoy, and reports how
// it ended. The answer is a backend under a lease, a rejection with a time after
// which to retry, or a failure. The package makes no decisions and doesn't know
// the policy engine or a store.
package forwardauth

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"hitchspring/internal/core"
	"hitchspring/internal/lease"
	"hitchspring/policy"
)

// Core is what the front needs of the core.
type Core interface {
	// RequestLease requests an attempt of a request; the answer goes to sink.
	// A call with an id that is open already joins it, if the fingerprint of its
	// particulars is the same.
	RequestLease(r *core.Request, id string, fingerprint uint64, sink core.ReplySink)
	// CancelWait says that the caller behind sink has disconnected.
	CancelWait(id string, sink core.ReplySink)
	// ReportOutcome passes on how an attempt ended, and calls notify with the
	// result.
	ReportOutcome(name string, out lease.Outcome, notify func(core.ReportResult))
	// Class finds a request class of the settings in force.
	Class(name string) (policy.Class, bool)
	// Plan reports whether the settings in force have a plan of this name.
	Plan(name string) bool
	// Instances is the number of instances of the ingress.
	Instances() int
	// MaxUnits is the most units that one request may cost.
	MaxUnits() float64
	// GiveUpAt is when a client gives up that sent a request at a time and
	// waits for d, on the core's clock.
	GiveUpAt(c policy.Class, at time.Time, d time.Duration) time.Duration
}

// Config is the front's settings, checked.
type Config struct {
	Prefix         string         // of the paths of calls, removed to get the original's: Envoy's path_prefix
	Trusted        []netip.Prefix // addresses that may call; others are answered 401
	Header         string         // beginning of the names of its own headers: X-Hitch
	MaxCalls       int            // at once; further ones are answered 503
	MaxConnections int            // at once; further ones are closed
	MaxHeaderBytes int            // of a call
	MaxBodyBytes   int64          // of a report
	HeaderTimeout  time.Duration  // for a call's headers
	IdleTimeout    time.Duration  // of a connection between calls
	MaxReports     int            // in one call
}

const (
	bodyTimeout          = 5 * time.Second        // for a call's body, after its headers
	maxConcurrentStreams = 256                    // calls at once on a connection of HTTP/2
	callsRetryAfter      = 250 * time.Millisecond // for a caller beyond MaxCalls
	firstRequestID       = 1 << 63                // apart from the ids of clients of other fronts
)

// Front answers calls. Its methods may be called from any goroutine. Start begins
// the goroutine of the HTTP server, which Drain ends.
type Front struct {
	config          Config
	core            Core
	log             *slog.Logger
	table           atomic.Pointer[Table] // rules in force
	callSlots       chan struct{}         // holds one element for each call being answered
	openConnections atomic.Int64
	draining        atomic.Bool
	lastRequestID   atomic.Uint64
	server          *http.Server
	ended           chan struct{} // closed when the server has ended
	metrics         *metrics
}

// New returns a front that does not serve yet. Its metrics are registered with
// reg.
func New(cfg Config, table *Table, c Core, log *slog.Logger, reg prometheus.Registerer) *Front {
	f := &Front{
		config:    cfg,
		core:      c,
		log:       log,
		callSlots: make(chan struct{}, cfg.MaxCalls),
		ended:     make(chan struct{}),
		metrics:   newMetrics(reg),
	}
	f.lastRequestID.Store(firstRequestID)
	f.table.Store(table)
	f.server = &http.Server{
		Handler:           f.handler(),
		ReadHeaderTimeout: cfg.HeaderTimeout,
		ReadTimeout:       cfg.HeaderTimeout + bodyTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
		ConnState:         f.connState,
		ConnContext:       withConnection,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		Protocols:         new(http.Protocols),
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams},
	}
	f.server.Protocols.SetHTTP1(true)
	f.server.Protocols.SetUnencryptedHTTP2(true)
	return f
}

// SetTable puts other rules in force for the calls that come from now on.
func (f *Front) SetTable(t *Table) { f.table.Store(t) }

// Start serves on a listener, which the front owns from then on.
func (f *Front) Start(ln net.Listener) {
	go func() {
		defer close(f.ended)
		if err := f.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			f.log.Error("forward authentication has ended", "err", err)
		}
	}()
}

// Unready has /readyz answer 503, so that no more calls are routed here.
func (f *Front) Unready() { f.draining.Store(true) }

// Drain takes no more connections, waits until every call is answered, and ends
// the server. When ctx ends, the remaining connections are closed.
func (f *Front) Drain(ctx context.Context) {
	f.Unready()
	if f.server.Shutdown(ctx) != nil {
		f.server.Close()
	}
	<-f.ended
}

// connState counts connections and closes those beyond MaxConnections.
func (f *Front) connState(nc net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		if f.openConnections.Add(1) > int64(f.config.MaxConnections) {
			f.metrics.shed.WithLabelValues("connections").Inc()
			nc.Close()
		}
	case http.StateClosed, http.StateHijacked:
		f.openConnections.Add(-1)
	case http.StateActive, http.StateIdle:
	}
	f.metrics.openConnections.Set(float64(f.openConnections.Load()))
}

func (f *Front) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if f.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("POST /v1/attempts/{lease}", f.handleReport)
	mux.HandleFunc("POST /v1/attempts", f.handleReports)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.isTrusted(r.RemoteAddr) {
			f.metrics.calls.WithLabelValues("untrusted").Inc()
			f.writeProblem(w, r, http.StatusUnauthorized, "this caller is not trusted", 0)
			return
		}
		// A mux would clean and redirect the proxies' own paths, which must stay as they are.
		switch p := r.URL.Path; {
		case p == "/healthz" || p == "/readyz" || strings.HasPrefix(p, "/v1/attempts"):
			mux.ServeHTTP(w, r)
		default:
			f.authorize(w, r)
		}
	})
}

// isTrusted reports whether calls may come from a remote address.
func (f *Front) isTrusted(remote string) bool {
	addrPort, err := netip.ParseAddrPort(remote)
	if err != nil {
		return false
	}
	addr := addrPort.Addr().Unmap()
	for _, prefix := range f.config.Trusted {
		if prefix.Contains(addr) {
			return true
		}
	}
	return false
}
