package redis

import (
	"bytes"
	"errors"
	"net"
	"os"
	"time"

	"hitchspring/internal/store"
	"hitchspring/internal/store/ledger"
)

const (
	// partialReplyTimeout limits the wait for the rest of a partially received reply.
	partialReplyTimeout = 100 * time.Millisecond
	// idleReadTimeout is the read timeout of a connection without pending writes; it does not close the connection.
	idleReadTimeout = 15 * time.Second
)

// confirmedAdd is an add that Redis has confirmed.
type confirmedAdd struct {
	call  *store.Call
	total float64
}

// read matches replies to the pending writes in order, until the connection ends or a reply does not match.
func (s *shard) read(c *conn) error {
	defer c.inbox.Close()
	confirmed := make([]confirmedAdd, 0, maxBatch)
	for {
		var errorReply []byte
		var err error
		confirmed, errorReply, err = s.readConfirmations(c, confirmed[:0])
		for _, add := range confirmed {
			s.sink(add.call, store.Result{Certainty: store.Added, Seen: true, Total: add.total})
		}
		if err == nil && errorReply != nil {
			err = s.handleErrorReply(c, errorReply)
		}
		if err != nil {
			s.countUnreadable()
			return err
		}
		if errorReply == nil && len(confirmed) < cap(confirmed) {
			if err := s.fill(c); err != nil {
				return err
			}
		}
	}
}

// readConfirmations records the replies received so far in the ledger and appends the confirmed adds to confirmed. It
// stops at an error reply, which it returns, or when confirmed has reached its capacity.
func (s *shard) readConfirmations(c *conn, confirmed []confirmedAdd) (_ []confirmedAdd, errorReply []byte, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lostName := ""
	for len(confirmed) < cap(confirmed) {
		frame, err := c.inbox.Next()
		if err != nil {
			return confirmed, nil, err
		}
		if frame == nil || frame[0] == '-' {
			errorReply = frame
			break
		}
		pending, ok := c.takePending()
		if !ok {
			return confirmed, nil, errUnexpectedReply
		}
		seq, reply, ok := parseAdd(frame)
		if !ok || seq != pending.write.Seq { // the write may or may not have been applied
			pending.maybeSent = true
			c.unreadable = append(c.unreadable, pending)
			return confirmed, nil, errUnexpectedReply
		}
		confirmation := s.ledger.Confirm(s.now(), pending.write, reply)
		if confirmation.Lost {
			s.stats.Lost++
			lostName = pending.write.Name
		}
		if pending.call != nil {
			s.countAdded(confirmation)
			confirmed = append(confirmed, confirmedAdd{pending.call, confirmation.Total})
		}
	}
	if len(confirmed) > 0 {
		s.sendScript = false
		c.confirmedAny.Store(true)
	}
	s.logLoss(lostName)
	if s.ledger.HasPending() {
		c.wake()
	}
	return confirmed, errorReply, nil
}

// countAdded counts a confirmed add. The caller holds s.mu.
func (s *shard) countAdded(confirmation ledger.Confirmation) {
	s.stats.Added++
	if confirmation.AlreadyApplied {
		s.stats.AlreadyApplied++
	}
}

// logLoss logs, once per connection, that Redis has lost confirmed adds. An empty name means that there was no loss.
// The caller holds s.mu.
func (s *shard) logLoss(name string) {
	if name != "" && !s.lossLogged {
		s.lossLogged = true
		s.log.Warn("store lost confirmed adds, sending them again", "name", name)
	}
}

func (s *shard) countUnreadable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Unreadable++
}

// fill performs one read. With writes pending, the connection may be silent for maxSilentTimeouts call timeouts; the
// rest of a partially received reply must arrive within partialReplyTimeout.
func (s *shard) fill(c *conn) error {
	silence := maxSilentTimeouts * s.options.Timeout
	switch now := time.Now(); {
	case c.inbox.Partial():
		c.extendReadDeadline(now, partialReplyTimeout)
	case len(c.pending) > 0:
		c.extendReadDeadline(now, silence)
	case c.readDeadline.Load() <= now.UnixNano(): // else keep the deadline; on an idle connection it only ends a read
		c.extendReadDeadline(now, idleReadTimeout)
		if len(c.pending) > 0 { // the writer has sent a write in the meantime
			c.extendReadDeadline(now, silence)
		}
	}
	err := c.inbox.Fill(c.nc.Read)
	if err == nil {
		return nil
	}
	idle := len(c.pending) == 0 && !c.inbox.Partial()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && idle:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errNoReply
	case errors.Is(err, net.ErrClosed): // closed by this process
		return errClosed
	case idle:
		return errClosed
	}
	return err
}

// handleErrorReply rejects the write that an error reply belongs to, or queues it for a retry after NOSCRIPT.
func (s *shard) handleErrorReply(c *conn, frame []byte) error {
	pending, ok := c.takePending()
	if !ok {
		return errUnexpectedReply
	}
	reply := redisError(bytes.TrimSpace(frame[1:]))
	switch {
	case reply.code() == "NOSCRIPT":
		pending.maybeSent = true
		s.mu.Lock()
		s.sendScript = true
		s.retryQueue = append(s.retryQueue, pending)
		s.mu.Unlock()
		c.wake()
		return nil
	case reply.unavailable():
		c.closeReason.CompareAndSwap(nil, &reply)
		c.wake()
	default:
		s.logRejection(reply)
	}
	s.reject(pending, true)
	return nil
}
