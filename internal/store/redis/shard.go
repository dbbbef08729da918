package redis

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"hitchspring/internal/store"
	"hitchspring/internal/store/ledger"
)

const (
	shardQueueSize      = 512                    // calls that wait for the connection, or on it for an answer
	maxShardNames       = 1 << 14                // in a ledger
	maxBatch            = 256                    // commands of one write
	partialReplyTimeout = 100 * time.Millisecond // for the rest of an answer that has begun
	silentTimeouts      = 4                      // time-outs: a connection without an answer for so long is dead
	minBackoff          = 20 * time.Millisecond  // before a further attempt to connect; doubled each time, and jittered
	maxBackoff          = 2 * time.Second
	resendInterval      = 10 * time.Millisecond // between two lots of figures that are told again
	resendBatch         = 32
	resendPause         = 250 * time.Millisecond // after one was refused
	expiryInterval      = 5 * time.Second        // of the ledger
	logInterval         = 30 * time.Second       // between two causes that are logged of one outage
)

// lane serves the names that are dealt to it, in order, over one connection at a time. Its goroutine run connects and
// writes; while a connection is up a second one reads.
type shard struct {
	options        Options
	index          int
	keyPrefix      string // before each name
	instanceID     string
	log            *slog.Logger
	sink           store.Sink
	calls          chan *store.Call
	addressChanges store.Latest[string]
	startedAt      time.Time

	addr           string         // where the primary was last said to be
	resend         []pendingWrite // told before, to be told again at once: their connection broke, or the script was not there
	failures       int
	disconnectedAt time.Time // since when nothing is connected; zero: it is, or nothing was wanted
	loggedCause    string    // what was last logged of it
	loggedAt       time.Time

	mu                sync.Mutex // of all below
	ledger            *ledger.Ledger
	stats             Stats
	retry             []pendingWrite // what the reader hands back, in order
	sendScript        bool           // the server lacks the script
	lossLogged        bool           // of adds that were lost, on this connection
	loggedRejection   string         // the error word that was last logged
	resendPausedUntil time.Time      // no figure is told again before
}

// item is a write on its way, for a call or, where that is nil, for the ledger's own sake.
type pendingWrite struct {
	write     ledger.Write
	call      *store.Call
	maybeSent bool // it may have gone out whole, on this connection or one before
}

func newShard(opt Options, n int, key, instance string, log *slog.Logger, sink store.Sink) *shard {
	return &shard{
		options: opt, index: n, keyPrefix: key, instanceID: instance, log: log.With("store", "redis", "lane", n), sink: sink,
		calls: make(chan *store.Call, shardQueueSize), addressChanges: store.NewLatest[string](), startedAt: time.Now(), addr: opt.Address,
		ledger: ledger.New(maxShardNames),
	}
}

func (s *shard) now() time.Duration { return time.Since(s.startedAt) }

// run connects when there is something to say, until ctx ends.
func (s *shard) run(ctx context.Context) {
	sweep := time.NewTicker(expiryInterval)
	defer sweep.Stop()
	var first *store.Call
	for ctx.Err() == nil {
		if first == nil && len(s.resend) == 0 && !s.hasPending() {
			select {
			case <-ctx.Done():
			case addr := <-s.addressChanges:
				s.changeAddress(addr)
			case <-sweep.C:
				s.expireNames()
			case first = <-s.calls:
			}
			continue
		}
		if first != nil && !first.IsQueued() { // it has timed out: no connection for its sake
			first = nil
			continue
		}
		c, err := s.connect(ctx)
		if err != nil {
			s.markDisconnected(err)
			s.answerUnconfirmed()
			if first != nil {
				s.rejectUnsent(first)
				first = nil
			}
			s.backOff(ctx, sweep.C)
			continue
		}
		s.markConnected()
		err = s.serve(ctx, c, first)
		first = nil
		if ctx.Err() == nil && err != nil {
			s.markDisconnected(err)
		}
		switch {
		case c.confirmedAny.Load():
			s.failures = 0
		case s.failures > 0: // a server that takes connections and nothing else: once more at once, then with pauses
			s.backOff(ctx, sweep.C)
		default:
			s.failures++
		}
	}
}

// rest waits before the next attempt to connect. Calls that come meanwhile are surely not added, and told so at once.
func (s *shard) backOff(ctx context.Context, sweep <-chan time.Time) {
	wait := min(maxBackoff, minBackoff<<min(s.failures, 10))
	s.failures++
	t := time.NewTimer(wait/2 + rand.N(wait))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			return
		case addr := <-s.addressChanges:
			s.changeAddress(addr)
			return
		case <-sweep:
			s.expireNames()
		case k := <-s.calls:
			s.rejectUnsent(k)
		}
	}
}

