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
	config          Config
	core            Core
	log             *slog.Logger
	table           atomic.Pointer[Table]
	callSlots       chan struct{}
	openConnections atomic.Int64
	draining        atomic.Bool
	lastRequestID   atomic.Uint64
	server          *http.Server
	ended           chan struct{}
	metrics         *metrics
}

// New returns a front that does not serve yet. Its metrics are registered with reg.
func New(cfg Config, table *Table, c Core, log *slog.Logger, reg prometheus.Registerer) *Front {
	f := &Front{config: cfg, core: c, log: log, callSlots: make(chan struct{}, cfg.MaxCalls), ended: make(chan struct{}), metrics: newMetrics(reg)}
	f.lastRequestID.Store(1 << 63) // apart from the ids of other fronts
	f.table.Store(table)
	f.server = &http.Server{
		Handler: f.handler(), ReadHeaderTimeout: cfg.HeaderTimeout, ReadTimeout: cfg.HeaderTimeout + 5*time.Second, IdleTimeout: cfg.IdleTimeout,
		MaxHeaderBytes: cfg.MaxHeaderBytes, ConnState: f.connState,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, nc)
		}, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	f.server.Protocols = new(http.Protocols)
	f.server.Protocols.SetHTTP1(true)
	f.server.Protocols.SetUnencryptedHTTP2(true)
	f.server.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: 256}
	return f
}

// SetTable puts other rules in force for the calls that come from now on.
func (f *Front) SetTable(t *Table) { f.table.Store(t) }

// Start serves on a listener, which it owns from then on.
func (f *Front) Start(ln net.Listener) {
	go func() {
		defer close(f.ended)
		if err := f.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
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
	if f.server.Shutdown(ctx) != nil {
		f.server.Close()
	}
	<-f.ended
}

// connState closes connections beyond the most.
func (f *Front) connState(nc net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		if f.openConnections.Add(1) > int64(f.config.MaxConnections) {
			f.metrics.shed.WithLabelValues("connections").Inc()
			nc.Close()
		}
	case http.StateClosed, http.StateHijacked:
		f.openConnections.Add(-1)
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
		// The gates' own paths are never cleaned or redirected: a mux would.
		switch p := r.URL.Path; {
		case p == "/healthz" || p == "/readyz" || strings.HasPrefix(p, "/v1/attempts"):
			mux.ServeHTTP(w, r)
		default:
			f.authorize(w, r)
		}
	})
}

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

// place waits for one answer.
type callSink struct {
	answer chan core.Answer
	ctx    context.Context // of the call; it ends when the server has seen that the caller left
	conn   net.Conn        // that the call came on; nil: not known
}

func (s *callSink) Deliver(a core.Answer) { s.answer <- a } // it has room for the one

// Gone reports whether the caller has hung up, whether or not the server has come to that.
func (s *callSink) Disconnected() bool {
	return s.ctx.Err() != nil || s.conn != nil && socket.HungUp(s.conn)
}

// connKey is under what a call's context has its connection.
type connectionKey struct{}

// ask answers one call.
func (f *Front) authorize(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	if r.ContentLength > f.config.MaxBodyBytes {
		f.writeProblem(w, r, http.StatusRequestEntityTooLarge, "a call has no use for a body of this size", 0)
		return
	}
	select {
	case f.callSlots <- struct{}{}:
		defer func() { <-f.callSlots }()
	default:
		f.metrics.shed.WithLabelValues("calls").Inc()
		f.writeProblem(w, r, http.StatusServiceUnavailable, "too many calls at once", 250*time.Millisecond)
		return
	}
	request, id, print, err := f.parseCall(r, arrivedAt)
	if err != nil {
		f.metrics.calls.WithLabelValues("unreadable").Inc()
		f.writeProblem(w, r, http.StatusBadRequest, err.Error(), 0)
		return
	}
	conn, _ := r.Context().Value(connectionKey{}).(net.Conn)
	sink := &callSink{answer: make(chan core.Answer, 1), ctx: r.Context(), conn: conn}
	f.core.RequestLease(request, id, print, sink)
	select {
	case answer := <-sink.answer:
		f.metrics.answerSeconds.Observe(time.Since(arrivedAt).Seconds())
		f.writeAnswer(w, r, answer)
	case <-r.Context().Done():
		f.core.CancelWait(id, sink)
		f.metrics.calls.WithLabelValues("left").Inc()
	}
}

