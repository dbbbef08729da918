package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"hitchspring/internal/slowstart"
	"hitchspring/internal/standin/backend"
)

// slowStartReturn is a run of many real processes in which one backend returns in slow start during a burst. All
// instances are notified of it at once.
type slowStartReturn struct {
	seed        uint64
	instances   int
	burstFactor float64 // arrival rate in the burst, relative to the usual rate
	work        float64 // work of a request, relative to the usual; more work overloads a backend with fewer requests
	program     string  // path of the ingress program; empty: that of this module
}

const (
	replacedBackend     = 4 // index of the returning backend
	replacementBackends = 9
	usualLoad           = 0.4             // of the capacity of the fleet, outside the burst
	removedAt           = 4 * time.Second // after the start of the load
	returnedAt          = 5 * time.Second // the burst starts at the same time
	burstEndsAt         = 8 * time.Second
	loadEndsAt          = 9 * time.Second
	calmScenarioLoad    = 0.5 // load of calmScenario
	calmScenario        = "calm"
	minReturnAttempts   = 1
)

// Checks that 24 real processes together send a backend that returns in slow start during a burst no more work than the
// overload limit of the settings allows, counted at the backend.
func TestSlowStartAcrossManyInstances(t *testing.T) {
	cases := []slowStartReturn{{seed: 1, instances: 24, burstFactor: 3, work: 3}}
	if os.Getenv("HITCHSPRING_TRIALS") != "" { // each case runs 24 processes beside all other tests
		cases = nil
		for seed := range uint64(3) {
			for _, burstFactor := range []float64{1.5, 4.7} {
				for _, work := range []float64{1, 3} {
					cases = append(cases, slowStartReturn{seed: seed + 1, instances: 24, burstFactor: burstFactor, work: work})
				}
			}
		}
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("seed %d, burst %v, work %v", c.seed, c.burstFactor, c.work), func(t *testing.T) {
			peak, calls := c.play(t)
			t.Logf("%d attempts at the returning backend, peak %v", calls, peak)
			if calls < minReturnAttempts {
				t.Errorf("got %d attempts at the returning backend, too few for a check", calls)
			}
			if peak.IsOverload() {
				t.Errorf("the returning backend was overloaded: %v", peak)
			}
		})
	}
}

// fullCapacityEdits returns the edits after which each process uses the full capacity of a backend in slow start.
func fullCapacityEdits() []sourceEdit {
	return []sourceEdit{
		{"policy/slow_start.go", "return e.refillSlowStartTokens() >= 1 && e.now-b.lastSent > slowStartInterval", "return true"},
		{"policy/selection.go", "	score := e.currentSlowness(b)\n", "	score := e.currentSlowness(b) * math.Pow(e.capacityShare(b), 4)\n"},
	}
}

// Checks that the overload check detects processes that each use the full capacity of a backend in slow start and prefer it
// to others. Without the preference, the backend's even share of the burst stays below the limit.
func TestSlowStartCheckDetectsFullCapacityUse(t *testing.T) {
	if os.Getenv("HITCHSPRING_TRIALS") == "" { // builds a program and runs 24 processes
		t.Skip("HITCHSPRING_TRIALS is not set")
	}
	program := buildEdited(t, fullCapacityEdits()...)
	peak, calls := slowStartReturn{seed: 1, instances: 24, burstFactor: 4.7, work: 3, program: program}.play(t)
	t.Logf("%d attempts at the returning backend, peak %v", calls, peak)
	if !peak.IsViolation() {
		t.Errorf("the returning backend got %v: the defect was not detected", peak)
	}
}

