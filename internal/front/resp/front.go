// Package resp is the front for clients that speak RESP2, the Redis protocol. It
// accepts connections on one listener and reads pipelined commands: PING, Q.ASK
// and Q.DO. Each valid Q.ASK or Q.DO is submitted to the core as a core.Request.
// Replies are written on the same connection, in the order of the commands. The
// front bounds the number of connections, the memory of incomplete commands, the
// commands in flight on a connection, the memory of unwritten replies and the
// processor time of all connections. Admission and routing are up to the core.
package resp

import (
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"hitchspring/internal/core"
	"hitchspring/internal/cputime"
	"hitchspring/internal/guard"
	"hitchspring/internal/metrics"
	"hitchspring/internal/resp"
	"hitchspring/policy"
)

// Core is the part of the core that the front uses.
type Core interface {
	// Submit accepts a request. The answer is delivered to the request's Sink.
	Submit(*core.Request)
	// ReserveMemory reserves memory for a request of so many bytes, to be submitted with MemoryReserved set. It reports
	// false if there is too little.
	ReserveMemory(bytes int) bool
	// ReleaseMemory gives back memory that was reserved for a request that is not submitted.
	ReleaseMemory(bytes int)
	// NotifyDisconnected reports that the clients of these requests have disconnected.
	NotifyDisconnected([]*core.Request)
	// Class looks up a request class in the current settings.
	Class(name string) (policy.Class, bool)
	// Plan reports whether the current settings have a plan with this name.
	Plan(name string) bool
	// Instances returns the number of instances of the ingress.
	Instances() int
	// MaxUnits returns the largest cost of one request, in units.
	MaxUnits() float64
	// GiveUpAt returns when the client of a request stops waiting, on the core's
	// clock. The request arrived at the given time and its client waits for d.
	GiveUpAt(c policy.Class, at time.Time, d time.Duration) time.Duration
}

// Front accepts clients on one address. Its methods may be called from any
// goroutine.
//
// Start starts two goroutines: one accepts connections, the other closes idle
// ones. Each connection has two more, a reader and a writer. Drain ends all of them.
// Lock order: reserveMu, mu, then the mu of one connection.
type Front struct {
	listener      net.Listener
	core          Core
	metrics       *metrics.Set
	guard         *guard.Monitor
	requestMemory *resp.Budget // for buffered bytes of commands
	replyMemory   *replyMemory // for replies until they are written
	processor     *cputime.Scheduler

	slots          chan struct{} // semaphore: one element per connection and per reserved slot
	slotsToReserve atomic.Int64  // number of slots to leave to another process

	reserveMu     sync.Mutex // guards slotsReserved
	slotsReserved int        // slots currently held back from connections

	mu          sync.Mutex // guards connections
	connections map[*connection]bool
	serving     sync.WaitGroup // of connections

	drainingSince atomic.Int64  // Unix time in nanoseconds; 0 if the front is not draining
	terminating   atomic.Bool   // Drain was called: the process is about to exit
	changed       chan struct{} // signals a change of drainingSince or slotsToReserve

	stop      context.CancelFunc // ends the goroutine that closes idle connections
	accepting sync.WaitGroup     // of the goroutine that accepts
	reaping   sync.WaitGroup     // of the goroutine that closes idle connections
}

// New returns a front on listener. Start makes it serve. There may be up to
// maxConnections connections. memory is a limit in bytes that applies separately to
// the buffered commands and to the unwritten replies of all connections.
func New(listener net.Listener, c Core, maxConnections, memory int) *Front {
	return &Front{
		listener:      listener,
		core:          c,
		metrics:       metrics.New(nil, nil, nil),
		requestMemory: resp.NewBudget(memory),
		replyMemory:   newReplyMemory(memory),
		processor:     cputime.NewScheduler(runtime.GOMAXPROCS(0)),
		slots:         make(chan struct{}, maxConnections),
		connections:   map[*connection]bool{},
		changed:       make(chan struct{}, 1),
	}
}

// Observe sets the metrics and the invariant monitor that the front reports to. It
// must be called before Start.
func (f *Front) Observe(set *metrics.Set, monitor *guard.Monitor) {
	f.metrics, f.guard = set, monitor
}

// ShareProcessor sets the scheduler of processor time, in place of the front's own.
// It must be called before Start.
func (f *Front) ShareProcessor(scheduler *cputime.Scheduler) { f.processor = scheduler }

// Start serves connections until Drain is called.
func (f *Front) Start() {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.accepting.Go(f.accept)
	f.reaping.Go(func() { f.reapIdle(ctx) })
}

// SetMaxConnections changes the maximum number of connections, up to the value
// given to New. If more are open, those that have been idle longest are closed.
func (f *Front) SetMaxConnections(n int) {
	f.slotsToReserve.Store(int64(max(0, cap(f.slots)-n)))
	f.notifyChanged()
}

// MaxConnections returns the maximum number of connections that was given to New.
func (f *Front) MaxConnections() int { return cap(f.slots) }

// OpenConnections returns the number of open connections.
func (f *Front) OpenConnections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.connections)
}

// notifyChanged wakes reapIdle after a change of drainingSince or slotsToReserve.
// It never blocks.
func (f *Front) notifyChanged() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}
