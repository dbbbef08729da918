// Package soak runs many real processes of the ingress under faults that overlap: processes that are told to end, killed,
// held up and given new configurations, backends, discovery and the counter that fail in many ways, and clients that
// misbehave, all drawn by a seed. It takes a program and a seed, and returns each violation of a rule, by what clients,
// backends and discovery saw and by what the program says of its own invariants. It never asks an instance how it decided.
// The command is `lab overlap`.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hitchspring/internal/lab/lateness"
	"hitchspring/internal/rulecheck"
	"hitchspring/internal/standin/backend"
	"hitchspring/internal/standin/discovery"
	"hitchspring/internal/standin/tally"
)

// Bounds of a run.
const (
	MaxInstances      = 30
	MaxLength         = 5 * time.Minute
	firstInstanceHost = 221
	listLeast         = 100 * time.Millisecond // how late a change of the list comes to the agents
	listMost          = 600 * time.Millisecond
	settle            = 6 * time.Second // after the load, for what is still open
)

// Config says what is run.
type Config struct {
	Program   string
	Seed      uint64
	Instances int
	Length    time.Duration // of the load
	Logs      string        // folder for what the instances log; empty: a folder that goes with the run
}

// check returns an error that names a value out of range.
func (c *Config) check() error {
	switch {
	case c.Instances < 1 || c.Instances > MaxInstances:
		return fmt.Errorf("instances: %d is out of range, 1 to %d", c.Instances, MaxInstances)
	case c.Length < 2*clusterFirst || c.Length > MaxLength:
		return fmt.Errorf("length: %v is out of range, %v to %v", c.Length, 2*clusterFirst, MaxLength)
	}
	return nil
}

// learntEntry is what an agent of discovery learnt.
type learntEntry = discovery.Notification

// failure is a time in which discovery failed for some instances.
type failure struct {
	instances []int
	silent    bool
	from, to  time.Duration
}

// notes are lines that many goroutines add.
type notes struct {
	mu    sync.Mutex
	lines []string
}

func (n *notes) add(line string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lines = append(n.lines, line)
}

// run is one run.
type run struct {
	cfg        Config
	deployment deployment
	began      time.Time
	dir, logs  string
	network    string // three bytes of its loopback addresses
	fleet      *backend.Fleet
	registry   *discovery.Registry
	counter    *tally.Server
	instances  []*instance
	meter      *lateness.Meter
	lastID     atomic.Uint64
	notes      notes
	wg         sync.WaitGroup // of troubles
	closers    []func()

	mu             sync.Mutex // of all below
	backends       []*backend.Backend
	targets        []discovery.Target
	hosts          int
	clientRequests []clientRequest
	failures       []failure
	said           []rulecheck.Notification // by operators
	findings       []Finding
}

// Run plays a run. An error means that it could not be played.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, 31))
	r := &run{cfg: cfg, deployment: drawDeployment(rng), began: time.Now(), network: fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))}
	r.lastID.Store(cfg.Seed << 40)
	defer r.close()
	if err := r.open(ctx); err != nil {
		return nil, err
	}
	r.load(ctx, rng)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	r.endAll()
	return r.judge(), nil
}

func (r *run) clock() time.Duration { return time.Since(r.began) }

func (r *run) onClose(do func()) { r.closers = append(r.closers, do) }

func (r *run) close() {
	for _, do := range slices.Backward(r.closers) {
		do()
	}
}

// open starts everything.
func (r *run) open(ctx context.Context) (err error) {
	if r.dir, err = os.MkdirTemp("", "hitchspring-overlap-"); err != nil {
		return err
	}
	r.onClose(func() { os.RemoveAll(r.dir) })
	if r.logs = r.cfg.Logs; r.logs == "" {
		r.logs = r.dir
	}
	if err := os.MkdirAll(r.logs, 0o755); err != nil {
		return err
	}
	r.meter = lateness.Start(r.clock)
	r.onClose(r.meter.Close)
	if r.counter, err = tally.Start(r.network+".1:0", r.cfg.Seed); err != nil {
		return err
	}
	r.onClose(r.counter.Close)
	r.fleet = backend.NewFleet(r.deployment.nodeRules(), r.cfg.Seed, r.clock)
	r.onClose(r.fleet.Close)
	r.registry = discovery.New(r.cfg.Seed, r.clock, listLeast, listMost)
	r.onClose(r.registry.Close)
	if err := r.openInstances(); err != nil {
		return err
	}
	r.hosts = 1
	for b := range r.deployment.backends {
		n, t, err := r.addBackend(b, false)
		if err != nil {
			return err
		}
		r.backends, r.targets = append(r.backends, n), append(r.targets, t)
		r.registry.Set(t, true)
	}
	return r.startAll(ctx)
}

