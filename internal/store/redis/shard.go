package redis

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"hitchspring/internal/store"
	"hitchspring/internal/store/ledger"
)

const (
	shardQueueSize = 512     // calls that wait for the connection, and as many on it for a reply
	maxShardNames  = 1 << 14 // in a ledger
	minBackoff     = 20 * time.Millisecond
	maxBackoff     = 2 * time.Second
	expiryInterval = 5 * time.Second // of the ledger's names
)

// shard serves the names that hash to it, in order, over one connection at a time. Its goroutine run connects and
// writes; while a connection is up a second one reads. Both end with run's context.
type shard struct {
	options        Options
	index          int
	keyPrefix      string // of each name
	instanceID     string
	log            *slog.Logger
	sink           store.Sink
	calls          chan *store.Call
	addressChanges store.Latest[string]
	startedAt      time.Time

	// Of run's goroutine alone.
	addr           string         // of the primary, as far as is known
	resend         []pendingWrite // unanswered on the last connection, to be sent first on the next one
	failures       int            // attempts to connect in a row that came to nothing
	disconnectedAt time.Time      // zero while connected, and before the first attempt to connect
	loggedCause    string         // of the outage, as last logged
	loggedAt       time.Time

	mu                sync.Mutex // guards all below
	ledger            *ledger.Ledger
	stats             Stats
	retry             []pendingWrite // that the reader hands back, in order
	sendScript        bool           // the server does not have the script
	lossLogged        bool           // on this connection
	loggedRejection   string         // the error code that was last logged on this connection
	resendPausedUntil time.Time      // no sum is sent again without an add before
}

// pendingWrite is a write on its way.
type pendingWrite struct {
	write     ledger.Write
	call      *store.Call // nil: a sum that is sent again without an add
	maybeSent bool        // it may have been written completely, on this connection or one before
}

func newShard(opt Options, index int, keyPrefix, instanceID string, log *slog.Logger, sink store.Sink) *shard {
	return &shard{
		options:        opt,
		index:          index,
		keyPrefix:      keyPrefix,
		instanceID:     instanceID,
		log:            log.With("store", "redis", "shard", index),
		sink:           sink,
		calls:          make(chan *store.Call, shardQueueSize),
		addressChanges: store.NewLatest[string](),
		startedAt:      time.Now(),
		addr:           opt.Address,
		ledger:         ledger.New(maxShardNames),
	}
}

// now is the ledger's clock.
func (s *shard) now() time.Duration { return time.Since(s.startedAt) }

// run connects when there is something to write, until ctx ends.
func (s *shard) run(ctx context.Context) {
	expiry := time.NewTicker(expiryInterval)
	defer expiry.Stop()
	var first *store.Call
	for ctx.Err() == nil {
		if first == nil && len(s.resend) == 0 && !s.hasPending() {
			first = s.awaitCall(ctx, expiry.C)
			continue
		}
		if first != nil && !first.IsQueued() { // its caller has withdrawn it: no connection for its sake
			first = nil
			continue
		}
		s.connectAndServe(ctx, first, expiry.C)
		first = nil
	}
}

// awaitCall waits for something to happen while there is nothing to write, and returns a call if it was one.
func (s *shard) awaitCall(ctx context.Context, expiry <-chan time.Time) *store.Call {
	select {
	case <-ctx.Done():
	case addr := <-s.addressChanges:
		s.changeAddress(addr)
	case <-expiry:
		s.expireNames()
	case call := <-s.calls:
		return call
	}
	return nil
}

// connectAndServe serves one connection, from the first call on if there is one, and backs off if it came to nothing.
func (s *shard) connectAndServe(ctx context.Context, first *store.Call, expiry <-chan time.Time) {
	c, err := s.connect(ctx)
	if err != nil {
		s.markDisconnected(err)
		s.answerUnconfirmed()
		if first != nil {
			s.rejectUnsent(first)
		}
		s.backOff(ctx, expiry)
		return
	}
	s.markConnected()
	err = s.serve(ctx, c, first)
	if ctx.Err() == nil && err != nil {
		s.markDisconnected(err)
	}
	switch {
	case c.confirmedAny.Load():
		s.failures = 0
	case s.failures > 0: // a server that accepts connections and confirms nothing: the first retry comes at once
		s.backOff(ctx, expiry)
	default:
		s.failures++
	}
}

// backOff waits before the next attempt to connect. Calls that come meanwhile are surely not added, and are
// answered so at once.
func (s *shard) backOff(ctx context.Context, expiry <-chan time.Time) {
	const maxDoublings = 10 // enough to reach maxBackoff
	wait := min(maxBackoff, minBackoff<<min(s.failures, maxDoublings))
	s.failures++
	timer := time.NewTimer(wait/2 + rand.N(wait))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case addr := <-s.addressChanges:
			s.changeAddress(addr)
			return
		case <-expiry:
			s.expireNames()
		case call := <-s.calls:
			s.rejectUnsent(call)
		}
	}
}

func (s *shard) changeAddress(addr string) {
	if addr == s.addr && len(s.options.Sentinels) == 0 {
		return
	}
	s.log.Info("store address changed", "to", addr)
	s.options.Address = addr
	s.addr = addr
	s.failures = 0
	s.markAllUnconfirmed()
}

// markAllUnconfirmed makes the ledger write all sums again, to whatever server is connected next.
func (s *shard) markAllUnconfirmed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.MarkAllUnconfirmed(s.now())
}

func (s *shard) hasPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.HasPending()
}

func (s *shard) expireNames() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Expire(s.now())
}
