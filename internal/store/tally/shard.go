package tally

import (
	"context"
	"net"
	"time"

	"hitchspring/internal/store"
)

const (
	shardQueueSize = 512 // calls that wait for a connection, and as many on it for a reply
	maxBatch       = shardQueueSize / 2
	// idleTimeout is after how long a connection without a call is closed, before the service does that.
	idleTimeout = 3 * time.Second
	// silentTimeouts is after how many time-outs a connection without a reply is dead.
	silentTimeouts = 4
)

// shard serves the names that hash to it, in order, over one connection at a time, which is opened when there is a
// call.
type shard struct {
	addr           string // of run's goroutine
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

// run serves calls until ctx ends.
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
			if call.IsQueued() { // otherwise its caller has withdrawn it: no connection for its sake
				s.serve(ctx, call)
			}
		}
	}
}

// serve opens a connection for the first call and writes calls to it until it breaks, falls silent or the address
// changes.
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
	c.answerUnanswered()
}
