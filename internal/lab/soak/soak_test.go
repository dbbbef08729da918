package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"hitchspring/internal/rulecheck"
	"hitchspring/internal/standin/backend"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// shortSeeds are the seeds that CI runs.
var shortSeeds = []uint64{3, 4, 5, 6}

// maxRuns is how often a seed is run until its observers are not late. A violation that their delay may explain proves
// nothing.
const maxRuns = 3

// Short runs with a few processes violate no rule. `lab overlap` does longer runs with more processes.
func TestFewProcesses(t *testing.T) {
	program := filepath.Join(t.TempDir(), "hitchspring")
	if out, err := exec.Command("go", "build", "-o", program, "hitchspring/cmd/hitchspring").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	lateSignals, requestsInShutdown := 0, 0
	for _, seed := range shortSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			report := runShort(t, program, seed)
			lateSignals += report.LateSignals
			requestsInShutdown += report.RequestsInShutdown
		})
	}
	if lateSignals == 0 || requestsInShutdown == 0 {
		t.Errorf("got %d signals and %d requests within shutdowns, want some of each", lateSignals, requestsInShutdown)
	}
}

// runShort runs a seed with a few processes, again if its observers were late, and fails the test for each violation.
func runShort(t *testing.T, program string, seed uint64) *Report {
	t.Helper()
	for attempt := 1; ; attempt++ {
		cfg := Config{Program: program, Seed: seed, Instances: 5, Length: 7 * time.Second}
		report, err := Run(context.Background(), cfg)
		if err != nil {
			t.Fatal(err)
		}
		t.Log(report.Line())
		if len(report.Violations) > report.Certain() && attempt < maxRuns {
			continue
		}
		if len(report.Violations) > 0 {
			t.Error(report.Text(5))
		}
		if report.Served < 100 || report.Refused == 0 || report.Starts <= report.Instances {
			t.Error("got too few served or refused requests, or no restart")
		}
		return report
	}
}

// A configuration with a value out of range is an error that names the field.
func TestConfigIsChecked(t *testing.T) {
	for field, cfg := range map[string]Config{"instances": {Instances: MaxInstances + 1, Length: 10 * time.Second}, "length": {Instances: 1, Length: time.Second}} {
		if _, err := Run(context.Background(), cfg); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("got %v, want an error that names %s", err, field)
		}
	}
}

// The same seed draws the same deployment and faults, another seed draws others.
func TestSeedIsRepeatable(t *testing.T) {
	draw := func(seed uint64) (texts string) {
		rng := rand.New(rand.NewPCG(seed, 31))
		r := &run{cfg: Config{Instances: 10, Length: 20 * time.Second}, deployment: drawDeployment(rng)}
		for index := range r.cfg.Instances {
			r.instances = append(r.instances, &instance{index: index})
		}
		for _, x := range r.drawFaults(rng) {
			texts += x.at.String() + " " + x.text + "\n"
		}
		return texts
	}
	if a, b := draw(5), draw(5); a != b || strings.Count(a, "\n") < 3*clusterSize {
		t.Errorf("got\n%s\nand then\n%s\nwant the same faults twice", a, b)
	}
	if draw(5) == draw(6) {
		t.Error("got the same faults from two seeds")
	}
}

// The request that the tests of the checks use.
const (
	sentAt         = 10 * time.Second
	requestTimeout = time.Second
)

// newCheckedRun returns a run with one instance, to test its checks without a process.
func newCheckedRun() (*run, *instance) {
	r := &run{cfg: Config{Instances: 1}, startedAt: time.Now(), deployment: deployment{classes: []class{{name: "look", effect: effectSafe}}}}
	in := &instance{run: r}
	r.instances = []*instance{in}
	return r, in
}

// A request without an answer is excused if its client disconnected, no instance took it or its instance was killed as
// a fault. It is also excused if its connection was never accepted because of a shutdown or a flood.
func TestExcusedRequests(t *testing.T) {
	forwarded := []backend.Record{{ID: "1"}}
	for name, c := range map[string]struct {
		change func(*clientRequest, *instance)
		sent   []backend.Record
		want   bool
	}{
		"no answer":                     {func(*clientRequest, *instance) {}, nil, false},
		"killed during the request":     {func(req *clientRequest, in *instance) { in.killedAt = []time.Duration{sentAt + requestTimeout/2} }, nil, true},
		"killed before the request":     {func(req *clientRequest, in *instance) { in.killedAt = []time.Duration{sentAt - requestTimeout} }, nil, false},
		"terminated during the request": {func(req *clientRequest, in *instance) { in.terminatedAt = []time.Duration{sentAt + requestTimeout/2} }, nil, false},
		"killed at the shutdown limit":  {func(req *clientRequest, in *instance) { in.timedOutAt = []time.Duration{sentAt + requestTimeout/2} }, nil, false},
		"not connected":                 {func(req *clientRequest, _ *instance) { req.notConnected = true }, nil, true},
		"left":                          {func(req *clientRequest, _ *instance) { req.left = sentAt + requestTimeout/2 }, forwarded, true},
		"closed before it was accepted, long after SIGTERM": {func(req *clientRequest, in *instance) {
			req.firstOnConn, in.terminatedAt = true, []time.Duration{sentAt - balancerDelay - 1}
		}, nil, true},
		"closed on a new connection after SIGTERM": {func(req *clientRequest, in *instance) {
			req.firstOnConn, in.terminatedAt = true, []time.Duration{sentAt - 2*balancerDelay}
		}, forwarded, false},
		"closed on a reused connection after SIGTERM": {func(req *clientRequest, in *instance) { in.terminatedAt = []time.Duration{sentAt - 2*balancerDelay} }, nil, false},
		"closed on a new connection without a fault":  {func(req *clientRequest, _ *instance) { req.firstOnConn = true }, nil, false},
		"closed on a new connection during a flood": {func(req *clientRequest, in *instance) {
			req.firstOnConn, in.floods = true, []span{{sentAt, sentAt + requestTimeout}}
		}, nil, true},
		"forwarded during a flood and closed without an answer": {func(req *clientRequest, in *instance) {
			req.firstOnConn, in.floods = true, []span{{sentAt, sentAt + requestTimeout}}
		}, forwarded, false},
	} {
		r, in := newCheckedRun()
		req := &clientRequest{id: "1", class: "look", in: in, sent: sentAt, timeout: requestTimeout, connEndedAt: sentAt + requestTimeout}
		c.change(req, in)
		if got := r.checkerRequest(req, c.sent).Excused; got != c.want {
			t.Errorf("%s: excused %v, want %v", name, got, c.want)
		}
	}
}

