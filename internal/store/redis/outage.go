package redis

import (
	"errors"
	"net"
	"time"
)

// logInterval is the minimum time between two logged causes of the same outage.
const logInterval = 30 * time.Second

// markConnected records a new connection, and logs if it is the first one or ends an outage.
func (s *shard) markConnected() {
	s.mu.Lock()
	s.stats.Connected = true
	s.stats.Connects++
	first := s.stats.Connects == 1
	names := s.ledger.Len()
	if !first {
		s.ledger.MarkAllUnconfirmed(s.now())
	}
	s.sendScript = false
	s.lossLogged = false
	s.loggedRejection = ""
	s.mu.Unlock()
	switch {
	case !s.disconnectedAt.IsZero():
		s.log.Info("store reachable again, sharing quotas",
			"addr", s.addr, "after", time.Since(s.disconnectedAt).Round(time.Millisecond), "names", names)
	case first:
		s.log.Info("store connected", "addr", s.addr)
	}
	s.disconnectedAt = time.Time{}
	s.loggedCause = ""
	s.loggedAt = time.Time{}
}

// markDisconnected records that the connection was lost or could not be opened. It logs the first cause of an outage,
// and later ones if they differ and logInterval has passed.
func (s *shard) markDisconnected(err error) {
	s.mu.Lock()
	s.stats.Connected = false
	s.stats.Disconnects++
	s.mu.Unlock()
	if s.disconnectedAt.IsZero() {
		s.disconnectedAt = time.Now()
	}
	now := time.Now()
	if cause := errorCause(err); cause != s.loggedCause && now.Sub(s.loggedAt) > logInterval {
		s.loggedCause = cause
		s.loggedAt = now
		s.log.Warn("store unreachable, using fair shares", "addr", s.addr, "err", err)
	}
}

// errorCause returns the text of an error. It omits the addresses of network errors, whose ports change each time.
func errorCause(err error) string {
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Op + ": " + op.Err.Error()
	}
	return err.Error()
}

// logRejection logs an error reply to an add, unless the last one logged on this connection had the same code.
func (s *shard) logRejection(e redisError) {
	s.mu.Lock()
	known := s.loggedRejection == e.code()
	s.loggedRejection = e.code()
	s.mu.Unlock()
	if !known {
		s.log.Warn("store rejects adds, using fair shares", "err", e)
	}
}
