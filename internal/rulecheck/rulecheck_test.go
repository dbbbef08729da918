package rulecheck

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	s  = time.Second
	ms = time.Millisecond
)

func testRules() Rules {
	r := DefaultRules()
	r.Classes = map[string]Effect{"read": Safe, "publish": Keyed, "once": Unsafe}
	r.MinAttempts = map[string]time.Duration{"read": 20 * ms, "publish": 80 * ms, "once": 80 * ms}
	r.Ceilings = map[string]Ceiling{"storby": {Rate: 10, Burst: 20}}
	return r
}

// request returns a request that was served in time, modified by change unless that is nil.
func request(id, class string, change func(*ClientRequest)) ClientRequest {
	r := ClientRequest{
		ID:       id,
		Instance: "i0",
		Class:    class,
		SentAt:   10 * s,
		Timeout:  s,
		Answers:  []Answer{{At: 10*s + s/2, Kind: AnswerServed}},
	}
	if change != nil {
		change(&r)
	}
	return r
}

// withAnswer returns a change for request that replaces the answer.
func withAnswer(kind string, at time.Duration) func(*ClientRequest) {
	return func(r *ClientRequest) { r.Answers = []Answer{{At: at, Kind: kind}} }
}

// servedAtTimeout returns a change for request: it is sent at 0 and served exactly at its timeout.
func servedAtTimeout(timeout time.Duration) func(*ClientRequest) {
	return func(r *ClientRequest) { r.SentAt, r.Timeout, r.Answers[0].At = 0, timeout, timeout }
}

// attempt returns an attempt by the instance i0 that takes 40 ms.
func attempt(id, class, backend string, rack int, at time.Duration) BackendAttempt {
	return BackendAttempt{
		ArrivedAt: at,
		EndedAt:   at + 40*ms,
		Instance:  "i0",
		ID:        id,
		Class:     class,
		Backend:   backend,
		Rack:      rack,
		Plan:      "bygd",
		Tenant:    "c",
		Units:     1,
	}
}

func endedBusy(a BackendAttempt, endedAt time.Duration) BackendAttempt {
	a.Busy, a.EndedAt = true, endedAt
	return a
}

func endedAt(a BackendAttempt, endedAt time.Duration) BackendAttempt {
	a.EndedAt = endedAt
	return a
}

func sentBy(a BackendAttempt, instance string) BackendAttempt {
	a.Instance = instance
	return a
}

// attemptsUnderCeiling returns n first attempts of a tenant with a ceiling, sent by two instances in turn.
func attemptsUnderCeiling(n int, units float64, every time.Duration) (e Evidence) {
	for i := range n {
		id := string(rune('a' + i))
		e.Requests = append(e.Requests, request(id, "read", servedAtTimeout(time.Minute)))
		first := sentBy(attempt(id, "read", "n1", 1, every*time.Duration(i)), fmt.Sprint("i", i%2))
		first.Plan, first.Units = "storby", units
		e.Attempts = append(e.Attempts, first)
	}
	return e
}

// rejections returns n rejected publish requests, each rejected by that duration before its timeout.
func rejections(n int, before time.Duration, attempts ...BackendAttempt) (e Evidence) {
	for i := range n {
		id := string(rune('a' + i))
		e.Requests = append(e.Requests, request(id, "publish", withAnswer(AnswerRejected, 11*s-before)))
	}
	e.Attempts = attempts
	return e
}

// oneRequest returns the evidence of one request with its attempts.
func oneRequest(request ClientRequest, attempts ...BackendAttempt) Evidence {
	return Evidence{Requests: []ClientRequest{request}, Attempts: attempts}
}

func withNotifications(e Evidence, notifications ...Notification) Evidence {
	e.Notifications = notifications
	return e
}

// evidenceCase is evidence and the only rule that it violates; empty: none.
type evidenceCase struct {
	evidence Evidence
	want     string
}

func checkCases(t *testing.T, cases map[string]evidenceCase) {
	t.Helper()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { checkEvidence(t, c.evidence, c.want) })
	}
}

