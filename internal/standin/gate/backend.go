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
	maxIdleConns   = 64 // to one backend
	dialTimeout    = 250 * time.Millisecond
	readBufferSize = 512
	maxValueLength = 1 << 16
)

// backendConn is a connection to a backend, for one command at a time.
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
			return "", refused // without a connection it took no effect
		}
		c = &backendConn{nc, bufio.NewReaderSize(nc, readBufferSize)}
	}
	deadline, _ := ctx.Deadline()
	c.SetDeadline(deadline)
	if _, err := io.WriteString(c, encodeCommand(request, time.Until(deadline))); err != nil {
		c.Close()
		return "", failed
	}
	value, outcome, err := c.readReply()
	if err != nil {
		c.Close()
		return "", failed
	}
	g.putIdle(addr, c)
	return value, outcome
}

// encodeCommand returns a request, whose client still waits for left, as a RESP2 command.
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

// readReply reads a reply, which has three values if the request was served. It returns the first.
func (c *backendConn) readReply() (value, outcome string, err error) {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return "", "", err
	}
	switch line = strings.TrimRight(line, "\r\n"); {
	case strings.HasPrefix(line, "-BUSY"):
		return "", refused, nil
	case line != "*3":
		return "", failed, nil
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
	return value, served, nil
}

// readValue reads one bulk string; a null is empty.
func (c *backendConn) readValue() (string, error) {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return "", err
	}
	length, err := strconv.Atoi(strings.TrimRight(strings.TrimPrefix(line, "$"), "\r\n"))
	if err != nil || length > maxValueLength {
		return "", fmt.Errorf("a value of length %q", line)
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

// takeIdle takes an idle connection to a backend; nil if there is none.
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

// putIdle keeps a connection for the next request, or closes it if enough are idle or the gate is closed.
func (g *Gate) putIdle(addr string, c *backendConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx.Err() != nil || len(g.idle[addr]) >= maxIdleConns {
		c.Close()
		return
	}
	g.idle[addr] = append(g.idle[addr], c)
}
