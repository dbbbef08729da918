package tally

import (
	"bufio"
	"net"
	"strings"
	"time"

	"hitchspring/internal/standin/fault"
)

// conn is one connection of a caller. Only the goroutine that serves it uses it.
type conn struct {
	server *Server
	nc     net.Conn
	caller string // the address without its port
	id     int64
	out    []byte // replies that are not written yet
}

// serve replies to the calls of a connection in order. Replies are written when no further call is buffered.
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

// flush writes the replies so far. It reports false if the connection has ended.
func (c *conn) flush() bool {
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.nc.Write(c.out)
	c.out = c.out[:0]
	return err == nil
}

// call carries out one call under the fault that hits it, and records it. It reports false if the connection ends.
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
		if !c.flushAndSleep(rule.By) {
			return nil, false
		}
	case fault.Stall:
		if !c.flushAndSleep(left) {
			return nil, false
		}
	default: // the other kinds act on the reply
	}
	return c.deliver(rule, s.apply(text, &rec))
}

// deliver returns what is sent of a reply under a fault. It reports false if the connection ends.
func (c *conn) deliver(rule fault.Rule, reply []byte) (sent []byte, ok bool) {
	switch rule.Kind {
	case fault.Hold:
		if !c.flushAndSleep(rule.By) {
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
	default: // the other kinds have acted before the call took effect
	}
	return reply, true
}

// flushAndSleep writes the replies so far and waits. It reports false if the connection or the server has ended.
func (c *conn) flushAndSleep(d time.Duration) bool {
	return c.flush() && c.server.sleep(d)
}
