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
	// partialReplyTimeout is for the rest of a reply that has begun to arrive.
	partialReplyTimeout = 100 * time.Millisecond
	// idleReadTimeout is between two looks at a connection on which nothing is pending.
	idleReadTimeout = 15 * time.Second
)

// confirmedAdd is an add that Redis has confirmed.
type confirmedAdd struct {
	call  *store.Call
	total float64
}

// read hands replies to the writes in their order until the connection ends or its order is lost.
func (s *shard) read(c *conn) error {
	defer c.in.Close()
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

// readConfirmations records the replies that have arrived, up to an error reply, which it returns, or as many as
// confirmed has capacity for. It appends the adds that they confirm to confirmed.
func (s *shard) readConfirmations(c *conn, confirmed []confirmedAdd) (_ []confirmedAdd, errorReply []byte, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lostName := ""
	for len(confirmed) < cap(confirmed) {
		frame, err := c.in.Next()
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
		if !ok || seq != pending.write.Seq { // whether the write was applied is open
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

// countAdded counts a confirmed add; mu is held.
func (s *shard) countAdded(confirmation ledger.Confirmation) {
	s.stats.Added++
	if confirmation.AlreadyApplied {
		s.stats.AlreadyApplied++
	}
}

// logLoss logs once for each connection that Redis has lost what it had confirmed; mu is held. No name means no loss.
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

// fill reads once. A connection may be silent for silentTimeouts while something is pending on it, and the rest of
// a reply that has begun must arrive at once.
func (s *shard) fill(c *conn) error {
	silence := silentTimeouts * s.options.Timeout
	switch now := time.Now(); {
	case c.in.Partial():
		c.extendReadDeadline(now, partialReplyTimeout)
	case len(c.pending) > 0:
		c.extendReadDeadline(now, silence)
	case c.readDeadline.Load() <= now.UnixNano(): // otherwise the last deadline stands, and passes without effect
		c.extendReadDeadline(now, idleReadTimeout)
		if len(c.pending) > 0 { // the writer has begun since
			c.extendReadDeadline(now, silence)
		}
	}
	err := c.in.Fill(c.nc.Read)
	if err == nil {
		return nil
	}
	idle := len(c.pending) == 0 && !c.in.Partial()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && idle:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errNoReply
	case errors.Is(err, net.ErrClosed): // by this side
		return errClosed
	case idle:
		return errClosed
	}
	return err
}

// handleErrorReply settles the write that an error reply belongs to.
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
		s.retry = append(s.retry, pending)
		s.mu.Unlock()
		c.wake()
		return nil
	case reply.unavailable():
		c.leaveReason.CompareAndSwap(nil, &reply)
		c.wake()
	default:
		s.logRejection(reply)
	}
	s.reject(pending, true)
	return nil
}
