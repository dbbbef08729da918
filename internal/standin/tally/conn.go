package tally

import (
	"bufio"
	"net"
	"strings"
	"time"

	"hitchspring/internal/standin/fault"
)

// conn is one connection of a caller. It is used only by the goroutine that serves it.
type conn struct {
	server *Server
	nc     net.Conn
	caller string // the caller's address without its port
	id     int64
	out    []byte // replies not yet written
}

// serve replies to calls in order until the connection is closed. Replies are written when no further call is buffered.
func (c *conn) serve() {
	in := bufio.NewReaderSize(c.nc, readBufferSize)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		text := strings.TrimRight(string(line), "\r\n")
		reply, ok := []byte("pong\r\n"), true
		if text != "ping" {
			reply, ok = c.call(text)
		}
		if !ok {
			return
		}
		c.out = append(c.out, reply...)
		if in.Buffered() == 0 && len(c.out) > 0 && !c.flush() {
			return
		}
	}
}

// flush writes the buffered replies. It reports whether the write succeeded.
func (c *conn) flush() bool {
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.nc.Write(c.out)
	c.out = c.out[:0]
	return err == nil
}

// call executes and records one call, applying the fault that hits it, if any. It reports false if the connection must
// be closed.
func (c *conn) call(text string) (reply []byte, ok bool) {
	s := c.server
	rule, left, hit := s.faults.Next(s.Since(), "tally", c.caller)
	rec := Record{At: s.Since(), Conn: c.id, Caller: c.caller}
	if hit {
		rec.Fault = rule.Kind
	}
	defer func() { s.addRecord(rec) }()
	switch rule.Kind {
	case fault.Ignore:
		return nil, true
	case fault.Fail:
		return []byte(rule.Text + "\r\n"), true
	case fault.DropBefore:
		c.flush()
		return nil, false
	case fault.Delay:
		if !c.flushAndSleep(rule.DelayTime) {
			return nil, false
		}
	case fault.Stall:
		if !c.flushAndSleep(left) {
			return nil, false
		}
	default: // the other kinds affect the reply only
	}
	return c.deliver(rule, s.apply(text, &rec))
}

// deliver returns the reply as modified by the fault. It reports false if the connection must be closed.
func (c *conn) deliver(rule fault.Rule, reply []byte) (sent []byte, ok bool) {
	switch rule.Kind {
	case fault.Hold:
		if !c.flushAndSleep(rule.DelayTime) {
			return nil, false
		}
	case fault.Swallow:
		return nil, true
	case fault.DropAfter:
		c.flush()
		return nil, false
	case fault.Repeat:
		return append(reply, reply...), true
	case fault.Cut:
		c.out = append(c.out, reply[:len(reply)/2]...)
		c.flush()
		return nil, false
	default: // the other kinds took effect before the call was applied
	}
	return reply, true
}

// flushAndSleep writes the buffered replies and waits for d. It reports false if the write fails or the server is
// closed.
func (c *conn) flushAndSleep(d time.Duration) bool {
	return c.flush() && c.server.sleep(d)
}
