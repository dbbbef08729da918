package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"hitchspring/internal/rulecheck"
	"hitchspring/internal/standin/backend"
)

// The constants of every deployment.
const (
	zones            = 3
	maxUnits         = 4
	ceilingSlack     = 0.1  // fraction by which a ceiling may be exceeded
	slowStartShare   = 0.25 // of the capacity, that a backend has when it starts
	slowStartWindow  = 6 * time.Second
	overloadMultiple = 4
	drainGrace       = 2 * time.Second
	memoryMB         = 64
	maxSockets       = 512
	connectTimeout   = 250 * time.Millisecond
	counterTimeout   = 80 * time.Millisecond
)

// The effects of a class, as the settings name them.
const (
	effectSafe   = "read_like"
	effectKeyed  = "idempotency_key"
	effectUnsafe = "non_idempotent"
)

// class is a class of requests.
type class struct {
	name, effect string
	share        float64 // of the requests
	work         backend.Work
	objective    time.Duration
	deadline     time.Duration
	units        int
}

// plan is a plan of tenants. A ceilingRate of 0 means that it has no ceiling.
type plan struct {
	name                       string
	rate, burst                float64
	ceilingRate, ceilingBurst  float64
	concurrency                int
	excessWorth, excessPenalty float64
}

// deployment is the settings of a run, drawn from its seed.
type deployment struct {
	classes          []class
	plans            []plan
	keyGroup         string        // cell or zone: whose backends share their memory of idempotency keys
	keyMemory        time.Duration // how long they remember a key
	parallelAttempts bool          // a request may have two attempts in flight
	mayCancel        bool          // attempts may be cancelled
	connIdle         time.Duration
	backends         int
	polls            bool // instances poll discovery for the endpoint list, which is pushed otherwise
}

// drawDeployment draws a deployment.
func drawDeployment(rng *rand.Rand) deployment {
	between := func(shortest, longest time.Duration) time.Duration {
		return shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
	}
	classes := []class{
		{name: "look", effect: effectSafe, share: 0.5, work: backend.Work{Min: 8 * time.Millisecond, Max: 25 * time.Millisecond}, units: 1, deadline: between(700*time.Millisecond, 1500*time.Millisecond)},
		{name: "put", effect: effectKeyed, share: 0.3, work: backend.Work{Min: 15 * time.Millisecond, Max: 40 * time.Millisecond}, units: 2, deadline: between(time.Second, 3*time.Second)},
		{name: "fire", effect: effectUnsafe, share: 0.2, work: backend.Work{Min: 10 * time.Millisecond, Max: 30 * time.Millisecond}, units: 3, deadline: between(800*time.Millisecond, 3*time.Second)},
	}
	for i := range classes {
		classes[i].objective = classes[i].deadline / 2
	}
	return deployment{
		classes: classes,
		plans: []plan{
			{name: "small", rate: 4, burst: 12, excessPenalty: 0.8},
			{name: "large", rate: 20, burst: 30, ceilingRate: 20 * (1.7 + 0.6*rng.Float64()), ceilingBurst: 54, concurrency: 12, excessPenalty: 0.6},
		},
		keyGroup:         []string{"cell", "zone"}[rng.IntN(2)],
		keyMemory:        between(900*time.Millisecond, 3*time.Second),
		parallelAttempts: rng.Float64() < 0.7,
		mayCancel:        rng.Float64() < 0.8,
		connIdle:         between(2*time.Second, 15*time.Second),
		backends:         12 + rng.IntN(8),
		polls:            rng.IntN(4) == 0,
	}
}

// maxDeadline returns the longest deadline of the classes.
func (d *deployment) maxDeadline() (maxDeadline time.Duration) {
	for _, c := range d.classes {
		maxDeadline = max(maxDeadline, c.deadline)
	}
	return maxDeadline
}

// drawClass draws the class of a request by the shares of the classes.
func (d *deployment) drawClass(rng *rand.Rand) *class {
	x := rng.Float64()
	for i := range d.classes {
		if x < d.classes[i].share {
			return &d.classes[i]
		}
		x -= d.classes[i].share
	}
	return &d.classes[0]
}

// rack returns the number of the group with which a backend shares its memory of keys.
func (d *deployment) rack(backend int) int {
	if d.keyGroup == "zone" {
		return backend % zones
	}
	return backend % (2 * zones)
}

