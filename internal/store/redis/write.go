package redis

import (
	"context"
	"errors"
	"strings"
	"time"

	"hitchspring/internal/store"
)

const (
	maxBatch       = 256                   // commands of one write
	fullRetry      = time.Millisecond      // between two looks at a connection on which no more may be pending
	resendInterval = 10 * time.Millisecond // between two batches of sums that are sent again
	resendBatch    = 32
	// silentTimeouts is after how many time-outs of a call a connection without a reply is dead.
	silentTimeouts = 4
)

// writer is the writing side of a connection, on the shard's goroutine.
type writer struct {
	shard       *shard
	conn        *conn
	batch       []pendingWrite // to be written next
	buf         []byte         // of commands, reused
	ends        []int          // of each command in buf, reused
	unwritten   int            // writes that did not go out completely: the last of conn.pending
	resendTimer *time.Timer    // for what the ledger has pending
	resendArmed bool           // resendTimer runs
}

// serve writes calls, and what is to be sent again, until the connection breaks or falls silent, the store's address
// changes or ctx ends. It returns nil if nothing is wrong.
func (s *shard) serve(ctx context.Context, c *conn, first *store.Call) error {
	go func() {
		defer close(c.readerDone)
		c.readErr = s.read(c)
	}()
	stop := context.AfterFunc(ctx, func() { c.nc.Close() })
	defer stop()
	w := &writer{
		shard:       s,
		conn:        c,
		batch:       append([]pendingWrite(nil), s.resend...),
		resendTimer: time.NewTimer(0),
		resendArmed: true,
	}
	defer w.resendTimer.Stop()
	s.resend = s.resend[:0]
	if first != nil {
		w.batch = s.claim(w.batch, first)
	}
	err := w.run()
	leaveReason := c.leaveReason.Load()
	if err == nil || leaveReason != nil { // what is pending has its time for a reply
		s.awaitReplies(ctx, c)
	}
	c.nc.Close()
	<-c.readerDone
	s.collectUnanswered(c, w.unwritten, w.batch)
	s.followRedirect(c.leaveReason.Load())
	if err == nil {
		err = c.readErr
	}
	if errors.Is(err, errClosed) && ctx.Err() == nil { // idle; the next server may not hold what this one did
		s.markAllUnconfirmed()
		err = nil
	}
	return err
}

// run writes until the connection is to be left. It returns the error of a write, or the reply that says that this
// is not the server to ask.
func (w *writer) run() error {
	expiry := time.NewTicker(expiryInterval)
	defer expiry.Stop()
	for {
		if err := w.writeBatch(); err != nil {
			return err
		}
		open, err := w.await(expiry.C)
		if !open {
			return err
		}
	}
}

// await waits for something to do, and reports whether the connection is used further.
func (w *writer) await(expiry <-chan time.Time) (open bool, err error) {
	var calls chan *store.Call
	var full <-chan time.Time
	if len(w.batch) == 0 {
		calls = w.shard.calls
	} else { // as many writes are pending as may be
		full = time.After(fullRetry)
	}
	select {
	case call := <-calls:
		w.batch = w.shard.claim(w.batch, call)
	case <-full:
	case <-w.conn.wakeWriter:
		if reason := w.conn.leaveReason.Load(); reason != nil {
			return false, *reason
		}
		w.takeFromReader()
	case <-w.resendTimer.C:
		w.batch = w.shard.appendPending(w.conn, w.batch)
		w.resendArmed = w.shard.hasPending()
		if w.resendArmed {
			w.resendTimer.Reset(resendInterval)
		}
	case <-expiry:
		w.shard.expireNames()
	case addr := <-w.shard.addressChanges:
		w.shard.changeAddress(addr)
		return false, nil
	case <-w.conn.readerDone:
		return false, nil
	}
	return true, nil
}

// takeFromReader takes what the reader has handed back, and arms the timer for what the ledger has pending.
func (w *writer) takeFromReader() {
	w.shard.mu.Lock()
	defer w.shard.mu.Unlock()
	w.batch = append(w.batch, w.shard.retry...)
	w.shard.retry = w.shard.retry[:0]
	if !w.resendArmed && w.shard.ledger.HasPending() {
		w.resendArmed = true
		w.resendTimer.Reset(resendInterval)
	}
}

