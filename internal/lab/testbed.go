// Package lab is a testbed that runs the complete service on loopback: real ingress processes, stand-ins for backends,
// discovery and the counter store, a bounded load of client requests, and the faults of a scenario. The rule checker
// checks each run by what clients, backends and discovery recorded.
package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"hitchspring/internal/lab/lateness"
	"hitchspring/internal/lab/link"
	"hitchspring/internal/lab/scenario"
	"hitchspring/internal/standin/backend"
	"hitchspring/internal/standin/discovery"
	"hitchspring/internal/standin/gate"
)

// Testbed holds the processes, stand-ins, links and clients of one run.
type Testbed struct {
	cfg            Config
	scenarioConfig *scenario.Scenario
	classes        []class
	plans          []*plan
	dir            string
	links          *link.Network              // nil without Config.Linked
	backendLinks   map[string][]*link.TCPLink // to the running process of each backend, by its id
	peerKeyFile    string                     // path of the key file that the instances share
	drainFile      string                     // path of the zone drain file
	network        string                     // first three bytes of the loopback addresses of this run
	began          time.Time
	rng            *rand.Rand
	fleet          *backend.Fleet
	capacity       float64 // of all backends after slow start, in seconds of work per second
	registry       *discovery.Registry
	store          store
	instances      []*instance
	gates          []*gate.Gate // one per instance if Config.HTTPShare is set
	load           *load
	meter          *lateness.Meter
	mu             sync.Mutex // guards the fields below
	specs          []backend.Spec
	backendsByID   map[string]*backend.Backend
	targets        map[string]discovery.Target
	lastHost       int
	fleetRestarts  int      // backends restarted so far by steps on a fraction of the fleet
	faultLog       []string // texts of the steps that have run
	stepErrors     []error  // errors of background steps
	wg             sync.WaitGroup
	closers        []func()
}

// Run runs a scenario and returns its report. An error means that the run could not be completed, not that a rule was
// violated.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	d, err := cfg.resolve()
	if err != nil {
		return nil, err
	}
	steps, err := d.Steps(cfg.Seed)
	if err != nil {
		return nil, err
	}
	tb := newTestbed(cfg, d)
	defer tb.close()
	if err := tb.open(ctx); err != nil {
		return nil, err
	}
	return tb.play(ctx, steps)
}

func newTestbed(cfg Config, config *scenario.Scenario) *Testbed {
	return &Testbed{
		cfg: cfg, scenarioConfig: config, classes: classes(config.UnsafeClass), plans: plans(config.HalvedCeilings), began: time.Now(), lastHost: 1,
		network: fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256)), rng: rand.New(rand.NewPCG(cfg.Seed, 5)),
		backendsByID: map[string]*backend.Backend{}, targets: map[string]discovery.Target{},
	}
}

func (tb *Testbed) clock() time.Duration { return time.Since(tb.began) }

func (tb *Testbed) onClose(f func()) { tb.closers = append(tb.closers, f) }

func (tb *Testbed) close() {
	for i := len(tb.closers) - 1; i >= 0; i-- {
		tb.closers[i]()
	}
}

// Build builds the ingress program from the source of this module. race enables the race detector; overlay is the path
// of a go build overlay file, or empty.
func Build(ctx context.Context, to string, race bool, overlay string) error {
	args := []string{"build", "-o", to}
	if race {
		args = append(args, "-race")
	}
	if overlay != "" {
		args = append(args, "-overlay", overlay)
	}
	if out, err := exec.CommandContext(ctx, "go", append(args, "hitchspring/cmd/hitchspring")...).CombinedOutput(); err != nil {
		return fmt.Errorf("building the ingress: %w: %s", err, strings.TrimSpace(string(out)))
	}
	return nil
}

