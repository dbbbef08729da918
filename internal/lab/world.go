// Package lab runs the whole service on loopback: stand-in nodes, discovery and store, real ingress processes, bounded
// load by clients, faults by a timeline, and at the end a report that the auditor judges from what the peers saw.
package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"hitchspring/internal/audit"
	"hitchspring/internal/standin/discovery"
	"hitchspring/internal/standin/node"
	"hitchspring/internal/standin/redis"
	"hitchspring/internal/standin/tally"
)

// The kinds of store.
const (
	StoreTally    = "tally"
	StoreRedis    = "redis"
	StoreSentinel = "redis-sentinel" // a primary and a replica, found by a Sentinel
)

// Bounds of a run, so that every load is bounded in count and time.
const (
	MostTime   = 10 * time.Minute
	mostOpen   = 3000 // tries of all clients that are out at once
	mostTries  = 500000
	startLimit = 20 * time.Second
	endLimit   = 8 * time.Second
)

// Config says what is run. Zero fields take the demo's figures.
type Config struct {
	Seed      uint64
	For       time.Duration // of the load
	Nodes     int
	Ingresses int
	Store     string
	Faults    []string // TARGET:WHAT at TIME
	Rate      float64  // times the usual load
	Hot       float64  // one channel of storby asks for so many times its quota; 0: none does
	Ingress   string   // the program; empty: it is built from this module's source
	Mixed     []string // programs that the ingresses are in turn, in place of Ingress
	MemoryMB  int
	Tolerance time.Duration // of the rules' time limits; 0: the platform's 50 ms
	Live      io.Writer     // a table each second; nil: none
	Log       io.Writer     // what the ingresses log; nil: nobody
}

func (c *Config) fill() error {
	def := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	def(&c.Nodes, 12)
	def(&c.Ingresses, 3)
	def(&c.MemoryMB, 64)
	if c.For == 0 {
		c.For = 20 * time.Second
	}
	if c.Store == "" {
		c.Store = StoreTally
	}
	if c.Rate == 0 {
		c.Rate = 1
	}
	switch {
	case c.For < 0 || c.For > MostTime:
		return fmt.Errorf("for: %v is out of range, up to %v", c.For, MostTime)
	case c.Nodes < 3 || c.Nodes > 60:
		return fmt.Errorf("nodes: %d is out of range, 3 to 60", c.Nodes)
	case c.Ingresses < 1 || c.Ingresses > 4:
		return fmt.Errorf("ingresses: %d is out of range, 1 to 4", c.Ingresses)
	case !(c.Rate > 0 && c.Rate <= 4):
		return fmt.Errorf("rate: %v is out of range, up to 4", c.Rate)
	case !(c.Hot >= 0 && c.Hot <= 10):
		return fmt.Errorf("hot: %v is out of range, up to 10", c.Hot)
	case c.Store != StoreTally && c.Store != StoreRedis && c.Store != StoreSentinel:
		return fmt.Errorf("store: %q is none, want %s, %s or %s", c.Store, StoreTally, StoreRedis, StoreSentinel)
	}
	return nil
}

// class is a kind of request of the brief.
type class struct {
	name          string
	share         float64
	work          node.Work
	aim, deadline time.Duration
	worth         float64
	late          float64
	keyed         bool
	units         float64
}

const ms = time.Millisecond

var classes = []class{
	{"guide-read", 0.60, node.Work{Least: 26 * ms, Most: 45 * ms}, 400 * ms, time.Second, 2, 0.1, false, 1},
	{"schedule-set", 0.22, node.Work{Least: 57 * ms, Most: 99 * ms}, 750 * ms, 2 * time.Second, 2, 0.1, false, 2},
	{"clip-publish", 0.18, node.Work{Least: 88 * ms, Most: 150 * ms}, 1500 * ms, 5 * time.Second, 5, 0.2, true, 4},
}

// plan is a plan of the brief, by the middle of its figures.
type plan struct {
	name                    string
	channels                int
	price, rate, seconds    float64 // seconds: of the rate that may be used at once
	open                    int
	excessWorth, excessCost float64
	ceiling                 float64 // times the quota; 0: none
}

var plans = []plan{
	{"grend", 90, 0.45, 1.6, 4.8, 0, 0, 1.2, 0},
	{"bygd", 32, 0.88, 5.3, 4.6, 0, 0, 0.8, 0},
	{"by", 9, 1.1, 16, 1.7, 0, 0, 0.5, 0},
	{"storby", 7, 1.6, 40, 2.2, 12, 0, 0.6, 2},
}

const (
	maxUnits  = 6.0
	tolerance = 0.1
)

