// Package forwardauth is the front for reverse proxies that forward requests
// themselves. It implements the forward authentication protocols of Traefik, nginx,
// Caddy and Envoy. For each request, the proxy calls this front and is answered with
// a lease on a backend, a rejection with a Retry-After, or a failure. Afterwards the
// proxy reports the outcome of the attempt. Admission and routing are up to the core.
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

// Core is the part of the core that the front uses.
type Core interface {
	// RequestLease requests a lease for an attempt of a request. The answer is
	// delivered to sink. If a request with this id is open already, the call joins
	// it, provided that the fingerprints of their parameters are equal.
	RequestLease(r *core.Request, id string, fingerprint uint64, sink core.ReplySink)
	// CancelWait reports that the caller that waits on sink has disconnected.
	CancelWait(id string, sink core.ReplySink)
	// ReportOutcome reports the outcome of the attempt under the named lease, and
	// calls notify with the result.
	ReportOutcome(name string, out lease.Outcome, notify func(core.ReportResult))
	// Class looks up a request class in the current settings.
	Class(name string) (policy.Class, bool)
	// Plan reports whether the current settings have a plan with this name.
	Plan(name string) bool
	// Instances returns the number of instances of the ingress.
	Instances() int
	// MaxUnits returns the largest cost of one request, in units.
	MaxUnits() float64
	// GiveUpAt returns when the client of a request stops waiting, on the core's
	// clock. The request arrived at the given time and its client waits for d.
	GiveUpAt(c policy.Class, at time.Time, d time.Duration) time.Duration
}

// Config holds the front's settings, which the caller has validated.
type Config struct {
	Prefix         string         // path prefix that is removed to get the original path; matches Envoy's path_prefix
	Trusted        []netip.Prefix // addresses of trusted callers; others are answered 401
	Header         string         // prefix of the names of the front's own headers, for example X-Hitch
	MaxCalls       int            // concurrent calls; more are answered 503
	MaxConnections int            // open connections; more are closed at once
	MaxHeaderBytes int            // size of a call's headers
	MaxBodyBytes   int64          // size of a call's body
	HeaderTimeout  time.Duration  // time limit to read a call's headers
	IdleTimeout    time.Duration  // time limit of an idle connection between calls
	MaxReports     int            // reports in one call
}

const (
	bodyTimeout          = 5 * time.Second        // to read a call's body after its headers
	maxConcurrentStreams = 256                    // concurrent calls on one HTTP/2 connection
	callsRetryAfter      = 250 * time.Millisecond // Retry-After of a call beyond MaxCalls
	firstRequestID       = 1 << 63                // keeps the ids apart from those of clients of other fronts
)

// Front is an HTTP server that answers the calls of reverse proxies. Its methods may
// be called from any goroutine. Start starts the server's goroutine; Drain ends it.
type Front struct {
	config          Config
	core            Core
	log             *slog.Logger
	table           atomic.Pointer[Table] // current rules
	callSlots       chan struct{}         // semaphore: one element per call being answered
	openConnections atomic.Int64
	draining        atomic.Bool
	lastRequestID   atomic.Uint64
	server          *http.Server
	ended           chan struct{} // closed when the server has ended
	metrics         *metrics
}

// New returns a front and registers its metrics with reg. Start makes it serve.
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

// SetTable replaces the rules for all calls from now on.
func (f *Front) SetTable(t *Table) { f.table.Store(t) }

// Start serves calls on ln and takes ownership of it.
func (f *Front) Start(ln net.Listener) {
	go func() {
		defer close(f.ended)
		if err := f.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			f.log.Error("forward authentication has ended", "err", err)
		}
	}()
}

// SetNotReady makes /readyz answer 503, so that proxies stop sending calls to this
// instance. Calls that arrive nevertheless are answered.
func (f *Front) SetNotReady() { f.draining.Store(true) }

// Drain stops accepting connections, waits until every call is answered, and stops
// the server. When ctx ends, it closes the remaining connections.
func (f *Front) Drain(ctx context.Context) {
	f.SetNotReady()
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
		// A ServeMux would clean and redirect the forwarded paths, which must stay unchanged.
		switch p := r.URL.Path; {
		case p == "/healthz" || p == "/readyz" || strings.HasPrefix(p, "/v1/attempts"):
			mux.ServeHTTP(w, r)
		default:
			f.authorize(w, r)
		}
	})
}

// isTrusted reports whether a remote address is that of a trusted caller.
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
