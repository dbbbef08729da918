package forwardauth

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// problemBody is a problem details object (RFC 9457) with the extension member
// retry_after_ms.
type problemBody struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// writeProblem writes an error response with problem details. If retryAfter is
// positive, the headers also contain it, in whole seconds and in milliseconds.
func (f *Front) writeProblem(
	w http.ResponseWriter,
	r *http.Request,
	status int,
	detail string,
	retryAfter time.Duration,
) {
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
		encodeJSON(w, body)
	}
}

func (f *Front) writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encodeJSON(w, value)
}

// encodeJSON writes value as the response body. It ignores errors: they occur only
// if the caller has disconnected.
func encodeJSON(w http.ResponseWriter, value any) {
	_ = json.NewEncoder(w).Encode(value)
}