// World is a run.
type World struct {
	cfg       Config
	dir       string
	began     time.Time
	rng       *rand.Rand
	fleet     *node.Fleet
	registry  *discovery.Registry
	store     store
	ingresses []*ingress
	load      *load
	byName    map[string]*node.Node
	targets   map[string]discovery.Target
	mu        sync.Mutex
	notes     []string // what the timeline did
	closers   []func()
}

// store is a stand-in for a shared counter, as the timeline needs it.
type store interface {
	Addr() string
	Do(line string) error
}

// Run plays a run and returns its report. An error means that it could not be played, not that a rule broke.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if err := cfg.fill(); err != nil {
		return nil, err
	}
	w := &World{cfg: cfg, began: time.Now(), rng: rand.New(rand.NewPCG(cfg.Seed, 5)), byName: map[string]*node.Node{},
		targets: map[string]discovery.Target{}}
	defer w.close()
	steps, err := parseTimeline(cfg.Faults)
	if err != nil {
		return nil, err
	}
	if err := w.open(ctx); err != nil {
		return nil, err
	}
	for _, s := range steps { // what cannot be done is said before anything is loaded
		if err := w.knows(s); err != nil {
			return nil, err
		}
	}
	return w.play(ctx, steps)
}

func (w *World) clock() time.Duration { return time.Since(w.began) }

func (w *World) onClose(f func()) { w.closers = append(w.closers, f) }

func (w *World) close() {
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}

func (w *World) open(ctx context.Context) (err error) {
	if w.dir, err = os.MkdirTemp("", "hitchspring-lab-"); err != nil {
		return err
	}
	w.onClose(func() { os.RemoveAll(w.dir) })
	if err := w.openStore(); err != nil {
		return err
	}
	if err := w.openFleet(); err != nil {
		return err
	}
	program := w.cfg.Ingress
	if program == "" && len(w.cfg.Mixed) == 0 {
		program = filepath.Join(w.dir, "hitchspring")
		build := exec.CommandContext(ctx, "go", "build", "-o", program, "hitchspring/cmd/hitchspring")
		if out, err := build.CombinedOutput(); err != nil {
			return fmt.Errorf("building the ingress: %w: %s", err, strings.TrimSpace(string(out)))
		}
	}
	for i := range w.cfg.Ingresses {
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
		wg.Go(func() { fails[i] = g.start(ctx) })
	}
	wg.Wait()
	return errors.Join(fails...)
}

func (w *World) openStore() error {
	switch w.cfg.Store {
	case StoreTally:
		s, err := tally.Start("", w.cfg.Seed)
		if err != nil {
			return err
		}
		w.onClose(s.Close)
		w.store = s
	default:
		s, err := redis.Start(redis.Options{Seed: w.cfg.Seed})
		if err != nil {
			return err
		}
		w.onClose(s.Close)
		replica, err := s.Group().AddReplica(redis.Options{Seed: w.cfg.Seed})
		if err != nil {
			return err
		}
		w.onClose(replica.Close)
		w.store = redisStore{s}
	}
	return nil
}

// redisStore hands the timeline's words to whoever is the primary by then.
type redisStore struct{ *redis.Server }

func (s redisStore) Do(line string) error { return s.Group().Primary().Do(line) }

