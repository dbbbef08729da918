// Package forwardauth is the front for HTTP gates that send requests on by themselves: for each it answers whether the
// request may go, and to which node. In: the gates' calls, by the conventions of Traefik, nginx, Caddy and Envoy, and their
// reports. Out: a node under a lease, a refusal with when to come back, or a failure. It decides nothing, and must never
// know the module or a store.
package forwardauth

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"hitchspring/internal/core"
	"hitchspring/internal/lease"
	"hitchspring/internal/socket"
	"hitchspring/policy"
)

// Core is what the front wants of the core.
type Core interface {
	RequestLease(r *core.Request, id string, print uint64, place core.ReplySink)
	CancelWait(id string, place core.ReplySink)
	ReportOutcome(name string, out lease.Outcome, tell func(core.ReportResult))
	Class(name string) (policy.Class, bool)
	Plan(name string) bool
	Instances() int
	MaxUnits() float64
	GiveUpAt(c policy.Class, at time.Time, d time.Duration) time.Duration
}

// Config is the front's settings, checked.
type Config struct {
	Prefix         string         // of the paths of calls, left out of the original's: Envoy's path_prefix
	Trusted        []netip.Prefix // who may call; others are answered 401
	Header         string         // beginning of the names of its own headers: X-Hitch
	MaxCalls       int            // at once; further ones are answered 503
	MaxConnections int            // at once; further ones are closed
	MaxHeaderBytes int            // bytes
	MaxBodyBytes   int64          // bytes of a report
	HeaderTimeout  time.Duration  // for a call's headers
	IdleTimeout    time.Duration  // of a connection between calls
	MaxReports     int            // in one call
}

// Front answers calls. It is safe for many goroutines.
type Front struct {
	cfg      Config
	core     Core
	log      *slog.Logger
	table    atomic.Pointer[Table]
	calls    chan struct{}
	conns    atomic.Int64
	draining atomic.Bool
	key      atomic.Uint64
	srv      *http.Server
	ended    chan struct{}
	met      *metrics
}

// New returns a front that does not serve yet. Its metrics are registered with reg.
func New(cfg Config, table *Table, c Core, log *slog.Logger, reg prometheus.Registerer) *Front {
	f := &Front{cfg: cfg, core: c, log: log, calls: make(chan struct{}, cfg.MaxCalls), ended: make(chan struct{}), met: newMetrics(reg)}
	f.key.Store(1 << 63) // apart from the ids of other fronts
	f.table.Store(table)
	f.srv = &http.Server{
		Handler: f.handler(), ReadHeaderTimeout: cfg.HeaderTimeout, ReadTimeout: cfg.HeaderTimeout + 5*time.Second, IdleTimeout: cfg.IdleTimeout,
		MaxHeaderBytes: cfg.MaxHeaderBytes, ConnState: f.connState,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, connKey{}, nc) }, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	f.srv.Protocols = new(http.Protocols)
	f.srv.Protocols.SetHTTP1(true)
	f.srv.Protocols.SetUnencryptedHTTP2(true)
	f.srv.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: 256}
	return f
}

// SetTable puts other rules in force for the calls that come from now on.
func (f *Front) SetTable(t *Table) { f.table.Store(t) }

// Start serves on a listener, which it owns from then on.
func (f *Front) Start(ln net.Listener) {
	go func() {
		defer close(f.ended)
		if err := f.srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			f.log.Error("forward authentication has ended", "err", err)
		}
	}()
}

// Unready makes /readyz say so, for whoever deals out calls.
func (f *Front) Unready() { f.draining.Store(true) }

// Drain takes no more connections, waits until every call taken has its answer, and ends; after the context's end what is
// left is closed.
func (f *Front) Drain(ctx context.Context) {
	f.Unready()
	if f.srv.Shutdown(ctx) != nil {
		f.srv.Close()
	}
	<-f.ended
}

// connState closes connections beyond the most.
func (f *Front) connState(nc net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		if f.conns.Add(1) > int64(f.cfg.MaxConnections) {
			f.met.shed.WithLabelValues("connections").Inc()
			nc.Close()
		}
	case http.StateClosed, http.StateHijacked:
		f.conns.Add(-1)
	}
	f.met.conns.Set(float64(f.conns.Load()))
}