// An attempt that names more time than its client has left is a violation, and so is one that begins after its client
// has disconnected. Both have some slack.
func TestRecordsAreChecked(t *testing.T) {
	for name, c := range map[string]struct {
		rec  backend.Record
		left time.Duration
		want string
	}{
		"right time":                             {backend.Record{ArrivedAt: sentAt + 200*time.Millisecond, Allowed: 800 * time.Millisecond}, 0, ""},
		"too much time, within the slack":        {backend.Record{ArrivedAt: sentAt + 200*time.Millisecond, Allowed: 990 * time.Millisecond}, 0, ""},
		"too much time":                          {backend.Record{ArrivedAt: sentAt + 300*time.Millisecond, Allowed: 910 * time.Millisecond}, 0, RuleDeadline},
		"soon after the client disconnected":     {backend.Record{ArrivedAt: sentAt + 200*time.Millisecond, Allowed: 800 * time.Millisecond}, sentAt + 60*time.Millisecond, ""},
		"too long after the client disconnected": {backend.Record{ArrivedAt: sentAt + 200*time.Millisecond, Allowed: 800 * time.Millisecond}, sentAt + 40*time.Millisecond, RuleDisconnectedClients},
	} {
		r, in := newCheckedRun()
		c.rec.ID = "1"
		r.checkRecords([]backend.Record{c.rec}, map[string]*clientRequest{"1": {id: "1", in: in, sent: sentAt, timeout: requestTimeout, left: c.left}})
		got := ""
		for _, f := range r.violations {
			got += f.Rule
		}
		if got != c.want {
			t.Errorf("%s: got violations %q, want %q", name, got, c.want)
		}
	}
}

// An instance must know what its agent had at once, or after the polls, reloads and failures of discovery that excuse
// a delay.
func TestNotificationTime(t *testing.T) {
	const learnedAt = 20 * time.Second
	silent := func(from, to time.Duration) discoveryFailure {
		return discoveryFailure{instances: []int{0}, silent: true, from: learnedAt + from, to: learnedAt + to}
	}
	for name, c := range map[string]struct {
		discoveryFailures []discoveryFailure
		reload            time.Duration // after learnedAt; 0: none
		polls             bool
		want              time.Duration // after learnedAt
	}{
		"at once":               {nil, 0, false, 0},
		"with polls":            {nil, 0, true, pollGrace},
		"during a long silence": {[]discoveryFailure{silent(-time.Second, 8*time.Second)}, 0, false, 8 * time.Second},
		"after a short silence that was not detected": {[]discoveryFailure{silent(-time.Second, -time.Second/2)}, 0, false, silenceGrace - time.Second},
		"long after a silence":                        {[]discoveryFailure{silent(-9*time.Second, -8*time.Second)}, 0, false, 0},
		"during two consecutive silences":             {[]discoveryFailure{silent(-time.Second, 2*time.Second), silent(4*time.Second, 12*time.Second)}, 0, false, 12 * time.Second},
		"during a failure at another instance":        {[]discoveryFailure{{instances: []int{1}, silent: true, from: learnedAt, to: learnedAt + time.Second}}, 0, false, 0},
		"during resets":                               {[]discoveryFailure{{instances: []int{0}, from: learnedAt - time.Second, to: learnedAt + time.Second}}, 0, false, time.Second},
		"just before a reload":                        {nil, 100 * time.Millisecond, false, reloadGrace + 100*time.Millisecond},
	} {
		r, in := newCheckedRun()
		r.discoveryFailures, r.deployment.polls = c.discoveryFailures, c.polls
		if c.reload > 0 {
			in.reloadedAt = []time.Duration{learnedAt + c.reload}
		}
		if got := r.notifiedAt(0, learnedAt) - learnedAt; got != c.want {
			t.Errorf("%s: got notified after %v, want %v", name, got, c.want)
		}
	}
}

// A violation near a delay of the observers is doubtful, another is not.
func TestLateObserversMakeDoubtful(t *testing.T) {
	r, _ := newCheckedRun()
	r.violations = []Violation{{At: 10 * time.Second}, {At: 20 * time.Second}}
	r.markDoubtful([]rulecheck.ObserverDelay{{At: 9500 * time.Millisecond, Delay: 2 * tolerance}, {At: 20 * time.Second, Delay: tolerance / 2}})
	if !r.violations[0].Doubtful || r.violations[1].Doubtful {
		t.Errorf("%+v", r.violations)
	}
}
