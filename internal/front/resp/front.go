// Package resp is the front for the platform's clients: commands in RESP2 in, answers out in their order, within bounds.
package resp

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hitchspring/internal/core"
	"hitchspring/internal/resp"
	"hitchspring/logic"
)

// Core is what the front needs of the core.
type Core interface {
	Submit(*core.Request)
	Abandon([]*core.Request)
	Class(name string) (logic.Class, bool)
	Plan(name string) bool
	Gateways() int
	MostUnits() float64
	GiveUpAt(c logic.Class, at time.Time, d time.Duration) time.Duration
}

// Front is the server side: it accepts clients on one address.
type Front struct {
	ln          net.Listener
	core        Core
	slots       chan struct{} // one for each connection that may be open
	frames      *resp.Budget  // memory of commands that are coming in
	unsent      atomic.Int64
	mostUnsent  int64 // bytes of answers that clients have not read, all together
	mu          sync.Mutex
	connections map[*connection]bool
	draining    bool           // the listener is closed for good
	ending      atomic.Bool    // and the process is about to end
	leaving     atomic.Int64   // since when, in nanoseconds of Unix time; 0: it serves
	turned      chan struct{}  // room for one: leaving or unused has changed
	unused      atomic.Int64   // places that are to be left to another process
	balancing   sync.Mutex     // of ballast
	ballast     int            // those of them that nobody can take any more
	wg          sync.WaitGroup // of clients
	stop        context.CancelFunc
	own         sync.WaitGroup // of the goroutines that accept and tidy
}

// New returns a front on ln for at most so many connections, and so many bytes each of commands that come in and of
// answers that are unread. It does not serve yet.
func New(ln net.Listener, c Core, most, memory int) *Front {
	return &Front{ln: ln, core: c, slots: make(chan struct{}, most), frames: resp.NewBudget(memory),
		mostUnsent: int64(memory), connections: map[*connection]bool{}, turned: make(chan struct{}, 1)}
}

// Start serves until Drain.
func (f *Front) Start() {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.own.Go(f.accept)
	f.own.Go(func() { f.tidy(ctx) })
}

// SetMost changes how many connections there may be, up to what New was told; where there are more, the idlest are closed.
func (f *Front) SetMost(n int) {
	f.unused.Store(int64(max(0, cap(f.slots)-n)))
	f.turn()
}

// Most is how many connections there may be at the most, as New was told.
func (f *Front) Most() int { return cap(f.slots) }

// Open is how many connections there are.
func (f *Front) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.connections)
}

func (f *Front) turn() {
	select {
	case f.turned <- struct{}{}:
	default:
	}
}