// answer words the core's answer.
func (f *Front) writeAnswer(w http.ResponseWriter, r *http.Request, answer core.Answer) {
	header := w.Header()
	header.Set("Cache-Control", "no-store")
	switch answer.Kind {
	case core.Granted:
		f.metrics.calls.WithLabelValues("granted").Inc()
		f.setGrantHeaders(header, answer.Grant)
		w.WriteHeader(http.StatusOK)
	case core.Rejected:
		f.metrics.calls.WithLabelValues("refused").Inc()
		f.writeProblem(w, r, http.StatusTooManyRequests, "the channel's quota or the fleet has no room for this now; it was not sent", max(answer.RetryAfter, time.Millisecond))
	case core.Concluded:
		f.metrics.calls.WithLabelValues("over").Inc()
		f.writeProblem(w, r, http.StatusConflict, "the request of this id is over: "+answer.State.String(), 0)
	case core.Mismatched:
		f.metrics.calls.WithLabelValues("other").Inc()
		f.writeProblem(w, r, http.StatusConflict, "a request of this id was asked with other particulars", 0)
	default:
		f.metrics.calls.WithLabelValues("failed").Inc()
		f.writeProblem(w, r, http.StatusServiceUnavailable, "no node can take this within its time, or an attempt may have run", 0)
	}
}

func (f *Front) setGrantHeaders(header http.Header, grant core.Grant) {
	millis := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
	header.Set(f.config.Header+"-Node", grant.Addr)
	header.Set(f.config.Header+"-Node-Id", grant.Backend)
	header.Set(f.config.Header+"-Lease", grant.Lease)
	header.Set(f.config.Header+"-Attempt", strconv.Itoa(grant.Attempt))
	header.Set(f.config.Header+"-Start-Within-Ms", millis(grant.StartWithin))
	header.Set(f.config.Header+"-Ends-Within-Ms", millis(grant.EndsWithin))
}

// problemBody is RFC 9457's, with one member more.
type problemBody struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

func (f *Front) writeProblem(w http.ResponseWriter, r *http.Request, status int, detail string, retryAfter time.Duration) {
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Cache-Control", "no-store")
	body := problemBody{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail}
	if retryAfter > 0 {
		body.RetryAfterMS = retryAfter.Milliseconds()
		header.Set("Retry-After", strconv.FormatInt(int64(math.Ceil(retryAfter.Seconds())), 10))
		header.Set(f.config.Header+"-Retry-After-Ms", strconv.FormatInt(body.RetryAfterMS, 10))
	}
	w.WriteHeader(status)
	if r.Method != http.MethodHead {
		json.NewEncoder(w).Encode(body)
	}
}

const (
	maxIDBytes  = 64
	maxKeyBytes = 64
)

