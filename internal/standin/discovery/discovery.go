// Package discovery is a stand-in for the platform's endpoint registry, which serves an endpoint list and a watch on it
// over HTTP. Each instance has its own agent. Changes reach the agents with a delay. Agents can be made silent or
// failing, and their call rate can be limited. The registry records every poll, every change that reached an agent, and
// when it was written to the agent's instance.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The states of an endpoint.
const (
	stateServing = "SERVING"
	stateDeleted = "DELETED" // used in changes only; lists omit deleted endpoints
)

// readHeaderTimeout is the time limit for reading the header of a request.
const readHeaderTimeout = 5 * time.Second

// Target is one endpoint of the endpoint list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"` // SERVING, DRAINING or, in changes only, DELETED
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`

	// Endpoints, indexed by agent, overrides Endpoint if each instance reaches the backend at a different address.
	Endpoints []string `json:"-"`
}

// list is the JSON form of an endpoint list.
type list struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Notification is a state change of an endpoint that was written to an instance, or that reached an agent.
type Notification struct {
	At    time.Duration
	Agent int
	UID   string
	State string
}

// Poll is one request of an instance for the list or a watch, whether or not it was answered.
type Poll struct {
	At    time.Duration
	Agent int
	// Watch is true for a request for a watch, false for a request for the list.
	Watch bool
	// Since is the value of the request's since parameter: the revision that the instance already has.
	Since string
	// Silent reports whether the agent was silent at that time.
	Silent bool
}

// Registry is the endpoint registry with its agents. It runs one HTTP server per agent, and one goroutine per change
// that has not reached an agent yet. Close stops them all and waits for them.
type Registry struct {
	clock    func() time.Duration // clock of all records
	minDelay time.Duration        // minimum delay until a change reaches an agent
	maxDelay time.Duration        // maximum delay
	ctx      context.Context      // done when the registry is closed
	stop     context.CancelFunc
	wg       sync.WaitGroup

	mu             sync.Mutex // guards the fields below, and the agents' fields
	rng            *rand.Rand
	revision       int64
	agents         []*agent
	notifications  []Notification // changes written to instances
	appliedChanges []Notification // changes that reached agents, whether or not they were written to an instance
	polls          []Poll
}

// New returns a registry without agents. Changes reach each agent after a random delay between minDelay and maxDelay.
// The clock provides the times of the records.
func New(seed uint64, clock func() time.Duration, minDelay, maxDelay time.Duration) *Registry {
	ctx, stop := context.WithCancel(context.Background())
	return &Registry{
		clock:    clock,
		minDelay: minDelay,
		maxDelay: maxDelay,
		ctx:      ctx,
		stop:     stop,
		rng:      rand.New(rand.NewPCG(seed, 11)),
		revision: 1,
	}
}

// AddAgent starts another agent and returns its host and port. The agent begins with a copy of the first agent's list,
// and receives later changes.
func (r *Registry) AddAgent() (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("discovery stand-in: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &agent{
		registry:  r,
		index:     len(r.agents),
		revision:  r.revision,
		targets:   map[string]Target{},
		revisions: map[string]int64{},
		changed:   make(chan struct{}),
	}
	if len(r.agents) > 0 {
		for uid, target := range r.agents[0].targets {
			a.targets[uid] = a.localize(target)
		}
	}
	a.server = &http.Server{
		Handler:           http.HandlerFunc(a.serve),
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return r.ctx },
	}
	r.agents = append(r.agents, a)
	r.wg.Go(func() {
		if err := a.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			panic(err) // the listener is closed only by server.Close
		}
	})
	return ln.Addr().String(), nil
}

// Close stops all agents.
func (r *Registry) Close() {
	r.stop()
	r.mu.Lock()
	for _, a := range r.agents {
		a.server.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// Set changes an endpoint. If immediately is set, the change reaches all agents at once. Otherwise it reaches them
// after a random delay; the agents' delays differ by at most a tenth of the range between minimum and maximum delay. An
// agent ignores a change that is older than the last one that it received for the endpoint.
func (r *Registry) Set(target Target, immediately bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	revision := r.revision
	spread := (r.maxDelay - r.minDelay) / 10
	base := r.minDelay + time.Duration(r.rng.Float64()*float64(r.maxDelay-r.minDelay-spread))
	for _, a := range r.agents {
		if immediately {
			a.applyChange(revision, target)
			continue
		}
		delay := base + time.Duration(r.rng.Float64()*float64(spread))
		r.wg.Go(func() { r.applyChangeAfter(delay, a, revision, target) })
	}
}

// applyChangeAfter applies a change to an agent after a delay, unless the registry is closed before.
func (r *Registry) applyChangeAfter(delay time.Duration, a *agent, revision int64, target Target) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-r.ctx.Done():
	case <-timer.C:
		r.mu.Lock()
		defer r.mu.Unlock()
		a.applyChange(revision, target)
	}
}

// Polls returns the instances' requests so far.
func (r *Registry) Polls() []Poll {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.polls)
}

// Notifications returns the changes written to instances so far.
func (r *Registry) Notifications() []Notification {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.notifications)
}

// AppliedChanges returns the changes that have reached agents so far, whether or not they were written to an instance.
func (r *Registry) AppliedChanges() []Notification {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.appliedChanges)
}