// checkEvidence checks that the evidence violates the wanted rule once, or no rule if want is empty. It also checks
// that an observer delay makes a violation doubtful if and only if it overlaps the violation and exceeds the tolerance.
func checkEvidence(t *testing.T, evidence Evidence, want string) {
	t.Helper()
	result := Check(testRules(), evidence)
	got := ""
	for _, violation := range result.Violations {
		got = violation.Rule
	}
	if got != want || len(result.Violations) > 1 {
		t.Errorf("got %v, want %q", result.Violations, want)
	}
	if text := result.String(); (want == "") != !strings.Contains(text, "BROKEN") {
		t.Errorf("got the text %s, want BROKEN in it if and only if there is a violation", text)
	}
	evidence.ObserverDelays = []ObserverDelay{{At: 10 * s, Delay: 2 * s}, {At: 1500 * ms, Delay: 2 * s}}
	if result := Check(testRules(), evidence); result.CountCertain() > 0 || result.MaxObserverDelay != 2*s {
		t.Errorf("got certain violations though the observers were delayed: %v", result.Violations)
	}
	evidence.ObserverDelays = []ObserverDelay{{At: time.Hour, Delay: 2 * s}, {At: 10 * s, Delay: 40 * ms}}
	if result := Check(testRules(), evidence); result.CountCertain() != len(result.Violations) {
		t.Errorf("got doubtful violations for a delay at another time or within the tolerance: %v", result.Violations)
	}
}

// TestCheckAnswers covers the rule of exactly one final answer in time, and no attempt after it.
func TestCheckAnswers(t *testing.T) {
	read := request("a", "read", nil)
	checkCases(t, map[string]evidenceCase{
		"all well": {oneRequest(read, attempt("a", "read", "n1", 1, 10*s)), ""},
		"no answer": {
			evidence: oneRequest(request("a", "read", func(r *ClientRequest) { r.Answers = nil })),
			want:     NoRequestLost,
		},
		"excused": {
			evidence: oneRequest(request("a", "read", func(r *ClientRequest) { r.Answers, r.Excused = nil, true })),
		},
		"two answers": {
			evidence: oneRequest(
				request("a", "read", func(r *ClientRequest) { r.Answers = append(r.Answers, r.Answers[0]) }),
			),
			want: NoRequestLost,
		},
		"late answer":  {oneRequest(request("a", "read", withAnswer(AnswerServed, 11*s+51*ms))), NoRequestLost},
		"just in time": {oneRequest(request("a", "read", withAnswer(AnswerServed, 11*s+49*ms))), ""},
		"foreign answer": {
			evidence: oneRequest(request("a", "read", func(r *ClientRequest) { r.ForeignAnswer = true })),
			want:     NoRequestLost,
		},
		"sent 60 ms after":    {oneRequest(read, attempt("a", "read", "n1", 1, 10*s+560*ms)), NoRequestLost},
		"sent 40 ms after":    {oneRequest(read, attempt("a", "read", "n1", 1, 10*s+540*ms)), ""},
		"delayed at its node": {oneRequest(read, endedAt(attempt("a", "read", "n1", 1, 10*s), 12*s)), ""},
		"sent by nobody": {
			evidence: Evidence{Attempts: []BackendAttempt{attempt("a", "read", "n1", 1, 10*s)}},
			want:     NoRequestLost,
		},
	})
}

// TestCheckLateRejections covers rejections that an instance sent later than it could have.
func TestCheckLateRejections(t *testing.T) {
	checkCases(t, map[string]evidenceCase{
		"rejected at once":       {rejections(5, 900*ms), ""},
		"rejected when hopeless": {rejections(5, 100*ms), ""},
		"rejected too late":      {rejections(5, 20*ms), NoRequestLost},
		"two by chance":          {rejections(2, 20*ms), ""},
		"attempted to the end": {
			evidence: rejections(3, 20*ms,
				endedBusy(attempt("a", "publish", "n1", 1, 10900*ms), 10970*ms),
				endedBusy(attempt("b", "publish", "n1", 1, 10900*ms), 10970*ms),
			),
		},
	})
}

// TestCheckUnsafeRepeats covers which attempts and answers may follow an attempt that may have run, in classes that
// forbid a repeat.
func TestCheckUnsafeRepeats(t *testing.T) {
	once := request("a", "once", nil)
	failed := request("a", "once", withAnswer(AnswerFailed, 11*s))
	rejected := request("a", "once", withAnswer(AnswerRejected, 11*s))
	checkCases(t, map[string]evidenceCase{
		"unsafe again": {
			evidence: oneRequest(once, attempt("a", "once", "n1", 1, 10*s), attempt("a", "once", "n1", 1, 10*s+1)),
			want:     NoEffectTwice,
		},
		"unsafe after busy": {
			evidence: oneRequest(
				once,
				endedBusy(attempt("a", "once", "n1", 1, 10*s), 10*s+ms),
				attempt("a", "once", "n2", 2, 10*s+2*ms),
			),
		},
		"before it knew of busy": {
			evidence: oneRequest(
				once,
				endedBusy(attempt("a", "once", "n1", 1, 10*s), 10*s+3*ms),
				attempt("a", "once", "n2", 2, 10*s+2*ms),
			),
			want: NoEffectTwice,
		},
		"unsafe failed":   {oneRequest(failed, attempt("a", "once", "n1", 1, 10*s)), ""},
		"unsafe rejected": {oneRequest(rejected, attempt("a", "once", "n1", 1, 10*s)), NoEffectTwice},
		"rejected after busy": {
			evidence: oneRequest(rejected, endedBusy(attempt("a", "once", "n1", 1, 10*s), 10*s+ms)),
		},
	})
}

