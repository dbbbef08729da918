// Package lab runs the whole service on loopback: stand-in nodes, discovery and store, real ingress processes, bounded
// load by clients, faults by a day's timeline, and at the end a report that the auditor judges from what the peers saw.
package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"hitchspring/internal/audit"
	"hitchspring/internal/lab/day"
	"hitchspring/internal/lab/lateness"
	"hitchspring/internal/lab/link"
	"hitchspring/internal/lab/proc"
	"hitchspring/internal/standin/discovery"
	"hitchspring/internal/standin/fault"
	"hitchspring/internal/standin/gate"
	"hitchspring/internal/standin/node"
	"hitchspring/internal/standin/redis"
	"hitchspring/internal/standin/tally"
)

// Bounds of a run, so that every load is bounded in count and time.
const (
	mostOpen  = 3000 // tries of all clients that are out at once
	mostTries = 500000
	// firstInstance is the host of the first instance in the run's network; nodes have those before it.
	firstInstance = 221
)

// DefaultDay is the day of a run that names none.
const DefaultDay = "evening"

// Config says what is run. Zero fields leave the day's figures as they are.
type Config struct {
	Day       string // a name, or a file
	Seed      uint64
	For       time.Duration // of the load
	Nodes     int
	Ingresses int
	Store     string
	Faults    []string // TARGET:WHAT at TIME, beside the day's
	Rate      float64  // times the day's load
	Hot       float64  // one channel of storby asks for so many times its quota; 0: none does
	Ingress   string   // the program; empty: it is built from this module's source
	Race      bool     // it is built with the race detector
	Mixed     []string // programs that the ingresses are in turn, in place of Ingress
	MemoryMB  int
	Tolerance time.Duration                 // of the rules' time limits; 0: the platform's 50 ms
	Halls     bool                          // the ingresses know of halls: [halls] is in their options
	HallLines string                        // further lines of that section
	HTTP      float64                       // share of the wishes that come through gates, which ask over HTTP
	GateFault []string                      // rules for all gates, from the start
	Linked    bool                          // every way of an instance goes through a link that can be faulted
	Peers     bool                          // the instances take part among each other: [peers] is in their options; Linked too
	SameKey   bool                          // a client's further tries of a keyed wish have the key of the first
	Takeover  bool                          // work in hand survives its instance: [takeover] is in their options; Peers too
	Strangers []int                         // instances with another key than their peers have
	Mortal    []int                         // instances that may end by themselves: for tests of programs that do
	Rights    bool                          // parts of budgets move between the instances: [rights] is in their options; Peers too
	Options   map[int]string                // further lines of an instance's options
	Watch     func(context.Context, *World) // runs beside the load, and is waited for; nil: nothing does
	Live      io.Writer                     // a table each second; nil: none
	Log       io.Writer                     // what the ingresses log; nil: nobody
}

// resolve is the day that is played: the named one, changed by what else is set.
func (c *Config) resolve() (*day.Day, error) {
	if c.Day == "" {
		c.Day = DefaultDay
	}
	if c.Rate == 0 {
		c.Rate = 1
	}
	if c.MemoryMB == 0 {
		c.MemoryMB = 64
	}
	d, err := day.Load(c.Day)
	if err != nil {
		return nil, err
	}
	if c.For != 0 {
		d.Length = day.Duration(c.For)
	}
	if c.Nodes != 0 {
		d.Nodes = c.Nodes
	}
	if c.Ingresses != 0 {
		d.Ingresses = c.Ingresses
	}
	if c.Store != "" {
		d.Store = c.Store
	}
	c.Peers, c.SameKey = c.Peers || c.Takeover || c.Rights, c.SameKey || c.Takeover
	c.Linked = c.Linked || c.Peers
	d.Faults = append(d.Faults, c.Faults...)
	if !(c.Hot >= 0 && c.Hot <= 10) {
		return nil, fmt.Errorf("hot: %v is out of range, up to 10", c.Hot)
	}
	if !(c.Rate > 0 && c.Rate <= 4) {
		return nil, fmt.Errorf("rate: %v is out of range, up to 4", c.Rate)
	}
	if !(c.HTTP >= 0 && c.HTTP <= 1) {
		return nil, fmt.Errorf("http: %v is no share, 0 to 1", c.HTTP)
	}
	if c.Hot > 0 {
		d.Hot = append(d.Hot, day.Hot{Plan: "storby", Channels: 1, Times: c.Hot})
	}
	return d, d.Check()
}

