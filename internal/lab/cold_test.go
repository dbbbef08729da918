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

// slowStartReturn is a run of many real processes in which one node comes back cold, told to all at once, under a burst.
type slowStartReturn struct {
	seed        uint64
	instances   int
	burstFactor float64 // slowness the usual arrivals, in the burst
	work        float64 // burstFactor the usual work of a request: the heavier, the fewer a cold node bears
	program     string  // the ingress; empty: this module's
}

const (
	replacedBackend     = 4 // the node that returns
	replacementBackends = 9
	usualLoad           = 0.4             // slowness what the fleet can do, outside the burst
	removedAt           = 4 * time.Second // after the load's beginning
	returnedAt          = 5 * time.Second // then the burst begins too
	burstEndsAt         = 8 * time.Second
	loadEndsAt          = 9 * time.Second
	calmScenarioLoad    = 0.5 // slowness the day that is played
	calmScenario        = "calm"
	minReturnAttempts   = 1
)

// Within the span that the settings name, a node that returns cold under a burst gets no more from 24 real processes together than
// its budget and what is left to chance, as its own observer counts.
func TestSlowStartAcrossManyInstances(t *testing.T) {
	cases := []slowStartReturn{{seed: 1, instances: 24, burstFactor: 3, work: 3}}
	if os.Getenv("HITCHSPRING_TRIALS") != "" { // 24 processes for each, beside all other tests
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
			t.Logf("%d attempts at the cold node, nearest %v", calls, peak)
			if calls < minReturnAttempts {
				t.Errorf("%d attempts came to the cold node: the run shows nothing", calls)
			}
			if peak.IsOverload() {
				t.Errorf("the cold node got %v", peak)
			}
		})
	}
}

// fullCapacityEdits are the edits after which each process takes the whole of a cold node's space.
func fullCapacityEdits() []sourceEdit {
	return []sourceEdit{
		{"policy/slow_start.go", "return e.refillSlowStartTokens() >= 1 && e.now-b.lastSent > slowStartInterval", "return true"},
		{"policy/selection.go", "	score := e.currentSlowness(b)\n", "	score := e.currentSlowness(b) * math.Pow(e.capacityShare(b), 4)\n"},
	}
}

// Processes that each take the whole of a cold node's space, and take it first, are seen at its observer. Without the second a node's
// even part of a burst stays under the limit, whatever each takes.
func TestSlowStartCheckDetectsFullCapacityUse(t *testing.T) {
	if os.Getenv("HITCHSPRING_TRIALS") == "" { // it builds a program, and runs 24 processes
		t.Skip("HITCHSPRING_TRIALS is not set")
	}
	program := buildEdited(t, fullCapacityEdits()...)
	peak, calls := slowStartReturn{seed: 1, instances: 24, burstFactor: 4.7, work: 3, program: program}.play(t)
	t.Logf("%d attempts at the cold node, nearest %v", calls, peak)
	if !peak.IsViolation() {
		t.Errorf("the cold node got %v: the defect is not seen", peak)
	}
}

// runUntilOnTime runs it, and returns what the cold node got at its nearest to the limit, and in all.
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
	// The node that returns is of a fleet of its own, in which none falls: all that comes is seen, also beyond the limit.
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

// rules are those of the cold node.
func (c slowStartReturn) rules(tb *Testbed) backend.Rules {
	work := map[string]backend.Work{}
	for _, k := range tb.classes {
		work[k.name] = k.work
	}
	return backend.Rules{
		Work: work, KeyMemory: idempotencyWindow, SlowStartShare: slowStartShare, SlowStartWindow: slowStartWindow, MaxConnections: 1500, ConnWork: ms, Knee: 8,
		LossBeyond: 0.03,
	}
}

// thinOutsideBurst leaves outside the burst as many of the arrivals, which are drawn for it, as are usual.
func (c slowStartReturn) thinOutsideBurst(tb *Testbed) {
	rng := rand.New(rand.NewPCG(c.seed, 77))
	tb.load.arrivals = slices.DeleteFunc(tb.load.arrivals, func(a arrival) bool {
		return (a.due < returnedAt || a.due >= burstEndsAt) && rng.Float64() > 1/c.burstFactor
	})
}

// replaceBackend takes the node away and starts it cold; all processes are told of both at once.
func (c slowStartReturn) replaceBackend(ctx context.Context, tb *Testbed, returning *backend.Fleet) error {
	if !sleepUntil(ctx, tb, removedAt) {
		return nil
	}
	n, target := tb.backendAt(replacedBackend)
	tb.stopBackend(replacedBackend)
	target.State = "DELETED"
	tb.registry.Set(target, true)
	if !sleepUntil(ctx, tb, returnedAt) {
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

// sleepUntil waits for a time after the load's beginning; false: the run ends before.
func sleepUntil(ctx context.Context, tb *Testbed, at time.Duration) bool {
	timer := time.NewTimer(tb.load.startedAt + at - tb.clock())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// check slides the settings' window over what the cold node's observer saw. Each attempt counts as the mean work of its class.
func (c slowStartReturn) check(t *testing.T, tb *Testbed, returning *backend.Fleet) (slowstart.Peak, int) {
	t.Helper()
	nodes := returning.Backends()
	if len(nodes) != 1 {
		t.Fatalf("%d nodes came back", len(nodes))
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
