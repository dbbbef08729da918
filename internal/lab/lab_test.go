package lab

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"hitchspring/internal/lab/scenario"
	"hitchspring/internal/rulecheck"
)

// program builds the ingress once for all tests, and returns its path.
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "lab-test-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "hitchspring")
	return path, Build(context.Background(), path, false, "")
})

func TestMain(m *testing.M) {
	flag.Parse()
	if runtime.GOMAXPROCS(0) < 6 { // a run mostly waits and uses about a third of a core
		flag.Set("test.parallel", "6")
	}
	code := m.Run()
	if path, err := program(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	if code == 0 {
		if err := goleak.Find(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

// testConfig returns a short run with low load and a generous tolerance, because many runs share the machine.
func testConfig(t *testing.T) Config {
	t.Helper()
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	return Config{Ingress: path, Scenario: "calm", Seed: 7, For: 5 * time.Second, Rate: 0.6, HotQuotaFactor: 8.4, Tolerance: time.Second}
}

// maxRuns bounds how often a run is repeated because the machine stalled for longer than the tolerance, which makes its
// times meaningless.
const maxRuns = 3

func runUntilOnTime(t *testing.T, cfg Config) *Report {
	t.Helper()
	for n := 1; ; n++ {
		r, err := Run(t.Context(), cfg)
		if err != nil {
			t.Fatal(err)
		}
		late := time.Duration(r.ObserverDelayMS * float64(ms))
		if cfg.Tolerance == 0 || late <= cfg.Tolerance || n == maxRuns {
			return r
		}
		t.Logf("seed %d: the machine stalled for %v, repeating the run", cfg.Seed, late)
	}
}

// requireRules fails the test if one of the five rules was violated. RuleQuotas does not apply, because some runs lose
// the store.
func requireRules(t *testing.T, r *Report) {
	t.Helper()
	violations := len(r.Crashed)
	for _, violation := range r.Violations {
		if violation.Rule != RuleQuotas {
			violations++
		}
	}
	if violations > 0 || r.Attempts < 300 {
		t.Errorf("seed %d: %d attempts, %s", r.Seed, r.Attempts, r.Text())
	}
}

// Checks that ceilings and the other rules hold during each fault of the store, with three instances that all get
// requests of one storby tenant far above its quota.
func TestRulesUnderStoreFaults(t *testing.T) {
	faults := []string{
		"none", "stall 1500ms", "silent 1500ms", "stop 1500ms", "restart 300ms", "load 1500ms", "full 1500ms", "readonly 1500ms", "kick", "flush", "forget-scripts",
		"failover", "failover split", "hold 70ms for 2s on EVALSHA", "delay 90ms for 2s on EVALSHA", "drop-after for 2s on EVALSHA share 0.05", "drop-before for 2s on EVALSHA share 0.05",
		"ignore for 2s on EVALSHA share 0.05", "swallow for 2s on EVALSHA share 0.05", "repeat for 2s on EVALSHA share 0.05", "swap for 2s on EVALSHA share 0.05", "cut for 2s on EVALSHA share 0.05",
		"late 200ms for 2s on EVALSHA share 0.05", "fail for 2s on EVALSHA text OOM command not allowed when used memory > 'maxmemory'.",
	}
	for i, f := range faults {
		t.Run(f, func(t *testing.T) {
			t.Parallel()
			cfg := testConfig(t)
			cfg.Seed += uint64(i)
			cfg.Store = scenario.StoreRedis
			if strings.HasPrefix(f, "failover") {
				cfg.Store = scenario.StoreSentinel
				cfg.Faults = []string{"store:lag 500ms at 500ms"}
			}
			if f != "none" {
				cfg.Faults = append(cfg.Faults, "store:"+f+" at 1500ms")
			}
			requireRules(t, runUntilOnTime(t, cfg))
		})
	}
}

// Checks the rules with the platform's own counter, and with faults of backends, zones, discovery and instances.
func TestRulesUnderOtherFaults(t *testing.T) {
	for i, faults := range [][]string{
		{"store:stall 1s at 1s", "store:restart 200ms at 3s"},
		{"node/1:drain at 500ms", "node/2:slow 6 2s at 1s", "node/3:stop at 1s", "node/4:restart at 1s", "node/5:unlist at 1s"},
		{"node/1:pause 700ms at 1s", "node/2:neighbour 0.6 500ms 300ms 3s at 1s", "node/4:cut 1 1s at 1s", "fleet:slow 2 1s at 2s"},
		{"hall/a:out 1500ms at 1s", "hall/b:slow 5 1s at 2s", "hall/c:drain at 500ms", "hall/c:serve at 1500ms"},
		{"ingress/0:restart 300ms at 1s", "ingress/1:term at 2s", "discovery/2:mute 2s at 500ms"},
	} {
		t.Run(strings.Join(faults, " "), func(t *testing.T) {
			t.Parallel()
			cfg := testConfig(t)
			cfg.Seed += 50 + uint64(i)
			cfg.Faults = faults
			requireRules(t, runUntilOnTime(t, cfg))
		})
	}
}

// Checks that every rule holds and neither front end is favoured when RESP2 and HTTP clients of one storby tenant both
// request far more than its quota, while gates time out, die after the grant, or report twice, late or never.
func TestBothFronts(t *testing.T) {
	for i, faults := range [][]string{nil, {"drop-before share 0.1"}, {"drop-after share 0.03"}, {"repeat share 0.3"}, {"late 700ms share 0.1"}, {"swallow share 0.03"}, {"delay 800ms share 0.05"}} {
		t.Run(fmt.Sprint(faults), func(t *testing.T) {
			t.Parallel()
			cfg := testConfig(t)
			cfg.Seed += 80 + uint64(i)
			cfg.HTTPShare, cfg.GateFaultRules = 0.5, faults
			cfg.Faults = []string{"node/1:drain at 500ms", "node/4:restart at 1s", "node/2:drop-after for 2s share 0.2 at 1s", "node/5:drop-before for 2s share 0.2 at 1s"}
			r := runUntilOnTime(t, cfg)
			requireRules(t, r)
			a, h := r.Fronts["resp"], r.Fronts["http"]
			if a.Requested == 0 || h.Requested == 0 || h.Served == 0 {
				t.Fatalf("seed %d: %+v", r.Seed, r.Fronts)
			}
			if faults == nil && (h.Served/h.Requested < 0.6*a.Served/a.Requested || a.Served/a.Requested < 0.6*h.Served/h.Requested) {
				t.Errorf("seed %d: one front end is favoured: %+v", r.Seed, r.Fronts)
			}
		})
	}
}

// A backend that records arrivals late causes no violation: an attempt that is given up long before the backend reads
// it was still sent in time.
func TestDelayIsNoViolation(t *testing.T) {
	t.Parallel()
	cfg := testConfig(t)
	cfg.Tolerance = 0
	cfg.Faults = []string{"node/7:delay 300ms for 3s share 0.5 at 1s", "node/4:delay 1200ms for 3s share 0.2 at 1s"}
	r := runUntilOnTime(t, cfg)
	if n := r.Rules[rulecheck.NoRequestLost]; n > 0 && len(r.Doubts()) == 0 {
		t.Fatal(r.Text())
	}
}

// A run during which the machine does not schedule the testbed is inconclusive, and no violation is reported.
func TestTestbedPauseIsInconclusive(t *testing.T) {
	cfg := testConfig(t)
	cfg.Tolerance, cfg.For, cfg.HotQuotaFactor = 0, 0, 0
	cfg.Scenario = filepath.Join(t.TempDir(), "pause.toml")
	if err := os.WriteFile(cfg.Scenario, []byte("length = \"3s\"\nfaults = [\"lab:pause 200ms at 1s\"]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	r := runUntilOnTime(t, cfg)
	if r.Code() != Unjudged || r.ObserverDelayMS < 150 || !strings.Contains(r.Text(), "CAN'T JUDGE: the lab itself stood still") {
		t.Fatal(r.Code(), r.Text())
	}
}

// A run that does not meet the requirements of its scenario is inconclusive and says which.
func TestUnexercisedScenarioIsInconclusive(t *testing.T) {
	t.Parallel()
	cfg := testConfig(t)
	cfg.Scenario, cfg.For, cfg.HotQuotaFactor, cfg.Rate = "maintenance", 3*time.Second, 0, 0.3
	if _, err := Run(t.Context(), cfg); err == nil || !strings.Contains(err.Error(), "after the day's end at 3s") {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "quiet.toml")
	if err := os.WriteFile(file, []byte("load = 0.1\nlength = \"1s\"\n[must]\ndrains = 1\ncold_sends = 5\nceiling = -0.1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg.Scenario, cfg.For = file, 0
	r := runUntilOnTime(t, cfg)
	if r.Code() != Unjudged || len(r.Unmet) != 3 || !strings.Contains(r.Text(), "CAN'T JUDGE: sends to cold nodes: 0, the day wants 5") {
		t.Fatal(r.Code(), r.Unmet)
	}
}

// The arrivals depend only on the seed, and the load is that of the scenario.
func TestArrivalsAreDeterministic(t *testing.T) {
	draw := func(seed uint64) (*Testbed, *load) {
		d, err := scenario.Load("evening")
		if err != nil {
			t.Fatal(err)
		}
		tb := newTestbed(Config{Seed: seed, Rate: 1}, d)
		if err := tb.openFleet(); err != nil {
			t.Fatal(err)
		}
		defer tb.close()
		return tb, newLoad(tb)
	}
	tb, a := draw(3)
	_, b := draw(3)
	_, c := draw(4)
	if len(a.arrivals) == 0 || len(a.arrivals) != len(b.arrivals) || len(a.arrivals) == len(c.arrivals) {
		t.Fatal(len(a.arrivals), len(b.arrivals), len(c.arrivals))
	}
	inside := 0.0
	for i, x := range a.arrivals {
		y := b.arrivals[i]
		if x.due != y.due || x.sender.id != y.sender.id || x.class.name != y.class.name || x.target != y.target || x.seed != y.seed {
			t.Fatal(i, x, y)
		}
		if i > 0 && x.due < a.arrivals[i-1].due {
			t.Fatal("arrivals are not in order of time")
		}
	}
	for _, sender := range a.tenants {
		inside += sender.plan.refillRate * min(1, sender.demand)
	}
	units, work := mean(tb.classes)
	if load := inside / units * work.Seconds() / tb.capacity; load < 0.899 || load > 0.901 {
		t.Fatal(load)
	}
}
