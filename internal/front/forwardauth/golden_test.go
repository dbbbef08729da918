package forwardauth

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"hitchspring/internal/core"
	"hitchspring/internal/golden"
	"hitchspring/internal/lease"
)

// Reverse proxies parse the headers and bodies of these answers.
func TestGoldenAnswers(t *testing.T) {
	f := &Front{config: Config{Header: "X-Hitch"}, metrics: newMetrics(prometheus.NewRegistry())}
	var all bytes.Buffer
	for _, answer := range []core.Answer{
		{Kind: core.Granted, Grant: core.Grant{
			Lease:       "abc",
			Backend:     "node-1",
			Addr:        "10.0.0.1:99",
			Attempt:     2,
			StartWithin: 500 * time.Millisecond,
			EndsWithin:  5 * time.Second,
		}},
		{Kind: core.Rejected, RetryAfter: 1500 * time.Millisecond},
		{Kind: core.Concluded, State: lease.Served},
		{Kind: core.Mismatched},
		{Kind: core.Failed},
	} {
		recorder := httptest.NewRecorder()
		f.writeAnswer(recorder, httptest.NewRequest(http.MethodGet, "/", nil), answer)
		fmt.Fprintln(&all, recorder.Code)
		writeHeaders(&all, recorder.Header())
		all.WriteString(recorder.Body.String() + "\n")
	}
	golden.Compare(t, "answers", all.Bytes())
}

func writeHeaders(b *bytes.Buffer, h http.Header) {
	var names []string
	for name := range h {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(b, "%s: %s\n", name, h.Get(name))
	}
}

func TestGoldenReports(t *testing.T) {
	for _, v := range []any{reportBody{}, reportAnswer{}, problemBody{}} {
		golden.RequireTags(t, "json", v)
	}
	var body reportBody
	var answer reportAnswer
	golden.Fill(&body)
	golden.Fill(&answer)
	recorder := httptest.NewRecorder()
	(&Front{}).writeJSON(recorder, http.StatusOK, []any{body, answer})
	golden.Compare(t, "reports", recorder.Body.Bytes())
}