func (w *World) openFleet() error {
	work := map[string]node.Work{}
	for _, c := range classes {
		work[c.name] = c.work
	}
	w.fleet = node.NewFleet(node.Rules{Work: work, KeyMemory: 3 * time.Second, ColdShare: 0.3, WarmAfter: 10 * time.Second, FallMultiple: 4,
		FallSpan: time.Second, MostConns: 1500}, w.cfg.Seed, w.clock)
	w.onClose(w.fleet.Close)
	w.registry = discovery.New(w.cfg.Seed, w.clock, 500*ms, 3500*ms)
	w.onClose(w.registry.Close)
	for i := range w.cfg.Nodes {
		spec := node.Spec{ID: fmt.Sprintf("node-%02d", i), Zone: "hall-" + string(rune('a'+i%3)), Kind: "std-2c", Rack: i%3*10 + i/12,
			Cores: 2, Speed: 0.85 + 0.25*w.rng.Float64(), Room: 40}
		if i%3 == 2 {
			spec.Kind, spec.Cores, spec.Speed, spec.Room = "slow-3c", 3, 0.51+0.18*w.rng.Float64(), 60
		}
		if _, err := w.addNode(spec, false); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) addNode(spec node.Spec, cold bool) (*node.Node, error) {
	n, err := w.fleet.Add(spec, cold)
	if err != nil {
		return nil, err
	}
	t := discovery.Target{UID: spec.ID, Endpoint: n.Addr(), Zone: spec.Zone, Model: spec.Kind, Group: spec.Rack, State: "SERVING", Capacity: 1}
	if cold {
		t.BootMS = time.Now().UnixMilli()
	}
	w.mu.Lock()
	w.byName[spec.ID], w.targets[spec.ID] = n, t
	w.mu.Unlock()
	return n, nil
}

// --- ingress processes ---

// ingress is one real ingress, a process of its own.
type ingress struct {
	w       *World
	n       int
	name    string
	program string
	addr    string
	env     []string
	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	downs   []span // when it was not to be counted on
	crashed string
	use     usage
}

type span struct{ from, to time.Duration }

// usage is what the kernel says of a process.
type usage struct {
	CPU    time.Duration
	PeakKB int64
}

func (w *World) newIngress(i int, program string) (*ingress, error) {
	g := &ingress{w: w, n: i, name: fmt.Sprint("n", i), program: program}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g.addr = ln.Addr().String()
	ln.Close()
	agent, err := w.registry.Agent()
	if err != nil {
		return nil, err
	}
	if i == 0 {
		for _, t := range w.targets {
			w.registry.Set(t, true)
		}
	}
	config := filepath.Join(w.dir, g.name+".json")
	text, err := json.Marshal(map[string]any{"name": g.name, "listen": g.addr, "discovery": agent, "counter": w.store.Addr(),
		"seed": fmt.Sprintf("%x", w.cfg.Seed*31+uint64(i)+1), "limits": map[string]any{"cores": 1, "memory_mb": w.cfg.MemoryMB, "sockets": 1024},
		"known": map[string]any{"rev": 0, "all": true, "targets": []any{}}, "settings": w.settings(i)})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, err
	}
	g.env = append(os.Environ(), "ROUTER_CONFIG="+config, "HITCHSPRING_OPTIONS=")
	if w.cfg.Store != StoreTally {
		options := filepath.Join(w.dir, g.name+".toml")
		where := fmt.Sprintf("address = %q\n", w.store.Addr())
		if w.cfg.Store == StoreSentinel {
			s, name, err := w.store.(redisStore).Group().AddSentinel(redis.Options{})
			if err != nil {
				return nil, err
			}
			w.onClose(s.Close)
			where = fmt.Sprintf("sentinels = [%q]\nmaster = %q\n", s.Addr(), name)
		}
		if err := os.WriteFile(options, []byte("[store]\nkind = \"redis\"\n"+where), 0o600); err != nil {
			return nil, err
		}
		g.env = append(g.env, "HITCHSPRING_OPTIONS="+options)
	}
	return g, nil
}

// settings is the platform's object of settings, for one instance.
func (w *World) settings(i int) map[string]any {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	var cs, ps []any
	for _, c := range classes {
		effect := "read_like"
		if c.keyed {
			effect = "idempotency_key"
		}
		cs = append(cs, map[string]any{"name": c.name, "value": c.worth, "objectiveUs": us(c.aim), "deadlineUs": us(c.deadline), "lateShare": c.late,
			"effect": effect, "group": "cell", "windowUs": us(3 * time.Second)})
	}
	for _, p := range plans {
		ps = append(ps, map[string]any{"name": p.name, "price": p.price, "refill": p.rate, "burst": p.rate * p.seconds, "concurrency": p.open,
			"excessWorth": p.excessWorth, "excessCost": p.excessCost, "hardRate": p.rate * p.ceiling, "capDepth": p.rate * p.seconds * p.ceiling, "tolerance": tolerance})
	}
	return map[string]any{"me": i, "replicasOfMe": w.cfg.Ingresses, "myZone": "hall-" + string(rune('a'+i%3)), "registryMode": "push",
		"classes": cs, "contracts": ps,
		"familyInfo": map[string]any{"counterTimeoutUs": us(80 * ms), "maxUnits": maxUnits, "sharedCounter": true},
		"permissions": map[string]any{"connIdleUs": us(15 * time.Second), "connectTimeoutUs": us(250 * ms), "maxOpen": 20000, "maxAttempts": 6,
			"maxRetryAfterUs": us(500 * ms), "mayCancel": true, "probing": true, "parallelTries": true, "retryAfter": true},
		"prices":     map[string]any{"crossZone": 0.01},
		"invariants": map[string]any{"coldFrom": 0.25, "warmAfterUs": us(18 * time.Second), "fallMultiple": 4, "fallUs": us(time.Second), "drainGraceUs": us(2 * time.Second)}}
}

