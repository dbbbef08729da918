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

// shortSeeds are those that CI plays.
var shortSeeds = []uint64{3, 4, 5, 6}

// mostPlays is how often a run is played whose observers were late: that says nothing.
const mostPlays = 3

// A short run of a few processes keeps every promise. `lab overlap` plays many, and larger ones.
func TestFewProcesses(t *testing.T) {
	program := filepath.Join(t.TempDir(), "hitchspring")
	if out, err := exec.Command("go", "build", "-o", program, "hitchspring/cmd/hitchspring").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	lateSignals, requestsInShutdown := 0, 0
	for _, seed := range shortSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			report := playShort(t, program, seed)
			lateSignals += report.LateSignals
			requestsInShutdown += report.RequestsInShutdown
		})
	}
	if lateSignals == 0 || requestsInShutdown == 0 {
		t.Errorf("got %d signals and %d requests within shutdowns, want some of each", lateSignals, requestsInShutdown)
	}
}

// playShort plays a seed with few processes, again while its observers were late, and fails for each break.
func playShort(t *testing.T, program string, seed uint64) *Report {
	t.Helper()
	for play := 1; ; play++ {
		cfg := Config{Program: program, Seed: seed, Instances: 5, Length: 7 * time.Second}
		report, err := Run(context.Background(), cfg)
		if err != nil {
			t.Fatal(err)
		}
		t.Log(report.Line())
		if len(report.Findings) > report.Certain() && play < mostPlays {
			continue
		}
		if len(report.Findings) > 0 {
			t.Error(report.Text(5))
		}
		if report.Served < 100 || report.Refused == 0 || report.Starts <= report.Instances {
			t.Error("the run forces nothing")
		}
		return report
	}
}

func TestConfigIsChecked(t *testing.T) {
	for field, cfg := range map[string]Config{"instances": {Instances: MaxInstances + 1, Length: 10 * time.Second}, "length": {Instances: 1, Length: time.Second}} {
		if _, err := Run(context.Background(), cfg); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%v, want an error that names %s", err, field)
		}
	}
}

// A seed draws the same deployment and the same troubles again.
func TestSeedIsRepeatable(t *testing.T) {
	draw := func(seed uint64) (texts string) {
		rng := rand.New(rand.NewPCG(seed, 31))
		r := &run{cfg: Config{Instances: 10, Length: 20 * time.Second}, deployment: drawDeployment(rng)}
		for n := range r.cfg.Instances {
			r.instances = append(r.instances, &instance{n: n})
		}
		for _, x := range r.drawTroubles(rng) {
			texts += x.at.String() + " " + x.text + "\n"
		}
		return texts
	}
	if a, b := draw(5), draw(5); a != b || strings.Count(a, "\n") < 3*clusterSize {
		t.Errorf("%s\nand\n%s", a, b)
	}
	if draw(5) == draw(6) {
		t.Error("two seeds draw the same")
	}
}

const (
	sentAt = 10 * time.Second
	waits  = time.Second
)

// newJudged is a run with one instance, for the judge alone.
func newJudged() (*run, *instance) {
	r := &run{cfg: Config{Instances: 1}, began: time.Now(), deployment: deployment{classes: []class{{name: "look", effect: safe}}}}
	in := &instance{run: r}
	r.instances = []*instance{in}
	return r, in
}

// What an instance owes an answer to, and what it does not.
func TestWhoIsExcused(t *testing.T) {
	forwarded := []backend.Record{{ID: "1"}}
	for name, c := range map[string]struct {
		change func(*clientRequest, *instance)
		sent   []backend.Record
		want   bool
	}{
		"no answer":                     {func(*clientRequest, *instance) {}, nil, false},
		"killed under it":               {func(a *clientRequest, in *instance) { in.kills = []time.Duration{sentAt + waits/2} }, nil, true},
		"killed before":                 {func(a *clientRequest, in *instance) { in.kills = []time.Duration{sentAt - waits} }, nil, false},
		"told to end under it":          {func(a *clientRequest, in *instance) { in.terms = []time.Duration{sentAt + waits/2} }, nil, false},
		"killed at the end of its time": {func(a *clientRequest, in *instance) { in.overrun = []time.Duration{sentAt + waits/2} }, nil, false},
		"not connected":                 {func(a *clientRequest, _ *instance) { a.noConnect = true }, nil, true},
		"left":                          {func(a *clientRequest, _ *instance) { a.left = sentAt + waits/2 }, forwarded, true},
		"reset unread long after SIGTERM": {func(a *clientRequest, in *instance) {
			a.fresh, in.terms = true, []time.Duration{sentAt - frontNotice - 1}
		}, nil, true},
		"closed on a new connection after SIGTERM": {func(a *clientRequest, in *instance) {
			a.fresh, in.terms = true, []time.Duration{sentAt - 2*frontNotice}
		}, forwarded, false},
		"closed on a kept connection after SIGTERM":   {func(a *clientRequest, in *instance) { in.terms = []time.Duration{sentAt - 2*frontNotice} }, nil, false},
		"closed on a new connection, nothing wrong":   {func(a *clientRequest, _ *instance) { a.fresh = true }, nil, false},
		"closed on a new connection, in a crowd":      {func(a *clientRequest, in *instance) { a.fresh, in.crowds = true, []span{{sentAt, sentAt + waits}} }, nil, true},
		"forwarded in a crowd, and closed unanswered": {func(a *clientRequest, in *instance) { a.fresh, in.crowds = true, []span{{sentAt, sentAt + waits}} }, forwarded, false},
	} {
		r, in := newJudged()
		a := &clientRequest{id: "1", class: "look", in: in, sent: sentAt, wait: waits, ended: sentAt + waits}
		c.change(a, in)
		if got := r.asAudited(a, c.sent).Excused; got != c.want {
			t.Errorf("%s: excused %v, want %v", name, got, c.want)
		}
	}
}

