package redis

import (
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"hitchspring/internal/resp"
)

// conn is a connection that is up: logged in, at a primary. The shard's goroutine writes and a second one reads; the
// latter ends when nc is closed.
type conn struct {
	nc            net.Conn
	in            resp.Inbox        // the reader's
	pending       chan pendingWrite // written, in the order in which their replies come
	readerDone    chan struct{}
	wakeWriter    chan struct{}              // the reader has something for the writer
	leaveReason   atomic.Pointer[redisError] // the error that says that this is not the server to ask
	confirmedAny  atomic.Bool                // an add was confirmed
	readDeadline  atomic.Int64               // Unix time in ns
	writeDeadline time.Time                  // the writer's

	// The reader's until readerDone is closed.
	readErr    error          // why it ended
	unreadable []pendingWrite // the write whose reply could not be read
}

// redisError is an error reply of Redis.
type redisError string

func (e redisError) Error() string { return string(e) }

// code is the first word of the reply.
func (e redisError) code() string {
	code, _, _ := strings.Cut(string(e), " ")
	return code
}

// unavailable reports whether the server is not the one to ask, or not now: the connection is given up.
func (e redisError) unavailable() bool {
	switch e.code() {
	case "LOADING", "MASTERDOWN", "CLUSTERDOWN", "READONLY", "MOVED", "NOAUTH", "NOPERM", "WRONGPASS", "UNBLOCKED":
		return true
	}
	return false
}

var (
	errUnexpectedReply = errors.New("an answer that belongs to no call, or to another one")
	errNoReply         = errors.New("no answer in time")
	errClosed          = errors.New("closed by the server")
	errNotPrimary      = errors.New("not a primary")
	errPrimaryUnknown  = errors.New("no Sentinel knows the primary")
)

// frame reads one complete reply.
func (c *conn) frame() ([]byte, error) {
	for {
		frame, err := c.in.Next()
		if frame != nil || err != nil {
			return frame, err
		}
		if err := c.in.Fill(c.nc.Read); err != nil {
			return nil, err
		}
	}
}

// takePending takes the write whose reply is next.
func (c *conn) takePending() (pendingWrite, bool) {
	select {
	case pending := <-c.pending:
		return pending, true
	default:
		return pendingWrite{}, false
	}
}

// extendReadDeadline gives the reader about d more. Setting a deadline costs as much as reading a short reply does,
// so one that is near enough stays: it is up to a quarter of d too early or too late.
func (c *conn) extendReadDeadline(now time.Time, d time.Duration) {
	want := now.Add(d).UnixNano()
	tolerance := int64(d) / 4
	if off := want - c.readDeadline.Load(); off > tolerance || off < -tolerance {
		c.readDeadline.Store(want)
		c.nc.SetReadDeadline(time.Unix(0, want))
	}
}

// wake makes the writer look at what the reader has for it.
func (c *conn) wake() {
	select {
	case c.wakeWriter <- struct{}{}:
	default:
	}
}