func (f *Front) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if f.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("POST /v1/attempts/{lease}", f.reportOne)
	mux.HandleFunc("POST /v1/attempts", f.reportMany)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.trusts(r.RemoteAddr) {
			f.met.asks.WithLabelValues("untrusted").Inc()
			f.problem(w, r, http.StatusUnauthorized, "this caller is not trusted", 0)
			return
		}
		// The gates' own paths are never cleaned or redirected: a mux would.
		switch p := r.URL.Path; {
		case p == "/healthz" || p == "/readyz" || strings.HasPrefix(p, "/v1/attempts"):
			mux.ServeHTTP(w, r)
		default:
			f.ask(w, r)
		}
	})
}

func (f *Front) trusts(remote string) bool {
	ap, err := netip.ParseAddrPort(remote)
	if err != nil {
		return false
	}
	a := ap.Addr().Unmap()
	for _, p := range f.cfg.Trusted {
		if p.Contains(a) {
			return true
		}
	}
	return false
}

// place waits for one answer.
type place struct {
	got    chan core.Answer
	caller context.Context // of the call; it ends when the server has seen that the caller left
	conn   net.Conn        // that the call came on; nil: not known
}

func (p *place) Deliver(a core.Answer) { p.got <- a } // it has room for the one

// Gone reports whether the caller has hung up, whether or not the server has come to that.
func (p *place) Disconnected() bool {
	return p.caller.Err() != nil || p.conn != nil && socket.HungUp(p.conn)
}

// connKey is under what a call's context has its connection.
type connKey struct{}

// ask answers one call.
func (f *Front) ask(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	if r.ContentLength > f.cfg.MaxBodyBytes {
		f.problem(w, r, http.StatusRequestEntityTooLarge, "a call has no use for a body of this size", 0)
		return
	}
	select {
	case f.calls <- struct{}{}:
		defer func() { <-f.calls }()
	default:
		f.met.shed.WithLabelValues("calls").Inc()
		f.problem(w, r, http.StatusServiceUnavailable, "too many calls at once", 250*time.Millisecond)
		return
	}
	req, id, print, err := f.read(r, began)
	if err != nil {
		f.met.asks.WithLabelValues("unreadable").Inc()
		f.problem(w, r, http.StatusBadRequest, err.Error(), 0)
		return
	}
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	p := &place{got: make(chan core.Answer, 1), caller: r.Context(), conn: conn}
	f.core.RequestLease(req, id, print, p)
	select {
	case a := <-p.got:
		f.met.took.Observe(time.Since(began).Seconds())
		f.answer(w, r, a)
	case <-r.Context().Done():
		f.core.CancelWait(id, p)
		f.met.asks.WithLabelValues("left").Inc()
	}
}

// answer words the core's answer.
func (f *Front) answer(w http.ResponseWriter, r *http.Request, a core.Answer) {
	h := w.Header()
	h.Set("Cache-Control", "no-store")
	switch a.Kind {
	case core.Granted:
		f.met.asks.WithLabelValues("granted").Inc()
		f.grant(h, a.Grant)
		w.WriteHeader(http.StatusOK)
	case core.Rejected:
		f.met.asks.WithLabelValues("refused").Inc()
		f.problem(w, r, http.StatusTooManyRequests, "the channel's quota or the fleet has no room for this now; it was not sent", max(a.RetryAfter, time.Millisecond))
	case core.Concluded:
		f.met.asks.WithLabelValues("over").Inc()
		f.problem(w, r, http.StatusConflict, "the request of this id is over: "+a.State.String(), 0)
	case core.Mismatched:
		f.met.asks.WithLabelValues("other").Inc()
		f.problem(w, r, http.StatusConflict, "a request of this id was asked with other particulars", 0)
	default:
		f.met.asks.WithLabelValues("failed").Inc()
		f.problem(w, r, http.StatusServiceUnavailable, "no node can take this within its time, or an attempt may have run", 0)
	}
}

func (f *Front) grant(h http.Header, g core.Grant) {
	ms := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
	h.Set(f.cfg.Header+"-Node", g.Addr)
	h.Set(f.cfg.Header+"-Node-Id", g.Backend)
	h.Set(f.cfg.Header+"-Lease", g.Lease)
	h.Set(f.cfg.Header+"-Attempt", strconv.Itoa(g.Attempt))
	h.Set(f.cfg.Header+"-Start-Within-Ms", ms(g.StartWithin))
	h.Set(f.cfg.Header+"-Ends-Within-Ms", ms(g.EndsWithin))
}