// backendSpec returns the specification of a backend.
func (d *deployment) backendSpec(index int) backend.Spec {
	return backend.Spec{ID: fmt.Sprintf("b-%02d", index), Zone: fmt.Sprint("z", index%zones), Kind: "std", Rack: d.rack(index), Cores: 2, Speed: 1, QueueCapacity: 40}
}

// backendRules returns the rules that hold for all backends.
func (d *deployment) backendRules() backend.Rules {
	work := map[string]backend.Work{}
	for _, c := range d.classes {
		work[c.name] = c.work
	}
	return backend.Rules{
		Work: work, KeyRetention: d.keyMemory, SlowStartShare: slowStartShare, SlowStartWindow: slowStartWindow, OverloadMultiple: overloadMultiple, OverloadSpan: time.Second,
		OverloadSlack: 50 * time.Millisecond, MaxConnections: 1500,
	}
}

// checkerRules returns the limits of the rule checker.
func (d *deployment) checkerRules() rulecheck.Rules {
	rules := rulecheck.DefaultRules()
	rules.Tolerance = tolerance
	rules.KeyRetention, rules.DrainGrace = d.keyMemory, drainGrace
	rules.CeilingSlack, rules.MaxUnits = ceilingSlack, maxUnits
	rules.Classes, rules.Ceilings = map[string]rulecheck.Effect{}, map[string]rulecheck.Ceiling{}
	for _, c := range d.classes {
		rules.Classes[c.name] = map[string]rulecheck.Effect{effectSafe: rulecheck.Safe, effectKeyed: rulecheck.Keyed, effectUnsafe: rulecheck.Unsafe}[c.effect]
	}
	for _, p := range d.plans {
		if p.ceilingRate > 0 {
			rules.Ceilings[p.name] = rulecheck.Ceiling{Rate: p.ceilingRate, Burst: p.ceilingBurst}
		}
	}
	return rules
}

// settings returns the platform's settings for one of several instances.
func (d *deployment) settings(index, instances int) map[string]any {
	microseconds := func(span time.Duration) int64 { return span.Microseconds() }
	var classes, plans []any
	for _, c := range d.classes {
		classes = append(classes, map[string]any{
			"name": c.name, "value": 1 + c.units, "objectiveUs": microseconds(c.objective), "deadlineUs": microseconds(c.deadline), "lateShare": 0.1,
			"effect": c.effect, "group": d.keyGroup, "windowUs": microseconds(d.keyMemory),
		})
	}
	for _, p := range d.plans {
		plans = append(plans, map[string]any{
			"name": p.name, "price": 1, "refill": p.rate, "burst": p.burst, "concurrency": p.concurrency, "excessWorth": p.excessWorth,
			"excessCost": p.excessPenalty, "hardRate": p.ceilingRate, "capDepth": p.ceilingBurst, "tolerance": ceilingSlack,
		})
	}
	mode := "push"
	if d.polls {
		mode = "subscribe"
	}
	return map[string]any{
		"me": index, "replicasOfMe": instances, "myZone": fmt.Sprint("z", index%zones), "registryMode": mode, "classes": classes, "contracts": plans,
		"familyInfo": map[string]any{"counterTimeoutUs": microseconds(counterTimeout), "maxUnits": maxUnits, "sharedCounter": true},
		"permissions": map[string]any{
			"connIdleUs": microseconds(d.connIdle), "connectTimeoutUs": microseconds(connectTimeout), "maxOpen": 20000, "maxAttempts": 6,
			"maxRetryAfterUs": microseconds(500 * time.Millisecond), "mayCancel": d.mayCancel, "probing": true, "parallelTries": d.parallelAttempts, "retryAfter": true,
		},
		"invariants": map[string]any{"coldFrom": slowStartShare, "warmAfterUs": microseconds(slowStartWindow), "fallMultiple": overloadMultiple, "fallUs": microseconds(time.Second), "drainGraceUs": microseconds(drainGrace)},
	}
}

// config returns the configuration of one instance as JSON.
func (d *deployment) config(index, instances int, seed uint64, listen, admin, discovery, counter string) ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": fmt.Sprint("n", index), "listen": listen, "admin_addr": admin, "discovery": discovery, "counter": counter, "seed": fmt.Sprintf("%x", seed),
		"limits":   map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": maxSockets},
		"known":    map[string]any{"rev": 0, "all": true, "targets": []any{}},
		"settings": d.settings(index, instances),
	})
}
