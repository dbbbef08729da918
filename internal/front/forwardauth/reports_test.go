package forwardauth

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"hitchspring/internal/core"
	"hitchspring/internal/lease"
)

// The answer to each report depends on the state of its lease.
func TestReports(t *testing.T) {
	f := &fakeCore{report: func(name string, _ lease.Outcome) core.ReportResult {
		switch name {
		case "unknown":
			return core.ReportResult{Err: lease.ErrUnknown}
		case "late":
			return core.ReportResult{Err: lease.ErrLate, State: lease.Expired}
		case "other":
			return core.ReportResult{Err: lease.ErrConflict, State: lease.Served}
		case "again":
			return core.ReportResult{
				First: true,
				State: lease.Granted,
				Next:  core.Answer{Kind: core.Granted, Grant: core.Grant{Lease: "next", Addr: "10.0.0.2:99"}},
			}
		}
		return core.ReportResult{First: true, State: lease.Served}
	}}
	addr := startFront(t, f, nil)
	for _, test := range []struct {
		path, body string
		status     int
		want       string
	}{
		{"/v1/attempts/abc", `{"outcome":"served","took_ms":12}`, 200, `"state":"served"`},
		{"/v1/attempts/again", `{"outcome":"failed"}`, 200, `"X-Hitch-Lease":"next"`},
		{"/v1/attempts/unknown", `{"outcome":"served"}`, 404, "no such lease"},
		{"/v1/attempts/late", `{"outcome":"served"}`, 410, "run out"},
		{"/v1/attempts/other", `{"outcome":"failed"}`, 409, "stands"},
		{"/v1/attempts/abc", `{"outcome":"fine"}`, 400, `outcome \"fine\"`},
		{"/v1/attempts/abc", `{"result":"served"}`, 400, "unknown field"},
		{"/v1/attempts/abc", `{`, 400, "cannot be read"},
		{"/v1/attempts/abc", `{"outcome":"` + strings.Repeat("x", 2000) + `"}`, 413, "too large"},
		{
			"/v1/attempts",
			`[{"lease":"abc","outcome":"served"},{"lease":"unknown","outcome":"served"}]`,
			200, `"status":404`,
		},
		{
			"/v1/attempts",
			"[" + strings.Repeat(`{"lease":"a","outcome":"served"},`, 3) + `{"lease":"a","outcome":"served"}]`,
			413, "4 reports",
		},
	} {
		resp, body := doCall(t, "POST", addr, test.path, test.body)
		if resp.StatusCode != test.status || !strings.Contains(body, test.want) {
			t.Errorf("%s %.60s: got %d %s, want %d with %s",
				test.path, test.body, resp.StatusCode, body, test.status, test.want)
		}
	}
}

// Any report that can be decoded is answered with status 200 or 400.
func FuzzReport(f *testing.F) {
	f.Add(`{"outcome":"served"}`)
	front := New(
		Config{Header: "X-Hitch", MaxCalls: 1, MaxConnections: 1, MaxBodyBytes: 1024, MaxReports: 3},
		&Table{},
		&fakeCore{report: func(string, lease.Outcome) core.ReportResult { return core.ReportResult{First: true} }},
		slog.New(slog.DiscardHandler),
		prometheus.NewRegistry(),
	)
	f.Fuzz(func(t *testing.T, body string) {
		var report reportBody
		if json.Unmarshal([]byte(body), &report) != nil {
			return
		}
		answer, ok := front.reportOutcome(context.Background(), report)
		if !ok || answer.Status != 200 && answer.Status != 400 {
			t.Fatalf("%q: %+v", body, answer)
		}
	})
}