// problemBody is RFC 9457's, with one member more.
type problemBody struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

func (f *Front) problem(w http.ResponseWriter, r *http.Request, status int, detail string, retry time.Duration) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	b := problemBody{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail}
	if retry > 0 {
		b.RetryAfterMS = retry.Milliseconds()
		h.Set("Retry-After", strconv.FormatInt(int64(math.Ceil(retry.Seconds())), 10))
		h.Set(f.cfg.Header+"-Retry-After-Ms", strconv.FormatInt(b.RetryAfterMS, 10))
	}
	w.WriteHeader(status)
	if r.Method != http.MethodHead {
		json.NewEncoder(w).Encode(b)
	}
}

const (
	mostID  = 64
	mostKey = 64
)

// read makes a request of a call: by its headers, and by the table where these say nothing.
func (f *Front) read(r *http.Request, at time.Time) (req *core.Request, id string, print uint64, err error) {
	get := func(name string) string { return r.Header.Get(f.cfg.Header + "-" + name) }
	req = &core.Request{}
	method, target := original(r, f.cfg.Prefix)
	segments, err := Segments(target)
	if err != nil {
		return nil, "", 0, err
	}
	rule, channel, matched := f.table.Load().Match(method, segments)
	req.Class, req.Plan, req.Units = rule.Class, rule.Plan, rule.Units
	if !matched { // the table is the operator's word; headers fill only what it leaves open
		req.Class = get("Class")
	}
	if req.Plan == "" {
		req.Plan = get("Plan")
	}
	if channel == "" {
		channel = get("Channel")
	}
	class, known := f.core.Class(req.Class)
	switch {
	case req.Class == "":
		return nil, "", 0, fmt.Errorf("no rule fits %s %s, and %s-Class is missing", method, target, f.cfg.Header)
	case !known:
		return nil, "", 0, fmt.Errorf("class %q is none of the settings", req.Class)
	case !f.core.Plan(req.Plan):
		return nil, "", 0, fmt.Errorf("plan %q is none of the settings", req.Plan)
	}
	n, err := strconv.ParseUint(channel, 16, 64)
	if err != nil || n >= 1<<33 || len(channel) > 16 {
		return nil, "", 0, fmt.Errorf("channel %q is not up to 16 hex digits below 2^33", channel)
	}
	req.Tenant = fmt.Sprintf("%016x", n) // as on RESP2: one channel, one quota
	if v := get("Units"); v != "" && req.Units == 0 {
		if req.Units, err = strconv.ParseFloat(v, 64); err != nil {
			return nil, "", 0, fmt.Errorf("units %q is no number", v)
		}
	}
	if req.Units == 0 {
		req.Units = 1
	}
	if !(req.Units > 0) || req.Units > f.core.MaxUnits() {
		return nil, "", 0, fmt.Errorf("units %v is out of range, up to %v", req.Units, f.core.MaxUnits())
	}
	req.Spread, req.First = f.core.Instances(), 0
	if v := get("Set"); v != "" {
		if _, err := fmt.Sscanf(v, "%d/%d", &req.Spread, &req.First); err != nil || req.Spread < 1 || req.Spread > f.core.Instances() || req.First < 0 || req.First >= f.core.Instances() {
			return nil, "", 0, fmt.Errorf("set %q is no SPREAD/FIRST within %d instances", v, f.core.Instances())
		}
	}
	wait := class.Deadline
	if v := get("Deadline-Ms"); v != "" {
		ms, err := strconv.ParseInt(v, 10, 32)
		if err != nil || ms <= 0 {
			return nil, "", 0, fmt.Errorf("deadline %q is no number of milliseconds above 0", v)
		}
		wait = time.Duration(ms) * time.Millisecond // the core does not believe one that is far too long
	}
	req.GiveUpAt = f.core.GiveUpAt(class, at, wait)
	key := get("Key")
	if class.Effect == policy.Keyed && (key == "" || len(key) > mostKey) {
		return nil, "", 0, fmt.Errorf("class %s wants a key of up to %d characters", req.Class, mostKey)
	}
	req.ClientID = f.key.Add(1)
	req.Size = 256
	if id = get("Id"); id == "" {
		id = fmt.Sprintf("\x00%d", req.ClientID) // nobody can ask for it again
	}
	if len(id) > mostID {
		return nil, "", 0, fmt.Errorf("id %q is longer than %d characters", id[:mostID], mostID)
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\x00%s\x00%s\x00%v\x00%d/%d\x00%s", req.Class, req.Plan, req.Tenant, req.Units, req.Spread, req.First, key)
	return req, id, h.Sum64(), nil
}

// report is one in the body of a call.
type report struct {
	Lease   string  `json:"lease,omitempty"`
	Outcome string  `json:"outcome"`
	TookMS  float64 `json:"took_ms,omitempty"`
}

// reported is the answer to one.
type reported struct {
	Lease  string            `json:"lease"`
	Status int               `json:"status"`
	State  string            `json:"state,omitempty"`
	Error  string            `json:"error,omitempty"`
	Next   map[string]string `json:"next,omitempty"` // another grant, as the headers of a call's answer have it
	Retry  int64             `json:"retry_after_ms,omitempty"`
}

func (f *Front) reportOne(w http.ResponseWriter, r *http.Request) {
	var in report
	if !f.body(w, r, &in) {
		return
	}
	in.Lease = r.PathValue("lease")
	out, ok := f.report(r.Context(), in)
	if !ok {
		return
	}
	f.json(w, out.Status, out)
}

func (f *Front) reportMany(w http.ResponseWriter, r *http.Request) {
	var in []report
	if !f.body(w, r, &in) {
		return
	}
	if len(in) > f.cfg.MaxReports {
		f.problem(w, r, http.StatusRequestEntityTooLarge, fmt.Sprintf("%d reports in one call, %d at most", len(in), f.cfg.MaxReports), 0)
		return
	}
	out := make([]reported, 0, len(in))
	for _, x := range in {
		one, ok := f.report(r.Context(), x)
		if !ok {
			return
		}
		out = append(out, one)
	}
	f.json(w, http.StatusOK, out)
}

func (f *Front) body(w http.ResponseWriter, r *http.Request, into any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, f.cfg.MaxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		status := http.StatusBadRequest
		var big *http.MaxBytesError
		if errors.As(err, &big) {
			status = http.StatusRequestEntityTooLarge
		}
		f.problem(w, r, status, "the report cannot be read: "+err.Error(), 0)
		return false
	}
	return true
}