// start starts the process and waits until it answers PING.
func (g *ingress) start(ctx context.Context) error {
	g.mu.Lock()
	cmd := exec.Command(g.program)
	cmd.Env = g.env
	if log := g.w.cfg.Log; log != nil {
		cmd.Stdout, cmd.Stderr = log, log
	}
	err := cmd.Start()
	done := make(chan struct{})
	g.cmd, g.done = cmd, done
	g.mu.Unlock()
	if err != nil {
		return fmt.Errorf("starting %s: %w", g.name, err)
	}
	go func() {
		defer close(done)
		err := cmd.Wait()
		g.mu.Lock()
		defer g.mu.Unlock()
		if s, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			g.use.CPU += time.Duration(s.Utime.Nano() + s.Stime.Nano())
			g.use.PeakKB = max(g.use.PeakKB, int64(s.Maxrss))
		}
		if len(g.downs) == 0 || g.downs[len(g.downs)-1].to != 0 {
			g.crashed = fmt.Sprint(g.name, " ended by itself: ", err)
		}
	}()
	for end := time.Now().Add(startLimit); ; time.Sleep(5 * ms) {
		if g.ping() {
			return nil
		}
		select {
		case <-done:
			return fmt.Errorf("%s ended at its start; run with --logs to see why", g.name)
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s does not answer", g.name)
		}
	}
}

func (g *ingress) ping() bool {
	nc, err := net.DialTimeout("tcp", g.addr, 200*ms)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(500 * ms))
	io.WriteString(nc, "*1\r\n$4\r\nPING\r\n")
	var b [7]byte
	_, err = io.ReadFull(nc, b[:])
	return err == nil && string(b[:5]) == "+PONG"
}

// down says that the process is not to be counted on from now on, up that it is again.
func (g *ingress) down() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.downs = append(g.downs, span{from: g.w.clock()})
}

func (g *ingress) up() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n := len(g.downs); n > 0 {
		g.downs[n-1].to = g.w.clock()
	}
}

// wasDown says whether the process was down at some time between the two.
func (g *ingress) wasDown(from, to time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.downs {
		if from <= s.to+100*ms && to >= s.from || s.to == 0 && to >= s.from {
			return true
		}
	}
	return false
}

// signal sends a signal and waits for the process to end.
func (g *ingress) signal(sig syscall.Signal) {
	g.mu.Lock()
	cmd, done := g.cmd, g.done
	g.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return
	}
	cmd.Process.Signal(sig)
	select {
	case <-done:
	case <-time.After(endLimit):
		cmd.Process.Kill()
		<-done
	}
}

// end ends the process in the way of a planned restart.
func (g *ingress) end() {
	g.mu.Lock()
	running := g.done != nil
	g.mu.Unlock()
	if running {
		g.down()
		g.signal(syscall.SIGTERM)
	}
}

// now reads the running process's use.
func (g *ingress) now() usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.use
	if g.cmd == nil || g.cmd.Process == nil || g.cmd.ProcessState != nil {
		return u
	}
	pid := g.cmd.Process.Pid
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		if i := strings.LastIndexByte(string(text), ')'); i > 0 {
			if f := strings.Fields(string(text)[i+1:]); len(f) > 12 {
				user, _ := strconv.ParseInt(f[11], 10, 64)
				system, _ := strconv.ParseInt(f[12], 10, 64)
				u.CPU += time.Duration(user+system) * 10 * ms
			}
		}
	}
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err == nil {
		for _, line := range strings.Split(string(text), "\n") {
			if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
				kb, _ := strconv.ParseInt(strings.Fields(v)[0], 10, 64)
				u.PeakKB = max(u.PeakKB, kb)
			}
		}
	}
	return u
}

// evidence gathers what the peers saw.
func (w *World) evidence() audit.Evidence {
	var e audit.Evidence
	e.Asked = w.load.asked()
	for _, r := range w.fleet.Records() {
		e.Sent = append(e.Sent, audit.Sent{At: r.At, ID: r.ID, Node: r.Node, Customer: r.Customer, Plan: r.Plan, Class: r.Class, Rack: r.Rack,
			Units: r.Units, Busy: r.Busy})
	}
	for _, t := range w.registry.Told() {
		e.Told = append(e.Told, audit.Told{At: t.At, Instance: fmt.Sprint("n", t.Agent), Node: t.UID, Serving: t.State == "SERVING"})
	}
	for _, n := range w.fleet.Nodes() {
		if n.Fell() {
			e.Fell = append(e.Fell, n.ID)
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
	r.Classes, r.Ceilings = map[string]audit.Effect{}, map[string]audit.Ceiling{}
	for _, c := range classes {
		r.Classes[c.name] = audit.Safe
		if c.keyed {
			r.Classes[c.name] = audit.Keyed
		}
	}
	for _, p := range plans {
		if p.ceiling > 0 {
			r.Ceilings[p.name] = audit.Ceiling{Rate: p.rate * p.ceiling, Burst: p.rate * p.seconds * p.ceiling}
		}
	}
	return r
}

func quotas() map[string]audit.Quota {
	out := map[string]audit.Quota{}
	for _, p := range plans {
		out[p.name] = audit.Quota{Rate: p.rate, Burst: p.rate * p.seconds}
	}
	return out
}
