// Package resp is the front for the platform's clients.
//
// In: connections of one listener, with pipelined commands in RESP2 (PING, Q.ASK, Q.DO). Out: a core.Request for each command that a backend
// would take, and its answer on the connection, in the order of commands. Connections, bytes of unfinished commands, unanswered commands of a
// connection and bytes of unread answers are bounded. It must never know how a request is decided or where it is sent.
//
// The listener takes a place for each connection; a connection has a reader and a writer, each a goroutine. Where all places are taken the
// idlest connection is evicted; the reaper closes those that have been idle for too long. A drain lets the clients go.
package resp

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hitchspring/internal/core"
	"hitchspring/internal/guard"
	"hitchspring/internal/metrics"
	"hitchspring/internal/resp"
	"hitchspring/policy"
)

// Core is what the front needs of the core.
type Core interface {
	Submit(*core.Request)
	NotifyDisconnected([]*core.Request)
	Class(name string) (policy.Class, bool)
	Plan(name string) bool
	Instances() int
	MaxUnits() float64
	GiveUpAt(c policy.Class, at time.Time, d time.Duration) time.Duration
}

// Front accepts clients on one address. Its methods may be called from any goroutine. Locks are taken in the order reserving, mu, and the
// mu of one connection.
type Front struct {
	listener      net.Listener
	core          Core
	metrics       *metrics.Set
	guard         *guard.Monitor
	requestMemory *resp.Budget // bytes of commands that are being read
	maxUnsent     int64        // bytes of answers that clients have not read, all together
	unsent        atomic.Int64

	slots          chan struct{} // one is taken by each connection, and by each place that is reserved
	slotsToReserve atomic.Int64  // places that are to be left to another process
	reserveMu      sync.Mutex    // of reserved
	slotsReserved  int           // those of them that no connection can take any more
	mu             sync.Mutex
	connections    map[*connection]bool
	serving        sync.WaitGroup // of connections

	drainingSince atomic.Int64  // nanoseconds of Unix time; 0: the front is not draining
	terminating   atomic.Bool   // draining, and the process is about to end
	changed       chan struct{} // room for one: drainingSince or toReserve has changed

	stop      context.CancelFunc
	accepting sync.WaitGroup // of the goroutine that accepts
	reaping   sync.WaitGroup // of the goroutine that reaps idle connections
}

// New returns a front on ln for at most so many connections, and so many bytes each of commands that come in and of
// answers that are unread. It does not serve yet.
func New(listener net.Listener, core Core, maxConnections, memory int) *Front {
	return &Front{
		listener:      listener,
		core:          core,
		metrics:       metrics.New(nil, nil, nil),
		requestMemory: resp.NewBudget(memory),
		maxUnsent:     int64(memory),
		slots:         make(chan struct{}, maxConnections),
		connections:   map[*connection]bool{},
		changed:       make(chan struct{}, 1),
	}
}

// Observe has the front count in a process' figures and invariants; it is called before Start.
func (f *Front) Observe(set *metrics.Set, monitor *guard.Monitor) { f.metrics, f.guard = set, monitor }

// Start serves until Drain.
func (f *Front) Start() {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.accepting.Go(f.accept)
	f.reaping.Go(func() { f.reapIdle(ctx) })
}

// SetMost changes how many connections there may be, up to what New was told; where there are more, the idlest are closed.
func (f *Front) SetMaxConnections(n int) {
	f.slotsToReserve.Store(int64(max(0, cap(f.slots)-n)))
	f.notify()
}

// Most is how many connections there may be at the most, as New was told.
func (f *Front) MaxConnections() int { return cap(f.slots) }

// Open is how many connections there are.
func (f *Front) OpenConnections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.connections)
}

// notify tells the goroutine that reaps idle connections that drainingSince or toReserve has changed; it never blocks.
func (f *Front) notify() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}