// TestCheckIdempotentRepeats covers which attempts and answers may follow an attempt that may have run, in classes that
// allow a repeat.
func TestCheckIdempotentRepeats(t *testing.T) {
	read, publish := request("a", "read", nil), request("a", "publish", nil)
	slow := request("a", "publish", func(r *ClientRequest) { r.Timeout, r.Answers[0].At = 5*s, 14*s })
	checkCases(t, map[string]evidenceCase{
		"keyed rejected": {
			evidence: oneRequest(
				request("a", "publish", withAnswer(AnswerRejected, 11*s)),
				attempt("a", "publish", "n1", 1, 10*s),
			),
			want: NoEffectTwice,
		},
		"safe rejected": {
			evidence: oneRequest(
				request("a", "read", withAnswer(AnswerRejected, 11*s)),
				attempt("a", "read", "n1", 1, 10*s),
			),
		},
		"safe again": {
			evidence: oneRequest(read, attempt("a", "read", "n1", 1, 10*s), attempt("a", "read", "n2", 2, 10*s+1)),
		},
		"keyed in its rack": {
			evidence: oneRequest(slow, attempt("a", "publish", "n1", 1, 10*s), attempt("a", "publish", "n2", 1, 13*s)),
		},
		"keyed elsewhere": {
			evidence: oneRequest(
				publish,
				attempt("a", "publish", "n1", 1, 10*s),
				attempt("a", "publish", "n2", 2, 10*s+1),
			),
			want: NoEffectTwice,
		},
		"keyed too late": {
			evidence: oneRequest(
				slow,
				attempt("a", "publish", "n1", 1, 10*s),
				attempt("a", "publish", "n2", 1, 13*s+100*ms),
			),
			want: NoEffectTwice,
		},
	})
}

// TestCheckDrains covers attempts at a draining backend.
func TestCheckDrains(t *testing.T) {
	read := request("a", "read", nil)
	checkCases(t, map[string]evidenceCase{
		"drained": {
			evidence: withNotifications(
				oneRequest(read, attempt("a", "read", "n1", 1, 10*s)),
				Notification{8*s - 100*ms, "i0", "n1", false},
			),
			want: Drains,
		},
		"in the grace": {
			evidence: withNotifications(
				oneRequest(read, attempt("a", "read", "n1", 1, 10*s)),
				Notification{8 * s, "i0", "n1", false},
			),
		},
		"another was notified": {
			evidence: withNotifications(
				oneRequest(read, attempt("a", "read", "n1", 1, 10*s)),
				Notification{5 * s, "i1", "n1", false},
			),
		},
		"serves again": {
			evidence: withNotifications(
				oneRequest(read, attempt("a", "read", "n1", 1, 10*s)),
				Notification{5 * s, "i0", "n1", false},
				Notification{9 * s, "i0", "n1", true},
			),
		},
		"the third sends on": {
			evidence: withNotifications(
				Evidence{
					Requests: []ClientRequest{read, request("b", "read", nil), request("c", "read", nil)},
					Attempts: []BackendAttempt{
						attempt("a", "read", "n2", 1, 10*s),
						sentBy(attempt("b", "read", "n2", 1, 10*s), "i1"),
						sentBy(attempt("c", "read", "n1", 1, 10*s), "i2"),
					},
				},
				Notification{5 * s, "i0", "n1", false},
				Notification{5 * s, "i1", "n1", false},
				Notification{5 * s, "i2", "n1", false},
			),
			want: Drains,
		},
	})
}