func (s *shard) changeAddress(addr string) {
	if addr == s.addr && len(s.options.Sentinels) == 0 {
		return
	}
	s.log.Info("the store moves", "to", addr)
	s.options.Address, s.addr, s.failures = addr, addr, 0
	s.markAllUnconfirmed()
}

// doubt has all that lives told again, to whoever is connected next.
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

// refuse answers a call of which nothing was written.
func (s *shard) rejectUnsent(k *store.Call) {
	if k.Claim() {
		s.mu.Lock()
		s.stats.Rejected++
		s.mu.Unlock()
		s.sink(k, store.Result{Certainty: store.NotAdded})
	}
}

// unsure answers what was to be told again and cannot be. What may have landed the ledger tells later.
func (s *shard) answerUnconfirmed() {
	for _, it := range s.resend {
		if !it.maybeSent {
			s.reject(it, false)
			continue
		}
		s.mu.Lock()
		s.ledger.MarkUnconfirmed(it.write)
		if it.call != nil {
			s.stats.Unconfirmed++
		}
		s.mu.Unlock()
		if it.call != nil {
			s.sink(it.call, store.Result{})
		}
	}
	s.resend = s.resend[:0]
}

// refused books a write that Redis has refused, which was heard from it, or else one that never went out.
func (s *shard) reject(it pendingWrite, heard bool) {
	it.maybeSent = it.maybeSent || heard
	out := it.call != nil && it.call.Reject()
	s.mu.Lock()
	if out {
		s.ledger.Reject(it.write, it.call.Amount, it.maybeSent)
		s.stats.Rejected++
	} else { // its caller has counted it as added, so it is told until it is
		s.ledger.MarkUnconfirmed(it.write)
	}
	if it.call == nil {
		s.resendPausedUntil = time.Now().Add(resendPause)
	}
	s.mu.Unlock()
	if out {
		s.sink(it.call, store.Result{Certainty: store.NotAdded})
	}
}

// up and lapsed say once, for each time that the connection comes or goes, what holds from then on.
func (s *shard) markConnected() {
	s.mu.Lock()
	s.stats.Connected = true
	s.stats.Connects++
	first := s.stats.Connects == 1
	names := s.ledger.Len()
	if !first {
		s.ledger.MarkAllUnconfirmed(s.now())
	}
	s.sendScript, s.lossLogged, s.loggedRejection = false, false, ""
	s.mu.Unlock()
	switch {
	case !s.disconnectedAt.IsZero():
		s.log.Info("back: quotas are shared again, and what was added meanwhile is told", "addr", s.addr,
			"after", time.Since(s.disconnectedAt).Round(time.Millisecond), "names", names)
	case first:
		s.log.Info("connected", "addr", s.addr)
	}
	s.disconnectedAt, s.loggedCause, s.loggedAt = time.Time{}, "", time.Time{}
}

func (s *shard) markDisconnected(err error) {
	s.mu.Lock()
	s.stats.Connected = false
	s.stats.Disconnects++
	s.mu.Unlock()
	if s.disconnectedAt.IsZero() {
		s.disconnectedAt = time.Now()
	}
	now := time.Now()
	if text := errorCause(err); text != s.loggedCause && now.Sub(s.loggedAt) > logInterval {
		s.loggedCause, s.loggedAt = text, now
		s.log.Warn("no store: each instance keeps its fair share of every quota until it is back", "addr", s.addr, "err", err)
	}
}

// cause is what an error comes to, without the ports and times that differ from one to the next.
func errorCause(err error) string {
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Op + ": " + op.Err.Error()
	}
	return err.Error()
}

