package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

const (
	maxIdleConns   = 64 // per backend
	dialTimeout    = 250 * time.Millisecond
	readBufferSize = 512
	maxValueLength = 1 << 16
)

// backendConn is a connection to a backend. It carries one command at a time.
type backendConn struct {
	net.Conn
	in *bufio.Reader
}

// send sends a request to a backend, and returns its value and the outcome for the report.
func (g *Gate) send(ctx context.Context, addr string, request Request) (value, outcome string) {
	c := g.takeIdle(addr)
	if c == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		nc, err := dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			return "", outcomeRefused // without a connection, the request took no effect
		}
		c = &backendConn{nc, bufio.NewReaderSize(nc, readBufferSize)}
	}
	deadline, _ := ctx.Deadline()
	c.SetDeadline(deadline)
	if _, err := io.WriteString(c, encodeCommand(request, time.Until(deadline))); err != nil {
		c.Close()
		return "", outcomeFailed
	}
	value, outcome, err := c.readReply()
	if err != nil {
		c.Close()
		return "", outcomeFailed
	}
	g.putIdle(addr, c)
	return value, outcome
}

// encodeCommand encodes a request as a RESP2 command. left is the time until the client's deadline.
func encodeCommand(request Request, left time.Duration) string {
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,units=%g,spread=%d,first=%d", request.Class, request.Plan,
		max(1, left.Milliseconds()), request.Units, request.Spread, request.First)
	name := "Q.ASK"
	if request.Key != "" {
		name = "Q.DO"
		fields += ",k=" + request.Key
	}
	args := []string{name, request.Channel, request.ID, fields}
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return b.String()
}

// readReply reads a reply and returns the outcome. The reply to a served request is an array of three values, of which
// readReply returns the first.
func (c *backendConn) readReply() (value, outcome string, err error) {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return "", "", err
	}
	switch line = strings.TrimRight(line, "\r\n"); {
	case strings.HasPrefix(line, "-BUSY"):
		return "", outcomeRefused, nil
	case line != "*3":
		return "", outcomeFailed, nil
	}
	for i := range 3 {
		text, err := c.readValue()
		if err != nil {
			return "", "", err
		}
		if i == 0 {
			value = text
		}
	}
	return value, outcomeServed, nil
}

// readValue reads one bulk string. It returns an empty string for a null.
func (c *backendConn) readValue() (string, error) {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return "", err
	}
	length, err := strconv.Atoi(strings.TrimRight(strings.TrimPrefix(line, "$"), "\r\n"))
	if err != nil || length > maxValueLength {
		return "", fmt.Errorf("invalid length of a bulk string: %q", line)
	}
	if length < 0 {
		return "", nil
	}
	buf := make([]byte, length+len("\r\n"))
	if _, err := io.ReadFull(c.in, buf); err != nil {
		return "", err
	}
	return string(buf[:length]), nil
}

// takeIdle removes an idle connection to a backend from the pool and returns it, or nil if there is none.
func (g *Gate) takeIdle(addr string) *backendConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	conns := g.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	g.idle[addr] = conns[:last]
	return conns[last]
}

// putIdle returns a connection to the pool, or closes it if the pool is full or the gate is closed.
func (g *Gate) putIdle(addr string, c *backendConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx.Err() != nil || len(g.idle[addr]) >= maxIdleConns {
		c.Close()
		return
	}
	g.idle[addr] = append(g.idle[addr], c)
}
