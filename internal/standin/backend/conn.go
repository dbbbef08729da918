package backend

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"
)

// writeTimeout is the time limit for writing one reply.
const writeTimeout = 5 * time.Second

// conn is one connection of an instance. It is used by a single goroutine, except that goroutines of late repeats also
// write replies and update bytesOut.
type conn struct {
	net.Conn
	backend     *Backend
	instance    int
	id          uint64
	setup       *job          // work of setting up the connection; the first command waits for it
	repeatAfter time.Duration // delay after which the current reply is written again; 0: not repeated
	bytesIn     int64
	bytesOut    atomic.Int64
}

// accept accepts and serves the connections of one instance until the backend stops.
func (b *Backend) accept(instance int, ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		b.fleet.mu.Lock()
		if b.stopped || b.fleet.rules.MaxConnections > 0 && len(b.conns) >= b.fleet.rules.MaxConnections {
			b.fleet.mu.Unlock()
			resetConn(nc)
			continue
		}
		b.conns[nc] = true
		b.traffic[instance].Opened++
		b.traffic[instance].Open++
		b.machine.advance(b.fleet.clock())
		c := &conn{Conn: nc, backend: b, instance: instance, id: b.fleet.lastConnID.Add(1)}
		if b.fleet.rules.ConnWork > 0 {
			c.setup = b.machine.add(b.fleet.rules.ConnWork)
		}
		b.fleet.wg.Go(func() {
			c.serve()
			nc.Close()
			b.fleet.mu.Lock()
			delete(b.conns, nc)
			b.traffic[instance].Open--
			b.traffic[instance].In += c.bytesIn
			b.traffic[instance].Out += c.bytesOut.Load()
			b.fleet.mu.Unlock()
		})
		b.fleet.mu.Unlock()
	}
}

// Read implements net.Conn and counts the bytes read.
func (c *conn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	c.bytesIn += int64(n)
	return n, err
}

// sleep waits for d. It returns false immediately if the backend stops.
func (b *Backend) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-b.stopSignal:
		return false
	}
}

// awaitPartitionEnd waits until a partition from the instance ends. It reports whether there was one.
func (c *conn) awaitPartitionEnd() bool {
	c.backend.fleet.mu.Lock()
	left := c.backend.partitionedUntil[c.instance] - c.backend.fleet.clock()
	c.backend.fleet.mu.Unlock()
	if left <= 0 {
		return false
	}
	c.backend.sleep(left)
	return true
}

// serve answers the commands of a connection one by one. Work in progress continues when the connection is closed.
func (c *conn) serve() {
	in := redcon.NewReader(c)
	for {
		if idle := time.Duration(c.backend.idleTimeout.Load()); idle > 0 {
			c.SetReadDeadline(time.Now().Add(idle))
		} else {
			c.SetReadDeadline(time.Time{})
		}
		cmd, err := in.ReadCommand()
		if err != nil {
			return
		}
		reply, keepOpen := c.command(cmd.Args)
		if reply != "" {
			if c.awaitPartitionEnd() {
				resetConn(c.Conn)
				return
			}
			if err := c.write(reply); err != nil {
				return
			}
			c.repeat(reply)
		}
		if !keepOpen {
			resetConn(c.Conn)
			return
		}
	}
}

// write writes a reply.
func (c *conn) write(reply string) error {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := io.WriteString(c.Conn, reply)
	c.bytesOut.Add(int64(n))
	return err
}

// repeat schedules a second write of a reply if a repeat-late fault hit the command. It does not delay later commands.
func (c *conn) repeat(reply string) {
	after := c.repeatAfter
	if after == 0 {
		return
	}
	c.repeatAfter = 0
	c.backend.fleet.wg.Go(func() {
		if c.backend.sleep(after) {
			_ = c.write(reply) // fails if the connection is closed by then
		}
	})
}
