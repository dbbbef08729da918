package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"hitchspring/internal/rulecheck"
	"hitchspring/internal/standin/backend"
)

const (
	zones          = 3
	maxUnits       = 4
	ceilingSlack   = 0.1
	coldShare      = 0.25
	warmAfter      = 6 * time.Second
	fallMultiple   = 4
	drainGrace     = 2 * time.Second
	memoryMB       = 64
	mostSockets    = 512
	connectTimeout = 250 * time.Millisecond
	counterTimeout = 80 * time.Millisecond
)

// The effects of a class, as the settings word them.
const (
	safe   = "read_like"
	keyed  = "idempotency_key"
	unsafe = "non_idempotent"
)

// class is a class of requests of a run.
type class struct {
	name, effect string
	share        float64 // of the requests
	work         backend.Work
	aim          time.Duration
	deadline     time.Duration
	units        int
}

// plan is a plan of a run; a ceiling of 0 is none.
type plan struct {
	name                       string
	rate, burst                float64
	ceilingRate, ceilingBurst  float64
	open                       int
	excessWorth, excessPenalty float64
}

// deployment is what a run's seed draws of the settings.
type deployment struct {
	classes  []class
	plans    []plan
	group    string        // of the backends that drop repeats of a key
	window   time.Duration // for so long
	parallel bool          // a request may have two attempts out
	cancel   bool          // attempts may be called off
	connIdle time.Duration
	backends int
	asks     bool // instances ask discovery for the list, which is not pushed
}

// drawDeployment draws the settings of a run.
func drawDeployment(rng *rand.Rand) deployment {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least)))
	}
	classes := []class{
		{name: "look", effect: safe, share: 0.5, work: backend.Work{Min: 8 * time.Millisecond, Max: 25 * time.Millisecond}, units: 1, deadline: between(700*time.Millisecond, 1500*time.Millisecond)},
		{name: "put", effect: keyed, share: 0.3, work: backend.Work{Min: 15 * time.Millisecond, Max: 40 * time.Millisecond}, units: 2, deadline: between(time.Second, 3*time.Second)},
		{name: "fire", effect: unsafe, share: 0.2, work: backend.Work{Min: 10 * time.Millisecond, Max: 30 * time.Millisecond}, units: 3, deadline: between(800*time.Millisecond, 3*time.Second)},
	}
	for i := range classes {
		classes[i].aim = classes[i].deadline / 2
	}
	return deployment{
		classes: classes,
		plans: []plan{
			{name: "small", rate: 4, burst: 12, excessPenalty: 0.8},
			{name: "large", rate: 20, burst: 30, ceilingRate: 20 * (1.7 + 0.6*rng.Float64()), ceilingBurst: 54, open: 12, excessPenalty: 0.6},
		},
		group:    []string{"cell", "zone"}[rng.IntN(2)],
		window:   between(900*time.Millisecond, 3*time.Second),
		parallel: rng.Float64() < 0.7,
		cancel:   rng.Float64() < 0.8,
		connIdle: between(2*time.Second, 15*time.Second),
		backends: 12 + rng.IntN(8),
		asks:     rng.IntN(4) == 0,
	}
}

// longest is the longest deadline of a class.
func (d *deployment) longest() (longest time.Duration) {
	for _, c := range d.classes {
		longest = max(longest, c.deadline)
	}
	return longest
}

// draw draws the class of a request.
func (d *deployment) draw(rng *rand.Rand) *class {
	x := rng.Float64()
	for i := range d.classes {
		if x < d.classes[i].share {
			return &d.classes[i]
		}
		x -= d.classes[i].share
	}
	return &d.classes[0]
}

// rack is the group of backends that share their memory of keys.
func (d *deployment) rack(backend int) int {
	if d.group == "zone" {
		return backend % zones
	}
	return backend % (2 * zones)
}

// spec is one backend.
func (d *deployment) spec(index int) backend.Spec {
	return backend.Spec{ID: fmt.Sprintf("b-%02d", index), Zone: fmt.Sprint("z", index%zones), Kind: "std", Rack: d.rack(index), Cores: 2, Speed: 1, QueueCapacity: 40}
}

