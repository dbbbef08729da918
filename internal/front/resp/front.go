// Package resp is the front for the platform's clients. It accepts connections
// on one listener and reads pipelined commands in RESP2: PING, Q.ASK and Q.DO.
// Each command that a backend would take becomes a core.Request, and its answer
// goes out on the same connection, in the order of the commands. Connections,
// bytes of unfinished commands, commands without an answer and bytes of unread
// answers are all bounded. The package doesn't know how a request is decided or
// where it is sent.
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
	// Submit takes a request; its answer comes through the request's Sink.
	Submit(*core.Request)
	// NotifyDisconnected says that the clients of these requests have disconnected.
	NotifyDisconnected([]*core.Request)
	// Class finds a request class of the settings in force.
	Class(name string) (policy.Class, bool)
	// Plan reports whether the settings in force have a plan of this name.
	Plan(name string) bool
	// Instances is the number of instances of the ingress.
	Instances() int
	// MaxUnits is the most units that one request may cost.
	MaxUnits() float64
	// GiveUpAt is when a client gives up that sent a request at a time and
	// waits for d, on the core's clock.
	GiveUpAt(c policy.Class, at time.Time, d time.Duration) time.Duration
}

// Front accepts clients on one address. Its methods may be called from any
// goroutine.
//
// Start begins two goroutines: one accepts connections, one closes idle ones.
// Each connection has two more, a reader and a writer. Drain ends them all.
// Locks are taken in the order reserveMu, mu, and the mu of one connection.
type Front struct {
	listener      net.Listener
	core          Core
	metrics       *metrics.Set
	guard         *guard.Monitor
	requestMemory *resp.Budget // for the bytes of commands that are being read
	maxUnsent     int64        // bytes of answers that clients may leave unread, all together
	unsent        atomic.Int64 // bytes of answers that are not written

	slots          chan struct{} // holds one element for each connection and each reserved slot
	slotsToReserve atomic.Int64  // slots to be left to another process

	reserveMu     sync.Mutex // guards slotsReserved
	slotsReserved int        // slots that no connection can take any more

	mu          sync.Mutex // guards connections
	connections map[*connection]bool
	serving     sync.WaitGroup // of connections

	drainingSince atomic.Int64  // nanoseconds of Unix time; 0: the front is not draining
	terminating   atomic.Bool   // draining, and the process is about to end
	changed       chan struct{} // holds an element after drainingSince or slotsToReserve has changed

	stop      context.CancelFunc // ends the goroutine that closes idle connections
	accepting sync.WaitGroup     // of the goroutine that accepts
	reaping   sync.WaitGroup     // of the goroutine that closes idle connections
}

// New returns a front on listener that does not serve yet. It takes up to
// maxConnections connections; memory bounds, in bytes, the unfinished commands
// of all connections, and separately their unread answers.
func New(listener net.Listener, c Core, maxConnections, memory int) *Front {
	return &Front{
		listener:      listener,
		core:          c,
		metrics:       metrics.New(nil, nil, nil),
		requestMemory: resp.NewBudget(memory),
		maxUnsent:     int64(memory),
		slots:         make(chan struct{}, maxConnections),
		connections:   map[*connection]bool{},
		changed:       make(chan struct{}, 1),
	}
}

// Observe has the front count in the metrics and invariants of a process. It is
// called before Start.
func (f *Front) Observe(set *metrics.Set, monitor *guard.Monitor) {
	f.metrics, f.guard = set, monitor
}

// Start serves until Drain.
func (f *Front) Start() {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.accepting.Go(f.accept)
	f.reaping.Go(func() { f.reapIdle(ctx) })
}

// SetMaxConnections changes how many connections there may be, up to the number
// given to New. If there are more, the idlest are closed.
func (f *Front) SetMaxConnections(n int) {
	f.slotsToReserve.Store(int64(max(0, cap(f.slots)-n)))
	f.notifyChanged()
}

// MaxConnections is the largest number of connections, as given to New.
func (f *Front) MaxConnections() int { return cap(f.slots) }

// OpenConnections is the number of connections.
func (f *Front) OpenConnections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.connections)
}

// notifyChanged wakes the goroutine that closes idle connections after a change
// of drainingSince or slotsToReserve. It never blocks.
func (f *Front) notifyChanged() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}
