package redis

import (
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"hitchspring/internal/resp"
)

// conn is a connection to Redis or to a Sentinel. On a connection to a primary, the shard's goroutine writes and a
// second one reads; the reader ends when nc is closed.
type conn struct {
	nc            net.Conn
	inbox         resp.Inbox        // used only by the reader
	pending       chan pendingWrite // sent writes without a reply, in the order of their replies
	readerDone    chan struct{}
	wakeWriter    chan struct{}              // signals that the writer must check closeReason and the retry queue
	closeReason   atomic.Pointer[redisError] // error reply by which the server is currently unusable
	confirmedAny  atomic.Bool                // at least one add was confirmed
	readDeadline  atomic.Int64               // Unix time in ns
	writeDeadline time.Time                  // used only by the writer

	// Used only by the reader until readerDone is closed.
	readErr    error          // why the reader ended
	unreadable []pendingWrite // the write whose reply could not be read
}

// redisError is the text of an error reply of Redis.
type redisError string

func (e redisError) Error() string { return string(e) }

// code returns the first word of the reply, such as MOVED.
func (e redisError) code() string {
	code, _, _ := strings.Cut(string(e), " ")
	return code
}

// unavailable reports whether the server cannot be used, permanently or for now, so that the connection is closed.
func (e redisError) unavailable() bool {
	switch e.code() {
	case "LOADING", "MASTERDOWN", "CLUSTERDOWN", "READONLY", "MOVED", "NOAUTH", "NOPERM", "WRONGPASS", "UNBLOCKED":
		return true
	}
	return false
}

var (
	errUnexpectedReply = errors.New("reply does not match the pending call")
	errNoReply         = errors.New("no answer in time")
	errClosed          = errors.New("connection closed by the server")
	errNotPrimary      = errors.New("server is not a primary")
	errPrimaryUnknown  = errors.New("no Sentinel knows the primary")
)

// frame reads one complete reply.
func (c *conn) frame() ([]byte, error) {
	for {
		frame, err := c.inbox.Next()
		if frame != nil || err != nil {
			return frame, err
		}
		if err := c.inbox.Fill(c.nc.Read); err != nil {
			return nil, err
		}
	}
}

// takePending removes the write that the next reply belongs to.
func (c *conn) takePending() (pendingWrite, bool) {
	select {
	case pending := <-c.pending:
		return pending, true
	default:
		return pendingWrite{}, false
	}
}

// extendReadDeadline sets the read deadline to about d after now. Setting a deadline costs as much as reading a short
// reply, so the current deadline is left in place if it is at most a quarter of d earlier or later.
func (c *conn) extendReadDeadline(now time.Time, d time.Duration) {
	want := now.Add(d).UnixNano()
	tolerance := int64(d) / 4
	if off := want - c.readDeadline.Load(); off > tolerance || off < -tolerance {
		c.readDeadline.Store(want)
		c.nc.SetReadDeadline(time.Unix(0, want))
	}
}

// wake makes the writer check closeReason and the shard's retry queue.
func (c *conn) wake() {
	select {
	case c.wakeWriter <- struct{}{}:
	default:
	}
}