// writeBatch writes as much of the batch as may be pending.
func (w *writer) writeBatch() error {
	count := min(len(w.batch), cap(w.conn.pending)-len(w.conn.pending), maxBatch)
	if count == 0 {
		return nil
	}
	complete, err := w.writeCommands(w.batch[:count])
	w.batch = append(w.batch[:0], w.batch[count:]...)
	if err != nil {
		w.unwritten = count - complete
	}
	return err
}

// writeCommands writes a command for each write, and returns how many went out to their last byte.
func (w *writer) writeCommands(batch []pendingWrite) (complete int, err error) {
	s, c := w.shard, w.conn
	s.mu.Lock()
	sendScript := s.sendScript
	s.mu.Unlock()
	w.buf = w.buf[:0]
	w.ends = w.ends[:0]
	for i, pending := range batch {
		w.buf = appendAdd(w.buf, s.keyPrefix, s.instanceID, pending.write, sendScript && i == 0)
		w.ends = append(w.ends, len(w.buf))
	}
	idle := len(c.pending) == 0
	for _, pending := range batch {
		c.pending <- pending
	}
	now := time.Now()
	silence := silentTimeouts * s.options.Timeout
	if idle {
		c.extendReadDeadline(now, silence)
	}
	if c.writeDeadline.Sub(now) < silence {
		c.writeDeadline = now.Add(2 * silence)
		c.nc.SetWriteDeadline(c.writeDeadline)
	}
	n, err := c.nc.Write(w.buf)
	for complete < len(w.ends) && w.ends[complete] <= n {
		complete++
	}
	return complete, err
}

// awaitReplies waits until no write is pending, for at most the time-out of a call.
func (s *shard) awaitReplies(ctx context.Context, c *conn) {
	timeout := time.NewTimer(s.options.Timeout)
	defer timeout.Stop()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for len(c.pending) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-c.readerDone:
			return
		case <-timeout.C:
			return
		case <-tick.C:
		}
	}
}

// collectUnanswered gathers what was pending on a connection that is over, and its batch, to be sent in that order
// on the next one: whether it was applied the reply there will say. The last unwritten of those pending were not
// sent completely.
func (s *shard) collectUnanswered(c *conn, unwritten int, batch []pendingWrite) {
	s.mu.Lock()
	s.resend = append(append(s.resend, s.retry...), c.unreadable...)
	s.retry = s.retry[:0]
	s.mu.Unlock()
	for len(c.pending) > 0 {
		pending := <-c.pending
		pending.maybeSent = pending.maybeSent || len(c.pending) >= unwritten
		s.resend = append(s.resend, pending)
	}
	s.resend = append(s.resend, batch...)
}

// followRedirect takes over the address that a MOVED error names.
func (s *shard) followRedirect(reason *redisError) {
	if reason == nil || reason.code() != "MOVED" {
		return
	}
	if words := strings.Fields(string(*reason)); len(words) == 3 { // MOVED slot host:port
		s.addr = words[2]
	}
}

// claim takes a call, and those that wait behind it, into the ledger and the batch. Calls that the ledger can't
// hold are answered as not added.
func (s *shard) claim(batch []pendingWrite, call *store.Call) []pendingWrite {
	var rejected []*store.Call
	s.mu.Lock()
	now := s.now()
	for call != nil {
		if call.Claim() {
			if write, err := s.ledger.Add(now, call.Name, call.Amount, call.TTL); err == nil {
				batch = append(batch, pendingWrite{write: write, call: call})
			} else {
				s.stats.Rejected++
				rejected = append(rejected, call)
			}
		}
		call = nil
		if len(batch) < maxBatch {
			select {
			case call = <-s.calls:
			default:
			}
		}
	}
	s.mu.Unlock()
	for _, call := range rejected {
		s.sink(call, store.Result{Certainty: store.NotAdded})
	}
	return batch
}

// appendPending appends sums that the server may not hold, if the connection is not busy.
func (s *shard) appendPending(c *conn, batch []pendingWrite) []pendingWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(c.pending) > cap(c.pending)/2 || time.Now().Before(s.resendPausedUntil) {
		return batch
	}
	for _, write := range s.ledger.TakePending(s.now(), resendBatch) {
		s.stats.Resent++
		batch = append(batch, pendingWrite{write: write})
	}
	return batch
}
