// Package discovery is a stand-in for the platform's endpoint registry: an endpoint list and a watch on it over HTTP.
// Each instance talks to an agent of its own, and an agent learns of a change some time after it was made. Agents can
// be silenced, made to fail or limited in the calls that they take. An observer records every poll, what each agent
// learned, and when each agent wrote what to its instance.
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
	stateDeleted = "DELETED" // only in changes: a list leaves the endpoint out
)

// readHeaderTimeout limits how long an instance may take to send a request.
const readHeaderTimeout = 5 * time.Second

// Target is one endpoint of the list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"` // SERVING, DRAINING or, among changes, DELETED
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`

	// Endpoints replaces Endpoint, by agent, where each instance reaches the backend at an address of its own.
	Endpoints []string `json:"-"`
}

// list is an endpoint list as it goes over the wire.
type list struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Notification is one change of an endpoint's state: that it was written to an instance, or that an agent learned it.
type Notification struct {
	At    time.Duration
	Agent int
	UID   string
	State string
}

// Poll is one request of an instance, whether or not it was answered.
type Poll struct {
	At    time.Duration
	Agent int
	// Watch says whether the instance asked for a watch rather than a list.
	Watch bool
	// Since is the revision that the instance named.
	Since string
	// Mute says whether the agent was silent then.
	Mute bool
}

// Registry is the endpoint list and its agents. It runs an HTTP server for each agent, and a goroutine for each
// change that an agent has not learned yet; Close ends them all and waits for them.
type Registry struct {
	clock    func() time.Duration // of all records
	minDelay time.Duration        // until a change reaches an agent
	maxDelay time.Duration
	ctx      context.Context // done when the registry is closed
	stop     context.CancelFunc
	wg       sync.WaitGroup

	mu            sync.Mutex // guards all below, and the agents' fields
	rng           *rand.Rand
	revision      int64
	agents        []*agent
	notifications []Notification // changes written to instances
	learned       []Notification // changes that agents learned, whether or not they were written to an instance
	polls         []Poll
}

// New returns a registry without agents, whose changes reach each agent between minDelay and maxDelay late. The clock
// is that of its records.
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

// Agent starts a further agent and returns its host and port. The agent knows what the first agent knows, and learns
// what is changed with Set from then on.
func (r *Registry) Agent() (addr string, err error) {
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
		known:     map[string]Target{},
		revisions: map[string]int64{},
		changed:   make(chan struct{}),
	}
	if len(r.agents) > 0 {
		for uid, target := range r.agents[0].known {
			a.known[uid] = a.localize(target)
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
			panic(err) // nothing else closes the listener
		}
	})
	return ln.Addr().String(), nil
}

// Close ends all agents.
func (r *Registry) Close() {
	r.stop()
	r.mu.Lock()
	for _, a := range r.agents {
		a.server.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// Set changes an endpoint. If now is set, each agent learns of it at once. Otherwise each learns of it late, all
// within a tenth of the span between the minimum and the maximum delay. An agent ignores a change that is older than
// what it knows of the endpoint.
func (r *Registry) Set(target Target, now bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	revision := r.revision
	spread := (r.maxDelay - r.minDelay) / 10
	base := r.minDelay + time.Duration(r.rng.Float64()*float64(r.maxDelay-r.minDelay-spread))
	for _, a := range r.agents {
		if now {
			a.learn(revision, target)
			continue
		}
		delay := base + time.Duration(r.rng.Float64()*float64(spread))
		r.wg.Go(func() { r.learnAfter(delay, a, revision, target) })
	}
}

// learnAfter lets an agent learn of a change after a delay, unless the registry is closed before.
func (r *Registry) learnAfter(delay time.Duration, a *agent, revision int64, target Target) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-r.ctx.Done():
	case <-timer.C:
		r.mu.Lock()
		defer r.mu.Unlock()
		a.learn(revision, target)
	}
}

// Polls returns the requests of the instances so far.
func (r *Registry) Polls() []Poll {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.polls)
}

// Notifications returns the changes that were written to the instances so far.
func (r *Registry) Notifications() []Notification {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.notifications)
}

// Versions returns the changes that the agents have learned so far, whether or not they were written to an instance.
func (r *Registry) Versions() []Notification {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.learned)
}
