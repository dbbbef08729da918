package lease

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

const (
	// testDeadline is the client's deadline in most tests.
	testDeadline    = 5 * time.Second
	testMaxRequests = 4
)

// testConfig returns the configuration of most tests.
func testConfig(maxRequests int) Config {
	return Config{
		Timeout:     2 * time.Second,
		StartWithin: 500 * time.Millisecond,
		Retention:   3 * time.Second,
		MaxRequests: maxRequests,
	}
}

func newTestRegistry() *Registry { return New(testConfig(testMaxRequests)) }

// openRequest opens a request with fingerprint 1.
func openRequest(t *testing.T, registry *Registry, id string) *Request {
	t.Helper()
	req, err := registry.Open(id, 1, testDeadline)
	if err != nil {
		t.Fatal(err)
	}
	return req
}

// grant grants a request a lease with a name, and fails the test if it gets none.
func grant(t *testing.T, registry *Registry, now time.Duration, req *Request, name string) *Lease {
	t.Helper()
	lease := registry.Grant(now, req, name, "n1", "h:1", 0, testDeadline, 0)
	if lease == nil {
		t.Fatalf("lease %s is not granted: request %+v", name, req)
	}
	return lease
}

// report reports the outcome of a lease, and fails the test unless it is the
// first report.
func report(t *testing.T, registry *Registry, now time.Duration, name string, outcome Outcome) {
	t.Helper()
	if _, _, first, err := registry.Report(now, name, outcome); !first || err != nil {
		t.Fatalf("report of %s: got first %v and error %v, want true and none", name, first, err)
	}
}

func TestGrant(t *testing.T) {
	const grantedAt = time.Second
	registry := newTestRegistry()
	req := openRequest(t, registry, "a")
	lease := grant(t, registry, grantedAt, req, "x")
	if want := grantedAt + 500*time.Millisecond; lease.StartBy != want {
		t.Errorf("start by: got %v, want %v", lease.StartBy, want)
	}
	if want := grantedAt + 2*time.Second; lease.ExpiresAt != want {
		t.Errorf("expires at: got %v, want %v", lease.ExpiresAt, want)
	}
	if req.State != Granted || registry.Outstanding() != 1 {
		t.Errorf("got %v and %d outstanding, want %v and 1", req.State, registry.Outstanding(), Granted)
	}
}

// A lease ends with each of the outcomes, and when it expires.
func TestEndOfLease(t *testing.T) {
	const grantedAt = time.Second
	tests := map[string]struct {
		outcome Outcome // 0: none is reported
		want    State
	}{
		"served":    {OutcomeServed, Served},
		"unsent":    {OutcomeUnsent, Unsent},
		"rejected":  {OutcomeRejected, Open},
		"failed":    {OutcomeFailed, Open},
		"no report": {0, Expired},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			registry := newTestRegistry()
			req := openRequest(t, registry, "a")
			lease := grant(t, registry, grantedAt, req, "x")
			if test.outcome == 0 {
				if expired := registry.Expire(lease.ExpiresAt); len(expired) != 1 || expired[0] != req {
					t.Fatalf("expired: got %v, want the request", expired)
				}
			} else {
				report(t, registry, 2*time.Second, "x", test.outcome)
			}
			if req.State != test.want || registry.Outstanding() != 0 {
				t.Errorf("got %v and %d outstanding, want %v and 0", req.State, registry.Outstanding(), test.want)
			}
		})
	}
}