func (tb *Testbed) open(ctx context.Context) (err error) {
	if tb.dir, err = os.MkdirTemp("", "hitchspring-lab-"); err != nil {
		return err
	}
	tb.onClose(func() { os.RemoveAll(tb.dir) })
	tb.drainFile = filepath.Join(tb.dir, "drills.toml")
	if err := tb.openLinks(); err != nil {
		return err
	}
	if err := tb.openStore(); err != nil {
		return err
	}
	if err := tb.openFleet(); err != nil {
		return err
	}
	program := tb.cfg.Ingress
	if program == "" && len(tb.cfg.Programs) == 0 {
		program = filepath.Join(tb.dir, "hitchspring")
		if err := Build(ctx, program, tb.cfg.Race, ""); err != nil {
			return err
		}
	}
	tb.load = newLoad(tb) // scales the plans, which the settings of the instances contain
	for i := range tb.scenarioConfig.Ingresses {
		if n := len(tb.cfg.Programs); n > 0 {
			program = tb.cfg.Programs[i%n]
		}
		inst, err := tb.newInstance(i, program)
		if err != nil {
			return err
		}
		tb.instances = append(tb.instances, inst)
	}
	tb.onClose(func() {
		var wg sync.WaitGroup
		for _, inst := range tb.instances {
			wg.Go(inst.terminate)
		}
		wg.Wait()
	})
	var wg sync.WaitGroup
	fails := make([]error, len(tb.instances))
	for i, inst := range tb.instances {
		wg.Go(func() { fails[i] = inst.Start(ctx) })
	}
	wg.Wait()
	return errors.Join(fails...)
}

func (tb *Testbed) openFleet() error {
	work := map[string]backend.Work{}
	for _, c := range tb.classes {
		work[c.name] = c.work
	}
	tb.fleet = backend.NewFleet(backend.Rules{
		Work: work, KeyRetention: idempotencyWindow, SlowStartShare: slowStartShare, SlowStartWindow: slowStartWindow, SlowStartRequests: tb.scenarioConfig.WarmedBy,
		OverloadMultiple: overloadMultiple, OverloadSpan: time.Second, OverloadSlack: 50 * ms, MaxConnections: 1500, ConnWork: ms, Knee: 8, LossAboveKnee: 0.03,
	}, tb.cfg.Seed, tb.clock)
	tb.onClose(tb.fleet.Close)
	tb.registry = discovery.New(tb.cfg.Seed, tb.clock, 500*ms, 3500*ms)
	tb.onClose(tb.registry.Close)
	for i := range tb.scenarioConfig.Backends {
		spec := backend.Spec{
			ID: fmt.Sprintf("node-%02d", i), Zone: "hall-" + string(rune('a'+i%3)), Kind: "std-2c", Rack: i%3*10 + i/12,
			Cores: 2, Speed: 0.85 + 0.25*tb.rng.Float64(), QueueCapacity: 40,
		}
		if i%3 == 2 {
			spec.Kind, spec.Cores, spec.Speed, spec.QueueCapacity = "slow-3c", 3, 0.51+0.18*tb.rng.Float64(), 60
		}
		tb.specs = append(tb.specs, spec)
		tb.capacity += float64(spec.Cores) * spec.Speed
		if _, err := tb.addBackend(spec, false); err != nil {
			return err
		}
	}
	return nil
}

func (tb *Testbed) addBackend(spec backend.Spec, slowStart bool) (discovery.Target, error) {
	host, err := tb.nextHost()
	if err != nil {
		return discovery.Target{}, err
	}
	n, err := tb.fleet.Add(spec, host, slowStart, tb.scenarioConfig.Ingresses)
	if err != nil {
		return discovery.Target{}, err
	}
	addrs, err := tb.linkBackend(spec, n)
	if err != nil {
		return discovery.Target{}, err
	}
	t := discovery.Target{UID: spec.ID, Endpoint: addrs[0], Endpoints: addrs, Zone: spec.Zone, Model: spec.Kind, Group: spec.Rack, State: "SERVING", Capacity: 1}
	if slowStart {
		t.BootMS = time.Now().UnixMilli()
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.backendsByID[spec.ID], tb.targets[spec.ID] = n, t
	return t, nil
}

// nextHost returns a loopback address that was not used before in this run, so that what processes still send to a
// stopped backend cannot reach another one.
func (tb *Testbed) nextHost() (string, error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.lastHost++; tb.lastHost >= firstInstanceHost {
		return "", errors.New("too many backends have been started in one run")
	}
	return fmt.Sprintf("%s.%d", tb.network, tb.lastHost), nil
}

// backendAt returns the backend with index i and its entry in the endpoint list.
func (tb *Testbed) backendAt(i int) (*backend.Backend, discovery.Target) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	id := tb.specs[i].ID
	return tb.backendsByID[id], tb.targets[id]
}

// publishState updates an entry of the endpoint list, which the instances receive after the delay of the registry.
func (tb *Testbed) publishState(t discovery.Target, state string) {
	t.State = state
	tb.mu.Lock()
	tb.targets[t.UID] = t
	tb.mu.Unlock()
	tb.registry.Set(t, false)
}
