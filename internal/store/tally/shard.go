package tally

import (
	"context"
	"net"
	"time"

	"hitchspring/internal/store"
)

const (
	shardQueueSize = 512 // queued calls; also the maximum number of calls that await a reply
	maxBatch       = shardQueueSize / 2
	// idleTimeout is the time after which an idle connection is closed, before the service would close it.
	idleTimeout = 3 * time.Second
	// maxSilentTimeouts is the number of call timeouts without a reply after which a connection is closed.
	maxSilentTimeouts = 4
)

// shard serves the calls of the names that hash to it, in order, over one connection at a time. The connection is
// opened when there is a call.
type shard struct {
	addr           string // used only by the goroutine of run
	timeout        time.Duration
	calls          chan *store.Call
	addressChanges store.Latest[string]
	sink           store.Sink
}

func newShard(addr string, timeout time.Duration, sink store.Sink) *shard {
	return &shard{
		addr:           addr,
		timeout:        timeout,
		calls:          make(chan *store.Call, shardQueueSize),
		addressChanges: store.NewLatest[string](),
		sink:           sink,
	}
}

// run serves calls until ctx is done.
func (s *shard) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s.addr = <-s.addressChanges:
		case call := <-s.calls:
			select {
			case s.addr = <-s.addressChanges:
			default:
			}
			if call.IsQueued() { // a withdrawn call is not worth a connection
				s.serve(ctx, call)
			}
		}
	}
}

// serve opens a connection for the first call and writes calls to it until the connection fails or times out, the
// address changes or ctx is done.
func (s *shard) serve(ctx context.Context, first *store.Call) {
	dialer := net.Dialer{Timeout: s.timeout}
	nc, err := dialer.DialContext(ctx, "tcp", s.addr)
	if err != nil {
		s.sink(first, store.Result{Certainty: store.NotAdded})
		return
	}
	c := &conn{
		shard:      s,
		nc:         nc,
		pending:    make(chan *pendingCall, shardQueueSize),
		readerDone: make(chan struct{}),
		idle:       make(chan struct{}, 1),
		batch:      []*store.Call{first},
	}
	go func() {
		defer close(c.readerDone)
		c.read()
	}()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	for c.writeBatch() && c.await() {
	}
	nc.Close()
	<-c.readerDone
	c.resolvePending()
}
