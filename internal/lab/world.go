// Package lab runs the whole service on loopback: stand-in nodes, discovery and store, real ingress processes, bounded
// load by clients, faults by a day's timeline, and at the end a report that the auditor judges from what the peers saw.
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

// Testbed is one run: processes, stand-ins, links and clients.
type Testbed struct {
	cfg       Config
	day       *scenario.Scenario
	classes   []class
	plans     []*plan
	dir       string
	links     *link.Network              // nil: not Linked
	ways      map[string][]*link.TCPLink // by node id: those to its present start
	key       string                     // file of the key that instances share
	drills    string                     // the file of drills
	net       string                     // the loopback network of this run: three bytes of an address
	began     time.Time
	rng       *rand.Rand
	fleet     *backend.Fleet
	capacity  float64 // of all nodes when warm, in seconds of work a second
	registry  *discovery.Registry
	store     store
	ingresses []*ingress
	gates     []*gate.Gate // one for each instance, where Config.HTTP is set
	load      *load
	meter     *lateness.Meter
	mu        sync.Mutex // of all below
	specs     []backend.Spec
	byName    map[string]*backend.Backend
	targets   map[string]discovery.Target
	lastHost  int
	restarted int      // nodes that a share of the fleet has restarted so far
	notes     []string // what the timeline did
	failed    []error  // steps that could not be played
	wg        sync.WaitGroup
	closers   []func()
}

// Run plays a run and returns its report. An error means that it could not be played, not that a rule broke.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	d, err := cfg.resolve()
	if err != nil {
		return nil, err
	}
	steps, err := d.Steps(cfg.Seed)
	if err != nil {
		return nil, err
	}
	w := newWorld(cfg, d)
	defer w.close()
	if err := w.open(ctx); err != nil {
		return nil, err
	}
	return w.play(ctx, steps)
}

func newWorld(cfg Config, d *scenario.Scenario) *Testbed {
	return &Testbed{
		cfg: cfg, day: d, classes: classes(d.UnsafeClass), plans: plans(d.HalvedCeilings), began: time.Now(), lastHost: 1,
		net: fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256)), rng: rand.New(rand.NewPCG(cfg.Seed, 5)),
		byName: map[string]*backend.Backend{}, targets: map[string]discovery.Target{},
	}
}

func (w *Testbed) clock() time.Duration { return time.Since(w.began) }

func (w *Testbed) onClose(f func()) { w.closers = append(w.closers, f) }

func (w *Testbed) close() {
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}

// Build builds the ingress from this module's source; race adds the race detector, overlay replaces files of the source.
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

func (w *Testbed) open(ctx context.Context) (err error) {
	if w.dir, err = os.MkdirTemp("", "hitchspring-lab-"); err != nil {
		return err
	}
	w.onClose(func() { os.RemoveAll(w.dir) })
	w.drills = filepath.Join(w.dir, "drills.toml")
	if err := w.openLinks(); err != nil {
		return err
	}
	if err := w.openStore(); err != nil {
		return err
	}
	if err := w.openFleet(); err != nil {
		return err
	}
	program := w.cfg.Ingress
	if program == "" && len(w.cfg.Mixed) == 0 {
		program = filepath.Join(w.dir, "hitchspring")
		if err := Build(ctx, program, w.cfg.Race, ""); err != nil {
			return err
		}
	}
	w.load = newLoad(w) // sets the plans' figures, which the ingresses are told
	for i := range w.day.Ingresses {
		if n := len(w.cfg.Mixed); n > 0 {
			program = w.cfg.Mixed[i%n]
		}
		g, err := w.newIngress(i, program)
		if err != nil {
			return err
		}
		w.ingresses = append(w.ingresses, g)
	}
	w.onClose(func() {
		var wg sync.WaitGroup
		for _, g := range w.ingresses {
			wg.Go(g.end)
		}
		wg.Wait()
	})
	var wg sync.WaitGroup
	fails := make([]error, len(w.ingresses))
	for i, g := range w.ingresses {
		wg.Go(func() { fails[i] = g.Start(ctx) })
	}
	wg.Wait()
	return errors.Join(fails...)
}

func (w *Testbed) openFleet() error {
	work := map[string]backend.Work{}
	for _, c := range w.classes {
		work[c.name] = c.work
	}
	w.fleet = backend.NewFleet(backend.Rules{
		Work: work, KeyMemory: keyMemory, SlowStartShare: coldShare, SlowStartWindow: warmAfter, SlowStartRequests: w.day.WarmedBy,
		OverloadMultiple: fallMultiple, OverloadSpan: time.Second, OverloadSlack: 50 * ms, MaxConnections: 1500, ConnWork: ms, Knee: 8, LossBeyond: 0.03,
	}, w.cfg.Seed, w.clock)
	w.onClose(w.fleet.Close)
	w.registry = discovery.New(w.cfg.Seed, w.clock, 500*ms, 3500*ms)
	w.onClose(w.registry.Close)
	for i := range w.day.Backends {
		spec := backend.Spec{
			ID: fmt.Sprintf("node-%02d", i), Zone: "hall-" + string(rune('a'+i%3)), Kind: "std-2c", Rack: i%3*10 + i/12,
			Cores: 2, Speed: 0.85 + 0.25*w.rng.Float64(), QueueCapacity: 40,
		}
		if i%3 == 2 {
			spec.Kind, spec.Cores, spec.Speed, spec.QueueCapacity = "slow-3c", 3, 0.51+0.18*w.rng.Float64(), 60
		}
		w.specs = append(w.specs, spec)
		w.capacity += float64(spec.Cores) * spec.Speed
		if _, err := w.addNode(spec, false); err != nil {
			return err
		}
	}
	return nil
}

func (w *Testbed) addNode(spec backend.Spec, cold bool) (discovery.Target, error) {
	host, err := w.nextHost()
	if err != nil {
		return discovery.Target{}, err
	}
	n, err := w.fleet.Add(spec, host, cold, w.day.Ingresses)
	if err != nil {
		return discovery.Target{}, err
	}
	addrs, err := w.linkNode(spec, n)
	if err != nil {
		return discovery.Target{}, err
	}
	t := discovery.Target{UID: spec.ID, Endpoint: addrs[0], Endpoints: addrs, Zone: spec.Zone, Model: spec.Kind, Group: spec.Rack, State: "SERVING", Capacity: 1}
	if cold {
		t.BootMS = time.Now().UnixMilli()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byName[spec.ID], w.targets[spec.ID] = n, t
	return t, nil
}

// nextHost is a loopback address that nothing in this run has had. What one run's processes go on sending to a peer that has
// ended must reach nobody, neither here nor in a run beside it.
func (w *Testbed) nextHost() (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastHost++; w.lastHost >= firstInstance {
		return "", errors.New("too many nodes have been started in one run")
	}
	return fmt.Sprintf("%s.%d", w.net, w.lastHost), nil
}

// node returns a node with its entry of the list.
func (w *Testbed) node(i int) (*backend.Backend, discovery.Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := w.specs[i].ID
	return w.byName[id], w.targets[id]
}

// tell puts an entry into the list, which the instances learn of late.
func (w *Testbed) tell(t discovery.Target, state string) {
	t.State = state
	w.mu.Lock()
	w.targets[t.UID] = t
	w.mu.Unlock()
	w.registry.Set(t, false)
}