// read makes a request of a call: by its headers, and by the table where these say nothing.
func (f *Front) parseCall(r *http.Request, at time.Time) (req *core.Request, id string, print uint64, err error) {
	get := func(name string) string { return r.Header.Get(f.config.Header + "-" + name) }
	req = &core.Request{}
	method, target := originalRequest(r, f.config.Prefix)
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
		return nil, "", 0, fmt.Errorf("no rule fits %s %s, and %s-Class is missing", method, target, f.config.Header)
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
	if class.Effect == policy.Keyed && (key == "" || len(key) > maxKeyBytes) {
		return nil, "", 0, fmt.Errorf("class %s wants a key of up to %d characters", req.Class, maxKeyBytes)
	}
	req.ClientID = f.lastRequestID.Add(1)
	req.Size = 256
	if id = get("Id"); id == "" {
		id = fmt.Sprintf("\x00%d", req.ClientID) // nobody can ask for it again
	}
	if len(id) > maxIDBytes {
		return nil, "", 0, fmt.Errorf("id %q is longer than %d characters", id[:maxIDBytes], maxIDBytes)
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\x00%s\x00%s\x00%v\x00%d/%d\x00%s", req.Class, req.Plan, req.Tenant, req.Units, req.Spread, req.First, key)
	return req, id, h.Sum64(), nil
}

// report is one in the body of a call.
type reportBody struct {
	Lease   string  `json:"lease,omitempty"`
	Outcome string  `json:"outcome"`
	TookMS  float64 `json:"took_ms,omitempty"`
}

// reported is the answer to one.
type reportAnswer struct {
	Lease        string            `json:"lease"`
	Status       int               `json:"status"`
	State        string            `json:"state,omitempty"`
	Error        string            `json:"error,omitempty"`
	Next         map[string]string `json:"next,omitempty"` // another grant, as the headers of a call's answer have it
	RetryAfterMS int64             `json:"retry_after_ms,omitempty"`
}

func (f *Front) handleReport(w http.ResponseWriter, r *http.Request) {
	var body reportBody
	if !f.decodeBody(w, r, &body) {
		return
	}
	body.Lease = r.PathValue("lease")
	answer, ok := f.reportOutcome(r.Context(), body)
	if !ok {
		return
	}
	f.writeJSON(w, answer.Status, answer)
}

func (f *Front) handleReports(w http.ResponseWriter, r *http.Request) {
	var bodies []reportBody
	if !f.decodeBody(w, r, &bodies) {
		return
	}
	if len(bodies) > f.config.MaxReports {
		f.writeProblem(w, r, http.StatusRequestEntityTooLarge, fmt.Sprintf("%d reports in one call, %d at most", len(bodies), f.config.MaxReports), 0)
		return
	}
	answers := make([]reportAnswer, 0, len(bodies))
	for _, body := range bodies {
		answer, ok := f.reportOutcome(r.Context(), body)
		if !ok {
			return
		}
		answers = append(answers, answer)
	}
	f.writeJSON(w, http.StatusOK, answers)
}

func (f *Front) decodeBody(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, f.config.MaxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		status := http.StatusBadRequest
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		f.writeProblem(w, r, status, "the report cannot be read: "+err.Error(), 0)
		return false
	}
	return true
}

func (f *Front) writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}

// report passes one on; false where the caller has left meanwhile.
func (f *Front) reportOutcome(ctx context.Context, body reportBody) (reportAnswer, bool) {
	outcome, known := lease.ParseOutcome(body.Outcome)
	if !known {
		f.metrics.reports.WithLabelValues("unreadable").Inc()
		return reportAnswer{Lease: body.Lease, Status: http.StatusBadRequest, Error: fmt.Sprintf("outcome %q is none of served, refused, failed, unsent", body.Outcome)}, true
	}
	results := make(chan core.ReportResult, 1)
	f.core.ReportOutcome(body.Lease, outcome, func(result core.ReportResult) { results <- result })
	var result core.ReportResult
	select {
	case result = <-results:
	case <-ctx.Done():
		return reportAnswer{}, false
	}
	answer := reportAnswer{Lease: body.Lease, Status: http.StatusOK, State: result.State.String()}
	label := body.Outcome
	switch {
	case errors.Is(result.Err, lease.ErrUnknown):
		answer.Status, answer.State, label = http.StatusNotFound, "", "unknown"
	case errors.Is(result.Err, lease.ErrLate):
		answer.Status, label = http.StatusGone, "late"
	case result.Err != nil:
		answer.Status, label = http.StatusConflict, "conflict"
	case !result.First:
		label = "again"
	}
	f.metrics.reports.WithLabelValues(label).Inc()
	if result.Err != nil {
		answer.Error = result.Err.Error()
	}
	switch result.Next.Kind {
	case core.Granted:
		header := http.Header{}
		f.setGrantHeaders(header, result.Next.Grant)
		answer.Next = map[string]string{}
		for name := range header {
			answer.Next[name] = header.Get(name)
		}
	case core.Rejected:
		answer.RetryAfterMS = max(1, result.Next.RetryAfter.Milliseconds())
	}
	return answer, true
}
