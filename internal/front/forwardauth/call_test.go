package forwardauth

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"hitchspring/internal/core"
	"hitchspring/internal/lease"
)

// Each kind of answer has its own status, headers and body.
func TestAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		answer core.Answer
		status int
		want   string // in the body
	}{
		"granted": {core.Answer{
			Kind:  core.Granted,
			Grant: core.Grant{Lease: "abc", Addr: "10.0.0.1:99"},
		}, 200, ""},
		"rejected": {core.Answer{
			Kind:       core.Rejected,
			RetryAfter: 1200 * time.Millisecond,
		}, 429, `"retry_after_ms":1200`},
		"failed":     {core.Answer{Kind: core.Failed}, 503, `"status":503`},
		"concluded":  {core.Answer{Kind: core.Concluded, State: lease.Served}, 409, "over: served"},
		"mismatched": {core.Answer{Kind: core.Mismatched}, 409, "other particulars"},
		"duplicate":  {core.Answer{Kind: core.Duplicate}, 503, ""},
	} {
		f := &fakeCore{answer: func(_ *core.Request, _ string, sink core.ReplySink) { sink.Deliver(test.answer) }}
		addr := startFront(t, f, nil)
		for _, method := range []string{"GET", "HEAD", "POST"} {
			t.Run(name+" "+method, func(t *testing.T) {
				resp, body := doCall(t, method, addr, "/any", "", validHeaders...)
				if resp.StatusCode != test.status {
					t.Errorf("got status %d, want %d", resp.StatusCode, test.status)
				}
				if method != "HEAD" && !strings.Contains(body, test.want) {
					t.Errorf("got body %q, want %q in it", body, test.want)
				}
				requireAnswerHeaders(t, resp)
			})
		}
	}
}

// requireAnswerHeaders checks the headers that TestAnswers expects for a status.
func requireAnswerHeaders(t *testing.T, resp *http.Response) {
	t.Helper()
	want := map[string]string{"Cache-Control": "no-store"}
	switch resp.StatusCode {
	case http.StatusTooManyRequests:
		want["Retry-After"] = "2"
		want["X-Hitch-Retry-After-Ms"] = "1200"
	case http.StatusOK:
		want["X-Hitch-Node"] = "10.0.0.1:99"
		want["X-Hitch-Lease"] = "abc"
	}
	for header, value := range want {
		if got := resp.Header.Get(header); got != value {
			t.Errorf("got %s %q, want %q", header, got, value)
		}
	}
}

// An invalid call is answered 400 with the parameter and its value, and is not passed
// to the core.
func TestUnreadableCalls(t *testing.T) {
	f := &fakeCore{answer: grantAll}
	addr := startFront(t, f, nil, Rule{Path: "/channels/{channel}/guide", Class: "read", Plan: "storby"})
	for want, headers := range map[string][]string{
		"X-Hitch-Class is missing":  {"X-Hitch-Plan", "storby"},
		`class \"write\" is none`:   withHeaders("X-Hitch-Class", "write"),
		`plan \"metro\" is none`:    withHeaders("X-Hitch-Plan", "metro"),
		`channel \"zz\"`:            withHeaders("X-Hitch-Channel", "zz"),
		`channel \"ffffffffffff\"`:  withHeaders("X-Hitch-Channel", "ffffffffffff"),
		"units 7 is out of range":   withHeaders("X-Hitch-Units", "7"),
		`units \"many\"`:            withHeaders("X-Hitch-Units", "many"),
		"units NaN":                 withHeaders("X-Hitch-Units", "NaN"),
		`set \"4/0\"`:               withHeaders("X-Hitch-Set", "4/0"),
		`deadline \"-5\"`:           withHeaders("X-Hitch-Deadline-Ms", "-5"),
		"class publish wants a key": withHeaders("X-Hitch-Class", "publish"),
		"longer than 64":            withHeaders("X-Hitch-Id", strings.Repeat("x", 65)),
		"read in more than one way": withHeaders("X-Forwarded-Uri", "/channels/3e9/../../admin"),
	} {
		t.Run(want, func(t *testing.T) {
			resp, body := doCall(t, "GET", addr, "/x", "", headers...)
			if resp.StatusCode != http.StatusBadRequest || !strings.Contains(body, want) {
				t.Errorf("got %d %s, want 400 with %s", resp.StatusCode, body, want)
			}
			if got := resp.Header.Get("Content-Type"); got != "application/problem+json" {
				t.Errorf("got content type %q, want application/problem+json", got)
			}
		})
	}
	if n := f.requestCount(); n > 0 {
		t.Fatalf("the core got %d requests, want none", n)
	}
}

// The front understands how each proxy passes the original request, and rules take
// precedence over the caller's headers.
func TestProxyConventions(t *testing.T) {
	f := &fakeCore{answer: grantAll}
	rule := Rule{Method: "POST", Path: "/channels/{channel}/guide", Class: "read", Plan: "storby", Units: 2}
	addr := startFront(t, f, func(c *Config) { c.Prefix = "/check" }, rule)
	for name, test := range map[string]struct {
		method, path string
		headers      []string
	}{
		"Traefik and Caddy": {"GET", "/", []string{
			"X-Forwarded-Method", "POST", "X-Forwarded-Uri", "/channels/3e9/guide?a=b",
			"X-Hitch-Class", "publish", "X-Hitch-Units", "1",
		}},
		"nginx": {"GET", "/auth", []string{
			"X-Original-Method", "POST", "X-Original-Uri", "/channels/3e9/guide",
		}},
		"Envoy": {"POST", "/check/channels/3e9/guide", nil},
	} {
		t.Run(name, func(t *testing.T) {
			resp, body := doCall(t, test.method, addr, test.path, "", test.headers...)
			if resp.StatusCode != http.StatusOK {
				t.Errorf("got %d %s, want 200", resp.StatusCode, body)
			}
		})
	}
	for _, r := range f.requests {
		if r.Class != "read" || r.Units != 2 || r.Tenant != "00000000000003e9" || r.Spread != 3 {
			t.Errorf("got %+v, want class read, 2 units, tenant 3e9, spread 3", r.Request)
		}
	}
}

// Ids are case-sensitive. Calls with equal parameters have the same fingerprint, and
// calls with different parameters have different ones.
func TestFingerprints(t *testing.T) {
	f := &fakeCore{answer: grantAll}
	addr := startFront(t, f, nil)
	doCall(t, "GET", addr, "/", "", withHeaders("X-Hitch-Id", "Ab")...)
	doCall(t, "GET", addr, "/", "", withHeaders("X-Hitch-Id", "ab")...)
	doCall(t, "GET", addr, "/", "", withHeaders("X-Hitch-Id", "ab", "X-Hitch-Units", "3")...)
	if len(f.ids) != 3 || f.ids[0] == f.ids[1] {
		t.Errorf("got ids %q, want Ab, ab, ab", f.ids)
	}
	if f.fingerprints[0] != f.fingerprints[1] || f.fingerprints[1] == f.fingerprints[2] {
		t.Errorf("got fingerprints %x, want the first two equal and the third different", f.fingerprints)
	}
}