// TestCheckLoadLimits covers backends in slow start and tenants with a ceiling.
func TestCheckLoadLimits(t *testing.T) {
	checkCases(t, map[string]evidenceCase{
		"failed under load": {
			evidence: Evidence{Overloads: []Overload{{Backend: "n1", FailedAt: s, Reason: "too much", MaxLoad: 1.1}}},
			want:     SlowStart,
		},
		"withstood its load": {Evidence{Overloads: []Overload{{Backend: "n1", MaxLoad: 0.9}}}, ""},
		"under its ceiling":  {attemptsUnderCeiling(10, 2, ms), ""},
		"within slack":       {attemptsUnderCeiling(13, 2, ms), ""}, // 26 units: burst 20, slack 6 + 1.5
		"two together":       {attemptsUnderCeiling(14, 2, ms), Ceilings},
		"as it fills":        {attemptsUnderCeiling(20, 4, 400*ms), ""},
		"faster":             {attemptsUnderCeiling(20, 4, 200*ms), Ceilings},
	})
}

// TestMargins checks how close a run came to the limits of the rules.
func TestMargins(t *testing.T) {
	warmingUp := attempt("a", "read", "n3", 1, 10*s)
	warmingUp.WarmingUp = true
	evidence := Evidence{
		Requests: []ClientRequest{
			request("a", "read", nil),
			request("b", "once", withAnswer(AnswerFailed, 10*s+900*ms)),
			request("c", "publish", withAnswer(AnswerRejected, 10*s+100*ms)),
			request("d", "read", nil),
		},
		Attempts: []BackendAttempt{
			attempt("a", "read", "n1", 1, 10*s-ms),
			warmingUp,
			attempt("b", "once", "n1", 1, 10*s),
			attempt("d", "read", "n2", 1, 10*s),
		},
		Notifications: []Notification{{At: 7 * s, Instance: "i0", Backend: "n9"}},
		Overloads:     []Overload{{Backend: "n3", MaxLoad: 0.6}},
	}
	want := Margins{
		Refused:        1,
		Tight:          1,
		Repeats:        1,
		Withheld:       1,
		Drains:         1,
		SlowStartSends: 1,
		SlowStartPush:  0.6,
		Ceiling:        -1,
	}
	if result := Check(testRules(), evidence); result.Margins != want || !result.Clean() {
		t.Fatalf("got %+v, %v, want %+v and no violation", result.Margins, result.Violations, want)
	}
	margins := Check(testRules(), attemptsUnderCeiling(10, 2, ms)).Margins
	if margins.CeilingFor != 1 || margins.Ceiling < -0.01 || margins.Ceiling > 0 {
		t.Fatalf("got %+v, want one tenant just under its ceiling", margins)
	}
}

// TestCeilingMatchesTokenBucket checks that a ceiling violation is found if and only if a plain token bucket, charged
// with the same attempts, is overdrawn beyond the slack.
func TestCeilingMatchesTokenBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var evidence Evidence
		level, maxOverdraft := 20.0, 0.0
		at, previous := time.Duration(0), time.Duration(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "n") {
			at += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * ms
			units := float64(rapid.IntRange(1, 6).Draw(t, "units"))
			id := fmt.Sprint(i)
			first := sentBy(attempt(id, "read", "n1", 1, at), fmt.Sprint("i", rapid.IntRange(0, 2).Draw(t, "instance")))
			first.Plan, first.Units = "storby", units
			evidence.Requests = append(evidence.Requests, request(id, "read", servedAtTimeout(time.Hour)))
			evidence.Attempts = append(evidence.Attempts, first, first) // the second is a retry, which is not charged
			if i > 0 {
				level = min(20, level+10*(at-previous).Seconds())
			}
			previous = at
			level -= units
			maxOverdraft = max(maxOverdraft, -level)
		}
		result := Check(testRules(), evidence)
		if violated := len(result.ForRule(Ceilings)) > 0; violated != (maxOverdraft > 7.5) {
			t.Fatalf("got %v for %.2f units over the ceiling", result.Violations, maxOverdraft)
		}
	})
}

// TestQuotaUses checks that the use of a quota counts each request once, and that the overrun is the overdraft of all
// requests together.
func TestQuotaUses(t *testing.T) {
	var attempts []BackendAttempt
	for i := range 10 {
		first := attempt(string(rune('a'+i)), "read", "n1", 1, time.Duration(i)*100*time.Millisecond)
		attempts = append(attempts, first, first) // the second is a retry
	}
	use := QuotaUses(map[string]Quota{"bygd": {Rate: 1, Burst: 3}}, attempts)["c"]
	if use.WithinQuota != 3 || use.BeyondQuota != 7 || use.Overrun < 6 || use.Overrun > 6.2 {
		t.Fatalf("got %+v, want 3 units within the quota, 7 beyond it and an overrun of 6 to 6.2", use)
	}
}