// openInstances prepares the instances, each with two agents of discovery; agent k of instance i has the number i + k times the instances.
func (r *run) openInstances() error {
	for n := range r.cfg.Instances {
		in, err := r.newInstance(n)
		if err != nil {
			return err
		}
		r.instances = append(r.instances, in)
	}
	for k := range 2 {
		for _, in := range r.instances {
			addr, err := r.registry.Agent()
			if err != nil {
				return err
			}
			in.agents[k] = addr
		}
	}
	for _, in := range r.instances {
		if err := in.write(0); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) startAll(ctx context.Context) error {
	r.onClose(r.endAll)
	errs := make([]error, len(r.instances))
	var wg sync.WaitGroup
	for i, in := range r.instances {
		wg.Go(func() { errs[i] = in.start(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// endAll ends what still runs.
func (r *run) endAll() {
	var wg sync.WaitGroup
	for _, in := range r.instances {
		wg.Go(func() {
			in.acting.Lock()
			defer in.acting.Unlock()
			if in.Running() {
				in.expect(&in.terms)
				in.Stop(syscall.SIGTERM)
			}
		})
	}
	wg.Wait()
}

// addBackend starts a backend, on a host that none had before.
func (r *run) addBackend(b int, cold bool) (*backend.Backend, discovery.Target, error) {
	r.mu.Lock()
	r.hosts++
	host := fmt.Sprintf("%s.%d", r.network, r.hosts)
	full := r.hosts >= firstInstanceHost
	r.mu.Unlock()
	if full {
		return nil, discovery.Target{}, errors.New("too many backends have been started in one run")
	}
	spec := r.deployment.spec(b)
	n, err := r.fleet.Add(spec, host, cold, r.cfg.Instances)
	if err != nil {
		return nil, discovery.Target{}, err
	}
	addrs := n.Addrs()
	t := discovery.Target{UID: spec.ID, Endpoint: addrs[0], Endpoints: append(addrs, addrs...), Zone: spec.Zone, Model: spec.Kind, Group: spec.Rack, State: "SERVING", Capacity: 1}
	if cold {
		t.BootMS = time.Now().UnixMilli()
	}
	return n, t, nil
}

// backend is a backend as it runs now.
func (r *run) backend(b int) *backend.Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.backends[b]
}

// tell changes a backend's state in the list.
func (r *run) tell(b int, state string) {
	r.mu.Lock()
	t := r.targets[b]
	r.mu.Unlock()
	t.State = state
	r.registry.Set(t, false)
}

// restartBackend ends a backend and starts it cold, at other addresses under its old id.
func (r *run) restartBackend(b int) {
	r.backend(b).Stop()
	n, t, err := r.addBackend(b, true)
	if err != nil {
		r.notes.add(err.Error())
		return
	}
	r.mu.Lock()
	r.backends[b], r.targets[b] = n, t
	r.mu.Unlock()
	r.registry.Set(t, false)
}

// discoveryFails has both agents of some instances fail for a while.
func (r *run) discoveryFails(ctx context.Context, which []int, how discovery.Failure, d time.Duration) {
	from := r.clock()
	set := func(how discovery.Failure) {
		for _, i := range which {
			r.registry.Fail(i, how)
			r.registry.Fail(i+r.cfg.Instances, how)
		}
	}
	set(how)
	sleep(ctx, d)
	set(discovery.Answering)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, failure{instances: which, silent: how == discovery.Silent, from: from, to: r.clock()})
}

// load plays clients and troubles, and waits until all have ended.
func (r *run) load(ctx context.Context, rng *rand.Rand) {
	troubles := r.drawTroubles(rng)
	playing, end := context.WithTimeout(ctx, r.cfg.Length)
	defer end()
	var clients sync.WaitGroup
	for n, in := range r.instances {
		for k, client := range []func(context.Context, *instance, *rand.Rand){
			r.steady, r.resting, r.pipelining, r.leaving, r.slow, r.stalling, r.unpaced,
		} {
			own := rand.New(rand.NewPCG(r.cfg.Seed, uint64(1000+n*10+k)))
			clients.Go(func() { client(playing, in, own) })
		}
	}
	acting, stop := context.WithTimeout(ctx, r.cfg.Length+settle)
	defer stop()
	r.play(acting, r.clock(), troubles)
	clients.Wait()
	r.wg.Wait()
}

// Report is what a run comes to.
type Report struct {
	Seed               uint64
	Instances          int
	Requests           int
	Served             int
	Refused            int
	Failed             int
	NoConnection       int
	Starts             int
	Overruns           int
	LateSignals        int           // sent after a first SIGTERM
	RequestsInShutdown int           // requests sent after a SIGTERM on a connection that was open
	NearestToKill      time.Duration // the least time that was left to SIGKILL at an end after SIGTERM
	SlowestStart       time.Duration
	LatestObserver     time.Duration
	Faults             []string
	Findings           []Finding
	NearestToCeiling   float64
	NearestToOverload  float64
}

func (r *run) report(v rulecheck.Result) *Report {
	out := &Report{
		Seed: r.cfg.Seed, Instances: r.cfg.Instances, Requests: len(r.clientRequests), Faults: r.notes.lines, Findings: r.findings, LatestObserver: v.WorstDelay,
		NearestToCeiling: v.Margins.Ceiling, NearestToOverload: v.Margins.SlowStartPush,
	}
	for i := range r.clientRequests {
		a := &r.clientRequests[i]
		if !a.fresh && !a.noConnect && a.in.leavingFor(a.sent) > 0 {
			out.RequestsInShutdown++
		}
		switch {
		case a.noConnect:
			out.NoConnection++
		case len(a.answers) == 0:
		case a.answers[0].Kind == "served":
			out.Served++
		case a.answers[0].Kind == "refused":
			out.Refused++
		default:
			out.Failed++
		}
	}
	for _, in := range r.instances {
		out.Starts += len(in.startup)
		out.Overruns += len(in.overrun)
		out.LateSignals += in.lateSignals
		if in.nearestKill > 0 && (out.NearestToKill == 0 || in.nearestKill < out.NearestToKill) {
			out.NearestToKill = in.nearestKill
		}
		for _, took := range in.startup {
			out.SlowestStart = max(out.SlowestStart, took)
		}
	}
	return out
}

// Certain are the findings that no lateness of the observers explains.
func (r *Report) Certain() (n int) {
	for _, f := range r.Findings {
		if !f.Doubtful {
			n++
		}
	}
	return n
}

// Line sums a run up.
func (r *Report) Line() string {
	return fmt.Sprintf("seed %d: %d requests at %d instances, served %d, refused %d, failed %d, not connected %d; %d starts, slowest %v, %d killed at the end of their time, nearest %v; %d signals and %d requests in shutdowns; ceiling %+.2f, cold %.2f, observers late by %v: %d breaks, %d certain",
		r.Seed, r.Requests, r.Instances, r.Served, r.Refused, r.Failed, r.NoConnection, r.Starts, r.SlowestStart.Round(time.Millisecond), r.Overruns, r.NearestToKill.Round(time.Millisecond), r.LateSignals, r.RequestsInShutdown,
		r.NearestToCeiling, r.NearestToOverload,
		r.LatestObserver.Round(time.Millisecond), len(r.Findings), r.Certain())
}

// Text is all that is known of the breaks, up to so many of each rule.
func (r *Report) Text(most int) string {
	var b strings.Builder
	seen := map[string]int{}
	for _, f := range r.Findings {
		if seen[f.Rule]++; seen[f.Rule] > most {
			continue
		}
		doubt := ""
		if f.Doubtful {
			doubt = " (observers were late)"
		}
		fmt.Fprintf(&b, "  %s at %.3f s: %s%s\n", f.Rule, f.At.Seconds(), f.Detail, doubt)
		for _, line := range f.Story {
			fmt.Fprintf(&b, "      %s\n", line)
		}
	}
	for rule, n := range seen {
		fmt.Fprintf(&b, "  %s: %d times\n", rule, n)
	}
	if len(r.Findings) > 0 {
		for _, t := range r.Faults {
			fmt.Fprintf(&b, "  trouble at %s\n", t)
		}
	}
	return b.String()
}
