package backend

import (
	"slices"
	"time"
)

// fingerprint returns the part of the state that determines the further behavior.
func (e *exploration) fingerprint() string {
	var f fingerprint
	for _, attempt := range e.attempts {
		e.addAttempt(&f, attempt)
	}
	for _, s := range e.conns {
		e.addConn(&f, s)
	}
	if backend := e.pool.backends["s0"]; backend != nil {
		e.addBackend(&f, backend)
	}
	f.add(e.pool.connections)
	f.addBools(e.pool.limitReached, e.unassignedAtDisconnect != nil)
	for _, timer := range e.timers {
		f.add(int((timer.at - e.now) / time.Millisecond))
	}
	return string(f)
}

// fingerprint is a state as bytes, one for each value, which is truncated to it.
type fingerprint []byte

func (f *fingerprint) add(values ...int) {
	for _, value := range values {
		*f = append(*f, byte(value))
	}
}

func (f *fingerprint) addBools(values ...bool) {
	for _, value := range values {
		if value {
			f.add(1)
		} else {
			f.add(0)
		}
	}
}

func (e *exploration) connIndex(c *conn) int {
	return slices.IndexFunc(e.conns, func(s *simulatedConn) bool { return s.conn == c })
}

func (e *exploration) attemptIndex(attempt *Attempt) int { return slices.Index(e.attempts, attempt) }

func (e *exploration) addAttempt(f *fingerprint, attempt *Attempt) {
	outcome, ended := e.ends[attempt]
	f.addBools(e.unassignedAtDisconnect[attempt], attempt.backend != nil, ended, e.written[attempt])
	f.add(int(attempt.abortedAs), int(outcome), e.connIndex(attempt.conn))
	if attempt.conn != nil {
		f.addBools(
			attempt.backend.lastHeardAt <= attempt.assignedAt,
			e.now-attempt.assignedAt >= e.pool.cfg.ConnectTimeout,
		)
	}
}

func (e *exploration) addConn(f *fingerprint, s *simulatedConn) {
	c := s.conn
	f.addBools(c.used, c.hasReplied, c.closed, c.reusable(e.now), s.replyHandled && e.now-s.repliedAt < reuseDelay)
	f.addBools(s.opened, s.ended, s.socket.closed, c.disconnected, e.now-c.idleSince > e.pool.retireAfter())
	f.add(s.duplicates, e.attemptIndex(s.repliedTo), len(c.writes))
	f.add(e.attemptIndex(c.lastWritten.Load()), e.attemptIndex(c.current), int(c.addr[len(c.addr)-1]), len(s.events))
	for _, event := range s.events {
		switch event := event.(type) {
		case connectionOpened:
			f.add('o')
		case connectionClosed:
			f.add('c')
			f.addBools(event.wasOpen)
		case replyReceived:
			f.add('r', e.attemptIndex(event.attempt), int(event.outcome))
			f.addBools(event.reusable)
		}
	}
}

func (e *exploration) addBackend(f *fingerprint, b *backendPool) {
	f.add(int(b.State), int(b.addr[len(b.addr)-1]), b.dialing, b.connections, len(b.waiting), len(b.idle))
	f.addBools(b.wakeScheduled, e.now < b.noExtraDialsUntil, b.connectTime > minDialGain)
	f.add(int(b.replyTime / time.Millisecond))
	for _, attempt := range b.waiting {
		f.add(e.attemptIndex(attempt))
	}
	for _, c := range b.idle {
		f.add(e.connIndex(c))
	}
}
