package forwardauth

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"hitchspring/internal/core"
	"hitchspring/internal/lease"
)

// reportBody is one report in the body of a call: the outcome of an attempt.
type reportBody struct {
	Lease   string  `json:"lease,omitempty"`
	Outcome string  `json:"outcome"`
	TookMS  float64 `json:"took_ms,omitempty"`
}

// reportAnswer is the answer to one report.
type reportAnswer struct {
	Lease        string            `json:"lease"`
	Status       int               `json:"status"`
	State        string            `json:"state,omitempty"`
	Error        string            `json:"error,omitempty"`
	Next         map[string]string `json:"next,omitempty"` // headers of the grant for a further attempt
	RetryAfterMS int64             `json:"retry_after_ms,omitempty"`
}

// handleReport handles a call that reports the outcome of one lease.
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

// handleReports handles a call that reports the outcomes of several leases.
func (f *Front) handleReports(w http.ResponseWriter, r *http.Request) {
	var bodies []reportBody
	if !f.decodeBody(w, r, &bodies) {
		return
	}
	if len(bodies) > f.config.MaxReports {
		f.writeProblem(w, r, http.StatusRequestEntityTooLarge,
			fmt.Sprintf("%d reports in one call, %d at most", len(bodies), f.config.MaxReports), 0)
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

// decodeBody decodes a call's JSON body into value. If the body is invalid, it writes
// an error response and returns false.
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

// reportOutcome passes one report to the core, waits for the result and returns the
// answer. It returns false if the caller disconnects first.
func (f *Front) reportOutcome(ctx context.Context, body reportBody) (reportAnswer, bool) {
	outcome, known := lease.ParseOutcome(body.Outcome)
	if !known {
		f.metrics.reports.WithLabelValues("unreadable").Inc()
		return reportAnswer{
			Lease:  body.Lease,
			Status: http.StatusBadRequest,
			Error:  fmt.Sprintf("outcome %q is none of served, refused, failed, unsent", body.Outcome),
		}, true
	}
	results := make(chan core.ReportResult, 1)
	f.core.ReportOutcome(body.Lease, outcome, func(result core.ReportResult) { results <- result })
	select {
	case result := <-results:
		return f.answerReport(body, result), true
	case <-ctx.Done():
		return reportAnswer{}, false
	}
}

// answerReport converts the core's result of a report to its answer.
func (f *Front) answerReport(body reportBody, result core.ReportResult) reportAnswer {
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
	case core.Failed, core.Served, core.Duplicate, core.Concluded, core.Mismatched:
	}
	return answer
}
