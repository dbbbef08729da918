// Package nodes is the connections to the playout nodes: a pool for each, dials within bounds, attempts and probes on them, and
// what is known of each attempt's end. In: the list of nodes, attempts to start and to give up. Out: one outcome for each
// attempt, which says whether it may have run. It decides neither where an attempt goes nor whether there is another, and
// knows no client.
package backend

import (
	"context"
	"slices"
	"time"

	"hitchspring/internal/resp"
	"hitchspring/policy"
)

// Entry is a node of the list, with its address.
type Endpoint struct {
	policy.Backend
	Addr string
}

// Event is news of a connection; the owner hands it to Handle on its own goroutine.
type Event interface{ event() }

// Owner runs a pool. Its goroutine is the one that calls the pool; Post and Spawn alone are called by others too.
type Owner interface {
	// Now is the time by the owner's clock, which stands still while the pool is called.
	Now() time.Duration
	// After calls do on the owner's goroutine after a while.
	After(d time.Duration, do func())
	// Post hands an event to the owner's goroutine, which calls Handle with it, in order for each connection.
	Post(Event)
	// Spawn starts a goroutine whose context ends with the owner's life, and which is waited for.
	Spawn(run func(context.Context))
	// AttemptWanted is asked right before an attempt is handed to a connection. False: it ends as Moot, never sent.
	AttemptWanted(a *Attempt) bool
	// AttemptEnded tells how an attempt ended, once for each.
	AttemptEnded(a *Attempt, o policy.Outcome, r Reply)
	// AttemptBegan tells of an attempt whose value has begun to come and is passed on; its end is told later. From now on the
	// time does not end it any more: want of progress does, or Close of the stream. False: the value is not wanted, the attempt ends
	// as Cancelled.
	AttemptBegan(a *Attempt, s *Stream) (wanted bool)
}

// Config is the bounds of a pool.
type Config struct {
	ConnectTimeout time.Duration
	Idle           time.Duration // a node closes a connection that has been idle for so long
	MaxConnections int           // to all nodes together
	Frames         *resp.Budget  // memory of answers that are coming in
	OnSent         func()        // told of each attempt that was written to its last byte, from any goroutine
}

// Pool is the connections to all nodes. It is not safe for many goroutines: its owner's alone calls it.
type Pool struct {
	cfg          Config
	owner        Owner
	backends     map[policy.BackendID]*backendPool
	connections  int  // to all of them
	limitReached bool // an attempt waits because of MostConns
	dials        int
	startConn    func(*conn) // runs a connection; tests play it by themselves
}

// Dials is how many connections were begun.
func (p *Pool) Dials() int { return p.dials }

// New returns a pool that knows no node.
func New(owner Owner, cfg Config) *Pool {
	if cfg.OnSent == nil {
		cfg.OnSent = func() {}
	}
	return &Pool{cfg: cfg, owner: owner, backends: map[policy.BackendID]*backendPool{}, startConn: func(c *conn) {
		owner.Spawn(func(ctx context.Context) { c.run(ctx, cfg.ConnectTimeout, owner.Post) })
	}}
}

// Set brings the list of nodes, whole or its changes. A drain counts from here on: what waits for a connection to a node that
// does not serve any more ends now, as never sent, so that it can go elsewhere.
func (p *Pool) Update(list []Endpoint, complete bool) {
	if complete {
		for _, backend := range p.backends {
			backend.State = policy.Gone
		}
	}
	for _, endpoint := range list {
		backend := p.backends[endpoint.ID]
		if backend == nil {
			backend = &backendPool{}
			p.backends[endpoint.ID] = backend
		}
		backend.Backend = endpoint.Backend
		if endpoint.Addr != "" && endpoint.State != policy.Gone {
			backend.addr = endpoint.Addr
		}
	}
	p.RetireIdle()
	for _, backend := range p.backends {
		if backend.State != policy.Running {
			p.cancelWaiting(backend)
		}
		p.forgetIfGone(backend)
	}
}

// turnAway ends what waits for a connection to a node that does not serve any more, but for probes.
func (p *Pool) cancelWaiting(backend *backendPool) {
	for _, attempt := range slices.Clone(backend.waiting) {
		if attempt.Command != nil && p.removeWaiting(attempt) {
			p.finish(attempt, policy.NotSent, Reply{})
		}
	}
}

// Servers are the nodes that are not gone.
func (p *Pool) Backends() (out []policy.Backend) {
	for _, backend := range p.backends {
		if backend.State != policy.Gone {
			out = append(out, backend.Backend)
		}
	}
	return out
}

// Knows says whether a node is on the list, or has not been forgotten yet.
func (p *Pool) Contains(id policy.BackendID) bool { return p.backends[id] != nil }

// Addr is where a node listens, and whether it serves by the list.
func (p *Pool) Addr(id policy.BackendID) (addr string, serves bool) {
	backend := p.backends[id]
	if backend == nil {
		return "", false
	}
	return backend.addr, backend.State == policy.Running
}

// drop forgets a node that is gone for good once nothing is out or open there: ids are ever new.
func (p *Pool) forgetIfGone(backend *backendPool) {
	if backend.State == policy.Gone && backend.connections == 0 && len(backend.waiting) == 0 && p.backends[backend.ID] == backend {
		delete(p.backends, backend.ID)
	}
}