func (f *Front) json(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// report passes one on; false where the caller has left meanwhile.
func (f *Front) report(ctx context.Context, in report) (reported, bool) {
	o, known := lease.ParseOutcome(in.Outcome)
	if !known {
		f.met.reports.WithLabelValues("unreadable").Inc()
		return reported{Lease: in.Lease, Status: http.StatusBadRequest, Error: fmt.Sprintf("outcome %q is none of served, refused, failed, unsent", in.Outcome)}, true
	}
	got := make(chan core.ReportResult, 1)
	f.core.ReportOutcome(in.Lease, o, func(a core.ReportResult) { got <- a })
	var a core.ReportResult
	select {
	case a = <-got:
	case <-ctx.Done():
		return reported{}, false
	}
	out := reported{Lease: in.Lease, Status: http.StatusOK, State: a.State.String()}
	word := in.Outcome
	switch {
	case errors.Is(a.Err, lease.ErrUnknown):
		out.Status, out.State, word = http.StatusNotFound, "", "unknown"
	case errors.Is(a.Err, lease.ErrLate):
		out.Status, word = http.StatusGone, "late"
	case a.Err != nil:
		out.Status, word = http.StatusConflict, "conflict"
	case !a.First:
		word = "again"
	}
	f.met.reports.WithLabelValues(word).Inc()
	if a.Err != nil {
		out.Error = a.Err.Error()
	}
	switch a.Next.Kind {
	case core.Granted:
		h := http.Header{}
		f.grant(h, a.Next.Grant)
		out.Next = map[string]string{}
		for k := range h {
			out.Next[k] = h.Get(k)
		}
	case core.Rejected:
		out.Retry = max(1, a.Next.RetryAfter.Milliseconds())
	}
	return out, true
}
