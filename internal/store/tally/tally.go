// Package tally is the client of the platform's shared counter service, which speaks lines of text over TCP and
// replies in order. It takes in calls and answers each through a store.Sink: added, surely not added, or maybe
// added. It sends no call again, and what the totals mean is not known here.
//
// Names are dealt to shards. A shard has a goroutine that connects and writes, and while it is connected one that
// reads. All of them end with the context of Counter.Run.
package tally

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"hitchspring/internal/store"
)

// shardCount is how many connections there are at most; calls of one name share one, so that they stay in order.
const shardCount = 4

// Counter is a store.Counter at the shared counter service. Its methods are safe for concurrent use, but for
// SetAddress, which is for one goroutine at a time.
type Counter struct {
	shards [shardCount]*shard
}

// New returns a counter at addr that does not run yet. A connection that is not up after timeout has failed, and one on
// which calls wait four times as long for a reply is dead.
func New(addr string, timeout time.Duration, sink store.Sink) *Counter {
	c := &Counter{}
	for i := range c.shards {
		c.shards[i] = newShard(addr, timeout, sink)
	}
	return c
}

// Run serves calls until ctx ends, and leaves no goroutine behind.
func (c *Counter) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range c.shards {
		wg.Go(func() { s.run(ctx) })
	}
	wg.Wait()
}

// SetAddress changes to a counter at another address.
func (c *Counter) SetAddress(addr string) {
	for _, s := range c.shards {
		s.addressChanges.Set(addr)
	}
}

// Add queues a call. If the queue is full, the call stays unanswered and may be withdrawn.
func (c *Counter) Add(call *store.Call) {
	hash := fnv.New32a()
	hash.Write([]byte(call.Name))
	select {
	case c.shards[hash.Sum32()%shardCount].calls <- call:
	default:
	}
}