// serve writes calls, and what is to be told again, until the connection breaks or falls silent, the store moves or ctx
// ends. It returns nil where nothing is amiss.
func (s *shard) serve(ctx context.Context, c *conn, first *store.Call) error {
	go func() {
		defer close(c.readerDone)
		c.readErr = s.read(c)
	}()
	stop := context.AfterFunc(ctx, func() { c.nc.Close() })
	defer stop()
	sweep := time.NewTicker(expiryInterval)
	defer sweep.Stop()
	retell := time.NewTimer(0) // runs while the ledger has something to tell again
	defer retell.Stop()
	armed := true
	batch := append([]pendingWrite(nil), s.resend...) // told on the connection before this one
	s.resend = s.resend[:0]
	if first != nil {
		batch = s.claim(batch, first)
	}
	var buf []byte
	var ends []int
	var err error
	short := 0 // items that did not go out whole: the last of pending
	for open := true; open; {
		if n := min(len(batch), cap(c.pending)-len(c.pending), maxBatch); n > 0 {
			var whole int
			buf, ends, whole, err = s.writeBatch(c, batch[:n], buf[:0], ends[:0])
			batch = append(batch[:0], batch[n:]...)
			if err != nil {
				short = n - whole
				break
			}
		}
		var calls chan *store.Call
		var wait <-chan time.Time
		if len(batch) == 0 {
			calls = s.calls
		} else { // the server takes no more for now
			wait = time.After(time.Millisecond)
		}
		select {
		case k := <-calls:
			batch = s.claim(batch, k)
		case <-wait:
		case <-c.wakeWriter:
			if e := c.leaveReason.Load(); e != nil {
				err, open = *e, false
				break
			}
			s.mu.Lock()
			batch = append(batch, s.retry...)
			s.retry = s.retry[:0]
			if !armed && s.ledger.HasPending() {
				armed = true
				retell.Reset(resendInterval)
			}
			s.mu.Unlock()
		case <-retell.C:
			batch = s.appendPending(c, batch)
			if armed = s.hasPending(); armed {
				retell.Reset(resendInterval)
			}
		case <-sweep.C:
			s.expireNames()
		case addr := <-s.addressChanges:
			s.changeAddress(addr)
			open = false
		case <-c.readerDone:
			open = false
		}
	}
	if err == nil || c.leaveReason.Load() != nil { // what is out has its time for an answer
		s.awaitReplies(ctx, c)
	}
	c.nc.Close()
	<-c.readerDone
	s.collectUnanswered(c, short, batch)
	if e := c.leaveReason.Load(); e != nil && e.code() == "MOVED" {
		if f := strings.Fields(string(*e)); len(f) == 3 {
			s.addr = f[2]
		}
	}
	if err == nil {
		err = c.readErr
	}
	if errors.Is(err, errClosed) && ctx.Err() == nil { // with nothing out: whoever is there next may not hold what this one did
		s.markAllUnconfirmed()
		err = nil
	}
	return err
}

// drain waits until nothing is out, for a time-out at most.
func (s *shard) awaitReplies(ctx context.Context, c *conn) {
	late := time.NewTimer(s.options.Timeout)
	defer late.Stop()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for len(c.pending) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-c.readerDone:
			return
		case <-late.C:
			return
		case <-tick.C:
		}
	}
}

// collect gathers what was out on a connection that is over, to be told again on the next one in its order: what it was
// told of then, its answer will say.
func (s *shard) collectUnanswered(c *conn, short int, batch []pendingWrite) {
	s.mu.Lock()
	s.resend = append(append(s.resend, s.retry...), c.unreadable...)
	s.retry = s.retry[:0]
	s.mu.Unlock()
	for len(c.pending) > 0 {
		it := <-c.pending
		it.maybeSent = it.maybeSent || len(c.pending) >= short
		s.resend = append(s.resend, it)
	}
	s.resend = append(s.resend, batch...)
}

// put takes a call, and those that wait behind it, into the ledger and the batch.
func (s *shard) claim(batch []pendingWrite, k *store.Call) []pendingWrite {
	var none []*store.Call
	s.mu.Lock()
	now := s.now()
	for more := true; more; {
		if k.Claim() {
			if w, err := s.ledger.Add(now, k.Name, k.Amount, k.TTL); err == nil {
				batch = append(batch, pendingWrite{write: w, call: k})
			} else {
				s.stats.Rejected++
				none = append(none, k)
			}
		}
		more = false
		if len(batch) < maxBatch {
			select {
			case k = <-s.calls:
				more = true
			default:
			}
		}
	}
	s.mu.Unlock()
	for _, k := range none {
		s.sink(k, store.Result{Certainty: store.NotAdded})
	}
	return batch
}

// retold adds a lot of the figures that the server may not hold, where it is not busy.
func (s *shard) appendPending(c *conn, batch []pendingWrite) []pendingWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(c.pending) > cap(c.pending)/2 || time.Now().Before(s.resendPausedUntil) {
		return batch
	}
	for _, w := range s.ledger.TakePending(s.now(), resendBatch) {
		s.stats.Resent++
		batch = append(batch, pendingWrite{write: w})
	}
	return batch
}

// write writes a lot of items; whole of them went out to their last byte.
func (s *shard) writeBatch(c *conn, lot []pendingWrite, buf []byte, ends []int) (_ []byte, _ []int, whole int, err error) {
	s.mu.Lock()
	byText := s.sendScript
	s.mu.Unlock()
	for i, it := range lot {
		buf = appendAdd(buf, s.keyPrefix, s.instanceID, it.write, byText && i == 0)
		ends = append(ends, len(buf))
	}
	idle := len(c.pending) == 0
	for _, it := range lot {
		c.pending <- it
	}
	now := time.Now()
	if idle {
		c.extendReadDeadline(now, silentTimeouts*s.options.Timeout)
	}
	if most := silentTimeouts * s.options.Timeout; c.writeDeadline.Sub(now) < most {
		c.writeDeadline = now.Add(2 * most)
		c.nc.SetWriteDeadline(c.writeDeadline)
	}
	n, err := c.nc.Write(buf)
	for whole < len(ends) && ends[whole] <= n {
		whole++
	}
	return buf, ends, whole, err
}
