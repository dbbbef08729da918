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
	shardQueueSize = 512     // queued calls; also the maximum number of writes that await a reply
	maxShardNames  = 1 << 14 // maximum number of names in a shard's ledger
	minBackoff     = 20 * time.Millisecond
	maxBackoff     = 2 * time.Second
	expiryInterval = 5 * time.Second // interval at which expired names are removed from the ledger
)

// shard serves the calls of the names that hash to it, in order, over one connection at a time. The goroutine that
// executes run connects and writes; a second one reads while a connection is up. Both end with run's context.
type shard struct {
	options        Options
	index          int
	keyPrefix      string // prefix of the key of each name
	instanceID     string
	log            *slog.Logger
	sink           store.Sink
	calls          chan *store.Call
	addressChanges store.Latest[string]
	startedAt      time.Time

	// Used only by the goroutine of run.
	addr           string         // last known address of the primary
	resendQueue    []pendingWrite // writes without a reply on the last connection, sent first on the next one
	failures       int            // consecutive connections that failed or confirmed no add
	disconnectedAt time.Time      // zero while connected and before the first attempt to connect
	loggedCause    string         // last logged cause of the current outage
	loggedAt       time.Time

	mu                sync.Mutex // guards the fields below
	ledger            *ledger.Ledger
	stats             Stats
	retryQueue        []pendingWrite // writes that the reader returns to be sent again, in order
	sendScript        bool           // the server has not loaded the script
	lossLogged        bool           // a loss of data was logged on this connection
	loggedRejection   string         // error code last logged on this connection
	resendPausedUntil time.Time      // until then, pending sums are not resent
}

// pendingWrite is a write that is queued, or sent and not yet confirmed.
type pendingWrite struct {
	write     ledger.Write
	call      *store.Call // nil: a sum that is resent without a new add
	maybeSent bool        // may have been written completely, on this or an earlier connection
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

// now returns the time on the ledger's clock.
func (s *shard) now() time.Duration { return time.Since(s.startedAt) }

// run connects and serves calls whenever there is something to write, until ctx is done.
func (s *shard) run(ctx context.Context) {
	expiry := time.NewTicker(expiryInterval)
	defer expiry.Stop()
	var first *store.Call
	for ctx.Err() == nil {
		if first == nil && len(s.resendQueue) == 0 && !s.hasPending() {
			first = s.awaitCall(ctx, expiry.C)
			continue
		}
		if first != nil && !first.IsQueued() { // withdrawn by its caller: not worth a connection
			first = nil
			continue
		}
		s.connectAndServe(ctx, first, expiry.C)
		first = nil
	}
}

// awaitCall waits for one event while there is nothing to write. It returns the call if the event was one, else nil.
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

// connectAndServe connects and serves calls, starting with first unless it is nil. If the connection failed or
// confirmed no add, it backs off.
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
	case s.failures > 0: // the server accepts connections but confirms no add; only the first retry is immediate
		s.backOff(ctx, expiry)
	default:
		s.failures++
	}
}

// backOff waits before the next attempt to connect, with exponential backoff and jitter. Calls that arrive meanwhile
// are reported as not added at once.
func (s *shard) backOff(ctx context.Context, expiry <-chan time.Time) {
	const maxDoublings = 10 // enough to reach maxBackoff, without overflow
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

// markAllUnconfirmed makes the ledger rewrite all sums on the next connection.
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
