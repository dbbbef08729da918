// Package redis implements the shared counter on Redis. Each add runs one atomic script and is recorded in a ledger,
// so that an add whose reply was lost can be resent and counts once. The package pipelines its commands itself, in
// RESP2 frames of bounded size, so that it knows for each add whether it was never written or may have been applied.
// It passes the result of each call to a store.Sink and does not interpret the totals.
//
// Names are distributed over shards by hash. Each shard has one goroutine that connects and writes, and a second one
// that reads while the shard is connected. All goroutines end with the context of Counter.Run.
package redis

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"time"

	"hitchspring/internal/store"
)

const (
	defaultConnectTimeout = 250 * time.Millisecond
	defaultTimeout        = 80 * time.Millisecond
	maxShards             = 64
)

// Options configure the connection to Redis and the keys used there. All instances that share a store must have the
// same Prefix and Shards.
type Options struct {
	Address   string   // host:port of the primary, of a proxy in front of it, or of any node of a cluster
	Sentinels []string // host:port; if set, they provide the primary's address and Address is not used
	Master    string   // name of the primary in the Sentinels' configuration
	Username  string
	Password  func() (string, error) // called for each connection; nil: no password
	Database  int
	Prefix    string // prefix of all keys
	Shards    int    // number of shards, each with its own hash tag and connection; 0: 1

	// ConnectTimeout covers the dial, the TLS handshake and the login together; 0: 250 ms.
	ConnectTimeout time.Duration
	// Timeout is the core's timeout of a call; 0: 80 ms. A connection that is silent for four timeouts is closed.
	Timeout time.Duration
	// TLS is called for each connection; nil: no TLS.
	TLS func() (*tls.Config, error)
	// Dial opens a connection; nil: TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Counter is a store.Counter on Redis. Its methods are safe for concurrent use, except that SetAddress must not be
// called concurrently with itself.
type Counter struct {
	shards []*shard
}

// Check returns an error that starts with the name of the invalid field in the options file.
func (o Options) Check() error {
	switch {
	case o.Address == "" && len(o.Sentinels) == 0:
		return errors.New("address: required unless sentinels are set")
	case len(o.Sentinels) > 0 && o.Master == "":
		return errors.New("master: required when sentinels are set")
	case o.Shards < 0 || o.Shards > maxShards:
		return fmt.Errorf("lanes: %d is out of range, 1 to 64", o.Shards)
	case o.Database < 0:
		return fmt.Errorf("database: %d is negative", o.Database)
	}
	return nil
}

// New returns a counter that starts to serve calls when Run is called.
func New(opt Options, log *slog.Logger, sink store.Sink) (*Counter, error) {
	if err := opt.Check(); err != nil {
		return nil, fmt.Errorf("redis store: %w", err)
	}
	if opt.Shards == 0 {
		opt.Shards = 1
	}
	if opt.ConnectTimeout <= 0 {
		opt.ConnectTimeout = defaultConnectTimeout
	}
	if opt.Timeout <= 0 {
		opt.Timeout = defaultTimeout
	}
	if opt.Dial == nil {
		opt.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", addr)
		}
	}
	var id [8]byte
	// The id must be unique: instances with the same id would overwrite each other's sums.
	if _, err := rand.Read(id[:]); err != nil {
		return nil, fmt.Errorf("redis store: generating the instance id: %w", err)
	}
	instanceID := hex.EncodeToString(id[:])
	c := &Counter{}
	for i := range opt.Shards {
		keyPrefix := opt.Prefix + ":{" + strconv.Itoa(i) + "}:"
		c.shards = append(c.shards, newShard(opt, i, keyPrefix, instanceID, log, sink))
	}
	return c, nil
}

// Run serves calls until ctx is done, and returns after all goroutines of the counter have ended.
func (c *Counter) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range c.shards {
		wg.Go(func() { s.run(ctx) })
	}
	wg.Wait()
}

// SetAddress switches to Redis at another address and rewrites all sums there.
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
	case c.shards[int(hash.Sum32())%len(c.shards)].calls <- call:
	default:
	}
}
