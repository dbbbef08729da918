// Package soak runs many ingress processes under faults that overlap. Instances are terminated, killed, paused and
// reconfigured; backends, discovery and the counter fail in many ways; clients misbehave. All of it is drawn from a
// seed.
//
// Its input is a program and a seed. Its output is a report with each violation of a rule, found from what clients,
// backends and discovery observed and from the invariant violations that the program logs. It never inspects how an
// instance decided. The command is `lab overlap`.
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

// The bounds and delays of a run.
const (
	MaxInstances         = 30
	MaxLength            = 5 * time.Minute
	firstInstanceHost    = 221                    // last byte of the address of instance 0; backends have lower ones
	minNotificationDelay = 100 * time.Millisecond // of a list change on its way to an agent
	maxNotificationDelay = 600 * time.Millisecond
	settleTimeout        = 6 * time.Second // after the load, for requests and faults that have not ended
)

// Config describes a run.
type Config struct {
	Program   string
	Seed      uint64
	Instances int
	Length    time.Duration // of the load
	LogDir    string        // directory of the instances' logs; empty: a temporary one
}

// validate returns an error that names the first field that is out of range.
func (c *Config) validate() error {
	switch {
	case c.Instances < 1 || c.Instances > MaxInstances:
		return fmt.Errorf("instances: %d is out of range, 1 to %d", c.Instances, MaxInstances)
	case c.Length < 2*firstClusterAt || c.Length > MaxLength:
		return fmt.Errorf("length: %v is out of range, %v to %v", c.Length, 2*firstClusterAt, MaxLength)
	}
	return nil
}

// agentNotification is a backend state that reached an agent of discovery.
type agentNotification = discovery.Notification

// discoveryFailure is a span in which discovery failed for some instances.
type discoveryFailure struct {
	instances []int
	silent    bool
	from, to  time.Duration
}

// faultLog is the injected faults and the errors of injecting them, one line each. It is safe for concurrent use.
type faultLog struct {
	mu    sync.Mutex
	lines []string
}

func (n *faultLog) add(line string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lines = append(n.lines, line)
}

// run is the state of one run.
type run struct {
	cfg             Config
	deployment      deployment
	startedAt       time.Time
	tempDir, logDir string
	networkPrefix   string // first three bytes of the run's loopback addresses
	fleet           *backend.Fleet
	registry        *discovery.Registry
	counter         *tally.Server
	instances       []*instance
	meter           *lateness.Meter
	lastID          atomic.Uint64
	faultLog        faultLog
	wg              sync.WaitGroup // of the faults
	closers         []func()

	mu                    sync.Mutex // guards all below
	backends              []*backend.Backend
	targets               []discovery.Target
	usedHosts             int // number of hosts that backends have used
	clientRequests        []clientRequest
	discoveryFailures     []discoveryFailure
	operatorNotifications []rulecheck.Notification // overrides that operators set
	violations            []Violation
}

// Run carries out a run and checks it. An error means that it could not be carried out.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, 31))
	r := &run{cfg: cfg, deployment: drawDeployment(rng), startedAt: time.Now(), networkPrefix: fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))}
	r.lastID.Store(cfg.Seed << 40)
	defer r.close()
	if err := r.setUp(ctx); err != nil {
		return nil, err
	}
	r.runLoad(ctx, rng)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	r.stopInstances()
	return r.checkRun(), nil
}

func (r *run) clock() time.Duration { return time.Since(r.startedAt) }

func (r *run) onClose(closer func()) { r.closers = append(r.closers, closer) }

func (r *run) close() {
	for _, closer := range slices.Backward(r.closers) {
		closer()
	}
}

// setUp starts the stand-ins, the backends and the instances.
func (r *run) setUp(ctx context.Context) (err error) {
	if r.tempDir, err = os.MkdirTemp("", "hitchspring-overlap-"); err != nil {
		return err
	}
	r.onClose(func() { os.RemoveAll(r.tempDir) })
	if r.logDir = r.cfg.LogDir; r.logDir == "" {
		r.logDir = r.tempDir
	}
	if err := os.MkdirAll(r.logDir, 0o755); err != nil {
		return err
	}
	r.meter = lateness.Start(r.clock)
	r.onClose(r.meter.Close)
	if r.counter, err = tally.Start(r.networkPrefix+".1:0", r.cfg.Seed); err != nil {
		return err
	}
	r.onClose(r.counter.Close)
	r.fleet = backend.NewFleet(r.deployment.backendRules(), r.cfg.Seed, r.clock)
	r.onClose(r.fleet.Close)
	r.registry = discovery.New(r.cfg.Seed, r.clock, minNotificationDelay, maxNotificationDelay)
	r.onClose(r.registry.Close)
	if err := r.prepareInstances(); err != nil {
		return err
	}
	r.usedHosts = 1
	for b := range r.deployment.backends {
		n, t, err := r.addBackend(b, false)
		if err != nil {
			return err
		}
		r.backends, r.targets = append(r.backends, n), append(r.targets, t)
		r.registry.Set(t, true)
	}
	return r.startInstances(ctx)
}

