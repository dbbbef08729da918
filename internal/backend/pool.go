// Package backend manages the connections to the playout backends: a connection pool for each backend, dials within
// limits, and the attempts and health checks that the connections carry. Its input is the endpoint list and the
// attempts to start or abort. For each attempt it reports one outcome, which says whether the attempt may have run. It
// decides neither where an attempt is sent nor whether it is retried, and knows nothing about clients.
//
// A Pool has no goroutine of its own and no lock: its owner's goroutine makes all calls. Each connection has two
// goroutines, started through Owner.Spawn, which notify the pool only by events and end with the connection or with the
// owner's context.
package backend

import (
	"context"
	"slices"
	"time"

	"hitchspring/internal/resp"
	"hitchspring/policy"
)

// Endpoint is a backend of the endpoint list, with its address.
type Endpoint struct {
	policy.Backend
	Addr string // host:port
}

// Event is reported by a connection; the owner passes it to Pool.Handle on its own goroutine.
type Event interface{ event() }

// Owner runs a pool. Only its goroutine calls the pool; of its methods, only Post and Spawn are called from other
// goroutines too.
type Owner interface {
	// Now returns the time on the owner's clock, which doesn't advance during a call of the pool.
	Now() time.Duration
	// After calls do on the owner's goroutine after d.
	After(d time.Duration, do func())
	// Post passes an event to the owner's goroutine, which calls Handle with it. The events of one connection are
	// handled in order.
	Post(Event)
	// Spawn starts a goroutine with a context that ends with the owner. The owner waits for the goroutine to return.
	Spawn(run func(context.Context))
	// AttemptWanted is called right before an attempt is assigned to a connection. If it returns false, the attempt
	// ends with policy.NotSent.
	AttemptWanted(a *Attempt) bool
	// AttemptEnded notifies the owner how an attempt ended, once for each attempt.
	AttemptEnded(a *Attempt, o policy.Outcome, r Reply)
	// AttemptBegan notifies the owner that the header of a large value has arrived, which is streamed; AttemptEnded
	// follows at its end. From then on the attempt ends early only if the stream stalls or is closed, and not at its
	// deadline. If AttemptBegan returns false, the value is not wanted and the attempt ends with policy.Canceled.
	AttemptBegan(a *Attempt, s *Stream) (wanted bool)
}

// Config holds the limits of a pool.
type Config struct {
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration // after which a backend closes an idle connection
	MaxConnections int           // to all backends together
	FrameBudget    *resp.Budget  // memory for partially received replies
	OnSent         func()        // called from any goroutine for each request that was written completely
}

// Pool holds the connections to all backends. It is not safe for concurrent use: only its owner's goroutine calls it.
type Pool struct {
	cfg          Config
	owner        Owner
	backends     map[policy.BackendID]*backendPool
	connections  int         // to all backends, from dial to close
	limitReached bool        // an attempt was queued because of MaxConnections
	dials        int         // started so far
	startConn    func(*conn) // runs a connection; tests replace it
}

// New returns a pool without backends.
func New(owner Owner, cfg Config) *Pool {
	if cfg.OnSent == nil {
		cfg.OnSent = func() {}
	}
	return &Pool{
		cfg:      cfg,
		owner:    owner,
		backends: map[policy.BackendID]*backendPool{},
		startConn: func(c *conn) {
			owner.Spawn(func(ctx context.Context) { c.run(ctx, cfg.ConnectTimeout, owner.Post) })
		},
	}
}

// Dials returns the number of dials started so far.
func (p *Pool) Dials() int { return p.dials }

// Update applies the endpoint list, complete or only its changes. A drain takes effect at once: attempts that wait for
// a connection to a backend that no longer serves end with policy.NotSent, so that they can be sent elsewhere.
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
		p.deleteIfRemoved(backend)
	}
}

// cancelWaiting ends the queued attempts of a backend that no longer serves, except health checks.
func (p *Pool) cancelWaiting(backend *backendPool) {
	for _, attempt := range slices.Clone(backend.waiting) {
		if attempt.Command != nil && p.removeWaiting(attempt) {
			p.finish(attempt, policy.NotSent, Reply{})
		}
	}
}

// Backends returns the backends that are on the endpoint list, in no particular order.
func (p *Pool) Backends() (out []policy.Backend) {
	for _, backend := range p.backends {
		if backend.State != policy.Gone {
			out = append(out, backend.Backend)
		}
	}
	return out
}

// Contains reports whether a backend is on the endpoint list, or was removed from it but is still in use.
func (p *Pool) Contains(id policy.BackendID) bool { return p.backends[id] != nil }

// Addr returns the address of a backend, and whether it serves according to the endpoint list.
func (p *Pool) Addr(id policy.BackendID) (addr string, serves bool) {
	backend := p.backends[id]
	if backend == nil {
		return "", false
	}
	return backend.addr, backend.State == policy.Running
}

// deleteIfRemoved deletes a backend that was removed from the endpoint list once it has no connections and no queued
// attempts. New backends have new ids, so that the map would grow without bound otherwise.
func (p *Pool) deleteIfRemoved(backend *backendPool) {
	unused := backend.connections == 0 && len(backend.waiting) == 0
	if backend.State == policy.Gone && unused && p.backends[backend.ID] == backend {
		delete(p.backends, backend.ID)
	}
}
