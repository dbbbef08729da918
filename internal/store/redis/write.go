package redis

import (
	"context"
	"errors"
	"strings"
	"time"

	"hitchspring/internal/store"
)

const (
	maxBatch         = 256                   // maximum number of commands in one write call
	fullPollInterval = time.Millisecond      // interval at which a full pipeline is checked for capacity
	resendInterval   = 10 * time.Millisecond // interval between batches of resent sums
	resendBatch      = 32
	// maxSilentTimeouts is the number of call timeouts without a reply after which a connection is closed.
	maxSilentTimeouts = 4
)

// writer is the writing side of a connection. It runs on the shard's goroutine.
type writer struct {
	shard       *shard
	conn        *conn
	batch       []pendingWrite // next to be written
	buf         []byte         // encoded commands, reused
	commandEnds []int          // end offset of each command in buf, reused
	unwritten   int            // number of writes at the end of conn.pending that were not sent completely
	resendTimer *time.Timer    // for the ledger's pending sums
	resendArmed bool           // resendTimer is running
}

// serve writes new calls and resends pending writes until the connection fails or times out, the store's address
// changes or ctx is done. It returns nil unless there was a failure.
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
		batch:       append([]pendingWrite(nil), s.resendQueue...),
		resendTimer: time.NewTimer(0),
		resendArmed: true,
	}
	defer w.resendTimer.Stop()
	s.resendQueue = s.resendQueue[:0]
	if first != nil {
		w.batch = s.claim(w.batch, first)
	}
	err := w.run()
	closeReason := c.closeReason.Load()
	if err == nil || closeReason != nil { // no write failed, so pending writes may still get replies
		s.awaitReplies(ctx, c)
	}
	c.nc.Close()
	<-c.readerDone
	s.collectUnanswered(c, w.unwritten, w.batch)
	s.followRedirect(c.closeReason.Load())
	if err == nil {
		err = c.readErr
	}
	if errors.Is(err, errClosed) && ctx.Err() == nil { // closed while idle; the next server may not have the same data
		s.markAllUnconfirmed()
		err = nil
	}
	return err
}

// run writes until the connection is to be closed. It returns the error of a write, or the error reply by which the
// server is unusable.
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

// await waits for and handles one event. It reports whether the connection stays in use.
func (w *writer) await(expiry <-chan time.Time) (open bool, err error) {
	var calls chan *store.Call
	var full <-chan time.Time
	if len(w.batch) == 0 {
		calls = w.shard.calls
	} else { // the pipeline is full
		full = time.After(fullPollInterval)
	}
	select {
	case call := <-calls:
		w.batch = w.shard.claim(w.batch, call)
	case <-full:
	case <-w.conn.wakeWriter:
		if reason := w.conn.closeReason.Load(); reason != nil {
			return false, *reason
		}
		w.takeRetries()
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

// takeRetries moves the shard's retry queue to the batch, and starts the resend timer if the ledger has pending sums.
func (w *writer) takeRetries() {
	w.shard.mu.Lock()
	defer w.shard.mu.Unlock()
	w.batch = append(w.batch, w.shard.retryQueue...)
	w.shard.retryQueue = w.shard.retryQueue[:0]
	if !w.resendArmed && w.shard.ledger.HasPending() {
		w.resendArmed = true
		w.resendTimer.Reset(resendInterval)
	}
}

// writeBatch writes as much of the batch as the pipeline has capacity for.
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

// writeCommands sends a command for each write, and returns how many were written to their last byte.
func (w *writer) writeCommands(batch []pendingWrite) (complete int, err error) {
	s, c := w.shard, w.conn
	s.mu.Lock()
	sendScript := s.sendScript
	s.mu.Unlock()
	w.buf = w.buf[:0]
	w.commandEnds = w.commandEnds[:0]
	for i, pending := range batch {
		w.buf = appendAdd(w.buf, s.keyPrefix, s.instanceID, pending.write, sendScript && i == 0)
		w.commandEnds = append(w.commandEnds, len(w.buf))
	}
	idle := len(c.pending) == 0
	for _, pending := range batch {
		c.pending <- pending
	}
	now := time.Now()
	silence := maxSilentTimeouts * s.options.Timeout
	if idle {
		c.extendReadDeadline(now, silence)
	}
	if c.writeDeadline.Sub(now) < silence {
		c.writeDeadline = now.Add(2 * silence)
		c.nc.SetWriteDeadline(c.writeDeadline)
	}
	n, err := c.nc.Write(w.buf)
	for complete < len(w.commandEnds) && w.commandEnds[complete] <= n {
		complete++
	}
	return complete, err
}

// awaitReplies waits until no write is pending, for at most the timeout of a call.
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

// collectUnanswered queues the writes without a reply on a closed connection, followed by its batch, to be resent in
// this order on the next one; the replies there show whether a write had been applied before. The last writes in
// c.pending, as many as unwritten, were not sent completely.
func (s *shard) collectUnanswered(c *conn, unwritten int, batch []pendingWrite) {
	s.mu.Lock()
	s.resendQueue = append(append(s.resendQueue, s.retryQueue...), c.unreadable...)
	s.retryQueue = s.retryQueue[:0]
	s.mu.Unlock()
	for len(c.pending) > 0 {
		pending := <-c.pending
		pending.maybeSent = pending.maybeSent || len(c.pending) >= unwritten
		s.resendQueue = append(s.resendQueue, pending)
	}
	s.resendQueue = append(s.resendQueue, batch...)
}

// followRedirect sets the primary's address to the one in a MOVED error.
func (s *shard) followRedirect(reason *redisError) {
	if reason == nil || reason.code() != "MOVED" {
		return
	}
	if words := strings.Fields(string(*reason)); len(words) == 3 { // MOVED slot host:port
		s.addr = words[2]
	}
}

// claim adds a call, and further queued calls, to the ledger and to the batch. Calls that the ledger does not accept
// are reported as not added.
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

// appendPending appends writes of the ledger's pending sums to the batch, unless more than half of the pipeline is in
// use or resending is paused.
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
