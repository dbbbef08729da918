// Package redis is the shared counter on Redis. Each add is one atomic script, recorded in a ledger, so that an add
// whose reply was lost can be sent again and counts once. The package pipelines its commands itself, on RESP2
// frames of bounded size, and so knows of each add whether it was never written or may have been applied. It takes
// in calls and answers each through a store.Sink; what the totals mean is not known here.
//
// Names are dealt to shards. A shard has a goroutine that connects and writes, and while it is connected one that
// reads. All of them end with the context of Counter.Run.
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

// Options say where Redis is and how names are stored there. All instances that share a store need the same Prefix and
// Shards.
type Options struct {
	Address   string   // host:port of the primary, of a proxy before it, or of any server of a cluster
	Sentinels []string // host:port; if set, they are asked for the primary's address in place of Address
	Master    string   // the primary's name at the Sentinels
	Username  string
	Password  func() (string, error) // read anew for each connection; nil: none
	Database  int
	Prefix    string // of all keys
	Shards    int    // parts that names are dealt to, each with a hash tag and a connection of its own; 0: 1

	// ConnectTimeout is for the dial, TLS and the log-in together; 0: 250 ms.
	ConnectTimeout time.Duration
	// Timeout is that of a call, as the core has it: a connection silent for four of them is dead; 0: 80 ms.
	Timeout time.Duration
	// TLS is read anew for each connection; nil: no TLS.
	TLS func() (*tls.Config, error)
	// Dial opens a connection; nil: TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Counter is a store.Counter on Redis. Its methods are safe for concurrent use, but for SetAddress, which is for one
// goroutine at a time.
type Counter struct {
	shards []*shard
}

// Check returns an error that names the field that is wrong, as the options file has it.
func (o Options) Check() error {
	switch {
	case o.Address == "" && len(o.Sentinels) == 0:
		return errors.New("address: missing, and no sentinels")
	case len(o.Sentinels) > 0 && o.Master == "":
		return errors.New("master: missing, the Sentinels want a name")
	case o.Shards < 0 || o.Shards > maxShards:
		return fmt.Errorf("lanes: %d is out of range, 1 to 64", o.Shards)
	case o.Database < 0:
		return fmt.Errorf("database: %d is negative", o.Database)
	}
	return nil
}

// New returns a counter that does not run yet.
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
	if _, err := rand.Read(id[:]); err != nil { // two instances of one id would overwrite each other's sums
		return nil, fmt.Errorf("redis store: an id for this instance: %w", err)
	}
	instanceID := hex.EncodeToString(id[:])
	c := &Counter{}
	for i := range opt.Shards {
		keyPrefix := opt.Prefix + ":{" + strconv.Itoa(i) + "}:"
		c.shards = append(c.shards, newShard(opt, i, keyPrefix, instanceID, log, sink))
	}
	return c, nil
}

// Run serves calls until ctx ends, and leaves no goroutine behind.
func (c *Counter) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range c.shards {
		wg.Go(func() { s.run(ctx) })
	}
	wg.Wait()
}

// SetAddress changes to Redis at another address; all sums are written there again.
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
	case c.shards[int(hash.Sum32())%len(c.shards)].calls <- call:
	default:
	}
}