// The judge sees time that the client had not, attempts for clients that had gone, and the reverse of both.
func TestRecordsAreJudged(t *testing.T) {
	for name, c := range map[string]struct {
		rec  backend.Record
		left time.Duration
		want string
	}{
		"in order":           {backend.Record{ArrivedAt: sentAt + 200*time.Millisecond, Allowed: 800 * time.Millisecond}, 0, ""},
		"within the slack":   {backend.Record{ArrivedAt: sentAt + 200*time.Millisecond, Allowed: 990 * time.Millisecond}, 0, ""},
		"too much is told":   {backend.Record{ArrivedAt: sentAt + 300*time.Millisecond, Allowed: 910 * time.Millisecond}, 0, RuleDeadline},
		"soon after it left": {backend.Record{ArrivedAt: sentAt + 200*time.Millisecond, Allowed: 800 * time.Millisecond}, sentAt + 60*time.Millisecond, ""},
		"after it left":      {backend.Record{ArrivedAt: sentAt + 200*time.Millisecond, Allowed: 800 * time.Millisecond}, sentAt + 40*time.Millisecond, RuleClientsGone},
	} {
		r, in := newJudged()
		c.rec.ID = "1"
		r.judgeRecords([]backend.Record{c.rec}, map[string]*clientRequest{"1": {id: "1", in: in, sent: sentAt, wait: waits, left: c.left}})
		got := ""
		for _, f := range r.findings {
			got += f.Rule
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

// When an instance counts as told what its agent had.
func TestWhenItIsTold(t *testing.T) {
	const had = 20 * time.Second
	silent := func(from, to time.Duration) failure {
		return failure{instances: []int{0}, silent: true, from: had + from, to: had + to}
	}
	for name, c := range map[string]struct {
		failures []failure
		hangup   time.Duration // after had; 0: none
		asks     bool
		want     time.Duration // after had
	}{
		"at once":                         {nil, 0, false, 0},
		"asked for":                       {nil, 0, true, askedWithin},
		"in a long silence":               {[]failure{silent(-time.Second, 8*time.Second)}, 0, false, 8 * time.Second},
		"after a short silence, unheard":  {[]failure{silent(-time.Second, -time.Second/2)}, 0, false, silenceGrace - time.Second},
		"long after a silence":            {[]failure{silent(-9*time.Second, -8*time.Second)}, 0, false, 0},
		"in two silences in a row":        {[]failure{silent(-time.Second, 2*time.Second), silent(4*time.Second, 12*time.Second)}, 0, false, 12 * time.Second},
		"of another instance":             {[]failure{{instances: []int{1}, silent: true, from: had, to: had + time.Second}}, 0, false, 0},
		"in resets":                       {[]failure{{instances: []int{0}, from: had - time.Second, to: had + time.Second}}, 0, false, time.Second},
		"just before a new configuration": {nil, 100 * time.Millisecond, false, hangupGrace + 100*time.Millisecond},
	} {
		r, in := newJudged()
		r.failures, r.deployment.asks = c.failures, c.asks
		if c.hangup > 0 {
			in.hangups = []time.Duration{had + c.hangup}
		}
		if got := r.heardBy(0, had) - had; got != c.want {
			t.Errorf("%s: told after %v, want %v", name, got, c.want)
		}
	}
}

// A finding near a lateness of the observers is doubtful, another is not.
func TestLateObserversLeaveDoubt(t *testing.T) {
	r, _ := newJudged()
	r.findings = []Finding{{At: 10 * time.Second}, {At: 20 * time.Second}}
	r.doubtBy([]rulecheck.ObserverDelay{{At: 9500 * time.Millisecond, Delay: 2 * tolerance}, {At: 20 * time.Second, Delay: tolerance / 2}})
	if !r.findings[0].Doubtful || r.findings[1].Doubtful {
		t.Errorf("%+v", r.findings)
	}
}
