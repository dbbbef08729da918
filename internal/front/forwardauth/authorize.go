package forwardauth

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"hitchspring/internal/core"
	"hitchspring/internal/socket"
)

// callSink receives the answer to one call. It implements core.ReplySink.
type callSink struct {
	answer chan core.Answer // buffered, so that Deliver never blocks
	ctx    context.Context  // context of the call; it ends when the server notices a disconnect
	conn   net.Conn         // connection of the call; nil if unknown
}

// Deliver implements core.ReplySink.
func (s *callSink) Deliver(a core.Answer) { s.answer <- a }

// Client returns Disconnected if the caller has disconnected, even if the HTTP server
// has not noticed yet. A caller sends nothing behind its call.
func (s *callSink) Client() core.ClientState {
	if s.ctx.Err() != nil || s.conn != nil && socket.HungUp(s.conn) {
		return core.Disconnected
	}
	return core.Connected
}

// connectionKey is the context key of a call's connection.
type connectionKey struct{}

func withConnection(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, nc)
}

// authorize requests a lease for one forwarded request and writes the answer.
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
		f.writeProblem(w, r, http.StatusServiceUnavailable, "too many calls at once", callsRetryAfter)
		return
	}
	call, err := f.parseCall(r, arrivedAt)
	if err != nil {
		f.metrics.calls.WithLabelValues("unreadable").Inc()
		f.writeProblem(w, r, http.StatusBadRequest, err.Error(), 0)
		return
	}
	conn, _ := r.Context().Value(connectionKey{}).(net.Conn)
	sink := &callSink{answer: make(chan core.Answer, 1), ctx: r.Context(), conn: conn}
	f.core.RequestLease(call.request, call.id, call.fingerprint, sink)
	select {
	case answer := <-sink.answer:
		f.metrics.answerSeconds.Observe(time.Since(arrivedAt).Seconds())
		f.writeAnswer(w, r, answer)
	case <-r.Context().Done():
		f.core.CancelWait(call.id, sink)
		f.metrics.calls.WithLabelValues("left").Inc()
	}
}

// writeAnswer writes the core's answer as the HTTP response to a call.
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
		f.writeProblem(w, r, http.StatusTooManyRequests,
			"the channel's quota or the fleet has no room for this now; it was not sent",
			max(answer.RetryAfter, time.Millisecond))
	case core.Concluded:
		f.metrics.calls.WithLabelValues("over").Inc()
		f.writeProblem(w, r, http.StatusConflict, "the request of this id is over: "+answer.State.String(), 0)
	case core.Mismatched:
		f.metrics.calls.WithLabelValues("other").Inc()
		f.writeProblem(w, r, http.StatusConflict, "a request of this id was asked with other particulars", 0)
	default:
		f.metrics.calls.WithLabelValues("failed").Inc()
		f.writeProblem(w, r, http.StatusServiceUnavailable,
			"no node can take this within its time, or an attempt may have run", 0)
	}
}

// setGrantHeaders adds the headers that describe a granted attempt.
func (f *Front) setGrantHeaders(header http.Header, grant core.Grant) {
	millis := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
	header.Set(f.config.Header+"-Node", grant.Addr)
	header.Set(f.config.Header+"-Node-Id", grant.Backend)
	header.Set(f.config.Header+"-Lease", grant.Lease)
	header.Set(f.config.Header+"-Attempt", strconv.Itoa(grant.Attempt))
	header.Set(f.config.Header+"-Start-Within-Ms", millis(grant.StartWithin))
	header.Set(f.config.Header+"-Ends-Within-Ms", millis(grant.EndsWithin))
}