// World is a run.
type World struct {
	cfg       Config
	day       *day.Day
	classes   []class
	plans     []*plan
	dir       string
	links     *link.Net                 // nil: not Linked
	ways      map[string][]*link.Stream // by node id: those to its present start
	key       string                    // file of the key that instances share
	drills    string                    // the file of drills
	net       string                    // the loopback network of this run: three bytes of an address
	began     time.Time
	rng       *rand.Rand
	fleet     *node.Fleet
	capacity  float64 // of all nodes when warm, in seconds of work a second
	registry  *discovery.Registry
	store     store
	ingresses []*ingress
	gates     []*gate.Gate // one for each instance, where Config.HTTP is set
	load      *load
	meter     *lateness.Meter
	mu        sync.Mutex // of all below
	specs     []node.Spec
	byName    map[string]*node.Node
	targets   map[string]discovery.Target
	lastHost  int
	restarted int      // nodes that a share of the fleet has restarted so far
	notes     []string // what the timeline did
	failed    []error  // steps that could not be played
	wg        sync.WaitGroup
	closers   []func()
}

// store is a stand-in for a shared counter, as the timeline and the report need it.
type store interface {
	Addr() string
	Do(line string) error
	Calls() int
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

func newWorld(cfg Config, d *day.Day) *World {
	return &World{cfg: cfg, day: d, classes: classes(d.Unsafe), plans: plans(d.Cut), began: time.Now(), lastHost: 1,
		net: fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256)), rng: rand.New(rand.NewPCG(cfg.Seed, 5)),
		byName: map[string]*node.Node{}, targets: map[string]discovery.Target{}}
}

func (w *World) clock() time.Duration { return time.Since(w.began) }

func (w *World) onClose(f func()) { w.closers = append(w.closers, f) }