// prepareInstances prepares the instances and gives each two agents of discovery. The agents of instance i have the
// numbers i and i + cfg.Instances.
func (r *run) prepareInstances() error {
	for n := range r.cfg.Instances {
		in, err := r.newInstance(n)
		if err != nil {
			return err
		}
		r.instances = append(r.instances, in)
	}
	for k := range 2 {
		for _, in := range r.instances {
			addr, err := r.registry.AddAgent()
			if err != nil {
				return err
			}
			in.discoveryAgents[k] = addr
		}
	}
	for _, in := range r.instances {
		if err := in.writeConfig(0); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) startInstances(ctx context.Context) error {
	r.onClose(r.stopInstances)
	errs := make([]error, len(r.instances))
	var wg sync.WaitGroup
	for i, in := range r.instances {
		wg.Go(func() { errs[i] = in.start(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// stopInstances terminates the instances that are running.
func (r *run) stopInstances() {
	var wg sync.WaitGroup
	for _, in := range r.instances {
		wg.Go(func() {
			in.operationMu.Lock()
			defer in.operationMu.Unlock()
			if in.Running() {
				in.expectExit(&in.terminatedAt)
				in.Stop(syscall.SIGTERM)
			}
		})
	}
	wg.Wait()
}

// addBackend starts a backend on a host that no other backend has used.
func (r *run) addBackend(b int, slowStart bool) (*backend.Backend, discovery.Target, error) {
	r.mu.Lock()
	r.usedHosts++
	host := fmt.Sprintf("%s.%d", r.networkPrefix, r.usedHosts)
	full := r.usedHosts >= firstInstanceHost
	r.mu.Unlock()
	if full {
		return nil, discovery.Target{}, errors.New("too many backends have been started in one run")
	}
	backendSpec := r.deployment.backendSpec(b)
	n, err := r.fleet.Add(backendSpec, host, slowStart, r.cfg.Instances)
	if err != nil {
		return nil, discovery.Target{}, err
	}
	addrs := n.Addrs()
	t := discovery.Target{UID: backendSpec.ID, Endpoint: addrs[0], Endpoints: append(addrs, addrs...), Zone: backendSpec.Zone, Model: backendSpec.Kind, Group: backendSpec.Rack, State: "SERVING", Capacity: 1}
	if slowStart {
		t.BootMS = time.Now().UnixMilli()
	}
	return n, t, nil
}

// backend returns the current process of a backend.
func (r *run) backend(b int) *backend.Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.backends[b]
}

// setBackendState changes the state of a backend in the endpoint list.
func (r *run) setBackendState(b int, state string) {
	r.mu.Lock()
	t := r.targets[b]
	r.mu.Unlock()
	t.State = state
	r.registry.Set(t, false)
}

// restartBackend stops a backend and starts it again under the same id, at other addresses and in slow start.
func (r *run) restartBackend(b int) {
	r.backend(b).Stop()
	n, t, err := r.addBackend(b, true)
	if err != nil {
		r.faultLog.add(err.Error())
		return
	}
	r.mu.Lock()
	r.backends[b], r.targets[b] = n, t
	r.mu.Unlock()
	r.registry.Set(t, false)
}

// failDiscovery makes both agents of some instances fail for a while.
func (r *run) failDiscovery(ctx context.Context, which []int, kind discovery.Failure, d time.Duration) {
	from := r.clock()
	set := func(kind discovery.Failure) {
		for _, i := range which {
			r.registry.Fail(i, kind)
			r.registry.Fail(i+r.cfg.Instances, kind)
		}
	}
	set(kind)
	sleep(ctx, d)
	set(discovery.Answering)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discoveryFailures = append(r.discoveryFailures, discoveryFailure{instances: which, silent: kind == discovery.Silent, from: from, to: r.clock()})
}

// runLoad runs the clients and injects the faults, and waits until all have ended.
func (r *run) runLoad(ctx context.Context, rng *rand.Rand) {
	faults := r.drawFaults(rng)
	loadCtx, cancelLoad := context.WithTimeout(ctx, r.cfg.Length)
	defer cancelLoad()
	var clients sync.WaitGroup
	for n, in := range r.instances {
		for k, client := range []func(context.Context, *instance, *rand.Rand){
			r.steadyClient, r.idleClient, r.pipeliningClient, r.disconnectingClient, r.slowClient, r.stallingClient, r.unpacedClient,
		} {
			clientRNG := rand.New(rand.NewPCG(r.cfg.Seed, uint64(1000+n*10+k)))
			clients.Go(func() { client(loadCtx, in, clientRNG) })
		}
	}
	faultCtx, cancelFaults := context.WithTimeout(ctx, r.cfg.Length+settleTimeout)
	defer cancelFaults()
	r.injectFaults(faultCtx, r.clock(), faults)
	clients.Wait()
	r.wg.Wait()
}

// Report is the outcome of a run. The counts are those of requests, unless a comment says otherwise.
type Report struct {
	Seed               uint64
	Instances          int
	Requests           int
	Served             int
	Refused            int
	Failed             int
	NoConnection       int
	Starts             int           // of instances
	ShutdownTimeouts   int           // instances killed because their shutdown outlasted its limit
	LateSignals        int           // signals sent to an instance after its first SIGTERM
	RequestsInShutdown int           // sent on an open connection after a SIGTERM
	MinTimeBeforeKill  time.Duration // shortest time from the end of a shutdown to its limit
	SlowestStart       time.Duration // of an instance
	MaxObserverDelay   time.Duration
	Faults             []string // what was injected, one line each
	Violations         []Violation
	CeilingMargin      float64 // nearest tenant to its ceiling, see rulecheck.Margins
	SlowStartLoad      float64 // highest of a backend warming up, see rulecheck.Margins
}

// report returns the report of the run from what was recorded and the result of the rule checker.
func (r *run) report(v rulecheck.Result) *Report {
	out := &Report{
		Seed: r.cfg.Seed, Instances: r.cfg.Instances, Requests: len(r.clientRequests), Faults: r.faultLog.lines, Violations: r.violations, MaxObserverDelay: v.MaxObserverDelay,
		CeilingMargin: v.Margins.Ceiling, SlowStartLoad: v.Margins.SlowStartPush,
	}
	for i := range r.clientRequests {
		req := &r.clientRequests[i]
		if !req.firstOnConn && !req.notConnected && req.in.timeSinceShutdown(req.sent) > 0 {
			out.RequestsInShutdown++
		}
		switch {
		case req.notConnected:
			out.NoConnection++
		case len(req.answers) == 0:
		case req.answers[0].Kind == "served":
			out.Served++
		case req.answers[0].Kind == "refused":
			out.Refused++
		default:
			out.Failed++
		}
	}
	for _, in := range r.instances {
		out.Starts += len(in.startDurations)
		out.ShutdownTimeouts += len(in.timedOutAt)
		out.LateSignals += in.lateSignals
		if in.minTimeBeforeKill > 0 && (out.MinTimeBeforeKill == 0 || in.minTimeBeforeKill < out.MinTimeBeforeKill) {
			out.MinTimeBeforeKill = in.minTimeBeforeKill
		}
		for _, took := range in.startDurations {
			out.SlowestStart = max(out.SlowestStart, took)
		}
	}
	return out
}

// Certain returns the number of violations that no delay of the observers explains.
func (r *Report) Certain() (n int) {
	for _, f := range r.Violations {
		if !f.Doubtful {
			n++
		}
	}
	return n
}

// Line returns a summary in one line.
func (r *Report) Line() string {
	return fmt.Sprintf("seed %d: %d requests at %d instances, served %d, refused %d, failed %d, not connected %d; %d starts, slowest %v, %d killed at the end of their time, nearest %v; %d signals and %d requests in shutdowns; ceiling %+.2f, cold %.2f, observers late by %v: %d breaks, %d certain",
		r.Seed, r.Requests, r.Instances, r.Served, r.Refused, r.Failed, r.NoConnection, r.Starts, r.SlowestStart.Round(time.Millisecond), r.ShutdownTimeouts, r.MinTimeBeforeKill.Round(time.Millisecond), r.LateSignals, r.RequestsInShutdown,
		r.CeilingMargin, r.SlowStartLoad,
		r.MaxObserverDelay.Round(time.Millisecond), len(r.Violations), r.Certain())
}

// Text returns the details of the violations, up to maxPerRule of each rule, and the faults that were injected.
func (r *Report) Text(maxPerRule int) string {
	var b strings.Builder
	seen := map[string]int{}
	for _, f := range r.Violations {
		if seen[f.Rule]++; seen[f.Rule] > maxPerRule {
			continue
		}
		suffix := ""
		if f.Doubtful {
			suffix = " (observers were late)"
		}
		fmt.Fprintf(&b, "  %s at %.3f s: %s%s\n", f.Rule, f.At.Seconds(), f.Detail, suffix)
		for _, line := range f.Timeline {
			fmt.Fprintf(&b, "      %s\n", line)
		}
	}
	for rule, n := range seen {
		fmt.Fprintf(&b, "  %s: %d times\n", rule, n)
	}
	if len(r.Violations) > 0 {
		for _, faultLine := range r.Faults {
			fmt.Fprintf(&b, "  trouble at %s\n", faultLine)
		}
	}
	return b.String()
}
