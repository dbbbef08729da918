// Package redis is the shared counter on Redis: one atomic script for each add, told by way of a ledger, so that an add
// whose answer was lost can be told again and counts once. Its own pipelining on bounded RESP2 frames knows of each add
// whether it was never written or may have landed.
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

// Options say where Redis is and how names are kept there. All instances that share a store need the same Prefix and
// Lanes.
type Options struct {
	Address        string   // host:port of the primary, of a proxy before it, or of any node of a cluster
	Sentinels      []string // host:port; they tell the primary's address in place of Address
	Master         string   // the primary's name at the Sentinels
	Username       string
	Password       func() (string, error) // read anew for each connection; nil: none
	Database       int
	Prefix         string                                                   // of all keys
	Shards         int                                                      // parts that names are dealt to, each with a hash tag and a connection of its own; 0: 1
	ConnectTimeout time.Duration                                            // for the dial, TLS and the log-in together; 0: 250 ms
	Timeout        time.Duration                                            // of a call, as the core has it: a connection silent for four of them is dead; 0: 80 ms
	TLS            func() (*tls.Config, error)                              // read anew for each connection; nil: none
	Dial           func(ctx context.Context, addr string) (net.Conn, error) // nil: TCP
}

// Stats count what a store did since its start.
type Stats struct {
	Connected             bool  // on all lanes
	Added                 int64 // adds that were confirmed
	AlreadyApplied        int64 // of them, those that were found to have landed when they were told again
	Rejected              int64 // adds that Redis refused, or that were never written
	Unconfirmed           int64 // adds answered as maybe
	Resent                int64 // figures told again without an add
	Lost                  int64 // answers that showed that Redis had lost what it had confirmed
	Unreadable            int64 // answers that could not be read or belonged to another call
	Connects, Disconnects int64 // connections that came up, and that broke or fell silent
	Names                 int   // in the ledgers
}

// Counter is a store.Counter on Redis. Its methods are safe for many goroutines.
type Counter struct {
	shards []*shard
}

// Check says what is wrong with the options, by the name that the field has in the options file.
func (o Options) Check() error {
	switch {
	case o.Address == "" && len(o.Sentinels) == 0:
		return errors.New("address: missing, and no sentinels")
	case len(o.Sentinels) > 0 && o.Master == "":
		return errors.New("master: missing, the Sentinels want a name")
	case o.Shards < 0 || o.Shards > 64:
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
		opt.ConnectTimeout = 250 * time.Millisecond
	}
	if opt.Timeout <= 0 {
		opt.Timeout = 80 * time.Millisecond
	}
	if opt.Dial == nil {
		opt.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil { // two instances of one id would overwrite each other's figures
		return nil, fmt.Errorf("redis store: an id for this instance: %w", err)
	}
	c := &Counter{}
	for i := range opt.Shards {
		key := opt.Prefix + ":{" + strconv.Itoa(i) + "}:"
		c.shards = append(c.shards, newShard(opt, i, key, hex.EncodeToString(id[:]), log, sink))
	}
	return c, nil
}

// Run serves until ctx ends.
func (c *Counter) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, l := range c.shards {
		wg.Go(func() { l.run(ctx) })
	}
	wg.Wait()
}

// Move goes over to Redis at another address; all figures that live are told there again.
func (c *Counter) SetAddress(addr string) {
	for _, l := range c.shards {
		l.addressChanges.Set(addr)
	}
}

// Add queues a call; where the queue is full it stays unanswered and may be withdrawn.
func (c *Counter) Add(k *store.Call) {
	h := fnv.New32a()
	h.Write([]byte(k.Name))
	select {
	case c.shards[int(h.Sum32())%len(c.shards)].calls <- k:
	default:
	}
}

// Stats returns the counts so far.
func (c *Counter) Stats() Stats {
	all := Stats{Connected: true}
	for _, l := range c.shards {
		l.mu.Lock()
		s := l.stats
		s.Names = l.ledger.Len()
		l.mu.Unlock()
		all.Connected = all.Connected && s.Connected
		all.Added += s.Added
		all.AlreadyApplied += s.AlreadyApplied
		all.Rejected += s.Rejected
		all.Unconfirmed += s.Unconfirmed
		all.Resent += s.Resent
		all.Lost += s.Lost
		all.Unreadable += s.Unreadable
		all.Connects += s.Connects
		all.Disconnects += s.Disconnects
		all.Names += s.Names
	}
	return all
}