// nodeRules are the figures that hold for all backends.
func (d *deployment) nodeRules() backend.Rules {
	work := map[string]backend.Work{}
	for _, c := range d.classes {
		work[c.name] = c.work
	}
	return backend.Rules{
		Work: work, KeyMemory: d.window, SlowStartShare: coldShare, SlowStartWindow: warmAfter, OverloadMultiple: fallMultiple, OverloadSpan: time.Second,
		OverloadSlack: 50 * time.Millisecond, MaxConnections: 1500,
	}
}

// auditRules are the figures of the five rules.
func (d *deployment) auditRules() rulecheck.Rules {
	rules := rulecheck.DefaultRules()
	rules.Tolerance = tolerance
	rules.KeyMemory, rules.DrainGrace = d.window, drainGrace
	rules.CeilingSlack, rules.MaxUnits = ceilingSlack, maxUnits
	rules.Classes, rules.Ceilings = map[string]rulecheck.Effect{}, map[string]rulecheck.Ceiling{}
	for _, c := range d.classes {
		rules.Classes[c.name] = map[string]rulecheck.Effect{safe: rulecheck.Safe, keyed: rulecheck.Keyed, unsafe: rulecheck.Unsafe}[c.effect]
	}
	for _, p := range d.plans {
		if p.ceilingRate > 0 {
			rules.Ceilings[p.name] = rulecheck.Ceiling{Rate: p.ceilingRate, Burst: p.ceilingBurst}
		}
	}
	return rules
}

// settings is the platform's object of settings for one instance of so many.
func (d *deployment) settings(me, instances int) map[string]any {
	us := func(span time.Duration) int64 { return span.Microseconds() }
	var classes, plans []any
	for _, c := range d.classes {
		classes = append(classes, map[string]any{
			"name": c.name, "value": 1 + c.units, "objectiveUs": us(c.aim), "deadlineUs": us(c.deadline), "lateShare": 0.1,
			"effect": c.effect, "group": d.group, "windowUs": us(d.window),
		})
	}
	for _, p := range d.plans {
		plans = append(plans, map[string]any{
			"name": p.name, "price": 1, "refill": p.rate, "burst": p.burst, "concurrency": p.open, "excessWorth": p.excessWorth,
			"excessCost": p.excessPenalty, "hardRate": p.ceilingRate, "capDepth": p.ceilingBurst, "tolerance": ceilingSlack,
		})
	}
	mode := "push"
	if d.asks {
		mode = "subscribe"
	}
	return map[string]any{
		"me": me, "replicasOfMe": instances, "myZone": fmt.Sprint("z", me%zones), "registryMode": mode, "classes": classes, "contracts": plans,
		"familyInfo": map[string]any{"counterTimeoutUs": us(counterTimeout), "maxUnits": maxUnits, "sharedCounter": true},
		"permissions": map[string]any{
			"connIdleUs": us(d.connIdle), "connectTimeoutUs": us(connectTimeout), "maxOpen": 20000, "maxAttempts": 6,
			"maxRetryAfterUs": us(500 * time.Millisecond), "mayCancel": d.cancel, "probing": true, "parallelTries": d.parallel, "retryAfter": true,
		},
		"invariants": map[string]any{"coldFrom": coldShare, "warmAfterUs": us(warmAfter), "fallMultiple": fallMultiple, "fallUs": us(time.Second), "drainGraceUs": us(drainGrace)},
	}
}

// config is the configuration of one instance, as JSON.
func (d *deployment) config(me, instances int, seed uint64, listen, admin, discovery, counter string) ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": fmt.Sprint("n", me), "listen": listen, "admin_addr": admin, "discovery": discovery, "counter": counter, "seed": fmt.Sprintf("%x", seed),
		"limits":   map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": mostSockets},
		"known":    map[string]any{"rev": 0, "all": true, "targets": []any{}},
		"settings": d.settings(me, instances),
	})
}
