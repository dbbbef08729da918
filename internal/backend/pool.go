// Package backend holds the connections to the playout backends: a pool for each, dials within limits, and the
// attempts and health checks that they carry. It takes in the endpoint list, attempts to start and attempts to
// abort. For each attempt it yields one outcome, which says whether the attempt may have run. It decides neither
// where an attempt goes nor whether another follows, and knows no client.
//
// A Pool has no goroutine of its own and no lock: its owner's goroutine makes all calls. Each connection has two
// goroutines, started through Owner.Spawn, which reach the pool by events alone and end with the connection or with the
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

// Event is what a connection reports; the owner hands it to Handle on its own goroutine.
type Event interface{ event() }

// Owner runs a pool. Its goroutine is the one that calls the pool; only Post and Spawn are called by others too.
type Owner interface {
	// Now is the time by the owner's clock, which stands still while the pool is called.
	Now() time.Duration
	// After calls do on the owner's goroutine after d.
	After(d time.Duration, do func())
	// Post hands an event to the owner's goroutine, which calls Handle with it, in order for each connection.
	Post(Event)
	// Spawn starts a goroutine whose context ends with the owner, which waits for it.
	Spawn(run func(context.Context))
	// AttemptWanted is called right before an attempt is given to a connection. If it returns false, the attempt
	// ends with policy.NotSent.
	AttemptWanted(a *Attempt) bool
	// AttemptEnded notifies the owner how an attempt ended, once for each attempt.
	AttemptEnded(a *Attempt, o policy.Outcome, r Reply)
	// AttemptBegan notifies the owner that the head of an attempt's large value has arrived, which is streamed; its
	// end is reported later. From then on the attempt is not ended by its deadline but by lack of progress or Close
	// of the stream. If it returns false, the value is not wanted and the attempt ends with policy.Cancelled.
	AttemptBegan(a *Attempt, s *Stream) (wanted bool)
}

// Config holds the limits of a pool.
type Config struct {
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration // after which a backend closes an idle connection
	MaxConnections int           // to all backends together
	FrameBudget    *resp.Budget  // memory of replies that are arriving
	OnSent         func()        // called from any goroutine for each request that was written to its last byte
}

// Pool holds the connections to all backends. It is not safe for concurrent use: only its owner's goroutine calls it.
type Pool struct {
	cfg          Config
	owner        Owner
	backends     map[policy.BackendID]*backendPool
	connections  int         // to all backends, from dial to end
	limitReached bool        // an attempt waits because of MaxConnections
	dials        int         // connections that were begun
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

// Dials is how many connections were begun.
func (p *Pool) Dials() int { return p.dials }

// Update takes in the endpoint list, complete or only its changes. A drain counts from here on: what waits for a
// connection to a backend that does not serve any more ends now with policy.NotSent, so that it can go elsewhere.
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

// cancelWaiting ends what waits for a connection to a backend that does not serve any more, except health checks.
func (p *Pool) cancelWaiting(backend *backendPool) {
	for _, attempt := range slices.Clone(backend.waiting) {
		if attempt.Command != nil && p.removeWaiting(attempt) {
			p.finish(attempt, policy.NotSent, Reply{})
		}
	}
}

// Backends returns the backends that are not gone, in no order.
func (p *Pool) Backends() (out []policy.Backend) {
	for _, backend := range p.backends {
		if backend.State != policy.Gone {
			out = append(out, backend.Backend)
		}
	}
	return out
}

// Contains reports whether a backend is on the endpoint list, or has not been forgotten yet.
func (p *Pool) Contains(id policy.BackendID) bool { return p.backends[id] != nil }

// Addr returns where a backend listens, and whether it serves by the endpoint list.
func (p *Pool) Addr(id policy.BackendID) (addr string, serves bool) {
	backend := p.backends[id]
	if backend == nil {
		return "", false
	}
	return backend.addr, backend.State == policy.Running
}

// forgetIfGone forgets a backend that has left the endpoint list once no connection is open and no attempt waits there.
// Backends come under ever new ids, so that the map would grow otherwise.
func (p *Pool) forgetIfGone(backend *backendPool) {
	unused := backend.connections == 0 && len(backend.waiting) == 0
	if backend.State == policy.Gone && unused && p.backends[backend.ID] == backend {
		delete(p.backends, backend.ID)
	}
}