// A repeated report is accepted. A report of another outcome, a late report and
// a report on an unknown lease are errors.
func TestReports(t *testing.T) {
	registry := newTestRegistry()
	req := openRequest(t, registry, "a")
	grant(t, registry, 0, req, "x")
	expect := func(at time.Duration, name string, outcome Outcome, wantFirst bool, wantErr error) {
		t.Helper()
		_, _, first, err := registry.Report(at, name, outcome)
		if first != wantFirst || !errors.Is(err, wantErr) {
			t.Errorf("report of %s: got first %v and error %v, want %v and %v", name, first, err, wantFirst, wantErr)
		}
	}
	expect(time.Second, "x", OutcomeFailed, true, nil)
	expect(time.Second, "x", OutcomeFailed, false, nil)
	expect(time.Second, "x", OutcomeServed, false, ErrConflict)
	expect(time.Second, "y", OutcomeServed, false, ErrUnknown)

	if registry.Grant(time.Second, req, "z", "n2", "h:2", 1, testDeadline, 0) == nil { // a retry of the request
		t.Fatal("the retry is not granted")
	}
	if expired := registry.Expire(4 * time.Second); len(expired) != 1 {
		t.Fatalf("expired: got %v, want one", expired)
	}
	expect(4*time.Second, "z", OutcomeServed, false, ErrLate)
	expect(4*time.Second, "x", OutcomeFailed, false, nil)
	if _, lease, _, _ := registry.Report(4*time.Second, "x", OutcomeFailed); lease.Backend != "n1" {
		t.Errorf("backend of the first attempt: got %s, want n1", lease.Backend)
	}
	registry.Expire(8 * time.Second)
	if got := registry.Len(); got != 0 {
		t.Errorf("requests in the end: got %d, want 0", got)
	}
}

// A report of an unsent attempt makes a retry safe only if no other attempt of
// the request may have run.
func TestUnsentAfterEarlierAttempt(t *testing.T) {
	for earlier, want := range map[Outcome]State{OutcomeFailed: Failed, OutcomeRejected: Unsent} {
		t.Run(earlier.String(), func(t *testing.T) {
			registry := newTestRegistry()
			req := openRequest(t, registry, "a")
			grant(t, registry, 0, req, "x")
			report(t, registry, 0, "x", earlier)
			grant(t, registry, 0, req, "y")
			report(t, registry, 0, "y", OutcomeUnsent)
			if req.State != want {
				t.Errorf("got %v, want %v", req.State, want)
			}
		})
	}
}

// A retry must be sent while its idempotency scope still has the key of the
// first attempt. The grant has that time limit, and is refused after it.
func TestRetryStartsWithinScopeWindow(t *testing.T) {
	const now = 2 * time.Second
	registry := newTestRegistry()
	req := openRequest(t, registry, "a")
	if lease := registry.Grant(now, req, "x", "n1", "h:1", 1, testDeadline, now); lease != nil {
		t.Fatalf("got %+v, want no lease", lease)
	}
	startBy := now + 250*time.Millisecond
	lease := registry.Grant(now, req, "x", "n1", "h:1", 1, testDeadline, startBy)
	if lease == nil || lease.StartBy != startBy {
		t.Fatalf("got %+v, want a lease to start by %v", lease, startBy)
	}
}

// A retained ID finds its request, or an error if the fingerprint differs. IDs
// are case-sensitive.
func TestFind(t *testing.T) {
	registry := newTestRegistry()
	req := openRequest(t, registry, "Abc")
	tests := map[string]struct {
		id          string
		fingerprint uint64
		want        *Request
		wantErr     error
	}{
		"same":                {"Abc", 1, req, nil},
		"another fingerprint": {"Abc", 2, nil, ErrMismatch},
		"another case":        {"abc", 1, nil, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := registry.Find(test.id, test.fingerprint)
			if got != test.want || !errors.Is(err, test.wantErr) {
				t.Errorf("got %v and error %v, want %v and %v", got, err, test.want, test.wantErr)
			}
		})
	}
}

func TestForget(t *testing.T) {
	registry := newTestRegistry()
	registry.Forget(openRequest(t, registry, "Abc"))
	if got, _ := registry.Find("Abc", 1); got != nil || registry.Len() != 0 {
		t.Fatalf("got %v and %d requests, want none", got, registry.Len())
	}
}

func TestMaxRequests(t *testing.T) {
	registry := newTestRegistry()
	for i := range testMaxRequests {
		openRequest(t, registry, fmt.Sprint(i))
	}
	if _, err := registry.Open("one more", 1, testDeadline); !errors.Is(err, ErrFull) {
		t.Fatalf("got error %v, want %v", err, ErrFull)
	}
}

func TestParseOutcome(t *testing.T) {
	for _, want := range []Outcome{OutcomeServed, OutcomeRejected, OutcomeFailed, OutcomeUnsent} {
		if got, ok := ParseOutcome(want.String()); got != want || !ok {
			t.Errorf("%v: got %v, %v", want, got, ok)
		}
	}
	if got, ok := ParseOutcome("unknown"); ok {
		t.Errorf("unknown: got %v, want none", got)
	}
}