func (w *World) close() {
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

func (w *World) open(ctx context.Context) (err error) {
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

func (w *World) openStore() error {
	switch w.day.Store {
	case day.StoreTally:
		s, err := tally.Start(w.net+".1:0", w.cfg.Seed)
		if err != nil {
			return err
		}
		w.onClose(s.Close)
		w.store = tallyStore{s}
	default:
		s, err := redis.Start(redis.Options{Seed: w.cfg.Seed, Listen: w.net + ".1:0"})
		if err != nil {
			return err
		}
		w.onClose(s.Close)
		replica, err := s.Group().AddReplica(redis.Options{Seed: w.cfg.Seed, Listen: w.net + ".1:0"})
		if err != nil {
			return err
		}
		w.onClose(replica.Close)
		w.store = redisStore{s}
	}
	return nil
}

type tallyStore struct{ *tally.Server }

// Calls is how many came.
func (s tallyStore) Calls() int { return len(s.Records()) }

// redisStore hands the timeline's words to whoever is the primary by then.
type redisStore struct{ *redis.Server }

// Do hands a word on.
func (s redisStore) Do(line string) error { return s.Group().Primary().Do(line) }

// Calls is how many adds came.
func (s redisStore) Calls() int {
	n := 0
	for _, r := range s.Records() {
		if len(r.Args) > 0 && strings.HasPrefix(strings.ToUpper(r.Args[0]), "EVAL") {
			n++
		}
	}
	return n
}

func (w *World) openFleet() error {
	work := map[string]node.Work{}
	for _, c := range w.classes {
		work[c.name] = c.work
	}
	w.fleet = node.NewFleet(node.Rules{Work: work, KeyMemory: keyMemory, ColdShare: coldShare, WarmAfter: warmAfter, WarmRequests: w.day.WarmBy,
		FallMultiple: fallMultiple, FallSpan: time.Second, FallSlack: 50 * ms, MostConns: 1500, ConnWork: ms, Knee: 8, LossBeyond: 0.03}, w.cfg.Seed, w.clock)
	w.onClose(w.fleet.Close)
	w.registry = discovery.New(w.cfg.Seed, w.clock, 500*ms, 3500*ms)
	w.onClose(w.registry.Close)
	for i := range w.day.Nodes {
		spec := node.Spec{ID: fmt.Sprintf("node-%02d", i), Zone: "hall-" + string(rune('a'+i%3)), Kind: "std-2c", Rack: i%3*10 + i/12,
			Cores: 2, Speed: 0.85 + 0.25*w.rng.Float64(), Room: 40}
		if i%3 == 2 {
			spec.Kind, spec.Cores, spec.Speed, spec.Room = "slow-3c", 3, 0.51+0.18*w.rng.Float64(), 60
		}
		w.specs = append(w.specs, spec)
		w.capacity += float64(spec.Cores) * spec.Speed
		if _, err := w.addNode(spec, false); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) addNode(spec node.Spec, cold bool) (discovery.Target, error) {
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
func (w *World) nextHost() (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastHost++; w.lastHost >= firstInstance {
		return "", errors.New("too many nodes have been started in one run")
	}
	return fmt.Sprintf("%s.%d", w.net, w.lastHost), nil
}

// node returns a node with its entry of the list.
func (w *World) node(i int) (*node.Node, discovery.Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := w.specs[i].ID
	return w.byName[id], w.targets[id]
}

// tell puts an entry into the list, which the instances learn of late.
func (w *World) tell(t discovery.Target, state string) {
	t.State = state
	w.mu.Lock()
	w.targets[t.UID] = t
	w.mu.Unlock()
	w.registry.Set(t, false)
}

// newIngress writes an instance's files.
func (w *World) newIngress(i int, program string) (*ingress, error) {
	g := &ingress{w: w, n: i, host: w.instanceHost(i)}
	g.Process = proc.Process{Name: fmt.Sprint("n", i), Program: program, Log: w.cfg.Log, Serves: g.ping, Ended: g.ended}
	var err error
	if g.addr, err = g.hold(); err != nil {
		return nil, err
	}
	options := ""
	if w.cfg.HTTP > 0 {
		at, err := g.hold()
		if err != nil {
			return nil, err
		}
		options += fmt.Sprintf("[forward_auth]\nlisten = %q\ntrusted = [\"127.0.0.0/8\"]\nconnections = 400\n", at)
		x := gate.New(at, w.cfg.Seed+uint64(i))
		for _, text := range w.cfg.GateFault {
			r, err := fault.Parse(text)
			if err != nil {
				return nil, err
			}
			x.Fault(r)
		}
		w.gates = append(w.gates, x)
		w.onClose(x.Close)
	}
	agent, err := w.registry.Agent()
	if err != nil {
		return nil, err
	}
	if i == 0 {
		for _, t := range w.targets {
			w.registry.Set(t, true)
		}
	}
	counter := w.store.Addr()
	if agent, err = w.linkTo(g, "discovery", agent); err != nil {
		return nil, err
	}
	if counter, err = w.linkTo(g, "counter", counter); err != nil {
		return nil, err
	}
	if w.cfg.Peers {
		if g.metrics, err = g.hold(); err != nil {
			return nil, err
		}
		lines, err := w.peersOf(g)
		if err != nil {
			return nil, err
		}
		options += fmt.Sprintf("[metrics]\nlisten = %q\n", g.metrics) + lines
	}
	if w.cfg.Takeover {
		options += "[takeover]\n"
	}
	if w.cfg.Rights {
		options += "[rights]\n"
	}
	options += w.cfg.Options[i]
	config := filepath.Join(w.dir, g.Name+".json")
	text, err := json.Marshal(map[string]any{"name": g.Name, "listen": g.addr, "discovery": agent, "counter": counter,
		"seed": fmt.Sprintf("%x", w.cfg.Seed*31+uint64(i)+1), "limits": map[string]any{"cores": 1, "memory_mb": w.cfg.MemoryMB, "sockets": 8192},
		"known": map[string]any{"rev": 0, "all": true, "targets": []any{}}, "settings": w.settings(i)})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, err
	}
	g.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "HITCHSPRING_OPTIONS=")
	if w.day.Store != day.StoreTally {
		where := fmt.Sprintf("address = %q\n", counter)
		if w.day.Store == day.StoreSentinel {
			s, name, err := w.store.(redisStore).Group().AddSentinel(redis.Options{Listen: w.net + ".1:0"})
			if err != nil {
				return nil, err
			}
			w.onClose(s.Close)
			where = fmt.Sprintf("sentinels = [%q]\nmaster = %q\n", s.Addr(), name)
		}
		options += "[store]\nkind = \"redis\"\n" + where
	}
	if w.cfg.Halls {
		options += fmt.Sprintf("[halls]\nnear = [%q]\ndrills = %q\n%s\n", "hall-"+string(rune('a'+(i+1)%3)), w.drills, w.cfg.HallLines)
	}
	if options != "" {
		file := filepath.Join(w.dir, g.Name+".toml")
		if err := os.WriteFile(file, []byte(options), 0o600); err != nil {
			return nil, err
		}
		g.Env = append(g.Env, "HITCHSPRING_OPTIONS="+file)
	}
	return g, nil
}

// settings is the platform's object of settings, for one instance.
func (w *World) settings(i int) map[string]any {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	var cs, ps []any
	for _, c := range w.classes {
		cs = append(cs, map[string]any{"name": c.name, "value": c.worth, "objectiveUs": us(c.aim), "deadlineUs": us(c.deadline), "lateShare": c.late,
			"effect": c.effect, "group": map[bool]string{true: "all", false: "cell"}[c.effect == "read_like"], "windowUs": us(keyMemory)})
	}
	for _, p := range w.plans {
		ps = append(ps, map[string]any{"name": p.name, "price": p.price, "refill": p.rate, "burst": p.burst(), "concurrency": p.open,
			"excessWorth": p.excessWorth, "excessCost": p.excessCost, "hardRate": p.ceilingRate(), "capDepth": p.ceilingBurst(), "tolerance": tolerance})
	}
	return map[string]any{"me": i, "replicasOfMe": w.day.Ingresses, "myZone": "hall-" + string(rune('a'+i%3)), "registryMode": "push",
		"classes": cs, "contracts": ps,
		"familyInfo": map[string]any{"counterTimeoutUs": us(80 * ms), "maxUnits": maxUnits, "sharedCounter": true},
		"permissions": map[string]any{"connIdleUs": us(15 * time.Second), "connectTimeoutUs": us(250 * ms), "maxOpen": 20000, "maxAttempts": 6,
			"maxRetryAfterUs": us(500 * ms), "mayCancel": true, "probing": true, "parallelTries": true, "retryAfter": true},
		"prices": map[string]any{"crossZone": crossHall},
		"invariants": map[string]any{"coldFrom": coldShare, "warmAfterUs": us(warmAfter), "fallMultiple": fallMultiple, "fallUs": us(time.Second),
			"drainGraceUs": us(2 * time.Second)}}
}

// evidence gathers what the peers saw.
func (w *World) evidence() audit.Evidence {
	e := audit.Evidence{Asked: w.load.asked(), Late: w.meter.Late()}
	for _, r := range w.fleet.Records(0) {
		e.Sent = append(e.Sent, audit.Sent{Came: r.Came, Ended: r.Ended, ID: r.ID, Node: r.Node, Instance: fmt.Sprint("n", r.Instance), Customer: r.Customer,
			Plan: r.Plan, Class: r.Class, Rack: r.Rack, Units: r.Units, Busy: r.How == node.Busy, Cold: r.Cold})
	}
	for _, t := range w.registry.Told() {
		e.Told = append(e.Told, audit.Told{At: t.At, Instance: fmt.Sprint("n", t.Agent), Node: t.UID, Serving: t.State == "SERVING"})
	}
	for _, n := range w.fleet.Nodes() {
		why, at := n.Fell()
		if n.Pushed() > 0 {
			e.Cold = append(e.Cold, audit.ColdNode{Node: n.ID, At: at, Why: why, Pushed: n.Pushed()})
		}
	}
	return e
}

func (w *World) rules() audit.Rules {
	r := audit.Usual()
	r.MaxUnits, r.CeilingSlack = maxUnits, tolerance
	if w.cfg.Tolerance > 0 {
		r.Tolerance = w.cfg.Tolerance
	}
	r.Classes, r.Ceilings, r.Least = map[string]audit.Effect{}, map[string]audit.Ceiling{}, map[string]time.Duration{}
	fastest := 0.0
	for _, s := range w.specs {
		fastest = max(fastest, s.Speed)
	}
	for _, c := range w.classes {
		r.Classes[c.name] = map[string]audit.Effect{"read_like": audit.Safe, "idempotency_key": audit.Keyed}[c.effect]
		r.Least[c.name] = time.Duration(float64(c.work.Least) / fastest)
	}
	for _, p := range w.plans {
		if p.ceiling > 0 {
			r.Ceilings[p.name] = audit.Ceiling{Rate: p.ceilingRate(), Burst: p.ceilingBurst()}
		}
	}
	return r
}

func (w *World) quotas() map[string]audit.Quota {
	out := map[string]audit.Quota{}
	for _, p := range w.plans {
		out[p.name] = p.quota()
	}
	return out
}