// play runs it, and returns the peak load of the returning backend and its number of attempts.
func (c slowStartReturn) play(t *testing.T) (slowstart.Peak, int) {
	t.Helper()
	cfg := testConfig(t)
	cfg.Seed, cfg.Scenario, cfg.For, cfg.HotQuotaFactor = c.seed, calmScenario, loadEndsAt, 0
	cfg.Ingresses, cfg.Backends, cfg.Rate = c.instances, replacementBackends, c.burstFactor*usualLoad/calmScenarioLoad
	if c.program != "" {
		cfg.Ingress = c.program
	}
	var returning *backend.Fleet
	cfg.Watch = func(ctx context.Context, tb *Testbed) {
		if err := c.replaceBackend(ctx, tb, returning); err != nil {
			tb.recordFailure(err)
		}
	}
	scenarioConfig, err := cfg.resolve()
	if err != nil {
		t.Fatal(err)
	}
	tb := newTestbed(cfg, scenarioConfig)
	defer tb.close()
	for i := range tb.classes {
		minWork, maxWork := &tb.classes[i].work.Min, &tb.classes[i].work.Max
		*minWork, *maxWork = time.Duration(c.work*float64(*minWork)), time.Duration(c.work*float64(*maxWork))
	}
	// The returning backend is in a fleet of its own without overload, so that it records attempts beyond the limit too.
	returning = backend.NewFleet(c.rules(tb), c.seed, tb.clock)
	defer returning.Close()
	if err := tb.open(t.Context()); err != nil {
		t.Fatal(err)
	}
	c.thinOutsideBurst(tb)
	if _, err := tb.play(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	return c.check(t, tb, returning)
}

// rules returns the rules of the returning backend.
func (c slowStartReturn) rules(tb *Testbed) backend.Rules {
	work := map[string]backend.Work{}
	for _, k := range tb.classes {
		work[k.name] = k.work
	}
	return backend.Rules{
		Work: work, KeyRetention: idempotencyWindow, SlowStartShare: slowStartShare, SlowStartWindow: slowStartWindow, MaxConnections: 1500, ConnWork: ms, Knee: 8,
		LossAboveKnee: 0.03,
	}
}

// thinOutsideBurst thins the arrivals, which are drawn at the rate of the burst, to the usual rate outside of it.
func (c slowStartReturn) thinOutsideBurst(tb *Testbed) {
	rng := rand.New(rand.NewPCG(c.seed, 77))
	tb.load.arrivals = slices.DeleteFunc(tb.load.arrivals, func(a arrival) bool {
		return (a.due < returnedAt || a.due >= burstEndsAt) && rng.Float64() > 1/c.burstFactor
	})
}

// replaceBackend removes the backend and later starts it in slow start. All instances are notified of both at once.
func (c slowStartReturn) replaceBackend(ctx context.Context, tb *Testbed, returning *backend.Fleet) error {
	if !tb.WaitUntil(ctx, removedAt) {
		return nil
	}
	n, target := tb.backendAt(replacedBackend)
	tb.stopBackend(replacedBackend)
	target.State = "DELETED"
	tb.registry.Set(target, true)
	if !tb.WaitUntil(ctx, returnedAt) {
		return nil
	}
	host, err := tb.nextHost()
	if err != nil {
		return err
	}
	replacement, err := returning.Add(n.Spec, host, true, c.instances)
	if err != nil {
		return err
	}
	target.State, target.BootMS = "SERVING", time.Now().UnixMilli()
	target.Endpoints = replacement.Addrs()
	target.Endpoint = target.Endpoints[0]
	tb.registry.Set(target, true)
	return nil
}

// check computes the peak load of the returning backend in a sliding window, from its records. Each attempt counts as
// the mean work of its class.
func (c slowStartReturn) check(t *testing.T, tb *Testbed, returning *backend.Fleet) (slowstart.Peak, int) {
	t.Helper()
	nodes := returning.Backends()
	if len(nodes) != 1 {
		t.Fatalf("got %d returning backends, want 1", len(nodes))
	}
	rule := slowstart.Rule{InitialShare: slowStartShare, Window: slowStartWindow, OverloadMultiple: overloadMultiple, Span: time.Second}
	meanWorkOf := map[string]float64{}
	for _, k := range tb.classes {
		meanWorkOf[k.name] = (k.work.Min + k.work.Max).Seconds() / 2
	}
	_, meanWork := mean(tb.classes)
	spec := nodes[0].Spec
	backend := slowstart.Backend{Started: tb.load.startedAt + returnedAt, Capacity: float64(spec.Cores) * spec.Speed, MeanWork: meanWork.Seconds()}
	var arrivals []slowstart.Arrival
	for _, r := range returning.Records(0) {
		arrivals = append(arrivals, slowstart.Arrival{At: r.ArrivedAt, Work: meanWorkOf[r.Class], Instance: r.Instance, Notified: true})
	}
	peak, err := rule.Peak(backend, arrivals)
	if err != nil {
		t.Fatal(err)
	}
	return peak, len(arrivals)
}
