// Package tally is the client of the platform's shared counter service, which uses a line-based text protocol over TCP
// and replies in order. It passes the result of each call to a store.Sink: added, not added, or maybe added. It never
// resends a call and does not interpret the totals.
//
// Names are distributed over shards by hash. Each shard has one goroutine that connects and writes, and a second one
// that reads while the shard is connected. All goroutines end with the context of Counter.Run.
package tally

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"hitchspring/internal/store"
)

// shardCount is the maximum number of connections. Calls of the same name use the same connection, which preserves
// their order.
const shardCount = 4

// Counter is a store.Counter on the shared counter service. Its methods are safe for concurrent use, except that
// SetAddress must not be called concurrently with itself.
type Counter struct {
	shards [shardCount]*shard
}

// New returns a counter on the service at addr that starts to serve calls when Run is called. Connecting fails after
// timeout; a connection on which calls get no reply for four timeouts is closed.
func New(addr string, timeout time.Duration, sink store.Sink) *Counter {
	c := &Counter{}
	for i := range c.shards {
		c.shards[i] = newShard(addr, timeout, sink)
	}
	return c
}

// Run serves calls until ctx is done, and returns after all goroutines of the counter have ended.
func (c *Counter) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range c.shards {
		wg.Go(func() { s.run(ctx) })
	}
	wg.Wait()
}

// SetAddress switches to a service at another address.
func (c *Counter) SetAddress(addr string) {
	for _, s := range c.shards {
		s.addressChanges.Set(addr)
	}
}

// Add queues a call without blocking. If the queue is full, the call is dropped: it gets no result and can still be
// withdrawn.
func (c *Counter) Add(call *store.Call) {
	hash := fnv.New32a()
	hash.Write([]byte(call.Name))
	select {
	case c.shards[hash.Sum32()%shardCount].calls <- call:
	default:
	}
}
